package drain

import (
	"cmp"
	"slices"
	"time"
)

// Stream is a running answer on an endpoint that is being reclaimed.
type Stream struct {
	ID       string
	Priority int
	// Tokens is the number of tokens that a recompute prefills: those of the
	// prompt and of the answer so far.
	Tokens int
	// Remaining is the expected number of tokens still to be generated, Interval
	// the time between two of them.
	Remaining int
	Interval  time.Duration
	// NonIdempotent is set on non-idempotent requests. They are not moved: the drain
	// waits for their end.
	NonIdempotent bool
}

// timeLeft returns the time that the stream needs to end on its endpoint.
func (s Stream) timeLeft() time.Duration { return time.Duration(s.Remaining) * s.Interval }

// Target is an endpoint to which streams can be moved.
type Target struct {
	Host   string
	Region string
	// Free is the number of further streams that it can run concurrently.
	Free int
}

// Choice is the decision on one stream.
type Choice string

// Choices for a stream.
const (
	// ChoiceFinish means that the stream ends before the deadline on its endpoint.
	ChoiceFinish Choice = "finish"
	// ChoiceWait means that the request is non-idempotent and is never sent again.
	ChoiceWait Choice = "wait"
	// ChoiceLater means that the move is deferred to a later call of Next.
	ChoiceLater Choice = "later"
	// ChoiceTransfer means that the stream's KV cache is exported and imported at
	// Target.
	ChoiceTransfer Choice = "transfer"
	// ChoiceRecompute means that the stream continues at Target, which prefills
	// the prompt and the answer so far.
	ChoiceRecompute Choice = "recompute"
)

// Step is the choice for one stream.
type Step struct {
	Stream string `json:"stream"`
	Choice Choice `json:"choice"`
	Target string `json:"target,omitempty"`
	// Tokens is the number of tokens that are computed again.
	Tokens int `json:"recomputed_tokens,omitempty"`
	// Bytes is the expected size of the transfer.
	Bytes int64 `json:"bytes,omitempty"`
}

// Rates are the estimated speeds and sizes of moves.
type Rates struct {
	// PrefillTokensPerSecond is the prefill speed of an endpoint.
	PrefillTokensPerSecond float64
	// KVBytesPerToken is the size of a KV cache per token.
	KVBytesPerToken float64
	// TransferBytesPerSecond is the transfer speed between two endpoints of a
	// region.
	TransferBytesPerSecond float64
}

// DefaultRates returns the rates that are assumed before the first transfer.
func DefaultRates() Rates {
	return Rates{PrefillTokensPerSecond: 8000, KVBytesPerToken: 128 << 10, TransferBytesPerSecond: 1 << 30}
}

const (
	// deadlineMargin is the minimum time between the end of a move and the
	// deadline.
	deadlineMargin = 200 * time.Millisecond
	// maxMoveShare is the maximum share of a target's time that moved streams
	// take unless the deadline is near. The rest is left to new requests, whose
	// first token must not wait.
	maxMoveShare = 0.25
	// recomputeCostFactor weights the time of a recompute, which delays both the
	// stream and everything that the target prefills after it.
	recomputeCostFactor = 2
	// rateEWMAWeight is the weight of the newest transfer in the exponentially
	// weighted moving averages of the rates.
	rateEWMAWeight = 0.3
)

// Planner plans the moves of one process's streams off endpoints that are being
// reclaimed. It records the moves to each target, so that targets receive moved
// streams at a bounded rate.
type Planner struct {
	rates Rates
	// nextMoveAt is the time from which a target may receive its next stream.
	nextMoveAt map[string]time.Time
	// Share is the share of a target's move time that this process may use: 1/N
	// if N processes move streams at the same time.
	Share float64
}

// NewPlanner returns a planner with no moves recorded.
func NewPlanner(rates Rates) *Planner {
	return &Planner{rates: rates, nextMoveAt: map[string]time.Time{}, Share: 1}
}

// RecordTransfer updates the rates with the size and duration of one transfer.
func (p *Planner) RecordTransfer(tokens int, bytes int64, took time.Duration) {
	if tokens <= 0 || bytes <= 0 || took <= 0 {
		return
	}
	p.rates.KVBytesPerToken += rateEWMAWeight * (float64(bytes)/float64(tokens) - p.rates.KVBytesPerToken)
	p.rates.TransferBytesPerSecond += rateEWMAWeight * (float64(bytes)/took.Seconds() - p.rates.TransferBytesPerSecond)
}

// Rates returns the rates in use.
func (p *Planner) Rates() Rates { return p.rates }

// Next returns the choice for every stream of an endpoint in region that is
// reclaimed at deadline. The caller must execute the moves immediately and call
// Next again for deferred streams, and whenever hosts or streams have changed.
// Nothing is decided in advance, so nothing has to be undone if the notice is
// withdrawn or a target receives one.
func (p *Planner) Next(now, deadline time.Time, region string, streams []Stream, targets []Target) []Step {
	ordered := slices.Clone(streams)
	slices.SortStableFunc(ordered, func(a, b Stream) int {
		if c := cmp.Compare(b.Priority, a.Priority); c != 0 {
			return c
		}
		return cmp.Compare(b.timeLeft(), a.timeLeft())
	})
	freeSlots := map[string]int{}
	for _, t := range targets {
		freeSlots[t.Host] = t.Free
	}
	steps := make([]Step, 0, len(ordered))
	for i, s := range ordered {
		// The streams after this one must be moved before the deadline too.
		queued := len(ordered) - i
		steps = append(steps, p.choose(now, deadline, region, s, queued, targets, freeSlots))
	}
	return steps
}

func (p *Planner) choose(
	now, deadline time.Time, region string, s Stream, queued int, targets []Target, freeSlots map[string]int,
) Step {
	switch {
	case s.NonIdempotent:
		return Step{Stream: s.ID, Choice: ChoiceWait}
	case !now.Add(s.timeLeft() + deadlineMargin).After(deadline):
		return Step{Stream: s.ID, Choice: ChoiceFinish}
	}
	step, took, ok := p.cheapest(now, deadline, region, s, targets, freeSlots)
	if !ok {
		return Step{Stream: s.ID, Choice: ChoiceLater}
	}
	urgent := now.
		Add(time.Duration(queued)*took/time.Duration(max(len(targets), 1)) + took + deadlineMargin).
		After(deadline)
	if now.Before(p.nextMoveAt[step.Target]) && !urgent {
		return Step{Stream: s.ID, Choice: ChoiceLater}
	}
	freeSlots[step.Target]--
	p.reserve(now, step.Target, took)
	return step
}

// reserve delays the next move to a target so that moves take no more than their
// share of its time.
func (p *Planner) reserve(now time.Time, target string, took time.Duration) {
	from := now
	if at := p.nextMoveAt[target]; at.After(now) {
		from = at
	}
	p.nextMoveAt[target] = from.Add(time.Duration(float64(took) / (maxMoveShare * p.Share)))
}

// cheapest returns the cheapest move of a stream and the time that the move takes
// on its target. It reports false if no target has a free slot.
func (p *Planner) cheapest(
	now, deadline time.Time, region string, s Stream, targets []Target, freeSlots map[string]int,
) (Step, time.Duration, bool) {
	transfer, recompute := p.transferTime(s), p.recomputeTime(s)
	inTime := !now.Add(transfer + deadlineMargin).After(deadline)
	sameRegion := func(t Target) bool { return t.Region == region }
	anyRegion := func(Target) bool { return true }
	if inTime && transfer < recomputeCostFactor*recompute {
		if t, ok := p.earliestTarget(targets, freeSlots, sameRegion); ok {
			return Step{
				Stream: s.ID, Choice: ChoiceTransfer, Target: t,
				Bytes: int64(float64(s.Tokens) * p.rates.KVBytesPerToken),
			}, transfer, true
		}
	}
	t, ok := p.earliestTarget(targets, freeSlots, sameRegion)
	if !ok {
		t, ok = p.earliestTarget(targets, freeSlots, anyRegion)
	}
	return Step{Stream: s.ID, Choice: ChoiceRecompute, Target: t, Tokens: s.Tokens}, recompute, ok
}

// earliestTarget returns, of the targets that fit and have a free slot, the one
// that may receive a stream the earliest. Ties go to the one with the most free
// slots, then to the first by host.
func (p *Planner) earliestTarget(targets []Target, freeSlots map[string]int, fits func(Target) bool) (string, bool) {
	best, found := "", false
	for _, t := range targets {
		if !fits(t) || freeSlots[t.Host] <= 0 {
			continue
		}
		if !found || p.availableBefore(t.Host, best, freeSlots) {
			best, found = t.Host, true
		}
	}
	return best, found
}

func (p *Planner) availableBefore(a, b string, freeSlots map[string]int) bool {
	if c := p.nextMoveAt[a].Compare(p.nextMoveAt[b]); c != 0 {
		return c < 0
	}
	if freeSlots[a] != freeSlots[b] {
		return freeSlots[a] > freeSlots[b]
	}
	return a < b
}

func (p *Planner) transferTime(s Stream) time.Duration {
	return seconds(float64(s.Tokens) * p.rates.KVBytesPerToken / p.rates.TransferBytesPerSecond)
}

func (p *Planner) recomputeTime(s Stream) time.Duration {
	return seconds(float64(s.Tokens) / p.rates.PrefillTokensPerSecond)
}

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
