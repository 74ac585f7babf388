// Package quarantine decides which requests may no longer run because
// endpoints died while running them.
//
// The table holds deaths of endpoints with the fingerprints of the requests
// that ran there. Verdicts are derived from the deaths alone, and merging the
// same deaths in any order gives the same table. Entry hosts that exchange
// their deaths therefore agree without exchanging verdicts.
//
// A death counts against a request unless it was announced, or endpoints that
// did not run the request died in the same availability zone at about the same
// time. Deaths of two endpoints quarantine a request if they count against no
// other request. If they do, each of these requests is isolated, so that the next
// death identifies the cause. Three deaths one after the other quarantine it even
// if others died in the zone: a request that is sent on cannot follow the loss of
// a zone that often.
//
// Parts of prompts that crash endpoints are found likewise, see parts.go. Deaths
// that they explain count against no request.
//
// Time is passed in; the package does no I/O.
package quarantine

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// SuspicionTTL is how long a death counts against the requests that ran.
	SuspicionTTL = 15 * time.Minute
	// correlationWindow is the time within which deaths in one availability
	// zone are assumed to have a common cause.
	correlationWindow = 5 * time.Second
	// minQuarantineDeaths and minQuarantineScore must both be reached for a
	// quarantine. A death adds 1/n to the score of each of the n requests that
	// ran on the endpoint.
	minQuarantineDeaths = 2
	minQuarantineScore  = 0.05
	// minCorrelatedRounds replaces minQuarantineDeaths if deaths are counted that other deaths in the
	// availability zone may explain. Deaths within roundInterval of one another are one round: a request
	// that is sent again after a death is not yet at the next endpoint then.
	minCorrelatedRounds = 3
	roundInterval       = 100 * time.Millisecond
	// minIsolateScore is the score from which a request runs isolated.
	minIsolateScore = 0.5
	// maxDeaths bounds the deaths in a table, maxRunning the requests recorded
	// for each death.
	maxDeaths  = 512
	maxRunning = 512
	// recentCompletion is how long after a completion a death does not count against the request: if many
	// callers send it at the same time, the next completion is under way.
	recentCompletion = 5 * time.Second
	// minCompletionsSwept is the number of completions from which old ones are removed.
	minCompletionsSwept = 1024
)

// Death is the end of one endpoint process, with the requests that one or more
// entry hosts had running on it.
type Death struct {
	Endpoint string `json:"endpoint"`
	// Incarnation identifies the endpoint's process.
	Incarnation string    `json:"incarnation"`
	Zone        string    `json:"availability_zone"`
	At          time.Time `json:"at"`
	// Announced is set if the endpoint was under a reclaim notice.
	Announced bool `json:"announced,omitempty"`
	// Running holds the fingerprints of the requests, sorted.
	Running []uint64 `json:"running"`
	// Cleared holds those of Running that have completed since, sorted: they do not crash what runs them.
	Cleared []uint64 `json:"cleared,omitempty"`
	// Parts holds the keys of the parts of prompts that may have caused the death, ClearedParts those of them with
	// which requests have been answered since; see parts.go. Both are sorted.
	Parts        []uint64 `json:"parts,omitempty"`
	ClearedParts []uint64 `json:"cleared_parts,omitempty"`
}

// Merge adds what another record of the same death holds. It reports whether that was new. Merging in any order
// gives the same result, except for lists beyond maxRunning.
func (d *Death) Merge(other Death) bool {
	changed := other.Announced && !d.Announced
	d.Announced = d.Announced || other.Announced
	for _, list := range []struct {
		own  *[]uint64
		more []uint64
	}{{&d.Running, other.Running}, {&d.Cleared, other.Cleared}, {&d.Parts, other.Parts}, {&d.ClearedParts, other.ClearedParts}} {
		grown := false
		*list.own, grown = union(*list.own, list.more)
		changed = changed || grown
	}
	return changed
}

// union adds the elements of more to a sorted set of at most maxRunning, and reports whether it has grown.
func union(set, more []uint64) ([]uint64, bool) {
	grown := false
	for _, f := range more {
		if at, found := slices.BinarySearch(set, f); !found && len(set) < maxRunning {
			set = slices.Insert(set, at, f)
			grown = true
		}
	}
	return set, grown
}

// clone returns a copy that shares nothing with d.
func (d *Death) clone() Death {
	c := *d
	c.Running, c.Cleared = slices.Clone(d.Running), slices.Clone(d.Cleared)
	c.Parts, c.ClearedParts = slices.Clone(d.Parts), slices.Clone(d.ClearedParts)
	return c
}

// Verdict says how a request may run.
type Verdict string

// Verdicts.
const (
	// VerdictClear means that the request runs without restriction.
	VerdictClear Verdict = "clear"
	// VerdictSeparate means that the request must not run on an endpoint with
	// its co-running requests.
	VerdictSeparate Verdict = "separate"
	// VerdictIsolate means that the request runs alone on an endpoint, if an
	// idle one is available.
	VerdictIsolate Verdict = "isolate"
	// VerdictQuarantine means that the request must not run.
	VerdictQuarantine Verdict = "quarantine"
)

// Evaluation is the verdict on one request.
type Evaluation struct {
	Verdict Verdict `json:"verdict"`
	// Score is the sum over the deaths that count of 1/n, where n is the number
	// of requests that ran there. Deaths is the number of different endpoints
	// whose deaths count.
	Score  float64 `json:"score"`
	Deaths int     `json:"deaths"`
	// Parts holds the parts of the prompt that the verdict is on; it is empty for one on the request as a whole.
	Parts []uint64 `json:"parts,omitempty"`
	// CoRunning holds the co-running requests: those that ran on an endpoint whose
	// death counts against this request. It must not run beside them. Sorted.
	CoRunning []uint64 `json:"-"`
	// Until is the time at which the verdict expires.
	Until time.Time `json:"until"`
}

type deathKey struct{ endpoint, incarnation string }

func (d *Death) key() deathKey { return deathKey{d.Endpoint, d.Incarnation} }

// Table holds the deaths of the last SuspicionTTL. It is safe for concurrent
// use.
type Table struct {
	mu     sync.Mutex
	deaths []*Death // ordered by At
	byKey  map[deathKey]*Death
	// deathCounts is the number of deaths that list each fingerprint.
	deathCounts map[uint64]int
	// completedAt is the time at which a request last completed, or was learned to have.
	completedAt map[uint64]time.Time
	// sweepAt is the number of completions at which old ones are removed next.
	sweepAt int
	// partDeaths is the number of deaths that count against each part of prompts.
	partDeaths map[uint64]int
	// lethal is the result of lethalParts; it is valid while lethalKnown is set.
	lethal      []LethalParts
	lethalKnown bool
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{byKey: map[deathKey]*Death{}, deathCounts: map[uint64]int{}, completedAt: map[uint64]time.Time{}, partDeaths: map[uint64]int{}}
}

// Add merges a death into the table. It reports whether the table changed, in
// which case the death should be forwarded to other hosts.
func (t *Table) Add(now time.Time, d Death) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if d.At.After(now) {
		d.At = now
	}
	if now.Sub(d.At) > SuspicionTTL || d.Endpoint == "" {
		return false
	}
	key := d.key()
	known, ok := t.byKey[key]
	if !ok {
		known = &Death{Endpoint: d.Endpoint, Incarnation: d.Incarnation, Zone: d.Zone, At: d.At}
		t.byKey[key] = known
		t.insert(known)
	}
	changed := t.merge(known, d) || !ok
	for _, f := range d.Cleared {
		t.completed(now, known.At, f) // at that time or later
	}
	return changed
}

// completed records that a request completed at a time, and removes old completions now and then.
func (t *Table) completed(now, at time.Time, fingerprint uint64) {
	if at.After(t.completedAt[fingerprint]) {
		t.completedAt[fingerprint] = at
	}
	if len(t.completedAt) < max(t.sweepAt, minCompletionsSwept) {
		return
	}
	maps.DeleteFunc(t.completedAt, func(f uint64, at time.Time) bool { return now.Sub(at) > recentCompletion && t.deathCounts[f] == 0 })
	t.sweepAt = 2 * len(t.completedAt)
}

// insert adds a death in order of time and removes the oldest if there are more
// than maxDeaths.
func (t *Table) insert(d *Death) {
	at, _ := slices.BinarySearchFunc(t.deaths, d, func(a, b *Death) int { return a.At.Compare(b.At) })
	t.deaths = slices.Insert(t.deaths, at, d)
	if len(t.deaths) > maxDeaths {
		t.remove(t.deaths[0])
		t.deaths = t.deaths[1:]
	}
}

// merge merges a record into a known death and keeps the counts.
func (t *Table) merge(known *Death, d Death) bool {
	t.count(known, -1)
	changed := known.Merge(d)
	t.count(known, 1)
	t.lethalKnown = t.lethalKnown && !changed
	return changed
}

// count adds n to the counts of what a death lists.
func (t *Table) count(d *Death, n int) {
	for _, f := range d.Running {
		t.deathCounts[f] += n
	}
	for _, p := range d.suspectParts() {
		if t.partDeaths[p] += n; t.partDeaths[p] == 0 {
			delete(t.partDeaths, p)
		}
	}
}

func (t *Table) expire(now time.Time) {
	for len(t.deaths) > 0 && now.Sub(t.deaths[0].At) > SuspicionTTL {
		t.remove(t.deaths[0])
		t.deaths = t.deaths[1:]
	}
}

func (t *Table) remove(d *Death) {
	delete(t.byKey, d.key())
	t.lethalKnown = false
	t.count(d, -1)
	for _, f := range d.Running {
		if t.deathCounts[f] <= 0 {
			delete(t.deathCounts, f)
		}
	}
}

// RecordCompletion records the completion of a request. Deaths before it no longer count against the request, which
// has then run without crashing its endpoint. It returns records of the deaths that counted until then, which the
// other hosts should merge.
func (t *Table) RecordCompletion(now time.Time, fingerprint uint64) []Death {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.completed(now, now, fingerprint)
	if t.deathCounts[fingerprint] == 0 {
		return nil
	}
	var out []Death
	for _, d := range t.deaths {
		_, ran := slices.BinarySearch(d.Running, fingerprint)
		if !ran || d.At.After(now) {
			continue
		}
		cleared := Death{Endpoint: d.Endpoint, Incarnation: d.Incarnation, Zone: d.Zone, At: d.At, Running: []uint64{fingerprint}, Cleared: []uint64{fingerprint}}
		if t.merge(d, cleared) {
			out = append(out, cleared)
		}
	}
	return out
}

// Judge returns the verdict on a request; parts are the keys of the parts of its prompt, sorted, without its own part.
func (t *Table) Judge(now time.Time, fingerprint uint64, parts []uint64) Evaluation {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if len(parts) > 0 {
		for _, l := range t.lethalParts() {
			if l.within(parts) {
				return Evaluation{Verdict: VerdictQuarantine, Deaths: l.Deaths, Parts: l.Parts, Until: l.Until}
			}
		}
	}
	if t.deathCounts[fingerprint] == 0 {
		return Evaluation{Verdict: VerdictClear}
	}
	return t.evaluate(fingerprint)
}

func (t *Table) evaluate(fingerprint uint64) Evaluation {
	j := Evaluation{Verdict: VerdictClear}
	endpoints := map[string]bool{}
	coRunning := map[uint64]bool{}
	var common []uint64
	var all deathSeries
	for _, d := range t.deaths {
		if !t.suspects(d, fingerprint) || t.explained(d) {
			continue
		}
		suspects := t.suspectRequests(d)
		all.add(d, suspects)
		if t.correlated(d, fingerprint) {
			continue
		}
		for _, f := range d.Running {
			coRunning[f] = true
		}
		common = intersect(common, suspects, len(endpoints) == 0)
		endpoints[d.Endpoint] = true
		j.Score += 1 / float64(len(d.Running))
		j.Until = d.At.Add(SuspicionTTL)
	}
	j.Deaths = len(endpoints)
	j.Verdict = verdictOf(j, len(common) == 1)
	if j.Verdict != VerdictQuarantine && all.identifies() {
		j.Verdict, j.Deaths, j.Score, j.Until = VerdictQuarantine, len(all.endpoints), all.score, all.lastAt.Add(SuspicionTTL)
	}
	delete(coRunning, fingerprint)
	j.CoRunning = slices.Sorted(maps.Keys(coRunning))
	return j
}

// verdictOf returns the verdict for the number and score of the deaths that
// count. unique reports whether all of them raise suspicion against no other request.
func verdictOf(j Evaluation, unique bool) Verdict {
	switch {
	case j.Deaths == 0:
		return VerdictClear
	case j.Deaths >= minQuarantineDeaths && j.Score >= minQuarantineScore && unique:
		return VerdictQuarantine
	case j.Deaths >= minQuarantineDeaths || j.Score >= minIsolateScore:
		return VerdictIsolate
	}
	return VerdictSeparate
}

// intersect removes from common what is not in suspects; both are sorted. For the
// first list it returns a copy of suspects.
func intersect(common, suspects []uint64, first bool) []uint64 {
	if first {
		return slices.Clone(suspects)
	}
	return slices.DeleteFunc(common, func(f uint64) bool {
		_, found := slices.BinarySearch(suspects, f)
		return !found
	})
}

// suspects reports whether a death raises suspicion against a request: the request ran there and has not
// completed since or, as far as this host knows, within recentCompletion before; and the death was not announced.
func (t *Table) suspects(d *Death, fingerprint uint64) bool {
	_, ran := slices.BinarySearch(d.Running, fingerprint)
	_, cleared := slices.BinarySearch(d.Cleared, fingerprint)
	completedAt, completed := t.completedAt[fingerprint]
	lately := completed && d.At.Sub(completedAt) <= recentCompletion
	return ran && !cleared && !lately && !d.Announced
}

// suspectRequests returns the requests that a death raises suspicion against, sorted.
func (t *Table) suspectRequests(d *Death) []uint64 {
	return slices.DeleteFunc(slices.Clone(d.Running), func(f uint64) bool { return !t.suspects(d, f) })
}

// correlated reports whether a death has likely another cause than a request that ran there: an unannounced
// death within correlationWindow in the same availability zone hit another endpoint that did not run it.
func (t *Table) correlated(d *Death, fingerprint uint64) bool {
	for _, other := range t.deaths {
		if other.Zone != d.Zone || other.Endpoint == d.Endpoint || other.Announced ||
			other.At.Sub(d.At).Abs() > correlationWindow {
			continue
		}
		if _, ranThere := slices.BinarySearch(other.Running, fingerprint); !ranThere && !t.explained(other) {
			return true
		}
	}
	return false
}

// deathSeries holds what the deaths of endpoints that ran one request have in common, correlated ones included.
type deathSeries struct {
	endpoints map[string]bool
	// common holds the requests that all of them raise suspicion against.
	common []uint64
	score  float64
	rounds int
	lastAt time.Time
}

// add adds the next death in order of time, with the requests that it raises suspicion against.
func (s *deathSeries) add(d *Death, suspects []uint64) {
	if s.endpoints == nil {
		s.endpoints = map[string]bool{}
	}
	s.common = intersect(s.common, suspects, len(s.endpoints) == 0)
	if !s.endpoints[d.Endpoint] && (s.rounds == 0 || d.At.Sub(s.lastAt) >= roundInterval) {
		s.rounds++
	}
	s.endpoints[d.Endpoint] = true
	s.score += 1 / float64(len(d.Running))
	s.lastAt = d.At
}

// identifies reports whether the series identifies the request as the cause of the deaths.
func (s *deathSeries) identifies() bool {
	return s.rounds >= minCorrelatedRounds && s.score >= minQuarantineScore && len(s.common) == 1
}

// Deaths returns the deaths that have not expired, oldest first.
func (t *Table) Deaths(now time.Time) []Death {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	out := make([]Death, 0, len(t.deaths))
	for _, d := range t.deaths {
		out = append(out, d.clone())
	}
	return out
}

// Row is one request in the state dump whose verdict is not clear.
type Row struct {
	Fingerprint uint64 `json:"fingerprint,string"`
	Evaluation
}

// State returns the requests whose verdict is not clear, sorted by fingerprint.
func (t *Table) State(now time.Time) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var out []Row
	for f := range t.deathCounts {
		if j := t.evaluate(f); j.Verdict != VerdictClear {
			out = append(out, Row{f, j})
		}
	}
	slices.SortFunc(out, func(a, b Row) int {
		if a.Fingerprint < b.Fingerprint {
			return -1
		}
		return 1
	})
	return out
}
