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
	"github.com/cicadanotch/cicadanotch/record"
)

// Causes for which an attempt is cancelled.
var (
	errSilent = errors.New("the connection went silent")
	errLost   = errors.New("the endpoint does not answer")
	errMoved  = errors.New("the attempt was moved")
	errGap    = errors.New("the stream left a chunk out")
)

const (
	// unreachableFor keeps new work from an endpoint that takes no
	// connections, lostFor from one that does not answer.
	unreachableFor = 2 * time.Second
	lostFor        = 10 * time.Second
	// cancelTimeout bounds the cancel call of an abandoned attempt.
	cancelTimeout = 2 * time.Second
)

// work is what an accepted request has under way.
type work struct {
	// entry is its place in the queue; nil when it needs none.
	entry *admit.Entry
	// spent is what its attempts cost so far.
	spent float64

	mu      sync.Mutex
	current *running
	move    *Move
	// moving is closed when the transfer of the current attempt's KV cache
	// has ended; nil while there is none.
	moving chan struct{}
}

// running is one attempt at an endpoint.
type running struct {
	id      string
	host    port.Host
	started time.Time
	cancel  context.CancelCauseFunc
	// from is the index of its first chunk.
	from int
	// kvHandle names the KV cache to go on from; empty for none.
	kvHandle string
}

// Move tells where an attempt goes on.
type Move struct {
	// Host is the endpoint; empty for any.
	Host string
	// KVHandle names the KV cache imported there; empty for none.
	KVHandle string
}

// Move ends the current attempt so that the request goes on elsewhere, from
// the next index. It reports false when no attempt is under way, and for calls
// that may run only once.
func (a *Accepted) Move(m Move) bool {
	a.work.mu.Lock()
	defer a.work.mu.Unlock()
	if a.work.current == nil || a.work.moving != nil || !a.Request.Repeatable {
		return false
	}
	a.work.move = &m
	a.work.current.cancel(errMoved)
	return true
}

// Running returns the id and the endpoint of the current attempt.
func (a *Accepted) Running() (attemptID string, host port.Host, ok bool) {
	a.work.mu.Lock()
	defer a.work.mu.Unlock()
	if a.work.current == nil {
		return "", port.Host{}, false
	}
	return a.work.current.id, a.work.current.host, true
}

func (a *Accepted) setCurrent(r *running) {
	a.work.mu.Lock()
	defer a.work.mu.Unlock()
	a.work.current = r
}

func (a *Accepted) takeMove() Move {
	a.work.mu.Lock()
	defer a.work.mu.Unlock()
	m := a.work.move
	a.work.move = nil
	if m == nil {
		return Move{}
	}
	return *m
}

// runAttempt carries one attempt out; nil means that the answer is whole.
type runAttempt func(ctx context.Context, r *running) error

// retry makes attempts until the answer is whole or the plan gives up.
func (n *Node) retry(ctx context.Context, a *Accepted, run runAttempt) error {
	plan := attempt.NewPlan(a.Request.Repeatable, a.Request.Deadline)
	budget := n.budget(a.Request.Service)
	budget.Fresh(time.Now())
	next := a.takeMove()
	var last error
	for {
		where, allowed := n.place(ctx, a, plan.Tried())
		if !allowed {
			n.failQuarantined(a)
			return errors.Wrap(errGivenUp, "quarantined")
		}
		host, ok := n.chooseFor(a, where, next.Host)
		if !ok && next.Host != "" {
			next = Move{}
			continue
		}
		var step attempt.Step
		if ok {
			var result attempt.Result
			result, last = n.attemptAt(ctx, a, &running{id: record.NewID(), host: host, kvHandle: next.KVHandle}, run)
			step = plan.After(time.Now(), result, host.ID, a.Answer.Len())
		} else {
			step = plan.NoEndpoint(time.Now())
		}
		if step.Action == attempt.ActionStop && step.Reason == attempt.StopWhole {
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
			return errors.Wrapf(errGivenUp, "%s: %v", step.Reason, last)
		}
		next = a.takeMove()
		if step.Action == attempt.ActionSame && next.Host == "" {
			next.Host = host.ID
		}
	}
}

// errGivenUp is returned by retry after the request has got its final answer.
var errGivenUp = errors.New("request given up")

// failQuarantined ends an accepted request that is quarantined by now.
func (n *Node) failQuarantined(a *Accepted) {
	if p := n.refuseQuarantined(a.Request, &a.guard); p != nil {
		n.fail(a, p)
		return
	}
	n.giveUp(a, attempt.StopAttempts, nil) // the verdict expired meanwhile
}

// chooseFor books an endpoint: the one to run alone at, the wanted one, or any
// that is not to be kept away from.
func (n *Node) chooseFor(a *Accepted, where placement, wanted string) (port.Host, bool) {
	if where.alone != "" {
		host, ok := n.acquire(a, n.allBut(a.Request.Service, where.alone))
		if !ok {
			n.flights.share(where.alone)
		}
		return host, ok
	}
	if wanted != "" && !where.away[wanted] {
		return n.acquire(a, n.allBut(a.Request.Service, wanted))
	}
	if wanted != "" {
		return port.Host{}, false
	}
	if host, ok := n.acquire(a, where.away); ok || len(where.away) == len(where.tried) {
		return host, ok
	}
	return n.acquire(a, where.tried) // beside company rather than not at all
}

// allBut returns the endpoints of a service but one.
func (n *Node) allBut(service, endpoint string) map[string]bool {
	others := map[string]bool{}
	for _, h := range n.endpoints.all() {
		if h.Service == service && h.ID != endpoint {
			others[h.ID] = true
		}
	}
	return others
}

// attemptAt runs one attempt at a booked endpoint and says how it ended.
func (n *Node) attemptAt(ctx context.Context, a *Accepted, r *running, run runAttempt) (attempt.Result, error) {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.cancel, r.started, r.from = cancel, time.Now(), a.Answer.Len()
	a.setCurrent(r)
	n.flights.enter(r.host.ID, r.id, a.Request.Fingerprint)
	err := run(attemptCtx, r)
	moved := err != nil && a.awaitMove(ctx)
	n.flights.leave(r.host.ID, r.id, !moved && isAny(err, port.ErrEndpointBroken), time.Now())
	n.flights.share(r.host.ID)
	a.setCurrent(nil)
	n.endpoints.release(a.Request, r.host.ID, usageOf(a))
	a.bookSpend(r.host, time.Since(r.started))
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

func (n *Node) logAttempt(a *Accepted, r *running, result attempt.Result, err error) {
	n.log.Warn().Str("request", a.Request.ID.String()).Str("attempt", r.id).
		Str("service", a.Request.Service).Str("workspace", a.Request.Workspace).
		Str("endpoint", r.host.ID).Str("result", string(result)).Err(err).Msg("attempt ended early")
}

// resultOf turns the error of an attempt into its result; a broken connection
// is looked into, to tell the connection's end from the endpoint's.
func (n *Node) resultOf(ctx context.Context, a *Accepted, r *running, err, cause error) attempt.Result {
	switch {
	case err == nil:
		n.quarantine.Whole(time.Now(), a.Request.Fingerprint)
		return attempt.ResultWhole
	case errors.Is(cause, errMoved):
		return attempt.ResultMoved
	case errors.Is(cause, errSilent):
		return attempt.ResultSilent
	case errors.Is(cause, errLost):
		n.lost(ctx, r.host)
		return attempt.ResultLost
	case errors.Is(err, port.ErrEndpointUnreachable):
		n.endpoints.routes.Suspect(r.host.ID, time.Now().Add(unreachableFor))
		return attempt.ResultUnreachable
	case errors.Is(err, port.ErrRequestInvalid):
		return attempt.ResultInvalid
	case errors.Is(err, port.ErrDeclined), errors.Is(err, port.ErrEndpointRefused) && a.Request.Repeatable:
		return attempt.ResultRefused
	case errors.Is(err, errGap):
		return attempt.ResultGap
	case ctx.Err() != nil, n.stillRuns(ctx, r.host):
		return attempt.ResultBroken
	}
	n.lost(ctx, r.host)
	return attempt.ResultLost
}

// lost keeps new work from an endpoint for a while and books its death.
func (n *Node) lost(ctx context.Context, host port.Host) {
	defer n.endpointDied(ctx, host)
	n.endpoints.routes.Suspect(host.ID, time.Now().Add(lostFor))
	n.log.Warn().Str("endpoint", host.ID).Str("service", host.Service).Msg("endpoint does not answer")
}

// delay waits before the next attempt for the plan's and the budget's time. It
// reports false when that does not fit the deadline.
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

// giveUp gives a request its final answer after the last attempt.
func (n *Node) giveUp(a *Accepted, reason attempt.Stop, last error) {
	detail := ""
	if last != nil {
		detail = last.Error()
	}
	retryAfter := n.queues.Queue(a.Request.Service).RetryAfter(time.Now())
	var p *problem.Problem
	switch _, unsent := a.guard.Unsent(); {
	case !a.Request.Repeatable && !unsent && reason != attempt.StopInvalid:
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

// abandon tells an engine to stop an attempt whose answer nobody reads.
func (n *Node) abandon(host port.Host, attemptID string) {
	n.tomb.Go(func() error {
		ctx, cancel := context.WithTimeout(n.context(), cancelTimeout)
		defer cancel()
		_ = n.ports.Engine.Cancel(ctx, host.EndpointAddress, attemptID) // an engine that is gone runs nothing
		return nil
	})
}

func (n *Node) budget(service string) *attempt.Budget {
	b, ok := n.budgets.Load(service)
	if !ok {
		b, _ = n.budgets.LoadOrStore(service, attempt.NewBudget())
	}
	return b.(*attempt.Budget)
}
