// Package quarantine decides which requests may no longer run because
// endpoints died while running them.
//
// The table holds deaths of endpoints with the fingerprints of the requests
// that ran there. Verdicts are derived from the deaths alone, and merging the
// same deaths in any order gives the same table, so that entry hosts which
// share their deaths agree without talking about verdicts.
//
// A death counts against a request unless it was announced, and unless
// endpoints that did not run the request died in the same availability zone at
// about the same time. Two deaths on two endpoints put a request in quarantine
// when nobody else ran at all of its deaths. While somebody did, each of them
// runs alone, so that the next death tells which one it is.
//
// Time is passed in; the package does no I/O.
package quarantine

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/rendezvous"
)

const (
	// SuspicionTime is how long a death counts.
	SuspicionTime = 15 * time.Minute
	// zoneWindow is the time within which deaths in one availability zone
	// are thought to have one cause.
	zoneWindow = 5 * time.Second
	// minDeaths and minScore are needed together for a quarantine; a death
	// scores one over the number of requests that ran there.
	minDeaths = 2
	minScore  = 0.05
	// isolateScore is the score from which a request is tried alone.
	isolateScore = 0.5
	// maxDeaths and maxRunning bound the table.
	maxDeaths  = 512
	maxRunning = 512
)

// Death is the end of one endpoint with what one entry host, or several, had
// running there.
type Death struct {
	Endpoint string `json:"endpoint"`
	// Incarnation names the endpoint's process.
	Incarnation string    `json:"incarnation"`
	Zone        string    `json:"availability_zone"`
	At          time.Time `json:"at"`
	// Announced is set when the endpoint was under notice.
	Announced bool `json:"announced,omitempty"`
	// Running are the fingerprints of the requests, sorted.
	Running []uint64 `json:"running"`
}

// Verdict says how a request may run.
type Verdict string

// Verdicts.
const (
	// VerdictClear: as any request.
	VerdictClear Verdict = "clear"
	// VerdictSeparate: not beside those that it has been blamed with.
	VerdictSeparate Verdict = "separate"
	// VerdictIsolate: alone on an endpoint, if one is free.
	VerdictIsolate Verdict = "isolate"
	// VerdictQuarantine: not at all.
	VerdictQuarantine Verdict = "quarantine"
)

// Judgement is the verdict on one request.
type Judgement struct {
	Verdict Verdict `json:"verdict"`
	// Score is the weighed number of deaths, Deaths how many count.
	Score  float64 `json:"score"`
	Deaths int     `json:"deaths"`
	// Company are the requests not to run beside.
	Company []uint64 `json:"-"`
	// Until is when the verdict expires.
	Until time.Time `json:"until"`
}

type deathKey struct{ endpoint, incarnation string }

// Table holds the deaths of the last SuspicionTime. Safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	deaths []*Death // in order of At
	byKey  map[deathKey]*Death
	// blamed counts the deaths of each fingerprint.
	blamed map[uint64]int
	// cleared is when a blamed request last ended whole.
	cleared map[uint64]time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{byKey: map[deathKey]*Death{}, blamed: map[uint64]int{}, cleared: map[uint64]time.Time{}}
}

// Add merges a death. It reports whether the table learned something, so that
// the death is worth passing on.
func (t *Table) Add(now time.Time, d Death) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if d.At.After(now) {
		d.At = now
	}
	if now.Sub(d.At) > SuspicionTime || d.Endpoint == "" {
		return false
	}
	key := deathKey{d.Endpoint, d.Incarnation}
	known, ok := t.byKey[key]
	if !ok {
		known = &Death{Endpoint: d.Endpoint, Incarnation: d.Incarnation, Zone: d.Zone, At: d.At}
		t.byKey[key] = known
		t.insert(known)
	}
	return t.merge(known, d) || !ok
}

// insert puts a death in its place and drops the oldest beyond the bound.
func (t *Table) insert(d *Death) {
	at, _ := slices.BinarySearchFunc(t.deaths, d, func(a, b *Death) int { return a.At.Compare(b.At) })
	t.deaths = slices.Insert(t.deaths, at, d)
	if len(t.deaths) > maxDeaths {
		t.drop(t.deaths[0])
		t.deaths = t.deaths[1:]
	}
}

func (t *Table) merge(known *Death, d Death) bool {
	learned := d.Announced && !known.Announced
	known.Announced = known.Announced || d.Announced
	for _, f := range d.Running {
		at, found := slices.BinarySearch(known.Running, f)
		if found || len(known.Running) >= maxRunning {
			continue
		}
		known.Running = slices.Insert(known.Running, at, f)
		t.blamed[f]++
		learned = true
	}
	return learned
}

func (t *Table) expire(now time.Time) {
	for len(t.deaths) > 0 && now.Sub(t.deaths[0].At) > SuspicionTime {
		t.drop(t.deaths[0])
		t.deaths = t.deaths[1:]
	}
}

func (t *Table) drop(d *Death) {
	delete(t.byKey, deathKey{d.Endpoint, d.Incarnation})
	for _, f := range d.Running {
		t.blamed[f]--
		if t.blamed[f] <= 0 {
			delete(t.blamed, f)
			delete(t.cleared, f)
		}
	}
}

// Whole notes that a request ended whole: it does not kill endpoints, and
// earlier deaths count no more.
func (t *Table) Whole(now time.Time, fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.blamed[fingerprint] > 0 {
		t.cleared[fingerprint] = now
	}
}

// Judge returns the verdict on a request.
func (t *Table) Judge(now time.Time, fingerprint uint64) Judgement {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.blamed[fingerprint] == 0 {
		return Judgement{Verdict: VerdictClear}
	}
	t.expire(now)
	return t.judge(fingerprint)
}

func (t *Table) judge(fingerprint uint64) Judgement {
	j := Judgement{Verdict: VerdictClear}
	endpoints := map[string]bool{}
	company := map[uint64]bool{}
	var common []uint64
	for _, d := range t.deaths {
		if !t.counts(d, fingerprint) {
			continue
		}
		for _, f := range d.Running {
			company[f] = true
		}
		common = intersect(common, d.Running, len(endpoints) == 0)
		endpoints[d.Endpoint] = true
		j.Score += 1 / float64(len(d.Running))
		j.Until = d.At.Add(SuspicionTime)
	}
	j.Deaths = len(endpoints)
	j.Verdict = verdictOf(j, len(common) == 1)
	delete(company, fingerprint)
	j.Company = slices.Sorted(maps.Keys(company))
	return j
}

// verdictOf returns the verdict on a request by the deaths that count; only
// is set when nobody else ran at all of them.
func verdictOf(j Judgement, only bool) Verdict {
	switch {
	case j.Deaths == 0:
		return VerdictClear
	case j.Deaths >= minDeaths && j.Score >= minScore && only:
		return VerdictQuarantine
	case j.Deaths >= minDeaths || j.Score >= isolateScore:
		return VerdictIsolate
	}
	return VerdictSeparate
}

// intersect returns what is in both sorted lists; the first list starts it.
func intersect(common, running []uint64, first bool) []uint64 {
	if first {
		return slices.Clone(running)
	}
	return slices.DeleteFunc(common, func(f uint64) bool {
		_, found := slices.BinarySearch(running, f)
		return !found
	})
}

// counts reports whether a death speaks against a request.
func (t *Table) counts(d *Death, fingerprint uint64) bool {
	_, ran := slices.BinarySearch(d.Running, fingerprint)
	if !ran || d.Announced || !d.At.After(t.cleared[fingerprint]) {
		return false
	}
	for _, other := range t.deaths {
		if other.Zone != d.Zone || other.Endpoint == d.Endpoint || other.Announced || other.At.Sub(d.At).Abs() > zoneWindow {
			continue
		}
		if _, ranThere := slices.BinarySearch(other.Running, fingerprint); !ranThere {
			return false // something else kills endpoints of this zone
		}
	}
	return true
}

// Deaths returns the deaths that still count, oldest first.
func (t *Table) Deaths(now time.Time) []Death {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	out := make([]Death, 0, len(t.deaths))
	for _, d := range t.deaths {
		c := *d
		c.Running = slices.Clone(d.Running)
		out = append(out, c)
	}
	return out
}

// Row is one suspected request in the state dump.
type Row struct {
	Fingerprint uint64 `json:"fingerprint,string"`
	Judgement
}

// State returns the requests that are not clear, by fingerprint.
func (t *Table) State(now time.Time) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var out []Row
	for f := range t.blamed {
		if j := t.judge(f); j.Verdict != VerdictClear {
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

// Place returns the idle endpoint at which a request is tried alone; ok is
// false when there is none for it. The suspects of one company are spread over
// the endpoints in the order of their fingerprints, so that entry hosts which
// try them at the same time do not bring them together again. Requests to be
// isolated share when there are more of them than endpoints, the others do
// without.
func (j Judgement) Place(fingerprint uint64, idle []string) (endpoint string, ok bool) {
	if len(idle) == 0 {
		return "", false
	}
	rank, _ := slices.BinarySearch(j.Company, fingerprint)
	if rank >= len(idle) && j.Verdict != VerdictIsolate {
		return "", false
	}
	return idle[rank%len(idle)], true
}

// Apart returns the endpoint at which a suspect is tried apart from the others
// of its company; ok is false when there are fewer endpoints than suspects.
// Suspects choose in the order of their fingerprints, each by rendezvous among
// the endpoints left, so that entry hosts with nearly the same list of
// endpoints do not bring two of them together.
func (j Judgement) Apart(fingerprint uint64, endpoints []string) (endpoint string, ok bool) {
	rank, _ := slices.BinarySearch(j.Company, fingerprint)
	if rank >= len(endpoints) {
		return "", false
	}
	left := slices.Clone(endpoints)
	for _, f := range j.Company[:rank] {
		at := favourite(f, left)
		left = slices.Delete(left, at, at+1)
	}
	return left[favourite(fingerprint, left)], true
}

// favourite returns the index of the endpoint of the highest weight for a
// fingerprint.
func favourite(fingerprint uint64, endpoints []string) int {
	key := strconv.FormatUint(fingerprint, 16)
	best := 0
	for i := range endpoints {
		if rendezvous.Score(key, endpoints[i]) > rendezvous.Score(key, endpoints[best]) {
			best = i
		}
	}
	return best
}
