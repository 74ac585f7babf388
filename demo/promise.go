package demo

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"
)

// Promise is the result for one promise of the system, from what callers and stand-ins
// observed.
type Promise struct {
	Name string
	// Shown is set when a scenario of the run tried to break the promise.
	Shown bool
	Held  bool
	// Seen describes what was counted.
	Seen string
}

// Report is the result of a run. All figures are counted by the callers or by the
// stand-ins.
type Report struct {
	Profile    string
	Counts     Counts
	Promises   []Promise
	Prefilled  int
	Recomputed int
	// Doubled lists the non-idempotent requests that ran more than once, WrongNotRun
	// those that ran although their refusal said that they had not.
	Doubled     []string
	WrongNotRun []string
	HostCost    float64
	LinkBytes   int64
	Took        time.Duration
}

// checkNonIdempotent compares the executions in the stand-ins' ledger with the refusals
// that callers received.
func (r *Report) checkNonIdempotent(executions map[string]int) {
	for body, n := range executions {
		if n > 1 {
			r.Doubled = append(r.Doubled, body)
		}
		if r.Counts.NotRunOrders[body] {
			r.WrongNotRun = append(r.WrongNotRun, body)
		}
	}
	sort.Strings(r.Doubled)
	sort.Strings(r.WrongNotRun)
}

// Held returns how many promises held and how many there are. A promise that no
// scenario tried to break does not count as held.
func (r *Report) Held() (held, all int) {
	for _, p := range r.Promises {
		if p.Shown && p.Held {
			held++
		}
	}
	return held, len(r.Promises)
}

// Table prints the report; the last line says how many promises held.
func (r *Report) Table(w io.Writer) {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	c := r.Counts
	for _, row := range [][2]string{
		{"deployment", r.Profile},
		{"sent by callers", fmt.Sprint(c.Sent)},
		{"whole", fmt.Sprint(c.Whole)},
		{"refused, not run", fmt.Sprint(c.NotRun)},
		{"refused, unknown", fmt.Sprint(c.Unknown)},
		{"refusals by type", refusals(c)},
		{"lost", fmt.Sprint(c.Lost)},
		{"accepted, no answer", fmt.Sprint(c.Unanswered)},
		{"mixed", fmt.Sprint(c.Mixed)},
		{"orders doubled", fmt.Sprint(len(r.Doubled))},
		{"wrong \"not run\"", fmt.Sprint(len(r.WrongNotRun))},
		{"first token p50 / p95", fmt.Sprintf("%v / %v", c.FirstTokenP50.Round(time.Millisecond), c.FirstTokenP95.Round(time.Millisecond))},
		{"between tokens p50 / p95", fmt.Sprintf("%v / %v", c.BetweenTokensP50.Round(time.Millisecond/10), c.BetweenTokens95.Round(time.Millisecond/10))},
		{"tokens prefilled", fmt.Sprint(r.Prefilled)},
		{"tokens recomputed", fmt.Sprint(r.Recomputed)},
		{"cost of endpoint hosts", fmt.Sprintf("%.4f", r.HostCost)},
		{"link bytes", fmt.Sprint(r.LinkBytes)},
		{"took", r.Took.Round(time.Millisecond).String()},
	} {
		fmt.Fprintf(tw, "%s\t%s\n", row[0], row[1])
	}
	fmt.Fprintln(tw)
	for _, p := range r.Promises {
		fmt.Fprintf(tw, "%s\t%s\t%s\n", p.verdict(), p.Name, p.Seen)
	}
	_ = tw.Flush() // a failed write cannot be reported
	for _, o := range c.FirstLost {
		fmt.Fprintf(w, "no answer: %s of %s: %v\n", o.Kind, o.Workspace, o.reason())
	}
	held, all := r.Held()
	fmt.Fprintf(w, "promises held: %d of %d\n", held, all)
}

func (p Promise) verdict() string {
	switch {
	case !p.Shown:
		return "not shown"
	case p.Held:
		return "held"
	}
	return "BROKEN"
}

func refusals(c Counts) string {
	var parts []string
	for t, n := range c.Refusals {
		parts = append(parts, fmt.Sprintf("%s %d", t, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

// reason returns why a caller has no answer.
func (o Outcome) reason() error {
	if o.Refusal != nil {
		return o.Refusal
	}
	return o.Err
}
