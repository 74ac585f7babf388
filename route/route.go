// Package route chooses the endpoint for a request.
//
// Each endpoint of the service gets a score in expected milliseconds: the wait for
// prefill and for room in the batch, the prefill of prompt tokens that are not in
// its cache, the network delay, and the price converted to milliseconds. The lowest
// score wins. Requests of this process count from the moment they are booked. Load
// reports lag, so the load that they attribute to other processes decays with age.
//
// An endpoint has affinity for a prompt if it ranks first by rendezvous hashing among
// the service's active endpoints. Processes of a region that observe about the same
// load compute the same ranks, so that they send equal prefixes to the same endpoint
// without coordination.
//
// Table has one lock. It is a leaf: no other lock is taken while it is held.
package route

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/prefix"
)

// Errors of this package.
var (
	// ErrNoEndpoint is returned when no endpoint of the service is eligible for the
	// request.
	ErrNoEndpoint = errors.New("no endpoint may take the request")
	// ErrLinkBudget is returned when only other regions have endpoints, and the
	// byte budget of the link between regions or of the service is used up.
	ErrLinkBudget = errors.New("no endpoint in the region, and the link's budget is spent")
)

// Location is the region and availability zone of a process.
type Location struct {
	Region string
	Zone   string
}

// Options are the parameters of the model by which a Table scores endpoints.
type Options struct {
	// PrefillTokensPerSecond is the prefill rate assumed until answers have been
	// observed.
	PrefillTokensPerSecond float64
	// TokenInterval is the time between tokens at an endpoint that runs one
	// request. Each further request adds the fraction BatchSlowdown of it.
	TokenInterval time.Duration
	BatchSlowdown float64
	// MaxRunning is how many requests an endpoint runs at once; used until its
	// load report states it.
	MaxRunning int
	// ZoneDelay and RegionDelay are the one-way network delays between zones and
	// between regions.
	ZoneDelay   time.Duration
	RegionDelay time.Duration
	// LinkBytesPerSecond is the capacity of the link between regions, shared
	// equally by the processes of the region.
	LinkBytesPerSecond float64
	// PeerWeight is the fraction of this process's requests since the last load
	// report that each other process of the region is assumed to have sent too.
	PeerWeight float64
	// Seed differs in each process, so that ties are broken differently.
	Seed uint64
	// PriceWeight converts price to delay: the milliseconds of score for each
	// millisecond that a request keeps a host of the cheapest price busy.
	PriceWeight float64
	// StaleAffinityGrowth and StaleActiveGrowth are the fractions by which
	// AffinityWeight and the number of active endpoints grow for each second of
	// staleness of the load reports. With less known about the load that peers
	// cause, choices rely more on the ranks, on which all processes agree.
	StaleAffinityGrowth float64
	StaleActiveGrowth   float64
	// CopyWeight is how many times the prefill of tokens that another endpoint has
	// cached is charged on top of its delay.
	CopyWeight float64
	// AffinityWeight is the fraction of the prefill of tokens that no endpoint has
	// cached that is charged to endpoints without affinity for the prompt.
	AffinityWeight float64
	// ActiveBatchFill is the target fraction of the batch of an active endpoint.
	ActiveBatchFill float64
	// SpillMargin is how much lower the score of an endpoint in another region must
	// be for it to be used because of its cache.
	SpillMargin time.Duration
	// BatchFillWeight is the delay charged for a full batch; a partly filled one is
	// charged by the square of its fill.
	BatchFillWeight time.Duration
	// TieWindow is the largest difference of scores that counts as a tie.
	TieWindow time.Duration
}

// DefaultOptions returns the options of the daemon.
func DefaultOptions() Options {
	return Options{
		PrefillTokensPerSecond: 8000,
		TokenInterval:          20 * time.Millisecond,
		BatchSlowdown:          0.02,
		MaxRunning:             16,
		ZoneDelay:              1500 * time.Microsecond,
		RegionDelay:            30 * time.Millisecond,
		LinkBytesPerSecond:     30e6 / 8,
		PriceWeight:            0.05,
		StaleAffinityGrowth:    1,
		StaleActiveGrowth:      0.3,
		CopyWeight:             3,
		AffinityWeight:         0.4,
		PeerWeight:             0.25,
		ActiveBatchFill:        0.4,
		SpillMargin:            50 * time.Millisecond,
		BatchFillWeight:        150 * time.Millisecond,
		TieWindow:              2 * time.Millisecond,
	}
}

// Row is the platform's description of one endpoint.
type Row struct {
	Host port.Host
	// Leaving endpoints receive no new requests.
	Leaving bool
	// Deadline is when the host ends by a known reclaim or stop; zero if none is
	// known.
	Deadline time.Time
	// Slot is the endpoint's slot in the prefix index, negative if it has none.
	Slot int
}

// Query describes a request for which an endpoint is chosen.
type Query struct {
	Service string
	// AffinityKey is the hash of the prompt's prefix by which endpoints are ranked;
	// prompts with equal keys have affinity for the same endpoint. Zero means none.
	AffinityKey uint64
	// PromptTokens counts the tokens to prefill, including those of an answer that
	// is resumed.
	PromptTokens int
	// AnswerTokens is how many further tokens the answer may have.
	AnswerTokens int
	// Bytes is the size of the request and its answer on the network.
	Bytes int
	// Cached is how much of the prompt each endpoint has cached; nil means nothing.
	Cached *prefix.CachedPrefix
	// Excluded holds the ids of endpoints that may not be chosen.
	Excluded map[string]bool
	// Target is the target time to the first token. If the region is expected to
	// exceed it, the request may go to another region. Zero means no target: no
	// wait is then a reason to leave the region while it has endpoints.
	Target time.Duration
	// LinkBytesPerHour is the service document's limit on bytes between regions,
	// shared equally by all processes; zero means no limit.
	LinkBytesPerHour int64
}

// AffinityKey returns the hash that decides for which endpoint a prompt has affinity:
// that of the first block that no endpoint has cached, or of the last block. Prompts
// that differ from that block on thereby spread over endpoints. Nil cached means that
// no block is cached.
func AffinityKey(blocks []uint64, cached *prefix.CachedPrefix) uint64 {
	if len(blocks) == 0 {
		return 0
	}
	deepest := 0
	if cached != nil {
		for _, n := range cached.Blocks {
			deepest = max(deepest, int(n))
		}
	}
	return blocks[min(deepest, len(blocks)-1)]
}

// EventBytesPerToken is the size on the wire of the event for one answer token.
const EventBytesPerToken = 160

// Terms are the parts of a score, in milliseconds.
type Terms struct {
	// Queue is the wait for the prefill of earlier requests and for room in the
	// batch.
	Queue float64 `json:"queue_ms"`
	// Prefill is for the prompt tokens that are not expected to be cached.
	Prefill float64 `json:"prefill_ms"`
	// BatchFill is for the slowdown by co-running requests.
	BatchFill float64 `json:"crowd_ms"`
	// Copy is for prefilling a prefix that another endpoint has cached or has
	// affinity for.
	Copy float64 `json:"copy_ms"`
	// Network is the round-trip delay and, to another region, the transfer time.
	Network float64 `json:"way_ms"`
	// Reclaim is for the work expected to be lost to a known reclaim.
	Reclaim float64 `json:"reclaim_ms"`
	// Price is the price of the time for which the request keeps the host busy.
	Price float64 `json:"price_ms"`
}

// Score returns the sum of the terms, in milliseconds.
func (t *Terms) Score() float64 {
	return t.Queue + t.Prefill + t.BatchFill + t.Copy + t.Network + t.Reclaim + t.Price
}

// FirstToken returns the expected time to the first token, in milliseconds.
func (t *Terms) FirstToken() float64 { return t.Queue + t.Prefill + t.Network }

// Booking identifies one request that is counted at its endpoint.
type Booking struct {
	index int32
	epoch uint32
}

// Choice is the endpoint chosen for a request.
type Choice struct {
	Host    port.Host
	Booking Booking
	Terms   Terms
	// CachedTokens is how many prompt tokens the endpoint is expected to have
	// cached; CachedBlocks is the number of blocks in the index, not weighted by
	// confidence.
	CachedTokens int
	CachedBlocks int
	// Spilled is set when the endpoint is in another region.
	Spilled bool
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// rendezvous returns the rank of an endpoint for an affinity key. The endpoint that
// ranks highest has affinity for the key.
func rendezvous(key, endpoint uint64) uint64 {
	h := key ^ endpoint
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

func hashID(id string) uint64 { return xxhash.Sum64String(id) }

// bucket is a token bucket of bytes.
type bucket struct {
	level float64
	at    time.Time
}

// burstSeconds is the capacity of a bucket in seconds of its rate.
const burstSeconds = 2.0

func (b *bucket) refill(rate float64, now time.Time) {
	if b.at.IsZero() {
		b.level = rate * burstSeconds
	}
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 && !b.at.IsZero() {
		b.level = math.Min(b.level+elapsed*rate, rate*burstSeconds)
	}
	b.at = now
}
