package standin

import (
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/prefix"
)

// blockCache is a bounded prefix cache with LRU eviction.
type blockCache struct {
	mu           sync.Mutex
	maxBlocks    int
	useCounter   int64
	lastUse      map[uint64]int64
	events       []timedEvent
	nextSequence int64
}

type timedEvent struct {
	at    time.Time
	event port.CacheEvent
}

// maxCacheEvents bounds the events retained. Readers that are further behind see a gap in the
// sequence numbers.
const maxCacheEvents = 4096

func newBlockCache(limit int) *blockCache {
	return &blockCache{maxBlocks: limit, lastUse: map[uint64]int64{}, nextSequence: 1}
}

// lookup returns how many leading blocks are cached and marks them as used.
func (c *blockCache) lookup(blocks []uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.useCounter++
	for i, b := range blocks {
		if _, ok := c.lastUse[b]; !ok {
			return i
		}
		c.lastUse[b] = c.useCounter
	}
	return len(blocks)
}

func (c *blockCache) store(model string, blocks []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.useCounter++
	var added, removed []uint64
	for _, b := range blocks {
		if _, ok := c.lastUse[b]; !ok {
			added = append(added, b)
		}
		c.lastUse[b] = c.useCounter
	}
	for len(c.lastUse) > c.maxBlocks {
		removed = append(removed, c.evict())
	}
	c.emit(port.CacheStored, model, added)
	c.emit(port.CacheRemoved, model, removed)
}

// evict removes the least recently used block.
func (c *blockCache) evict() uint64 {
	var victim uint64
	oldest := c.useCounter + 1
	for b, at := range c.lastUse {
		if at < oldest {
			victim, oldest = b, at
		}
	}
	delete(c.lastUse, victim)
	return victim
}

func (c *blockCache) clear(model string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.lastUse)
	c.emit(port.CacheCleared, model, []uint64{0})
}

func (c *blockCache) emit(kind port.CacheEventKind, model string, blocks []uint64) {
	if len(blocks) == 0 {
		return
	}
	c.events = append(c.events, timedEvent{time.Now(), port.CacheEvent{Sequence: c.nextSequence, Kind: kind, Model: model, Blocks: blocks}})
	c.nextSequence++
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// eventsAfter returns the events after a sequence number that are at least lag old.
func (c *blockCache) eventsAfter(sequence int64, lag time.Duration) []port.CacheEvent {
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

// Ledger counts the tokens and executions of all engines and services of a deployment,
// independently of the usage that the system reports.
type Ledger struct {
	mu         sync.Mutex
	seen       map[uint64]bool
	prefilled  int
	recomputed int
	executions map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{seen: map[uint64]bool{}, executions: map[string]int{}}
}

// recordPrefill counts one prefill of total tokens, of which cached came from the cache. The last
// resumed tokens belong to the answer: an earlier attempt generated them.
func (l *Ledger) recordPrefill(blocks []uint64, total, cached, resumed int) {
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

// Tokens returns the number of tokens prefilled, and how many of those some engine had computed
// before.
func (l *Ledger) Tokens() (prefilled, recomputed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.prefilled, l.recomputed
}

// recordExecution counts one execution of a non-idempotent request.
func (l *Ledger) recordExecution(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions[key]++
}

// Executions returns how often each body of a non-idempotent request was executed.
func (l *Ledger) Executions() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int, len(l.executions))
	for k, n := range l.executions {
		out[k] = n
	}
	return out
}
