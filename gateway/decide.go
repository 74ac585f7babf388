package gateway

import "time"

// outcome is the result of one attempt at an endpoint.
type outcome string

const (
	// outcomeComplete means that the complete answer was forwarded.
	outcomeComplete outcome = "whole"
	// outcomeUnsent means that no byte of the request was sent.
	outcomeUnsent outcome = "unsent"
	// outcomeDeclined means that the endpoint states that it did not run the request, or that the
	// address belongs to another endpoint.
	outcomeDeclined outcome = "declined"
	// outcomeBroken means that the connection or the answer ended early.
	outcomeBroken outcome = "broken"
	// outcomeUnresponsive means that the endpoint sent nothing within the time allowed.
	outcomeUnresponsive outcome = "silent"
	// outcomeFailed means that the endpoint answered with an error of its own, such as status 500.
	outcomeFailed outcome = "failed"
	// outcomeMoved means that the stream continues at the endpoint that it was moved to.
	outcomeMoved outcome = "moved"
	// outcomeCanceled means that the caller has disconnected.
	outcomeCanceled outcome = "caller-left"
	// outcomeExpired means that the deadline of the caller or the route has passed.
	outcomeExpired outcome = "expired"
	// outcomeProcessEnds means that the time of a leaving process was over before the answer began.
	outcomeProcessEnds outcome = "process-ends"
)

// step is the action that follows an attempt.
type step string

const (
	// stepDone ends a request whose answer is complete.
	stepDone step = "done"
	// stepRetry sends the request again, stepResume continues its stream in a further attempt.
	stepRetry  step = "retry"
	stepResume step = "resume"
	// stepForwardFailure forwards the endpoint's error answer to the caller.
	stepForwardFailure step = "pass"
	// stepRefuse answers that the request did not run; stepFail leaves open whether it ran.
	stepRefuse step = "refuse"
	stepFail   step = "fail"
	// stepExpire answers that the deadline has passed.
	stepExpire step = "expire"
	// stepEnd answers that the process ends.
	stepEnd step = "end"
	// stepStop ends the request without an answer, because the caller has disconnected.
	stepStop step = "stop"
)

// requestState is the state of a request that decides the step after an attempt.
type requestState struct {
	// Idempotent requests may run more than once. The stream of a Resumable request may continue
	// at another endpoint after the last event forwarded; before the first event is forwarded the
	// request may start again.
	Idempotent bool
	Resumable  bool
	// Started reports that a part of the answer has been forwarded to the caller, MayHaveRun that
	// an endpoint may be running the request or may have run it.
	Started    bool
	MayHaveRun bool
	// SentAttempts is the number of attempts that were sent, without the continuation of moved streams.
	// UnsentAttempts is the number of attempts of which no byte was sent.
	SentAttempts, UnsentAttempts int
	MaxAttempts                  int
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

// decide returns the step after an attempt. takeRetry takes one retry from the service's retry
// budget and reports whether there was one left. It is called only when everything else allows a
// retry. The steps after outcomeUnsent and outcomeMoved take nothing from the budget.
//
// The budget is needed because endpoints crash, shed load and become unresponsive together while
// callers retry on their own: futile retries must not displace first attempts.
func decide(o outcome, s requestState, takeRetry func() bool) step {
	// After an attempt that did not run, a further one is allowed if no earlier attempt can have run,
	// or if the request may run twice or its stream can be resumed.
	mayRepeat := s.Idempotent || s.Resumable || !s.MayHaveRun
	withinLimits := s.SentAttempts < s.MaxAttempts && s.Remaining > minRetryTime
	switch o {
	case outcomeComplete:
		return stepDone
	case outcomeCanceled:
		return stepStop
	case outcomeExpired:
		return stepExpire
	case outcomeProcessEnds:
		return stepEnd
	case outcomeMoved:
		return stepResume
	case outcomeUnsent:
		if mayRepeat && s.UnsentAttempts < maxUnsentAttempts && s.Remaining > minRetryTime {
			return retryOrResume(s)
		}
		return refuseOrFail(s)
	case outcomeDeclined:
		if mayRepeat && withinLimits && takeRetry() {
			return retryOrResume(s)
		}
		return refuseOrFail(s)
	case outcomeFailed:
		if s.Idempotent && !s.Started && withinLimits && takeRetry() {
			return stepRetry
		}
		return stepForwardFailure
	default: // outcomeBroken and outcomeUnresponsive: the endpoint may have run the request
		mayStartAgain := s.Idempotent && !s.Started
		if (mayStartAgain || s.Resumable) && withinLimits && takeRetry() {
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
