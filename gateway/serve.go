package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cicadanotch/cicadanotch/catalog"
	"github.com/cicadanotch/cicadanotch/overload"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
	"github.com/cicadanotch/cicadanotch/quarantine"
	"github.com/cicadanotch/cicadanotch/quota"
)

// Responder writes one answer to a caller.
type Responder interface {
	// Begin sends the head of an endpoint's answer; length is negative when it is not known.
	Begin(status int, header http.Header, length int64) error
	// Write sends a part of the body and does not retain p.
	Write(p []byte) error
	// Refuse sends an answer of the host itself, as the only answer.
	Refuse(p *problem.Problem)
	// Abort closes the connection, so that a partial answer does not look complete. It may end by a panic, as
	// net/http wants it.
	Abort()
}

const (
	// firstConfigTimeout is how long a request waits for the first configuration of a process that
	// has just started: reading it takes some milliseconds, or round trips between regions.
	firstConfigTimeout = 250 * time.Millisecond
	// noConfigRetryAfter is the delay after which a caller retries on a host that has no
	// configuration yet.
	noConfigRetryAfter = 500 * time.Millisecond
	// noEndpointRetryAfter is the delay after which a caller retries if a service has no endpoint:
	// about the time until one is listed again.
	noEndpointRetryAfter = 700 * time.Millisecond
	// defaultRequestTimeout applies when neither the caller nor the route states a timeout.
	defaultRequestTimeout = time.Minute
)

// Serve answers one request. It returns when the answer has been sent or the caller has
// disconnected. ctx ends when the caller closes the connection.
func (g *Gateway) Serve(ctx context.Context, arrived time.Time, req *port.Request, out Responder) {
	c := &call{g: g, req: req, out: out, arrived: arrived, wholeAt: time.Now()}
	defer func() { c.failureHeld.release() }()
	g.awaitConfiguration(ctx)
	if p := c.plan(g.catalog.Current()); p != nil {
		c.refuse(p)
		c.logEnd("refused")
		return
	}
	if p := c.refuseQuarantined(arrived); p != nil {
		c.refuse(p)
		c.logEnd("refused")
		return
	}
	if p := c.refuseIfStopping(time.Now()); p != nil {
		c.refuse(p)
		c.logEnd("refused")
		return
	}
	if p := c.resolveOrigin(ctx); p != nil {
		c.refuse(p)
		c.logEnd("refused")
		return
	}
	if p := c.admit(); p != nil {
		c.refuse(p)
		c.logEnd("refused")
		return
	}
	g.calls.add(c)
	defer g.calls.remove(c)
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	ctx, c.cancel = context.WithCancelCause(ctx)
	defer c.cancel(nil)
	defer context.AfterFunc(g.endContext, c.endWithProcess)()
	c.run(ctx)
}

// awaitConfiguration waits for the first configuration of a process that has just started.
func (g *Gateway) awaitConfiguration(ctx context.Context) {
	if g.hasConfig.Load() || time.Since(g.startedAt) > firstConfigTimeout {
		return
	}
	select {
	case <-g.configured:
	case <-time.After(firstConfigTimeout):
	case <-ctx.Done():
	}
}

// plan sets the route, the workspace, the service and the deadline of a request, and the event after which its caller
// continues a stream.
func (c *call) plan(snapshot *catalog.Snapshot) *problem.Problem {
	if snapshot == nil {
		return c.notRun(http.StatusServiceUnavailable, problem.TypeUnavailable, "no configuration yet").WithRetryAfter(noConfigRetryAfter)
	}
	c.version, c.snapshot = snapshot.Version, snapshot
	c.route = snapshot.Match(c.req.Host, c.req.Path)
	if c.route == nil {
		return problem.Refuse(&c.guard, http.StatusNotFound, problem.TypeNotFound, "no route matches")
	}
	if !c.route.Public {
		c.workspace = snapshot.Authenticate(c.req.Key)
		if c.workspace == nil {
			return problem.Refuse(&c.guard, http.StatusUnauthorized, problem.TypeUnauthorized, "no workspace has this key")
		}
	}
	workspace := ""
	if c.workspace != nil {
		workspace = c.workspace.Name
	}
	if id := []byte(c.req.ResumeAfter); c.route.Resumable && isEventID(id) {
		c.lastID = id
	}
	c.fingerprint = quarantine.Fingerprint(c.req.Host, workspace, c.req.Method, c.req.Target, c.req.Body)
	c.partKeys = quarantine.PartKeys(c.sharedParts())
	name := c.route.Service(c.req.ID)
	service, ok := snapshot.Services[name]
	if !ok {
		return c.notRun(http.StatusServiceUnavailable, problem.TypeUnavailable, "the route's service is not configured").WithRetryAfter(noEndpointRetryAfter)
	}
	c.service = service
	c.deadline = c.arrived.Add(defaultRequestTimeout)
	if c.route.Timeout > 0 {
		c.deadline = c.arrived.Add(c.route.Timeout)
	}
	if timeout := c.req.CallerTimeout; timeout > 0 && c.arrived.Add(timeout).Before(c.deadline) {
		c.deadline = c.arrived.Add(timeout)
	}
	return nil
}

// admit enforces the workspace's limit.
func (c *call) admit() *problem.Problem {
	if c.workspace == nil {
		return nil
	}
	tokens := -1
	if c.req.HasTokens {
		tokens = c.req.PromptTokens + c.req.AnswerTokens
	}
	c.cost = quota.Cost(c.workspace.Limit, tokens)
	c.limit = c.g.takeQuota(c.arrived, c.workspace, c.cost)
	if c.limit.taken {
		return nil
	}
	return c.notRun(http.StatusTooManyRequests, problem.TypeLimit, "the workspace is over its limit").WithRetryAfter(overload.WithinObjective(c.limit.retryAfter, c.route.Target))
}

// notRun returns a refusal of a request that was not sent, or that every endpoint declined. Without
// proof of that it returns a failure that leaves open whether the request ran.
func (c *call) notRun(status int, t problem.Type, detail string) *problem.Problem {
	if proof, ok := c.guard.ProveNotRun(); ok {
		return problem.NotRun(proof, status, t, detail)
	}
	return problem.Unknown(http.StatusBadGateway, t, detail)
}

// expired returns the answer to a request whose deadline has passed.
func (c *call) expired() *problem.Problem {
	if proof, ok := c.guard.ProveNotRun(); ok {
		return problem.NotRun(proof, http.StatusServiceUnavailable, problem.TypeTimeout, "the time of the request is over")
	}
	return problem.Unknown(http.StatusGatewayTimeout, problem.TypeTimeout, "the time of the request is over")
}
