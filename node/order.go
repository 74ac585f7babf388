package node

import (
	"context"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/answer"
	"github.com/cicadanotch/cicadanotch/claim"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
	"github.com/cicadanotch/cicadanotch/record"
)

// executeOrder runs a call that must run at most once: the claim is in the
// log before the first byte goes out, and only the owner of the first claim
// dispatches.
func (n *Node) executeOrder(ctx context.Context, a *Accepted) {
	key := claim.Key{Service: a.Request.Service, Workspace: a.Request.Workspace, Key: orderKey(a)}
	digest := xxhash.Sum64(a.Request.Body)
	if !n.mayClaim(ctx, a) {
		n.fail(a, problem.Refuse(&a.guard, http.StatusServiceUnavailable, problem.TypeStopping, "the entry host is stopping"))
		return
	}
	entry, ok, _ := n.claims.Get(key)
	mine := ""
	if !ok {
		var err error
		mine, err = n.claimKey(ctx, key, digest)
		if err != nil {
			n.fail(a, problem.Refuse(&a.guard, http.StatusServiceUnavailable, problem.TypeLogUnavailable, "the order could not be claimed: "+err.Error()))
			return
		}
		entry, _, _ = n.claims.Get(key)
	}
	switch {
	case entry.Digest != digest:
		n.fail(a, problem.Refuse(&a.guard, http.StatusUnprocessableEntity, problem.TypeConflict, "another body came first under this key"))
	case entry.ClaimID == mine:
		n.dispatchOrder(ctx, a, key, mine)
	default:
		n.awaitOutcome(ctx, a, key)
	}
}

// orderKey returns the caller's idempotency key, or the request id.
func orderKey(a *Accepted) string {
	if a.Request.IdempotencyKey != "" {
		return "k:" + a.Request.IdempotencyKey
	}
	return "r:" + a.Request.ID.String()
}

// claimKey appends a claim and waits until some claim owns the key.
func (n *Node) claimKey(ctx context.Context, key claim.Key, digest uint64) (string, error) {
	e, err := record.New(record.KindClaim, n.settings.Host, claim.Claim{Key: key, Digest: digest, Owner: n.settings.Host})
	if err != nil {
		return "", err
	}
	if err := n.append(ctx, classOrder, e); err != nil {
		return "", err
	}
	for {
		_, ok, changed := n.claims.Get(key)
		if ok {
			return e.ID, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return "", errors.Wrap(ctx.Err(), "claim not read back")
		}
	}
}

// dispatchOrder sends the order once and records its outcome.
func (n *Node) dispatchOrder(ctx context.Context, a *Accepted, key claim.Key, claimID string) {
	resp, err := n.sendOrder(ctx, a, claimID)
	if err != nil {
		return
	}
	n.recordOutcome(ctx, key, claimID, resp)
	_ = a.Answer.Finish(answer.End{Response: &resp}) // ended before: the first end stands
}

func (n *Node) recordOutcome(ctx context.Context, key claim.Key, claimID string, resp port.ServiceResponse) {
	e, err := record.New(record.KindOutcome, n.settings.Host, claim.Outcome{Key: key, ClaimID: claimID, Response: resp})
	if err == nil {
		err = n.append(ctx, classOrder, e)
	}
	if err != nil {
		n.log.Error().Str("claim", claimID).Err(err).Msg("outcome not recorded")
	}
}

// awaitOutcome waits for the owner's outcome; without one the answer is
// unknown.
func (n *Node) awaitOutcome(ctx context.Context, a *Accepted, key claim.Key) {
	for {
		entry, _, changed := n.claims.Get(key)
		if entry.Response != nil {
			_ = a.Answer.Finish(answer.End{Response: entry.Response}) // ended before: the first end stands
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			n.fail(a, problem.Unknown(http.StatusConflict, problem.TypeOutcomeUnknown, "the owner of the order recorded no outcome"))
			return
		}
	}
}
