// Package quota enforces the limit of each workspace over all hosts together.
//
// Load pattern: a workspace sends many times its usual load, which must not affect the
// others, while hosts fail, freeze or cannot reach the store. So each host grants its
// share of the limit from a local token bucket, without a remote call per request. Shares are
// set by SetShares; package grant decides them so that they add up to at most one.
//
// The package does no I/O and reads no clock. Table has one lock; no other lock is
// acquired while it is held.
package quota

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/catalog"
	"github.com/cicadanotch/cicadanotch/grant"
)

const (
	// demandWindow is the time over which demand is averaged.
	demandWindow = 4 * time.Second

	// The tolerance of a window covers, as fractions of it: depthRatio in the depth of the buckets; startRatio
	// in what they hold when a process starts, as its previous process may have granted the window's share;
	// debtRatio twice, as the processes before a restart may have ended in debt, too; ungrantedRatio twice, for
	// the depth and the refill of hosts without a share. They add up to one.
	depthRatio     = 0.3
	startRatio     = 0.3
	debtRatio      = 0.15
	ungrantedRatio = 0.05

	// loanSeconds is the debt that a host accepts while the workspace has not been busy for a window, in
	// seconds of its share of the limit. A window that ends in debt has been calm until a peak began, so less
	// than grant.BusyRatio of its limit was granted before: the loan is what that left, but for busyDelay,
	// in which the peak becomes known.
	loanSeconds = (1 - grant.BusyRatio) * (8 - busyDelay)
	busyDelay   = 1.0 // seconds
	// maxGateRatio is the largest gate, as a fraction of the bucket's capacity; see gate.
	maxGateRatio = 0.5
	// reserveRatio is the largest fraction of the refill that is reserved for short requests, maxReserveRatio the
	// largest reserve as a fraction of the bucket's capacity.
	reserveRatio    = 0.5
	maxReserveRatio = 0.25
	// longWait is how long a long request that was refused counts as waiting for room.
	longWait = 4 * time.Second
	// minRetryAfter is the least delay returned to refused callers, so that they do not
	// retry immediately; maxRetryAfter the largest, as shares change within less.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 4 * time.Second
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

// allowance returns the units by which a limit may be exceeded in a window.
func (t Tolerance) allowance(l catalog.Limit) float64 {
	return (l.PerSecond*t.Window.Seconds()+l.Burst)*t.Ratio + t.Slack
}

// bucket is the token bucket of one workspace. Its units are those of the limit: tokens or
// requests.
type bucket struct {
	limit catalog.Limit
	// share is the fraction of the limit that this host grants.
	share float64
	// level is the units available as of updatedAt; negative until a debt or a charged retry is
	// repaid.
	level     float64
	updatedAt time.Time
	// reserve is the part of the level that only short requests may use, at most what they ask for within
	// demandWindow.
	reserve float64
	// started is set once the bucket has had its first share.
	started bool
	// demand is the mean rate requested on this host, in units per second.
	demand float64
	// shortDemand is the part of it that short requests asked for.
	shortDemand float64
	// largest is the largest cost requested; it falls to zero within demandWindow.
	largest float64
	// promised is what the refused requests need that were told to return and have yet to find room.
	promised float64
	// longRefusedAt is when a long request was last refused, since one was accepted; zero if none was.
	longRefusedAt time.Time
	// lastPeak is when the workspace was last known to be busy.
	lastPeak time.Time
}

// Table holds the buckets of one host. It is safe for concurrent use.
type Table struct {
	tolerance Tolerance

	mu      sync.Mutex
	hosts   int
	shares  map[string]float64
	until   time.Time
	buckets map[string]*bucket
}

// NewTable returns the table of a process that has no shares yet. hosts is the number of hosts among
// which the small part is divided that hosts grant without a share.
func NewTable(hosts int, tolerance Tolerance) *Table {
	return &Table{tolerance: tolerance, hosts: max(hosts, 1), buckets: map[string]*bucket{}}
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

// SetHosts sets the number of hosts among which the small part is divided that hosts grant without a
// share.
func (t *Table) SetHosts(hosts int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts = max(hosts, 1)
}

// SetShares puts shares in force, by workspace, until a time. Workspaces that are not named have none. busy are
// the workspaces whose demand at all hosts is near their limit.
func (t *Table) SetShares(now time.Time, workspaces []*catalog.Workspace, shares map[string]float64, busy []string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range t.buckets {
		t.advance(now, b) // by the shares in force until now
	}
	t.shares, t.until = shares, until
	for _, w := range workspaces {
		if w.Limit.PerSecond > 0 {
			t.bucket(now, w)
		}
	}
	for name, b := range t.buckets {
		t.setShare(now, name, b)
		if slices.Contains(busy, name) {
			b.lastPeak = now
		}
	}
}

// shareInForce returns the share of a workspace's limit that this host grants now.
func (t *Table) shareInForce(now time.Time, workspace string) float64 {
	if !now.Before(t.until) {
		return 0
	}
	return t.shares[workspace]
}

// setShare sets the share of a bucket. One that falls cuts the level; one that rises leaves it, but for
// the first share of a process.
func (t *Table) setShare(now time.Time, name string, b *bucket) {
	b.share = t.shareInForce(now, name)
	if b.share > 0 && !b.started {
		b.started = true
		b.level = min(b.level, 0) + startRatio*t.tolerance.allowance(b.limit)*b.share
	}
	b.level = min(b.level, t.capacity(b))
	b.reserve = min(b.reserve, maxReserveRatio*t.capacity(b))
}

// Take charges the cost of a request to the workspace. If the workspace has used up this
// host's share, Take charges nothing and returns the delay until the request will fit.
func (t *Table) Take(now time.Time, w *catalog.Workspace, cost float64) (retryAfter time.Duration, ok bool) {
	return t.take(now, w, cost, true)
}

// TakeRefused is Take for a request that another host has refused, where it counts as demand.
func (t *Table) TakeRefused(now time.Time, w *catalog.Workspace, cost float64) (retryAfter time.Duration, ok bool) {
	return t.take(now, w, cost, false)
}

func (t *Table) take(now time.Time, w *catalog.Workspace, cost float64, isDemand bool) (retryAfter time.Duration, ok bool) {
	if w == nil || w.Limit.PerSecond <= 0 {
		return 0, true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.bucket(now, w)
	if isDemand {
		b.recordDemand(now, cost)
	}
	long := b.isLong(cost)
	if missing := t.missing(now, b, cost); missing > 0 {
		if long {
			b.longRefusedAt = now
		}
		refill := t.refill(b)
		if long {
			refill -= min(reserveRatio*refill, b.shortDemand)
		}
		after := RetryAfter(missing, b.promised, refill)
		b.promised = min(b.promised+cost, maxRetryAfter.Seconds()*refill)
		return after, false
	}
	b.level -= cost
	switch {
	case !t.isBusy(now, b):
		t.limitReserve(b)
	case long:
		b.longRefusedAt = time.Time{}
	default:
		b.reserve = max(b.reserve-cost, 0)
	}
	return 0, true
}

// limitReserve cuts the reserve to what is left above the debt, so that the level does not fall lower because of it.
func (t *Table) limitReserve(b *bucket) { b.reserve = max(min(b.reserve, b.level+t.debt(b)), 0) }

// RetryAfter returns when there is room for a refused request: once what is missing was refilled, and what the
// requests before it need that were told to return. refill is units per second.
func RetryAfter(missing, promised, refill float64) time.Duration {
	if refill <= 0 {
		return maxRetryAfter
	}
	wait := min((missing+promised)/refill, maxRetryAfter.Seconds())
	return max(time.Duration(wait*float64(time.Second)), minRetryAfter)
}

// Charge charges a retry of a request that was accepted before. It does so at any level,
// because the endpoint runs the request again in any case.
func (t *Table) Charge(now time.Time, w *catalog.Workspace, cost float64) {
	if w == nil || w.Limit.PerSecond <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.bucket(now, w)
	b.level -= cost
	t.limitReserve(b)
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
		b = &bucket{limit: w.Limit, updatedAt: now}
		t.buckets[w.Name] = b
		t.setShare(now, w.Name, b)
		if b.share == 0 {
			b.level = t.capacity(b)
		}
	}
	b.limit = w.Limit
	t.advance(now, b)
	if b.share != t.shareInForce(now, w.Name) {
		t.setShare(now, w.Name, b)
	}
	return b
}

// advance refills a bucket and lets its demand fade.
func (t *Table) advance(now time.Time, b *bucket) {
	elapsed := max(now.Sub(b.updatedAt).Seconds(), 0)
	b.updatedAt = now
	b.level = min(b.level+elapsed*t.refill(b), t.capacity(b))
	b.reserve = min(b.reserve+elapsed*reserveRatio*t.refill(b), maxReserveRatio*t.capacity(b), b.shortDemand*demandWindow.Seconds())
	b.promised = max(b.promised-elapsed*t.refill(b), 0)
	fade := max(0, 1-elapsed/demandWindow.Seconds())
	b.demand *= fade
	b.shortDemand *= fade
	b.largest *= fade
}

// recordDemand adds the cost of a request to the demand. This host's alone may make the workspace busy, before
// the grantor knows.
func (b *bucket) recordDemand(now time.Time, cost float64) {
	b.demand += cost / demandWindow.Seconds()
	b.largest = max(b.largest, cost)
	if !b.isLong(cost) {
		b.shortDemand += cost / demandWindow.Seconds()
	}
	if b.demand > grant.BusyRatio*b.limit.PerSecond {
		b.lastPeak = now
	}
}

// isLong reports whether a request is one of the long ones among those that the workspace sends.
func (b *bucket) isLong(cost float64) bool { return cost >= b.largest/2 }

// missing returns what the bucket lacks to accept a request; zero or less if it is accepted. A request may leave
// the bucket in debt, which is repaid before anything else is accepted. A full bucket accepts any request.
//
// Load pattern: a workspace sends a multiple of its limit, in tokens mostly prompts that are as long as seconds of
// it. Whoever is accepted with a debt keeps all others out until it is repaid, so that most callers would be refused
// because of a few. Half of the refill is reserved for short requests, which are many for few tokens; while a long one
// waits, they get no more than that, or as much as long ones where there is room for one of these.
func (t *Table) missing(now time.Time, b *bucket, cost float64) float64 {
	if b.share == 0 {
		return cost - b.level // no debt without a share
	}
	debt := t.debt(b)
	if !t.isBusy(now, b) {
		return min(cost-debt-loanSeconds*t.refill(b), t.capacity(b)) - b.level
	}
	gateFor := func(cost float64) float64 { return min(max(cost-debt, 0), maxGateRatio*t.capacity(b)) }
	longWaits := !b.longRefusedAt.IsZero() && now.Sub(b.longRefusedAt) < longWait
	switch {
	case b.isLong(cost):
		return gateFor(cost) - (b.level - b.reserve)
	case longWaits:
		return min(cost-b.reserve, gateFor(b.largest)-(b.level-b.reserve))
	}
	return min(cost-b.reserve, gateFor(cost)-b.level)
}

// isBusy reports whether the workspace was near its limit within a window.
func (t *Table) isBusy(now time.Time, b *bucket) bool {
	return now.Sub(b.lastPeak) < t.tolerance.Window
}

// debt is how far a request may take the level below zero while the workspace is busy.
func (t *Table) debt(b *bucket) float64 { return debtRatio * t.tolerance.allowance(b.limit) * b.share }

// capacity is what this host may grant at once: its share of the burst and of part of the tolerance, or
// without a share a small part of the tolerance.
func (t *Table) capacity(b *bucket) float64 {
	allowance := t.tolerance.allowance(b.limit)
	if b.share == 0 {
		return ungrantedRatio * allowance / float64(t.hosts)
	}
	return (b.limit.Burst + depthRatio*allowance) * b.share
}

// refill is the units per second by which the level rises.
func (t *Table) refill(b *bucket) float64 {
	if b.share == 0 {
		return t.capacity(b) / t.tolerance.Window.Seconds()
	}
	return b.limit.PerSecond * b.share
}

// Demand returns the rate that each workspace requests on this host, in units per second.
func (t *Table) Demand(now time.Time) map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]float64{}
	for name, b := range t.buckets {
		const precision = 1 // unit per second, keeps calls short
		if rate := b.demand * max(0, 1-now.Sub(b.updatedAt).Seconds()/demandWindow.Seconds()); rate >= precision {
			out[name] = math.Round(rate/precision) * precision
		}
	}
	return out
}

// IsWithinShare reports whether the demand of a workspace on this host is below the part of the limit that
// the host has a share of.
func (t *Table) IsWithinShare(workspace string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	b, ok := t.buckets[workspace]
	return ok && b.demand <= b.limit.PerSecond*b.share
}

// Share returns the share in force of a workspace's limit, zero if there is none.
func (t *Table) Share(now time.Time, workspace string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.shareInForce(now, workspace)
}

// IsBusy reports whether a workspace was near its limit within a window, as far as this host knows.
func (t *Table) IsBusy(now time.Time, workspace string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	b, ok := t.buckets[workspace]
	return ok && t.isBusy(now, b)
}

// Shares returns the shares in force, by workspace.
func (t *Table) Shares(now time.Time) map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]float64{}
	for name := range t.shares {
		if share := t.shareInForce(now, name); share > 0 {
			const precision = 1000 // keeps reports short
			out[name] = math.Round(share*precision) / precision
		}
	}
	return out
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
