package node

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/claim"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/record"
)

const (
	// ownerInterval is the interval between queries to the owner of a claim that a
	// duplicate waits for.
	ownerInterval = time.Second
	// ownerGrace is how long an owner that cannot be reached must be missing from the
	// platform's host list before it is considered gone.
	ownerGrace = 3 * time.Second
	// ownerTimeout bounds one query to an owner.
	ownerTimeout = 2 * time.Second
)

// MethodClaimState is the peer method that returns the state of a claim at its owner.
const MethodClaimState = "order.state"

// claimStateQuery asks for the state of a claim.
type claimStateQuery struct {
	ClaimID string `json:"claim_id"`
}

// claimStateReply is the state of a claim at the host that replies.
type claimStateReply struct {
	// Known is set while the replying process works on the claim.
	Known bool `json:"known"`
	// Response is the endpoint's response; nil before it is received.
	Response *port.ServiceResponse `json:"response,omitempty"`
	// Next is the next log offset that the replying process will fold.
	Next int64 `json:"next"`
}

// activeClaimTable holds the claims that this process works on, with the endpoint's
// response if there is one: from before a claim's append until its outcome or its
// abandonment is in the log.
type activeClaimTable struct {
	mu   sync.Mutex
	rows map[string]*port.ServiceResponse
}

func newActiveClaimTable() *activeClaimTable {
	return &activeClaimTable{rows: map[string]*port.ServiceResponse{}}
}

func (t *activeClaimTable) add(claimID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows[claimID] = nil
}

func (t *activeClaimTable) setResponse(claimID string, resp port.ServiceResponse) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows[claimID] = &resp
}

func (t *activeClaimTable) remove(claimID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.rows, claimID)
}

func (t *activeClaimTable) get(claimID string) (*port.ServiceResponse, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	resp, ok := t.rows[claimID]
	return resp, ok
}

func (t *activeClaimTable) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows)
}

func (n *Node) handleClaimState(_ context.Context, params json.RawMessage) (any, error) {
	var q claimStateQuery
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, errors.Wrap(err, "read query")
	}
	resp, known := n.activeClaims.get(q.ClaimID)
	return claimStateReply{Known: known, Response: resp, Next: n.tail.offset()}, nil
}

// recordOutcome appends the outcome of a claim in the background.
func (n *Node) recordOutcome(key claim.Key, claimID string, resp port.ServiceResponse) {
	n.appendInBackground(record.KindOutcome, claimID, claim.NewOutcome(key, claimID, resp))
}

// abandonClaim appends in the background that a claim is abandoned. The calling code
// has dispatched nothing under the claim and never will. An abandoned claim never
// owns its key, even if its record is appended later.
func (n *Node) abandonClaim(key claim.Key, claimID string) {
	n.appendInBackground(record.KindAbandon, claimID, claim.Abandon{Key: key, ClaimID: claimID})
}

// appendInBackground appends a record about a claim, without a timeout, and then
// removes the claim from the table of this process.
func (n *Node) appendInBackground(kind record.Kind, claimID string, body any) {
	e, err := record.New(kind, n.settings.Host, body)
	if err != nil {
		n.log.Error().Str("claim", claimID).Err(err).Msg("record not appended")
		return
	}
	n.tomb.Go(func() error {
		err := n.append(n.context(), classClaim, e)
		if err == nil {
			err = n.tail.await(n.context(), e.ID)
		}
		if err != nil {
			n.log.Error().Str("claim", claimID).Str("kind", string(kind)).Err(err).Msg("record not appended")
		}
		n.activeClaims.remove(claimID)
		return nil
	})
}

// awaitOwner waits for the outcome of a call whose key another claim owns. It reports
// whether to read the state of the key again.
func (c *nonIdempotentCall) awaitOwner(ctx context.Context, entry claim.Entry, changed <-chan struct{}) bool {
	if c.permit.ClaimID != "" {
		c.node.activeClaims.remove(c.permit.ClaimID) // another claim owns the key; this one has no effect
	}
	timer := time.NewTimer(ownerInterval)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		c.failUnknown("the order was claimed before and has no outcome yet")
		return false
	case <-timer.C:
	}
	resp, gone := c.node.askOwner(ctx, entry, c.accepted)
	switch {
	case resp != nil:
		c.finish(*resp)
		return false
	case gone:
		return c.ownerGone(ctx, entry)
	}
	return true
}

// ownerGone ends a duplicate when the owner of the claim is gone without having
// recorded an outcome. It tries a resend, then a lookup; if neither returns the outcome, the
// request ends as unknown.
func (c *nonIdempotentCall) ownerGone(ctx context.Context, entry claim.Entry) bool {
	if current, known, _ := c.node.claims.Get(c.key); !known || current.ClaimID != entry.ClaimID || current.Done {
		return true
	}
	resp, err := c.resend(ctx)
	if err != nil {
		resp, err = c.lookup(ctx)
	}
	if err != nil {
		c.failUnknown("the owner of the order is gone and left no outcome")
		return false
	}
	c.finish(resp)
	c.node.recordOutcome(c.key, entry.ClaimID, resp)
	return false
}

// askOwner asks the owner of a claim for its state. resp is nil if there is no
// response yet. gone is true only if the owner's process has ended or no longer
// knows the claim.
func (n *Node) askOwner(ctx context.Context, entry claim.Entry, a *Accepted) (resp *port.ServiceResponse, gone bool) {
	if entry.Owner == n.settings.Host {
		resp, known := n.activeClaims.get(entry.ClaimID)
		return resp, !known
	}
	address, listed := n.peerAddress(entry.Owner)
	if !listed {
		return nil, a.ownerMissing(time.Now())
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	var reply claimStateReply
	err := n.ports.Peers.Call(ctx, address, MethodClaimState, claimStateQuery{ClaimID: entry.ClaimID}, &reply)
	if err != nil {
		return nil, false
	}
	a.ownerSeen()
	if reply.Known {
		return reply.Response, false
	}
	// The outcome may be in the log already. The local state shows that only once it
	// has folded as much of the log as the owner had when it replied.
	return nil, n.tail.offset() >= reply.Next
}

// peerAddress returns the peer address of a listed entry host.
func (n *Node) peerAddress(host string) (string, bool) {
	for _, h := range n.hosts.all() {
		if h.ID == host && h.Role == port.RoleEntry {
			return h.PeerAddress, true
		}
	}
	return "", false
}

// ownerMissing records that the owner that the request waits for is not listed, and
// reports whether it has been missing for at least ownerGrace.
func (a *Accepted) ownerMissing(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ownerMissingSince.IsZero() {
		a.ownerMissingSince = now
	}
	return now.Sub(a.ownerMissingSince) >= ownerGrace
}

// ownerSeen records that the owner has replied.
func (a *Accepted) ownerSeen() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ownerMissingSince = time.Time{}
}

// await waits until the state has folded the record with the given id.
func (t *tail) await(ctx context.Context, id string) error {
	for {
		changed := t.changes()
		if _, ok := t.state.Seen(id); ok {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Wrap(errAppendUncertain, "record not read back")
		}
	}
}

// changes returns a channel that is closed on the next change of the state.
func (t *tail) changes() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}
