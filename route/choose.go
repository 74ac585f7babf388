package route

import (
	"math"
	"time"
)

const (
	// maxFreshReportAge is the age up to which load reports count as fresh;
	// maxStaleness bounds the age beyond it that scoring takes into account.
	maxFreshReportAge = time.Second
	maxStaleness      = 4 * time.Second
	// reportHalfLifeMS is the report age, in milliseconds, at which the requests
	// it attributes to other processes count half.
	reportHalfLifeMS = 5000.0
	// loadSmoothingWindow is the time over which a service's load is smoothed.
	loadSmoothingWindow = 5 * time.Second
	// minReclaimLead is how long before a known reclaim a request should have ended.
	minReclaimLead = 2 * time.Second
	// millisPerSecond converts seconds to the unit of scores.
	millisPerSecond = 1000.0
)

// candidate is an endpoint that is scored for a request.
type candidate struct {
	endpoint     *endpoint
	terms        Terms
	score        float64
	cachedTokens int
	cachedBlocks int
	// rank is the result of rendezvous for the request's affinity key.
	rank    uint64
	running float64
	// active endpoints can have affinity for a prompt.
	active bool
}

// Choose picks the endpoint for a request and books the request there. It returns
// ErrNoEndpoint or ErrLinkBudget when it finds none. It does not allocate once its
// buffers have grown to the size of the service.
func (t *Table) Choose(q *Query, now time.Time) (Choice, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g, ok := t.groups[q.Service]
	if !ok {
		return Choice{}, ErrNoEndpoint
	}
	t.choiceCount++
	best, err := t.selectBest(g, q, now)
	if err != nil {
		return Choice{}, err
	}
	c := &t.scratch[best]
	e := c.endpoint
	t.recent.add(q, now, t.scratch, best)
	choice := Choice{
		Host: e.row.Host, Terms: c.terms,
		CachedTokens: c.cachedTokens, CachedBlocks: c.cachedBlocks,
		Spilled: e.proximity == otherRegion,
	}
	choice.Booking = t.book(g, e, max(q.PromptTokens-c.cachedTokens, 0), now)
	return choice, nil
}

// selectBest returns the index in scratch of the endpoint to use. An endpoint of
// another region is used only if the region has none, or if its score is lower and
// either the best one in the region exceeds the first-token target or the cache there
// saves enough. The link budgets must allow it, too.
func (t *Table) selectBest(g *group, q *Query, now time.Time) (int, error) {
	t.score(g, q, now)
	near, far := t.lowestScore(false), t.lowestScore(true)
	if near >= 0 && !t.exceedsTarget(near, q) && !t.worthCrossing(near, far) {
		return near, nil
	}
	if far < 0 && near < 0 {
		return -1, ErrNoEndpoint
	}
	if far < 0 || (near >= 0 && t.scratch[far].score >= t.scratch[near].score) {
		return near, nil
	}
	if t.chargeLink(g, q, now) {
		return far, nil
	}
	if near < 0 {
		return -1, ErrLinkBudget
	}
	return near, nil
}

func (t *Table) exceedsTarget(i int, q *Query) bool {
	return q.Target > 0 && t.scratch[i].terms.FirstToken() > milliseconds(q.Target)
}

// worthCrossing reports whether an endpoint of another region has cached more of the
// prompt and its score is lower by more than SpillMargin.
func (t *Table) worthCrossing(near, far int) bool {
	return far >= 0 && t.scratch[far].cachedTokens > t.scratch[near].cachedTokens &&
		t.scratch[far].score+milliseconds(t.opts.SpillMargin) < t.scratch[near].score
}

// chargeLink deducts a request's bytes from the budgets of the link and of the
// service. It deducts nothing and reports false unless both suffice.
func (t *Table) chargeLink(g *group, q *Query, now time.Time) bool {
	t.linkBudget.refill(t.linkBytesPerSecond(), now)
	if t.linkBudget.level < float64(q.Bytes) {
		return false
	}
	if q.LinkBytesPerHour > 0 {
		g.linkBudget.refill(float64(q.LinkBytesPerHour)/float64(t.totalProcesses)/time.Hour.Seconds(), now)
		if g.linkBudget.level < float64(q.Bytes) {
			return false
		}
		g.linkBudget.level -= float64(q.Bytes)
	}
	t.linkBudget.level -= float64(q.Bytes)
	return true
}

// linkBytesPerSecond returns this process's share of the capacity between regions.
func (t *Table) linkBytesPerSecond() float64 {
	return t.opts.LinkBytesPerSecond / float64(t.regionProcesses)
}

// scoring holds the inputs shared by all candidates of one choice. Durations are in
// milliseconds, as scores are.
type scoring struct {
	q   *Query
	now int64
	// idlePerToken and busyPerToken are the prefill times of one token at an idle
	// endpoint and at one that decodes meanwhile.
	idlePerToken, busyPerToken float64
	// prefillTokensPerMS is the prefill rate of an endpoint that decodes meanwhile.
	prefillTokensPerMS float64
	tokenInterval      float64
	answerTokens       float64
	promptTokens       float64
	batchFillWeight    float64
	peerWeight         float64
	networkDelay       [otherRegion + 1]float64
}

func (t *Table) newScoring(g *group, q *Query, now time.Time) scoring {
	s := scoring{
		q: q, now: now.UnixNano(),
		idlePerToken: millisPerSecond / g.idleRate, busyPerToken: millisPerSecond / g.busyRate,
		prefillTokensPerMS: g.busyRate / millisPerSecond,
		tokenInterval:      milliseconds(t.opts.TokenInterval),
		answerTokens:       float64(q.AnswerTokens), promptTokens: float64(q.PromptTokens),
		batchFillWeight: milliseconds(t.opts.BatchFillWeight),
		peerWeight:      t.opts.PeerWeight * float64(t.regionProcesses-1),
	}
	for i := range s.networkDelay {
		s.networkDelay[i] = milliseconds(t.delay(proximity(i)))
	}
	s.networkDelay[otherRegion] += float64(q.Bytes) / t.linkBytesPerSecond() * millisPerSecond
	return s
}

// score fills scratch with the endpoints that may be chosen and their scores.
func (t *Table) score(g *group, q *Query, now time.Time) {
	if cap(t.scratch) < len(g.rows) {
		t.scratch = make([]candidate, 0, 2*len(g.rows))
	}
	rows := t.scratch[:len(g.rows)]
	s := t.newScoring(g, q, now)
	n := 0
	for _, e := range g.rows {
		if e.leaving || s.now < e.suspectUntil ||
			(len(q.Excluded) > 0 && q.Excluded[e.row.Host.ID]) || t.isUnreachable(e, now) {
			continue
		}
		rows[n].endpoint, rows[n].rank = e, rendezvous(q.AffinityKey, e.hash)
		t.computeTerms(&rows[n], &s)
		n++
	}
	t.scratch = rows[:n]
	stale := t.staleness(s.now)
	t.markActive(g, stale, now)
	t.addCopyCosts(g, q, stale)
	for i := range t.scratch {
		t.scratch[i].score = t.scratch[i].terms.Score()
	}
}

func (t *Table) isUnreachable(e *endpoint, now time.Time) bool {
	return e.proximity == otherRegion && now.Before(t.unreachableUntil[e.row.Host.Region])
}

// computeTerms fills the terms that do not depend on other candidates.
func (t *Table) computeTerms(c *candidate, s *scoring) {
	e := c.endpoint
	c.cachedBlocks, c.cachedTokens, c.active = 0, 0, false
	if cached := s.q.Cached; cached != nil && e.slot >= 0 {
		c.cachedBlocks = int(cached.Blocks[e.slot])
		c.cachedTokens = min(cached.Tokens(e.slot), s.q.PromptTokens)
	}
	running, queuedTokens := e.load(s)
	perToken := s.busyPerToken
	if running < idleThreshold {
		perToken = s.idlePerToken
	}
	c.running = running
	c.terms.Queue = queuedTokens * perToken
	if over := running + 1 - e.maxRunning; over > 0 {
		c.terms.Queue += over * s.answerTokens * s.tokenInterval * e.invMaxRunning
	}
	fill := (running + 1) * e.invMaxRunning
	c.terms.BatchFill = fill * fill * s.batchFillWeight
	c.terms.Prefill = (s.promptTokens - float64(c.cachedTokens)) * perToken
	c.terms.Network = s.networkDelay[e.proximity]
	c.terms.Reclaim = e.reclaimCost(s, perToken)
	busyTime := c.terms.Prefill + s.answerTokens*s.tokenInterval/((1+running)*(1+running))
	c.terms.Price = t.opts.PriceWeight * e.price * busyTime
	c.terms.Copy = 0
}

// load estimates how many requests an endpoint runs and how many tokens wait there
// for prefill. It adds up this process's own requests, those of other processes in
// the last report, decayed by its age, and an allowance for what each peer has sent
// since then: PeerWeight times what this process has sent.
func (e *endpoint) load(s *scoring) (running, queuedTokens float64) {
	running, queuedTokens = float64(e.inFlight), float64(e.ownPrefillTokens)
	if e.reportAt == 0 {
		return running, queuedTokens
	}
	age := float64(max(s.now-e.reportAt, 0)) / float64(time.Millisecond)
	if e.othersRunning > 0 {
		running += float64(e.othersRunning) / (1 + age/reportHalfLifeMS)
	}
	queuedTokens += max(e.othersPrefill-age*s.prefillTokensPerMS, 0)
	return running + s.peerWeight*float64(e.runningSinceReport),
		queuedTokens + s.peerWeight*float64(e.prefillSinceReport)
}

// delay returns the round-trip network delay.
func (t *Table) delay(p proximity) time.Duration {
	switch p {
	case sameZone:
		return 0
	case sameRegion:
		return 2 * t.opts.ZoneDelay
	}
	return 2 * t.opts.RegionDelay
}

// reclaimCost returns the expected time to recompute the work that a known reclaim
// interrupts, in milliseconds.
func (e *endpoint) reclaimCost(s *scoring, perToken float64) float64 {
	if e.deadline == 0 {
		return 0
	}
	remaining := float64(e.deadline-s.now)/float64(time.Millisecond) - milliseconds(minReclaimLead)
	needed := s.promptTokens*perToken + s.answerTokens*s.tokenInterval
	if remaining >= needed {
		return 0
	}
	lostFraction := 1 - max(remaining, 0)/needed
	return lostFraction * (s.promptTokens + s.answerTokens) * perToken
}

// addCopyCosts adds the cost of prefilling tokens a second time: those that another
// candidate has cached, and a share of those that no candidate has cached yet but the
// endpoint with affinity for the prompt will cache. The endpoint second in rank is charged
// half of that share, so that excess load of a hot prefix goes there first.
func (t *Table) addCopyCosts(g *group, q *Query, stale float64) {
	perToken := millisPerSecond / g.idleRate
	first, second := t.topRanked()
	maxCached := t.maxCachedTokens()
	missCost := t.opts.AffinityWeight * (1 + t.opts.StaleAffinityGrowth*stale) *
		float64(min(q.PromptTokens-maxCached, maxAffinityTokens)) * perToken
	for i := range t.scratch {
		c := &t.scratch[i]
		c.terms.Copy = t.opts.CopyWeight * float64(max(maxCached-c.cachedTokens, 0)) * perToken
		switch {
		case q.AffinityKey == 0 || i == first:
		case i == second:
			c.terms.Copy += missCost / 2
		default:
			c.terms.Copy += missCost
		}
	}
}

// maxCachedTokens returns the most prompt tokens that any candidate has cached.
func (t *Table) maxCachedTokens() int {
	maxCached := 0
	for i := range t.scratch {
		maxCached = max(maxCached, t.scratch[i].cachedTokens)
	}
	return maxCached
}

// maxAffinityTokens bounds how many tokens of a prompt later prompts are assumed to
// share.
const maxAffinityTokens = 2048

// topRanked returns the indexes of the first and second active endpoints by
// rendezvous rank, or -1. The first is the one with affinity for the prompt.
func (t *Table) topRanked() (first, second int) {
	first, second = -1, -1
	for i := range t.scratch {
		c := &t.scratch[i]
		if !c.active {
			continue
		}
		switch {
		case first < 0 || c.rank > t.scratch[first].rank:
			first, second = i, first
		case second < 0 || c.rank > t.scratch[second].rank:
			second = i
		}
	}
	return first, second
}

// staleness returns by how much the mean age of the reports of endpoints in the
// region exceeds maxFreshReportAge, in seconds; at most maxStaleness.
func (t *Table) staleness(now int64) float64 {
	total, count := 0.0, 0.0
	for i := range t.scratch {
		e := t.scratch[i].endpoint
		if e.proximity == otherRegion || e.reportAt == 0 {
			continue
		}
		total += float64(now - e.reportAt)
		count++
	}
	if count == 0 {
		return 0
	}
	mean := time.Duration(total / count)
	return min(max(mean-maxFreshReportAge, 0), maxStaleness).Seconds()
}

// markActive marks as active the first endpoints of the region, in the order of
// group.sort, that suffice for the service's load. Affinity is limited to active
// endpoints: this concentrates work on few of them, and processes that observe about
// the same load agree on the endpoint with affinity for a prompt.
func (t *Table) markActive(g *group, stale float64, now time.Time) {
	load, maxRunning := 0.0, float64(t.opts.MaxRunning)
	for i := range t.scratch {
		if c := &t.scratch[i]; c.endpoint.proximity != otherRegion {
			load += c.running
			maxRunning = c.endpoint.maxRunning
		}
	}
	g.smoothLoad(load, now)
	target := math.Ceil(g.load*(1+t.opts.StaleActiveGrowth*stale)/(maxRunning*t.opts.ActiveBatchFill)) + 1
	for i := range t.scratch {
		if c := &t.scratch[i]; c.endpoint.proximity != otherRegion && target > 0 {
			c.active = true
			target--
		}
	}
}

// smoothLoad updates the smoothed load of a service. It starts over from load if the
// last update is older than loadSmoothingWindow.
func (g *group) smoothLoad(load float64, now time.Time) {
	elapsed := now.Sub(g.loadAt)
	if g.loadAt.IsZero() || elapsed > loadSmoothingWindow {
		g.load, elapsed = load, 0
	}
	g.load += (load - g.load) * float64(max(elapsed, 0)) / float64(loadSmoothingWindow)
	g.loadAt = now
}

// lowestScore returns the index of the lowest score among the endpoints of the
// region, or of other regions if far is set, or -1. breakTie decides ties.
func (t *Table) lowestScore(far bool) int {
	best := -1
	for i := range t.scratch {
		c := &t.scratch[i]
		if (c.endpoint.proximity == otherRegion) != far {
			continue
		}
		if best < 0 || c.score < t.scratch[best].score {
			best = i
		}
	}
	if best < 0 {
		return best
	}
	return t.breakTie(best, far)
}

// breakTie picks among the scores within TieWindow of the best by a hash that
// differs in each process, so that processes with equal views do not all pick the
// same endpoint.
func (t *Table) breakTie(best int, far bool) int {
	limit := t.scratch[best].score + milliseconds(t.opts.TieWindow)
	winner, highest := best, uint64(0)
	for i := range t.scratch {
		c := &t.scratch[i]
		if (c.endpoint.proximity == otherRegion) != far || c.score > limit {
			continue
		}
		if h := rendezvous(t.opts.Seed+t.choiceCount, c.endpoint.hash); h >= highest {
			winner, highest = i, h
		}
	}
	return winner
}
