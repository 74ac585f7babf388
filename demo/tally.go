package demo

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cicadanotch/cicadanotch/problem"
)

// Range of the latency histograms, in microseconds.
const (
	lowestLatency  = 1
	highestLatency = int64(10 * time.Minute / time.Microsecond)
	latencyDigits  = 3
)

// Kind is a kind of request in the load.
type Kind string

// Kinds of requests.
const (
	KindQuestion Kind = "question"
	KindReview   Kind = "review"
	KindOrder    Kind = "order"
	KindRead     Kind = "read"
	KindKiller   Kind = "killer"
)

// Outcome is what a caller saw of one request.
type Outcome struct {
	Kind      Kind
	Workspace string
	// Body names an order in the ledger.
	Body string
	// Whole is set when the answer came to its finish mark, Mixed when it
	// holds anything but the request's own answer.
	Whole bool
	Mixed bool
	// Refusal is set when the caller got a problem instead of an answer.
	Refusal *problem.Problem
	// Err is why the caller gave up without answer or problem.
	Err error
	// Cuts names the addresses whose connections ended before the answer.
	Cuts       []string
	FirstToken time.Duration
	Gaps       []time.Duration
}

// Tally adds up outcomes on the callers' side. Safe for concurrent use.
type Tally struct {
	mu       sync.Mutex
	sent     int
	whole    int
	mixed    int
	lost     []Outcome
	refused  map[problem.Run]int
	refusals map[problem.Type]int
	// unanswered are accepted requests that ended with a problem.
	unanswered []Outcome
	notRun     map[string]bool
	orders     map[string]int
	cuts       map[string]int
	firstToken *hdrhistogram.Histogram
	gaps       *hdrhistogram.Histogram
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{
		refused:    map[problem.Run]int{},
		refusals:   map[problem.Type]int{},
		notRun:     map[string]bool{},
		orders:     map[string]int{},
		cuts:       map[string]int{},
		firstToken: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
		gaps:       hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
	}
}

// Sent counts a request that a caller is about to send.
func (t *Tally) Sent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
}

// Add books an outcome.
func (t *Tally) Add(o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, address := range o.Cuts {
		t.cuts[address]++
	}
	switch {
	case o.Refusal != nil:
		t.refuse(o)
	case o.Whole:
		t.whole++
	case o.Kind != KindKiller:
		t.lost = append(t.lost, o)
	}
	if o.Mixed {
		t.mixed++
	}
	if o.Whole && o.Kind == KindOrder {
		t.orders[o.Body]++
	}
	t.latency(o)
}

func (t *Tally) refuse(o Outcome) {
	t.refused[o.Refusal.Run]++
	t.refusals[o.Refusal.Type]++
	if o.Kind != KindKiller && o.Refusal.Run != problem.RunNot {
		t.unanswered = append(t.unanswered, o)
	}
	if o.Kind == KindOrder && o.Refusal.Run == problem.RunNot {
		t.notRun[o.Body] = true
	}
}

func (t *Tally) latency(o Outcome) {
	if o.FirstToken > 0 && o.Kind != KindKiller {
		_ = t.firstToken.RecordValue(o.FirstToken.Microseconds()) // in range
	}
	for _, gap := range o.Gaps {
		_ = t.gaps.RecordValue(max(gap.Microseconds(), lowestLatency)) // in range
	}
}

// Counts is a snapshot of a tally.
type Counts struct {
	Sent, Whole, Lost, Mixed int
	// Unanswered counts accepted requests, but for those that kill their
	// engine, that ended with a problem that does not say "not run".
	Unanswered                        int
	NotRun, Unknown                   int
	Refusals                          map[problem.Type]int
	FirstTokenP50, FirstTokenP95      time.Duration
	BetweenTokensP50, BetweenTokens95 time.Duration
	FirstLost                         []Outcome
	// NotRunOrders are the bodies of orders that callers were told did not
	// run.
	NotRunOrders map[string]bool
	Cuts         map[string]int
}

// maxShown bounds the lost requests that a report shows.
const maxShown = 5

// Counts returns a snapshot.
func (t *Tally) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := Counts{
		Sent: t.sent, Whole: t.whole, Lost: len(t.lost), Mixed: t.mixed,
		NotRun: t.refused[problem.RunNot], Unknown: t.refused[problem.RunUnknown],
		Unanswered:       len(t.unanswered),
		Refusals:         map[problem.Type]int{},
		FirstTokenP50:    quantile(t.firstToken, 50),
		FirstTokenP95:    quantile(t.firstToken, 95),
		BetweenTokensP50: quantile(t.gaps, 50),
		BetweenTokens95:  quantile(t.gaps, 95),
		FirstLost:        firstOf(t.lost, t.unanswered),
		NotRunOrders:     map[string]bool{},
		Cuts:             map[string]int{},
	}
	for k, n := range t.refusals {
		c.Refusals[k] = n
	}
	for k := range t.notRun {
		c.NotRunOrders[k] = true
	}
	for k, n := range t.cuts {
		c.Cuts[k] = n
	}
	return c
}

func quantile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
}

// firstOf returns the first outcomes of a few lists.
func firstOf(lists ...[]Outcome) []Outcome {
	all := slices.Concat(lists...)
	return all[:min(len(all), maxShown)]
}
