package standin

import (
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/prefix"
)

// blockCache is a bounded prefix cache that drops the block used longest ago.
type blockCache struct {
	mu     sync.Mutex
	limit  int
	clock  int64
	used   map[uint64]int64
	events []timedEvent
	next   int64
}

type timedEvent struct {
	at    time.Time
	event port.CacheEvent
}

// maxCacheEvents bounds the events kept; older ones are a gap for readers.
const maxCacheEvents = 4096

func newBlockCache(limit int) *blockCache {
	return &blockCache{limit: limit, used: map[uint64]int64{}, next: 1}
}

// lookup returns how many of the first blocks are held.
func (c *blockCache) lookup(blocks []uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clock++
	for i, b := range blocks {
		if _, ok := c.used[b]; !ok {
			return i
		}
		c.used[b] = c.clock
	}
	return len(blocks)
}

func (c *blockCache) store(model string, blocks []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clock++
	var added, removed []uint64
	for _, b := range blocks {
		if _, ok := c.used[b]; !ok {
			added = append(added, b)
		}
		c.used[b] = c.clock
	}
	for len(c.used) > c.limit {
		removed = append(removed, c.evict())
	}
	c.emit(port.CacheStored, model, added)
	c.emit(port.CacheRemoved, model, removed)
}

func (c *blockCache) evict() uint64 {
	var victim uint64
	oldest := c.clock + 1
	for b, at := range c.used {
		if at < oldest {
			victim, oldest = b, at
		}
	}
	delete(c.used, victim)
	return victim
}

func (c *blockCache) clear(model string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.used)
	c.emit(port.CacheCleared, model, []uint64{0})
}

func (c *blockCache) emit(kind port.CacheEventKind, model string, blocks []uint64) {
	if len(blocks) == 0 {
		return
	}
	c.events = append(c.events, timedEvent{time.Now(), port.CacheEvent{Sequence: c.next, Kind: kind, Model: model, Blocks: blocks}})
	c.next++
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// after returns the events after a sequence that are at least lag old.
func (c *blockCache) after(sequence int64, lag time.Duration) []port.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []port.CacheEvent
	limit := time.Now().Add(-lag)
	for _, e := range c.events {
		if e.event.Sequence > sequence && !e.at.After(limit) {
			out = append(out, e.event)
		}
	}
	return out
}

// Ledger counts, over all engines of a deployment, what was computed. It is
// the stand-ins' own account, apart from the system's.
type Ledger struct {
	mu   sync.Mutex
	seen map[uint64]bool
	// counts
	prefilled  int
	recomputed int
	executions map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{seen: map[uint64]bool{}, executions: map[string]int{}}
}

// prefill books one prefill of total tokens, cached of them from cache, the
// last resumed of them generated before.
func (l *Ledger) prefill(blocks []uint64, total, cached, resumed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prefilled += total - cached
	known := 0
	for _, b := range blocks {
		if l.seen[b] {
			known++
		}
		l.seen[b] = true
	}
	l.recomputed += max(known*prefix.BlockTokens+resumed-cached, 0)
}

// Tokens returns the tokens prefilled and, of them, those that some engine
// had computed before.
func (l *Ledger) Tokens() (prefilled, recomputed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.prefilled, l.recomputed
}

// execute books one run of an order.
func (l *Ledger) execute(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions[key]++
}

// Executions returns how often each order body ran.
func (l *Ledger) Executions() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int, len(l.executions))
	for k, n := range l.executions {
		out[k] = n
	}
	return out
}
