// Package placement chooses the endpoint for a request by the tokens queued ahead
// of it. It holds the booked loads and the cache estimates that the choice needs.
//
// The expected load is prompts of very different length (some hundred to fifty
// thousand tokens), sent to endpoints that batch requests. One long prompt delays every
// other stream in the batch, load reports lag, and many hosts choose at the same
// time. So an endpoint's score is an estimated time to the first token, in
// milliseconds, computed from tokens and not from the number of requests. Load sent
// by this host counts at once; load sent by other hosts counts as of their last
// report.
//
// The package does no I/O and reads no clock. No other lock is taken while Table's
// lock is held.
package placement

import (
	"math"
	"strconv"
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/rendezvous"
	"github.com/cicadanotch/cicadanotch/speed"
)

// Part is a section of a prompt that may be cached: its id and its length in tokens.
type Part struct {
	ID     string
	Tokens int
}

// Candidate is an endpoint that Choose may choose.
type Candidate struct {
	ID     string
	Zone   string
	Region string
	// Slots is how many requests it runs at once. CacheTokens is the size of its KV
	// cache; it is zero for a service without engines.
	Slots       int
	CacheTokens int
	// Suspect adds suspectPenaltyMS to the score, so that in practice the endpoint is
	// chosen only when there is no other. FailureShare is the fraction of its recent
	// answers that were failures.
	Suspect      bool
	FailureShare float64
	// Software is its software version: cached parts are of use to endpoints of the same version.
	Software string
	// Cold endpoints have just started and do not yet run at full speed.
	Cold bool
	// Speed is what the endpoint takes well, zero where that is not learnt.
	Speed speed.Estimate
}

// Query describes a request for which an endpoint is to be chosen.
type Query struct {
	// Service is the service that the candidates belong to.
	Service string
	// Key is the affinity key: requests with equal keys share cached parts.
	Key string
	// PromptTokens is the length of the prompt; it is zero for a service without engines
	// and for a stream that continues with a copied KV cache. MaxAnswerTokens is the
	// length assumed for the answer: the maximum, or the expected length if that is less.
	PromptTokens    int
	MaxAnswerTokens int
	// Parts are the parts of the prompt, in order. The last is the request's own;
	// the others may be shared with other requests.
	Parts []Part
	// Priority is the request's priority at the engine, from 0, the most urgent, to
	// LowestPriority.
	Priority int
	// Zone and Region are those of the host that sends the request.
	Zone   string
	Region string
	// Excluded holds the ids of endpoints that must not be chosen.
	Excluded map[string]bool
	// SlackMS is the time to the first token at which the request still meets its objective, in
	// milliseconds. Only requests with slack are used to try slow endpoints again.
	SlackMS float64
	// FetchTokenMS is how long the transfer of a cached token between engines of a zone takes, in milliseconds;
	// zero if they transfer none.
	FetchTokenMS float64
}

// LowestPriority is the least urgent priority.
const LowestPriority = 9

// Choice is the endpoint chosen for a request. The request's load is booked: it counts
// as load of the endpoint until Release.
type Choice struct {
	Candidate
	Terms Terms
	// CachedTokens is how much of the prompt the endpoint is expected to have cached, in
	// tokens.
	CachedTokens int
	// Fetch is the transfer of cached parts that CachedTokens includes.
	Fetch Fetch

	booked Load
	// bookedAt is when the load was booked. added holds the chained hashes of the parts that were not assumed to
	// be cached at the endpoint before.
	bookedAt time.Time
	added    []uint64
	// service is the service of the endpoint, ahead the prefill work that was ahead of the request
	// there.
	service  string
	ahead    int
	adopted  bool // another host has made the choice
	priority int
	// inProgress is the number of other requests there.
	inProgress int
	// share is the fraction of the engine's time that more urgent requests take (see
	// row.urgentShare).
	share float64
	// chain holds the chained hashes of the prompt's parts, tokens their lengths.
	chain  []uint64
	tokens []int
}

// InProgress returns the number of other requests at the endpoint when it was chosen, as far as they are
// known.
func (c *Choice) InProgress() int { return c.inProgress }

const (
	// tokenMS is the time per generated token in a batch that also prefills: a step
	// of 3 to 4 ms, plus a chunk of 1,024 prompt tokens at 85 tokens per millisecond
	// in about half of the steps.
	tokenMS = 9.0
	// callSlotMS is how long a call to a service without engines occupies a slot: the
	// data sheets of the deployments give 15 to 30 ms.
	callSlotMS = 30.0
	// zoneRTTMS and regionRTTMS are the round-trip times between zones and between regions.
	zoneRTTMS   = 2.8
	regionRTTMS = 62.0
	// zoneTransferMS and regionTransferMS express the cost of transferred bytes as delay.
	// A request with its answer is about 20 KB; its transfer costs 0.3% of the
	// request's value between zones and 3% between regions. A delay as long as the
	// latency objective costs 90%, so the transfer equals a delay of 1/300 and 1/30
	// of the objective.
	zoneTransferMS   = 3.0
	regionTransferMS = 45.0
	// failureMS is the cost of an attempt that is certain to fail.
	failureMS = 4000.0
	// overflowMS is the cost of an overflowing KV cache: the engine must prefill
	// running streams again.
	overflowMS = 1500.0
	// maxCacheFill is the fraction of the KV cache that may be filled without
	// overflow cost. It is below 1 because the reported loads of other hosts lag.
	maxCacheFill = 0.9
	// suspectPenaltyMS is the cost of a suspect endpoint. It is large enough to rank
	// suspect endpoints after all others unless those have to wait about a minute.
	suspectPenaltyMS = 60_000.0
	// coldPenaltyMS is the additional time to the first token at a cold endpoint.
	coldPenaltyMS = 30.0
	// preferredCacheShare is the fraction of a prompt's shared tokens that the preferred endpoint of its key is
	// assumed to have or to get, for the cost of recomputing them: all hosts prefer the same endpoint, so
	// that prompts with equal parts come together. The expected times do not count on it.
	preferredCacheShare = 0.9
	// secondCacheShare is the same fraction for the key's second endpoint (see preferredEndpoints), to which all
	// hosts send requests that the preferred one has no capacity for.
	secondCacheShare = 0.25
	// recomputeMS expresses the cost of recomputing 1,000 shared tokens as delay. It is
	// 3% of the value of a request with long shared parts; a delay as long as its latency
	// objective of 1 s costs 90%, so 3% equals a delay of 1 s / 30, about 33 ms.
	recomputeMS = 35.0
	// maxRetainedShare is the fraction of an engine's KV cache that is assumed to retain
	// the parts of prompts whose requests have ended.
	maxRetainedShare = 0.5
	// initialAnswerTokens is the first value of Table.meanAnswerTokens. answerWeight is
	// the weight of a new sample in that moving average, so that it covers a few
	// seconds of one host's requests.
	initialAnswerTokens = 200.0
	answerWeight        = 1.0 / 64
	// fullScanHosts is the number of hosts up to which each host considers the endpoints
	// of all regions. With more hosts each considers a sample of its region's endpoints,
	// on average no fewer than minSampleEndpoints, and the two preferred ones of the key.
	// So the number of requests per second that consider the same endpoint does not grow
	// with the number of hosts.
	fullScanHosts      = 9.0
	minSampleEndpoints = 3.0
	// maxSampledWaitMS is the expected wait before the prefill, in milliseconds, beyond which
	// a host considers the endpoints of all regions and not only the sample: half of the
	// shortest latency objective of the deployments.
	maxSampledWaitMS = 250.0
	// arrivalWindow is the time over which the arrivals of an endpoint are averaged: some
	// times the length of the longest prompts' prefill.
	arrivalWindow = 3 * time.Second
	// maxUrgentShare bounds the share of an engine's time that is attributed to more urgent
	// requests: demand above the engine's capacity lasts for seconds only.
	maxUrgentShare = 0.8
)

// cachedPart is a prompt part that an endpoint is assumed to have cached, because it was
// last chosen at usedAt for a prompt with this part.
type cachedPart struct {
	tokens int
	usedAt time.Time
	// prefilled is set once a first token has shown that the endpoint has it.
	prefilled bool
}

// row is what this host knows of the load and the cache of one endpoint.
type row struct {
	// own is the load booked here, peers the load reported by others. prefill is
	// own.Prefill by priority.
	own     Load
	peers   Load
	prefill [LowestPriority + 1]int
	// arrivals is the prefill work booked per millisecond, by priority, as of arrivedAt: a
	// moving average over arrivalWindow.
	arrivals  [LowestPriority + 1]float64
	arrivedAt time.Time
	// cached holds the parts assumed to be cached, by chained hash, cachedTokens the sum
	// of their tokens.
	cached       map[uint64]cachedPart
	cachedTokens int
	// linkFreeAt is when the transfers from this endpoint that were booked have ended.
	linkFreeAt time.Time
	// retriedAt is when it was last tried again by retry.
	retriedAt time.Time
	// removed is set when the endpoint is gone; the row is deleted once no load is booked.
	removed bool
}

// Table holds the load and the cache estimate of each endpoint. Safe for concurrent
// use.
type Table struct {
	mu   sync.Mutex
	rows map[string]*row
	// cachedNews holds what TakeCachedNews returns next.
	cachedNews []CachedPart
	// meanAnswerTokens is the moving average of MaxAnswerTokens over the queries with a
	// prompt. It stands for the length of the running answers: a slot in a full batch
	// becomes free when one of them ends.
	meanAnswerTokens float64
	// hosts is the number of hosts that choose among the same endpoints, host the
	// name of this one, choices the number of its calls to Choose.
	hosts   int
	host    string
	choices uint64
	// paces holds this host's estimate of each service's pace, peerPaces those of the other hosts.
	paces     map[string]*paceEstimate
	peerPaces map[string]Pace
}

// NewTable returns an empty table for a host.
func NewTable(host string) *Table {
	return &Table{rows: map[string]*row{}, paces: map[string]*paceEstimate{}, meanAnswerTokens: initialAnswerTokens, hosts: 1, host: host}
}

// SetHosts sets the number of hosts that choose among the same endpoints, this one
// included.
func (t *Table) SetHosts(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts = max(n, 1)
}

func (t *Table) row(id string) *row {
	r, ok := t.rows[id]
	if !ok {
		r = &row{cached: map[uint64]cachedPart{}}
		t.rows[id] = r
	}
	return r
}

// Choose returns the candidate with the lowest score and books the request's load
// there. It reports false if no candidate may be chosen.
func (t *Table) Choose(now time.Time, q *Query, candidates []Candidate) (Choice, bool) {
	chain, tokens := chainHashes(q.Parts)
	t.mu.Lock()
	defer t.mu.Unlock()
	if q.PromptTokens > 0 {
		t.meanAnswerTokens += answerWeight * (float64(q.MaxAnswerTokens) - t.meanAnswerTokens)
	}
	t.choices++
	sampled := t.sample(q, candidates)
	best, found := t.findBest(now, q, candidates, chain, tokens, sampled)
	if sampled != nil && (!found || best.Suspect || best.Terms.Queue+best.Terms.Slot > maxSampledWaitMS) {
		best, found = t.findBest(now, q, candidates, chain, tokens, nil)
	}
	if !found {
		return Choice{}, false
	}
	if c, ok := t.retry(now, q, candidates, chain, tokens); ok {
		best = c
	}
	t.book(now, q, &best)
	return best, true
}

// book books the load of a choice.
func (t *Table) book(now time.Time, q *Query, c *Choice) {
	c.booked = Load{Requests: 1, Prefill: prefillWork(q.PromptTokens, c.CachedTokens), Context: q.PromptTokens + q.MaxAnswerTokens}
	c.priority = min(max(q.Priority, 0), LowestPriority)
	r := t.row(c.ID)
	r.own, r.removed = r.own.Plus(c.booked), false
	r.prefill[c.priority] += c.booked.Prefill
	r.decayArrivals(now)
	r.arrivals[c.priority] += arrivalRate(c.booked.Prefill)
	c.bookedAt = now
	r.addCached(now, c)
	t.bookFetch(now, c)
}

// Adopt books the load of a choice that another host has made for a request of this one, and returns
// the choice.
func (t *Table) Adopt(now time.Time, q *Query, c Candidate, terms Terms, cachedTokens int, fetch Fetch) Choice {
	chain, tokens := chainHashes(q.Parts)
	t.mu.Lock()
	defer t.mu.Unlock()
	choice := Choice{
		Candidate: c, Terms: terms, CachedTokens: cachedTokens, Fetch: fetch,
		service: q.Service, adopted: true, chain: chain, tokens: tokens,
	}
	t.book(now, q, &choice)
	return choice
}

// findBest returns the candidate with the lowest score among those in sampled and the
// two preferred endpoints of the query's key. If sampled is nil it considers all
// candidates, of all regions.
func (t *Table) findBest(now time.Time, q *Query, candidates []Candidate, chain []uint64, tokens []int, sampled map[string]bool) (Choice, bool) {
	preferred, second := preferredEndpoints(q, candidates)
	shared := float64(sharedTokens(q.Parts))
	sources := t.fetchSources(now, q, candidates, chain, tokens)
	var best Choice
	found := false
	consider := func(c *Candidate, cached, assumed int, fetch Fetch) {
		if choice := t.option(now, q, c, cached, assumed, fetch, chain, tokens); !found || choice.Terms.Score() < best.Terms.Score() {
			best, found = choice, true
		}
	}
	for i := range candidates {
		c := &candidates[i]
		if q.Excluded[c.ID] || (sampled != nil && !sampled[c.ID] && c.ID != preferred && c.ID != second) {
			continue
		}
		cached := t.row(c.ID).cachedPrefixTokens(chain, tokens)
		assumed := 0
		switch c.ID {
		case preferred:
			assumed = int(preferredCacheShare * shared)
		case second:
			assumed = int(secondCacheShare * shared)
		}
		consider(c, cached, assumed, Fetch{})
		if fetch := fetchFor(now, q, c, cached, sources); fetch.Source != "" {
			consider(c, cached, assumed, fetch)
		}
	}
	if found && best.Fetch.Source == "" {
		// What the endpoint is only assumed to have is fetched if it does not.
		best.Fetch = fetchFor(now, q, &best.Candidate, t.row(best.ID).prefilledPrefixTokens(now, chain, tokens), sources)
	}
	return best, found
}

// option returns the choice of a candidate that has cached tokens of the prompt and fetches more, not booked yet.
// assumed is what it is to have of the shared tokens, which counts for the cost of recomputing only.
func (t *Table) option(now time.Time, q *Query, c *Candidate, cached, assumed int, fetch Fetch, chain []uint64, tokens []int) Choice {
	cached += fetch.Tokens
	terms, share := t.row(c.ID).terms(now, q, c, cached, t)
	terms.Fetch = fetch.MS
	terms.Transfer += fetchCostMS * float64(fetch.Tokens) / 1000
	terms.Recompute = recomputeCost(sharedTokens(q.Parts) - max(cached, assumed))
	choice := t.choice(q, c, terms, share, cached, chain, tokens)
	choice.Fetch = fetch
	return choice
}

// recomputeCost returns the cost of prefilling shared tokens once more, as a delay in milliseconds.
func recomputeCost(tokens int) float64 { return recomputeMS * float64(max(tokens, 0)) / 1000 }

// sample returns the endpoints of the host's own region that this choice considers, or
// nil if it considers all candidates of all regions. Each choice draws another sample.
//
// Dozens of hosts learn of the same idle endpoint within the same second, and of the
// load that the others sent there only one to two seconds later. If each host chose the
// best of all endpoints, all would choose that one.
func (t *Table) sample(q *Query, candidates []Candidate) map[string]bool {
	if float64(t.hosts) <= fullScanHosts {
		return nil
	}
	inRegion := 0
	for i := range candidates {
		if candidates[i].Region == q.Region {
			inRegion++
		}
	}
	fraction := max(fullScanHosts/float64(t.hosts), minSampleEndpoints/float64(max(inRegion, 1)))
	if fraction >= 1 {
		return nil
	}
	limit := uint64(fraction * math.MaxUint64)
	key := t.host + "/" + strconv.FormatUint(t.choices, 10)
	sampled := map[string]bool{}
	for i := range candidates {
		if c := &candidates[i]; c.Region == q.Region && rendezvous.Score(key, c.ID) < limit {
			sampled[c.ID] = true
		}
	}
	return sampled
}

// Release removes the booked load of a choice. If notPrefilled is set, the endpoint did not
// prefill the prompt: the request no longer counts as an arrival there, and the parts that only it
// would have brought are no longer assumed to be cached. Release is idempotent.
//
// Load pattern: more prompts than the engines read, most of which are refused after a choice. If refused
// ones counted as work, the engines would seem busy because of the refusals.
func (t *Table) Release(c *Choice, notPrefilled bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(c.ID)
	if notPrefilled {
		r.withdraw(c)
	}
	r.prefilled(c)
	r.own.Requests -= c.booked.Requests
	r.own.Context -= c.booked.Context
	c.booked = Load{}
	if r.removed && r.own == (Load{}) && r.peers == (Load{}) {
		delete(t.rows, c.ID)
	}
}

// SetPeers replaces the load reported by the other hosts; loads holds their sum by endpoint
// id.
func (t *Table) SetPeers(loads map[string]Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.rows {
		if _, ok := loads[id]; ok {
			continue
		}
		r.peers = Load{}
		if r.removed && r.own == (Load{}) {
			delete(t.rows, id)
		}
	}
	for id, l := range loads {
		t.row(id).peers = l
	}
}

// Remove discards the cache estimate of an endpoint that is gone. Its row
// is deleted once this host has no load booked there.
func (t *Table) Remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.rows[id]; ok {
		r.cached, r.cachedTokens, r.removed = map[uint64]cachedPart{}, 0, true
		if r.own == (Load{}) && r.peers == (Load{}) {
			delete(t.rows, id)
		}
	}
}

// OwnLoads returns this host's load at each endpoint where it has requests.
func (t *Table) OwnLoads() map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]Load{}
	for id, r := range t.rows {
		if r.own.Requests > 0 {
			out[id] = r.own
		}
	}
	return out
}
