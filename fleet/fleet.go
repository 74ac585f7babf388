// Package fleet holds a host's view of the endpoints: which are listed in the
// registry, which may receive requests, and which are suspect because they do not
// answer this host.
//
// The registry of endpoints lags, loses entries while it is unavailable, and may
// hold entries by other writers. What this host observes on its own connections is
// therefore recorded separately and expires.
//
// Invariants: an endpoint that was listed as draining, or that announced in an answer
// that it leaves, receives no requests, also after its entry was removed, until an entry
// of a later incarnation lists it as ready. An endpoint that asked for time receives no
// requests until that time has passed.
package fleet

import (
	"slices"
	"sync"
	"time"
)

// State is the state that an endpoint reports.
type State string

// States of endpoints.
const (
	StateReady    State = "ready"
	StateDraining State = "draining"
)

// Endpoint is one entry of the registry.
type Endpoint struct {
	ID      string
	Service string
	Address string
	Zone    string
	// Version is its software version.
	Version string
	// Slots is how many requests it runs at once.
	Slots int
	State State
	// Warmup is how much longer it runs below full speed after its start.
	Warmup time.Duration
	// Spot endpoints cost less and may be reclaimed.
	Spot bool
	// Leaves is the time until it leaves, as of the entry; valid if Leaving is set.
	Leaves  time.Duration
	Leaving bool
	// Born is the Unix time in milliseconds of its start. It distinguishes the
	// incarnations of one id.
	Born int64
	// Sequence counts the entries that this incarnation has written.
	Sequence int64
}

// View is an entry together with what this host derived from it or observed itself.
type View struct {
	Endpoint
	// ListedAt is when the entry was last listed.
	ListedAt time.Time
	// LeavesAt is when it leaves; zero if unknown. The earliest time received for an
	// incarnation applies.
	LeavesAt time.Time
	// WarmAt is when it reaches full speed.
	WarmAt time.Time
	// SuspectUntil is when it stops being suspect. It is set when the endpoint does not
	// answer this host.
	SuspectUntil time.Time
}

const (
	// minSuspectTime is how long an endpoint is suspect after a failure. The time
	// doubles with each consecutive failure up to maxSuspectTime, which is about
	// the time after which the registry removes an unresponsive endpoint.
	minSuspectTime = 250 * time.Millisecond
	maxSuspectTime = 4 * time.Second
	// failureWindow is the time over which the failures of an endpoint are compared
	// with all its answers.
	failureWindow = 3 * time.Second
)

// entry is a registry entry with the state that this host adds to it.
type entry struct {
	View
	// consecutiveFailures counts the failures since the last answer, without those seen
	// while the endpoint was already suspect.
	consecutiveFailures int
	// removalDeferredUntil is set on an entry that was removed while the registry
	// recovered from an outage: until then the entry may be listed again.
	removalDeferredUntil time.Time
	// successes and failures are the counts of recent successful and failed answers as of
	// countedAt; they decay over failureWindow.
	successes, failures float64
	countedAt           time.Time
	progressedAt        time.Time // see Table.Progressed
}

// removal is an entry that was removed.
type removal struct {
	born, sequence int64
	at             time.Time
}

// removalMemory is how long a removed entry may reappear in an older copy of the registry.
const removalMemory = time.Minute

// Change is the effect of an update on the view of one endpoint.
type Change struct {
	Endpoint Endpoint
	// Added, Removed and Drained say what happened. Deferred means that a removal is
	// deferred because the registry has just recovered.
	Added, Removed, Drained, Deferred bool
}

// Changed reports whether the view changed.
func (c Change) Changed() bool { return c.Added || c.Removed || c.Drained || c.Deferred }

// Table holds the endpoints. Safe for concurrent use; no other lock is taken while its
// lock is held.
type Table struct {
	// RecoverTime is how long after an outage of the registry the removal of a
	// missing entry is deferred, so that it can be listed again.
	RecoverTime time.Duration

	mu               sync.Mutex
	entries          map[string]*entry
	leftIncarnations map[string]int64 // Born of the incarnation that left, by id
	recoveringUntil  time.Time        // end of the registry's recovery
	// removed holds the entries that were removed while they listed a ready endpoint, by id,
	// until removalMemory has passed.
	removed map[string]removal
	// pausedUntil is when an endpoint takes requests again that asked for time, by id. It
	// outlives the entry: whether an entry that is listed again is a new process is not
	// certain.
	pausedUntil map[string]time.Time
	limits      map[string]*limit // by id, see limit.go
	software    softwareHistory
}

// NewTable returns an empty table.
func NewTable(recoverTime time.Duration) *Table {
	return &Table{RecoverTime: recoverTime, entries: map[string]*entry{}, leftIncarnations: map[string]int64{}, pausedUntil: map[string]time.Time{}, removed: map[string]removal{}, limits: map[string]*limit{}, software: softwareHistory{}}
}

// RegistryReturned records that the registry answers again after an outage.
func (t *Table) RegistryReturned(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recoveringUntil = now.Add(t.RecoverTime)
}

// Upsert applies an entry of the registry.
func (t *Table) Upsert(now time.Time, e Endpoint) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.entries[e.ID]
	if e.State == StateDraining {
		t.leftIncarnations[e.ID] = e.Born
	} else if born, left := t.leftIncarnations[e.ID]; left && e.Born <= born {
		// The entry dates from before the endpoint left.
		return Change{Endpoint: e}
	}
	fresh := &entry{View: View{Endpoint: e, ListedAt: now}}
	if e.Leaving {
		fresh.LeavesAt = now.Add(e.Leaves)
	}
	if e.Warmup > 0 {
		fresh.WarmAt = now.Add(e.Warmup)
	}
	change := Change{Endpoint: e}
	if known && old.Born == e.Born && old.Address == e.Address {
		fresh.consecutiveFailures, fresh.SuspectUntil = old.consecutiveFailures, old.SuspectUntil
		fresh.successes, fresh.failures, fresh.countedAt = old.successes, old.failures, old.countedAt
		if !old.LeavesAt.IsZero() && (fresh.LeavesAt.IsZero() || old.LeavesAt.Before(fresh.LeavesAt)) {
			fresh.LeavesAt = old.LeavesAt
		}
		change.Drained = e.State == StateDraining && old.State != StateDraining
	} else {
		delete(t.limits, e.ID)
		change.Added = true
		change.Drained = e.State == StateDraining
	}
	if known {
		t.software.unlist(now, old.Endpoint)
	}
	t.software.list(now, e)
	t.entries[e.ID] = fresh
	return change
}

// Remove applies the removal of an entry. While the registry recovers from an outage,
// the removal of a ready endpoint is deferred: its entry may have expired only because
// of the outage.
func (t *Table) Remove(now time.Time, id string) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.entries[id]
	if !known {
		return Change{}
	}
	if now.Before(t.recoveringUntil) && old.State == StateReady {
		old.removalDeferredUntil = t.recoveringUntil
		return Change{Endpoint: old.Endpoint, Deferred: true}
	}
	t.drop(now, id, old)
	return Change{Endpoint: old.Endpoint, Removed: true}
}

// drop deletes an entry. The caller holds the lock.
func (t *Table) drop(now time.Time, id string, e *entry) {
	delete(t.entries, id)
	t.software.unlist(now, e.Endpoint)
	if e.State == StateDraining {
		t.leftIncarnations[id] = e.Born
		return
	}
	for other, r := range t.removed {
		if now.Sub(r.at) > removalMemory {
			delete(t.removed, other)
		}
	}
	t.removed[id] = removal{e.Born, e.Sequence, now}
}

// Restore applies a complete listing from an older copy of the registry. Endpoints that are
// missing from it may be listed again within RecoverTime. An entry that was removed before
// is not listed again by the copy of it, only by one that its endpoint has written since.
func (t *Table) Restore(now time.Time, all []Endpoint) []Change {
	t.RegistryReturned(now)
	return t.Replace(now, slices.DeleteFunc(slices.Clone(all), func(e Endpoint) bool { return t.wasRemoved(now, e) }))
}

// wasRemoved reports whether an entry is not newer than the removal of its id.
func (t *Table) wasRemoved(now time.Time, e Endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.removed[e.ID]
	return ok && now.Sub(r.at) <= removalMemory && (e.Born < r.born || e.Born == r.born && e.Sequence <= r.sequence)
}

// Replace applies a complete listing of the registry. Entries missing from it are
// removed as by Remove.
func (t *Table) Replace(now time.Time, all []Endpoint) []Change {
	listed := map[string]bool{}
	var changes []Change
	for _, e := range all {
		listed[e.ID] = true
		if c := t.Upsert(now, e); c.Changed() {
			changes = append(changes, c)
		}
	}
	for _, id := range t.ids() {
		if listed[id] {
			continue
		}
		if c := t.Remove(now, id); c.Changed() {
			changes = append(changes, c)
		}
	}
	return changes
}

func (t *Table) ids() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]string, 0, len(t.entries))
	for id := range t.entries {
		out = append(out, id)
	}
	return out
}

// Expire carries out the deferred removals whose entries were not listed again in time,
// and returns them.
func (t *Table) Expire(now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []Change
	for id, e := range t.entries {
		if !e.removalDeferredUntil.IsZero() && !now.Before(e.removalDeferredUntil) {
			t.drop(now, id, e)
			changes = append(changes, Change{Endpoint: e.Endpoint, Removed: true})
		}
	}
	return changes
}

// Failed records that an endpoint did not answer this host: the connection could not
// be opened, broke or became unresponsive. It returns how long the endpoint is suspect.
func (t *Table) Failed(now time.Time, id string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[id]
	if !ok {
		return 0
	}
	if now.Before(e.SuspectUntil) {
		return e.SuspectUntil.Sub(now)
	}
	suspectTime := min(minSuspectTime<<min(e.consecutiveFailures, 6), maxSuspectTime)
	e.consecutiveFailures++
	e.SuspectUntil = now.Add(suspectTime)
	return suspectTime
}

// Answered records an answer of an endpoint and clears its suspect state. failure means
// that the answer was a failure caused by the endpoint itself.
func (t *Table) Answered(now time.Time, id string, failure bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[id]
	if !ok {
		return
	}
	e.consecutiveFailures = 0
	e.SuspectUntil = time.Time{}
	e.decay(now)
	if failure {
		e.failures++
	} else {
		e.successes++
	}
}

// decay brings the counts of recent answers up to now.
func (e *entry) decay(now time.Time) {
	if !e.countedAt.IsZero() {
		weight := max(0, 1-now.Sub(e.countedAt).Seconds()/failureWindow.Seconds())
		e.successes *= weight
		e.failures *= weight
	}
	e.countedAt = now
}

// FailureShare returns the fraction of an endpoint's recent answers that were failures,
// biased towards zero while there are few answers.
func (t *Table) FailureShare(now time.Time, id string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[id]
	if !ok {
		return 0
	}
	return e.failureShare(now)
}

func (e *entry) failureShare(now time.Time) float64 {
	const prior = 2 // successful answers assumed in addition to those seen
	weight := 0.0
	if !e.countedAt.IsZero() {
		weight = max(0, 1-now.Sub(e.countedAt).Seconds()/failureWindow.Seconds())
	}
	return e.failures * weight / (e.failures*weight + e.successes*weight + prior)
}

// Leaving applies an endpoint's own announcement that it is about to leave, which may
// precede its entry in the registry.
func (t *Table) Leaving(now time.Time, id string) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[id]
	if !ok || e.State == StateDraining {
		return Change{}
	}
	e.State, e.ListedAt = StateDraining, now
	t.leftIncarnations[id] = e.Born
	return Change{Endpoint: e.Endpoint, Drained: true}
}

// Pause records that an endpoint asked this host to send it nothing for some time. An
// earlier request for more time remains in force.
func (t *Table) Pause(now time.Time, id string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for other, until := range t.pausedUntil {
		if !now.Before(until) {
			delete(t.pausedUntil, other)
		}
	}
	if until := now.Add(d); until.After(t.pausedUntil[id]) {
		t.pausedUntil[id] = until
	}
}

// Paused reports whether an endpoint has asked for time that has not passed yet.
func (t *Table) Paused(now time.Time, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.pausedUntil[id])
}

// NextResume returns the time until the first of a service's ready endpoints that asked
// for time takes requests again; zero if none of them is paused.
func (t *Table) NextResume(now time.Time, service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := time.Duration(0)
	for id, e := range t.entries {
		if e.Service != service || e.State != StateReady {
			continue
		}
		if left := t.pausedUntil[id].Sub(now); left > 0 && (first == 0 || left < first) {
			first = left
		}
	}
	return first
}

// Usable returns the endpoints of a service that may receive requests: those listed as
// ready that have not asked for time. Suspect endpoints are included; it is for the caller
// to prefer others.
func (t *Table) Usable(now time.Time, service string) []View {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []View
	for id, e := range t.entries {
		if e.Service == service && e.State == StateReady && !now.Before(t.pausedUntil[id]) {
			out = append(out, e.View)
		}
	}
	return out
}

// Get returns the view of an endpoint, and false if it is not listed.
func (t *Table) Get(id string) (View, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[id]
	if !ok {
		return View{}, false
	}
	return e.View, true
}

// All returns the views of all listed endpoints, in no particular order.
func (t *Table) All() []View {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]View, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, e.View)
	}
	return out
}
