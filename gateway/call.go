package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/catalog"
	"github.com/cicadanotch/cicadanotch/fleet"
	"github.com/cicadanotch/cicadanotch/placement"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
)

// Causes for which an attempt is cancelled.
var (
	errSilent = errors.New("nothing came for too long")
	errMoved  = errors.New("the stream was moved")
)

// call is one request in progress.
type call struct {
	g       *Gateway
	req     *port.Request
	out     Responder
	arrived time.Time

	version   int64
	route     *catalog.Route
	service   catalog.Service
	workspace *catalog.Workspace
	cost      float64
	deadline  time.Time
	guard     problem.Guard

	// Used by the goroutine that serves the request.
	tried        map[string]bool
	sent, unsent int
	began        bool // the head of an answer has gone to the caller
	events       int
	lastID       string
	firstAt      time.Time
	status       int
	failed       *buffered // an endpoint's failure, kept while others are tried
	ran          bool
	last         string // what the final problem says
	lastTry      *try

	// paid is set when the retry that follows is taken from the budget.
	paid atomic.Bool

	// mu guards what other goroutines see.
	mu       sync.Mutex
	current  *try
	move     *streamMove
	progress progress
}

// try is one attempt at an endpoint.
type try struct {
	choice  placement.Choice
	view    fleet.View
	began   time.Time
	cancel  context.CancelCauseFunc
	started bool
	copy    *port.KVCopy
}

func (c *call) endpointID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil {
		return ""
	}
	return c.current.view.ID
}

func (c *call) setCurrent(t *try) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = t
}

// run tries endpoints until the request has its final answer.
func (c *call) run(ctx context.Context) {
	c.g.budget(c.service.Name).Fresh(time.Now())
	c.tried = map[string]bool{}
	for {
		t, p := c.place(time.Now())
		if p != nil {
			c.giveUp(p)
			return
		}
		o, err := c.attempt(ctx, t)
		c.g.metrics.attempts.WithLabelValues(string(o)).Inc()
		s := c.situation()
		next := decide(o, s, c.mayRetry)
		if o != outcomeWhole {
			c.logAttempt(t, o, next, err)
		}
		switch next {
		case stepRetry, stepResume:
			continue
		case stepDone:
			c.notePace()
			c.end("served")
		case stepStop:
			c.end("caller-left")
		case stepPass:
			c.passFailure()
			c.end("endpoint-failed")
		case stepExpire:
			c.giveUp(c.expired())
		case stepRefuse:
			c.giveUp(c.notRun(http.StatusServiceUnavailable, problem.TypeUnavailable, "no endpoint took the request").WithRetryAfter(c.retrySoon()))
		default:
			c.giveUp(problem.Unknown(http.StatusBadGateway, problem.TypeOutcomeUnknown, "the endpoint's answer was lost"))
		}
		return
	}
}

func (c *call) situation() situation {
	_, unsent := c.guard.Unsent()
	return situation{
		MayHaveRun: !unsent,
		Idempotent: c.route.Kind == catalog.KindIdempotent, Resumable: c.route.Resumable, Started: c.events > 0,
		Sent: c.sent, Unsent: c.unsent, MaxAttempts: max(c.route.MaxAttempts, 1), Left: time.Until(c.deadline),
	}
}

// giveUp gives the caller its final answer, which an endpoint's failure that was
// kept goes before.
func (c *call) giveUp(p *problem.Problem) {
	if c.failed != nil && !c.began {
		c.passFailure()
		c.end("endpoint-failed")
		return
	}
	c.refuse(p)
	if c.workspace != nil && p.Run == problem.RunNot {
		c.g.returnQuota(time.Now(), c.workspace, c.cost)
	}
	c.end(string(p.Type))
}

// refuse answers with a problem, or cuts an answer that has begun.
func (c *call) refuse(p *problem.Problem) {
	c.last = p.Detail
	if c.began {
		c.status = 0
		c.out.Abort()
		return
	}
	c.status = p.Status
	c.g.metrics.refusals.WithLabelValues(string(p.Type)).Inc()
	p.RequestID = c.req.ID
	c.out.Refuse(p)
}

// attempt sends the request to an endpoint and passes the answer on.
func (c *call) attempt(ctx context.Context, t *try) (outcome, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	t.cancel, t.began = cancel, time.Now()
	c.lastTry = t
	c.setCurrent(t)
	defer c.setCurrent(nil)
	defer func() { c.g.placement.Release(&t.choice, !t.started) }()

	dog := watch(cancel, c.headLimit(t), c.payRetry)
	defer dog.stop()
	sending := &sendingState{c: c, moved: t.copy != nil}
	reply, err := c.g.ports.Endpoints.Forward(ctx, c.forward(t, sending))
	if err != nil {
		return c.failedAttempt(ctx, t, err)
	}
	defer reply.Body.Close()
	now := time.Now()
	if reply.Declined || reply.Misdirected {
		sending.declined()
		c.tried[t.view.ID] = true
		c.declinedBy(now, t, reply)
		return outcomeDeclined, errors.Errorf("status %d", reply.Status)
	}
	if !reply.Authentic && reply.Status < http.StatusMultipleChoices {
		return outcomeBroken, errors.Errorf("an answer of status %d without a mark of authenticity", reply.Status)
	}
	o, err := c.passOn(ctx, t, reply, dog)
	if o == outcomeBroken || o == outcomeSilent {
		return c.failedAttempt(ctx, t, err)
	}
	if o == outcomeWhole && !reply.Stream {
		c.g.patience(c.service.Name).Observe(time.Since(t.began))
	}
	c.g.fleet.Answered(time.Now(), t.view.ID, o == outcomeFailed)
	return o, err
}

// sendingState turns the transport's calls into proofs.
type sendingState struct {
	moved bool
	c     *call
	s     *problem.Sending
}

func (s *sendingState) begin() {
	s.s = s.c.guard.Send()
	if !s.moved {
		s.c.sent++ // a moved stream is the same run
		if s.c.sent > 1 {
			s.c.g.quota.Charge(time.Now(), s.c.workspace, s.c.cost) // a repeat is rare; this host's share will do
		}
		s.c.mu.Lock()
		s.c.progress.sent = s.c.sent
		s.c.mu.Unlock()
	}
}

func (s *sendingState) declined() {
	if s.s != nil {
		s.s.Declined()
	}
}

func (c *call) forward(t *try, sending *sendingState) *port.Forward {
	f := &port.Forward{
		Request: c.req, Address: t.view.Address, Endpoint: t.view.ID,
		Remaining: time.Until(c.deadline), Priority: c.priority(), After: c.lastID, Copy: t.copy,
		MaxConnections: c.g.connectionShare(c.service.MaxConnections),
		Sending:        sending.begin,
		Fresh:          false,
	}
	if c.workspace != nil {
		f.Workspace = c.workspace.Name
	}
	return f
}

// priorityLeast is the least urgent priority that engines know.
const priorityLeast = 9

// priority ranks the workspace before the route.
func (c *call) priority() int {
	p := c.route.Priority
	if c.workspace != nil {
		p += 3 * c.workspace.Priority
	}
	return min(max(p, 0), priorityLeast)
}

// connectionShare is how many connections to one endpoint this host may open.
func (g *Gateway) connectionShare(most int) int {
	if most <= 0 {
		return 0
	}
	return max(most/int(max(g.hosts.Load(), 1)), 2)
}

// failedAttempt classifies an attempt without a whole answer.
func (c *call) failedAttempt(ctx context.Context, t *try, err error) (outcome, error) {
	now := time.Now()
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errMoved):
		return outcomeMoved, err
	case errors.Is(cause, errSilent):
		c.tried[t.view.ID] = true
		c.suspect(now, t, "silent")
		return outcomeSilent, err
	case errors.Is(cause, context.DeadlineExceeded) || !now.Before(c.deadline):
		return outcomeExpired, err
	case errors.Is(cause, context.Canceled):
		return outcomeLeft, err
	case errors.Is(err, port.ErrTooManyConnections):
		c.unsent++
		c.tried[t.view.ID] = true
		return outcomeUnsent, err
	case errors.Is(err, port.ErrNotSent):
		c.unsent++
		c.tried[t.view.ID] = true
		c.suspect(now, t, "unreachable")
		return outcomeUnsent, err
	}
	if c.takeMove(t) {
		return outcomeMoved, err
	}
	c.tried[t.view.ID] = true
	c.suspect(now, t, "broken")
	return outcomeBroken, err
}

// suspect notes that an endpoint does not answer from here.
func (c *call) suspect(now time.Time, t *try, why string) {
	pause := c.g.fleet.Failed(now, t.view.ID)
	c.g.metrics.beliefs.WithLabelValues("endpoint_suspect").Inc()
	c.g.log.Warn().Str("event", "endpoint_suspect").Str("request", c.req.ID).Str("endpoint", t.view.ID).
		Str("why", why).Dur("pause", pause).Dur("entry_age", now.Sub(t.view.ListedAt)).Msg("")
}

// declinedBy takes what an endpoint that declined tells.
func (c *call) declinedBy(now time.Time, t *try, reply *port.Reply) {
	if reply.Misdirected {
		c.suspect(now, t, "another endpoint has the address")
	}
}

// retrySoon is when a caller comes back after endpoints declined: when a request
// has ended at one of them.
func (c *call) retrySoon() time.Duration {
	const soon = 150 * time.Millisecond
	return soon
}
