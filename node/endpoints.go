package node

import (
	"hash/maphash"
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/config"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/prefix"
	"github.com/cicadanotch/cicadanotch/request"
	"github.com/cicadanotch/cicadanotch/route"
)

type endpointRow struct {
	host    port.Host
	leaving bool
	// deadline is when a known stop takes the host; zero means none.
	deadline time.Time
}

// endpointTable wires endpoint choice: the route table, a prefix index for
// each service, and the bookings of the requests in flight. Its lock guards
// only its maps; it is not held while the tables below are called.
type endpointTable struct {
	routes *route.Table

	mu       sync.Mutex
	indexes  map[string]*prefix.Index
	bookings map[bookingKey]booked
}

type bookingKey struct {
	request  request.ID
	endpoint string
}

type booked struct {
	booking route.Booking
	// blocks is how many blocks the endpoint was expected to hold.
	blocks  int
	started bool
}

func newEndpointTable(s Settings) *endpointTable {
	opts := route.DefaultOptions()
	opts.Seed = maphash.String(maphash.MakeSeed(), s.Host)
	return &endpointTable{
		routes:   route.NewTable(route.Place{Region: s.Region, Zone: s.Zone}, opts),
		indexes:  map[string]*prefix.Index{},
		bookings: map[bookingKey]booked{},
	}
}

func (t *endpointTable) update(rows []endpointRow) {
	out := make([]route.Row, 0, len(rows))
	listed := map[string]bool{}
	for _, row := range rows {
		listed[row.host.ID] = true
		slot, err := t.index(row.host.Service).Add(row.host.ID)
		if err != nil {
			slot = -1 // chosen without knowledge of its cache
		}
		out = append(out, route.Row{Host: row.host, Leaving: row.leaving, Deadline: row.deadline, Slot: slot})
	}
	for _, h := range t.routes.All() {
		if !listed[h.ID] {
			t.index(h.Service).Remove(h.ID)
		}
	}
	t.routes.Update(out)
}

// index returns the prefix index of a service.
func (t *endpointTable) index(service string) *prefix.Index {
	t.mu.Lock()
	defer t.mu.Unlock()
	x, ok := t.indexes[service]
	if !ok {
		x = prefix.NewIndex(0)
		t.indexes[service] = x
	}
	return x
}

// report takes a load report.
func (t *endpointTable) report(h port.Host, r port.LoadReport) {
	t.routes.Report(h.ID, r)
	_, _ = t.index(h.Service).Identify(h.ID, r.Incarnation, r.Models) // an endpoint without a slot has nothing to drop
}

// events takes cache events.
func (t *endpointTable) events(h port.Host, events []port.CacheEvent, now time.Time) {
	_ = t.index(h.Service).Apply(h.ID, events, now) // an endpoint without a slot has nothing to note
}

func (t *endpointTable) all() []port.Host { return t.routes.All() }

// acquire chooses an endpoint for a request and books it there until release.
// sent is how many tokens of the answer the caller has; they are prefilled
// with the prompt. doc is the service's document, or nil.
func (t *endpointTable) acquire(req *request.Request, doc *config.Document, sent int, excluded map[string]bool) (port.Host, bool) {
	now := time.Now()
	index := t.index(req.Service)
	var held prefix.Held
	q := query(req, doc, sent)
	if len(req.Blocks) > 0 {
		index.Lookup(req.Blocks, &held)
		q.Held = &held
	}
	q.Excluded = excluded
	choice, err := t.routes.Choose(&q, now)
	if err != nil {
		return port.Host{}, false
	}
	_ = index.Expect(choice.Host.ID, req.Blocks) // an endpoint without a slot has nothing to note
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bookings[bookingKey{req.ID, choice.Host.ID}] = booked{booking: choice.Booking, blocks: choice.CachedBlocks}
	return choice.Host, true
}

const (
	// eventBytesPerToken is what one token of an answer puts on the wire.
	eventBytesPerToken = 160
	// defaultAnswerTokens is assumed for requests that set no limit.
	defaultAnswerTokens = 128
)

func query(req *request.Request, doc *config.Document, sent int) route.Query {
	answer := req.MaxTokens
	if answer <= 0 {
		answer = defaultAnswerTokens
	}
	if req.Kind != request.KindGenerate {
		answer = 0
	}
	answer = max(answer-sent, 0)
	q := route.Query{
		Service:      req.Service,
		Prefix:       route.PrefixOf(req.Blocks),
		PromptTokens: req.PromptTokens + sent,
		AnswerTokens: answer,
		Bytes:        len(req.Body) + answer*eventBytesPerToken,
	}
	if doc != nil {
		q.Target = doc.Latency.FirstToken.Std()
		q.LinkBytesPerHour = doc.Spend.LinkBytesPerHour
	}
	return q
}

// started notes the first token of a request at an endpoint.
func (t *endpointTable) started(req *request.Request, endpoint string) {
	key := bookingKey{req.ID, endpoint}
	t.mu.Lock()
	b, ok := t.bookings[key]
	first := ok && !b.started
	b.started = true
	if first {
		t.bookings[key] = b
	}
	t.mu.Unlock()
	if first {
		t.routes.Started(b.booking, time.Now())
	}
}

// release ends a booking; usage is that of the answer, nil without one.
func (t *endpointTable) release(req *request.Request, endpoint string, usage *port.Usage) {
	key := bookingKey{req.ID, endpoint}
	t.mu.Lock()
	b, ok := t.bookings[key]
	delete(t.bookings, key)
	t.mu.Unlock()
	if !ok {
		return
	}
	t.routes.Release(b.booking)
	index := t.index(req.Service)
	switch {
	case usage != nil:
		_ = index.Answered(endpoint, b.blocks, usage.CachedTokens) // an endpoint that is gone needs no correction
	case !b.started:
		_ = index.Retract(endpoint, req.Blocks[min(b.blocks, len(req.Blocks)):]) // likewise
	}
}
