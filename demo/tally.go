package demo

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cicadanotch/cicadanotch/problem"
)

// Range and precision of the latency histograms, in microseconds.
const (
	minLatencyMicros         = 1
	maxLatencyMicros         = int64(10 * time.Minute / time.Microsecond)
	latencySignificantDigits = 3
)

// Kind is a kind of request in the load.
type Kind string

// Kinds of requests.
const (
	KindQuestion      Kind = "question"
	KindReview        Kind = "review"
	KindNonIdempotent Kind = "order"
	KindRead          Kind = "read"
	KindCrashing      Kind = "killer"
)

// Outcome is the result of one request as seen by its caller.
type Outcome struct {
	Kind      Kind
	Workspace string
	// Body identifies a non-idempotent request in the ledger.
	Body string
	// Whole is set when the answer is complete, finish mark included, Mixed when it
	// contains anything but the request's own answer.
	Whole bool
	Mixed bool
	// Refusal is the problem that the caller got instead of an answer, if any.
	Refusal *problem.Problem
	// Err is the error of a request that ended without an answer or a problem.
	Err error
	// Cuts names the addresses whose connections ended before the answer.
	Cuts       []string
	FirstToken time.Duration
	Gaps       []time.Duration
}

// Tally counts outcomes on the callers' side. It is safe for concurrent use.
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
		firstToken: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits),
		gaps:       hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits),
	}
}

// RecordSend counts a request that a caller is about to send.
func (t *Tally) RecordSend() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
}

// Add records an outcome.
func (t *Tally) Add(o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, address := range o.Cuts {
		t.cuts[address]++
	}
	switch {
	case o.Refusal != nil:
		t.addRefusal(o)
	case o.Whole:
		t.whole++
	case o.Kind != KindCrashing:
		t.lost = append(t.lost, o)
	}
	if o.Mixed {
		t.mixed++
	}
	if o.Whole && o.Kind == KindNonIdempotent {
		t.orders[o.Body]++
	}
	t.addLatency(o)
}

func (t *Tally) addRefusal(o Outcome) {
	t.refused[o.Refusal.Run]++
	t.refusals[o.Refusal.Type]++
	if o.Kind != KindCrashing && o.Refusal.Run != problem.RunNot {
		t.unanswered = append(t.unanswered, o)
	}
	if o.Kind == KindNonIdempotent && o.Refusal.Run == problem.RunNot {
		t.notRun[o.Body] = true
	}
}

func (t *Tally) addLatency(o Outcome) {
	if o.FirstToken > 0 && o.Kind != KindCrashing {
		_ = t.firstToken.RecordValue(o.FirstToken.Microseconds()) // in range
	}
	for _, gap := range o.Gaps {
		_ = t.gaps.RecordValue(max(gap.Microseconds(), minLatencyMicros)) // in range
	}
}

// Counts is a snapshot of a tally.
type Counts struct {
	Sent, Whole, Lost, Mixed int
	// Unanswered counts accepted requests that ended with a problem other than "not
	// run", except requests that crash their engine.
	Unanswered                        int
	NotRun, Unknown                   int
	Refusals                          map[problem.Type]int
	FirstTokenP50, FirstTokenP95      time.Duration
	BetweenTokensP50, BetweenTokens95 time.Duration
	FirstLost                         []Outcome
	// NotRunOrders are the bodies of the non-idempotent requests whose refusal said
	// that they had not run.
	NotRunOrders map[string]bool
	Cuts         map[string]int
}

// maxListedFailures bounds the failed requests that a report lists.
const maxListedFailures = 5

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

// firstOf returns the first maxListedFailures outcomes of the lists.
func firstOf(lists ...[]Outcome) []Outcome {
	all := slices.Concat(lists...)
	return all[:min(len(all), maxListedFailures)]
}
