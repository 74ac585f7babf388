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
	// rateWeight is the weight of one answer in the prefill speed.
	rateWeight = 1.0 / 16
	// Bounds of the prefill speed that answers can show, as parts of the
	// assumed one.
	minRate, maxRate = 0.1, 10.0
	// partedFor is how much longer than one of its endpoints a region is out.
	partedFor = 3 * time.Second
	// aloneBelow is the number of requests below which an endpoint has nothing
	// to do.
	aloneBelow = 0.5
	// minRateSample is the least number of tokens that shows a speed.
	minRateSample = 256
)

// endpoint is one row of a Table. What a choice reads of each stands first.
// Times are in nanoseconds since 1970, zero for none.
type endpoint struct {
	hash    uint64
	near    nearness
	leaving bool
	slot    int
	// price is relative to the cheapest of the service's endpoints.
	price float64
	// limit is how many requests it runs at once, perPlace one through limit.
	limit        float64
	perPlace     float64
	deadline     int64
	suspectUntil int64
	reportAt     int64
	inFlight     int
	ownPrefill   int
	// othersRunning and othersPrefill are what the last report says beyond
	// this process's own.
	othersRunning int
	othersPrefill float64
	// sinceRunning and sincePrefill are this process's own requests and
	// waiting tokens that the last report cannot know of.
	sinceRunning int
	sincePrefill int

	row    Row
	report port.LoadReport
}

type nearness uint8

const (
	sameZone nearness = iota
	sameRegion
	otherRegion
)

// group is the endpoints of one service.
type group struct {
	rows []*endpoint
	// alone and shared are prefill speeds, in tokens a second: of an endpoint
	// with nothing else to do, and of one that decodes meanwhile.
	alone, shared float64
	link          bucket
	// load is the smoothed number of requests at the endpoints nearby.
	load   float64
	loadAt time.Time
}

// Table holds the endpoints of all services, their load and this process's
// bookings. Safe for concurrent use.
type Table struct {
	opts  Options
	place Place

	mu       sync.Mutex
	groups   map[string]*group
	byID     map[string]*endpoint
	bookings []booking
	free     []int32
	scratch  []candidate
	link     bucket
	choices  uint64
	// peers is how many processes choose in the region, all in all regions,
	// this one included.
	peers, all int
	recent     recent
	// cutOff tells until when a region is taken to be out of reach.
	cutOff map[string]time.Time
}

// NewTable returns an empty table of a process at place.
func NewTable(place Place, opts Options) *Table {
	return &Table{opts: opts, place: place, groups: map[string]*group{}, byID: map[string]*endpoint{}, cutOff: map[string]time.Time{}, peers: 1, all: 1}
}

// SetPeers tells how many processes choose in the region and in all regions,
// this one included.
func (t *Table) SetPeers(region, all int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers, t.all = max(region, 1), max(all, 1)
}

// Update replaces what the platform says. Load and bookings stay.
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
		e.setLimit(t.opts.MaxRunning)
		t.byID[row.Host.ID] = e
		g := t.group(row.Host.Service)
		g.rows = append(g.rows, e)
	}
	e.row = row
	e.near, e.leaving, e.slot = t.nearness(row.Host), row.Leaving, row.Slot
	e.deadline = 0
	if !row.Deadline.IsZero() {
		e.deadline = row.Deadline.UnixNano()
	}
}

func (e *endpoint) setLimit(n int) {
	e.limit = float64(max(n, 1))
	e.perPlace = 1 / e.limit
}

func (t *Table) group(service string) *group {
	g, ok := t.groups[service]
	if !ok {
		g = &group{alone: t.opts.PrefillTokensPerSecond, shared: t.opts.PrefillTokensPerSecond}
		t.groups[service] = g
	}
	return g
}

func (t *Table) nearness(h port.Host) nearness {
	switch {
	case h.Region != t.place.Region:
		return otherRegion
	case h.Zone != t.place.Zone:
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

// sort puts the service's endpoints in the order in which they become active:
// the cheapest first.
func (g *group) sort() {
	slices.SortFunc(g.rows, func(a, b *endpoint) int {
		if a.price != b.price {
			return cmp.Compare(a.price, b.price)
		}
		return cmp.Compare(a.hash, b.hash)
	})
}

// Report takes an endpoint's load report.
func (t *Table) Report(id string, r port.LoadReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.byID[id]
	if !ok || r.At.Before(e.report.At) {
		return
	}
	running, prefill := t.ownAt(e, r.At)
	e.report, e.reportAt = r, r.At.UnixNano()
	if r.MaxRunning > 0 {
		e.setLimit(r.MaxRunning)
	}
	e.sinceRunning, e.sincePrefill = e.inFlight-running, e.ownPrefill-prefill
	e.othersRunning = max(r.Running+r.Waiting-running, 0)
	e.othersPrefill = math.Max(float64(r.WaitingTokens-prefill), 0)
}

// ownAt returns how many of this process's requests an endpoint had at a time,
// and how many of their tokens waited.
func (t *Table) ownAt(e *endpoint, at time.Time) (running, prefill int) {
	for i := range t.bookings {
		b := &t.bookings[i]
		if !b.used || b.endpoint != e || b.at.After(at) {
			continue
		}
		running++
		if !b.started {
			prefill += b.prefill
		}
	}
	return running, prefill
}

// Suspect keeps new work from an endpoint until a time. An endpoint of another
// region that fails may mean that the regions are parted: work stays in the
// region for a while.
func (t *Table) Suspect(id string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.byID[id]
	if !ok {
		return
	}
	e.suspectUntil = until.UnixNano()
	if e.near == otherRegion {
		t.cutOff[e.row.Host.Region] = until.Add(partedFor)
	}
}

// Incarnation returns the process of an endpoint as it last reported it; ""
// when it never did.
func (t *Table) Incarnation(id string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.byID[id]; ok {
		return e.report.Incarnation
	}
	return ""
}

// Host returns the row of an endpoint.
func (t *Table) Host(id string) (port.Host, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.byID[id]
	if !ok {
		return port.Host{}, false
	}
	return e.row.Host, true
}

// All returns the endpoints.
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

// View is what the table knows of one endpoint.
type View struct {
	Row
	// Report is the last load report; its At is zero without one.
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
