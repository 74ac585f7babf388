package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/drain"
	"github.com/cicadanotch/cicadanotch/port"
)

const (
	// minOffer and maxOffer bound one offer of a request to a peer; between
	// them it may take one part in offerParts of the time to the deadline, so
	// that a silent peer leaves time for the next.
	minOffer   = 100 * time.Millisecond
	maxOffer   = 2 * time.Second
	offerParts = 10
)

// offerAll carries the handoff out until a peer owns the request or this host
// has it back.
func (n *Node) offerAll(a *Accepted, kv *KVSource) {
	for {
		offer := a.offer(n.settings.Host, kv)
		taker := a.handoff().Taker
		event := n.offerTo(taker, offer)
		action := a.step(event, n.takers(a.Request.ID))
		n.log.Info().Str("request", a.Request.ID.String()).Str("service", a.Request.Service).Str("workspace", a.Request.Workspace).
			Str("taker", taker).Int64("epoch", offer.Epoch).Str("event", string(event)).Str("next", string(action)).Msg("request offered")
		n.handoffs.offers.WithLabelValues(string(event)).Inc()
		switch action {
		case drain.ActRelay:
			n.tomb.Go(func() error {
				n.relayFrom(a)
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
	return a.hand.Handoff
}

func (a *Accepted) step(e drain.Event, candidates []string) drain.Action {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.hand.Step(e, candidates)
}

// offer returns the request as it is handed over. The run must be stopped.
func (a *Accepted) offer(giver string, kv *KVSource) OfferParams {
	_, unsent := a.guard.Unsent()
	chunks, end := a.Answer.Snapshot()
	return OfferParams{
		Epoch: a.handoff().Epoch, Giver: giver, Request: a.Request, Chunks: chunks, End: end, Sent: !unsent, KV: kv,
	}
}

// offerTo makes one offer.
func (n *Node) offerTo(host string, offer OfferParams) drain.Event {
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
		return maxOffer
	}
	return min(max(deadline.Sub(now)/offerParts, minOffer), maxOffer)
}

// takeBack goes on with a request here after nobody took it.
func (n *Node) takeBack(a *Accepted, kv *KVSource) {
	a.mu.Lock()
	maybe := a.hand.MaybeTaken
	a.hand.kv = kv
	a.mu.Unlock()
	if maybe {
		a.guard.Send() // a peer may have sent it to an endpoint
	}
	n.run(a, n.executeTaken)
}

// shadow gives a peer a copy of a request that stays here: the answer of one
// that ended, or the wait for the outcome of one that may run only once.
func (n *Node) shadow(a *Accepted, candidates []string) {
	offer := a.offer(n.settings.Host, nil)
	offer.Epoch++
	offer.Sent, offer.Claimed = true, offer.End == nil
	for _, c := range candidates {
		event := n.offerTo(c, offer)
		n.handoffs.offers.WithLabelValues("copy-" + string(event)).Inc()
		if event == drain.EventAccepted {
			a.setShadow(c, offer.Claimed)
			return
		}
	}
}

// tellEnd gives the end of a request to the peer that holds a copy of it.
func (n *Node) tellEnd(a *Accepted) {
	a.mu.Lock()
	taker, told := a.hand.Taker, !a.hand.shadowed || a.hand.kept
	a.mu.Unlock()
	if !told && a.Answer.Ended() != nil {
		n.shadow(a, []string{taker})
	}
}

func (a *Accepted) setShadow(host string, claimed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.hand.Taker = host
	a.hand.shadowed = true
	a.hand.kept = !claimed
}
