package node

import (
	"hash/maphash"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadanotch/cicadanotch/config"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/request"
	"github.com/cicadanotch/cicadanotch/route"
)

// endpointRow is an endpoint as listed by the platform.
type endpointRow struct {
	host    port.Host
	leaving bool
	// deadline is when the host is known to go away; zero if no stop is known.
	deadline time.Time
}

// endpointTable chooses endpoints and holds the bookings of the requests in flight. Its
// lock guards only the bookings and is not held while the chooser is called.
type endpointTable struct {
	chooser *route.Chooser
	// routes is the chooser's table.
	routes  *route.Table
	metrics *choiceMetrics

	mu       sync.Mutex
	bookings map[bookingKey]booking
}

// bookingKey identifies the booking of a request at an endpoint.
type bookingKey struct {
	request  request.ID
	endpoint string
}

// booking is a request that is counted at its chosen endpoint.
type booking struct {
	choice route.Choice
	// started is set after the first token.
	started bool
}

func newEndpointTable(s Settings, r prometheus.Registerer) *endpointTable {
	opts := route.DefaultOptions()
	opts.Seed = maphash.String(maphash.MakeSeed(), s.Host)
	chooser := route.NewChooser(route.Location{Region: s.Region, Zone: s.Zone}, opts)
	return &endpointTable{
		chooser:  chooser,
		routes:   chooser.Table(),
		metrics:  newChoiceMetrics(r),
		bookings: map[bookingKey]booking{},
	}
}

func (t *endpointTable) update(rows []endpointRow) {
	out := make([]route.Row, 0, len(rows))
	for _, row := range rows {
		out = append(out, route.Row{Host: row.host, Leaving: row.leaving, Deadline: row.deadline})
	}
	t.chooser.Update(out)
}

func (t *endpointTable) all() []port.Host { return t.routes.All() }

// acquire chooses an endpoint for a request and counts the request there until
// release. sent is the number of answer tokens that the caller already has; they are
// prefilled together with the prompt. doc is the service's document and may be nil.
func (t *endpointTable) acquire(req *request.Request, doc *config.Document, sent int, excluded map[string]bool) (port.Host, bool) {
	q := query(req, doc, sent)
	q.Excluded = excluded
	choice, err := t.chooser.Choose(q, req.Blocks, time.Now())
	if err != nil {
		return port.Host{}, false
	}
	if choice.Spilled {
		t.metrics.crossRegion.WithLabelValues(req.Service).Inc()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bookings[bookingKey{req.ID, choice.Host.ID}] = booking{choice: choice}
	return choice.Host, true
}

// defaultAnswerTokens is the assumed answer length of requests without a limit.
const defaultAnswerTokens = 128

// query describes a request to the chooser.
func query(req *request.Request, doc *config.Document, sent int) route.Query {
	answer := 0
	if req.Kind == request.KindGenerate {
		answer = req.MaxTokens
		if answer <= 0 {
			answer = defaultAnswerTokens
		}
		answer = max(answer-sent, 0)
	}
	q := route.Query{
		Service:      req.Service,
		PromptTokens: req.PromptTokens + sent,
		AnswerTokens: answer,
		Bytes:        len(req.Body) + answer*route.EventBytesPerToken,
	}
	if doc != nil {
		q.Target = doc.Latency.FirstToken.Std()
		q.LinkBytesPerHour = doc.Spend.LinkBytesPerHour
	}
	return q
}

// recordFirstToken records the first token of a request at an endpoint; further calls
// for a booking have no effect.
func (t *endpointTable) recordFirstToken(req *request.Request, endpoint string) {
	key := bookingKey{req.ID, endpoint}
	t.mu.Lock()
	b, ok := t.bookings[key]
	first := ok && !b.started
	if first {
		b.started = true
		t.bookings[key] = b
	}
	t.mu.Unlock()
	if first {
		t.chooser.RecordFirstToken(&b.choice, time.Now())
	}
}

// release ends a booking. usage is the usage of the answer; nil if it has not ended.
func (t *endpointTable) release(req *request.Request, endpoint string, usage *port.Usage) {
	key := bookingKey{req.ID, endpoint}
	t.mu.Lock()
	b, ok := t.bookings[key]
	delete(t.bookings, key)
	t.mu.Unlock()
	if ok {
		t.metrics.count(req.Service, usage)
		t.chooser.Release(&b.choice, req.Blocks, route.Outcome{Usage: usage, Started: b.started})
	}
}
