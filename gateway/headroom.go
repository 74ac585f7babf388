package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/fleet"
	"github.com/cicadanotch/cicadanotch/headroom"
	"github.com/cicadanotch/cicadanotch/overload"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/presence"
	"github.com/cicadanotch/cicadanotch/problem"
)

// An endpoint may name how many requests it can reject in a second without failing. While it does, a host sends it
// only what has room in the host's share of its slots, see package headroom. A call for which there is none waits
// a little if a slot is about to be free, and is refused otherwise. Each host tells the others in its reports what
// endpoints have named.

const (
	// maxRoomWait is the longest time that a call waits for room.
	maxRoomWait = 250 * time.Millisecond
	// roomWaitShare is the largest part of the route's objective and of the time left that a call waits for room.
	roomWaitShare = 0.25
)

// room is what a request occupies at an endpoint. It is used only by the goroutine that serves the request.
type room struct {
	endpoint headroom.Endpoint
	work     headroom.Work
	// missing is set when an endpoint was not chosen because it might have to reject the request.
	missing bool
}

// roomWaits holds the calls that wait for room, by service, in the order in which they came.
type roomWaits struct {
	mu      sync.Mutex
	waiting map[string][]chan struct{}
}

func newRoomWaits() *roomWaits { return &roomWaits{waiting: map[string][]chan struct{}{}} }

// join adds a call that waits. ok is false if most calls wait already.
func (w *roomWaits) join(service string, most int) (wake chan struct{}, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.waiting[service]) >= most {
		return nil, false
	}
	wake = make(chan struct{})
	w.waiting[service] = append(w.waiting[service], wake)
	return wake, true
}

// leave removes a call that no longer waits. If it has been woken, the next one is woken in its place.
func (w *roomWaits) leave(service string, wake chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, other := range w.waiting[service] {
		if other == wake {
			w.waiting[service] = append(w.waiting[service][:i:i], w.waiting[service][i+1:]...)
			return
		}
	}
	w.wakeNext(service)
}

// freed wakes the call that has waited longest.
func (w *roomWaits) freed(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wakeNext(service)
}

// wakeNext requires the lock.
func (w *roomWaits) wakeNext(service string) {
	if waiting := w.waiting[service]; len(waiting) > 0 {
		close(waiting[0])
		w.waiting[service] = waiting[1:]
	}
}

// endpointOf returns what the decision on room needs to know of an endpoint.
func (c *call) endpointOf(v fleet.View) headroom.Endpoint {
	e := headroom.Endpoint{ID: v.ID, Service: v.Service, Slots: v.Slots}
	if engine := c.service.Engine; engine != nil {
		e.CacheTokens = engine.CacheTokens
		if e.Slots == 0 {
			e.Slots = engine.Slots
		}
	}
	return e
}

// workOf returns what the request occupies at an endpoint.
func (c *call) workOf() headroom.Work {
	answer := c.req.AnswerTokens
	if c.req.ExpectedAnswer > 0 {
		answer = min(answer, c.req.ExpectedAnswer)
	}
	return headroom.Work{Requests: 1, Tokens: c.req.PromptTokens + answer}
}

// hasRoom reports whether this host may send the request to an endpoint without the risk that it is rejected.
func (c *call) hasRoom(now time.Time, v fleet.View) bool {
	if c.g.headroom.Allows(now, c.endpointOf(v), c.workOf()) {
		return true
	}
	c.room.missing = true
	return false
}

// takeRoom counts the request at an endpoint. It reports false if there is no room.
func (c *call) takeRoom(now time.Time, v fleet.View) bool {
	e, w := c.endpointOf(v), c.workOf()
	if !c.g.headroom.Begin(now, e, w) {
		c.room.missing = true
		return false
	}
	c.room.endpoint, c.room.work = e, w
	return true
}

// occupyRoom counts a request whose room the endpoint has reserved.
func (c *call) occupyRoom(v fleet.View) {
	c.room.endpoint, c.room.work = c.endpointOf(v), c.workOf()
	c.g.headroom.Occupy(c.room.endpoint, c.room.work)
}

// leaveRoom ends what takeRoom or occupyRoom began.
func (c *call) leaveRoom(now time.Time, o outcome) {
	if c.room.work == (headroom.Work{}) {
		return
	}
	answered := o == outcomeComplete || o == outcomeFailed || o == outcomeDeclined || o == outcomeUnsent
	c.g.headroom.End(now, c.room.endpoint, c.room.work, answered)
	c.room.work = headroom.Work{}
	c.g.roomWaits.freed(c.service.Name)
}

// placeInRoom is place for a call that may wait until there is room for it.
func (c *call) placeInRoom(ctx context.Context) (*endpointAttempt, *problem.Problem) {
	c.room.missing = false
	began := time.Now()
	wait := min(maxRoomWait, time.Duration(roomWaitShare*float64(time.Until(c.deadline))))
	if c.route.Target > 0 {
		wait = min(wait, time.Duration(roomWaitShare*float64(c.route.Target)))
	}
	for {
		a, p := c.place(time.Now())
		left := wait - time.Since(began)
		if p == nil || !c.room.missing || !c.isCall() || left <= 0 || !c.awaitRoom(ctx, left) {
			return a, p
		}
	}
}

// awaitRoom waits until a call of this host has ended. It reports false if too many wait for that, or none has ended
// in time.
func (c *call) awaitRoom(ctx context.Context, wait time.Duration) bool {
	wake, ok := c.g.roomWaits.join(c.service.Name, int(wait/max(c.turn(time.Now()), time.Millisecond)))
	if !ok {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-wake:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	c.g.roomWaits.leave(c.service.Name, wake)
	return false
}

// roomProblem refuses the request because endpoints might have to reject it.
func (c *call) roomProblem(now time.Time, views []fleet.View) *problem.Problem {
	endpoints := make([]headroom.Endpoint, len(views))
	for i, v := range views {
		endpoints[i] = c.endpointOf(v)
	}
	q := c.query()
	c.g.demand.Refused(now, c.service.Name, q.PromptTokens, q.MaxAnswerTokens)
	return c.overloadProblem(now, overload.ReasonRejection, c.g.headroom.NextAllowed(now, endpoints), "no endpoint is known to have room for it")
}

// recordRejections applies what an endpoint said of the rejections that it bears, and its rejection.
func (c *call) recordRejections(now time.Time, a *endpointAttempt, reply *port.Reply) {
	e := c.endpointOf(a.view)
	s := headroom.Statement{At: now}
	if reply.Rejections != nil {
		s.Bounded, s.PerSecond = true, *reply.Rejections
	}
	if c.g.headroom.State(e, s) {
		c.g.logRejections(e.ID, s, c.req.ID, "")
	}
	if reply.Declined && reply.Status == http.StatusServiceUnavailable {
		if _, bounded := c.g.headroom.Bound(e); bounded {
			c.g.metrics.riskyRejections.Inc()
			c.g.headroom.Rejected(now, e)
		}
	}
}

// logRejections logs a change of the rejections that an endpoint bears. peer is the host that told it, empty if the
// endpoint told this host.
func (g *Gateway) logRejections(id string, s headroom.Statement, request, peer string) {
	g.metrics.stateChanges.WithLabelValues("endpoint_rejections").Inc()
	e := g.log.Info().Str("event", "endpoint_rejections").Str("endpoint", id).Bool("bounded", s.Bounded).Int("per_second", s.PerSecond)
	if peer != "" {
		e.Str("peer", peer)
	}
	if request != "" {
		e.Str("request", request)
	}
	e.Msg("")
}

// receiveRejections applies what other hosts report of their work, and of what endpoints have told them.
func (g *Gateway) receiveRejections(now time.Time) {
	reports := g.presence.Within(shareTTL)
	peers := make([]headroom.Peer, len(reports))
	for i, r := range reports {
		p := headroom.Peer{Host: r.Host, Work: make(map[string]headroom.Work, len(r.Loads))}
		for id, l := range r.Loads {
			p.Work[id] = headroom.Work{Requests: l.Requests, Tokens: l.Context}
		}
		if len(r.Rejections) > 0 {
			p.Statements = make(map[string]headroom.Statement, len(r.Rejections))
		}
		receivedAt := g.presence.ReceivedAt(r.Key())
		for id, s := range r.Rejections {
			p.Statements[id] = headroom.Statement{Bounded: !s.Lifted, PerSecond: s.PerSecond, At: receivedAt.Add(-time.Duration(s.AgeMS) * time.Millisecond)}
		}
		peers[i] = p
	}
	changes := g.headroom.SetView(now, peers, func(id string) (string, bool) {
		v, listed := g.fleet.Get(id)
		return v.Service, listed
	})
	for _, c := range changes {
		g.logRejections(c.Endpoint, c.Statement, "", c.Peer)
	}
}

// reportedRejections returns the bounds on rejections that endpoints named to this host.
func (g *Gateway) reportedRejections(now time.Time) map[string]presence.Rejections {
	heard := g.headroom.Heard()
	if len(heard) == 0 {
		return nil
	}
	out := make(map[string]presence.Rejections, len(heard))
	for id, s := range heard {
		out[id] = presence.Rejections{PerSecond: s.PerSecond, Lifted: !s.Bounded, AgeMS: now.Sub(s.At).Milliseconds()}
	}
	return out
}
