package gateway

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/catalog"
	"github.com/cicadanotch/cicadanotch/drain"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
)

// stoppingRetryAfter is the delay after which the caller of a leaving host retries on another
// host: the least that clients apply.
const stoppingRetryAfter = 20 * time.Millisecond

// lastAnswerTime is the time before the end of a leaving process by which endpoints must have answered, so that the
// answer still reaches the caller.
const lastAnswerTime = 100 * time.Millisecond

// endpointAnswerTime is the time before its deadline that an endpoint may keep for its answer.
const endpointAnswerTime = 50 * time.Millisecond

// durationTable holds how long the latest requests of each route took on this host.
type durationTable struct {
	mu     sync.Mutex
	routes map[string]*drain.Durations
}

func (t *durationTable) record(route string, d drain.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.routes == nil {
		t.routes = map[string]*drain.Durations{}
	}
	if t.routes[route] == nil {
		// Routes come and go with the configuration.
		maps.DeleteFunc(t.routes, func(_ string, known *drain.Durations) bool { return known.Stale(d.EndedAt) })
		t.routes[route] = &drain.Durations{}
	}
	t.routes[route].Record(d)
}

// estimate returns how long a further request of a route takes at most, false if that is not known, and from how many
// requests that have ended it follows.
func (t *durationTable) estimate(now time.Time, route string, events int, inProgress []drain.Duration) (needs time.Duration, known bool, samples int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.routes[route] == nil {
		return 0, false, 0
	}
	needs, known = t.routes[route].Estimate(now, events, inProgress)
	return needs, known, t.routes[route].Samples(now)
}

// recordDuration records how long a request took that was sent to an endpoint.
func (c *call) recordDuration(now time.Time) {
	if c.route == nil || c.sent == 0 || c.refusal != nil || c.status == http.StatusServiceUnavailable {
		return // it was not run
	}
	d := drain.Duration{EndedAt: now, Total: now.Sub(c.wholeAt)}
	if c.events > 1 {
		d.FirstEvent = c.firstAt.Sub(c.wholeAt)
		d.Interval = now.Sub(c.firstAt) / time.Duration(c.events-1)
	}
	c.g.durations.record(c.route.Name, d)
}

// ageInProgress returns how long a request in progress has taken until now.
func (c *call) ageInProgress(now time.Time) drain.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := now.Sub(c.wholeAt)
	d := drain.Duration{Total: age, FirstEvent: age}
	if c.progress.events > 0 {
		d.FirstEvent = c.progress.firstAt.Sub(c.wholeAt)
	}
	if c.progress.events > 1 {
		d.Interval = c.progress.eventInterval()
	}
	return d
}

// agesInProgress returns how long the other requests of c's route have taken that are in progress.
func (c *call) agesInProgress(now time.Time) []drain.Duration {
	var ages []drain.Duration
	for _, other := range c.g.calls.all() {
		if other != c && other.route.Name == c.route.Name {
			ages = append(ages, other.ageInProgress(now))
		}
	}
	return ages
}

// WatchAnswers sets the function that returns how many answers are written that their callers have not taken: a leaving
// process waits for them before it ends early. Call it before Start.
func (g *Gateway) WatchAnswers(untaken func() int) { g.untaken = untaken }

// RecordLostEnd counts a connection that was closed before its caller did so, by reason.
func (g *Gateway) RecordLostEnd(reason string) { g.metrics.lostEnds.WithLabelValues(reason).Inc() }

// EndsAt returns when a leaving process ends at the latest, but for the time that it takes to close its connections. Call it
// after Leave.
func (g *Gateway) EndsAt() time.Time {
	now := time.Now()
	left, _ := g.timeLeft(now)
	return now.Add(left)
}

// timeLeft returns how long a leaving process continues to run.
func (g *Gateway) timeLeft(now time.Time) (time.Duration, bool) {
	at := g.endsAt.Load()
	if at == nil {
		return 0, false
	}
	return at.Sub(g.pauses.counted(now)), true
}

// refuseIfStopping refuses, on a leaving host, a request that is not sure to end before the process does; another
// host serves it at once. Callers that use a cached address answer keep arriving for some seconds.
func (c *call) refuseIfStopping(now time.Time) *problem.Problem {
	return c.refuseAfter(now, c.viewStopping(now, drain.Arrival.LastAcceptance))
}

// refuseAfter refuses the request if a leaving host accepts it until an earlier time. view may be nil.
func (c *call) refuseAfter(now time.Time, view *stoppingView) *problem.Problem {
	if view == nil {
		return nil
	}
	c.stopping = view
	if !now.After(view.last) {
		return nil
	}
	return c.stoppingProblem()
}

// stoppingProblem is the answer to a request that does not end before the process does.
func (c *call) stoppingProblem() *problem.Problem {
	return c.notRun(http.StatusServiceUnavailable, problem.TypeStopping, "the host is stopping").WithRetryAfter(stoppingRetryAfter)
}

// refuseLateRetry ends a request that another attempt would no longer finish on a leaving host, so that its caller sends
// it again to another host while there is time.
func (c *call) refuseLateRetry(now time.Time) *problem.Problem {
	if c.headSent {
		return nil
	}
	return c.refuseAfter(now, c.viewStopping(now, c.latestAttempt))
}

// mayAttemptAgain reports whether refuseLateRetry would allow a further attempt of a request without an answer.
func (c *call) mayAttemptAgain(now time.Time) bool {
	view := c.viewStopping(now, c.latestAttempt)
	return view == nil || !now.After(view.last)
}

// latestAttempt returns until when a further attempt may begin. It is taken to need at least as long as the request has
// taken until now.
func (c *call) latestAttempt(a drain.Arrival, began, processEnds time.Time) time.Time {
	a.Needs = max(a.Needs, time.Since(c.wholeAt))
	return a.LastAttempt(c.wholeAt, began, processEnds)
}

// viewStopping returns what a leaving host knows of the time that the request has, and by last until when it goes on; nil
// if the host is not leaving.
func (c *call) viewStopping(now time.Time, last func(a drain.Arrival, began, processEnds time.Time) time.Time) *stoppingView {
	left, leaving := c.g.timeLeft(now)
	if !leaving {
		return nil
	}
	a := drain.Arrival{Deadline: c.deadline, Repeatable: c.route.Kind == catalog.KindIdempotent || c.route.Resumable}
	var samples int
	a.Needs, a.Known, samples = c.g.durations.estimate(now, c.route.Name, c.statedEvents(), c.agesInProgress(now))
	ends := now.Add(left)
	return &stoppingView{
		at: now, last: last(a, ends.Add(leaveMargin-c.g.opts.GracePeriod), ends), left: left, needs: a.Needs, known: a.Known, samples: samples,
	}
}

// attemptDeadline returns the deadline that an endpoint gets. It does not lie behind the end of a leaving process, so that
// endpoints do not run what still waits there.
func (c *call) attemptDeadline(now time.Time) time.Time {
	left, leaving := c.g.timeLeft(now)
	if ends := now.Add(left - lastAnswerTime); leaving && ends.Before(c.deadline) {
		return ends
	}
	return c.deadline
}

// endedWithProcess reports whether an attempt that ends now without success may have ended because a leaving process has
// no time left, or had shortened the deadline of its endpoint to that. It tells nothing about the endpoint then.
func (c *call) endedWithProcess(now time.Time, a *endpointAttempt) bool {
	ends := c.attemptDeadline(now)
	if a.deadline.Before(ends) {
		ends = a.deadline
	}
	return ends.Before(c.deadline) && !now.Before(ends.Add(-endpointAnswerTime))
}

// endWithProcess cancels the request, if its answer has not begun, when the time of the process is over.
func (c *call) endWithProcess() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.begun {
		c.over = true
		c.cancel(errProcessEnds)
	}
}

// claimAnswer reports whether an answer that is not complete yet may begin. It returns false once endWithProcess has
// cancelled the request.
func (c *call) claimAnswer() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = !c.over
	return c.begun
}

// stoppingView is what a leaving host knew when it last decided whether a request would end in time.
type stoppingView struct {
	at time.Time
	// last is until when it accepts the request; the zero time for never.
	last time.Time
	// left is how long the process continues to run, needs the estimate from the latest samples if it is known.
	left, needs time.Duration
	known       bool
	samples     int
}

// statedEvents returns how many events the stream may have by its stated size, zero if there is none.
func (c *call) statedEvents() int {
	if !c.req.HasTokens || c.service.Engine == nil {
		return 0
	}
	perEvent := max(c.service.Engine.TokensPerEvent, 1)
	return (c.req.AnswerTokens + perEvent - 1) / perEvent
}

// LimitBody calls set, once the host is leaving, with the time until which it accepts a request whose body is still
// being read. The function that it returns cancels that.
func (g *Gateway) LimitBody(arrived time.Time, req *port.Request, set func(time.Time)) (stop func() bool) {
	return context.AfterFunc(g.leaveContext, func() {
		now := time.Now()
		c := &call{g: g, req: req, arrived: arrived}
		if c.plan(g.catalog.Current()) == nil {
			if view := c.viewStopping(now, drain.Arrival.LastAcceptance); view != nil && view.last.After(now) {
				now = view.last
			}
			set(now)
			return
		}
		left, _ := g.timeLeft(now) // it is refused for another reason
		set(now.Add(left))
	})
}

// StoppingProblem is the refusal of a request that has come too late for a process that is about to end.
func StoppingProblem() *problem.Problem {
	proof, _ := (&problem.Guard{}).ProveNotRun()
	return problem.NotRun(proof, http.StatusServiceUnavailable, problem.TypeStopping, "the host is stopping").WithRetryAfter(stoppingRetryAfter)
}
