package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/overload"
	"github.com/cicadanotch/cicadanotch/placement"
	"github.com/cicadanotch/cicadanotch/problem"
)

// overloadState spreads the returns of callers whose calls were refused, by service.
type overloadState struct {
	mu      sync.Mutex
	returns map[string]*overload.Returns
}

func newOverloadState() *overloadState {
	return &overloadState{returns: map[string]*overload.Returns{}}
}

// retryAfter returns the delay after which a caller retries that is refused now.
func (s *overloadState) retryAfter(now time.Time, service string, room, turn time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.returns[service]
	if !ok {
		r = &overload.Returns{}
		s.returns[service] = r
	}
	return r.Next(now, room, turn)
}

// isCall reports whether the request is a call of a service without engines.
func (c *call) isCall() bool { return c.service.Engine == nil }

// overloadProblem refuses the request for lack of room, and logs the figures that decided.
func (c *call) overloadProblem(now time.Time, reason overload.Reason, room time.Duration, detail string) *problem.Problem {
	delay := min(max(room, overload.MinRetryAfter), overload.MaxRetryAfter)
	if c.isCall() {
		delay = c.g.overload.retryAfter(now, c.service.Name, room, c.turn(now))
	}
	c.refusal = &refusal{reason, room, delay}
	c.g.metrics.overloads.WithLabelValues(string(reason)).Inc()
	return c.notRun(http.StatusServiceUnavailable, problem.TypeOverloaded, detail).WithRetryAfter(delay)
}

// refusal holds the figures that decided on a refusal for lack of room.
type refusal struct {
	reason      overload.Reason
	room, delay time.Duration
}

// turn returns the time in which the service has room for one more call of this host: the endpoints' slots are
// shared by all hosts.
func (c *call) turn(now time.Time) time.Duration {
	slots := 0
	for _, v := range c.usable(now) {
		slots += max(v.Slots, 1)
	}
	work := c.g.answerTime(c.service.Name).Mean() / 2
	return work * time.Duration(max(c.g.hostCount.Load(), 1)) / time.Duration(max(slots, 1))
}

// overloaded reports whether the best choice would start the request too late to be of use, and
// the time until there is room for it.
func (c *call) overloaded(now time.Time, choice placement.Choice) (time.Duration, overload.Reason, bool) {
	remaining := c.deadline.Sub(now)
	if c.sent > 0 || choice.Suspect {
		return 0, "", false
	}
	if c.isCall() {
		expected := time.Duration(choice.Terms.FirstToken() * float64(time.Millisecond))
		delay, over := overload.Call(overload.Start{Wait: expected, Work: c.g.answerTime(c.service.Name).Mean() / 2}, remaining)
		return delay, overload.ReasonDeadline, over
	}
	start := overload.Start{
		Wait: time.Duration((choice.Terms.Queue + choice.Terms.Slot) * float64(time.Millisecond)),
		Work: time.Duration((choice.Terms.Fetch + choice.Terms.Prefill + choice.Terms.Network) * float64(time.Millisecond)),
	}
	return overload.Prompt(start, c.route.Target, remaining, c.priority())
}
