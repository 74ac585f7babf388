// Package replay runs recorded traces through the routing code in simulated time and compares the
// results with the outcomes that each trace states.
//
// The routing code is that of the daemon (packages route and prefix). The back end is a small model
// of one engine; there is no network and no process. The same trace, policy and seed give the same
// digest.
package replay

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// ErrUnknownPolicy is returned for a policy that is not in Policies.
var ErrUnknownPolicy = errors.New("unknown policy")

// Result is the result of one replay.
type Result struct {
	Trace  string
	Policy string
	Seed   uint64
	// Digest is a hash of all dispatches and request ends, with their times.
	Digest string
	// Requests counts all requests. Refused counts those that ended without a token: at their
	// timeout, after maxAttempts or by quarantine; Unfinished counts those that received at
	// least one token but did not complete. Both, and WithinTarget, leave out the requests that
	// crash their engine.
	Requests   int
	Refused    int
	Unfinished int
	// Prefilled counts the prompt tokens computed; Recomputed those that some engine had computed
	// before.
	Prefilled  int
	Recomputed int
	// Cost is the price of the engines' busy time and of the bytes sent between regions.
	Cost float64
	// WithinTarget counts complete answers whose first token came within the target.
	WithinTarget int
	// LinkBytes counts the bytes sent between regions.
	LinkBytes int64
	// Deaths counts the engines crashed by requests; deaths that are events of the trace do not
	// count.
	Deaths int

	firstTokenMS    map[string][]float64
	betweenTokensMS map[string][]float64
}

// Run replays a trace under a policy. It returns ErrUnknownPolicy for a name that is not in
// Policies.
func Run(t *Trace, policyName string, seed uint64) (*Result, error) {
	p := newPolicy(policyName)
	if p == nil {
		return nil, errors.Wrapf(ErrUnknownPolicy, "%q", policyName)
	}
	s := newSimulation(t, p, seed)
	for i := range t.Events {
		e := &t.Events[i]
		s.clock.at(e.at(), func() { s.apply(e) })
	}
	end := settleTime + fromMilliseconds(t.Header.TimeoutMS)
	if n := len(t.Events); n > 0 {
		end += t.Events[n-1].at()
	}
	s.clock.run(end)
	return s.result(policyName, seed), nil
}

const bytesPerGB = 1e9

func (s *simulation) result(policyName string, seed uint64) *Result {
	r := &Result{
		Trace: s.trace.Header.Name, Policy: policyName, Seed: seed,
		Digest:    strconv.FormatUint(s.digest.Sum64(), 16),
		Requests:  len(s.calls),
		Prefilled: s.ledger.prefilled, Recomputed: s.ledger.recomputed,
		Cost:      s.busyCost() + float64(s.linkBytes)/bytesPerGB*s.trace.Header.LinkPricePerGB,
		LinkBytes: s.linkBytes, Deaths: s.deaths,
		firstTokenMS: map[string][]float64{}, betweenTokensMS: map[string][]float64{},
	}
	for _, c := range s.calls {
		r.addCall(c, s.trace.Header.FirstTokenMS)
	}
	return r
}

// allWorkspaces is the key of the samples taken over all workspaces. The samples of a request
// with an empty workspace would be added to it twice.
const allWorkspaces = ""

func (r *Result) addCall(c *call, targetMS float64) {
	if c.event.CrashesEngine {
		return // no answer is expected
	}
	firstMS := toMilliseconds(c.timeToFirstToken)
	switch {
	case c.receivedTokens == 0:
		r.Refused++
		firstMS = math.Inf(1)
	case !c.completed:
		r.Unfinished++
	case firstMS <= targetMS:
		r.WithinTarget++
	}
	for _, key := range []string{allWorkspaces, c.event.Workspace} {
		r.firstTokenMS[key] = append(r.firstTokenMS[key], firstMS)
		for _, d := range c.betweenTokens {
			r.betweenTokensMS[key] = append(r.betweenTokensMS[key], toMilliseconds(d))
		}
	}
}

func toMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// percentile95 returns the smallest value that at least 95% of the values do not exceed.
func percentile95(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[int(math.Ceil(0.95*float64(len(sorted))))-1]
}

// costAnswers is the number of answers for which CostAtTarget returns the cost.
const costAnswers = 1000

// CostAtTarget returns the cost of 1,000 answers whose first token came within the target.
func (r *Result) CostAtTarget() float64 {
	if r.WithinTarget == 0 {
		return math.Inf(1)
	}
	return r.Cost / float64(r.WithinTarget) * costAnswers
}

// FirstTokenP95 returns the 95th percentile of the time to the first token in milliseconds, for one
// workspace or, with "", for all.
func (r *Result) FirstTokenP95(workspace string) float64 {
	return percentile95(r.firstTokenMS[workspace])
}

// BetweenTokensP95 returns the 95th percentile of the time between tokens in milliseconds, for one
// workspace or, with "", for all.
func (r *Result) BetweenTokensP95(workspace string) float64 {
	return percentile95(r.betweenTokensMS[workspace])
}
