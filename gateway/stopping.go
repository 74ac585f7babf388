package gateway

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/drain"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
)

// stoppingRetryAfter is the delay after which the caller of a leaving host retries on another
// host: the least that clients apply.
const stoppingRetryAfter = 20 * time.Millisecond

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
// requests that follows.
func (t *durationTable) estimate(now time.Time, route string, events int) (needs time.Duration, known bool, samples int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.routes[route] == nil {
		return 0, false, 0
	}
	needs, known = t.routes[route].Estimate(now, events)
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

// timeLeft returns how long a leaving process continues to run.
func (g *Gateway) timeLeft(now time.Time) (time.Duration, bool) {
	at := g.endsAt.Load()
	return time.Unix(0, at).Sub(now), at != 0
}

// refuseIfStopping refuses, on a leaving host, a request that is not sure to end before the process does; another
// host serves it at once. Callers that use a cached address answer keep arriving for some seconds.
func (c *call) refuseIfStopping(now time.Time) *problem.Problem {
	last, leaving := c.lastAcceptance(now)
	if !leaving || !now.After(last) {
		return nil
	}
	return c.notRun(http.StatusServiceUnavailable, problem.TypeStopping, "the host is stopping").WithRetryAfter(stoppingRetryAfter)
}

// refuseLateRetry refuses a request that no endpoint has run and that another attempt would no longer finish on a
// leaving host.
func (c *call) refuseLateRetry(now time.Time) *problem.Problem {
	if _, unsent := c.guard.ProveNotRun(); !unsent || c.headSent {
		return nil
	}
	return c.refuseIfStopping(now)
}

// lastAcceptance returns until when a leaving host accepts the request; the zero time for never.
func (c *call) lastAcceptance(now time.Time) (time.Time, bool) {
	left, leaving := c.g.timeLeft(now)
	if !leaving {
		return time.Time{}, false
	}
	a := drain.Arrival{Deadline: c.deadline}
	var samples int
	a.Needs, a.Known, samples = c.g.durations.estimate(now, c.route.Name, c.statedEvents())
	c.stopping = &stoppingView{at: now, left: left, needs: a.Needs, known: a.Known, samples: samples}
	return a.LastAcceptance(now.Add(left)), true
}

// stoppingView is what a leaving host knew when it last decided whether a request would end in time.
type stoppingView struct {
	at time.Time
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
			if last, _ := c.lastAcceptance(now); last.After(now) {
				now = last
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
