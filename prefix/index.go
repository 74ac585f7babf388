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
	// ErrTooManyEndpoints is returned by Add when an Index has MaxEndpoints.
	ErrTooManyEndpoints = errors.New("prefix index has no free slot for another endpoint")
	// ErrUnknownEndpoint is returned for an endpoint without a slot.
	ErrUnknownEndpoint = errors.New("endpoint is not in the prefix index")
)

const (
	// DefaultMaxBlocks is the default bound on the blocks of one Index.
	DefaultMaxBlocks = 3 << 16
	// confidenceWindowAnswers is the number of answers over which the confidence in
	// an endpoint is averaged.
	confidenceWindowAnswers = 8
	// minConfidence keeps the confidence in an endpoint above zero, so that the
	// endpoint is still chosen and its answers can restore the confidence.
	minConfidence = 0.1
	// blocksPerClockTick is how many stored blocks advance the eviction clock by one.
	blocksPerClockTick = 1024
)

// CachedPrefix is how much of one prompt an Index expects each endpoint to have
// cached, by the endpoint's slot.
type CachedPrefix struct {
	// Blocks is the number of leading blocks in the index.
	Blocks [MaxEndpoints]uint16
	// Confidence is the fraction of Blocks that is likely cached, from 0 to 1.
	Confidence [MaxEndpoints]float32
}

// Tokens returns the expected number of cached prompt tokens at a slot; 0 for a nil
// receiver or a negative slot.
func (c *CachedPrefix) Tokens(slot int) int {
	if c == nil || slot < 0 {
		return 0
	}
	return int(float32(c.Blocks[slot]) * c.Confidence[slot] * BlockTokens)
}

// endpointState is the state of one endpoint, other than its blocks.
type endpointState struct {
	id         string
	identity   uint64
	confidence float64
	events     reorderBuffer
}

// Index maps chained block hashes to the endpoints that have likely cached them, for
// one service. Cache events may arrive late, out of order and with gaps; the resulting
// errors are corrected by the numbers of cached tokens in answers. Safe for concurrent
// use; the lock is a leaf: no other lock is taken while it is held.
type Index struct {
	mu              sync.Mutex
	table           *blockTable
	endpoints       [MaxEndpoints]*endpointState
	slots           map[string]int
	storedSinceTick int
	stats           Stats
}

// Stats holds the size of an Index and its counters: Gaps counts runs of missing events
// that were skipped, Late events received after a later one was applied, Drops how often
// all entries of an endpoint were dropped, and Corrected the answers that adjusted a
// confidence.
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

// Add assigns an endpoint a slot, or returns the one it has. It returns
// ErrTooManyEndpoints when none is free.
func (x *Index) Add(endpoint string) (int, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if slot, ok := x.slots[endpoint]; ok {
		return slot, nil
	}
	for slot, state := range x.endpoints {
		if state == nil {
			x.endpoints[slot] = &endpointState{id: endpoint, confidence: 1}
			x.slots[endpoint] = slot
			return slot, nil
		}
	}
	return -1, errors.Wrap(ErrTooManyEndpoints, endpoint)
}

// Remove drops an endpoint and its entries and frees its slot.
func (x *Index) Remove(endpoint string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	slot, ok := x.slots[endpoint]
	if !ok {
		return
	}
	x.table.clear(1 << slot)
	x.endpoints[slot] = nil
	delete(x.slots, endpoint)
}

// Identify records which process and models an endpoint runs. If either has changed,
// its cache is new, so its entries are dropped. It reports whether they were. It may
// return ErrUnknownEndpoint.
func (x *Index) Identify(endpoint, incarnation string, models []string) (bool, error) {
	identity := identityHash(incarnation, models)
	x.mu.Lock()
	defer x.mu.Unlock()
	slot, state, err := x.endpoint(endpoint)
	if err != nil {
		return false, err
	}
	known := state.identity
	state.identity = identity
	if known == identity || known == 0 {
		return false, nil
	}
	x.drop(slot, state)
	state.events = reorderBuffer{}
	return true, nil
}

// endpoint returns the slot and state of an endpoint. The caller holds x.mu.
func (x *Index) endpoint(endpoint string) (int, *endpointState, error) {
	slot, ok := x.slots[endpoint]
	if !ok {
		return -1, nil, errors.Wrap(ErrUnknownEndpoint, endpoint)
	}
	return slot, x.endpoints[slot], nil
}

func (x *Index) drop(slot int, state *endpointState) {
	x.table.clear(1 << slot)
	state.confidence = 1
	x.stats.Drops++
}

// Lookup writes into cached how many leading blocks each endpoint has cached. It does
// not allocate.
func (x *Index) Lookup(blocks []uint64, cached *CachedPrefix) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for slot, state := range x.endpoints {
		cached.Blocks[slot], cached.Confidence[slot] = 0, 0
		if state != nil {
			cached.Confidence[slot] = float32(state.confidence)
		}
	}
	matching := ^uint64(0)
	for i, block := range blocks {
		remaining := matching & x.table.get(block)
		for ended := matching &^ remaining; ended != 0; ended &= ended - 1 {
			cached.Blocks[bits.TrailingZeros64(ended)] = uint16(i)
		}
		matching = remaining
		if matching == 0 {
			return
		}
	}
	for ; matching != 0; matching &= matching - 1 {
		cached.Blocks[bits.TrailingZeros64(matching)] = uint16(len(blocks))
	}
}

// Expect records that a prompt was sent to an endpoint, which will therefore cache its
// blocks. It may return ErrUnknownEndpoint.
func (x *Index) Expect(endpoint string, blocks []uint64) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	slot, _, err := x.endpoint(endpoint)
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
	if x.storedSinceTick += len(blocks); x.storedSinceTick >= blocksPerClockTick {
		x.storedSinceTick -= blocksPerClockTick
		x.table.clock++
	}
}

// Retract undoes an Expect whose prompt was not run. It may return ErrUnknownEndpoint.
func (x *Index) Retract(endpoint string, blocks []uint64) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	slot, _, err := x.endpoint(endpoint)
	if err != nil {
		return err
	}
	for _, block := range blocks {
		x.table.remove(block, 1<<slot)
	}
	return nil
}

// RecordAnswer updates the confidence in an endpoint from an answer: expected is the
// number of blocks in the index when the prompt was sent, cachedTokens the number of
// tokens that were found in the cache. It may return ErrUnknownEndpoint.
func (x *Index) RecordAnswer(endpoint string, expected, cachedTokens int) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	_, state, err := x.endpoint(endpoint)
	if err != nil || expected <= 0 {
		return err
	}
	observed := min(float64(cachedTokens)/float64(expected*BlockTokens), 1)
	state.confidence += (observed - state.confidence) / confidenceWindowAnswers
	state.confidence = max(state.confidence, minConfidence)
	x.stats.Corrected++
	return nil
}

// Apply applies cache events of an endpoint. Events out of order wait for the missing
// ones up to reorderTimeout; a gap that remains lowers the confidence in the endpoint. It
// may return ErrUnknownEndpoint.
func (x *Index) Apply(endpoint string, events []port.CacheEvent, now time.Time) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	slot, state, err := x.endpoint(endpoint)
	if err != nil {
		return err
	}
	for _, e := range events {
		x.stats.Events++
		if state.events.add(e, now) {
			continue
		}
		x.stats.Late++
		if e.Kind == port.CacheRemoved {
			x.apply(slot, state, e) // dropping a block that is still cached is the safer error
		}
	}
	for {
		e, missing, ok := state.events.next(now)
		if !ok {
			return nil
		}
		x.penalizeGap(state, missing)
		x.apply(slot, state, e)
	}
}

// penalizeGap lowers the confidence by the fraction of recent events that are missing,
// with gapWindowEvents as the number of recent events.
func (x *Index) penalizeGap(state *endpointState, missing int64) {
	if missing <= 0 {
		return
	}
	x.stats.Gaps++
	state.confidence *= gapWindowEvents / (gapWindowEvents + float64(missing))
	state.confidence = max(state.confidence, minConfidence)
}

func (x *Index) apply(slot int, state *endpointState, e port.CacheEvent) {
	switch e.Kind {
	case port.CacheStored:
		x.store(slot, e.Blocks)
	case port.CacheRemoved:
		for _, block := range e.Blocks {
			x.table.remove(block, 1<<slot)
		}
	case port.CacheCleared:
		x.drop(slot, state)
	}
}

// LastSequence returns the sequence number after which to request events from an
// endpoint; 0 for all.
func (x *Index) LastSequence(endpoint string) int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	if _, state, err := x.endpoint(endpoint); err == nil {
		return state.events.lastSequence
	}
	return 0
}

// Confidence returns the confidence in an endpoint, from 0 to 1; 0 for an unknown one.
func (x *Index) Confidence(endpoint string) float64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	if _, state, err := x.endpoint(endpoint); err == nil {
		return state.confidence
	}
	return 0
}

// Stats returns the current statistics.
func (x *Index) Stats() Stats {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.stats
	s.Blocks, s.Bytes = x.table.used, x.table.bytes()
	return s
}
