package route

import (
	"math"
	"time"
)

const (
	// reportHalfLife is the age at which a report's word on others counts
	// half.
	reportHalfLife = 5 * time.Second
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

// score fills scratch with the endpoints that may be chosen.
func (t *Table) score(g *group, q *Query, now time.Time) {
	t.scratch = t.scratch[:0]
	for _, e := range g.rows {
		if e.row.Leaving || now.Before(e.suspectUntil) || q.Excluded[e.row.Host.ID] || t.isCutOff(e, now) {
			continue
		}
		t.scratch = append(t.scratch, candidate{endpoint: e})
		c := &t.scratch[len(t.scratch)-1]
		c.cached = min(q.Held.Tokens(e.row.Slot), q.PromptTokens)
		if q.Held != nil && e.row.Slot >= 0 {
			c.blocks = int(q.Held.Blocks[e.row.Slot])
		}
		c.rank = rendezvous(q.Prefix, e.hash)
		t.fillTerms(c, g, q, now)
	}
	t.activate(g, now)
	t.addCopies(g, q)
	for i := range t.scratch {
		t.scratch[i].score = t.scratch[i].terms.Score()
	}
}

func (t *Table) isCutOff(e *endpoint, now time.Time) bool {
	return e.near == otherRegion && now.Before(t.cutOff[e.row.Host.Region])
}

func (t *Table) fillTerms(c *candidate, g *group, q *Query, now time.Time) {
	e := c.endpoint
	running, ahead := t.load(e, g.shared, now)
	c.running = running
	perToken := g.perToken(running)
	c.terms.Queue = ahead * perToken
	limit := e.limit(t.opts.MaxRunning)
	interval := milliseconds(t.opts.TokenInterval)
	if over := running + 1 - limit; over > 0 {
		c.terms.Queue += over * float64(q.AnswerTokens) * interval / limit
	}
	fill := (running + 1) / limit
	c.terms.Crowd = fill * fill * milliseconds(t.opts.CrowdWeight)
	c.terms.Prefill = float64(q.PromptTokens-c.cached) * perToken
	c.terms.Way = t.way(e.near, q.Bytes)
	c.terms.Reclaim = e.reclaim(q, interval, perToken, now)
	busy := c.terms.Prefill + float64(q.AnswerTokens)*interval/((1+running)*(1+running))
	c.terms.Price = t.opts.PriceWeight * e.price * busy
}

// perToken returns the prefill time of one token, in milliseconds.
func (g *group) perToken(running float64) float64 {
	if running < aloneBelow {
		return millisPerSecond / g.alone
	}
	return millisPerSecond / g.shared
}

// load returns how many requests an endpoint likely runs and how many tokens
// wait there for prefill: this process's own, what the last report says of
// others, aged, and for the time since then as much from each peer as from
// this process.
func (t *Table) load(e *endpoint, rate float64, now time.Time) (running, ahead float64) {
	running, ahead = float64(e.inFlight), float64(e.ownPrefill)
	if !e.reported {
		return running, ahead
	}
	age := max(now.Sub(e.report.At), 0)
	running += float64(e.othersRunning) / (1 + float64(age)/float64(reportHalfLife))
	ahead += max(e.othersPrefill-age.Seconds()*rate, 0)
	peers := t.opts.PeerWeight * float64(t.peers-1)
	return running + peers*float64(e.sinceRunning), ahead + peers*float64(e.sincePrefill)
}

func (e *endpoint) limit(assumed int) float64 {
	if e.report.MaxRunning > 0 {
		return float64(e.report.MaxRunning)
	}
	return float64(assumed)
}

func (t *Table) way(near nearness, bytes int) float64 {
	way := milliseconds(t.delay(near))
	if near == otherRegion {
		way += float64(bytes) / t.linkShare() * millisPerSecond
	}
	return way
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
func (e *endpoint) reclaim(q *Query, interval, perToken float64, now time.Time) float64 {
	if e.row.Deadline.IsZero() {
		return 0
	}
	left := milliseconds(e.row.Deadline.Sub(now) - reclaimFloor)
	needed := float64(q.PromptTokens)*perToken + float64(q.AnswerTokens)*interval
	if left >= needed {
		return 0
	}
	cut := 1 - max(left, 0)/needed
	return cut * float64(q.PromptTokens+q.AnswerTokens) * perToken
}

// addCopies counts what would be computed again: tokens that another endpoint
// nearby holds, and the part that none holds but the prompt's home will. The
// second in rank, where a hot home's load goes first, pays half of the latter.
func (t *Table) addCopies(g *group, q *Query) {
	perToken := millisPerSecond / g.alone
	first, second := t.ranks()
	held := t.mostCached()
	home := t.opts.HomeWeight * float64(min(q.PromptTokens-held, maxHomeTokens)) * perToken
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

// activate marks the first endpoints nearby, in the service's order, that are
// enough for its load. Homes are among them, so that work gathers there and
// all processes that see about the same load agree on homes.
func (t *Table) activate(g *group, now time.Time) {
	load, limit := 0.0, float64(t.opts.MaxRunning)
	for i := range t.scratch {
		if c := &t.scratch[i]; c.endpoint.near != otherRegion {
			load += c.running
			limit = c.endpoint.limit(t.opts.MaxRunning)
		}
	}
	g.smooth(load, now)
	wanted := math.Ceil(g.load/(limit*t.opts.ActiveFill)) + 1
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
