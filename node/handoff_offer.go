package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/drain"
	"github.com/cicadanotch/cicadanotch/port"
)

const (
	// minOfferTimeout and maxOfferTimeout bound the timeout of one offer to a
	// peer. Between them it is 1/offerDeadlineParts of the time to the deadline,
	// so that an unresponsive peer leaves time for the next one.
	minOfferTimeout    = 100 * time.Millisecond
	maxOfferTimeout    = 2 * time.Second
	offerDeadlineParts = 10
)

// offerToPeers offers the request to peers until one owns it or this host takes
// it back.
func (n *Node) offerToPeers(a *Accepted, kv *KVSource) {
	for {
		offer := a.offer(n.settings.Host, kv)
		receiver := a.handoff().Receiver
		event := n.sendOffer(receiver, offer)
		action := a.step(event, n.candidates(a.Request.ID))
		n.log.Info().Str("request", a.Request.ID.String()).Str("service", a.Request.Service).Str("workspace", a.Request.Workspace).
			Str("taker", receiver).Int64("epoch", offer.Epoch).Str("event", string(event)).Str("next", string(action)).Msg("request offered")
		n.handoffs.offers.WithLabelValues(string(event)).Inc()
		switch action {
		case drain.ActRelay:
			n.tomb.Go(func() error {
				n.relayAnswer(a)
				return nil
			})
			return
		case drain.ActRun:
			n.takeBack(a, kv)
			return
		}
		if n.context().Err() != nil {
			return
		}
	}
}

func (a *Accepted) handoff() drain.Handoff {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.handoffState.Handoff
}

func (a *Accepted) step(e drain.Event, candidates []string) drain.Action {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.handoffState.Step(e, candidates)
}

// offer returns the request as it is offered. The run must have stopped.
func (a *Accepted) offer(sender string, kv *KVSource) OfferParams {
	_, notRun := a.guard.ProveNotRun()
	chunks, end := a.Answer.Snapshot()
	return OfferParams{
		Epoch: a.handoff().Epoch, Sender: sender, Request: a.Request, Chunks: chunks, End: end, Sent: !notRun, KV: kv,
	}
}

// sendOffer sends one offer and returns its result as a handoff event.
func (n *Node) sendOffer(host string, offer OfferParams) drain.Event {
	peer, ok := n.peer(host)
	if !ok {
		return drain.EventGone
	}
	ctx, cancel := context.WithTimeout(n.context(), n.offerTimeout(time.Now()))
	defer cancel()
	var reply OfferReply
	err := n.ports.Peers.Call(ctx, peer.PeerAddress, MethodOffer, offer, &reply)
	switch {
	case err == nil && reply.Verdict.Accepted():
		return drain.EventAccepted
	case err == nil, errors.Is(err, port.ErrPeerRefused), errors.Is(err, port.ErrPeerUnreachable):
		return drain.EventRefused
	}
	return drain.EventLost
}

func (n *Node) offerTimeout(now time.Time) time.Duration {
	n.stopping.mu.Lock()
	deadline := n.stopping.stop.Demand().Deadline
	n.stopping.mu.Unlock()
	if deadline.IsZero() {
		return maxOfferTimeout
	}
	return min(max(deadline.Sub(now)/offerDeadlineParts, minOfferTimeout), maxOfferTimeout)
}

// takeBack continues a request at this host after no peer accepted it.
func (n *Node) takeBack(a *Accepted, kv *KVSource) {
	a.mu.Lock()
	maybeAccepted := a.handoffState.MaybeAccepted
	a.handoffState.kv = kv
	a.mu.Unlock()
	if maybeAccepted {
		a.guard.RecordSend() // a peer may have sent it to an endpoint
	}
	n.startRun(a, n.executeReceived)
}

// sendCopy copies a request that stays at this host to a peer: the answer of an
// ended request, or the wait for the outcome of a non-idempotent one.
func (n *Node) sendCopy(a *Accepted, candidates []string) {
	offer := a.offer(n.settings.Host, nil)
	offer.Epoch++
	offer.Sent, offer.Claimed = true, offer.End == nil
	for _, c := range candidates {
		event := n.sendOffer(c, offer)
		n.handoffs.offers.WithLabelValues("copy-" + string(event)).Inc()
		if event == drain.EventAccepted {
			a.recordCopy(c, offer.Claimed)
			return
		}
	}
}

// reportEnd sends the ended answer of a request to the peer that holds a copy
// of the request.
func (n *Node) reportEnd(a *Accepted) {
	a.mu.Lock()
	receiver, done := a.handoffState.Receiver, !a.handoffState.copied || a.handoffState.endCopied
	a.mu.Unlock()
	if !done && a.Answer.End() != nil {
		n.sendCopy(a, []string{receiver})
	}
}

func (a *Accepted) recordCopy(host string, claimed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.handoffState.Receiver = host
	a.handoffState.copied = true
	a.handoffState.endCopied = !claimed
}
