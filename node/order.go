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
	// dispatchLimit is how long after its claim is in the log an owner may
	// still send an order.
	dispatchLimit = 5 * time.Second
	// orderClaims bounds the claims that one request makes.
	orderClaims = 3
	// logRetryAfter is the advice to a caller when the log takes no claim.
	logRetryAfter = 2 * time.Second
	// retryBackoff is the pause before endpoints are asked for again.
	retryBackoff = 50 * time.Millisecond
	// orderAttempts bounds the endpoints that an order is offered to.
	orderAttempts = 5
	// lookupInterval and lookupLimit say how an order with an unknown end is
	// looked up at its service.
	lookupInterval = 200 * time.Millisecond
	lookupLimit    = 3 * time.Second
)

// order is a call that must run at most once, in the hands of this process:
// its claim is in the log before the first byte goes out, and only the owner
// of the first claim dispatches.
type order struct {
	node   *Node
	a      *Accepted
	doc    *config.Document
	route  config.Route
	key    claim.Key
	digest uint64
	hold   claim.Hold
	// follows is set when another host claims the order.
	follows bool
	// claims counts the claims made for this request.
	claims int
}

func (n *Node) newOrder(a *Accepted) *order {
	o := &order{node: n, a: a, doc: n.documentOf(a.Request.Service), digest: orderDigest(a.Request)}
	o.key = claim.Key{Service: a.Request.Service, Workspace: a.Request.Workspace, Key: orderKey(a.Request)}
	if o.doc != nil {
		o.route, _ = o.doc.RouteFor(a.Request.Method, a.Request.Path)
	}
	return o
}

// executeOrder runs an order to its end.
func (n *Node) executeOrder(ctx context.Context, a *Accepted) {
	o := n.newOrder(a)
	for o.step(ctx) {
	}
}

// awaitOutcome follows an order that another host has begun to claim, and
// never claims it.
func (n *Node) awaitOutcome(ctx context.Context, a *Accepted) {
	o := n.newOrder(a)
	o.follows = true
	for o.step(ctx) {
	}
}

// orderKey returns the caller's idempotency key, or the request id.
func orderKey(r *request.Request) string {
	if r.IdempotencyKey != "" {
		return "k:" + r.IdempotencyKey
	}
	return "r:" + r.ID.String()
}

// orderDigest returns the hash of what the request asks for.
func orderDigest(r *request.Request) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(r.Method + "\x00" + r.Path + "\x00") // never fails; see xxhash
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

// step does what the key's state asks for; it reports whether to look again.
func (o *order) step(ctx context.Context) bool {
	entry, known, changed := o.node.claims.Get(o.key)
	switch claim.Decide(entry, known, o.digest, o.hold.ClaimID) {
	case claim.StepClaim:
		if o.follows {
			return o.awaitClaim(ctx, changed)
		}
		return o.claim(ctx)
	case claim.StepDispatch:
		o.dispatch(ctx)
	case claim.StepReplay:
		o.finish(*entry.Response)
	case claim.StepNotKept:
		o.fail(problem.Ran(http.StatusConflict, problem.TypeOutcomeUnknown, "the order ran; its answer is not kept any more"))
	case claim.StepConflict:
		o.refuse(http.StatusUnprocessableEntity, problem.TypeConflict, "another request came first under this key")
	case claim.StepWait:
		return o.wait(ctx, entry, changed)
	}
	return false
}

func (o *order) finish(resp port.ServiceResponse) {
	_ = o.a.Answer.Finish(answer.End{Response: &resp}) // ended before: the first end stands
}

func (o *order) fail(p *problem.Problem) { o.node.fail(o.a, p) }

// refuse ends the request as not run, if nothing was sent for it.
func (o *order) refuse(status int, t problem.Type, detail string) {
	o.fail(problem.Refuse(&o.a.guard, status, t, detail))
}

func (o *order) unknown(detail string) {
	o.fail(problem.Unknown(http.StatusConflict, problem.TypeOutcomeUnknown, detail))
}

// awaitClaim waits for the other host's claim.
func (o *order) awaitClaim(ctx context.Context, changed <-chan struct{}) bool {
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		o.unknown("no claim of the order came from the host that had begun it")
		return false
	}
}

// claim appends a claim and waits until it was read back. Waiting before it
// costs nothing; from the append on, the key may be owned by this request.
func (o *order) claim(ctx context.Context) bool {
	switch {
	case ctx.Err() != nil:
		o.refuse(http.StatusGatewayTimeout, problem.TypeTimeout, "the deadline passed before the order was claimed")
		return false
	case !o.node.mayClaim(ctx, o.a):
		o.refuse(http.StatusServiceUnavailable, problem.TypeStopping, "ask for addresses and use another entry host")
		return false
	case o.claims >= orderClaims:
		o.refuse(http.StatusServiceUnavailable, problem.TypeOverloaded, "the claim of the order was not accepted")
		return false
	}
	e, err := record.New(record.KindClaim, o.node.settings.Host, claim.Claim{
		Key: o.key, Digest: o.digest, Owner: o.node.settings.Host, Incarnation: o.node.incarnation, Window: o.window(),
	})
	if err != nil {
		o.refuse(http.StatusInternalServerError, problem.TypeUnavailable, err.Error())
		return false
	}
	o.claims++
	o.node.orders.begin(e.ID)
	err = o.appendClaim(ctx, e)
	o.hold = claim.Hold{ClaimID: e.ID, Began: time.Now(), Limit: dispatchLimit, Deadline: o.a.Request.Deadline}
	if err == nil {
		err = o.node.tail.await(ctx, e.ID)
	}
	switch {
	case errors.Is(err, errClaimedElsewhere):
		return true
	case err != nil:
		o.notClaimed(e.ID, err)
		return false
	}
	return true
}

// errClaimedElsewhere means that another claim came first.
var errClaimedElsewhere = errors.New("another claim came first")

// appendClaim appends a claim, until another one is seen to own the key: in an
// outage of the log that claim may have landed just before, and the order may
// have run.
func (o *order) appendClaim(ctx context.Context, e record.Envelope) error {
	p, err := o.node.writer.submit(classOrder, e)
	if err != nil {
		return err
	}
	for {
		entry, known, changed := o.node.claims.Get(o.key)
		if known && entry.ClaimID != e.ID {
			o.dropClaim(e.ID, o.node.writer.withdraw(p))
			return errClaimedElsewhere
		}
		select {
		case <-p.done:
			return nil
		case <-changed:
		case <-ctx.Done():
			return o.node.writer.withdraw(p)
		}
	}
}

// dropClaim forgets a claim that cannot land, and abandons one that may.
func (o *order) dropClaim(claimID string, err error) {
	if errors.Is(err, errNotAppended) {
		o.node.orders.end(claimID)
		return
	}
	o.node.abandonClaim(o.key, claimID)
}

// notClaimed ends a request whose claim is not known to be in the log. The
// claim may land later: it is abandoned, and nothing is ever sent under it.
func (o *order) notClaimed(claimID string, err error) {
	o.dropClaim(claimID, err)
	p := problem.Refuse(&o.a.guard, http.StatusServiceUnavailable, problem.TypeLogUnavailable, "the order could not be claimed: "+err.Error())
	o.fail(p.WithRetryAfter(logRetryAfter))
}

func (o *order) window() int64 {
	if o.doc == nil {
		return 0
	}
	return o.doc.IdempotencyWindow.Std().Milliseconds()
}

// dispatch sends the order once and records its outcome. It goes on to another
// endpoint only after one that did not run the order.
func (o *order) dispatch(ctx context.Context) {
	tried := map[string]bool{}
	for range orderAttempts {
		host, ok := o.acquire(ctx, tried)
		if !ok {
			break
		}
		resp, err := o.send(ctx, host)
		if err == nil {
			o.done(resp)
			return
		}
		if _, unsent := o.a.guard.Unsent(); !unsent {
			o.settle(ctx, err)
			return
		}
		tried[host.ID] = true
	}
	o.node.abandonClaim(o.key, o.hold.ClaimID)
	o.refuse(http.StatusServiceUnavailable, problem.TypeUnavailable, "no endpoint took the order in time")
}

// maySend reports whether the owner may still send.
func (o *order) maySend(ctx context.Context) bool {
	return ctx.Err() == nil && o.hold.MayDispatch(time.Now())
}

// acquire waits for an endpoint as long as the owner may send.
func (o *order) acquire(ctx context.Context, tried map[string]bool) (port.Host, bool) {
	for o.maySend(ctx) {
		where, allowed := o.node.place(ctx, o.a, tried)
		if !allowed {
			o.node.failQuarantined(o.a)
			return port.Host{}, false
		}
		host, ok := o.node.chooseFor(o.a, where, "")
		if ok {
			return host, true
		}
		clear(tried)
		pause(ctx, retryBackoff)
	}
	return port.Host{}, false
}

// errTooLate means that the owner's time to send was over; nothing was sent.
var errTooLate = errors.New("the time to send the order was over")

// send makes one attempt at an endpoint that was acquired, and releases it.
func (o *order) send(ctx context.Context, host port.Host) (port.ServiceResponse, error) {
	var resp port.ServiceResponse
	_, err := o.node.attemptAt(ctx, o.a, &running{id: record.NewID(), host: host}, func(ctx context.Context, r *running) error {
		if !o.maySend(ctx) {
			return errTooLate
		}
		var err error
		resp, err = o.call(ctx, r)
		return err
	})
	return resp, err
}

// call sends the order.
func (o *order) call(ctx context.Context, r *running) (port.ServiceResponse, error) {
	req := serviceRequest(o.a.Request, r.id)
	req.IdempotencyKey = o.endpointKey()
	sending := o.a.sending()
	req.Sending = sending.begin
	resp, err := o.node.ports.Services.Call(ctx, r.host.EndpointAddress, req)
	if err != nil {
		sending.end(err)
	}
	return resp, err
}

// endpointKey returns the key that endpoints see. It carries the workspace, so
// that the keys of two workspaces never meet at an endpoint.
func (o *order) endpointKey() string {
	return url.PathEscape(o.key.Workspace) + ":" + o.key.Key
}

// done answers the caller and records the outcome in the background, so that
// an outage of the log holds up no answer. Until it is in the log, duplicates
// at other hosts ask this one for it.
func (o *order) done(resp port.ServiceResponse) {
	o.node.orders.finish(o.hold.ClaimID, resp)
	o.finish(resp)
	o.node.recordOutcome(o.key, o.hold.ClaimID, resp)
}

// settle finds out what became of an order whose call ended without an answer:
// by sending it again where endpoints honour its key, or by looking it up.
func (o *order) settle(ctx context.Context, cause error) {
	resp, err := o.resend(ctx)
	if err != nil {
		resp, err = o.lookup(ctx)
	}
	if err == nil {
		o.done(resp)
		return
	}
	o.node.orders.end(o.hold.ClaimID)
	o.unknown(cause.Error())
}

// errNoResend means that a service does not allow an order to be sent again.
var errNoResend = errors.New("the service does not honour idempotency keys")

// errNoLookup means that a lookup did not tell what became of an order.
var errNoLookup = errors.New("the service did not tell what became of the order")

// resend sends the order again with the same key to endpoints that honour it.
func (o *order) resend(ctx context.Context) (port.ServiceResponse, error) {
	if o.doc == nil || !o.doc.Endpoints.HonoursIdempotencyKeys {
		return port.ServiceResponse{}, errNoResend
	}
	for range orderAttempts {
		host, ok := o.node.acquire(o.a, nil)
		if !ok {
			pause(ctx, retryBackoff)
			continue
		}
		resp, err := o.call(ctx, &running{id: record.NewID(), host: host})
		o.node.endpoints.release(o.a.Request, host.ID, nil)
		if err == nil {
			return resp, nil
		}
		pause(ctx, retryBackoff)
		if ctx.Err() != nil {
			break
		}
	}
	return port.ServiceResponse{}, errNoResend
}

// lookup asks the service what became of the order, for a short time.
func (o *order) lookup(ctx context.Context) (port.ServiceResponse, error) {
	if o.route.Lookup == "" {
		return port.ServiceResponse{}, errNoLookup
	}
	ctx, cancel := context.WithTimeout(ctx, lookupLimit)
	defer cancel()
	for ctx.Err() == nil {
		if resp, ok := o.lookupOnce(ctx); ok {
			return resp, nil
		}
		pause(ctx, lookupInterval)
	}
	return port.ServiceResponse{}, errNoLookup
}

func (o *order) lookupOnce(ctx context.Context) (port.ServiceResponse, bool) {
	host, ok := o.node.acquire(o.a, nil)
	if !ok {
		return port.ServiceResponse{}, false
	}
	defer o.node.endpoints.release(o.a.Request, host.ID, nil)
	resp, err := o.node.ports.Services.Call(ctx, host.EndpointAddress, port.ServiceRequest{
		AttemptID: record.NewID(),
		Method:    http.MethodGet,
		Path:      strings.ReplaceAll(o.route.Lookup, "{key}", url.PathEscape(o.endpointKey())),
		Deadline:  o.a.Request.Deadline,
	})
	return resp, err == nil && resp.Status == http.StatusOK
}
