package replay

import (
	"container/list"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/prefix"
)

// cache is an engine's bounded prefix cache with LRU eviction. Of one prompt, deeper blocks are
// evicted before the first.
type cache struct {
	maxBlocks    int
	order        *list.List
	elements     map[uint64]*list.Element
	nextSequence int64
	events       []port.CacheEvent
}

func newCache(limit int) *cache {
	return &cache{maxBlocks: limit, order: list.New(), elements: map[uint64]*list.Element{}, nextSequence: 1}
}

// lookup returns how many leading blocks are cached and marks them as used.
func (c *cache) lookup(blocks []uint64) int {
	n := 0
	for n < len(blocks) && c.elements[blocks[n]] != nil {
		n++
	}
	c.touch(blocks[:n])
	return n
}

// touch marks blocks as used, the first block as the most recent.
func (c *cache) touch(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		c.order.MoveToFront(c.elements[blocks[i]])
	}
}

func (c *cache) store(blocks []uint64) {
	var added, removed []uint64
	for _, b := range blocks {
		if c.elements[b] == nil {
			c.elements[b] = c.order.PushFront(b)
			added = append(added, b)
		}
	}
	c.touch(blocks)
	for len(c.elements) > c.maxBlocks {
		oldest := c.order.Remove(c.order.Back()).(uint64)
		delete(c.elements, oldest)
		removed = append(removed, oldest)
	}
	c.emit(port.CacheStored, added)
	c.emit(port.CacheRemoved, removed)
}

func (c *cache) emit(kind port.CacheEventKind, blocks []uint64) {
	if len(blocks) == 0 {
		return
	}
	c.events = append(c.events, port.CacheEvent{Sequence: c.nextSequence, Kind: kind, Blocks: blocks})
	c.nextSequence++
}

// takeEvents returns and removes the events since the last call.
func (c *cache) takeEvents() []port.CacheEvent {
	out := c.events
	c.events = nil
	return out
}

// ledger counts the tokens that the engines computed, independently of the usage that the system
// reports.
type ledger struct {
	seen       map[uint64]bool
	prefilled  int
	recomputed int
}

// recordPrefill counts the tokens of one prefill, and as recomputed those that some engine had
// computed before.
func (l *ledger) recordPrefill(a *attempt) {
	l.prefilled += a.prefillRemaining
	known := 0
	for _, b := range a.request.blocks {
		if l.seen[b] {
			known++
		}
		l.seen[b] = true
	}
	l.recomputed += max(known*prefix.BlockTokens+a.resumedTokens-a.cachedTokens, 0)
}
