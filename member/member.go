// Package member decides which entry hosts are alive. The platform's list, which
// lags, says which hosts exist; heartbeats to a few neighbours show which of them
// respond.
//
// The hosts of each region form a ring ordered by hash. Each host is watched by the K
// live hosts before it on the ring (K is Options.Neighbours), so every host has the
// same number of watchers, and a change of the list affects only adjacent hosts. A
// watcher whose heartbeats to a host are not answered asks other hosts to check that
// host before it reports the host as dead; a host is dead once most of its watchers
// report it. A watcher that reaches no other host at all assumes that it is isolated
// itself and reports nothing.
//
// Invariants: a host listed as leaving is never Alive; no host is Dead by the report
// of a single process while another of its watchers disagrees.
package member

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/rendezvous"
)

// Verdict is the state of a host in the view of this process.
type Verdict string

// Verdicts.
const (
	Alive Verdict = "alive"
	// Suspect hosts missed heartbeats; they stay in use, but come last among the
	// addresses that callers receive.
	Suspect Verdict = "suspect"
	Dead    Verdict = "dead"
	// Leaving hosts are listed as leaving or have notice of reclaim.
	Leaving Verdict = "leaving"
	// OutOfService hosts took themselves out of service, for example because their state
	// is stale.
	OutOfService Verdict = "out"
)

// Reasons of verdicts.
const (
	ReasonListed              = "listed as live, not watched from here"
	ReasonResponsive          = "answers"
	ReasonMissedHeartbeats    = "missed heartbeats, check by others pending"
	ReasonOneDirection        = "does not answer here but answers others"
	ReasonDead                = "listed as live, answers no watcher"
	ReasonFlapping            = "answers again, held back for flapping"
	ReasonLeaving             = "listed as leaving"
	ReasonLeavingResponsive   = "listed as leaving, still answers"
	ReasonLeavingUnresponsive = "listed as leaving, answers no watcher"
)

// Options are the parameters of failure detection.
type Options struct {
	// Neighbours is how many hosts each host watches.
	Neighbours int
	// SuspectMisses is how many heartbeats missed in a row make a host suspect.
	SuspectMisses int
	// ReportTTL is how long the report of another host is valid.
	ReportTTL time.Duration
	// FlapDelay is how long a dead host must respond again before it is alive;
	// it doubles with each further death up to MaxFlapDelay.
	FlapDelay    time.Duration
	MaxFlapDelay time.Duration
	// FlapWindow is how long a death counts for FlapDelay.
	FlapWindow time.Duration
}

// DefaultOptions returns the options of an entry host.
func DefaultOptions() Options {
	return Options{
		Neighbours:    3,
		SuspectMisses: 2,
		ReportTTL:     30 * time.Second,
		FlapDelay:     2 * time.Second,
		MaxFlapDelay:  60 * time.Second,
		FlapWindow:    5 * time.Minute,
	}
}

// Host is one row of the platform's list.
type Host struct {
	ID      string
	Region  string
	Zone    string
	Leaving bool
}

// Report is the state that one host publishes of itself and of the hosts that it
// watches. A report replaces the earlier ones of the same host.
type Report struct {
	By string `json:"by"`
	// Sequence increases with each report of a host, also across its restarts.
	Sequence int64 `json:"sequence"`
	// Dead lists the hosts that respond neither to By nor to the hosts it asked
	// to check.
	Dead []string `json:"dead,omitempty"`
	// OutReason is the reason why By is out of service; empty if it is in service.
	OutReason string `json:"out,omitempty"`
}

// Empty reports whether the report lists no dead host and By is in service.
func (r Report) Empty() bool { return len(r.Dead) == 0 && r.OutReason == "" }

// Row is the state of one host in the view of this process.
type Row struct {
	ID      string  `json:"id"`
	Zone    string  `json:"availability_zone"`
	Verdict Verdict `json:"verdict"`
	Reason  string  `json:"reason"`
	// Since is when the verdict last changed in this process.
	Since time.Time `json:"since"`
	// Deaths is the number of deaths within FlapWindow.
	Deaths int `json:"deaths,omitempty"`
}

type entry struct {
	host       Host
	watchers   []string
	watched    bool
	misses     int
	answeredAt time.Time
	// confirmed is set if other hosts found the host unresponsive too,
	// answeredOthers if it responded to one of them.
	confirmed      bool
	answeredOthers bool
	deaths         []time.Time
	dampedUntil    time.Time
	verdict        Verdict
	reason         string
	since          time.Time
}

type receivedReport struct {
	report Report
	at     time.Time
}

// Table holds the verdicts of one process. It is safe for concurrent use.
type Table struct {
	self string
	opts Options

	mu      sync.Mutex
	entries map[string]*entry
	rings   [][]string
	reports map[string]receivedReport
}

// NewTable returns an empty table for the host self.
func NewTable(self string, opts Options) *Table {
	return &Table{self: self, opts: opts, entries: map[string]*entry{}, reports: map[string]receivedReport{}}
}

// SetList replaces the hosts by those of the platform's list.
func (t *Table) SetList(now time.Time, hosts []Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := make(map[string]*entry, len(hosts))
	for _, h := range hosts {
		e, ok := t.entries[h.ID]
		if !ok {
			e = &entry{verdict: Alive, reason: ReasonListed, since: now}
		}
		e.host = h
		next[h.ID] = e
	}
	t.entries = next
	t.rings = rings(hosts)
	t.setWatchers()
	t.evaluateAll(now)
}

// setWatchers assigns the watchers of each host.
func (t *Table) setWatchers() {
	for _, ring := range t.rings {
		for i, id := range ring {
			e := t.entries[id]
			e.watchers = t.predecessors(ring, i)
			e.watched = slices.Contains(e.watchers, t.self)
			if !e.watched {
				e.resetHeartbeats()
			}
		}
	}
}

// resetHeartbeats clears the results of heartbeats and checks.
func (e *entry) resetHeartbeats() {
	e.misses, e.confirmed, e.answeredOthers = 0, false, false
	e.answeredAt = time.Time{}
}

// predecessors returns the live hosts before position i on the ring, up to
// Options.Neighbours of them, the nearest first.
func (t *Table) predecessors(ring []string, i int) []string {
	var out []string
	for distance := 1; distance < len(ring) && len(out) < t.opts.Neighbours; distance++ {
		id := ring[(i-distance+len(ring))%len(ring)]
		if id == t.self || t.entries[id].verdict != Dead {
			out = append(out, id)
		}
	}
	return out
}

// rings returns the hosts of each region in ring order. A region with a single
// host joins the ring of the first other region.
func rings(hosts []Host) [][]string {
	byRegion := map[string][]string{}
	for _, h := range hosts {
		byRegion[h.Region] = append(byRegion[h.Region], h.ID)
	}
	var out [][]string
	var singles []string
	for _, region := range sortedKeys(byRegion) {
		if ids := byRegion[region]; len(ids) > 1 {
			out = append(out, ids)
		} else {
			singles = append(singles, ids...)
		}
	}
	switch {
	case len(out) == 0:
		out = [][]string{singles}
	default:
		out[0] = append(out[0], singles...)
	}
	for i := range out {
		out[i] = rendezvous.Rank("ring", out[i])
	}
	return out
}

func sortedKeys(m map[string][]string) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Targets returns the hosts that this host sends heartbeats to.
func (t *Table) Targets() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for id, e := range t.entries {
		if e.watched {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Helpers returns up to n live hosts that can check the host id for this one, those
// in the region of id first. The choice changes with each missed heartbeat, since
// the helpers may be dead themselves.
func (t *Table) Helpers(id string, n int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	target, ok := t.entries[id]
	if !ok {
		return nil
	}
	near, far := t.helperCandidates(target)
	key := "check/" + t.self + "/" + id + "/" + strconv.Itoa(target.misses)
	ranked := append(rendezvous.Rank(key, near), rendezvous.Rank(key, far)...)
	return ranked[:min(n, len(ranked))]
}

func (t *Table) helperCandidates(target *entry) (near, far []string) {
	for id, e := range t.entries {
		if id == t.self || e == target || e.verdict == Dead || e.misses > 0 {
			continue
		}
		if e.host.Region == target.host.Region {
			near = append(near, id)
			continue
		}
		far = append(far, id)
	}
	return near, far
}

// RecordAnswer records a heartbeat that id answered.
func (t *Table) RecordAnswer(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[id]
	if !ok {
		return
	}
	e.answeredAt = now
	e.misses = 0
	e.confirmed = false
	e.answeredOthers = false
	t.evaluate(now, e)
}

// RecordMiss records a heartbeat that id did not answer. It reports whether other
// hosts should check id now.
func (t *Table) RecordMiss(now time.Time, id string) (check bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[id]
	if !ok {
		return false
	}
	e.misses++
	t.evaluate(now, e)
	return e.misses >= t.opts.SuspectMisses
}

// CheckResult is the result of the check of a host by other hosts.
type CheckResult int

// Results of checks.
const (
	// CheckNotPossible means that no other host could be asked.
	CheckNotPossible CheckResult = iota
	// CheckUnresponsive means that the host did not respond to those asked either.
	CheckUnresponsive
	// CheckResponsive means that the host responded to another host.
	CheckResponsive
)

// RecordCheck records the result of the check of id by other hosts. If none could be
// asked, the host stays suspect, unless the list has no third host.
func (t *Table) RecordCheck(now time.Time, id string, result CheckResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[id]
	if !ok || e.misses < t.opts.SuspectMisses {
		return
	}
	e.answeredOthers = result == CheckResponsive
	e.confirmed = result == CheckUnresponsive || (result == CheckNotPossible && len(t.entries) <= 2)
	t.evaluate(now, e)
}

// ReceiveReport records the report of another host. It returns false if the report is
// not newer than the last one of that host.
func (t *Table) ReceiveReport(now time.Time, r Report) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	last, ok := t.reports[r.By]
	if r.By == t.self || (ok && last.report.Sequence >= r.Sequence) {
		return false
	}
	t.reports[r.By] = receivedReport{r, now}
	t.evaluateAll(now)
	return true
}

// Evaluate removes expired reports and evaluates all hosts as of now.
func (t *Table) Evaluate(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for by, r := range t.reports {
		if now.Sub(r.at) > t.opts.ReportTTL {
			delete(t.reports, by)
		}
	}
	t.setWatchers()
	t.evaluateAll(now)
}

// ConfirmedDead returns the hosts that this process reports as dead.
func (t *Table) ConfirmedDead() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for id, e := range t.entries {
		if e.watched && e.confirmed {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Verdict returns the verdict of one host; false if the host is not listed.
func (t *Table) Verdict(id string) (Verdict, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[id]
	if !ok {
		return "", false
	}
	return e.verdict, true
}

// Rows returns the state of all hosts, ordered by id.
func (t *Table) Rows() []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Row, 0, len(t.entries))
	for id, e := range t.entries {
		out = append(out, Row{id, e.host.Zone, e.verdict, e.reason, e.since, len(e.deaths)})
	}
	slices.SortFunc(out, func(a, b Row) int { return strings.Compare(a.ID, b.ID) })
	return out
}
