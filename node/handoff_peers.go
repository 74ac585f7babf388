package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cicadanotch/cicadanotch/answer"
	"github.com/cicadanotch/cicadanotch/drain"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
	"github.com/cicadanotch/cicadanotch/request"
)

// Peer methods of the handoff of requests between entry hosts.
const (
	// MethodOffer offers the ownership of a request.
	MethodOffer = "handoff.offer"
	// MethodLocate asks a host for its state of a request.
	MethodLocate = "handoff.locate"
	// MethodFollow waits for more of an answer.
	MethodFollow = "handoff.follow"
)

// handoffHandlers returns the handlers of the handoff methods.
func (n *Node) handoffHandlers() map[string]port.PeerHandler {
	return map[string]port.PeerHandler{
		MethodOffer:  n.handleOffer,
		MethodLocate: n.handleLocate,
		MethodFollow: n.handleFollow,
	}
}

func (n *Node) handleOffer(_ context.Context, params json.RawMessage) (any, error) {
	var p OfferParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, err
	}
	buffer, err := answer.Restore(p.Chunks, p.End)
	if err != nil {
		return nil, err
	}
	leaving := n.phase() != drain.PhaseServing
	if leaving && !n.requests.has(p.Request.ID) {
		return OfferReply{drain.VerdictLeaving}, nil
	}
	created := &Accepted{Request: p.Request, Answer: buffer, lastRead: time.Now(), cancel: func() {}}
	a, _ := n.requests.add(created)
	a.mu.Lock()
	verdict := a.handoffState.Offer(p.Epoch, leaving)
	a.mu.Unlock()
	switch verdict {
	case drain.VerdictAccepted:
		n.acceptOffer(a, p)
	case drain.VerdictOwned:
		_ = a.Answer.Extend(nil, p.End) // an error means that the answer has already ended here
	}
	if a == created && !verdict.Accepted() {
		n.requests.drop(a)
	}
	n.handoffs.received.WithLabelValues(string(verdict)).Inc()
	n.handoffs.bytes.Add(float64(len(params)))
	n.log.Info().Str("request", p.Request.ID.String()).Str("service", p.Request.Service).Str("workspace", p.Request.Workspace).
		Str("giver", p.Sender).Int64("epoch", p.Epoch).Int("chunks", len(p.Chunks)).Str("verdict", string(verdict)).Msg("request offered by peer")
	return OfferReply{verdict}, nil
}

// acceptOffer continues a request that a peer handed off.
func (n *Node) acceptOffer(a *Accepted, p OfferParams) {
	_ = a.Answer.Extend(p.Chunks, p.End) // a request that this host owned before already has some of them
	if p.Sent {
		a.guard.RecordSend()
	}
	switch {
	case a.Answer.End() != nil:
		a.markEnded()
	case p.Claimed:
		n.startRun(a, n.awaitClaimed)
	default:
		a.mu.Lock()
		a.handoffState.kv = p.KV
		a.mu.Unlock()
		n.enqueueReceived(a, p)
		n.startRun(a, n.executeReceived)
	}
}

// enqueueReceived queues a received request that no endpoint has begun. A
// request that the queue would refuse starts at once, because it was already
// accepted.
func (n *Node) enqueueReceived(a *Accepted, p OfferParams) {
	var guard problem.Guard
	if p.Sent || len(p.Chunks) > 0 {
		return
	}
	a.exec.entry, _ = n.admitRequest(a.Request, &guard)
}

// executeReceived runs a request that was handed off, resuming from the
// exported KV cache if it can be imported.
func (n *Node) executeReceived(ctx context.Context, a *Accepted) {
	a.mu.Lock()
	kv := a.handoffState.kv
	a.handoffState.kv = nil
	a.mu.Unlock()
	if kv != nil {
		n.importKV(ctx, a, kv)
	}
	n.execute(ctx, a)
}

// awaitClaimed waits for the outcome of a non-idempotent request that its
// sender continues to run.
func (n *Node) awaitClaimed(ctx context.Context, a *Accepted) {
	a.markClaimed() // so that peers only receive copies of the request
	n.awaitOutcome(ctx, a)
}

// IDParams identifies a request.
type IDParams struct {
	ID request.ID `json:"id"`
}

// LocateReply is a host's state of a request.
type LocateReply struct {
	drain.Location
	// Request is the request without its body, or nil when the host does not
	// know it.
	Request *request.Request `json:"request,omitempty"`
}

func (n *Node) handleLocate(_ context.Context, params json.RawMessage) (any, error) {
	var p IDParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, err
	}
	reply := LocateReply{Location: drain.Location{Host: n.settings.Host}}
	a, ok := n.requests.get(p.ID)
	if !ok {
		return reply, nil
	}
	h := a.handoff()
	reply.State, reply.Epoch = h.State, h.Epoch
	withoutBody := *a.Request
	withoutBody.Body, withoutBody.Blocks = nil, nil
	reply.Request = &withoutBody
	return reply, nil
}

// FollowParams requests the chunks of an answer from an index on.
type FollowParams struct {
	ID   request.ID `json:"id"`
	From int        `json:"from"`
	// WaitMS is how long to wait for new chunks or the end, in milliseconds.
	WaitMS int64 `json:"wait_ms"`
}

// FollowReply contains the new chunks of an answer, and its end if it has
// ended.
type FollowReply struct {
	Known  bool           `json:"known"`
	Chunks []answer.Chunk `json:"chunks,omitempty"`
	End    *answer.End    `json:"end,omitempty"`
}

func (n *Node) handleFollow(ctx context.Context, params json.RawMessage) (any, error) {
	var p FollowParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, err
	}
	a, ok := n.requests.get(p.ID)
	if !ok {
		return FollowReply{}, nil
	}
	leave := a.AddReader()
	defer leave()
	ctx, cancel := context.WithTimeout(ctx, min(time.Duration(p.WaitMS)*time.Millisecond, followPollTimeout))
	defer cancel()
	chunks, end, err := a.Answer.Next(ctx, p.From)
	if err != nil {
		return FollowReply{Known: true}, nil // nothing new in time
	}
	return FollowReply{Known: true, Chunks: chunks, End: end}, nil
}
