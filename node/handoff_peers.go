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

// Methods with which entry hosts hand requests over.
const (
	// MethodOffer offers the ownership of a request.
	MethodOffer = "handoff.offer"
	// MethodLocate asks what a host knows of a request.
	MethodLocate = "handoff.locate"
	// MethodFollow waits for more of an answer.
	MethodFollow = "handoff.follow"
)

// handoffHandlers returns the methods of handing over.
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
	if leaving && !n.requests.knows(p.Request.ID) {
		return OfferReply{drain.VerdictLeaving}, nil
	}
	fresh := &Accepted{Request: p.Request, Answer: buffer, lastRead: time.Now(), cancel: func() {}}
	a, _ := n.requests.add(fresh)
	a.mu.Lock()
	verdict := a.hand.Offer(p.Epoch, leaving)
	a.mu.Unlock()
	switch verdict {
	case drain.VerdictTaken:
		n.take(a, p)
	case drain.VerdictOwned:
		_ = a.Answer.Extend(nil, p.End) // an answer that has ended here needs no end
	}
	if a == fresh && !verdict.Accepted() {
		n.requests.drop(a)
	}
	n.handoffs.takes.WithLabelValues(string(verdict)).Inc()
	n.handoffs.bytes.Add(float64(len(params)))
	n.log.Info().Str("request", p.Request.ID.String()).Str("service", p.Request.Service).Str("workspace", p.Request.Workspace).
		Str("giver", p.Giver).Int64("epoch", p.Epoch).Int("chunks", len(p.Chunks)).Str("verdict", string(verdict)).Msg("request offered by peer")
	return OfferReply{verdict}, nil
}

// take goes on with a request that a peer handed over.
func (n *Node) take(a *Accepted, p OfferParams) {
	_ = a.Answer.Extend(p.Chunks, p.End) // a request that came back holds a part of them
	if p.Sent {
		a.guard.Send()
	}
	switch {
	case a.Answer.Ended() != nil:
		a.markEnded()
	case p.Claimed:
		n.run(a, n.awaitClaimed)
	default:
		a.mu.Lock()
		a.hand.kv = p.KV
		a.mu.Unlock()
		n.queueTaken(a, p)
		n.run(a, n.executeTaken)
	}
}

// queueTaken gives a request that no endpoint has begun its place in the
// queue. One that the queue would refuse starts at once: it is accepted.
func (n *Node) queueTaken(a *Accepted, p OfferParams) {
	var guard problem.Guard
	if p.Sent || len(p.Chunks) > 0 {
		return
	}
	a.work.entry, _ = n.admitRequest(a.Request, &guard)
}

// executeTaken runs a request that was handed over, from the KV cache that
// came with it where that can be had.
func (n *Node) executeTaken(ctx context.Context, a *Accepted) {
	a.mu.Lock()
	kv := a.hand.kv
	a.hand.kv = nil
	a.mu.Unlock()
	if kv != nil {
		n.importFrom(ctx, a, kv)
	}
	n.execute(ctx, a)
}

// awaitClaimed waits for the outcome of a call that may run only once and that
// its giver goes on with.
func (n *Node) awaitClaimed(ctx context.Context, a *Accepted) {
	a.startClaim()
	n.awaitOutcome(ctx, a)
}

// IDParams names a request.
type IDParams struct {
	ID request.ID `json:"id"`
}

// LocateReply tells what a host knows of a request.
type LocateReply struct {
	drain.Location
	// Request is the request without its body; nil when it is not known.
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
	reply.Hold, reply.Epoch = h.Hold, h.Epoch
	bare := *a.Request
	bare.Body, bare.Blocks = nil, nil
	reply.Request = &bare
	return reply, nil
}

// FollowParams asks for the chunks of an answer from an index on.
type FollowParams struct {
	ID   request.ID `json:"id"`
	From int        `json:"from"`
	// WaitMS is how long to wait for something new, in milliseconds.
	WaitMS int64 `json:"wait_ms"`
}

// FollowReply is more of an answer.
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
	leave := a.Enter()
	defer leave()
	ctx, cancel := context.WithTimeout(ctx, min(time.Duration(p.WaitMS)*time.Millisecond, followWait))
	defer cancel()
	chunks, end, err := a.Answer.Next(ctx, p.From)
	if err != nil {
		return FollowReply{Known: true}, nil // nothing new in time
	}
	return FollowReply{Known: true, Chunks: chunks, End: end}, nil
}
