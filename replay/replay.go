// Package replay runs recorded traces through the decision code in passed time
// and compares what comes out with the outcomes that the trace states.
//
// The decision code is that of the daemon (packages route and prefix). The back
// end is a small model of one engine; there is no network and no process.
// The same trace, policy and seed give the same digest.
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

// Result is what one replay came to.
type Result struct {
	Trace  string
	Policy string
	Seed   uint64
	// Digest is a hash of all decisions and ends with their times.
	Digest string
	// Requests, Refused and Unfinished count requests: all, those without a
	// token at their timeout, and those cut off after some.
	Requests   int
	Refused    int
	Unfinished int
	// Prefilled and Recomputed count prompt tokens: computed, and computed
	// although some engine had done so before.
	Prefilled  int
	Recomputed int
	// Cost is that of the busy time of engines and of the bytes across.
	Cost float64
	// OnTarget counts whole answers with the first token within the target.
	OnTarget  int
	LinkBytes int64
	Deaths    int

	first map[string][]float64
	gaps  map[string][]float64
}

// Run replays a trace under a policy; ErrUnknownPolicy.
func Run(t *Trace, policyName string, seed uint64) (*Result, error) {
	p := newPolicy(policyName)
	if p == nil {
		return nil, errors.Wrapf(ErrUnknownPolicy, "%q", policyName)
	}
	w := newWorld(t, p, seed)
	for i := range t.Events {
		e := &t.Events[i]
		w.clock.at(e.at(), func() { w.play(e) })
	}
	end := settle + milliseconds(t.Header.TimeoutMS)
	if n := len(t.Events); n > 0 {
		end += t.Events[n-1].at()
	}
	w.clock.run(end)
	return w.result(policyName, seed), nil
}

const bytesPerGB = 1e9

func (w *world) result(policyName string, seed uint64) *Result {
	r := &Result{
		Trace: w.trace.Header.Name, Policy: policyName, Seed: seed,
		Digest:    strconv.FormatUint(w.digest.Sum64(), 16),
		Requests:  len(w.calls),
		Prefilled: w.ledger.prefilled, Recomputed: w.ledger.recomputed,
		Cost:      w.busyCost() + float64(w.linkBytes)/bytesPerGB*w.trace.Header.LinkPricePerGB,
		LinkBytes: w.linkBytes, Deaths: w.deaths,
		first: map[string][]float64{}, gaps: map[string][]float64{},
	}
	for _, c := range w.calls {
		r.count(c, w.trace.Header.FirstTokenMS)
	}
	return r
}

// allWorkspaces is the key of the samples of all workspaces together.
const allWorkspaces = ""

func (r *Result) count(c *call, target float64) {
	if c.event.Kills {
		return // has no answer to wait for
	}
	first := inMilliseconds(c.first)
	switch {
	case c.received == 0:
		r.Refused++
		first = math.Inf(1)
	case !c.whole:
		r.Unfinished++
	case first <= target:
		r.OnTarget++
	}
	for _, key := range []string{allWorkspaces, c.event.Workspace} {
		r.first[key] = append(r.first[key], first)
		for _, g := range c.gaps {
			r.gaps[key] = append(r.gaps[key], inMilliseconds(g))
		}
	}
}

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// percentile95 returns the least value that 95 in 100 do not exceed.
func percentile95(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[int(math.Ceil(0.95*float64(len(sorted))))-1]
}

// costUnit is the number of answers on target that a cost is for.
const costUnit = 1000

// CostAtTarget returns the cost of 1,000 answers within the first token's
// target.
func (r *Result) CostAtTarget() float64 {
	if r.OnTarget == 0 {
		return math.Inf(1)
	}
	return r.Cost / float64(r.OnTarget) * costUnit
}

// FirstTokenP95 returns the time to the first token for 95 in 100 requests of
// a workspace, or of all for "", in milliseconds.
func (r *Result) FirstTokenP95(workspace string) float64 { return percentile95(r.first[workspace]) }

// BetweenTokensP95 returns the time between tokens for 95 in 100 tokens of a
// workspace, or of all for "", in milliseconds.
func (r *Result) BetweenTokensP95(workspace string) float64 { return percentile95(r.gaps[workspace]) }
