// Package attempt plans the attempts of one request: which failures are retried, on
// which endpoint, after which delay, and when to stop. It also checks that the chunks
// of the current attempt arrive in order.
//
// The package does no I/O and reads no clock: time is passed in.
package attempt

import (
	"time"
)

// Result is the outcome of one attempt.
type Result string

// Results of attempts.
const (
	// ResultComplete means that the answer is complete.
	ResultComplete Result = "whole"
	// ResultUnreachable means that no connection was established, so nothing was sent.
	ResultUnreachable Result = "unreachable"
	// ResultRefused means that the endpoint replied that it did not run the attempt.
	ResultRefused Result = "refused"
	// ResultBroken means that the connection or the stream ended before the answer
	// was complete.
	ResultBroken Result = "broken"
	// ResultStalled means that the connection stalled, but the endpoint responds on a
	// new one.
	ResultStalled Result = "silent"
	// ResultGap means that the stream skipped a chunk.
	ResultGap Result = "gap"
	// ResultLost means that the endpoint failed or is unresponsive.
	ResultLost Result = "lost"
	// ResultInvalid means that the endpoint rejected the request itself.
	ResultInvalid Result = "invalid"
	// ResultMoved means that the attempt was ended deliberately to continue on
	// another endpoint.
	ResultMoved Result = "moved"
)

// Action is the next step after an attempt.
type Action string

// Actions.
const (
	// ActionRetrySame retries on the same endpoint over a new connection, because the
	// endpoint has the prompt cached.
	ActionRetrySame Action = "same"
	// ActionRetryOther retries on another endpoint.
	ActionRetryOther Action = "elsewhere"
	// ActionStop ends the request: it is complete or is abandoned.
	ActionStop Action = "stop"
)

// Step is the decision after an attempt.
type Step struct {
	Action Action
	// Wait is the delay before the next attempt, without any delay imposed by the
	// retry budget.
	Wait time.Duration
	// Budgeted reports whether the next attempt counts against the retry budget.
	Budgeted bool
	// Reason is why a request is abandoned.
	Reason Stop
}

// Stop is the reason why a request is abandoned.
type Stop string

// Reasons for stopping. StopComplete means that the request is complete.
const (
	StopComplete      Stop = ""
	StopInvalid       Stop = "invalid"
	StopAttempts      Stop = "attempts"
	StopDeadline      Stop = "deadline"
	StopNotRepeatable Stop = "only-once"
	StopUnavailable   Stop = "unavailable"
)

const (
	// maxFailures is the maximum number of consecutive attempts that ran without
	// progress.
	maxFailures = 5
	// maxNotRun is the maximum number of consecutive attempts that did not run.
	maxNotRun = 100
	// minBackoff is the first delay; it doubles with each consecutive failure up to
	// maxBackoff.
	minBackoff = 25 * time.Millisecond
	maxBackoff = time.Second
)

// Plan holds the state that decides about the next attempt of one request. It is not
// safe for concurrent use.
type Plan struct {
	// Repeatable requests may run again after an attempt whose outcome is unknown.
	Repeatable bool
	Deadline   time.Time

	failures  int
	notRun    int
	nextIndex int
	// retriedEndpoint is the endpoint that was last retried with ActionRetrySame.
	retriedEndpoint string
	// excluded holds the endpoints that are currently not to be chosen.
	excluded map[string]bool
}

// NewPlan returns the plan of a request that has had no attempts.
func NewPlan(repeatable bool, deadline time.Time) *Plan {
	return &Plan{Repeatable: repeatable, Deadline: deadline, excluded: map[string]bool{}}
}

// Excluded returns the endpoints that are currently not to be chosen. The caller must
// not modify the map.
func (p *Plan) Excluded() map[string]bool { return p.excluded }

// FailedAttempts returns the number of consecutive attempts without progress.
func (p *Plan) FailedAttempts() int { return p.failures + p.notRun }

// AfterAttempt decides the next step after an attempt at an endpoint has ended. next is
// the index of the next missing chunk of the answer.
func (p *Plan) AfterAttempt(now time.Time, r Result, endpoint string, next int) Step {
	switch r {
	case ResultComplete:
		return Step{Action: ActionStop}
	case ResultInvalid:
		return Step{Action: ActionStop, Reason: StopInvalid}
	}
	if next > p.nextIndex {
		p.nextIndex, p.failures, p.notRun, p.retriedEndpoint = next, 0, 0, ""
	}
	ran := r != ResultUnreachable && r != ResultRefused
	if ran && !p.Repeatable {
		return Step{Action: ActionStop, Reason: StopNotRepeatable}
	}
	return p.retry(now, r, endpoint, ran)
}

func (p *Plan) retry(now time.Time, r Result, endpoint string, ran bool) Step {
	switch {
	case r == ResultMoved: // not a failure
	case ran:
		p.failures++
	default:
		p.notRun++
	}
	if p.failures >= maxFailures || p.notRun >= maxNotRun {
		return Step{Action: ActionStop, Reason: StopAttempts}
	}
	step := Step{Action: ActionRetryOther, Budgeted: r != ResultMoved}
	if retriesSameEndpoint(r) && p.retriedEndpoint != endpoint {
		p.retriedEndpoint = endpoint
		step.Action = ActionRetrySame
	} else {
		p.excluded[endpoint] = true
		step.Wait = p.backoff()
	}
	if !p.Deadline.IsZero() && !now.Add(step.Wait).Before(p.Deadline) {
		return Step{Action: ActionStop, Reason: StopDeadline}
	}
	return step
}

// retriesSameEndpoint reports whether a result suggests that the endpoint itself is
// healthy.
func retriesSameEndpoint(r Result) bool {
	return r == ResultBroken || r == ResultStalled || r == ResultGap
}

// NoEndpoint decides the next step when no endpoint can be chosen: the endpoints
// tried before become eligible again after a delay.
func (p *Plan) NoEndpoint(now time.Time) Step {
	p.notRun++
	clear(p.excluded)
	step := Step{Action: ActionRetryOther, Wait: p.backoff()}
	if !p.Deadline.IsZero() && !now.Add(step.Wait).Before(p.Deadline) {
		return Step{Action: ActionStop, Reason: StopUnavailable}
	}
	return step
}

// backoff returns 0 before the second consecutive failure; from then on it starts at
// minBackoff and doubles.
func (p *Plan) backoff() time.Duration {
	n := p.FailedAttempts() - 2
	if n < 0 {
		return 0
	}
	return min(minBackoff<<min(n, 10), maxBackoff)
}
