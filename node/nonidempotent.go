package node

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/answer"
	"github.com/cicadanotch/cicadanotch/claim"
	"github.com/cicadanotch/cicadanotch/config"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
	"github.com/cicadanotch/cicadanotch/record"
	"github.com/cicadanotch/cicadanotch/request"
)

const (
	// dispatchTimeout is how long after its claim is known to be in the log an owner
	// may still send the request.
	dispatchTimeout = 5 * time.Second
	// maxClaimsPerRequest bounds the claims appended for one request.
	maxClaimsPerRequest = 3
	// logRetryAfter is the Retry-After sent to a caller when the log does not accept
	// a claim.
	logRetryAfter = 2 * time.Second
	// retryBackoff is the delay before the next try to acquire an endpoint.
	retryBackoff = 50 * time.Millisecond
	// maxDispatchAttempts bounds the attempts to send one request, and those to resend it.
	maxDispatchAttempts = 5
	// lookupInterval is the interval between lookups of a request with an unknown
	// outcome at its service; lookupTimeout bounds all of them together.
	lookupInterval = 200 * time.Millisecond
	lookupTimeout  = 3 * time.Second
)

// nonIdempotentCall executes a call that must run at most once. Its claim is in the
// log before the first byte is sent, and only the owner of the first claim under a
// key dispatches the call.
type nonIdempotentCall struct {
	node   *Node
	a      *Accepted
	doc    *config.Document
	route  config.Route
	key    claim.Key
	digest uint64
	// permit is this process's time-limited permit to dispatch; its claim id is empty
	// before the first claim.
	permit claim.Permit
	// waitOnly is set when another host claims the call.
	waitOnly bool
	// claimCount is the number of claims made for this request.
	claimCount int
}

func (n *Node) newNonIdempotentCall(a *Accepted) *nonIdempotentCall {
	c := &nonIdempotentCall{node: n, a: a, doc: n.documentOf(a.Request.Service), digest: claimDigest(a.Request)}
	c.key = claim.Key{Service: a.Request.Service, Workspace: a.Request.Workspace, Key: claimKeyOf(a.Request)}
	if c.doc != nil {
		c.route, _ = c.doc.RouteFor(a.Request.Method, a.Request.Path)
	}
	return c
}

// executeNonIdempotent runs a non-idempotent request until its answer has ended.
func (n *Node) executeNonIdempotent(ctx context.Context, a *Accepted) {
	c := n.newNonIdempotentCall(a)
	for c.step(ctx) {
	}
}

// awaitOutcome waits for the outcome of a non-idempotent request that another host
// has begun to claim. It never claims the request itself.
func (n *Node) awaitOutcome(ctx context.Context, a *Accepted) {
	c := n.newNonIdempotentCall(a)
	c.waitOnly = true
	for c.step(ctx) {
	}
}

// claimKeyOf returns the key to claim: the caller's idempotency key or, without
// one, the request id. The prefixes prevent a collision of the two.
func claimKeyOf(r *request.Request) string {
	if r.IdempotencyKey != "" {
		return "k:" + r.IdempotencyKey
	}
	return "r:" + r.ID.String()
}

// claimDigest returns the hash of method, path and body, which distinguishes a
// duplicate from another request under the same key.
func claimDigest(r *request.Request) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(r.Method + "\x00" + r.Path + "\x00") // xxhash.Digest never returns an error
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

// step takes the next step for the current state of the key. It reports whether
// to read the state again.
func (c *nonIdempotentCall) step(ctx context.Context) bool {
	entry, known, changed := c.node.claims.Get(c.key)
	switch claim.Decide(entry, known, c.digest, c.permit.ClaimID) {
	case claim.StepClaim:
		if c.waitOnly {
			return c.awaitClaim(ctx, changed)
		}
		return c.claim(ctx)
	case claim.StepDispatch:
		c.dispatch(ctx)
	case claim.StepReplay:
		c.finish(*entry.Response)
	case claim.StepNotRetained:
		c.fail(problem.Ran(http.StatusConflict, problem.TypeOutcomeUnknown, "the order ran; its answer is not kept any more"))
	case claim.StepConflict:
		c.refuse(http.StatusUnprocessableEntity, problem.TypeConflict, "another request came first under this key")
	case claim.StepWait:
		return c.awaitOwner(ctx, entry, changed)
	}
	return false
}

func (c *nonIdempotentCall) finish(resp port.ServiceResponse) {
	_ = c.a.Answer.Finish(answer.End{Response: &resp}) // an error means that it has ended already; the first end is final
}

func (c *nonIdempotentCall) fail(p *problem.Problem) { c.node.fail(c.a, p) }

// refuse fails the request; it counts as not run if nothing was sent for it.
func (c *nonIdempotentCall) refuse(status int, t problem.Type, detail string) {
	c.fail(problem.Refuse(&c.a.guard, status, t, detail))
}

// failUnknown fails the request with an unknown outcome.
func (c *nonIdempotentCall) failUnknown(detail string) {
	c.fail(problem.Unknown(http.StatusConflict, problem.TypeOutcomeUnknown, detail))
}

// awaitClaim waits for the claim of the other host.
func (c *nonIdempotentCall) awaitClaim(ctx context.Context, changed <-chan struct{}) bool {
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		c.failUnknown("no claim of the order came from the host that had begun it")
		return false
	}
}

// claim appends a claim and waits until it has been read back. Before the append the
// request can be refused without effect; after it, this request may own the key.
func (c *nonIdempotentCall) claim(ctx context.Context) bool {
	switch {
	case ctx.Err() != nil:
		c.refuse(http.StatusGatewayTimeout, problem.TypeTimeout, "the deadline passed before the order was claimed")
		return false
	case !c.node.waitToClaim(ctx, c.a):
		c.refuse(http.StatusServiceUnavailable, problem.TypeStopping, "ask for addresses and use another entry host")
		return false
	case c.claimCount >= maxClaimsPerRequest:
		c.refuse(http.StatusServiceUnavailable, problem.TypeOverloaded, "the claim of the order was not accepted")
		return false
	}
	e, err := record.New(record.KindClaim, c.node.settings.Host, claim.Claim{
		Key: c.key, Digest: c.digest, Owner: c.node.settings.Host, Incarnation: c.node.incarnation, WindowMillis: c.window(),
	})
	if err != nil {
		c.refuse(http.StatusInternalServerError, problem.TypeUnavailable, err.Error())
		return false
	}
	c.claimCount++
	c.node.activeClaims.add(e.ID)
	err = c.appendClaim(ctx, e)
	c.permit = claim.Permit{ClaimID: e.ID, Began: time.Now(), DispatchTimeout: dispatchTimeout, Deadline: c.a.Request.Deadline}
	if err == nil {
		err = c.node.tail.await(ctx, e.ID)
	}
	switch {
	case errors.Is(err, errKeyClaimed):
		return true
	case err != nil:
		c.failUnclaimed(e.ID, err)
		return false
	}
	return true
}

// errKeyClaimed means that another claim already owns the key.
var errKeyClaimed = errors.New("another claim already owns the key")

// appendClaim appends a claim. It stops with errKeyClaimed when it sees that another
// claim owns the key: that claim may have been appended shortly before, during an
// outage of the log, and its call may have run.
func (c *nonIdempotentCall) appendClaim(ctx context.Context, e record.Envelope) error {
	p, err := c.node.writer.submit(classClaim, e)
	if err != nil {
		return err
	}
	for {
		entry, known, changed := c.node.claims.Get(c.key)
		if known && entry.ClaimID != e.ID {
			c.discardClaim(e.ID, c.node.writer.withdraw(p))
			return errKeyClaimed
		}
		select {
		case <-p.done:
			return nil
		case <-changed:
		case <-ctx.Done():
			return c.node.writer.withdraw(p)
		}
	}
}

// discardClaim removes a claim that cannot reach the log any more, and abandons a
// claim that still may.
func (c *nonIdempotentCall) discardClaim(claimID string, err error) {
	if errors.Is(err, errNotAppended) {
		c.node.activeClaims.remove(claimID)
		return
	}
	c.node.abandonClaim(c.key, claimID)
}

// failUnclaimed fails a request whose claim is not known to be in the log. The claim
// may still be appended later, so it is abandoned; nothing is ever sent under it.
func (c *nonIdempotentCall) failUnclaimed(claimID string, err error) {
	c.discardClaim(claimID, err)
	p := problem.Refuse(&c.a.guard, http.StatusServiceUnavailable, problem.TypeLogUnavailable, "the order could not be claimed: "+err.Error())
	c.fail(p.WithRetryAfter(logRetryAfter))
}

// window returns the service's idempotency window in milliseconds.
func (c *nonIdempotentCall) window() int64 {
	if c.doc == nil {
		return 0
	}
	return c.doc.IdempotencyWindow.Std().Milliseconds()
}

// dispatch sends the call once and records its outcome. It tries another endpoint
// only if the previous one did not run the call.
func (c *nonIdempotentCall) dispatch(ctx context.Context) {
	tried := map[string]bool{}
	for range maxDispatchAttempts {
		host, ok := c.acquire(ctx, tried)
		if !ok {
			break
		}
		resp, err := c.send(ctx, host)
		if err == nil {
			c.complete(resp)
			return
		}
		if _, notRun := c.a.guard.ProveNotRun(); !notRun {
			c.resolveOutcome(ctx, err)
			return
		}
		tried[host.ID] = true
	}
	c.node.abandonClaim(c.key, c.permit.ClaimID)
	c.refuse(http.StatusServiceUnavailable, problem.TypeUnavailable, "no endpoint took the order in time")
}

// mayDispatch reports whether the permit to dispatch is still valid.
func (c *nonIdempotentCall) mayDispatch(ctx context.Context) bool {
	return ctx.Err() == nil && c.permit.MayDispatch(time.Now())
}

// acquire waits for an endpoint while the permit is valid.
func (c *nonIdempotentCall) acquire(ctx context.Context, tried map[string]bool) (port.Host, bool) {
	for c.mayDispatch(ctx) {
		placed, allowed := c.node.placementFor(ctx, c.a, tried)
		if !allowed {
			c.node.failQuarantined(c.a)
			return port.Host{}, false
		}
		host, ok := c.node.acquirePlaced(c.a, placed, "")
		if ok {
			return host, true
		}
		clear(tried)
		pause(ctx, retryBackoff)
	}
	return port.Host{}, false
}

// errDispatchTimeout means that the permit had expired; nothing was sent.
var errDispatchTimeout = errors.New("the time to send the order was over")

// send makes one attempt at an acquired endpoint and releases the endpoint.
func (c *nonIdempotentCall) send(ctx context.Context, host port.Host) (port.ServiceResponse, error) {
	var resp port.ServiceResponse
	_, err := c.node.attemptAt(ctx, c.a, &runningAttempt{id: record.NewID(), host: host}, func(ctx context.Context, r *runningAttempt) error {
		if !c.mayDispatch(ctx) {
			return errDispatchTimeout
		}
		var err error
		resp, err = c.call(ctx, r)
		return err
	})
	return resp, err
}

// call sends the call to the attempt's endpoint.
func (c *nonIdempotentCall) call(ctx context.Context, r *runningAttempt) (port.ServiceResponse, error) {
	req := serviceRequest(c.a.Request, r.id)
	req.IdempotencyKey = c.endpointKey()
	recorder := c.a.newSendRecorder()
	req.OnSend = recorder.begin
	resp, err := c.node.ports.Services.Call(ctx, r.host.EndpointAddress, req)
	if err != nil {
		recorder.end(err)
	}
	return resp, err
}

// endpointKey returns the idempotency key sent to endpoints. It includes the
// workspace so that equal keys of two workspaces do not collide at an endpoint.
func (c *nonIdempotentCall) endpointKey() string {
	return url.PathEscape(c.key.Workspace) + ":" + c.key.Key
}

// complete answers the caller and records the outcome in the background, so that an
// outage of the log does not delay the answer. Until the outcome is in the log,
// other hosts ask this one for it on behalf of duplicates.
func (c *nonIdempotentCall) complete(resp port.ServiceResponse) {
	c.node.activeClaims.setResponse(c.permit.ClaimID, resp)
	c.finish(resp)
	c.node.recordOutcome(c.key, c.permit.ClaimID, resp)
}

// resolveOutcome finds the outcome of a call that ended without an answer: it sends
// the call again if the endpoints honour idempotency keys, and otherwise looks it up.
func (c *nonIdempotentCall) resolveOutcome(ctx context.Context, cause error) {
	resp, err := c.resend(ctx)
	if err != nil {
		resp, err = c.lookup(ctx)
	}
	if err == nil {
		c.complete(resp)
		return
	}
	c.node.activeClaims.remove(c.permit.ClaimID)
	c.failUnknown(cause.Error())
}

// errResendFailed means that a call must not be sent again, or that no endpoint
// answered it.
var errResendFailed = errors.New("call not resent: endpoints do not honour idempotency keys or none answered")

// errLookupFailed means that a lookup did not return the outcome of a call.
var errLookupFailed = errors.New("lookup did not return the outcome of the call")

// resend sends the call again under the same key if the endpoints honour
// idempotency keys.
func (c *nonIdempotentCall) resend(ctx context.Context) (port.ServiceResponse, error) {
	if c.doc == nil || !c.doc.Endpoints.HonoursIdempotencyKeys {
		return port.ServiceResponse{}, errResendFailed
	}
	for range maxDispatchAttempts {
		host, ok := c.node.acquire(c.a, nil)
		if !ok {
			pause(ctx, retryBackoff)
			continue
		}
		resp, err := c.call(ctx, &runningAttempt{id: record.NewID(), host: host})
		c.node.endpoints.release(c.a.Request, host.ID, nil)
		if err == nil {
			return resp, nil
		}
		pause(ctx, retryBackoff)
		if ctx.Err() != nil {
			break
		}
	}
	return port.ServiceResponse{}, errResendFailed
}

// lookup asks the service for the outcome of the call until lookupTimeout.
func (c *nonIdempotentCall) lookup(ctx context.Context) (port.ServiceResponse, error) {
	if c.route.Lookup == "" {
		return port.ServiceResponse{}, errLookupFailed
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if resp, ok := c.lookupOnce(ctx); ok {
			return resp, nil
		}
		pause(ctx, lookupInterval)
	}
	return port.ServiceResponse{}, errLookupFailed
}

// lookupOnce asks one endpoint for the outcome of the call.
func (c *nonIdempotentCall) lookupOnce(ctx context.Context) (port.ServiceResponse, bool) {
	host, ok := c.node.acquire(c.a, nil)
	if !ok {
		return port.ServiceResponse{}, false
	}
	defer c.node.endpoints.release(c.a.Request, host.ID, nil)
	resp, err := c.node.ports.Services.Call(ctx, host.EndpointAddress, port.ServiceRequest{
		AttemptID: record.NewID(),
		Method:    http.MethodGet,
		Path:      strings.ReplaceAll(c.route.Lookup, "{key}", url.PathEscape(c.endpointKey())),
		Deadline:  c.a.Request.Deadline,
	})
	return resp, err == nil && resp.Status == http.StatusOK
}
