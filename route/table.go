package route

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/port"
)

const (
	// prefillRateWeight is the weight of one observation in the prefill rate.
	prefillRateWeight = 1.0 / 16
	// minRateFactor and maxRateFactor bound an observed prefill rate, as multiples
	// of the assumed one.
	minRateFactor, maxRateFactor = 0.1, 10.0
	// regionSuspectExtension is how much longer a region counts as unreachable than
	// the suspect endpoint that caused it.
	regionSuspectExtension = 3 * time.Second
	// idleThreshold is the estimated number of requests below which an endpoint
	// counts as idle.
	idleThreshold = 0.5
	// minRateSampleTokens is the smallest prefill from which a rate is observed.
	minRateSampleTokens = 256
)

// endpoint is one row of a Table. The fields that each choice reads come first.
// Times are in nanoseconds since 1970, zero for none.
type endpoint struct {
	hash      uint64
	proximity proximity
	leaving   bool
	slot      int
	// price is the multiple of the price of the service's cheapest endpoint.
	price float64
	// maxRunning is how many requests it runs at once; invMaxRunning is its
	// reciprocal.
	maxRunning       float64
	invMaxRunning    float64
	deadline         int64
	suspectUntil     int64
	reportAt         int64
	inFlight         int
	ownPrefillTokens int
	// othersRunning and othersPrefill are the requests of other processes, and
	// their tokens that wait for prefill, by the last report.
	othersRunning int
	othersPrefill float64
	// runningSinceReport and prefillSinceReport are this process's own requests
	// and waiting tokens that the last report cannot include.
	runningSinceReport int
	prefillSinceReport int

	row    Row
	report port.LoadReport
}

type proximity uint8

const (
	sameZone proximity = iota
	sameRegion
	otherRegion
)

// group holds the endpoints of one service.
type group struct {
	rows []*endpoint
	// idleRate and busyRate are the prefill rates, in tokens per second, of an
	// idle endpoint and of one that decodes meanwhile.
	idleRate, busyRate float64
	linkBudget         bucket
	// load is the smoothed number of requests at the endpoints of the region.
	load   float64
	loadAt time.Time
}

// Table holds the endpoints of all services, their load, and the bookings of this
// process. Safe for concurrent use.
type Table struct {
	opts     Options
	location Location

	mu          sync.Mutex
	groups      map[string]*group
	byID        map[string]*endpoint
	bookings    []booking
	free        []int32
	scratch     []candidate
	linkBudget  bucket
	choiceCount uint64
	// regionProcesses and totalProcesses are how many processes choose endpoints
	// in the region and in all regions, including this one.
	regionProcesses, totalProcesses int
	recent                          recent
	// unreachableUntil is the time until which a region counts as unreachable.
	unreachableUntil map[string]time.Time
}

// NewTable returns an empty table for a process at location.
func NewTable(location Location, opts Options) *Table {
	return &Table{
		opts: opts, location: location, groups: map[string]*group{}, byID: map[string]*endpoint{},
		unreachableUntil: map[string]time.Time{}, regionProcesses: 1, totalProcesses: 1,
	}
}

// SetProcessCounts sets how many processes choose endpoints in the region and in all
// regions, including this one.
func (t *Table) SetProcessCounts(region, all int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.regionProcesses, t.totalProcesses = max(region, 1), max(all, 1)
}

// Update replaces the list of endpoints. Load and bookings of endpoints that stay
// listed are preserved.
func (t *Table) Update(rows []Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[string]bool, len(rows))
	for i := range rows {
		listed[rows[i].Host.ID] = true
		t.updateRow(rows[i])
	}
	for id, e := range t.byID {
		if !listed[id] {
			t.remove(id, e)
		}
	}
	for _, g := range t.groups {
		g.setPrices()
		g.sort()
	}
}

func (t *Table) updateRow(row Row) {
	e, ok := t.byID[row.Host.ID]
	if ok && e.row.Host.Service != row.Host.Service {
		t.remove(row.Host.ID, e)
		ok = false
	}
	if !ok {
		e = &endpoint{hash: hashID(row.Host.ID)}
		e.setMaxRunning(t.opts.MaxRunning)
		t.byID[row.Host.ID] = e
		g := t.group(row.Host.Service)
		g.rows = append(g.rows, e)
	}
	e.row = row
	e.proximity, e.leaving, e.slot = t.proximity(row.Host), row.Leaving, row.Slot
	e.deadline = 0
	if !row.Deadline.IsZero() {
		e.deadline = row.Deadline.UnixNano()
	}
}

func (e *endpoint) setMaxRunning(n int) {
	e.maxRunning = float64(max(n, 1))
	e.invMaxRunning = 1 / e.maxRunning
}

func (t *Table) group(service string) *group {
	g, ok := t.groups[service]
	if !ok {
		g = &group{idleRate: t.opts.PrefillTokensPerSecond, busyRate: t.opts.PrefillTokensPerSecond}
		t.groups[service] = g
	}
	return g
}

func (t *Table) proximity(h port.Host) proximity {
	switch {
	case h.Region != t.location.Region:
		return otherRegion
	case h.Zone != t.location.Zone:
		return sameRegion
	}
	return sameZone
}

func (t *Table) remove(id string, e *endpoint) {
	delete(t.byID, id)
	g := t.groups[e.row.Host.Service]
	g.rows = slices.DeleteFunc(g.rows, func(other *endpoint) bool { return other == e })
}

func (g *group) setPrices() {
	cheapest := math.Inf(1)
	for _, e := range g.rows {
		if p := e.row.Host.PricePerHour; p > 0 {
			cheapest = math.Min(cheapest, p)
		}
	}
	for _, e := range g.rows {
		e.price = 1
		if p := e.row.Host.PricePerHour; p > cheapest {
			e.price = p / cheapest
		}
	}
}

// sort orders the service's endpoints as they become active: the cheapest first, and
// by hash among equal prices, so that all processes use the same order.
func (g *group) sort() {
	slices.SortFunc(g.rows, func(a, b *endpoint) int {
		if a.price != b.price {
			return cmp.Compare(a.price, b.price)
		}
		return cmp.Compare(a.hash, b.hash)
	})
}

// Report applies an endpoint's load report. Reports older than the last are ignored.
func (t *Table) Report(id string, r port.LoadReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.byID[id]
	if !ok || r.At.Before(e.report.At) {
		return
	}
	running, prefill := t.ownLoadAt(e, r.At)
	e.report, e.reportAt = r, r.At.UnixNano()
	if r.MaxRunning > 0 {
		e.setMaxRunning(r.MaxRunning)
	}
	e.runningSinceReport, e.prefillSinceReport = e.inFlight-running, e.ownPrefillTokens-prefill
	e.othersRunning = max(r.Running+r.Waiting-running, 0)
	e.othersPrefill = math.Max(float64(r.WaitingTokens-prefill), 0)
}

// ownLoadAt returns how many of this process's current requests were booked at an
// endpoint by a time, and how many of their tokens still wait for prefill.
func (t *Table) ownLoadAt(e *endpoint, at time.Time) (running, prefill int) {
	for i := range t.bookings {
		b := &t.bookings[i]
		if !b.used || b.endpoint != e || b.at.After(at) {
			continue
		}
		running++
		if !b.started {
			prefill += b.prefillTokens
		}
	}
	return running, prefill
}

// Suspect excludes an endpoint from choices until a time. A failing endpoint of
// another region may mean that the regions are partitioned, so that region counts as
// unreachable for regionSuspectExtension longer.
func (t *Table) Suspect(id string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.byID[id]
	if !ok {
		return
	}
	e.suspectUntil = until.UnixNano()
	if e.proximity == otherRegion {
		t.unreachableUntil[e.row.Host.Region] = until.Add(regionSuspectExtension)
	}
}

// Incarnation returns the id of the endpoint's process by its last report, or "" if it
// has not reported.
func (t *Table) Incarnation(id string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.byID[id]; ok {
		return e.report.Incarnation
	}
	return ""
}

// Host returns the host of an endpoint.
func (t *Table) Host(id string) (port.Host, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.byID[id]
	if !ok {
		return port.Host{}, false
	}
	return e.row.Host, true
}

// All returns the hosts of all endpoints, ordered by id.
func (t *Table) All() []port.Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]port.Host, 0, len(t.byID))
	for _, e := range t.byID {
		out = append(out, e.row.Host)
	}
	slices.SortFunc(out, func(a, b port.Host) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// View is an endpoint's row and its last load report.
type View struct {
	Row
	// Report is the last load report; its At is zero if there is none.
	Report port.LoadReport
}

// Views returns the endpoints of a service.
func (t *Table) Views(service string) []View {
	t.mu.Lock()
	defer t.mu.Unlock()
	g, ok := t.groups[service]
	if !ok {
		return nil
	}
	out := make([]View, 0, len(g.rows))
	for _, e := range g.rows {
		out = append(out, View{e.row, e.report})
	}
	return out
}
