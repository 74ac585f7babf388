package replay

import (
	"fmt"
	"math"
)

// measures maps the measures that outcomes can name to their functions.
var measures = map[string]func(r *Result, workspace string) float64{
	"cost_at_target":        func(r *Result, _ string) float64 { return r.CostAtTarget() },
	"recomputed_tokens":     func(r *Result, _ string) float64 { return float64(r.Recomputed) },
	"first_token_p95_ms":    (*Result).FirstTokenP95,
	"between_tokens_p95_ms": (*Result).BetweenTokensP95,
	"refused":               func(r *Result, _ string) float64 { return float64(r.Refused) },
	"unfinished":            func(r *Result, _ string) float64 { return float64(r.Unfinished) },
	"deaths":                func(r *Result, _ string) float64 { return float64(r.Deaths) },
	"link_bytes":            func(r *Result, _ string) float64 { return float64(r.LinkBytes) },
}

// Verdict says whether a stated outcome was met.
type Verdict struct {
	Outcome Outcome
	// Value is the measure, divided by that of the other policy if the outcome names one.
	Value float64
	Met   bool
}

// String describes the verdict in one line.
func (v Verdict) String() string {
	result, bound, limit := "met", "at most", v.Outcome.AtMost
	if !v.Met {
		result = "MISSED"
	}
	if limit == nil {
		bound, limit = "below", v.Outcome.Below
	}
	text := v.Outcome.Measure
	if v.Outcome.Workspace != "" {
		text += " of " + v.Outcome.Workspace
	}
	if v.Outcome.RelativeTo != "" {
		text += " as a part of " + v.Outcome.RelativeTo
	}
	return fmt.Sprintf("%s: %s is %.4g, stated %s %.4g", result, text, v.Value, bound, *limit)
}

// Key identifies an outcome by measure, workspace and the policy compared with, as
// "measure/workspace/policy" without empty parts.
func (o Outcome) Key() string {
	key := o.Measure
	for _, part := range []string{o.Workspace, o.RelativeTo} {
		if part != "" {
			key += "/" + part
		}
	}
	return key
}

// checkOutcome compares a result with an outcome; others holds the results of the policies that
// outcomes name.
func checkOutcome(o Outcome, r *Result, others map[string]*Result) Verdict {
	measure := measures[o.Measure]
	value := measure(r, o.Workspace)
	if o.RelativeTo != "" {
		value = ratio(value, measure(others[o.RelativeTo], o.Workspace))
	}
	v := Verdict{Outcome: o, Value: value}
	if o.AtMost != nil {
		v.Met = value <= *o.AtMost
	} else {
		v.Met = value < *o.Below
	}
	return v
}

// ratio returns a/b. Equal values have the ratio 1, also 0/0: neither policy is better.
func ratio(a, b float64) float64 {
	if a == b {
		return 1
	}
	if b == 0 {
		return math.Inf(1)
	}
	return a / b
}

// Evaluation holds the results of a trace by policy and the verdicts on one of them.
type Evaluation struct {
	Results  map[string]*Result
	Verdicts []Verdict
}

// Evaluate replays a trace under the given policies and those that its outcomes name, and checks
// the outcomes against the first policy. It returns ErrUnknownPolicy for an unknown name.
func Evaluate(t *Trace, policies []string, seed uint64) (*Evaluation, error) {
	evaluation := &Evaluation{Results: map[string]*Result{}}
	names := append([]string(nil), policies...)
	for _, o := range t.Outcomes {
		if o.RelativeTo != "" {
			names = append(names, o.RelativeTo)
		}
	}
	for _, name := range names {
		if evaluation.Results[name] != nil {
			continue
		}
		r, err := Run(t, name, seed)
		if err != nil {
			return nil, err
		}
		evaluation.Results[name] = r
	}
	for _, o := range t.Outcomes {
		evaluation.Verdicts = append(evaluation.Verdicts, checkOutcome(o, evaluation.Results[policies[0]], evaluation.Results))
	}
	return evaluation, nil
}
