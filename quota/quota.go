// Package quota holds each workspace to its limit over all hosts together.
//
// Load pattern: one workspace sends many times its usual while the others must
// not notice, and hosts die, freeze or lose the store meanwhile. Each host
// gives out its share of the limit from a bucket of its own; shares follow the
// demand that the hosts report, and stay as they are while nothing is heard, so
// that all shares add up to the limit without a call per request.
//
// The package does no I/O and reads no clock. Table has one lock, a leaf.
package quota

import (
	"math"
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/catalog"
)

const (
	// demandTime is the time over which demand is averaged: a few reports
	// between hosts.
	demandTime = 4 * time.Second
	// leastShare is the part of an equal share that a host keeps without
	// demand, so that its first requests need not wait for a report.
	leastShare = 0.2
	// toleranceShare is the part of the platform's tolerance that is used: the
	// rest covers shares that change while reports are on their way.
	toleranceShare = 0.45
	// calmShare is the part of a limit up to which the demand on all hosts
	// together counts as calm.
	calmShare = 0.9
	// surgeTimes is how many equal shares of the limit one host's demand may be
	// before it counts as a peak: the reports of the others come later.
	surgeTimes = 2.5
	// overdraftSeconds is how many seconds of an equal share of the limit a host
	// lend while demand has been calm for a whole window: callers are spread
	// over the hosts by chance, and prompts differ a hundredfold in length. It is
	// paid back before anything else is given out, so no window exceeds the limit
	// if it is below half of one.
	overdraftSeconds = 2.0
	// minRetryAfter keeps refused callers from coming back at once.
	minRetryAfter = 100 * time.Millisecond
)

// Tolerance is what the platform allows beyond a limit in any window: Ratio of
// what the window allows, and Slack units. A request may be larger than a host's
// share of a burst, so the tolerance is given out too, or hosts would refuse
// requests of a workspace that is well below its limit.
type Tolerance struct {
	Window time.Duration
	Ratio  float64
	Slack  float64
}

type bucket struct {
	limit catalog.Limit
	share float64
	level float64
	at    time.Time
	// demand is the mean rate that was asked for here, in units a second, others
	// what the other hosts reported.
	demand float64
	others float64
	// reported is the demand that this host last told the others, before the one
	// that it told before. The others' figures are up to a report old: while
	// demand rises, shares worked out from this host's newest would add up to
	// too much, so the one of the same age is used.
	reported, before float64
	// told counts the reports since the process began: until there are two the
	// host has no demand to divide by, and gives out an equal part.
	told int
	// calmSince is when demand was last seen to be near the limit.
	calmSince time.Time
}

// Table holds the buckets of one host. Safe for concurrent use.
type Table struct {
	tolerance Tolerance
	started   time.Time

	mu      sync.Mutex
	equal   float64
	narrow  float64
	buckets map[string]*bucket
}

// startLevel is the part of a bucket that a process begins with. The one before
// may have given out this window's share; what all hosts together begin with is
// below the tolerance of a window.
const startLevel = 0.5

// reportsLeast is how many reports a host must have told for its demand to count:
// the shares go by the one before the last.
const reportsLeast = 2

// startCalm is how long a process watches the demand before it lends, where a
// process that has seen a peak waits a whole window.
const startCalm = time.Second

// NewTable returns the table of a process that starts now; until shares are set
// it takes itself to be one of a number of hosts.
func NewTable(now time.Time, hosts int, tolerance Tolerance) *Table {
	return &Table{started: now, tolerance: tolerance, equal: 1 / float64(max(hosts, 1)), narrow: 1, buckets: map[string]*bucket{}}
}

// Cost returns what a request counts. tokens is negative when it states none.
func Cost(l catalog.Limit, tokens int) float64 {
	switch {
	case !l.InTokens:
		return 1
	case tokens < 0:
		return l.PlainTokens
	}
	return float64(tokens)
}

// Restart empties the buckets: from now on this table gives out what another one
// gave out until now, and may still give out.
func (t *Table) Restart(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.started = now
	for _, b := range t.buckets {
		b.level, b.at, b.calmSince = min(b.level, 0), now, now
	}
}

// Narrow uses a part of the shares only: others now give out the rest of them.
func (t *Table) Narrow(part float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.narrow = part
}

// Take books a request. When the workspace is over this host's share it books
// nothing and returns when there will be room.
func (t *Table) Take(now time.Time, w *catalog.Workspace, cost float64) (retryAfter time.Duration, ok bool) {
	if w == nil || w.Limit.PerSecond <= 0 {
		return 0, true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.bucket(now, w)
	b.ask(now, cost, t.equal)
	if floor := t.floor(now, b, cost); b.level < floor {
		missing := floor - b.level
		wait := time.Duration(missing / (b.limit.PerSecond * b.share * t.narrow) * float64(time.Second))
		return max(wait, minRetryAfter), false
	}
	b.level -= cost
	return 0, true
}

// Charge books a repeat of a request that was taken: an endpoint runs it once
// more, whatever the level is.
func (t *Table) Charge(now time.Time, w *catalog.Workspace, cost float64) {
	if w == nil || w.Limit.PerSecond <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bucket(now, w).level -= cost
}

// Return gives back what a request that did not run had booked.
func (t *Table) Return(now time.Time, w *catalog.Workspace, cost float64) {
	if w == nil || w.Limit.PerSecond <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.bucket(now, w)
	b.level = min(b.level+cost, t.capacity(b))
}

func (t *Table) bucket(now time.Time, w *catalog.Workspace) *bucket {
	b, ok := t.buckets[w.Name]
	if !ok {
		b = &bucket{limit: w.Limit, share: t.equal, at: t.started, calmSince: t.started.Add(startCalm - t.tolerance.Window)}
		b.level = startLevel * t.capacity(b)
		t.buckets[w.Name] = b
	}
	b.limit = w.Limit
	passed := max(now.Sub(b.at).Seconds(), 0)
	b.at = now
	b.level = min(b.level+passed*b.limit.PerSecond*b.share*t.narrow, t.capacity(b))
	b.demand *= max(0, 1-passed/demandTime.Seconds())
	return b
}

func (b *bucket) ask(now time.Time, cost, equal float64) {
	b.demand += cost / demandTime.Seconds()
	if b.demand+b.others > calmShare*b.limit.PerSecond || b.demand > surgeTimes*equal*b.limit.PerSecond {
		b.calmSince = now
	}
}

// floor is the least level at which a request is taken: what it costs, or how
// much may be lent while demand is calm.
func (t *Table) floor(now time.Time, b *bucket, cost float64) float64 {
	if now.Sub(b.calmSince) < t.tolerance.Window {
		return min(cost, t.capacity(b))
	}
	return cost - overdraftSeconds*b.limit.PerSecond*max(b.share, t.equal)*t.narrow
}

// capacity is this host's share of what may go out at once: the burst and the
// tolerance of one window.
func (t *Table) capacity(b *bucket) float64 {
	window := b.limit.PerSecond*t.tolerance.Window.Seconds() + b.limit.Burst
	return (b.limit.Burst + toleranceShare*(window*t.tolerance.Ratio+t.tolerance.Slack)) * b.share * t.narrow
}

// Demand returns the rate that each workspace asks for here, in units a second,
// to be told to the other hosts.
func (t *Table) Demand(now time.Time) map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]float64{}
	for name, b := range t.buckets {
		rate := b.demand * max(0, 1-now.Sub(b.at).Seconds()/demandTime.Seconds())
		b.reported, b.before = rate, b.reported
		b.told++
		if rate > 0 {
			out[name] = rate
		}
	}
	return out
}

// Shares returns the share of each limit that this host gives out, to be told to
// the other hosts.
func (t *Table) Shares() map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]float64{}
	for name, b := range t.buckets {
		const precision = 1000 // keeps reports short
		out[name] = math.Ceil(b.share*precision) / precision
	}
	return out
}

// SetShares sets this host's shares: what the silent hosts keep is left to them,
// the rest is divided by the demand of the live ones. hosts counts the live hosts,
// this one included; silent is the sum of the shares of those that are not heard
// of, which may serve on.
func (t *Table) SetShares(hosts int, others, silent map[string]float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.equal = 1 / float64(max(hosts, 1))
	for name, b := range t.buckets {
		part := share(b.before, others[name], t.equal)
		if b.told < reportsLeast {
			part = max(part, t.equal)
		}
		b.share = part * max(1-silent[name], 0)
		b.others = others[name]
	}
}

// share divides the limit: half of an equal part for each host as a floor, the
// rest by demand.
func share(mine, others, equal float64) float64 {
	floor := equal * leastShare
	if mine+others <= 0 {
		return equal
	}
	return floor + (1-leastShare)*mine/(mine+others)
}

// Row is one workspace in the state dump.
type Row struct {
	Workspace string  `json:"workspace"`
	Share     float64 `json:"share"`
	Level     float64 `json:"level"`
	Demand    float64 `json:"demand_per_s"`
}

// State returns the dump.
func (t *Table) State() []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Row, 0, len(t.buckets))
	for name, b := range t.buckets {
		out = append(out, Row{name, b.share, b.level, b.demand})
	}
	return out
}
