package drain

import (
	"cmp"
	"slices"
	"time"
)

// Stream is one running answer on an endpoint that is taken back.
type Stream struct {
	ID       string
	Priority int
	// Tokens is how many tokens a recompute prefills: those of the prompt and
	// of the answer so far.
	Tokens int
	// Remaining is the expected number of tokens to come, Interval the time
	// between two.
	Remaining int
	Interval  time.Duration
	// Once is set on calls that may run only once: they are waited for.
	Once bool
}

// left is the time that the stream needs where it is.
func (s Stream) left() time.Duration { return time.Duration(s.Remaining) * s.Interval }

// Target is an endpoint that can go on with streams.
type Target struct {
	Host   string
	Region string
	// Free is how many more streams it can run at once.
	Free int
}

// Choice is what becomes of a stream.
type Choice string

// Choices for a stream.
const (
	// ChoiceFinish: it ends in time where it is.
	ChoiceFinish Choice = "finish"
	// ChoiceWait: it may run only once and is never sent again.
	ChoiceWait Choice = "wait"
	// ChoiceLater: it is moved, but not yet.
	ChoiceLater Choice = "later"
	// ChoiceTransfer: its KV cache is exported and imported at Target.
	ChoiceTransfer Choice = "transfer"
	// ChoiceRecompute: it goes on at Target, which prefills it anew.
	ChoiceRecompute Choice = "recompute"
)

// Step is the choice for one stream.
type Step struct {
	Stream string `json:"stream"`
	Choice Choice `json:"choice"`
	Target string `json:"target,omitempty"`
	// Tokens is how many tokens are computed again.
	Tokens int `json:"recomputed_tokens,omitempty"`
	// Bytes is the size of the transfer.
	Bytes int64 `json:"bytes,omitempty"`
}

// Rates say how fast streams move.
type Rates struct {
	// PrefillTokens is how many tokens an endpoint prefills a second.
	PrefillTokens float64
	// KVBytes is the size of the KV cache of one token.
	KVBytes float64
	// TransferBytes is how many bytes a second go between two endpoints of a
	// region.
	TransferBytes float64
}

// DefaultRates are assumed until transfers have told better.
func DefaultRates() Rates {
	return Rates{PrefillTokens: 8000, KVBytes: 128 << 10, TransferBytes: 1 << 30}
}

const (
	// margin is kept between the end of a move and the deadline.
	margin = 200 * time.Millisecond
	// moveShare is the part of a target's time that moved streams may take
	// while there is time; the rest is for new requests, whose first token
	// must not wait.
	moveShare = 0.25
	// recomputeWeight multiplies the time of a recompute: it delays the
	// stream and holds up everything that the target prefills after it.
	recomputeWeight = 2
	// learnWeight is the weight of the newest transfer in the rates.
	learnWeight = 0.3
)

// Drain plans the moves of the streams of one process off the endpoints that
// are taken back. It remembers what each target was given, so that targets
// take moved streams at a bounded rate.
type Drain struct {
	rates Rates
	// freeAt is when a target may take the next stream.
	freeAt map[string]time.Time
	// Share is this process's part of a target's time, with N processes
	// moving streams at once: 1/N.
	Share float64
}

// NewDrain returns a plan without moves.
func NewDrain(rates Rates) *Drain {
	return &Drain{rates: rates, freeAt: map[string]time.Time{}, Share: 1}
}

// Learn takes the measure of one transfer into the rates.
func (d *Drain) Learn(tokens int, bytes int64, took time.Duration) {
	if tokens <= 0 || bytes <= 0 || took <= 0 {
		return
	}
	d.rates.KVBytes += learnWeight * (float64(bytes)/float64(tokens) - d.rates.KVBytes)
	d.rates.TransferBytes += learnWeight * (float64(bytes)/took.Seconds() - d.rates.TransferBytes)
}

// Rates returns the rates in use.
func (d *Drain) Rates() Rates { return d.rates }

// Next returns the choice for every stream of an endpoint in region that goes
// away at deadline. Moves are to be carried out at once; streams that are put
// off come up again with the next call. Call it again whenever hosts or
// streams have changed: nothing is decided ahead, so that a notice that is
// withdrawn or that hits a target needs no undoing.
func (d *Drain) Next(now, deadline time.Time, region string, streams []Stream, targets []Target) []Step {
	ordered := slices.Clone(streams)
	slices.SortStableFunc(ordered, func(a, b Stream) int {
		if c := cmp.Compare(b.Priority, a.Priority); c != 0 {
			return c
		}
		return cmp.Compare(b.left(), a.left())
	})
	free := map[string]int{}
	for _, t := range targets {
		free[t.Host] = t.Free
	}
	steps := make([]Step, 0, len(ordered))
	for i, s := range ordered {
		// The streams behind this one need their time too.
		behind := len(ordered) - i
		steps = append(steps, d.choose(now, deadline, region, s, behind, targets, free))
	}
	return steps
}

func (d *Drain) choose(now, deadline time.Time, region string, s Stream, behind int, targets []Target, free map[string]int) Step {
	switch {
	case s.Once:
		return Step{Stream: s.ID, Choice: ChoiceWait}
	case !now.Add(s.left() + margin).After(deadline):
		return Step{Stream: s.ID, Choice: ChoiceFinish}
	}
	step, took, ok := d.cheapest(now, deadline, region, s, targets, free)
	if !ok {
		return Step{Stream: s.ID, Choice: ChoiceLater}
	}
	pressed := now.Add(time.Duration(behind)*took/time.Duration(max(len(targets), 1)) + took + margin).After(deadline)
	if now.Before(d.freeAt[step.Target]) && !pressed {
		return Step{Stream: s.ID, Choice: ChoiceLater}
	}
	free[step.Target]--
	d.book(now, step.Target, took)
	return step
}

// book keeps a target from the next moved stream for so long that moves take
// no more than their share of its time.
func (d *Drain) book(now time.Time, target string, took time.Duration) {
	from := now
	if at := d.freeAt[target]; at.After(now) {
		from = at
	}
	d.freeAt[target] = from.Add(time.Duration(float64(took) / (moveShare * d.Share)))
}

// cheapest returns the best way and target of a stream, and the time that it
// takes of the target.
func (d *Drain) cheapest(now, deadline time.Time, region string, s Stream, targets []Target, free map[string]int) (Step, time.Duration, bool) {
	transfer, recompute := d.transferTime(s), d.recomputeTime(s)
	inTime := !now.Add(transfer + margin).After(deadline)
	near := func(t Target) bool { return t.Region == region }
	everywhere := func(Target) bool { return true }
	if inTime && transfer < recomputeWeight*recompute {
		if t, ok := d.least(targets, free, near); ok {
			return Step{Stream: s.ID, Choice: ChoiceTransfer, Target: t, Bytes: int64(float64(s.Tokens) * d.rates.KVBytes)}, transfer, true
		}
	}
	t, ok := d.least(targets, free, near)
	if !ok {
		t, ok = d.least(targets, free, everywhere)
	}
	return Step{Stream: s.ID, Choice: ChoiceRecompute, Target: t, Tokens: s.Tokens}, recompute, ok
}

// least returns the target that is free the earliest, of those the one with
// the most room.
func (d *Drain) least(targets []Target, free map[string]int, fits func(Target) bool) (string, bool) {
	best, found := "", false
	for _, t := range targets {
		if !fits(t) || free[t.Host] <= 0 {
			continue
		}
		if !found || d.before(t.Host, best, free) {
			best, found = t.Host, true
		}
	}
	return best, found
}

func (d *Drain) before(a, b string, free map[string]int) bool {
	if c := d.freeAt[a].Compare(d.freeAt[b]); c != 0 {
		return c < 0
	}
	if free[a] != free[b] {
		return free[a] > free[b]
	}
	return a < b
}

func (d *Drain) transferTime(s Stream) time.Duration {
	return seconds(float64(s.Tokens) * d.rates.KVBytes / d.rates.TransferBytes)
}

func (d *Drain) recomputeTime(s Stream) time.Duration {
	return seconds(float64(s.Tokens) / d.rates.PrefillTokens)
}

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
