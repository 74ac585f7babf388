package gateway

import "time"

// outcome is the result of one attempt at an endpoint.
type outcome string

const (
	// outcomeComplete: the complete answer was forwarded.
	outcomeComplete outcome = "whole"
	// outcomeUnsent: no byte of the request was sent.
	outcomeUnsent outcome = "unsent"
	// outcomeDeclined: the endpoint states that it did not run the request.
	outcomeDeclined outcome = "declined"
	// outcomeBroken: the connection or the answer ended early.
	outcomeBroken outcome = "broken"
	// outcomeUnresponsive: the endpoint sent nothing within the time allowed.
	outcomeUnresponsive outcome = "silent"
	// outcomeFailed: the endpoint answered with an error of its own.
	outcomeFailed outcome = "failed"
	// outcomeMoved: the stream continues at the endpoint that it was moved to.
	outcomeMoved outcome = "moved"
	// outcomeCanceled: the caller has disconnected.
	outcomeCanceled outcome = "caller-left"
	// outcomeExpired: the deadline of the caller or the route has passed.
	outcomeExpired outcome = "expired"
)

// step is the action that follows an attempt.
type step string

const (
	stepDone   step = "done"
	stepRetry  step = "retry"
	stepResume step = "resume"
	// stepForwardFailure forwards the endpoint's error answer to the caller.
	stepForwardFailure step = "pass"
	// stepRefuse answers that the request did not run; stepFail leaves open whether it ran.
	stepRefuse step = "refuse"
	stepFail   step = "fail"
	stepExpire step = "expire"
	stepStop   step = "stop"
)

// requestState is the state of a request that decides the step after an attempt.
type requestState struct {
	// Idempotent requests may run more than once. Resumable streams may continue at another
	// endpoint after the last event forwarded, or start again before the first.
	Idempotent bool
	Resumable  bool
	// Started reports that events have been forwarded, MayHaveRun that an endpoint may be running
	// the request or may have run it.
	Started    bool
	MayHaveRun bool
	// Sent counts the endpoints that the request was sent to, Unsent the attempts of which no byte
	// was sent.
	Sent, Unsent int
	MaxAttempts  int
	// Remaining is the time until the deadline.
	Remaining time.Duration
}

const (
	// maxUnsentAttempts bounds the attempts that could not be sent: each takes up to one connect
	// timeout.
	maxUnsentAttempts = 4
	// minRetryTime is the least time before the deadline in which a further attempt is of use.
	minRetryTime = 30 * time.Millisecond
)

// decide returns the step after an attempt. budget takes one retry from the service's retry budget
// and is called only when everything else allows a retry.
//
// Endpoints crash, shed load and become unresponsive together while callers retry on their own;
// futile retries must not displace first attempts.
func decide(o outcome, s requestState, budget func() bool) step {
	mayRepeat := s.Idempotent || s.Resumable || !s.MayHaveRun
	withinLimits := s.Sent < s.MaxAttempts && s.Remaining > minRetryTime
	switch o {
	case outcomeComplete:
		return stepDone
	case outcomeCanceled:
		return stepStop
	case outcomeExpired:
		return stepExpire
	case outcomeMoved:
		return stepResume
	case outcomeUnsent:
		if mayRepeat && s.Unsent < maxUnsentAttempts && s.Remaining > minRetryTime {
			return retryOrResume(s)
		}
		return refuseOrFail(s)
	case outcomeDeclined:
		if mayRepeat && withinLimits && budget() {
			return retryOrResume(s)
		}
		return refuseOrFail(s)
	case outcomeFailed:
		if s.Idempotent && !s.Started && withinLimits && budget() {
			return stepRetry
		}
		return stepForwardFailure
	default:
		if (s.Idempotent || s.Resumable) && withinLimits && budget() {
			return retryOrResume(s)
		}
		return stepFail
	}
}

func retryOrResume(s requestState) step {
	if s.Started {
		return stepResume
	}
	return stepRetry
}

func refuseOrFail(s requestState) step {
	if s.Started || s.MayHaveRun {
		return stepFail
	}
	return stepRefuse
}
