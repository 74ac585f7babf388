// Package route chooses the endpoint for a request.
//
// Each endpoint of the service gets a score in expected milliseconds: waiting
// for prefill and for a place in the batch, prefill of the prompt tokens that
// its cache does not hold, the way there, and a price turned into milliseconds.
// The lowest score wins. What this process sent counts at once; load reports
// lag, and what they say of others is aged.
//
// Table has one lock, which is a leaf: nothing is called under it.
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
	// ErrNoEndpoint is returned when the service has no endpoint that may
	// take the request.
	ErrNoEndpoint = errors.New("no endpoint may take the request")
	// ErrLinkBudget is returned when only another region has endpoints and
	// the link's budget or the service's spend does not allow the way there.
	ErrLinkBudget = errors.New("no endpoint in the region, and the link's budget is spent")
)

// Place is where a process stands.
type Place struct {
	Region string
	Zone   string
}

// Options set the model by which a Table scores endpoints.
type Options struct {
	// PrefillTokensPerSecond is the prefill speed assumed before answers
	// have shown it.
	PrefillTokensPerSecond float64
	// TokenInterval is the time between tokens at an endpoint with one
	// request; each further one adds BatchSlowdown of it.
	TokenInterval time.Duration
	BatchSlowdown float64
	// MaxRunning is how many requests an endpoint runs at once, before its
	// report tells.
	MaxRunning int
	// ZoneDelay and RegionDelay are the one-way delays.
	ZoneDelay   time.Duration
	RegionDelay time.Duration
	// LinkBytesPerSecond is the capacity of the link between regions; each
	// process of the region has an equal share.
	LinkBytesPerSecond float64
	// PeerWeight is how far the other processes of the region are taken to do
	// as this one does.
	PeerWeight float64
	// Seed is the process's own, so that ties fall differently in each.
	Seed uint64
	// PriceWeight is how much delay is worth as much as the time for which a
	// request keeps a host of the cheapest price busy.
	PriceWeight float64
	// StaleHome and StaleFill are by how much HomeWeight and the active
	// endpoints grow for each second by which reports are stale: what is not
	// known of peers is replaced by what all agree on.
	StaleHome float64
	StaleFill float64
	// CopyWeight is how often the prefill of tokens that another endpoint
	// nearby holds counts beyond its delay.
	CopyWeight float64
	// HomeWeight is the part of the prefill of tokens that none holds that is
	// counted against endpoints that are not the prompt's home.
	HomeWeight float64
	// ActiveFill is the part of a batch that an active endpoint should have.
	ActiveFill float64
	// SpillMargin is how much lower the score of an endpoint in another region
	// must be to be used for what its cache holds.
	SpillMargin time.Duration
	// CrowdWeight is the delay counted against a full batch.
	CrowdWeight time.Duration
	// TieWindow is the difference of scores that counts as a tie.
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
		StaleHome:              1,
		StaleFill:              0.3,
		CopyWeight:             3,
		HomeWeight:             0.4,
		PeerWeight:             0.25,
		ActiveFill:             0.4,
		SpillMargin:            50 * time.Millisecond,
		CrowdWeight:            150 * time.Millisecond,
		TieWindow:              2 * time.Millisecond,
	}
}

// Row is what the platform says of one endpoint.
type Row struct {
	Host port.Host
	// Leaving endpoints get no new work.
	Leaving bool
	// Deadline is when a known reclaim or stop takes the host; zero means
	// none is known.
	Deadline time.Time
	// Slot is the endpoint's slot in the prefix index, negative for none.
	Slot int
}

// Query describes a request that looks for an endpoint.
type Query struct {
	Service string
	// Prefix is the hash of the prompt's first blocks; equal prefixes have
	// the same home. Zero means none.
	Prefix uint64
	// PromptTokens counts the tokens to prefill, those resumed included.
	PromptTokens int
	// AnswerTokens is how many tokens the answer may yet have.
	AnswerTokens int
	// Bytes is what the request and its answer put on the way.
	Bytes int
	// Held is what the caches hold of the prompt; nil means nothing.
	Held *prefix.Held
	// Excluded names the endpoints that may not be chosen.
	Excluded map[string]bool
	// Target is the first token's target; a local wait beyond it may spill
	// to another region. Zero never spills while the region has endpoints.
	Target time.Duration
	// LinkBytesPerHour is the document's limit on bytes between regions, of
	// which each process has an equal share; zero means no limit.
	LinkBytesPerHour int64
}

// PrefixOf returns the hash that gives a prompt its home: that of the first
// block which no endpoint holds, so that prompts that part there spread over
// homes; nil held means that none is held.
func PrefixOf(blocks []uint64, held *prefix.Held) uint64 {
	if len(blocks) == 0 {
		return 0
	}
	deepest := 0
	if held != nil {
		for _, n := range held.Blocks {
			deepest = max(deepest, int(n))
		}
	}
	return blocks[min(deepest, len(blocks)-1)]
}

// EventBytesPerToken is what one token of an answer puts on the wire.
const EventBytesPerToken = 160

// Terms are the parts of a score, in milliseconds.
type Terms struct {
	// Queue is the wait for the prefill of what came before and for a place
	// in the batch.
	Queue float64 `json:"queue_ms"`
	// Prefill is for the tokens that the cache is not expected to hold.
	Prefill float64 `json:"prefill_ms"`
	// Crowd is for sharing the batch.
	Crowd float64 `json:"crowd_ms"`
	// Copy is for a copy of the prefix away from its home.
	Copy float64 `json:"copy_ms"`
	// Way is the delay and the transfer to the endpoint and back.
	Way float64 `json:"way_ms"`
	// Reclaim is for the work likely lost to a known reclaim.
	Reclaim float64 `json:"reclaim_ms"`
	Price   float64 `json:"price_ms"`
}

// Score returns the sum, in milliseconds.
func (t *Terms) Score() float64 {
	return t.Queue + t.Prefill + t.Crowd + t.Copy + t.Way + t.Reclaim + t.Price
}

// FirstToken returns the expected time to the first token, in milliseconds.
func (t *Terms) FirstToken() float64 { return t.Queue + t.Prefill + t.Way }

// Booking stands for one request at the endpoint that was chosen for it.
type Booking struct {
	index int32
	epoch uint32
}

// Choice is the endpoint chosen for a request.
type Choice struct {
	Host    port.Host
	Booking Booking
	Terms   Terms
	// CachedTokens is how many prompt tokens the cache is expected to hold,
	// CachedBlocks how many blocks the index shows.
	CachedTokens int
	CachedBlocks int
	// Spilled tells that the endpoint is in another region.
	Spilled bool
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// rendezvous ranks an endpoint for a prefix; the highest is the home.
func rendezvous(prefix, endpoint uint64) uint64 {
	h := prefix ^ endpoint
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

func hashID(id string) uint64 { return xxhash.Sum64String(id) }

// bucket is a budget of bytes that fills at a rate.
type bucket struct {
	level float64
	at    time.Time
}

// burstSeconds is how much of its rate a bucket holds.
const burstSeconds = 2.0

func (b *bucket) fill(rate float64, now time.Time) {
	if b.at.IsZero() {
		b.level = rate * burstSeconds
	}
	if passed := now.Sub(b.at).Seconds(); passed > 0 && !b.at.IsZero() {
		b.level = math.Min(b.level+passed*rate, rate*burstSeconds)
	}
	b.at = now
}
