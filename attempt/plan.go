// Package attempt plans the attempts of one request: which failures may be
// tried again, where, after what delay, and when to give up; and it accepts
// the chunks of the current attempt in their order.
//
// Plans are pure values: time is passed in and nothing here does I/O.
package attempt

import (
	"time"
)

// Result is how one attempt ended.
type Result string

// Results of attempts.
const (
	ResultWhole Result = "whole"
	// ResultUnreachable: no connection, so no byte was sent.
	ResultUnreachable Result = "unreachable"
	// ResultRefused: the endpoint answered that it did not run the attempt.
	ResultRefused Result = "refused"
	// ResultBroken: the connection or the stream ended early.
	ResultBroken Result = "broken"
	// ResultSilent: the connection went silent while the endpoint answers
	// on a new one.
	ResultSilent Result = "silent"
	// ResultGap: the stream left a chunk out.
	ResultGap Result = "gap"
	// ResultLost: the endpoint died or does not answer.
	ResultLost Result = "lost"
	// ResultInvalid: the endpoint rejected the request itself.
	ResultInvalid Result = "invalid"
	// ResultMoved: the attempt was ended on purpose, to go on elsewhere.
	ResultMoved Result = "moved"
)

// Action is what to do after an attempt.
type Action string

// Actions.
const (
	// ActionSame tries the same endpoint again on a new connection: it holds
	// the prompt in its cache.
	ActionSame Action = "same"
	// ActionElsewhere tries another endpoint.
	ActionElsewhere Action = "elsewhere"
	// ActionStop gives the request up, or ends it when it is whole.
	ActionStop Action = "stop"
)

// Step is the decision after an attempt.
type Step struct {
	Action Action
	// Wait is the delay before the next attempt, the retry budget not
	// included.
	Wait time.Duration
	// Budgeted attempts take from the retry budget.
	Budgeted bool
	// Reason tells why a request is given up.
	Reason Stop
}

// Stop tells why a request is given up.
type Stop string

// Reasons to give up.
const (
	StopWhole       Stop = ""
	StopInvalid     Stop = "invalid"
	StopAttempts    Stop = "attempts"
	StopDeadline    Stop = "deadline"
	StopOnlyOnce    Stop = "only-once"
	StopUnavailable Stop = "unavailable"
)

const (
	// maxFailures bounds the attempts in a row that ran and made no progress.
	maxFailures = 5
	// maxUnsent bounds the attempts in a row that did not run.
	maxUnsent = 100
	// firstBackoff doubles with each failure in a row, up to maxBackoff.
	firstBackoff = 25 * time.Millisecond
	maxBackoff   = time.Second
)

// Plan holds what decides about the next attempt of one request. It is used
// by one goroutine.
type Plan struct {
	// Repeatable requests may run again after an attempt whose end is not
	// known.
	Repeatable bool
	Deadline   time.Time

	failures int
	unsent   int
	index    int
	// retried is the endpoint that was tried twice in a row.
	retried string
	// tried holds the endpoints not to go back to for now.
	tried map[string]bool
}

// NewPlan returns the plan of a request without attempts.
func NewPlan(repeatable bool, deadline time.Time) *Plan {
	return &Plan{Repeatable: repeatable, Deadline: deadline, tried: map[string]bool{}}
}

// Tried returns the endpoints not to choose for now; the caller does not
// change it.
func (p *Plan) Tried() map[string]bool { return p.tried }

// Attempts returns the number of attempts in a row without progress.
func (p *Plan) Attempts() int { return p.failures + p.unsent }

// After decides what follows an attempt that ended at an endpoint with next
// as the next index of the answer.
func (p *Plan) After(now time.Time, r Result, endpoint string, next int) Step {
	switch r {
	case ResultWhole:
		return Step{Action: ActionStop}
	case ResultInvalid:
		return Step{Action: ActionStop, Reason: StopInvalid}
	}
	if next > p.index {
		p.index, p.failures, p.unsent, p.retried = next, 0, 0, ""
	}
	ran := r != ResultUnreachable && r != ResultRefused
	if ran && !p.Repeatable {
		return Step{Action: ActionStop, Reason: StopOnlyOnce}
	}
	return p.again(now, r, endpoint, ran)
}

func (p *Plan) again(now time.Time, r Result, endpoint string, ran bool) Step {
	switch {
	case r == ResultMoved: // nothing failed
	case ran:
		p.failures++
	default:
		p.unsent++
	}
	if p.failures >= maxFailures || p.unsent >= maxUnsent {
		return Step{Action: ActionStop, Reason: StopAttempts}
	}
	step := Step{Action: ActionElsewhere, Budgeted: r != ResultMoved}
	if sameAgain(r) && p.retried != endpoint {
		p.retried = endpoint
		step.Action = ActionSame
	} else {
		p.tried[endpoint] = true
		step.Wait = p.backoff()
	}
	if !p.Deadline.IsZero() && !now.Add(step.Wait).Before(p.Deadline) {
		return Step{Action: ActionStop, Reason: StopDeadline}
	}
	return step
}

// sameAgain reports whether the endpoint itself is thought to be well.
func sameAgain(r Result) bool {
	return r == ResultBroken || r == ResultSilent || r == ResultGap
}

// NoEndpoint decides what to do when no endpoint can be chosen: the ones
// tried before may be tried again, after a delay.
func (p *Plan) NoEndpoint(now time.Time) Step {
	p.unsent++
	clear(p.tried)
	step := Step{Action: ActionElsewhere, Wait: p.backoff()}
	if !p.Deadline.IsZero() && !now.Add(step.Wait).Before(p.Deadline) {
		return Step{Action: ActionStop, Reason: StopUnavailable}
	}
	return step
}

// backoff is 0 before the second failure in a row and doubles from then on.
func (p *Plan) backoff() time.Duration {
	n := p.Attempts() - 2
	if n < 0 {
		return 0
	}
	return min(firstBackoff<<min(n, 10), maxBackoff)
}
