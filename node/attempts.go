package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/admit"
	"github.com/cicadanotch/cicadanotch/attempt"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
	"github.com/cicadanotch/cicadanotch/quarantine"
	"github.com/cicadanotch/cicadanotch/record"
)

// Causes for which an attempt is cancelled or fails. Their texts are part of the
// problem details that callers receive.
var (
	errStalled      = errors.New("the connection went silent")
	errUnresponsive = errors.New("the endpoint does not answer")
	errAttemptMoved = errors.New("the attempt was moved")
	errChunkGap     = errors.New("the stream left a chunk out")
)

const (
	// unreachableSuspectTTL is how long an endpoint that accepts no connections is
	// suspect and receives no new requests; unresponsiveSuspectTTL is the same for
	// one that does not answer.
	unreachableSuspectTTL  = 2 * time.Second
	unresponsiveSuspectTTL = 10 * time.Second
	// cancelTimeout bounds the call that cancels an attempt at an engine.
	cancelTimeout = 2 * time.Second
)

// execution is the execution state of an accepted request.
type execution struct {
	// entry is the request's queue entry; nil if it needs none.
	entry *admit.Entry
	// spent is the cost of the attempts so far.
	spent float64

	mu      sync.Mutex
	current *runningAttempt
	move    *Move
	// transferDone is closed when the transfer of the current attempt's KV cache
	// ends; nil if there is none.
	transferDone chan struct{}
}

// runningAttempt is one attempt at an endpoint.
type runningAttempt struct {
	id      string
	host    port.Host
	started time.Time
	cancel  context.CancelCauseFunc
	// firstIndex is the index of the attempt's first chunk.
	firstIndex int
	// kvHandle names the KV cache to resume from; empty for none.
	kvHandle string
	// begunAt is when its answer began; partsCleared is set once it has cleared the parts of the prompt.
	begunAt      time.Time
	partsCleared bool
}

// Move specifies where a request continues.
type Move struct {
	// Host is the endpoint; empty for any.
	Host string
	// KVHandle names the KV cache imported there; empty for none.
	KVHandle string
}

// Move ends the current attempt so that the request continues as m specifies,
// from the next index. It does nothing and returns false for a non-idempotent request,
// while no attempt is running, and during a KV cache transfer.
func (a *Accepted) Move(m Move) bool {
	a.exec.mu.Lock()
	defer a.exec.mu.Unlock()
	if a.exec.current == nil || a.exec.transferDone != nil || !a.Request.Repeatable {
		return false
	}
	a.exec.move = &m
	a.exec.current.cancel(errAttemptMoved)
	return true
}

// Running returns the id and the endpoint of the current attempt.
func (a *Accepted) Running() (attemptID string, host port.Host, ok bool) {
	a.exec.mu.Lock()
	defer a.exec.mu.Unlock()
	if a.exec.current == nil {
		return "", port.Host{}, false
	}
	return a.exec.current.id, a.exec.current.host, true
}

func (a *Accepted) setCurrent(r *runningAttempt) {
	a.exec.mu.Lock()
	defer a.exec.mu.Unlock()
	a.exec.current = r
}

// takeMove returns and clears the pending move; the zero Move if there is none.
func (a *Accepted) takeMove() Move {
	a.exec.mu.Lock()
	defer a.exec.mu.Unlock()
	m := a.exec.move
	a.exec.move = nil
	if m == nil {
		return Move{}
	}
	return *m
}

// runAttempt runs one attempt; a nil error means that the answer is complete.
type runAttempt func(ctx context.Context, r *runningAttempt) error

// retry makes attempts until the answer is complete or the plan stops. If it
// returns an error, it has already failed the request.
func (n *Node) retry(ctx context.Context, a *Accepted, run runAttempt) error {
	plan := attempt.NewPlan(a.Request.Repeatable, a.Request.Deadline)
	budget := n.budget(a.Request.Service)
	budget.RecordRequest(time.Now())
	next := a.takeMove()
	var last error
	for {
		placed, allowed := n.placementFor(ctx, a, plan.Excluded())
		if !allowed {
			n.failQuarantined(a)
			return errors.Wrap(errRequestFailed, "quarantined")
		}
		host, ok := n.acquirePlaced(a, placed, next.Host)
		if !ok && next.Host != "" {
			next = Move{}
			continue
		}
		var step attempt.Step
		if ok {
			var result attempt.Result
			result, last = n.attemptAt(ctx, a, &runningAttempt{id: record.NewID(), host: host, kvHandle: next.KVHandle}, run)
			step = plan.AfterAttempt(time.Now(), result, host.ID, a.Answer.Len())
		} else {
			step = plan.NoEndpoint(time.Now())
		}
		if step.Action == attempt.ActionStop && step.Reason == attempt.StopComplete {
			return nil
		}
		if ctx.Err() != nil {
			step = attempt.Step{Action: attempt.ActionStop, Reason: attempt.StopDeadline}
		}
		if step.Action != attempt.ActionStop && !n.delay(ctx, a, budget, step) {
			step = attempt.Step{Action: attempt.ActionStop, Reason: attempt.StopUnavailable}
		}
		if step.Action == attempt.ActionStop {
			n.giveUp(a, step.Reason, last)
			return errors.Wrapf(errRequestFailed, "%s: %v", step.Reason, last)
		}
		next = a.takeMove()
		if step.Action == attempt.ActionRetrySame && next.Host == "" {
			next.Host = host.ID
		}
	}
}

// errRequestFailed is returned by retry after it has failed the request.
var errRequestFailed = errors.New("request failed")

// failQuarantined fails an accepted request that has become quarantined.
func (n *Node) failQuarantined(a *Accepted) {
	if p := n.refuseQuarantined(a.Request, &a.guard); p != nil {
		n.fail(a, p)
		return
	}
	n.giveUp(a, attempt.StopAttempts, nil) // the verdict has expired in the meantime
}

// acquirePlaced acquires an endpoint: the only one that the placement allows, the
// wanted one, or any that the placement does not avoid.
func (n *Node) acquirePlaced(a *Accepted, placed placement, wanted string) (port.Host, bool) {
	if placed.only != "" {
		host, ok := n.acquire(a, n.allExcept(a.Request.Service, placed.only))
		if !ok {
			n.inFlight.EndIsolation(placed.only)
		}
		return host, ok
	}
	if wanted != "" && !placed.avoided[wanted] {
		return n.acquire(a, n.allExcept(a.Request.Service, wanted))
	}
	if wanted != "" {
		return port.Host{}, false
	}
	if host, ok := n.acquire(a, placed.avoided); ok || len(placed.avoided) == len(placed.excluded) {
		return host, ok
	}
	return n.acquire(a, placed.excluded) // co-running with requests to avoid is better than not running
}

// allExcept returns the endpoints of a service except one.
func (n *Node) allExcept(service, endpoint string) map[string]bool {
	others := map[string]bool{}
	for _, h := range n.endpoints.all() {
		if h.Service == service && h.ID != endpoint {
			others[h.ID] = true
		}
	}
	return others
}

// attemptAt runs one attempt at an acquired endpoint, releases the endpoint and
// returns the result.
func (n *Node) attemptAt(ctx context.Context, a *Accepted, r *runningAttempt, run runAttempt) (attempt.Result, error) {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.cancel, r.started, r.firstIndex = cancel, time.Now(), a.Answer.Len()
	a.setCurrent(r)
	n.inFlight.Add(r.host.ID, r.id, quarantine.Run{Fingerprint: a.Request.Fingerprint, Parts: a.Request.Parts})
	err := run(attemptCtx, r)
	moved := err != nil && a.awaitMove(ctx)
	n.inFlight.Remove(r.host.ID, r.id, !moved && isAny(err, port.ErrEndpointBroken), time.Now())
	n.inFlight.EndIsolation(r.host.ID)
	a.setCurrent(nil)
	n.endpoints.release(a.Request, r.host.ID, usageOf(a))
	a.addSpend(r.host, time.Since(r.started))
	result := attempt.ResultMoved
	if !moved {
		result = n.resultOf(ctx, a, r, err, context.Cause(attemptCtx))
	}
	n.metrics.attempts.WithLabelValues(a.Request.Service, string(result)).Inc()
	if err != nil {
		n.logAttempt(a, r, result, err)
	}
	return result, err
}

func (n *Node) logAttempt(a *Accepted, r *runningAttempt, result attempt.Result, err error) {
	n.log.Warn().Str("request", a.Request.ID.String()).Str("attempt", r.id).
		Str("service", a.Request.Service).Str("workspace", a.Request.Workspace).
		Str("endpoint", r.host.ID).Str("result", string(result)).Err(err).Msg("attempt ended early")
}

// resultOf maps the error of an attempt to its result. After a broken connection
// it probes the endpoint, to distinguish a connection failure from an endpoint
// failure.
func (n *Node) resultOf(ctx context.Context, a *Accepted, r *runningAttempt, err, cause error) attempt.Result {
	switch {
	case err == nil:
		n.recordCompletion(a, r)
		return attempt.ResultComplete
	case errors.Is(cause, errAttemptMoved):
		return attempt.ResultMoved
	case errors.Is(cause, errStalled):
		return attempt.ResultStalled
	case errors.Is(cause, errUnresponsive):
		n.markUnresponsive(ctx, r.host)
		return attempt.ResultLost
	case errors.Is(err, errDispatchTimeout):
		return attempt.ResultUnreachable // nothing was sent, and nothing is known of the endpoint
	case errors.Is(err, port.ErrEndpointUnreachable):
		n.endpoints.routes.Suspect(r.host.ID, time.Now().Add(unreachableSuspectTTL))
		return attempt.ResultUnreachable
	case errors.Is(err, port.ErrRequestInvalid):
		return attempt.ResultInvalid
	case errors.Is(err, port.ErrDeclined), errors.Is(err, port.ErrEndpointRefused) && a.Request.Repeatable:
		return attempt.ResultRefused
	case errors.Is(err, errChunkGap):
		return attempt.ResultGap
	case ctx.Err() != nil, n.stillRuns(ctx, r.host):
		return attempt.ResultBroken
	}
	n.markUnresponsive(ctx, r.host)
	return attempt.ResultLost
}

// markUnresponsive makes an endpoint suspect for unresponsiveSuspectTTL and records
// its death.
func (n *Node) markUnresponsive(ctx context.Context, host port.Host) {
	defer n.recordEndpointDeath(ctx, host)
	n.endpoints.routes.Suspect(host.ID, time.Now().Add(unresponsiveSuspectTTL))
	n.log.Warn().Str("endpoint", host.ID).Str("service", host.Service).Msg("endpoint does not answer")
}

// delay waits before the next attempt for the longer of the plan's wait and the
// retry budget's. It returns false without waiting if the wait would pass the
// deadline.
func (n *Node) delay(ctx context.Context, a *Accepted, budget *attempt.Budget, step attempt.Step) bool {
	wait := step.Wait
	if step.Budgeted {
		wait = max(wait, budget.Reserve(time.Now()))
	}
	if time.Now().Add(wait).After(a.Request.Deadline) {
		if step.Budgeted {
			budget.Return()
		}
		return false
	}
	if wait > 0 {
		n.metrics.retryWait.WithLabelValues(a.Request.Service).Observe(wait.Seconds())
		pause(ctx, wait)
	}
	return true
}

// giveUp fails a request after its last attempt. A non-idempotent request that may
// have run ends with an unknown outcome.
func (n *Node) giveUp(a *Accepted, reason attempt.Stop, last error) {
	detail := ""
	if last != nil {
		detail = last.Error()
	}
	retryAfter := n.queues.Queue(a.Request.Service).RetryAfter(time.Now())
	var p *problem.Problem
	switch _, notRun := a.guard.ProveNotRun(); {
	case !a.Request.Repeatable && !notRun && reason != attempt.StopInvalid:
		p = problem.Unknown(http.StatusBadGateway, problem.TypeOutcomeUnknown, detail)
	case reason == attempt.StopInvalid:
		p = problem.Refuse(&a.guard, http.StatusBadRequest, problem.TypeBadRequest, detail)
	case reason == attempt.StopDeadline && !time.Now().Before(a.Request.Deadline):
		p = problem.Refuse(&a.guard, http.StatusGatewayTimeout, problem.TypeTimeout, "the deadline passed; "+detail).WithRetryAfter(retryAfter)
	default:
		p = problem.Refuse(&a.guard, http.StatusServiceUnavailable, problem.TypeUnavailable, "no endpoint took the request; "+detail).WithRetryAfter(retryAfter)
	}
	n.fail(a, p)
}

// cancelAttempt cancels, in the background, an attempt at an engine whose stream
// is no longer read.
func (n *Node) cancelAttempt(host port.Host, attemptID string) {
	n.tomb.Go(func() error {
		ctx, cancel := context.WithTimeout(n.context(), cancelTimeout)
		defer cancel()
		_ = n.ports.Engine.Cancel(ctx, host.EndpointAddress, attemptID) // an engine that is gone runs nothing
		return nil
	})
}

// budget returns the retry budget of a service.
func (n *Node) budget(service string) *attempt.Budget {
	b, ok := n.budgets.Load(service)
	if !ok {
		b, _ = n.budgets.LoadOrStore(service, attempt.NewBudget())
	}
	return b.(*attempt.Budget)
}
