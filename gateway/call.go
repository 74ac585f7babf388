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
	"github.com/cicadanotch/cicadanotch/presence"
	"github.com/cicadanotch/cicadanotch/problem"
	"github.com/cicadanotch/cicadanotch/quarantine"
	"github.com/cicadanotch/cicadanotch/reach"
)

// Causes with which an attempt is cancelled.
var (
	errUnresponsive = errors.New("no data from the endpoint within the timeout")
	errMoved        = errors.New("stream moved to another endpoint")
	errCutOff       = errors.New("the host is cut off from the endpoints")
	errProcessEnds  = errors.New("the time of the process is over")
)

// call is one request in progress.
type call struct {
	g       *Gateway
	req     *port.Request
	out     Responder
	arrived time.Time // when the head was read
	wholeAt time.Time // when the body was read too

	version   int64
	snapshot  *catalog.Snapshot
	route     *catalog.Route
	service   catalog.Service
	workspace *catalog.Workspace
	cost      float64
	limit     quotaDecision
	deadline  time.Time
	guard     problem.Guard
	// fingerprint identifies the request among the repetitions of it, see quarantine.Fingerprint.
	fingerprint uint64
	// partKeys are the keys of the shared parts of the prompt, sorted, see quarantine.PartKeys.
	partKeys []uint64

	// Used only by the goroutine that serves the request.
	tried        map[string]bool
	sent, unsent int
	headSent     bool // the head of an answer was sent to the caller
	events       int
	lastID       []byte // of the last event that the caller has
	firstAt      time.Time
	status       int
	failure      *bufferedReply // an endpoint's error answer, buffered while others are tried
	usageCounted bool
	// placer has chosen the present attempt's endpoint under ticket; without one the ticket is zero.
	placer presence.Report
	ticket int64
	// via is the host that the present attempt goes through; without a name if it goes to the endpoint itself.
	via         reach.Peer
	finalDetail string // detail of the final problem, for the log
	ending      answerEnding
	lastAttempt *endpointAttempt
	refusal     *refusal // set when the request was refused for lack of room
	stopping    *stoppingView
	room        room
	cancel      context.CancelCauseFunc
	// failureHeld is what is held of failure.
	failureHeld heldAnswer

	// retryReserved is set when the next retry has already been taken from the budget.
	retryReserved atomic.Bool
	// avoidsTarget is set when an endpoint of a roll-out's target gave a bad answer.
	avoidsTarget atomic.Bool

	// mu guards the fields that other goroutines access.
	mu      sync.Mutex
	current *endpointAttempt
	move    *streamMove
	// moveStopped is set when the stream was stopped for a move that has failed.
	moveStopped bool
	progress    progress
	// begun is set when an answer has begun that may break off, over when the request was ended with the process before.
	begun, over bool
	// software is the software version that began the stream; nil before its first event.
	software *string
}

// answerEnding is how the last answer of an endpoint was framed and how it ended.
type answerEnding struct {
	framing port.Framing
	kind    endingKind
	// unfinished is the length of the event that the answer ended in, in bytes.
	unfinished int
}

type endingKind string

const (
	endingComplete endingKind = "whole"
	// endingInEvent means that a stream ended without an error inside an event, endingNoEvent that it ended
	// so before its first event.
	endingInEvent endingKind = "in-event"
	endingNoEvent endingKind = "no-event"
	endingError   endingKind = "error"
)

// endpointAttempt is one attempt at an endpoint.
type endpointAttempt struct {
	choice    placement.Choice
	view      fleet.View
	startedAt time.Time
	deadline  time.Time // the endpoint's, see attemptDeadline
	cancel    context.CancelCauseFunc
	answered  bool
	continued bool // its first events have been counted as a continuation
	kvCopy    *port.KVCopy
	// inFlight identifies the attempt in quarantineState.inFlight while it may be running; empty otherwise.
	inFlight string
	// begunAt is when its answer began; partsCleared is set once it has cleared the parts of the prompt.
	begunAt      time.Time
	partsCleared bool
	// firstEventAt is when the first event of a stream came. died is set if the endpoint's process has ended.
	firstEventAt time.Time
	died         bool
	// via is as in call. phase is one of the phases of an attempt.
	via   reach.Peer
	phase atomic.Int32
}

func (c *call) endpointID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil {
		return ""
	}
	return c.current.view.ID
}

func (c *call) setCurrent(a *endpointAttempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = a
}

// run makes attempts until the request has its final answer.
func (c *call) run(ctx context.Context) {
	c.g.budget(c.service.Name).RecordRequest(time.Now())
	c.tried = map[string]bool{}
	for {
		c.chooseVia(time.Now())
		a, p := c.placeInRoom(ctx)
		if p != nil {
			c.releaseVia()
			c.giveUp(p)
			return
		}
		a.via = c.via
		o, err := c.attempt(ctx, a)
		c.releaseVia()
		c.leaveRoom(time.Now(), o)
		c.recordForRollout(a, o)
		c.g.metrics.attempts.WithLabelValues(string(o)).Inc()
		s := c.requestState()
		next := decide(o, s, c.takeRetry)
		if o != outcomeComplete {
			c.logAttempt(a, o, next, err)
		}
		switch next {
		case stepRetry, stepResume:
			if p := c.refuseLateRetry(time.Now()); p != nil {
				c.giveUp(p)
				return
			}
			continue
		case stepDone:
			c.recordGenerationTime()
			c.clear(a)
			c.g.recordCompletion(c)
			c.logEnd("served")
		case stepStop:
			c.logEnd("caller-left")
			c.out.Abort() // a caller that has only closed its side of the connection still reads
		case stepForwardFailure:
			c.writeFailure()
			c.logEnd("endpoint-failed")
		case stepExpire:
			c.giveUp(c.expired())
		case stepEnd:
			c.giveUp(c.stoppingProblem())
		case stepRefuse:
			c.giveUp(c.notRun(http.StatusServiceUnavailable, problem.TypeUnavailable, "no endpoint took the request").WithRetryAfter(c.retryAfterDecline()))
		default:
			c.giveUp(problem.Unknown(http.StatusBadGateway, problem.TypeOutcomeUnknown, "the endpoint's answer was lost"))
		}
		return
	}
}

func (c *call) requestState() requestState {
	_, unsent := c.guard.ProveNotRun()
	return requestState{
		MayHaveRun: !unsent,
		Idempotent: c.route.Kind == catalog.KindIdempotent, Resumable: c.route.Resumable, Started: c.events > 0 || c.headSent,
		SentAttempts: c.sent, UnsentAttempts: c.unsent, MaxAttempts: max(c.route.MaxAttempts, 1), Remaining: time.Until(c.deadline),
	}
}

// giveUp sends the caller its final answer, or aborts one that has begun: an endpoint's error answer that was buffered
// takes precedence over p.
func (c *call) giveUp(p *problem.Problem) {
	if c.failure != nil && !c.headSent {
		c.writeFailure()
		c.logEnd("endpoint-failed")
		return
	}
	if c.headSent {
		c.finalDetail, c.status = p.Detail, 0
		c.logEnd(string(p.Type))
		c.out.Abort()
		return
	}
	c.refuse(p)
	if c.workspace != nil && p.Run == problem.RunNot {
		c.g.returnQuota(time.Now(), c.workspace, c.cost, c.limit)
	}
	c.logEnd(string(p.Type))
}

// refuse sends a problem to the caller, as the only answer.
func (c *call) refuse(p *problem.Problem) {
	c.finalDetail = p.Detail
	c.status = p.Status
	c.g.metrics.refusals.WithLabelValues(string(p.Type)).Inc()
	p.RequestID = c.req.ID
	c.out.Refuse(p)
}

// attempt sends the request to an endpoint and forwards the answer.
func (c *call) attempt(ctx context.Context, a *endpointAttempt) (outcome, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a.cancel, a.startedAt = cancel, time.Now()
	c.lastAttempt, c.ending = a, answerEnding{}
	c.setCurrent(a)
	defer c.setCurrent(nil)
	defer func() { c.release(&a.choice, !a.answered) }()
	defer func() { c.endInFlight(a, false) }()

	limit := c.headTimeout(a)
	if a.via.Host != "" {
		limit = 0 // it begins once the path is open, which has a timeout of its own
	}
	wd := startWatchdog(cancel, limit, c.reserveRetry)
	defer wd.stop()
	tracker := &sendTracker{c: c, endpointAttempt: a, moved: a.kvCopy != nil, wd: wd}
	reply, err := c.g.ports.Endpoints.Forward(ctx, c.newForward(a, tracker))
	if err != nil {
		if errors.Is(err, port.ErrNotSent) {
			tracker.declined()
		}
		return c.classifyFailure(ctx, a, err)
	}
	defer reply.Body.Close()
	now := time.Now()
	if !reply.Misdirected {
		c.recordAnnouncements(now, a, reply)
	}
	if reply.Declined || reply.Misdirected {
		tracker.declined()
		c.tried[a.view.ID] = true
		c.recordDecline(now, a, reply)
		return outcomeDeclined, errors.Errorf("status %d", reply.Status)
	}
	if !reply.Authentic && reply.Status < http.StatusMultipleChoices {
		return c.classifyFailure(ctx, a, errors.Errorf("answer of status %d is not marked as authentic", reply.Status))
	}
	c.ending = answerEnding{framing: reply.Framing, kind: endingComplete}
	o, err := c.forwardReply(ctx, a, reply, wd)
	if err != nil && c.ending.kind == endingComplete {
		c.ending.kind = endingError
	}
	c.g.metrics.answerEndings.WithLabelValues(string(c.ending.framing), string(c.ending.kind)).Inc()
	if o == outcomeBroken || o == outcomeUnresponsive {
		return c.classifyFailure(ctx, a, err)
	}
	if o == outcomeComplete && !c.isStream(reply) {
		c.g.answerTime(c.service.Name).Observe(time.Since(a.startedAt))
		c.observeCall(a, reply)
	}
	c.g.fleet.Answered(time.Now(), a.view.ID, o == outcomeFailed)
	return o, err
}

func (c *call) newForward(a *endpointAttempt, tracker *sendTracker) *port.Forward {
	a.deadline = c.attemptDeadline(a.startedAt)
	f := &port.Forward{
		Request: c.req, Address: a.view.Address, Endpoint: a.view.ID,
		Via: a.via.Address, Deadline: a.deadline, Priority: c.priority(), Copy: a.kvCopy, FetchFrom: c.fetchFrom(&a.choice),
		MaxConnections: c.g.connectionLimit(c.service.MaxConnections),
		Sending:        tracker.begin,
	}
	if c.events > 0 {
		f.After = string(c.lastID)
	}
	if c.workspace != nil {
		f.Workspace = c.workspace.Name
	}
	return f
}

// priority returns the priority sent to engines; the workspace's takes precedence over the route's.
func (c *call) priority() int {
	p := c.route.Priority
	if c.workspace != nil {
		p += 3 * c.workspace.Priority
	}
	return min(max(p, 0), placement.LowestPriority)
}

// connectionLimit returns how many connections to one endpoint this host may open.
func (g *Gateway) connectionLimit(limit int) int {
	if limit <= 0 {
		return 0
	}
	return max(limit/int(max(g.hostCount.Load(), 1)), 2)
}

// classifyFailure returns the outcome of an attempt without a complete answer.
func (c *call) classifyFailure(ctx context.Context, a *endpointAttempt, err error) (outcome, error) {
	now := time.Now()
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errMoved):
		return outcomeMoved, err
	case errors.Is(cause, errCutOff):
		c.unsent++
		return outcomeUnsent, err
	case errors.Is(cause, errProcessEnds):
		return outcomeProcessEnds, err
	case errors.Is(cause, errUnresponsive):
		c.recordReach(now, a, err)
		c.tried[a.view.ID] = true
		c.markSuspect(now, a, "silent")
		return outcomeUnresponsive, err
	case errors.Is(cause, context.DeadlineExceeded) || !now.Before(c.deadline):
		return outcomeExpired, err
	case errors.Is(cause, context.Canceled):
		return outcomeCanceled, err
	case c.endedWithProcess(now, a):
		return outcomeProcessEnds, err
	case errors.Is(err, port.ErrTooManyConnections):
		c.unsent++
		c.tried[a.view.ID] = true
		return outcomeUnsent, err
	case errors.Is(err, port.ErrHelper):
		c.recordReach(now, a, err)
		c.unsent++
		return outcomeUnsent, err
	case errors.Is(err, port.ErrNotSent):
		c.recordReach(now, a, err)
		c.unsent++
		c.tried[a.view.ID] = true
		if c.g.mayUse(now, a.view.Service, a.view.Version) == nil && !c.g.fleet.Paused(now, a.view.ID) && c.evaluate(now).Verdict != quarantine.VerdictQuarantine {
			c.markSuspect(now, a, "unreachable")
		}
		return outcomeUnsent, err
	}
	garbage := errors.Is(err, port.ErrGarbage)
	if garbage {
		c.g.metrics.garbage.Inc()
		c.markSuspect(now, a, "garbage")
	}
	if c.awaitMove() {
		return outcomeMoved, err
	}
	if errors.Is(err, port.ErrHelperBroken) {
		c.recordReach(now, a, err)
		return outcomeBroken, err
	}
	c.tried[a.view.ID] = true
	if garbage {
		return outcomeBroken, err
	}
	if errors.Is(err, port.ErrEndless) {
		c.g.metrics.endless.Inc()
		c.markSuspect(now, a, "endless")
		return outcomeBroken, err
	}
	c.recordReach(now, a, err)
	c.markSuspect(now, a, "broken")
	c.examineBreak(ctx, a)
	return outcomeBroken, err
}

// markSuspect records that an endpoint does not answer this host.
func (c *call) markSuspect(now time.Time, a *endpointAttempt, reason string) {
	suspectTime := c.g.fleet.Failed(now, a.view.ID)
	c.g.metrics.stateChanges.WithLabelValues("endpoint_suspect").Inc()
	c.g.log.Warn().Str("event", "endpoint_suspect").Str("request", c.req.ID).Str("endpoint", a.view.ID).
		Str("why", reason).Dur("pause", suspectTime).Dur("entry_age", now.Sub(a.view.ListedAt)).Msg("")
}

// recordAnnouncements applies what an endpoint states about itself in an answer: that it leaves, and that it
// wants no requests for some time.
func (c *call) recordAnnouncements(now time.Time, a *endpointAttempt, reply *port.Reply) {
	if reply.HeaderFault != "" {
		c.recordHeaderFault(a, reply.HeaderFault)
	}
	if reply.Leaving {
		c.g.handleEndpointChanges(feedRead{at: now}, c.g.fleet.Leaving(now, a.view.ID))
	}
	c.g.stateLimit(now, a.view.ID, fleet.LimitStatement{PerSecond: reply.RequestLimit, At: now}, "", c.req.ID)
	c.recordRejections(now, a, reply)
	if reply.RetryAfter > 0 {
		c.g.fleet.Pause(now, a.view.ID, reply.RetryAfter)
		c.g.metrics.stateChanges.WithLabelValues("endpoint_paused").Inc()
		c.g.log.Info().Str("event", "endpoint_paused").Str("request", c.req.ID).Str("endpoint", a.view.ID).Dur("pause", reply.RetryAfter).Msg("")
	}
}

// recordHeaderFault records that a header of an endpoint's answer could not be used as sent.
func (c *call) recordHeaderFault(a *endpointAttempt, fault string) {
	c.g.metrics.headerFaults.Inc()
	c.g.log.Warn().Str("event", "endpoint_header").Str("request", c.req.ID).Str("endpoint", a.view.ID).Str("fault", fault).Msg("")
}

// recordDecline marks the endpoint suspect if another one has its address.
func (c *call) recordDecline(now time.Time, a *endpointAttempt, reply *port.Reply) {
	if reply.Misdirected {
		c.markSuspect(now, a, "another endpoint has the address")
	}
}

// retryAfterDecline returns the delay after which a caller retries when endpoints declined:
// about the time until a request ends at one of them.
func (c *call) retryAfterDecline() time.Duration {
	const delay = 150 * time.Millisecond
	return delay
}
