package replay

import (
	"fmt"
	"math"
)

// measures are what outcomes can be stated about.
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
	// Value is the measure, divided by the other policy's if the outcome
	// names one.
	Value float64
	Met   bool
}

// String describes the verdict.
func (v Verdict) String() string {
	word, bound, limit := "met", "at most", v.Outcome.AtMost
	if !v.Met {
		word = "MISSED"
	}
	if limit == nil {
		bound, limit = "below", v.Outcome.Below
	}
	text := v.Outcome.Measure
	if v.Outcome.Workspace != "" {
		text += " of " + v.Outcome.Workspace
	}
	if v.Outcome.Of != "" {
		text += " as a part of " + v.Outcome.Of
	}
	return fmt.Sprintf("%s: %s is %.4g, stated %s %.4g", word, text, v.Value, bound, *limit)
}

// Key names an outcome: measure, workspace and the policy compared with, as
// "measure/workspace/policy" without empty parts.
func (o Outcome) Key() string {
	key := o.Measure
	for _, part := range []string{o.Workspace, o.Of} {
		if part != "" {
			key += "/" + part
		}
	}
	return key
}

// judge compares a result with an outcome; others holds the results of the
// policies that outcomes name.
func judge(o Outcome, r *Result, others map[string]*Result) Verdict {
	measure := measures[o.Measure]
	value := measure(r, o.Workspace)
	if o.Of != "" {
		value = ratio(value, measure(others[o.Of], o.Workspace))
	}
	v := Verdict{Outcome: o, Value: value}
	if o.AtMost != nil {
		v.Met = value <= *o.AtMost
	} else {
		v.Met = value < *o.Below
	}
	return v
}

// ratio of nothing to nothing is one: neither is better.
func ratio(a, b float64) float64 {
	if a == b {
		return 1
	}
	if b == 0 {
		return math.Inf(1)
	}
	return a / b
}

// Judged is a trace's results by policy and the verdicts on one of them.
type Judged struct {
	Results  map[string]*Result
	Verdicts []Verdict
}

// Judge replays a trace under the policies and those that its outcomes name,
// and judges the outcomes for the first policy; ErrUnknownPolicy.
func Judge(t *Trace, policies []string, seed uint64) (*Judged, error) {
	j := &Judged{Results: map[string]*Result{}}
	names := append([]string(nil), policies...)
	for _, o := range t.Outcomes {
		if o.Of != "" {
			names = append(names, o.Of)
		}
	}
	for _, name := range names {
		if j.Results[name] != nil {
			continue
		}
		r, err := Run(t, name, seed)
		if err != nil {
			return nil, err
		}
		j.Results[name] = r
	}
	for _, o := range t.Outcomes {
		j.Verdicts = append(j.Verdicts, judge(o, j.Results[policies[0]], j.Results))
	}
	return j, nil
}
