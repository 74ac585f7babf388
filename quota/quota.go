// Package quota enforces the limit of each workspace over all hosts together.
//
// Load pattern: a workspace sends many times its usual load, which must not affect the
// others, while hosts fail, freeze or cannot reach the store. So each host grants its
// share of the limit from a local token bucket. Shares follow the demand that the hosts
// report and do not change while no reports arrive, so that all shares add up to the
// limit without a remote call per request.
//
// The package does no I/O and reads no clock. Table has one lock; no other lock is
// acquired while it is held.
package quota

import (
	"math"
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/catalog"
)

const (
	// demandWindow is the time over which demand is averaged. It covers a few
	// reports between hosts.
	demandWindow = 4 * time.Second
	// minShareRatio is the fraction of an equal share that a host has even without demand:
	// otherwise its first requests would be refused until the next report.
	minShareRatio = 0.2
	// usableToleranceRatio is the fraction of the platform's tolerance that is granted.
	// The rest covers shares that change while reports are in transit.
	usableToleranceRatio = 0.45
	// peakLimitRatio and peakShareFactor define a peak; see recordDemand. The former is a
	// fraction of a limit, the latter a number of equal shares of it.
	peakLimitRatio  = 0.9
	peakShareFactor = 2.5
	// overdraftSeconds is the overdraft that a host grants if there was no peak for a
	// whole window, in seconds of its share of the limit or of an equal share, whichever
	// is larger. An overdraft is allowed because callers are spread over the hosts at random and
	// prompts differ a hundredfold in length. The overdraft is repaid before anything
	// else is granted, so no window exceeds the limit as long as the overdraft is below
	// half a window.
	overdraftSeconds = 2.0
	// minRetryAfter is the least delay returned to refused callers, so that they do not
	// retry immediately.
	minRetryAfter = 100 * time.Millisecond
)

// Tolerance is the amount by which the platform allows a limit to be exceeded in any
// window: Ratio of what the window allows, plus Slack units. Hosts grant part of it,
// because a request may be larger than a host's share of the burst and would otherwise
// be refused although the workspace is well below its limit.
type Tolerance struct {
	Window time.Duration
	Ratio  float64
	Slack  float64
}

// bucket is the token bucket of one workspace. Its units are those of the limit: tokens or
// requests.
type bucket struct {
	limit catalog.Limit
	// share is the fraction of the limit that this host grants.
	share float64
	// level is the units available as of updatedAt; negative until an overdraft or a
	// charged retry is repaid.
	level     float64
	updatedAt time.Time
	// demand is the mean rate requested on this host, othersDemand the rate that the
	// other hosts reported, both in units per second.
	demand       float64
	othersDemand float64
	// reported is the demand in this host's last report, previousReported the one in the
	// report before. Shares are computed from previousReported, because the others'
	// values are up to one report old: while demand rises, shares computed from this
	// host's newest value would add up to more than the limit.
	reported, previousReported float64
	// reports counts the reports since the bucket was created; see minReports.
	reports int
	// lastPeak is when demand was last seen to be a peak; no overdraft is granted for a
	// window after it. It is also set to withhold overdrafts without a peak: by Reset for a
	// whole window, in a new bucket until startupOverdraftDelay after the start.
	lastPeak time.Time
}

// Table holds the buckets of one host. It is safe for concurrent use.
type Table struct {
	tolerance Tolerance
	started   time.Time

	mu             sync.Mutex
	equalShare     float64
	activeFraction float64
	buckets        map[string]*bucket
}

// initialLevelRatio is the fraction of a bucket that is available when a process starts.
// The previous process may already have granted this window's share; the initial levels
// of all hosts together are below the tolerance of one window.
const initialLevelRatio = 0.5

// minReports is the number of reports from which on a bucket's demand is known, because
// shares are computed from the report before the last. Until then the host grants at least
// an equal share.
const minReports = 2

// startupOverdraftDelay is how long a process observes the demand after its start before
// it grants an overdraft. After a peak it waits a whole window.
const startupOverdraftDelay = time.Second

// NewTable returns the table of a process that starts at now. Until shares are set, the
// host has an equal share among the given number of hosts.
func NewTable(now time.Time, hosts int, tolerance Tolerance) *Table {
	return &Table{started: now, tolerance: tolerance, equalShare: 1 / float64(max(hosts, 1)), activeFraction: 1, buckets: map[string]*bucket{}}
}

// Cost returns the units that a request counts against a limit. tokens is negative if
// the request states no token count.
func Cost(l catalog.Limit, tokens int) float64 {
	switch {
	case !l.InTokens:
		return 1
	case tokens < 0:
		return l.DefaultTokens
	}
	return float64(tokens)
}

// Reset empties the buckets, but leaves levels that are negative as they are, and withholds
// overdrafts for a window. It is called when this table takes over a share that another
// table has granted until now, and may still be granting.
func (t *Table) Reset(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.started = now
	for _, b := range t.buckets {
		b.level, b.updatedAt, b.lastPeak = min(b.level, 0), now, now
	}
}

// SetActiveFraction limits this table to a fraction of its shares, because other hosts now
// grant the rest.
func (t *Table) SetActiveFraction(fraction float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.activeFraction = fraction
}

// Take charges the cost of a request to the workspace. If the workspace has used up this
// host's share, Take charges nothing and returns the delay until the request will fit.
func (t *Table) Take(now time.Time, w *catalog.Workspace, cost float64) (retryAfter time.Duration, ok bool) {
	if w == nil || w.Limit.PerSecond <= 0 {
		return 0, true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.bucket(now, w)
	b.recordDemand(now, cost, t.equalShare)
	if minLevel := t.minLevel(now, b, cost); b.level < minLevel {
		missing := minLevel - b.level
		wait := time.Duration(missing / (b.limit.PerSecond * b.share * t.activeFraction) * float64(time.Second))
		return max(wait, minRetryAfter), false
	}
	b.level -= cost
	return 0, true
}

// Charge charges a retry of a request that was accepted before. It does so at any level,
// because the endpoint runs the request again in any case.
func (t *Table) Charge(now time.Time, w *catalog.Workspace, cost float64) {
	if w == nil || w.Limit.PerSecond <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bucket(now, w).level -= cost
}

// Return refunds the cost of a request that did not run.
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
		b = &bucket{limit: w.Limit, share: t.equalShare, updatedAt: t.started, lastPeak: t.started.Add(startupOverdraftDelay - t.tolerance.Window)}
		b.level = initialLevelRatio * t.capacity(b)
		t.buckets[w.Name] = b
	}
	b.limit = w.Limit
	elapsed := max(now.Sub(b.updatedAt).Seconds(), 0)
	b.updatedAt = now
	b.level = min(b.level+elapsed*b.limit.PerSecond*b.share*t.activeFraction, t.capacity(b))
	b.demand *= max(0, 1-elapsed/demandWindow.Seconds())
	return b
}

// recordDemand adds the cost of a request to the demand. The demand is a peak if it exceeds
// peakLimitRatio of the limit on all hosts together, or peakShareFactor equal shares of the
// limit on this host: the reports of the other hosts arrive later.
func (b *bucket) recordDemand(now time.Time, cost, equalShare float64) {
	b.demand += cost / demandWindow.Seconds()
	if b.demand+b.othersDemand > peakLimitRatio*b.limit.PerSecond || b.demand > peakShareFactor*equalShare*b.limit.PerSecond {
		b.lastPeak = now
	}
}

// minLevel is the lowest level at which a request is accepted: its cost, capped at the
// capacity so that a full bucket accepts any request, or a lower one if an overdraft is
// allowed because there was no recent peak.
func (t *Table) minLevel(now time.Time, b *bucket, cost float64) float64 {
	if now.Sub(b.lastPeak) < t.tolerance.Window {
		return min(cost, t.capacity(b))
	}
	return cost - overdraftSeconds*b.limit.PerSecond*max(b.share, t.equalShare)*t.activeFraction
}

// capacity is this host's share of what may be granted at once: the burst and the usable
// tolerance of one window.
func (t *Table) capacity(b *bucket) float64 {
	window := b.limit.PerSecond*t.tolerance.Window.Seconds() + b.limit.Burst
	return (b.limit.Burst + usableToleranceRatio*(window*t.tolerance.Ratio+t.tolerance.Slack)) * b.share * t.activeFraction
}

// Demand returns the rate that each workspace requests on this host, in units per second.
// It must be called once for each report to the other hosts.
func (t *Table) Demand(now time.Time) map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]float64{}
	for name, b := range t.buckets {
		rate := b.demand * max(0, 1-now.Sub(b.updatedAt).Seconds()/demandWindow.Seconds())
		b.reported, b.previousReported = rate, b.reported
		b.reports++
		if rate > 0 {
			out[name] = rate
		}
	}
	return out
}

// Shares returns the share of each limit that this host grants, for the report to the
// other hosts.
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

// SetShares sets this host's shares. The shares of unresponsive hosts stay reserved for
// them, because they may still be serving; the rest is divided by the demand of the live
// hosts. granters is the number of hosts that grant shares, this one included. others is
// the demand reported by the other live hosts, reservedShares the sum of the shares of the
// unresponsive hosts, both by workspace.
func (t *Table) SetShares(granters int, others, reservedShares map[string]float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.equalShare = 1 / float64(max(granters, 1))
	for name, b := range t.buckets {
		share := computeShare(b.previousReported, others[name], t.equalShare)
		if b.reports < minReports {
			share = max(share, t.equalShare)
		}
		b.share = share * max(1-reservedShares[name], 0)
		b.othersDemand = others[name]
	}
}

// computeShare returns a host's share of the limit: minShareRatio of an equal share, and of
// the rest a part in proportion to its own demand; an equal share if there is no demand.
func computeShare(own, others, equalShare float64) float64 {
	minShare := equalShare * minShareRatio
	if own+others <= 0 {
		return equalShare
	}
	return minShare + (1-minShareRatio)*own/(own+others)
}

// WorkspaceState is the debug view of one workspace.
type WorkspaceState struct {
	Workspace string  `json:"workspace"`
	Share     float64 `json:"share"`
	Level     float64 `json:"level"`
	Demand    float64 `json:"demand_per_s"`
}

// State returns the debug view of all workspaces, in no particular order.
func (t *Table) State() []WorkspaceState {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]WorkspaceState, 0, len(t.buckets))
	for name, b := range t.buckets {
		out = append(out, WorkspaceState{name, b.share, b.level, b.demand})
	}
	return out
}
