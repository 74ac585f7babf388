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
	// dispatchTimeout bounds the time in which an owner may send the request. It starts
	// when the owner learns that its claim is in the log.
	dispatchTimeout = 5 * time.Second
	// maxClaimsPerRequest bounds the claims appended for one request.
	maxClaimsPerRequest = 3
	// logRetryAfter is the Retry-After sent to a caller when the log does not accept
	// a claim.
	logRetryAfter = 2 * time.Second
	// retryBackoff is the delay before the next try to acquire an endpoint.
	retryBackoff = 50 * time.Millisecond
	// maxDispatchAttempts bounds the attempts to send one request. Resending it is bounded
	// separately by the same number of tries, which include those that find no endpoint.
	maxDispatchAttempts = 5
	// lookupInterval is the interval between lookups of a request with an unknown
	// outcome at its service; lookupTimeout bounds all of them together.
	lookupInterval = 200 * time.Millisecond
	lookupTimeout  = 3 * time.Second
)

// nonIdempotentCall executes a non-idempotent request, which must run at most once. Its
// claim is in the log before the first byte is sent, and only the owner of the first
// claim under a key dispatches the request.
type nonIdempotentCall struct {
	node     *Node
	accepted *Accepted
	doc      *config.Document
	route    config.Route
	// key identifies the request in the log and in the claim table; endpoints receive
	// endpointKey instead.
	key    claim.Key
	digest uint64
	// permit is this process's time-limited permit to dispatch; its claim id is empty
	// before the first claim.
	permit claim.Permit
	// waitOnly is set when another host has begun to claim the request; this one then
	// never claims it.
	waitOnly bool
	// claimCount is the number of claims made for this request.
	claimCount int
}

func (n *Node) newNonIdempotentCall(a *Accepted) *nonIdempotentCall {
	c := &nonIdempotentCall{node: n, accepted: a, doc: n.documentOf(a.Request.Service), digest: claimDigest(a.Request)}
	c.key = claim.Key{Service: a.Request.Service, Workspace: a.Request.Workspace, Key: claimKeyOf(a.Request)}
	if c.doc != nil {
		c.route, _ = c.doc.RouteFor(a.Request.Method, a.Request.Path) // without a route there is no lookup
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
	_ = c.accepted.Answer.Finish(answer.End{Response: &resp}) // an error means that it has ended already; the first end is final
}

func (c *nonIdempotentCall) fail(p *problem.Problem) { c.node.fail(c.accepted, p) }

// refuse fails the request. It counts as not run if nothing was sent for it, or if the
// endpoints declined every attempt that was sent.
func (c *nonIdempotentCall) refuse(status int, t problem.Type, detail string) {
	c.fail(problem.Refuse(&c.accepted.guard, status, t, detail))
}

// failUnknown fails the request with an unknown outcome.
func (c *nonIdempotentCall) failUnknown(detail string) {
	c.fail(problem.Unknown(http.StatusConflict, problem.TypeOutcomeUnknown, detail))
}

// awaitClaim waits until the state of the key changes, as it does once the claim of the
// other host is in the log. It reports whether to read the state again.
func (c *nonIdempotentCall) awaitClaim(ctx context.Context, changed <-chan struct{}) bool {
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		c.failUnknown("no claim of the order came from the host that had begun it")
		return false
	}
}

// claim appends a claim and waits until it has been read back. It reports whether to
// read the state of the key again. Before the append the request can be refused without
// effect; after it, this request may own the key.
func (c *nonIdempotentCall) claim(ctx context.Context) bool {
	switch {
	case ctx.Err() != nil:
		c.refuse(http.StatusGatewayTimeout, problem.TypeTimeout, "the deadline passed before the order was claimed")
		return false
	case !c.node.waitToClaim(ctx, c.accepted):
		c.refuse(http.StatusServiceUnavailable, problem.TypeStopping, "ask for addresses and use another entry host")
		return false
	case c.claimCount >= maxClaimsPerRequest:
		c.refuse(http.StatusServiceUnavailable, problem.TypeOverloaded, "the claim of the order was not accepted")
		return false
	}
	envelope, err := record.New(record.KindClaim, c.node.settings.Host, claim.Claim{
		Key: c.key, Digest: c.digest, Owner: c.node.settings.Host, Incarnation: c.node.incarnation, WindowMillis: c.windowMillis(),
	})
	if err != nil {
		c.refuse(http.StatusInternalServerError, problem.TypeUnavailable, err.Error())
		return false
	}
	c.claimCount++
	c.node.activeClaims.add(envelope.ID)
	err = c.appendClaim(ctx, envelope)
	// The permit is set before err is checked: step and awaitOwner read its claim id after
	// errKeyClaimed too.
	c.permit = claim.Permit{ClaimID: envelope.ID, Began: time.Now(), DispatchTimeout: dispatchTimeout, Deadline: c.accepted.Request.Deadline}
	if err == nil {
		err = c.node.tail.await(ctx, envelope.ID)
	}
	switch {
	case errors.Is(err, errKeyClaimed):
		return true
	case err != nil:
		c.failUnclaimed(envelope.ID, err)
		return false
	}
	return true
}

// errKeyClaimed means that another claim already owns the key.
var errKeyClaimed = errors.New("another claim already owns the key")

// appendClaim appends a claim. It stops with errKeyClaimed when it sees that another
// claim owns the key: that claim may have been appended shortly before, during an
// outage of the log, and its request may have run.
func (c *nonIdempotentCall) appendClaim(ctx context.Context, envelope record.Envelope) error {
	pending, err := c.node.writer.submit(classClaim, envelope)
	if err != nil {
		return err
	}
	for {
		entry, known, changed := c.node.claims.Get(c.key)
		if known && entry.ClaimID != envelope.ID {
			c.discardClaim(envelope.ID, c.node.writer.withdraw(pending))
			return errKeyClaimed
		}
		select {
		case <-pending.done:
			return nil
		case <-changed:
		case <-ctx.Done():
			return c.node.writer.withdraw(pending)
		}
	}
}

// discardClaim removes a claim if err is errNotAppended, which means that the claim
// cannot reach the log any more. With any other err, nil included, the claim is in the
// log or may still reach it, and is abandoned.
func (c *nonIdempotentCall) discardClaim(claimID string, err error) {
	if errors.Is(err, errNotAppended) {
		c.node.activeClaims.remove(claimID)
		return
	}
	c.node.abandonClaim(c.key, claimID)
}

// failUnclaimed fails a request whose claim was not appended, or was not read back. A
// claim that is in the log or may still reach it is abandoned; nothing is ever sent
// under it.
func (c *nonIdempotentCall) failUnclaimed(claimID string, err error) {
	c.discardClaim(claimID, err)
	p := problem.Refuse(&c.accepted.guard, http.StatusServiceUnavailable, problem.TypeLogUnavailable, "the order could not be claimed: "+err.Error())
	c.fail(p.WithRetryAfter(logRetryAfter))
}

// windowMillis returns the service's idempotency window in milliseconds; zero without a
// document.
func (c *nonIdempotentCall) windowMillis() int64 {
	if c.doc == nil {
		return 0
	}
	return c.doc.IdempotencyWindow.Std().Milliseconds()
}

// dispatch makes attempts to run the request and records its outcome. It tries another
// endpoint only if the request is proven not to have run: it was not sent, or every
// endpoint that received it declined it.
func (c *nonIdempotentCall) dispatch(ctx context.Context) {
	tried := map[string]bool{}
	for range maxDispatchAttempts {
		endpoint, ok := c.awaitEndpoint(ctx, tried)
		if !ok {
			break
		}
		resp, err := c.makeAttempt(ctx, endpoint)
		if err == nil {
			c.complete(resp)
			return
		}
		if _, notRun := c.accepted.guard.ProveNotRun(); !notRun {
			c.resolveOutcome(ctx, err)
			return
		}
		tried[endpoint.ID] = true
	}
	// Nothing has run: every attempt that was sent was declined.
	c.node.abandonClaim(c.key, c.permit.ClaimID)
	// No effect if awaitEndpoint has failed the request as quarantined: the first end is final.
	c.refuse(http.StatusServiceUnavailable, problem.TypeUnavailable, "no endpoint took the order in time")
}

// mayDispatch reports whether the permit to dispatch is still valid.
func (c *nonIdempotentCall) mayDispatch(ctx context.Context) bool {
	return ctx.Err() == nil && c.permit.MayDispatch(time.Now())
}

// awaitEndpoint acquires an endpoint, and waits for a free one while the permit is valid.
// The endpoints in tried are excluded at first. If no other one is free, it empties
// tried, so that they may be chosen again. If the request is quarantined, it fails the
// request.
func (c *nonIdempotentCall) awaitEndpoint(ctx context.Context, tried map[string]bool) (port.Host, bool) {
	for c.mayDispatch(ctx) {
		placed, allowed := c.node.placementFor(ctx, c.accepted, tried)
		if !allowed {
			c.node.failQuarantined(c.accepted)
			return port.Host{}, false
		}
		endpoint, ok := c.node.acquirePlaced(c.accepted, placed, "")
		if ok {
			return endpoint, true
		}
		clear(tried)
		pause(ctx, retryBackoff)
	}
	return port.Host{}, false
}

// errDispatchTimeout means that the permit had expired or the context had ended before
// an attempt was sent; nothing was sent for that attempt.
var errDispatchTimeout = errors.New("the time to send the order was over")

// makeAttempt makes one attempt at an acquired endpoint and releases the endpoint.
func (c *nonIdempotentCall) makeAttempt(ctx context.Context, endpoint port.Host) (port.ServiceResponse, error) {
	var resp port.ServiceResponse
	_, err := c.node.attemptAt(ctx, c.accepted, &runningAttempt{id: record.NewID(), host: endpoint}, func(ctx context.Context, r *runningAttempt) error {
		if !c.mayDispatch(ctx) {
			return errDispatchTimeout
		}
		var err error
		resp, err = c.callEndpoint(ctx, r)
		return err
	})
	return resp, err
}

// callEndpoint sends the request to the attempt's endpoint and returns the response.
func (c *nonIdempotentCall) callEndpoint(ctx context.Context, r *runningAttempt) (port.ServiceResponse, error) {
	req := serviceRequest(c.accepted.Request, r.id)
	req.IdempotencyKey = c.endpointKey()
	recorder := c.accepted.newSendRecorder()
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

// resolveOutcome finds the outcome of a request that was sent and got no answer. It sends
// the request again if the endpoints honour idempotency keys. If that is not allowed or
// fails, it looks the outcome up.
func (c *nonIdempotentCall) resolveOutcome(ctx context.Context, cause error) {
	resp, err := c.resend(ctx)
	if err != nil {
		resp, err = c.lookup(ctx)
	}
	if err == nil {
		c.complete(resp)
		return
	}
	// The claim is no longer active, so that duplicates of the request try to find the
	// outcome themselves.
	c.node.activeClaims.remove(c.permit.ClaimID)
	c.failUnknown(cause.Error())
}

// errResendFailed means that a request must not be sent again, because its endpoints do
// not honour idempotency keys, or that no endpoint answered it when it was.
var errResendFailed = errors.New("resend failed: endpoints do not honour idempotency keys or none answered")

// errLookupFailed means that a lookup did not return the outcome of a request, or that
// the route has none.
var errLookupFailed = errors.New("lookup did not return the outcome of the request")

// resend sends the request again under the same key if the endpoints honour idempotency
// keys. Unlike dispatch, it needs no permit and does not consult the quarantine.
func (c *nonIdempotentCall) resend(ctx context.Context) (port.ServiceResponse, error) {
	if c.doc == nil || !c.doc.Endpoints.HonoursIdempotencyKeys {
		return port.ServiceResponse{}, errResendFailed
	}
	for range maxDispatchAttempts {
		endpoint, ok := c.node.acquire(c.accepted, nil)
		if !ok {
			pause(ctx, retryBackoff)
			continue
		}
		resp, err := c.callEndpoint(ctx, &runningAttempt{id: record.NewID(), host: endpoint})
		c.node.endpoints.release(c.accepted.Request, endpoint.ID, nil)
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

// lookup asks the service for the outcome of the request, at most for lookupTimeout. Any
// of its endpoints may be asked.
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

// lookupOnce asks one endpoint for the outcome of the request. It reports whether the
// endpoint returned one.
func (c *nonIdempotentCall) lookupOnce(ctx context.Context) (port.ServiceResponse, bool) {
	endpoint, ok := c.node.acquire(c.accepted, nil)
	if !ok {
		return port.ServiceResponse{}, false
	}
	defer c.node.endpoints.release(c.accepted.Request, endpoint.ID, nil)
	resp, err := c.node.ports.Services.Call(ctx, endpoint.EndpointAddress, port.ServiceRequest{
		AttemptID: record.NewID(),
		Method:    http.MethodGet,
		Path:      strings.ReplaceAll(c.route.Lookup, "{key}", url.PathEscape(c.endpointKey())),
		Deadline:  c.accepted.Request.Deadline,
	})
	return resp, err == nil && resp.Status == http.StatusOK
}
