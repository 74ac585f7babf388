// Package placement chooses the endpoint for a request by the tokens that stand
// before it, and keeps the bookings and cache beliefs that the choice needs.
//
// Load pattern: prompts of very different length (some hundred to fifty
// thousand tokens) meet endpoints that batch; one long prompt delays every
// stream beside it, reports lag, and many hosts choose at the same time. So an
// endpoint is scored in milliseconds to the first token from tokens, not from
// requests: what this host sent counts at once, what the others sent is as of
// their last report.
//
// The package does no I/O and reads no clock. Table has one lock, a leaf.
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

// Part is one part of a prompt: its id and its length in tokens.
type Part struct {
	ID     string
	Tokens int
}

// Load is work at an endpoint.
type Load struct {
	// Requests is how many run or wait, Prefill the work of the prompts still to
	// be read in tokens, Context the tokens that occupy its KV cache.
	Requests int `json:"n"`
	Prefill  int `json:"p"`
	Context  int `json:"c"`
}

func (l Load) plus(o Load) Load {
	return Load{l.Requests + o.Requests, l.Prefill + o.Prefill, l.Context + o.Context}
}

// Candidate is an endpoint that may be chosen.
type Candidate struct {
	ID     string
	Zone   string
	Region string
	// Slots is how many requests it runs at once, CacheTokens the size of its
	// KV cache; zero for plain services.
	Slots       int
	CacheTokens int
	// Suspect endpoints are chosen only when there is no other. FailureShare
	// is the part of its recent answers that were failures.
	Suspect      bool
	FailureShare float64
	// Cold endpoints have just started and are slow.
	Cold bool
}

// Query is a request that looks for an endpoint.
type Query struct {
	// Key names what the request is about; equal keys share cached parts.
	Key string
	// Prompt is the tokens of the prompt, Answer the most of the answer.
	Prompt int
	Answer int
	// Parts are those of the prompt, in order. The last is the request's own.
	Parts []Part
	// Zone and Region are where the choosing host stands.
	Zone   string
	Region string
	// Excluded endpoints are not chosen.
	Excluded map[string]bool
}

// pairTokens is how long a prompt is when its attention takes as long as its
// tokens themselves: the sites' engines take 0.17 to 0.28 ms for a million pairs.
const pairTokens = 100_000

// work returns the time of reading a prompt, as the number of tokens of a short
// prompt that takes as long. cached tokens stand at its start.
func work(prompt, cached int) int {
	read := float64(max(prompt-cached, 0))
	return int(read * (1 + float64(prompt+cached)/2/pairTokens))
}

// Terms are the parts of a score, in milliseconds.
type Terms struct {
	// Queue is the wait for the prompts before it, Slot for a place in the
	// batch, Prefill for its own prompt, Way for the network.
	Queue   float64
	Slot    float64
	Prefill float64
	Way     float64
	// Bytes is the price of the way as delay; Risk that of failures.
	Bytes float64
	Risk  float64
	// Memory is the penalty for a KV cache that the request does not fit in.
	Memory float64
	// Reread is the price of reading shared parts that another endpoint holds.
	Reread float64
}

// FirstToken is the expected time to the first token, in milliseconds.
func (t Terms) FirstToken() float64 { return t.Queue + t.Slot + t.Prefill + t.Way }

// Score is the sum; the lowest is chosen.
func (t Terms) Score() float64 { return t.FirstToken() + t.Bytes + t.Risk + t.Memory + t.Reread }

// Choice is the endpoint chosen for a request, booked until Release.
type Choice struct {
	Candidate
	Terms  Terms
	Cached int

	booked Load
	chain  []uint64
	tokens []int
}

const (
	// prefillPerMS is how many prompt tokens an engine reads in a millisecond
	// while it also generates: the sites' engines read 82 to 85 alone, and
	// spend a fifth of each step on generating.
	prefillPerMS = 66.0
	// tokenMS is the time of one generated token in a batch that also reads
	// prompts: a step of 3 to 4 ms and a chunk of 1,024 prompt tokens at 85
	// tokens a millisecond in about half of the steps.
	tokenMS = 9.0
	// callMS is the time that a call of a plain service holds a slot: the
	// sites' sheets say 15 to 30 ms.
	callMS = 30.0
	// zoneMS and regionMS are round trips between zones and regions.
	zoneMS   = 2.8
	regionMS = 62.0
	// zoneBytesMS and regionBytesMS turn the price of bytes into delay: a
	// request and its answer, some 20 KB, cost 0.3% of its worth between zones
	// and 3% between regions, and a whole objective of delay costs 90%.
	zoneBytesMS   = 3.0
	regionBytesMS = 45.0
	// riskMS is the cost of an answer that is sure to fail.
	riskMS = 4000.0
	// memoryMS is the cost of a KV cache that overflows: running streams are
	// read in anew.
	memoryMS = 1500.0
	// memoryShare is the part of the KV cache that is filled before the
	// penalty begins, as the peers' loads are late.
	memoryShare = 0.9
	// suspectMS keeps suspect endpoints behind all others.
	suspectMS = 60_000.0
	// coldMS is what a cold endpoint's slowness costs.
	coldMS = 30.0
	// homeBonus is the part of a prompt's shared tokens that the home of its
	// key is expected to hold although this host has not sent them there: the
	// other hosts choose the same home.
	homeBonus = 0.9
	// spillBonus is that part for the second in rank, where the hosts send what
	// the home has no room for.
	spillBonus = 0.5
	// rereadMS turns the price of reading 1,000 shared tokens again into delay: it
	// is 3% of the worth of a request with long shared parts, and a whole objective
	// of 1 s of delay costs 90%.
	rereadMS = 35.0
	// cacheShare is the part of an engine's KV cache that is taken to keep
	// parts of ended prompts.
	cacheShare = 0.5
	// firstAnswer is the mean length of answers in tokens until some are placed, and
	// answerWeight the weight of a new one: a few seconds of one host's requests.
	firstAnswer  = 200.0
	answerWeight = 1.0 / 64
	// sampleHosts is the number of hosts up to which each looks at all endpoints of
	// its region; with more of them each looks at fewer, sampleLeast at the least, so
	// that as many requests in a second find the same one.
	sampleHosts = 9.0
	sampleLeast = 3.0
	// waitMost is the wait before its own prompt is read, in milliseconds, beyond which
	// a host looks at all endpoints after all: half of the sites' shortest objective.
	waitMost = 250.0
	// slowMost bounds the factor by which an endpoint may seem slow.
	slowMost = 8.0
	// slowWeight is the weight of a new sample of it.
	slowWeight = 0.2
)

type cachedPart struct {
	tokens int
	usedAt time.Time
}

type row struct {
	mine   Load
	peers  Load
	cached map[uint64]cachedPart
	kept   int
	// slow is how many times longer than expected first tokens take.
	slow float64
}

// Table holds bookings and beliefs. Safe for concurrent use.
type Table struct {
	mu   sync.Mutex
	rows map[string]*row
	// answer is the mean length of the answers that engines are asked for, in
	// tokens: a place in a full batch is free when one of them ends.
	answer float64
	// hosts is how many hosts choose among the same endpoints, host the name of this
	// one, choices how often it chose.
	hosts   int
	host    string
	choices uint64
}

// NewTable returns an empty table of a host.
func NewTable(host string) *Table {
	return &Table{rows: map[string]*row{}, answer: firstAnswer, hosts: 1, host: host}
}

// SetHosts tells how many hosts choose among the same endpoints, this one included.
func (t *Table) SetHosts(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts = max(n, 1)
}

func (t *Table) row(id string) *row {
	r, ok := t.rows[id]
	if !ok {
		r = &row{cached: map[uint64]cachedPart{}, slow: 1}
		t.rows[id] = r
	}
	return r
}

// Choose picks and books the best candidate; ok is false without any.
func (t *Table) Choose(now time.Time, q *Query, candidates []Candidate) (Choice, bool) {
	chain, tokens := chainOf(q.Parts)
	t.mu.Lock()
	defer t.mu.Unlock()
	if q.Prompt > 0 {
		t.answer += answerWeight * (float64(q.Answer) - t.answer)
	}
	t.choices++
	seen := t.sample(q, candidates)
	best, found := t.best(q, candidates, chain, tokens, seen)
	if seen != nil && (!found || best.Suspect || best.Terms.Queue+best.Terms.Slot > waitMost) {
		best, found = t.best(q, candidates, chain, tokens, nil)
	}
	if !found {
		return Choice{}, false
	}
	best.booked = Load{Requests: 1, Prefill: work(q.Prompt, best.Cached), Context: q.Prompt + q.Answer}
	r := t.row(best.ID)
	r.mine = r.mine.plus(best.booked)
	r.keep(now, &best)
	return best, true
}

// best returns the candidate with the lowest score among those in seen, nil for all,
// and the homes of the query's key.
func (t *Table) best(q *Query, candidates []Candidate, chain []uint64, tokens []int, seen map[string]bool) (Choice, bool) {
	home, second := homesOf(q, candidates)
	shared := sharedTokens(q.Parts)
	var best Choice
	found := false
	for i := range candidates {
		c := &candidates[i]
		if q.Excluded[c.ID] || (seen != nil && !seen[c.ID] && c.ID != home && c.ID != second) {
			continue
		}
		r := t.row(c.ID)
		cached := r.heldTokens(chain, tokens)
		switch c.ID {
		case home:
			cached = max(cached, int(homeBonus*float64(shared)))
		case second:
			cached = max(cached, int(spillBonus*float64(shared)))
		}
		terms := r.score(q, c, cached, t)
		terms.Reread = rereadMS * float64(max(shared-cached, 0)) / 1000
		if !found || terms.Score() < best.Terms.Score() {
			best = Choice{Candidate: *c, Terms: terms, Cached: cached, chain: chain, tokens: tokens}
			found = true
		}
	}
	return best, found
}

// sample returns the endpoints of the own region that this choice looks at, others
// each time; nil for all.
//
// Load pattern: dozens of hosts read of the same idle endpoint in the same second,
// and of what the others sent there one to two seconds later. If each took the best
// of all, all would take that one.
func (t *Table) sample(q *Query, candidates []Candidate) map[string]bool {
	if float64(t.hosts) <= sampleHosts {
		return nil
	}
	near := 0
	for i := range candidates {
		if candidates[i].Region == q.Region {
			near++
		}
	}
	part := max(sampleHosts/float64(t.hosts), sampleLeast/float64(max(near, 1)))
	if part >= 1 {
		return nil
	}
	limit := uint64(part * math.MaxUint64)
	key := t.host + "/" + strconv.FormatUint(t.choices, 10)
	seen := map[string]bool{}
	for i := range candidates {
		if c := &candidates[i]; c.Region == q.Region && rendezvous.Score(key, c.ID) < limit {
			seen[c.ID] = true
		}
	}
	return seen
}

func (r *row) score(q *Query, c *Candidate, cached int, table *Table) Terms {
	var t Terms
	all := r.mine.plus(r.peers)
	if q.Prompt > 0 {
		t.Queue = float64(all.Prefill) / prefillPerMS * r.slow
		t.Prefill = float64(work(q.Prompt, cached)) / prefillPerMS * r.slow
		if c.Slots > 0 && all.Requests >= c.Slots {
			t.Slot = float64(all.Requests-c.Slots+1) / float64(c.Slots) * table.answer * tokenMS
		}
		if over := float64(all.Context+q.Prompt+q.Answer) - memoryShare*float64(c.CacheTokens); c.CacheTokens > 0 && over > 0 {
			t.Memory = memoryMS * (1 + over/float64(c.CacheTokens))
		}
	} else {
		slots := max(c.Slots, 1)
		t.Slot = callMS * r.slow * float64(max(all.Requests-slots+1, 0)) / float64(slots)
		t.Queue = callMS / 4 * r.slow * float64(all.Requests) / float64(slots)
	}
	if c.Cold {
		t.Prefill += coldMS
	}
	switch {
	case c.Region != q.Region:
		t.Way, t.Bytes = regionMS, regionBytesMS
	case c.Zone != q.Zone:
		t.Way, t.Bytes = zoneMS, zoneBytesMS
	}
	t.Risk = riskMS * c.FailureShare
	if c.Suspect {
		t.Risk += suspectMS
	}
	return t
}

// keep notes that the endpoint will hold a prompt's parts.
func (r *row) keep(now time.Time, c *Choice) {
	if c.CacheTokens == 0 {
		return
	}
	for i, h := range c.chain {
		if _, ok := r.cached[h]; !ok {
			r.kept += c.tokens[i]
		}
		r.cached[h] = cachedPart{c.tokens[i], now}
	}
	if limit := int(cacheShare * float64(c.CacheTokens)); r.kept > limit {
		r.evict(limit * 9 / 10)
	}
}

// evict forgets the least recently used parts down to a number of tokens.
func (r *row) evict(limit int) {
	type aged struct {
		hash uint64
		cachedPart
	}
	all := make([]aged, 0, len(r.cached))
	for h, p := range r.cached {
		all = append(all, aged{h, p})
	}
	slices.SortFunc(all, func(a, b aged) int { return a.usedAt.Compare(b.usedAt) })
	for _, a := range all {
		if r.kept <= limit {
			return
		}
		delete(r.cached, a.hash)
		r.kept -= a.tokens
	}
}

// Started notes the first token of a booked request after a time: its prompt
// has been read. waited is from the send.
func (t *Table) Started(c *Choice, waited time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(c.ID)
	r.mine.Prefill -= c.booked.Prefill
	c.booked.Prefill = 0
	expected := c.Terms.FirstToken()
	const floor = 20 // milliseconds below which a ratio says nothing
	ratio := min(max(float64(waited.Milliseconds())+floor, 0)/(expected+floor), slowMost)
	r.slow = min(max(r.slow+slowWeight*(ratio-1)*min(r.slow, 1.5), 0.5), slowMost)
}

// Release ends a booking. unread tells that the prompt was not read, so the
// endpoint does not hold it. It is idempotent.
func (t *Table) Release(c *Choice, unread bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(c.ID)
	r.mine.Requests -= c.booked.Requests
	r.mine.Prefill -= c.booked.Prefill
	r.mine.Context -= c.booked.Context
	c.booked = Load{}
	if unread && len(c.chain) > 0 {
		last := c.chain[len(c.chain)-1]
		if p, ok := r.cached[last]; ok {
			r.kept -= p.tokens
			delete(r.cached, last)
		}
	}
}

// SetPeers takes what the other hosts have at each endpoint.
func (t *Table) SetPeers(loads map[string]Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.rows {
		if _, ok := loads[id]; !ok {
			r.peers = Load{}
		}
	}
	for id, l := range loads {
		t.row(id).peers = l
	}
}

// Forget drops an endpoint that is gone; bookings end with their requests.
func (t *Table) Forget(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.rows[id]; ok {
		r.cached, r.kept, r.slow = map[uint64]cachedPart{}, 0, 1
		if r.mine == (Load{}) {
			delete(t.rows, id)
		}
	}
}

// Mine returns what this host has at each endpoint where it has anything.
func (t *Table) Mine() map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]Load{}
	for id, r := range t.rows {
		if r.mine.Requests > 0 {
			out[id] = r.mine
		}
	}
	return out
}

// Row is one endpoint in the state dump.
type Row struct {
	ID    string  `json:"endpoint"`
	Mine  Load    `json:"mine"`
	Peers Load    `json:"peers"`
	Slow  float64 `json:"slow"`
	Kept  int     `json:"cached_tokens"`
}

// State returns the dump, by endpoint id.
func (t *Table) State() []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Row, 0, len(t.rows))
	for id, r := range t.rows {
		out = append(out, Row{id, r.mine, r.peers, r.slow, r.kept})
	}
	slices.SortFunc(out, func(a, b Row) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
