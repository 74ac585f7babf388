package replay

import (
	"container/list"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/prefix"
)

// cache is an engine's prefix cache: bounded, and the block used longest ago
// leaves first, the deeper ones of a prompt before the first.
type cache struct {
	limit  int
	order  *list.List
	at     map[uint64]*list.Element
	next   int64
	events []port.CacheEvent
}

func newCache(limit int) *cache {
	return &cache{limit: limit, order: list.New(), at: map[uint64]*list.Element{}, next: 1}
}

// lookup returns how many leading blocks are held.
func (c *cache) lookup(blocks []uint64) int {
	n := 0
	for n < len(blocks) && c.at[blocks[n]] != nil {
		n++
	}
	c.touch(blocks[:n])
	return n
}

func (c *cache) touch(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		c.order.MoveToFront(c.at[blocks[i]])
	}
}

func (c *cache) store(blocks []uint64) {
	var added, removed []uint64
	for _, b := range blocks {
		if c.at[b] == nil {
			c.at[b] = c.order.PushFront(b)
			added = append(added, b)
		}
	}
	c.touch(blocks)
	for len(c.at) > c.limit {
		oldest := c.order.Remove(c.order.Back()).(uint64)
		delete(c.at, oldest)
		removed = append(removed, oldest)
	}
	c.emit(port.CacheStored, added)
	c.emit(port.CacheRemoved, removed)
}

func (c *cache) emit(kind port.CacheEventKind, blocks []uint64) {
	if len(blocks) == 0 {
		return
	}
	c.events = append(c.events, port.CacheEvent{Sequence: c.next, Kind: kind, Blocks: blocks})
	c.next++
}

// take returns the events since the last call.
func (c *cache) take() []port.CacheEvent {
	out := c.events
	c.events = nil
	return out
}

// ledger counts what the engines computed, apart from the system's account.
type ledger struct {
	seen       map[uint64]bool
	prefilled  int
	recomputed int
}

// prefill books a prefill and counts as recomputed the tokens that some engine
// had computed before.
func (l *ledger) prefill(a *attempt) {
	l.prefilled += a.left
	known := 0
	for _, b := range a.request.blocks {
		if l.seen[b] {
			known++
		}
		l.seen[b] = true
	}
	l.recomputed += max(known*prefix.BlockTokens+a.sent-a.cached, 0)
}
