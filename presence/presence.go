// Package presence holds the reports that the hosts exchange through the platform's
// store: their state, the load that they have in progress, the demand of their callers,
// and their usage counts. Every host writes one report per second under its own key and
// reads those of the others.
//
// Invariant: a host is alive while its reports arrive. Time during which the store
// cannot be read does not count, so no host is considered gone because of it.
package presence

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/placement"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/rendezvous"
	"github.com/cicadanotch/cicadanotch/speed"
	"github.com/cicadanotch/cicadanotch/usage"
)

// State is the state that a host reports.
type State string

// States of hosts.
const (
	StateStarting State = "starting"
	StateServing  State = "serving"
	StateLeaving  State = "leaving"
)

// Demand is the demand of a host's callers on one service.
type Demand struct {
	// Requests is the number of requests per second. Prompt and Answer are the
	// tokens per second to prefill and to generate; cached tokens are not counted.
	Requests float64 `json:"r"`
	Prompt   float64 `json:"p,omitempty"`
	Answer   float64 `json:"a,omitempty"`
	// Waiting is the number of requests that have no endpoint yet, Refused the
	// number per second of those refused for lack of capacity.
	Waiting int     `json:"w,omitempty"`
	Refused float64 `json:"x,omitempty"`
	// Generated is the tokens per second of the streams that ended, Generating the
	// time that all of them took to generate, in seconds per second.
	Generated  float64 `json:"g,omitempty"`
	Generating float64 `json:"t,omitempty"`
}

// Limit is what an endpoint has said of the requests that it takes from all hosts.
type Limit struct {
	// PerSecond is zero if the limit was lifted.
	PerSecond float64 `json:"l,omitempty"`
	// AgeMS is the time since the answer that said so, as of the report.
	AgeMS int64 `json:"a,omitempty"`
}

// Rejections is what an endpoint has said of the rejections that it bears.
type Rejections struct {
	// PerSecond is how many it bears in a second. Lifted means that it names no bound any more.
	PerSecond int  `json:"n,omitempty"`
	Lifted    bool `json:"x,omitempty"`
	// AgeMS is the time since the answer that said so, as of the report.
	AgeMS int64 `json:"a,omitempty"`
}

// Report is the report of one host. The JSON keys are short because every host reads
// every report.
type Report struct {
	Host        string `json:"h"`
	Incarnation string `json:"i"`
	Sequence    int64  `json:"q"`
	Address     string `json:"a"`
	// Peer is the address at which other hosts reach it, Cores the number of
	// processor cores that it has.
	Peer  string  `json:"p,omitempty"`
	Cores float64 `json:"w,omitempty"`
	// Tunnel is the address at which it carries connections of hosts that are cut off; empty if it does not. CutOff
	// names the services from whose endpoints it is cut off itself.
	Tunnel string   `json:"tu,omitempty"`
	CutOff []string `json:"co,omitempty"`
	Zone   string   `json:"z"`
	Region string   `json:"g"`
	State  State    `json:"s"`
	// Wall is the host's wall-clock time in Unix milliseconds.
	Wall int64 `json:"t"`
	// Era is the latest era of the store that the host knows.
	Era port.Era `json:"b,omitempty"`
	// Config is the version of the configuration in force.
	Config int64 `json:"c"`
	// FencingToken is the fencing token of the leader; zero if the host is not the leader.
	FencingToken int64 `json:"f,omitempty"`
	// Targets is the target count of endpoints of each service, set by the leader.
	Targets map[string]int `json:"e,omitempty"`
	// Loads is the host's load at each endpoint, Demands the demand of its callers on
	// each service, Quota the units per second requested by each workspace.
	Loads       map[string]placement.Load `json:"l,omitempty"`
	Demands     map[string]Demand         `json:"d,omitempty"`
	QuotaDemand map[string]float64        `json:"u,omitempty"`
	// Placer is the host that chooses endpoints for this one, empty if it chooses on its own.
	Placer string `json:"o,omitempty"`
	// Paces is how fast the endpoints of each service start answers, as far as the host knows.
	Paces map[string]placement.Pace `json:"r,omitempty"`
	// Shares is the fraction of each workspace's limit that the host holds. Relayed means that it takes
	// from the share of a relay instead.
	Shares  map[string]float64 `json:"v,omitempty"`
	Relayed bool               `json:"y,omitempty"`
	// Limits holds the limits that endpoints have named to this host, by id.
	Limits map[string]Limit `json:"k,omitempty"`
	// Rejections holds the bounds on rejections that endpoints have named to this host, by id.
	Rejections map[string]Rejections `json:"x,omitempty"`
	// Software is how many milliseconds ago each software version of a service was last listed.
	Software map[string]map[string]int64 `json:"j,omitempty"`
	// Moves is how many milliseconds ago configurations led streams to other services, by version.
	Moves map[int64]int64 `json:"mv,omitempty"`
	// Speeds is what the host has observed of the time that endpoints take; absent where that is not learnt.
	Speeds speed.Observations `json:"sp,omitempty"`
	// Usage counts the requests that started to run, by window.
	Usage map[int64]usage.Counts `json:"n,omitempty"`
	// Decided is the usage that the leader has decided to report, by window.
	Decided map[int64]usage.Counts `json:"m,omitempty"`
}

// Key returns the key of a host's report. Each incarnation has its own, so that a
// restart does not overwrite the usage that the previous one had counted.
func (r Report) Key() string { return r.Host + "/" + r.Incarnation }

// row is the last report of an incarnation.
type row struct {
	Report
	receivedAt time.Time
}

// Table holds the reports. Safe for concurrent use; no other lock is taken while its
// lock is held.
type Table struct {
	selfKey string
	host    string
	ttl     time.Duration

	mu   sync.Mutex
	rows map[string]*row // by key
	// removed holds the sequence of the last report of incarnations whose key was removed, so
	// that an older copy of the store does not make them count as alive again.
	removed    map[string]removal
	readAt     time.Time // when the store was last read
	graceUntil time.Time // end of the grace period after a gap between reads
}

// NewTable returns an empty table for a host; incarnation identifies its process. A
// host is alive for ttl after its last report.
func NewTable(host, incarnation string, ttl time.Duration) *Table {
	return &Table{selfKey: Report{Host: host, Incarnation: incarnation}.Key(), host: host, ttl: ttl, rows: map[string]*row{}, removed: map[string]removal{}}
}

// ReceiveReport applies a received report if it is newer than the last one. It reports
// whether the incarnation was unknown before. restored is set if the report is from an older
// copy of the store: it then does not make an incarnation alive again that was removed.
func (t *Table) ReceiveReport(now time.Time, r Report, restored bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.rows[r.Key()]
	if known && old.Sequence >= r.Sequence {
		return false
	}
	if gone, ok := t.removed[r.Key()]; restored && ok && gone.sequence >= r.Sequence {
		return false
	}
	t.rows[r.Key()] = &row{r, now}
	return !known
}

// removal is the removal of an incarnation.
type removal struct {
	sequence int64
	at       time.Time
}

// removalMemory is how long a removed report may reappear in an older copy of the store.
const removalMemory = time.Minute

// Remove removes an incarnation whose key was removed from the store. Its host may continue to
// report through a relay, with higher sequence numbers.
func (t *Table) Remove(now time.Time, key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for other, r := range t.removed {
		if now.Sub(r.at) > removalMemory {
			delete(t.removed, other)
		}
	}
	if r, ok := t.rows[key]; ok {
		t.removed[key] = removal{r.Sequence, now}
	}
	delete(t.rows, key)
}

// MarkRead records that all reports up to now have been read. A gap of more than half the
// TTL since the last read starts a grace period of one TTL, in which the hosts can report
// again.
func (t *Table) MarkRead(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.readAt.IsZero() && now.Sub(t.readAt) > t.ttl/2 {
		t.graceUntil = now.Add(t.ttl)
	}
	t.readAt = now
}

// alive reports whether a host counts as alive as of the last read.
func (t *Table) alive(r *row) bool {
	if t.readAt.Before(t.graceUntil) {
		return t.readAt.Sub(r.receivedAt) < 2*t.ttl+t.graceUntil.Sub(t.readAt)
	}
	return t.readAt.Sub(r.receivedAt) < t.ttl
}

// Live returns the newest report of each host that is alive except this one, ordered
// by host.
func (t *Table) Live() []Report { return t.newest(t.alive) }

// Unresponsive returns the newest report of each host except this one from which a report
// was received within age, but none within the shorter timeout.
func (t *Table) Unresponsive(timeout, age time.Duration) []Report {
	responsive := t.Within(timeout)
	return slices.DeleteFunc(t.Within(age), func(r Report) bool {
		return slices.ContainsFunc(responsive, func(l Report) bool { return l.Host == r.Host })
	})
}

// Within returns the newest report of each host except this one from which a report was
// received within age, whether it is alive or not.
func (t *Table) Within(age time.Duration) []Report {
	return t.newest(func(r *row) bool { return t.readAt.Sub(r.receivedAt) < age })
}

// ReceivedAt returns when a report of an incarnation was last received; zero if none was.
func (t *Table) ReceivedAt(key string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.rows[key]; ok {
		return r.receivedAt
	}
	return time.Time{}
}

// newest returns, ordered by host, the newest report of each host except this one among
// those that match.
func (t *Table) newest(match func(*row) bool) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	newest := map[string]*row{}
	for key, r := range t.rows {
		if key == t.selfKey || r.Host == t.host || !match(r) {
			continue
		}
		if old, ok := newest[r.Host]; !ok || old.receivedAt.Before(r.receivedAt) {
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

// Stale returns the keys of the other incarnations from which no report was received
// within age.
func (t *Table) Stale(age time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for key, r := range t.rows {
		if key != t.selfKey && t.readAt.Sub(r.receivedAt) >= age {
			out = append(out, key)
		}
	}
	slices.Sort(out)
	return out
}

// All returns the last report of every known incarnation, alive or not.
func (t *Table) All() []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Report, 0, len(t.rows))
	for _, r := range t.rows {
		out = append(out, r.Report)
	}
	return out
}

// Addresses returns the addresses of serving hosts for a caller, at most maxCount: those
// in its zone; those in its region if its zone has fewer than minCount; or all if the
// region has fewer, too. self is this host's own current report.
func Addresses(live []Report, self Report, zone, region string, minCount, maxCount int) []string {
	all := append(slices.Clone(live), self)
	all = slices.DeleteFunc(all, func(r Report) bool { return r.State != StateServing })
	for _, match := range []func(Report) bool{
		func(r Report) bool { return r.Zone == zone },
		func(r Report) bool { return r.Region == region },
	} {
		var out []string
		for _, r := range all {
			if match(r) {
				out = append(out, r.Address)
			}
		}
		if len(out) >= minCount {
			return limitAddresses(out, zone, maxCount)
		}
	}
	out := make([]string, 0, len(all))
	for _, r := range all {
		out = append(out, r.Address)
	}
	return limitAddresses(out, zone, maxCount)
}

// limitAddresses returns at most maxCount of the addresses, a different subset for each
// zone of callers.
func limitAddresses(addresses []string, zone string, maxCount int) []string {
	if len(addresses) <= maxCount {
		return addresses
	}
	return rendezvous.Top(zone, addresses, maxCount)
}
