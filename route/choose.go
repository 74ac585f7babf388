package route

import (
	"math"
	"time"
)

const (
	// freshReport is the age up to which reports count as fresh; mostStale
	// bounds what is beyond it.
	freshReport = time.Second
	mostStale   = 4 * time.Second
	// reportHalfLife is the age at which a report's word on others counts
	// half, in milliseconds.
	reportHalfLife = 5000.0
	// loadWindow is the time over which a service's load is followed.
	loadWindow = 5 * time.Second
	// reclaimFloor is the time left that no request should be sent into.
	reclaimFloor = 2 * time.Second
	// millisPerSecond turns seconds into the unit of scores.
	millisPerSecond = 1000.0
)

// candidate is an endpoint under consideration.
type candidate struct {
	endpoint *endpoint
	terms    Terms
	score    float64
	cached   int
	blocks   int
	// rank is the rendezvous weight for the request's prefix.
	rank    uint64
	running float64
	// active endpoints can be homes.
	active bool
}

// Choose picks the endpoint for a request and books the request there;
// ErrNoEndpoint, ErrLinkBudget. It does not allocate.
func (t *Table) Choose(q *Query, now time.Time) (Choice, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g, ok := t.groups[q.Service]
	if !ok {
		return Choice{}, ErrNoEndpoint
	}
	t.choices++
	best, err := t.best(g, q, now)
	if err != nil {
		return Choice{}, err
	}
	c := &t.scratch[best]
	e := c.endpoint
	t.recent.add(q, now, t.scratch, best)
	choice := Choice{
		Host: e.row.Host, Terms: c.terms,
		CachedTokens: c.cached, CachedBlocks: c.blocks,
		Spilled: e.near == otherRegion,
	}
	choice.Booking = t.book(g, e, max(q.PromptTokens-c.cached, 0), now)
	return choice, nil
}

// best returns the index in scratch of the endpoint to use.
func (t *Table) best(g *group, q *Query, now time.Time) (int, error) {
	t.score(g, q, now)
	near, far := t.lowest(false), t.lowest(true)
	if near >= 0 && !t.breaksTarget(near, q) && !t.worthTheWay(near, far) {
		return near, nil
	}
	if far < 0 && near < 0 {
		return -1, ErrNoEndpoint
	}
	if far < 0 || (near >= 0 && t.scratch[far].score >= t.scratch[near].score) {
		return near, nil
	}
	if t.payLink(g, q, now) {
		return far, nil
	}
	if near < 0 {
		return -1, ErrLinkBudget
	}
	return near, nil
}

func (t *Table) breaksTarget(at int, q *Query) bool {
	return q.Target > 0 && t.scratch[at].terms.FirstToken() > milliseconds(q.Target)
}

// worthTheWay reports whether a cache in another region saves enough.
func (t *Table) worthTheWay(near, far int) bool {
	return far >= 0 && t.scratch[far].cached > t.scratch[near].cached &&
		t.scratch[far].score+milliseconds(t.opts.SpillMargin) < t.scratch[near].score
}

// payLink takes a request's bytes from the budgets of the link and of the
// service, if both have them.
func (t *Table) payLink(g *group, q *Query, now time.Time) bool {
	t.link.fill(t.linkShare(), now)
	if t.link.level < float64(q.Bytes) {
		return false
	}
	if q.LinkBytesPerHour > 0 {
		g.link.fill(float64(q.LinkBytesPerHour)/float64(t.all)/time.Hour.Seconds(), now)
		if g.link.level < float64(q.Bytes) {
			return false
		}
		g.link.level -= float64(q.Bytes)
	}
	t.link.level -= float64(q.Bytes)
	return true
}

// linkShare returns this process's part of the link, in bytes a second.
func (t *Table) linkShare() float64 { return t.opts.LinkBytesPerSecond / float64(t.peers) }

// pass holds what is the same for all candidates of one choice, in the units
// of scores.
type pass struct {
	q   *Query
	now int64
	// alone and shared are the prefill times of a token.
	alone, shared float64
	// rate is the tokens that an endpoint prefills in a millisecond.
	rate     float64
	interval float64
	answer   float64
	prompt   float64
	crowd    float64
	peers    float64
	ways     [otherRegion + 1]float64
}

func (t *Table) newPass(g *group, q *Query, now time.Time) pass {
	p := pass{
		q: q, now: now.UnixNano(),
		alone: millisPerSecond / g.alone, shared: millisPerSecond / g.shared,
		rate:     g.shared / millisPerSecond,
		interval: milliseconds(t.opts.TokenInterval),
		answer:   float64(q.AnswerTokens), prompt: float64(q.PromptTokens),
		crowd: milliseconds(t.opts.CrowdWeight),
		peers: t.opts.PeerWeight * float64(t.peers-1),
	}
	for near := range p.ways {
		p.ways[near] = milliseconds(t.delay(nearness(near)))
	}
	p.ways[otherRegion] += float64(q.Bytes) / t.linkShare() * millisPerSecond
	return p
}

// score fills scratch with the endpoints that may be chosen.
func (t *Table) score(g *group, q *Query, now time.Time) {
	if cap(t.scratch) < len(g.rows) {
		t.scratch = make([]candidate, 0, 2*len(g.rows))
	}
	rows := t.scratch[:len(g.rows)]
	p := t.newPass(g, q, now)
	n := 0
	for _, e := range g.rows {
		if e.leaving || p.now < e.suspectUntil || (len(q.Excluded) > 0 && q.Excluded[e.row.Host.ID]) || t.isCutOff(e, now) {
			continue
		}
		rows[n].endpoint, rows[n].rank = e, rendezvous(q.Prefix, e.hash)
		t.weigh(&rows[n], &p)
		n++
	}
	t.scratch = rows[:n]
	stale := t.staleness(p.now)
	t.activate(g, stale, now)
	t.addCopies(g, q, stale)
	for i := range t.scratch {
		t.scratch[i].score = t.scratch[i].terms.Score()
	}
}

func (t *Table) isCutOff(e *endpoint, now time.Time) bool {
	return e.near == otherRegion && now.Before(t.cutOff[e.row.Host.Region])
}

// weigh fills the terms that do not depend on other candidates.
func (t *Table) weigh(c *candidate, p *pass) {
	e := c.endpoint
	c.blocks, c.cached, c.active = 0, 0, false
	if held := p.q.Held; held != nil && e.slot >= 0 {
		c.blocks = int(held.Blocks[e.slot])
		c.cached = min(held.Tokens(e.slot), p.q.PromptTokens)
	}
	running, ahead := e.load(p)
	perToken := p.shared
	if running < aloneBelow {
		perToken = p.alone
	}
	c.running = running
	c.terms.Queue = ahead * perToken
	if over := running + 1 - e.limit; over > 0 {
		c.terms.Queue += over * p.answer * p.interval * e.perPlace
	}
	fill := (running + 1) * e.perPlace
	c.terms.Crowd = fill * fill * p.crowd
	c.terms.Prefill = (p.prompt - float64(c.cached)) * perToken
	c.terms.Way = p.ways[e.near]
	c.terms.Reclaim = e.reclaim(p, perToken)
	busy := c.terms.Prefill + p.answer*p.interval/((1+running)*(1+running))
	c.terms.Price = t.opts.PriceWeight * e.price * busy
	c.terms.Copy = 0
}

// load returns how many requests an endpoint likely runs and how many tokens
// wait there for prefill: this process's own, what the last report says of
// others, aged, and for the time since then as much from each peer as from
// this process.
func (e *endpoint) load(p *pass) (running, ahead float64) {
	running, ahead = float64(e.inFlight), float64(e.ownPrefill)
	if e.reportAt == 0 {
		return running, ahead
	}
	age := float64(max(p.now-e.reportAt, 0)) / float64(time.Millisecond)
	if e.othersRunning > 0 {
		running += float64(e.othersRunning) / (1 + age/reportHalfLife)
	}
	ahead += max(e.othersPrefill-age*p.rate, 0)
	return running + p.peers*float64(e.sinceRunning), ahead + p.peers*float64(e.sincePrefill)
}

// delay returns the delay there and back.
func (t *Table) delay(near nearness) time.Duration {
	switch near {
	case sameZone:
		return 0
	case sameRegion:
		return 2 * t.opts.ZoneDelay
	}
	return 2 * t.opts.RegionDelay
}

// reclaim returns the expected cost of doing again what a known reclaim cuts
// off.
func (e *endpoint) reclaim(p *pass, perToken float64) float64 {
	if e.deadline == 0 {
		return 0
	}
	left := float64(e.deadline-p.now)/float64(time.Millisecond) - milliseconds(reclaimFloor)
	needed := p.prompt*perToken + p.answer*p.interval
	if left >= needed {
		return 0
	}
	cut := 1 - max(left, 0)/needed
	return cut * (p.prompt + p.answer) * perToken
}

// addCopies counts what would be computed again: tokens that another endpoint
// nearby holds, and the part that none holds but the prompt's home will. The
// second in rank, where a hot home's load goes first, pays half of the latter.
func (t *Table) addCopies(g *group, q *Query, stale float64) {
	perToken := millisPerSecond / g.alone
	first, second := t.ranks()
	held := t.mostCached()
	home := t.opts.HomeWeight * (1 + t.opts.StaleHome*stale) * float64(min(q.PromptTokens-held, maxHomeTokens)) * perToken
	for i := range t.scratch {
		c := &t.scratch[i]
		c.terms.Copy = t.opts.CopyWeight * float64(max(held-c.cached, 0)) * perToken
		switch {
		case q.Prefix == 0 || i == first:
		case i == second:
			c.terms.Copy += home / 2
		default:
			c.terms.Copy += home
		}
	}
}

// mostCached returns the most tokens that an endpoint holds.
func (t *Table) mostCached() int {
	most := 0
	for i := range t.scratch {
		most = max(most, t.scratch[i].cached)
	}
	return most
}

// maxHomeTokens bounds the tokens of a prompt that later ones likely share.
const maxHomeTokens = 2048

// ranks returns the home and the second in rank among the active endpoints.
func (t *Table) ranks() (first, second int) {
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

// staleness returns how much older than freshReport the reports of endpoints
// nearby are on the whole, in seconds.
func (t *Table) staleness(now int64) float64 {
	total, count := 0.0, 0.0
	for i := range t.scratch {
		e := t.scratch[i].endpoint
		if e.near == otherRegion || e.reportAt == 0 {
			continue
		}
		total += float64(now - e.reportAt)
		count++
	}
	if count == 0 {
		return 0
	}
	mean := time.Duration(total / count)
	return min(max(mean-freshReport, 0), mostStale).Seconds()
}

// activate marks the first endpoints nearby, in the service's order, that are
// enough for its load. Homes are among them, so that work gathers there and
// all processes that see about the same load agree on homes.
func (t *Table) activate(g *group, stale float64, now time.Time) {
	load, limit := 0.0, float64(t.opts.MaxRunning)
	for i := range t.scratch {
		if c := &t.scratch[i]; c.endpoint.near != otherRegion {
			load += c.running
			limit = c.endpoint.limit
		}
	}
	g.smooth(load, now)
	wanted := math.Ceil(g.load*(1+t.opts.StaleFill*stale)/(limit*t.opts.ActiveFill)) + 1
	for i := range t.scratch {
		if c := &t.scratch[i]; c.endpoint.near != otherRegion && wanted > 0 {
			c.active = true
			wanted--
		}
	}
}

// smooth follows the load of a service slowly.
func (g *group) smooth(load float64, now time.Time) {
	passed := now.Sub(g.loadAt)
	if g.loadAt.IsZero() || passed > loadWindow {
		g.load, passed = load, 0
	}
	g.load += (load - g.load) * float64(max(passed, 0)) / float64(loadWindow)
	g.loadAt = now
}

// lowest returns the index of the lowest score among the near or the far
// endpoints, or -1. Among ties the process's own hash decides.
func (t *Table) lowest(far bool) int {
	best := -1
	for i := range t.scratch {
		c := &t.scratch[i]
		if (c.endpoint.near == otherRegion) != far {
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

func (t *Table) breakTie(best int, far bool) int {
	limit := t.scratch[best].score + milliseconds(t.opts.TieWindow)
	winner, highest := best, uint64(0)
	for i := range t.scratch {
		c := &t.scratch[i]
		if (c.endpoint.near == otherRegion) != far || c.score > limit {
			continue
		}
		if h := rendezvous(t.opts.Seed+t.choices, c.endpoint.hash); h >= highest {
			winner, highest = i, h
		}
	}
	return winner
}
