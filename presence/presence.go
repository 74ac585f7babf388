// Package presence holds what the hosts tell one another through the platform's
// store: that they serve, what they have in progress, what their callers ask
// for, and what they have counted. Every host writes one report a second under
// its own key and reads those of the others.
//
// Invariant: a host is alive while its reports come. While the store cannot be
// read nothing is learnt, so nobody is declared dead by that.
package presence

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/placement"
	"github.com/cicadanotch/cicadanotch/rendezvous"
	"github.com/cicadanotch/cicadanotch/usage"
)

// State is what a host says of itself.
type State string

// States of hosts.
const (
	StateStarting State = "starting"
	StateServing  State = "serving"
	StateLeaving  State = "leaving"
)

// Demand is what a host's callers ask of one service.
type Demand struct {
	// Requests is how many arrive a second, Prompt and Answer the tokens a
	// second, not counting cached ones.
	Requests float64 `json:"r"`
	Prompt   float64 `json:"p,omitempty"`
	Answer   float64 `json:"a,omitempty"`
	// Waiting is how many have no endpoint yet, Refused how many were refused
	// a second for want of room.
	Waiting int     `json:"w,omitempty"`
	Refused float64 `json:"x,omitempty"`
	// Generated is how many tokens streams that ended had, a second, and
	// Generating the time that all of them took, in seconds a second.
	Generated  float64 `json:"g,omitempty"`
	Generating float64 `json:"t,omitempty"`
}

// Report is what one host tells. The fields are short because every host reads
// every report.
type Report struct {
	Host        string `json:"h"`
	Incarnation string `json:"i"`
	Sequence    int64  `json:"q"`
	Address     string `json:"a"`
	// Peer is where other hosts reach it; Cores how much processor it has.
	Peer   string  `json:"p,omitempty"`
	Cores  float64 `json:"w,omitempty"`
	Zone   string  `json:"z"`
	Region string  `json:"g"`
	State  State   `json:"s"`
	// Wall is the host's wall-clock time in Unix milliseconds.
	Wall int64 `json:"t"`
	// Config is the version in force.
	Config int64 `json:"c"`
	// Fence is the fencing number under which the host holds the duties; zero
	// when it does not.
	Fence int64 `json:"f,omitempty"`
	// Needs is how many endpoints of each service the holder plans for.
	Needs map[string]int `json:"e,omitempty"`
	// Loads is what it has at each endpoint, Demands what its callers ask of
	// each service, Quota the units a second that each workspace asks for.
	Loads   map[string]placement.Load `json:"l,omitempty"`
	Demands map[string]Demand         `json:"d,omitempty"`
	Quota   map[string]float64        `json:"u,omitempty"`
	// Shares is the part of each workspace's limit that it gives out, where it
	// has had requests; Relayed tells that it leaves that to a relay.
	Shares  map[string]float64 `json:"v,omitempty"`
	Relayed bool               `json:"y,omitempty"`
	// Usage is the requests begun, by window.
	Usage map[int64]usage.Counts `json:"n,omitempty"`
	// Crashes are the requests that were running when an endpoint died.
	Crashes []Crash `json:"k,omitempty"`
}

// Crash is the death of an endpoint while a request ran there.
type Crash struct {
	Fingerprint uint64 `json:"f"`
	Endpoint    string `json:"e"`
	// Wall is when it was seen, in Unix milliseconds.
	Wall int64 `json:"t"`
}

// Key is the key of a host's report. Each incarnation has one of its own, so
// that a restart does not erase what the last one had counted.
func (r Report) Key() string { return r.Host + "/" + r.Incarnation }

type row struct {
	Report
	heardAt time.Time
}

// Table holds the reports. Safe for concurrent use; its lock is a leaf.
type Table struct {
	self     string
	host     string
	lifetime time.Duration

	mu     sync.Mutex
	rows   map[string]*row // by key
	readAt time.Time
	grace  time.Time
}

// NewTable returns an empty table of a host, whose process is named by its
// incarnation. A host is alive for lifetime after its last report.
func NewTable(host, incarnation string, lifetime time.Duration) *Table {
	return &Table{self: Report{Host: host, Incarnation: incarnation}.Key(), host: host, lifetime: lifetime, rows: map[string]*row{}}
}

// Hear takes a report. It reports whether the host was not known before.
func (t *Table) Hear(now time.Time, r Report) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.rows[r.Key()]
	if known && old.Sequence >= r.Sequence {
		return false
	}
	t.rows[r.Key()] = &row{r, now}
	return !known
}

// Drop forgets an incarnation whose key was removed.
func (t *Table) Drop(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.rows, key)
}

// Read notes that all reports up to now have been read. After a gap the hosts
// are given time to report again.
func (t *Table) Read(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.readAt.IsZero() && now.Sub(t.readAt) > t.lifetime/2 {
		t.grace = now.Add(t.lifetime)
	}
	t.readAt = now
}

func (t *Table) alive(r *row) bool {
	if t.readAt.Before(t.grace) {
		return t.readAt.Sub(r.heardAt) < 2*t.lifetime+t.grace.Sub(t.readAt)
	}
	return t.readAt.Sub(r.heardAt) < t.lifetime
}

// Live returns the newest report of each host that is alive, by host, without
// this one's own.
func (t *Table) Live() []Report { return t.newest(t.alive) }

// Silent returns the newest report of each host that was heard within an age, but
// not within the shorter silence, without this one's own.
func (t *Table) Silent(silence, age time.Duration) []Report {
	heard := t.Within(silence)
	return slices.DeleteFunc(t.Within(age), func(r Report) bool {
		return slices.ContainsFunc(heard, func(l Report) bool { return l.Host == r.Host })
	})
}

// Within returns the newest report of each host that was heard within an age,
// alive or not, without this one's own.
func (t *Table) Within(age time.Duration) []Report {
	return t.newest(func(r *row) bool { return t.readAt.Sub(r.heardAt) < age })
}

func (t *Table) newest(counts func(*row) bool) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	newest := map[string]*row{}
	for key, r := range t.rows {
		if key == t.self || r.Host == t.host || !counts(r) {
			continue
		}
		if old, ok := newest[r.Host]; !ok || old.heardAt.Before(r.heardAt) {
			newest[r.Host] = r
		}
	}
	out := make([]Report, 0, len(newest))
	for _, r := range newest {
		out = append(out, r.Report)
	}
	slices.SortFunc(out, func(a, b Report) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// Stale returns the keys of the reports that were not heard within an age.
func (t *Table) Stale(age time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for key, r := range t.rows {
		if key != t.self && t.readAt.Sub(r.heardAt) >= age {
			out = append(out, key)
		}
	}
	slices.Sort(out)
	return out
}

// All returns the last report of every incarnation known, dead ones included.
func (t *Table) All() []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Report, 0, len(t.rows))
	for _, r := range t.rows {
		out = append(out, r.Report)
	}
	return out
}

// Addresses returns the addresses to give to a caller, at most most of them: those
// of the serving hosts of its zone, or of its region when its zone has fewer than
// least, or all. self is this host's own report as of now.
func Addresses(live []Report, self Report, zone, region string, least, most int) []string {
	all := append(slices.Clone(live), self)
	all = slices.DeleteFunc(all, func(r Report) bool { return r.State != StateServing })
	for _, near := range []func(Report) bool{
		func(r Report) bool { return r.Zone == zone },
		func(r Report) bool { return r.Region == region },
	} {
		var out []string
		for _, r := range all {
			if near(r) {
				out = append(out, r.Address)
			}
		}
		if len(out) >= least {
			return some(out, zone, most)
		}
	}
	out := make([]string, 0, len(all))
	for _, r := range all {
		out = append(out, r.Address)
	}
	return some(out, zone, most)
}

// some returns at most a number of addresses, others for each zone of callers.
func some(addresses []string, zone string, most int) []string {
	if len(addresses) <= most {
		return addresses
	}
	return rendezvous.Top(zone, addresses, most)
}
