package prefix

import (
	"math/bits"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
)

// Errors of this package.
var (
	// ErrTooManyEndpoints is returned when an Index already knows MaxEndpoints.
	ErrTooManyEndpoints = errors.New("prefix index has no place for another endpoint")
	// ErrUnknownEndpoint is returned for an endpoint that has no place.
	ErrUnknownEndpoint = errors.New("endpoint is not in the prefix index")
)

const (
	// DefaultMaxBlocks bounds the blocks of one Index.
	DefaultMaxBlocks = 3 << 16
	// answersPerDecay is over how many answers the confidence in an endpoint
	// follows what the answers say.
	answersPerDecay = 8
	// minConfidence keeps an endpoint with gaps in the running, so that
	// answers can restore its confidence.
	minConfidence = 0.1
	// blocksPerTick is how many stored blocks move the clock of evictions.
	blocksPerTick = 1024
)

// Held is what an Index expects each endpoint to hold of one prompt. It is
// indexed by the endpoint's slot.
type Held struct {
	// Blocks is the number of leading blocks.
	Blocks [MaxEndpoints]uint16
	// Confidence is the part of Blocks that is likely held, from 0 to 1.
	Confidence [MaxEndpoints]float32
}

// Tokens returns the expected number of cached prompt tokens at a slot.
func (h *Held) Tokens(slot int) int {
	if h == nil || slot < 0 {
		return 0
	}
	return int(float32(h.Blocks[slot]) * h.Confidence[slot] * BlockTokens)
}

// holder is what an Index knows of one endpoint apart from its blocks.
type holder struct {
	id         string
	identity   uint64
	confidence float64
	events     reorder
}

// Index maps chained block hashes to the endpoints whose caches likely hold
// them, for one service. Cache events may come late, out of order and with
// gaps; answers correct it. Safe for concurrent use; the lock is a leaf.
type Index struct {
	mu      sync.Mutex
	table   *blockTable
	holders [MaxEndpoints]*holder
	slots   map[string]int
	stored  int
	stats   Stats
}

// Stats counts what an Index has seen.
type Stats struct {
	Blocks    int   `json:"blocks"`
	Bytes     int   `json:"bytes"`
	Events    int64 `json:"events"`
	Gaps      int64 `json:"gaps"`
	Late      int64 `json:"late"`
	Drops     int64 `json:"drops"`
	Corrected int64 `json:"corrected"`
}

// NewIndex returns an empty index of at most maxBlocks blocks; 0 means
// DefaultMaxBlocks.
func NewIndex(maxBlocks int) *Index {
	if maxBlocks <= 0 {
		maxBlocks = DefaultMaxBlocks
	}
	return &Index{table: newBlockTable(maxBlocks), slots: map[string]int{}}
}

// Add gives an endpoint a slot, or returns the one it has;
// ErrTooManyEndpoints.
func (x *Index) Add(endpoint string) (int, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if slot, ok := x.slots[endpoint]; ok {
		return slot, nil
	}
	for slot, h := range x.holders {
		if h == nil {
			x.holders[slot] = &holder{id: endpoint, confidence: 1}
			x.slots[endpoint] = slot
			return slot, nil
		}
	}
	return -1, errors.Wrap(ErrTooManyEndpoints, endpoint)
}

// Remove forgets an endpoint that is gone.
func (x *Index) Remove(endpoint string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	slot, ok := x.slots[endpoint]
	if !ok {
		return
	}
	x.table.clear(1 << slot)
	x.holders[slot] = nil
	delete(x.slots, endpoint)
}

// Identify tells which process and which models an endpoint runs. When either
// has changed, what it held is dropped. It reports whether that was so;
// ErrUnknownEndpoint.
func (x *Index) Identify(endpoint, incarnation string, models []string) (bool, error) {
	identity := identify(incarnation, models)
	x.mu.Lock()
	defer x.mu.Unlock()
	slot, h, err := x.holder(endpoint)
	if err != nil {
		return false, err
	}
	known := h.identity
	h.identity = identity
	if known == identity || known == 0 {
		return false, nil
	}
	x.drop(slot, h)
	h.events = reorder{}
	return true, nil
}

// holder is called with the lock held.
func (x *Index) holder(endpoint string) (int, *holder, error) {
	slot, ok := x.slots[endpoint]
	if !ok {
		return -1, nil, errors.Wrap(ErrUnknownEndpoint, endpoint)
	}
	return slot, x.holders[slot], nil
}

func (x *Index) drop(slot int, h *holder) {
	x.table.clear(1 << slot)
	h.confidence = 1
	x.stats.Drops++
}

// Lookup writes into held how many leading blocks each endpoint holds. It
// does not allocate.
func (x *Index) Lookup(blocks []uint64, held *Held) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for slot, h := range x.holders {
		held.Blocks[slot], held.Confidence[slot] = 0, 0
		if h != nil {
			held.Confidence[slot] = float32(h.confidence)
		}
	}
	alive := ^uint64(0)
	for i, block := range blocks {
		still := alive & x.table.get(block)
		for gone := alive &^ still; gone != 0; gone &= gone - 1 {
			held.Blocks[bits.TrailingZeros64(gone)] = uint16(i)
		}
		alive = still
		if alive == 0 {
			return
		}
	}
	for ; alive != 0; alive &= alive - 1 {
		held.Blocks[bits.TrailingZeros64(alive)] = uint16(len(blocks))
	}
}

// Expect notes that an endpoint was sent a prompt, and so will hold its
// blocks; ErrUnknownEndpoint.
func (x *Index) Expect(endpoint string, blocks []uint64) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	slot, _, err := x.holder(endpoint)
	if err != nil {
		return err
	}
	x.store(slot, blocks)
	return nil
}

func (x *Index) store(slot int, blocks []uint64) {
	for _, block := range blocks {
		x.table.add(block, 1<<slot)
	}
	if x.stored += len(blocks); x.stored >= blocksPerTick {
		x.stored -= blocksPerTick
		x.table.clock++
	}
}

// Retract takes back an Expect whose prompt was not run; ErrUnknownEndpoint.
func (x *Index) Retract(endpoint string, blocks []uint64) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	slot, _, err := x.holder(endpoint)
	if err != nil {
		return err
	}
	for _, block := range blocks {
		x.table.remove(block, 1<<slot)
	}
	return nil
}

// Answered corrects the index by an answer: expected blocks were thought to be
// held when the prompt was sent, and cachedTokens were; ErrUnknownEndpoint.
func (x *Index) Answered(endpoint string, expected, cachedTokens int) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	_, h, err := x.holder(endpoint)
	if err != nil || expected <= 0 {
		return err
	}
	right := min(float64(cachedTokens)/float64(expected*BlockTokens), 1)
	h.confidence += (right - h.confidence) / answersPerDecay
	h.confidence = max(h.confidence, minConfidence)
	x.stats.Corrected++
	return nil
}

// Apply takes cache events of an endpoint. Events out of order are held back
// for a while; a gap that stays open lowers the confidence in the endpoint.
// ErrUnknownEndpoint.
func (x *Index) Apply(endpoint string, events []port.CacheEvent, now time.Time) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	slot, h, err := x.holder(endpoint)
	if err != nil {
		return err
	}
	for _, e := range events {
		x.stats.Events++
		if h.events.add(e, now) {
			continue
		}
		x.stats.Late++
		if e.Kind == port.CacheRemoved {
			x.apply(slot, h, e) // forgetting too much is the safe side
		}
	}
	for {
		e, missed, ok := h.events.next(now)
		if !ok {
			return nil
		}
		x.gap(h, missed)
		x.apply(slot, h, e)
	}
}

// gap lowers the confidence by the part of events that is missing among those
// of late.
func (x *Index) gap(h *holder, missed int64) {
	if missed <= 0 {
		return
	}
	x.stats.Gaps++
	h.confidence *= gapWindow / (gapWindow + float64(missed))
	h.confidence = max(h.confidence, minConfidence)
}

func (x *Index) apply(slot int, h *holder, e port.CacheEvent) {
	switch e.Kind {
	case port.CacheStored:
		x.store(slot, e.Blocks)
	case port.CacheRemoved:
		for _, block := range e.Blocks {
			x.table.remove(block, 1<<slot)
		}
	case port.CacheCleared:
		x.drop(slot, h)
	}
}

// After returns the sequence above which to ask an endpoint for events.
func (x *Index) After(endpoint string) int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	if _, h, err := x.holder(endpoint); err == nil {
		return h.events.after
	}
	return 0
}

// Confidence returns the confidence in an endpoint, from 0 to 1.
func (x *Index) Confidence(endpoint string) float64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	if _, h, err := x.holder(endpoint); err == nil {
		return h.confidence
	}
	return 0
}

// Stats returns the counts so far.
func (x *Index) Stats() Stats {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.stats
	s.Blocks, s.Bytes = x.table.used, x.table.bytes()
	return s
}
