// Package overload decides who waits, who is refused and when refused callers return, while the work is more
// than the room. Each decision names the load that it answers.
//
// The package does no I/O, starts no goroutine and reads no clock: times are passed in.
package overload

import "time"

// Reason is why a request is refused.
type Reason string

// Reasons.
const (
	// ReasonDeadline means that no endpoint is expected to answer before the request's deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonObjective means that the answer is expected so long after the route's objective that it would only
	// delay others.
	ReasonObjective Reason = "objective"
	// ReasonRejection means that an endpoint might have to reject it and would fail by that.
	ReasonRejection Reason = "rejection"
)

const (
	// maxFirstTokenRatio is the largest expected time to the first token, as a multiple of the
	// route's objective, at which a request of the most urgent priority is accepted. Each further
	// priority lowers it by firstTokenRatioStep, down to minFirstTokenRatio. An answer past its
	// objective is worth a tenth, and its work delays the requests behind it.
	maxFirstTokenRatio  = 2.2
	firstTokenRatioStep = 0.3
	minFirstTokenRatio  = 1.2
	// idleWaitRatio is the wait, as a fraction of the objective, below which an engine counts as idle: its prompts
	// are then in time if they are not too long by themselves.
	idleWaitRatio = 0.3
	// MinRetryAfter and MaxRetryAfter bound the delay after which refused callers retry.
	MinRetryAfter = 100 * time.Millisecond
	MaxRetryAfter = 3 * time.Second
)

// Start is when an endpoint is expected to start a request, and how long it works on it until the answer, for a
// prompt until its first token.
type Start struct {
	Wait, Work time.Duration
}

// Prompt decides on a prompt of a priority whose best endpoint is expected to start it after s, when remaining is the
// time until its deadline and objective that of its route, zero for none. It reports whether to refuse it, why,
// and after which delay there is room for it.
//
// Load: more prompts than engines read. An answer that is expected long after its objective is of little use, and
// its work makes others late too; the less urgent it is, the sooner it is refused. A prompt that is too long for its
// objective even at an idle engine is late whenever it comes: it is accepted where it hardly waits, since then
// few others wait behind it.
func Prompt(s Start, objective, remaining time.Duration, priority int) (delay time.Duration, reason Reason, refuse bool) {
	if objective <= 0 {
		return 0, "", false
	}
	expected := s.Wait + s.Work
	ratio := max(maxFirstTokenRatio-firstTokenRatioStep*float64(priority), minFirstTokenRatio)
	switch {
	case expected > remaining:
		return expected - objective, ReasonDeadline, true
	case s.Wait < time.Duration(idleWaitRatio*float64(objective)):
		return 0, "", false
	case expected > time.Duration(ratio*float64(objective)):
		return expected - objective, ReasonObjective, true
	}
	return 0, "", false
}

// Call decides on a call of a service without engines whose best endpoint is expected to start it after s, when
// remaining is the time until its deadline. It reports whether to refuse it, and after which delay there is room
// for it.
//
// A late answer is of use until the deadline, so the objective does not matter here.
func Call(s Start, remaining time.Duration) (delay time.Duration, refuse bool) {
	if s.Wait+s.Work <= remaining {
		return 0, false
	}
	return max(s.Wait+s.Work-remaining, s.Work), true
}

// Returns spreads the returns of refused callers over the time in which room comes back. The zero value is ready
// for use; it is not safe for concurrent use.
//
// Load: callers that repeat at once and often beside a burst. With one delay for all of them, those that were
// refused together return together and find the room of one.
type Returns struct {
	last time.Time
}

// Next returns the delay after which a caller that is refused now retries: not before room, the time until there
// is room again, and turn after the caller refused before it. It is between MinRetryAfter and MaxRetryAfter.
func (r *Returns) Next(now time.Time, room, turn time.Duration) time.Duration {
	at := now.Add(min(max(room, MinRetryAfter), MaxRetryAfter))
	if next := r.last.Add(turn); next.After(at) {
		at = next
	}
	if latest := now.Add(MaxRetryAfter); at.After(latest) {
		at = latest
	}
	r.last = at
	return at.Sub(now)
}

// WithinObjective bounds the delay that a caller is told who is refused over a limit, when objective is that of its
// route, zero for none.
//
// Load: a workspace sends a multiple of its limit for seconds. A caller who returns after its objective gets a late
// answer, and takes the room of one whose answer would have been in time.
func WithinObjective(room, objective time.Duration) time.Duration {
	if objective <= 0 {
		return room
	}
	return min(room, max(objective, MinRetryAfter))
}
