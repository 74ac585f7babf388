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
	"cmp"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/rendezvous"
)

// Part is a section of a prompt that may be cached: its id and its length in tokens.
type Part struct {
	ID     string
	Tokens int
}

// Load is the work in progress at an endpoint.
type Load struct {
	// Requests is the number of requests running or waiting, Prefill the prefill
	// work still to be done (see prefillWork), Context the tokens that occupy the KV
	// cache.
	Requests int `json:"n"`
	Prefill  int `json:"p"`
	Context  int `json:"c"`
}

// Plus returns the sum of two loads.
func (l Load) Plus(o Load) Load {
	return Load{l.Requests + o.Requests, l.Prefill + o.Prefill, l.Context + o.Context}
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
	// Cold endpoints have just started and do not yet run at full speed.
	Cold bool
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
}

// attentionParityTokens is the position in a prompt at which the attention of a token
// takes as long as the rest of the token's prefill. The rest is the same for all tokens;
// attention grows with the number of tokens before, so it is quadratic in the prompt
// length. The engines of the deployments take 0.17 to 0.28 ms for the attention of a
// million token pairs.
const attentionParityTokens = 100_000

// prefillWork returns the prefill time of a prompt as a number of tokens: those of a short
// prompt, without notable attention, that takes as long. The first cached tokens of the
// prompt need no prefill; the mean position of the others is (prompt+cached)/2.
func prefillWork(prompt, cached int) int {
	uncached := float64(max(prompt-cached, 0))
	return int(uncached * (1 + float64(prompt+cached)/2/attentionParityTokens))
}

// LowestPriority is the least urgent priority.
const LowestPriority = 9

// Terms are the terms of an endpoint's score, in milliseconds.
type Terms struct {
	// Queue is the wait for the prompts queued ahead, Slot the wait for a slot in
	// the batch, Prefill the prefill of the request's own prompt, Network the
	// network round trip. At a cold endpoint Prefill includes coldPenaltyMS, also for
	// a service without engines.
	Queue   float64
	Slot    float64
	Prefill float64
	Network float64
	// Transfer is the cost of the network transfer, Failure the expected cost of
	// failures and of a suspect endpoint. These costs and the following are expressed
	// as delay.
	Transfer float64
	Failure  float64
	// Overflow is the cost of a request that does not fit into the KV cache.
	Overflow float64
	// Recompute is the cost of recomputing shared parts that the endpoint is not
	// expected to have cached.
	Recompute float64
}

// FirstToken returns the expected time to the first token, in milliseconds.
func (t Terms) FirstToken() float64 { return t.Queue + t.Slot + t.Prefill + t.Network }

// Score returns the sum of all terms; the endpoint with the lowest score is chosen.
func (t Terms) Score() float64 {
	return t.FirstToken() + t.Transfer + t.Failure + t.Overflow + t.Recompute
}

// Choice is the endpoint chosen for a request. The request's load is booked: it counts
// as load of the endpoint until Release.
type Choice struct {
	Candidate
	Terms Terms
	// CachedTokens is how much of the prompt the endpoint is expected to have cached, in
	// tokens.
	CachedTokens int

	booked Load
	// service is the service of the endpoint, ahead the prefill work that was ahead of the request
	// there.
	service  string
	ahead    int
	adopted  bool // another host has made the choice
	priority int
	// share is the fraction of the engine's time that more urgent requests take (see
	// row.urgentShare).
	share float64
	// chain holds the chained hashes of the prompt's parts, tokens their lengths.
	chain  []uint64
	tokens []int
}

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
	// preferredCacheShare is the fraction of a prompt's shared tokens that the preferred
	// endpoint of its key is expected to have cached even if this host has not sent
	// them there: the other hosts prefer the same endpoint.
	preferredCacheShare = 0.9
	// secondCacheShare is the same fraction for the key's second endpoint (see
	// preferredEndpoints), to which all hosts send requests that the preferred one has no
	// capacity for.
	secondCacheShare = 0.5
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
	// maxSlowdown bounds the estimated slowdown of an endpoint and each sample of it.
	maxSlowdown = 8.0
	// slowdownWeight is the weight of a new sample of the slowdown.
	slowdownWeight = 0.2
)

// cachedPart is a prompt part that an endpoint is assumed to have cached, because it was
// last chosen at usedAt for a prompt with this part.
type cachedPart struct {
	tokens int
	usedAt time.Time
}

// row is what this host knows of the load, the cache and the speed of one endpoint.
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
	// slowdown is the factor by which the endpoint takes longer than the rates of this
	// package predict. Started updates it from the ratio of actual to expected times to
	// the first token, with smoothing, and keeps it between 0.5 and maxSlowdown.
	slowdown float64
	// removed is set when the endpoint is gone; the row is deleted once no load is booked.
	removed bool
}

// Table holds the load and the cache estimate of each endpoint. Safe for concurrent
// use.
type Table struct {
	mu   sync.Mutex
	rows map[string]*row
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
		r = &row{cached: map[uint64]cachedPart{}, slowdown: 1}
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
	r.arrivals[c.priority] += float64(c.booked.Prefill) / float64(arrivalWindow.Milliseconds())
	r.addCached(now, c)
}

// Adopt books the load of a choice that another host has made for a request of this one, and returns
// the choice.
func (t *Table) Adopt(now time.Time, q *Query, c Candidate, terms Terms, cachedTokens int) Choice {
	chain, tokens := chainHashes(q.Parts)
	t.mu.Lock()
	defer t.mu.Unlock()
	choice := Choice{
		Candidate: c, Terms: terms, CachedTokens: cachedTokens,
		service: q.Service, adopted: true, chain: chain, tokens: tokens,
	}
	t.book(now, q, &choice)
	return choice
}

// decayArrivals brings the arrival rates up to now.
func (r *row) decayArrivals(now time.Time) {
	if !r.arrivedAt.IsZero() {
		weight := math.Exp(-float64(now.Sub(r.arrivedAt)) / float64(arrivalWindow))
		for i := range r.arrivals {
			r.arrivals[i] *= weight
		}
	}
	r.arrivedAt = now
}

// urgentShare returns the fraction of the engine's time that the arrivals of more urgent requests take.
// The engine serves those first, also if they come later, so that a request gets only the rest of its
// time (Cobham's formula for priorities).
func (r *row) urgentShare(now time.Time, priority int, tokenMS float64) float64 {
	if r.arrivedAt.IsZero() {
		return 0
	}
	rate := 0.0
	for i := range min(priority, len(r.arrivals)) {
		rate += r.arrivals[i]
	}
	return min(rate*math.Exp(-float64(now.Sub(r.arrivedAt))/float64(arrivalWindow))*tokenMS, maxUrgentShare)
}

// prefillAhead returns the prefill work that the engine serves before a request of a priority.
func (r *row) prefillAhead(priority int) int {
	sum := r.peers.Prefill
	for i := range min(priority, LowestPriority) + 1 {
		sum += r.prefill[i]
	}
	return sum
}

// findBest returns the candidate with the lowest score among those in sampled and the
// two preferred endpoints of the query's key. If sampled is nil it considers all
// candidates, of all regions.
func (t *Table) findBest(now time.Time, q *Query, candidates []Candidate, chain []uint64, tokens []int, sampled map[string]bool) (Choice, bool) {
	preferred, second := preferredEndpoints(q, candidates)
	shared := sharedTokens(q.Parts)
	var best Choice
	found := false
	for i := range candidates {
		c := &candidates[i]
		if q.Excluded[c.ID] || (sampled != nil && !sampled[c.ID] && c.ID != preferred && c.ID != second) {
			continue
		}
		r := t.row(c.ID)
		cached := r.cachedPrefixTokens(chain, tokens)
		switch c.ID {
		case preferred:
			cached = max(cached, int(preferredCacheShare*float64(shared)))
		case second:
			cached = max(cached, int(secondCacheShare*float64(shared)))
		}
		terms, share := r.terms(now, q, c, cached, t)
		terms.Recompute = recomputeMS * float64(max(shared-cached, 0)) / 1000
		if !found || terms.Score() < best.Terms.Score() {
			best = Choice{Candidate: *c, Terms: terms, CachedTokens: cached, service: q.Service, ahead: r.prefillAhead(q.Priority), share: share, chain: chain, tokens: tokens}
			found = true
		}
	}
	return best, found
}

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

// terms returns the terms of an endpoint's score for a query, except Recompute. cached is
// the number of prompt tokens expected to be cached. It also returns the urgentShare.
func (r *row) terms(now time.Time, q *Query, c *Candidate, cached int, table *Table) (terms Terms, share float64) {
	load := r.own.Plus(r.peers)
	if q.PromptTokens > 0 {
		pace := table.pace(q.Service)
		share = r.urgentShare(now, q.Priority, pace.TokenMS*r.slowdown)
		workMS := pace.TokenMS * r.slowdown / (1 - share)
		terms.Queue = float64(r.prefillAhead(q.Priority)) * workMS
		terms.Prefill = pace.FirstMS + float64(prefillWork(q.PromptTokens, cached))*workMS
		if c.Slots > 0 && load.Requests >= c.Slots {
			terms.Slot = float64(load.Requests-c.Slots+1) / float64(c.Slots) * table.meanAnswerTokens * tokenMS
		}
		if over := float64(load.Context+q.PromptTokens+q.MaxAnswerTokens) - maxCacheFill*float64(c.CacheTokens); c.CacheTokens > 0 && over > 0 {
			terms.Overflow = overflowMS * (1 + over/float64(c.CacheTokens))
		}
	} else {
		slots := max(c.Slots, 1)
		terms.Slot = callSlotMS * r.slowdown * float64(max(load.Requests-slots+1, 0)) / float64(slots)
		terms.Queue = callSlotMS / 4 * r.slowdown * float64(load.Requests) / float64(slots)
	}
	if c.Cold {
		terms.Prefill += coldPenaltyMS
	}
	switch {
	case c.Region != q.Region:
		terms.Network, terms.Transfer = regionRTTMS, regionTransferMS
	case c.Zone != q.Zone:
		terms.Network, terms.Transfer = zoneRTTMS, zoneTransferMS
	}
	terms.Failure = failureMS * c.FailureShare
	if c.Suspect {
		terms.Failure += suspectPenaltyMS
	}
	return terms, share
}

// addCached adds a prompt's parts to those assumed to be cached at the endpoint.
func (r *row) addCached(now time.Time, c *Choice) {
	if c.CacheTokens == 0 {
		return
	}
	for i, h := range c.chain {
		if _, ok := r.cached[h]; !ok {
			r.cachedTokens += c.tokens[i]
		}
		r.cached[h] = cachedPart{c.tokens[i], now}
	}
	if limit := int(maxRetainedShare * float64(c.CacheTokens)); r.cachedTokens > limit {
		r.evict(limit * 9 / 10)
	}
}

// evict removes the least recently used parts until at most limit tokens remain.
func (r *row) evict(limit int) {
	type hashedPart struct {
		hash uint64
		cachedPart
	}
	parts := make([]hashedPart, 0, len(r.cached))
	for h, p := range r.cached {
		parts = append(parts, hashedPart{h, p})
	}
	slices.SortFunc(parts, func(a, b hashedPart) int { return a.usedAt.Compare(b.usedAt) })
	for _, p := range parts {
		if r.cachedTokens <= limit {
			return
		}
		delete(r.cached, p.hash)
		r.cachedTokens -= p.tokens
	}
}

// Started records the first token of the request that c was chosen for: its prefill is
// done. waited is the time since the request was sent.
func (t *Table) Started(c *Choice, waited time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(c.ID)
	if c.showsPace() {
		t.paceOf(c.service).observe(float64(c.ahead+c.booked.Prefill), (float64(waited.Microseconds())/1000-c.Terms.Network)*(1-c.share))
	}
	r.prefilled(c)
	expected := c.Terms.FirstToken()
	// offset is added to both times, in milliseconds, because the ratio of two short times is not
	// significant.
	const offset = 20
	ratio := min(max(float64(waited.Milliseconds())+offset, 0)/(expected+offset), maxSlowdown)
	// The expected time contains the present slowdown, so the slowdown grows if the ratio is above 1.
	r.slowdown = min(max(r.slowdown+slowdownWeight*(ratio-1)*min(r.slowdown, 1.5), 0.5), maxSlowdown)
}

// prefilled removes the booked prefill work of a choice.
func (r *row) prefilled(c *Choice) {
	r.own.Prefill -= c.booked.Prefill
	r.prefill[c.priority] -= c.booked.Prefill
	c.booked.Prefill = 0
}

// showsPace reports whether the time to the first token of a choice shows the pace of the endpoint: little
// work was ahead of the request, and few requests have passed it. In an overload no choice does, so that
// the pace does not seem slower than it is.
func (c *Choice) showsPace() bool {
	const maxAheadShare, maxPassedShare = 0.5, 0.3
	return !c.adopted && c.booked.Prefill > 0 && float64(c.ahead) <= maxAheadShare*float64(c.booked.Prefill) &&
		c.share <= maxPassedShare && c.Terms.Slot == 0 && !c.Cold && !c.Suspect
}

func (t *Table) paceOf(service string) *paceEstimate {
	e, ok := t.paces[service]
	if !ok {
		e = &paceEstimate{}
		t.paces[service] = e
	}
	return e
}

// Release removes the booked load of a choice. If notPrefilled is set, the endpoint did not
// prefill the prompt, and the request's own part is no longer assumed to be cached.
// Release is idempotent.
func (t *Table) Release(c *Choice, notPrefilled bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(c.ID)
	r.prefilled(c)
	r.own.Requests -= c.booked.Requests
	r.own.Context -= c.booked.Context
	c.booked = Load{}
	if r.removed && r.own == (Load{}) && r.peers == (Load{}) {
		delete(t.rows, c.ID)
		return
	}
	if notPrefilled && len(c.chain) > 0 {
		last := c.chain[len(c.chain)-1]
		if p, ok := r.cached[last]; ok {
			r.cachedTokens -= p.tokens
			delete(r.cached, last)
		}
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

// Remove discards the cache estimate and the slowdown of an endpoint that is gone. Its row
// is deleted once this host has no load booked there.
func (t *Table) Remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.rows[id]; ok {
		r.cached, r.cachedTokens, r.slowdown, r.removed = map[uint64]cachedPart{}, 0, 1, true
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

// Row is one endpoint in the state dump. Own is the load booked by this host, Peers the load
// reported by the other hosts.
type Row struct {
	ID           string  `json:"endpoint"`
	Own          Load    `json:"mine"`
	Peers        Load    `json:"peers"`
	Slowdown     float64 `json:"slow"`
	CachedTokens int     `json:"cached_tokens"`
}

// State returns the state dump, ordered by endpoint id.
func (t *Table) State() []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Row, 0, len(t.rows))
	for id, r := range t.rows {
		out = append(out, Row{id, r.own, r.peers, r.slowdown, r.cachedTokens})
	}
	slices.SortFunc(out, func(a, b Row) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
