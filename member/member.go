// Package member decides which entry hosts are alive. The platform's lagging
// list says who exists; heartbeats to a few neighbours say who answers.
//
// Each host is watched by the K live hosts before it on a ring ordered by
// hash, so that every host has the same number of watchers and a change of the
// list moves only neighbouring pairs. A watcher that misses heartbeats has
// other hosts check before it reports a host as dead; a host is dead once most
// of its watchers report it. A watcher that reaches no other host at all
// doubts itself and reports nothing.
//
// Invariant: a host listed as leaving is never Alive, and nothing is Dead on
// the word of one process while another one of its watchers differs.
package member

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/rendezvous"
)

// Verdict is what is held of a host.
type Verdict string

// Verdicts.
const (
	Alive Verdict = "alive"
	// Suspect hosts miss heartbeats; nothing changes for them yet.
	Suspect Verdict = "suspect"
	Dead    Verdict = "dead"
	// Leaving hosts are listed as leaving or under notice.
	Leaving Verdict = "leaving"
	// Out hosts took themselves out of service, as stale ones do.
	Out Verdict = "out"
)

// Reasons of verdicts.
const (
	ReasonListed        = "listed as live, not watched from here"
	ReasonAnswers       = "answers"
	ReasonMissed        = "missed heartbeats, check by others pending"
	ReasonOneDirection  = "does not answer here but answers others"
	ReasonDead          = "listed as live, answers no watcher"
	ReasonFlapping      = "answers again, held back for flapping"
	ReasonLeaving       = "listed as leaving"
	ReasonLeavingAlive  = "listed as leaving, still answers"
	ReasonLeavingSilent = "listed as leaving, answers no watcher"
)

// Options set the rules' times.
type Options struct {
	// Neighbours is how many hosts each host watches.
	Neighbours int
	// SuspectMisses is how many heartbeats in a row make a host suspect.
	SuspectMisses int
	// ReportLifetime is how long another host's report counts.
	ReportLifetime time.Duration
	// FlapHold is how long a host that came back must answer before it is
	// alive; it doubles with each further death up to FlapHoldMax.
	FlapHold    time.Duration
	FlapHoldMax time.Duration
	// FlapMemory is how long a death counts.
	FlapMemory time.Duration
}

// DefaultOptions are the options of an entry host.
func DefaultOptions() Options {
	return Options{
		Neighbours:     3,
		SuspectMisses:  2,
		ReportLifetime: 30 * time.Second,
		FlapHold:       2 * time.Second,
		FlapHoldMax:    60 * time.Second,
		FlapMemory:     5 * time.Minute,
	}
}

// Host is one row of the platform's list.
type Host struct {
	ID      string
	Region  string
	Zone    string
	Leaving bool
}

// Report is what one host says of those that it watches. A report replaces
// the earlier ones of the same host.
type Report struct {
	By string `json:"by"`
	// Sequence grows with each report of a host, across its restarts.
	Sequence int64 `json:"sequence"`
	// Dead lists the hosts that answer neither By nor those it asked.
	Dead []string `json:"dead,omitempty"`
	// Out says why By takes itself out of service; empty when it does not.
	Out string `json:"out,omitempty"`
}

// Empty reports whether the report says nothing.
func (r Report) Empty() bool { return len(r.Dead) == 0 && r.Out == "" }

// Row is the state of one host.
type Row struct {
	ID      string  `json:"id"`
	Zone    string  `json:"availability_zone"`
	Verdict Verdict `json:"verdict"`
	Reason  string  `json:"reason"`
	// Since is when the verdict last changed here.
	Since time.Time `json:"since"`
	// Deaths is how many deaths still count for flapping.
	Deaths int `json:"deaths,omitempty"`
}

type entry struct {
	host     Host
	watchers []string
	watched  bool
	misses   int
	answered time.Time
	// confirmed says that others found the host silent too; elsewhere that
	// it answered one of them.
	confirmed bool
	elsewhere bool
	deaths    []time.Time
	heldUntil time.Time
	verdict   Verdict
	reason    string
	since     time.Time
}

type heard struct {
	report Report
	at     time.Time
}

// Table holds the verdicts of one process. Safe for concurrent use.
type Table struct {
	self string
	opts Options

	mu      sync.Mutex
	entries map[string]*entry
	rings   [][]string
	reports map[string]heard
}

// NewTable returns the empty table of the host self.
func NewTable(self string, opts Options) *Table {
	return &Table{self: self, opts: opts, entries: map[string]*entry{}, reports: map[string]heard{}}
}

// SetList takes over the platform's list.
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
	t.judgeAll(now)
}

// setWatchers books for each host who watches it.
func (t *Table) setWatchers() {
	for _, ring := range t.rings {
		for i, id := range ring {
			e := t.entries[id]
			e.watchers = t.before(ring, i)
			e.watched = slices.Contains(e.watchers, t.self)
			if !e.watched {
				e.forget()
			}
		}
	}
}

// forget drops what heartbeats told.
func (e *entry) forget() {
	e.misses, e.confirmed, e.elsewhere = 0, false, false
	e.answered = time.Time{}
}

// before returns the live hosts that come before place i on the ring, K of
// them where there are as many.
func (t *Table) before(ring []string, i int) []string {
	var out []string
	for d := 1; d < len(ring) && len(out) < t.opts.Neighbours; d++ {
		id := ring[(i-d+len(ring))%len(ring)]
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
	var single []string
	for _, region := range sortedKeys(byRegion) {
		if ids := byRegion[region]; len(ids) > 1 {
			out = append(out, ids)
		} else {
			single = append(single, ids...)
		}
	}
	switch {
	case len(out) == 0:
		out = [][]string{single}
	default:
		out[0] = append(out[0], single...)
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

// Helpers returns up to n live hosts that can check a host for this one, those
// of the host's region first. They change with each missed heartbeat, since
// they may be gone themselves.
func (t *Table) Helpers(id string, n int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	target, ok := t.entries[id]
	if !ok {
		return nil
	}
	near, far := t.helperNames(target)
	key := "check/" + t.self + "/" + id + "/" + strconv.Itoa(target.misses)
	ranked := append(rendezvous.Rank(key, near), rendezvous.Rank(key, far)...)
	return ranked[:min(n, len(ranked))]
}

func (t *Table) helperNames(target *entry) (near, far []string) {
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

// Answered books a heartbeat that came back from id.
func (t *Table) Answered(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[id]
	if !ok {
		return
	}
	e.answered = now
	e.misses = 0
	e.confirmed = false
	e.elsewhere = false
	t.judge(now, e)
}

// Missed books a heartbeat that did not come back; it reports whether other
// hosts shall check now.
func (t *Table) Missed(now time.Time, id string) (check bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[id]
	if !ok {
		return false
	}
	e.misses++
	t.judge(now, e)
	return e.misses >= t.opts.SuspectMisses
}

// Finding is what the check of a host by others gave.
type Finding int

// Findings.
const (
	// FoundNothing means that no other host could be asked.
	FoundNothing Finding = iota
	// FoundSilent means that others were asked and had no answer either.
	FoundSilent
	// FoundAnswering means that the host answered another one.
	FoundAnswering
)

// Checked books what other hosts found of id. FoundNothing leaves the host
// suspect, unless there is no third host in the list.
func (t *Table) Checked(now time.Time, id string, f Finding) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[id]
	if !ok || e.misses < t.opts.SuspectMisses {
		return
	}
	e.elsewhere = f == FoundAnswering
	e.confirmed = f == FoundSilent || (f == FoundNothing && len(t.entries) <= 2)
	t.judge(now, e)
}

// Hear takes in the report of another host; it reports whether it was news.
func (t *Table) Hear(now time.Time, r Report) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.reports[r.By]
	if r.By == t.self || (ok && known.report.Sequence >= r.Sequence) {
		return false
	}
	t.reports[r.By] = heard{r, now}
	t.judgeAll(now)
	return true
}

// Judge applies the passing of time.
func (t *Table) Judge(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for by, h := range t.reports {
		if now.Sub(h.at) > t.opts.ReportLifetime {
			delete(t.reports, by)
		}
	}
	t.setWatchers()
	t.judgeAll(now)
}

// Own returns the hosts that this process would report as dead.
func (t *Table) Own() []string {
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

// Verdict returns the verdict of one host; false when it is not listed.
func (t *Table) Verdict(id string) (Verdict, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[id]
	if !ok {
		return "", false
	}
	return e.verdict, true
}

// Rows returns all rows, ordered by id.
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
