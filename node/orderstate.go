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
	// ownerInterval is the time between two questions to the owner of an order
	// that a duplicate waits for.
	ownerInterval = time.Second
	// ownerGrace is how long an owner that cannot be reached must be missing
	// from the platform's list before it counts as gone.
	ownerGrace = 3 * time.Second
	// ownerTimeout bounds one question to an owner.
	ownerTimeout = 2 * time.Second
)

// MethodOrder is the peers' method that tells how an order stands with its
// owner.
const MethodOrder = "order.state"

// orderQuery asks for the order of a claim.
type orderQuery struct {
	ClaimID string `json:"claim_id"`
}

// orderReply tells how it stands.
type orderReply struct {
	// Known is set while the process that answers works on the order.
	Known bool `json:"known"`
	// Response is the endpoint's answer, if it has come.
	Response *port.ServiceResponse `json:"response,omitempty"`
	// Next is the next log offset that the process will fold.
	Next int64 `json:"next"`
}

// orderTable holds the claims that this process works on, from before their
// append until their outcome or their abandonment is in the log.
type orderTable struct {
	mu   sync.Mutex
	rows map[string]*port.ServiceResponse
}

func newOrderTable() *orderTable { return &orderTable{rows: map[string]*port.ServiceResponse{}} }

func (t *orderTable) begin(claimID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows[claimID] = nil
}

func (t *orderTable) finish(claimID string, resp port.ServiceResponse) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows[claimID] = &resp
}

func (t *orderTable) end(claimID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.rows, claimID)
}

func (t *orderTable) get(claimID string) (*port.ServiceResponse, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	resp, ok := t.rows[claimID]
	return resp, ok
}

func (t *orderTable) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows)
}

func (n *Node) handleOrder(_ context.Context, params json.RawMessage) (any, error) {
	var q orderQuery
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, errors.Wrap(err, "read query")
	}
	resp, known := n.orders.get(q.ClaimID)
	return orderReply{Known: known, Response: resp, Next: n.tail.offset()}, nil
}

// recordOutcome appends the outcome of a claim in the background.
func (n *Node) recordOutcome(key claim.Key, claimID string, resp port.ServiceResponse) {
	n.appendInBackground(record.KindOutcome, claimID, claim.NewOutcome(key, claimID, resp))
}

// abandonClaim gives a claim up in the background. The caller has dispatched nothing
// under it and never will. A claim whose record lands later still owns nothing.
func (n *Node) abandonClaim(key claim.Key, claimID string) {
	n.appendInBackground(record.KindAbandon, claimID, claim.Abandon{Key: key, ClaimID: claimID})
}

// appendInBackground appends a record about a claim however long it takes; then
// this process has no more to do with the claim.
func (n *Node) appendInBackground(kind record.Kind, claimID string, body any) {
	e, err := record.New(kind, n.settings.Host, body)
	if err != nil {
		n.log.Error().Str("claim", claimID).Err(err).Msg("record not appended")
		return
	}
	n.tomb.Go(func() error {
		err := n.append(n.context(), classOrder, e)
		if err == nil {
			err = n.tail.await(n.context(), e.ID)
		}
		if err != nil {
			n.log.Error().Str("claim", claimID).Str("kind", string(kind)).Err(err).Msg("record not appended")
		}
		n.orders.end(claimID)
		return nil
	})
}

// wait waits for the outcome of an order that another claim owns. It reports
// whether to look at the key again.
func (o *order) wait(ctx context.Context, entry claim.Entry, changed <-chan struct{}) bool {
	if o.hold.ClaimID != "" {
		o.node.orders.end(o.hold.ClaimID) // another claim came first: this one owns nothing
	}
	timer := time.NewTimer(ownerInterval)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		o.unknown("the order was claimed before and has no outcome yet")
		return false
	case <-timer.C:
	}
	resp, gone := o.node.askOwner(ctx, entry, o.a)
	switch {
	case resp != nil:
		o.finish(*resp)
		return false
	case gone:
		return o.ownerGone(ctx, entry)
	}
	return true
}

// ownerGone ends a duplicate whose owner has died without an outcome: by the
// service's word if there is a way to get it, as unknown otherwise.
func (o *order) ownerGone(ctx context.Context, entry claim.Entry) bool {
	if current, known, _ := o.node.claims.Get(o.key); !known || current.ClaimID != entry.ClaimID || current.Done {
		return true
	}
	resp, err := o.resend(ctx)
	if err != nil {
		resp, err = o.lookup(ctx)
	}
	if err != nil {
		o.unknown("the owner of the order is gone and left no outcome")
		return false
	}
	o.finish(resp)
	o.node.recordOutcome(o.key, entry.ClaimID, resp)
	return false
}

// askOwner asks the owner of a claim how its order stands. gone is true only if
// the owner's process has ended, or does not know the claim any more.
func (n *Node) askOwner(ctx context.Context, entry claim.Entry, a *Accepted) (resp *port.ServiceResponse, gone bool) {
	if entry.Owner == n.settings.Host {
		resp, known := n.orders.get(entry.ClaimID)
		return resp, !known
	}
	address, listed := n.peerAddress(entry.Owner)
	if !listed {
		return nil, a.ownerMissing(time.Now())
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	var reply orderReply
	err := n.ports.Peers.Call(ctx, address, MethodOrder, orderQuery{ClaimID: entry.ClaimID}, &reply)
	if err != nil {
		return nil, false
	}
	a.ownerSeen()
	if reply.Known {
		return reply.Response, false
	}
	// The outcome may be in the log already: only a state that has folded as
	// much as the owner's can tell.
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

// ownerMissing reports whether the owner that the request waits for has been
// missing for long enough to count as gone.
func (a *Accepted) ownerMissing(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ownerMissed.IsZero() {
		a.ownerMissed = now
	}
	return now.Sub(a.ownerMissed) >= ownerGrace
}

func (a *Accepted) ownerSeen() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ownerMissed = time.Time{}
}

// await waits until the state has folded the record of that id.
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
