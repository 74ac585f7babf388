package demo

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/problem"
)

var allPromises = []string{
	promiseReclaim, promiseCompleteAnswer, promiseNotRun, promiseAtMostOnce, promiseLeaving, promisePlanned, promiseConfig, promiseQuarantine,
}

// reportOf returns the report of a run with these outcomes and executions, in which every
// promise but unshown was tried.
func reportOf(outcomes []Outcome, executions map[string]int, unshown string) *Report {
	tally := NewTally()
	for _, o := range outcomes {
		tally.RecordSend()
		tally.Add(o)
	}
	r := &runner{tally: tally, trials: map[string]int{}, breaches: map[string][]string{}}
	for _, name := range allPromises {
		if name != unshown {
			r.recordTrial(name, "")
		}
	}
	report := &Report{Counts: tally.Counts()}
	report.checkNonIdempotent(executions)
	r.evaluatePromises(report)
	return report
}

// TestEvaluatePromises checks which promise each outcome breaks, and that a promise without a trial
// does not count as held.
func TestEvaluatePromises(t *testing.T) {
	var guard problem.Guard
	notRun := problem.Refuse(&guard, 503, problem.TypeOverloaded, "")
	unknown := problem.Unknown(504, problem.TypeTimeout, "")
	for name, tc := range map[string]struct {
		outcome    Outcome
		executions map[string]int
		unshown    string
		broken     string
	}{
		"whole":                   {outcome: Outcome{Kind: KindNonIdempotent, Body: "a", Whole: true}, executions: map[string]int{"a": 1}},
		"refused, not run":        {outcome: Outcome{Kind: KindQuestion, Refusal: notRun}},
		"crash without an answer": {outcome: Outcome{Kind: KindCrashing, Refusal: unknown}},
		"lost":                    {outcome: Outcome{Kind: KindReview, Err: errors.New("cut")}, broken: promiseReclaim},
		"mixed":                   {outcome: Outcome{Kind: KindReview, Whole: true, Mixed: true}, broken: promiseCompleteAnswer},
		"accepted, then timeout":  {outcome: Outcome{Kind: KindReview, Refusal: unknown}, broken: promiseCompleteAnswer},
		"wrong not run":           {outcome: Outcome{Kind: KindNonIdempotent, Body: "a", Refusal: notRun}, executions: map[string]int{"a": 1}, broken: promiseNotRun},
		"doubled":                 {outcome: Outcome{Kind: KindNonIdempotent, Body: "a", Whole: true}, executions: map[string]int{"a": 2}, broken: promiseAtMostOnce},
		"scenario missing":        {outcome: Outcome{Kind: KindRead, Whole: true}, unshown: promisePlanned, broken: promisePlanned},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			report := reportOf([]Outcome{tc.outcome}, tc.executions, tc.unshown)
			for _, p := range report.Promises {
				is.Equal(p.Shown && p.Held, p.Name != tc.broken) // promise held
			}
			held, all := report.Held()
			is.Equal(all, len(allPromises))
			is.Equal(held == all, tc.broken == "")
		})
	}
}

func TestTallyLatency(t *testing.T) {
	is := is.New(t)
	tally := NewTally()
	for i := range 100 {
		tally.Add(Outcome{Kind: KindQuestion, Whole: true, FirstToken: time.Duration(i+1) * time.Millisecond})
	}
	c := tally.Counts()
	is.Equal(c.FirstTokenP50.Round(time.Millisecond), 50*time.Millisecond)
	is.Equal(c.FirstTokenP95.Round(time.Millisecond), 95*time.Millisecond)
}
