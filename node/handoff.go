package node

import (
	"cmp"
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cicadanotch/cicadanotch/answer"
	"github.com/cicadanotch/cicadanotch/drain"
	"github.com/cicadanotch/cicadanotch/member"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/request"
)

const (
	// exportTimeout bounds the export of a KV cache while a request is handed
	// over.
	exportTimeout = 500 * time.Millisecond
	// takerLimit bounds the peers that are offered one request.
	takerLimit = 8
	// handoverParallel bounds the requests that are handed over at the same
	// time.
	handoverParallel = 64
	// endedOffered is how long after its end an answer is handed over too: the
	// caller may not have read its last bytes.
	endedOffered = 30 * time.Second
	// followWait is how long one call waits for more of an answer, and
	// followRetry the time after one that failed.
	followWait  = 2 * time.Second
	followRetry = 100 * time.Millisecond
)

// OfferParams hands a request to a peer, with all that its callers may have
// read.
type OfferParams struct {
	Epoch   int64            `json:"epoch"`
	Giver   string           `json:"giver"`
	Request *request.Request `json:"request"`
	Chunks  []answer.Chunk   `json:"chunks,omitempty"`
	// End is set on an answer that has ended.
	End *answer.End `json:"end,omitempty"`
	// Sent is set when the request may have reached an endpoint.
	Sent bool `json:"sent,omitempty"`
	// Claimed is set on a call that may run only once and whose giver goes on
	// with it: the taker only waits for its outcome.
	Claimed bool `json:"claimed,omitempty"`
	// KV is the exported KV cache of the attempt that was stopped.
	KV *KVSource `json:"kv,omitempty"`
}

// KVSource is an exported KV cache and the endpoint that holds it.
type KVSource struct {
	Endpoint string        `json:"endpoint"`
	Address  string        `json:"address"`
	Export   port.KVExport `json:"export"`
}

// OfferReply answers an offer.
type OfferReply struct {
	Verdict drain.Verdict `json:"verdict"`
}

// handed is a request's part in handing over; guarded by Accepted.mu.
type handed struct {
	drain.Handoff
	// frozen stops the run: it must neither end the answer nor start
	// anything.
	frozen bool
	// claimed is set once a call that may run only once begins its claim.
	claimed bool
	// shadowed is set when a peer holds a copy that waits for the outcome,
	// kept when a peer holds the ended answer.
	shadowed bool
	kept     bool
	// stopped is closed when the run has returned.
	stopped chan struct{}
	// kv is an exported KV cache to go on from.
	kv *KVSource
}

// newAccepted returns a request that this host owns.
func newAccepted(req *request.Request) *Accepted {
	a := &Accepted{Request: req, Answer: answer.NewBuffer(), lastRead: time.Now(), cancel: func() {}}
	a.hand.Hold = drain.HoldRunning
	return a
}

// run starts the run of a request that this host owns.
func (n *Node) run(a *Accepted, execute func(context.Context, *Accepted)) {
	ctx, cancel := context.WithDeadline(n.context(), a.Request.Deadline)
	stopped := make(chan struct{})
	a.mu.Lock()
	a.cancel, a.hand.stopped = cancel, stopped
	a.hand.Hold, a.hand.frozen = drain.HoldRunning, false
	a.mu.Unlock()
	n.tomb.Go(func() error {
		defer close(stopped)
		defer cancel()
		execute(ctx, a)
		if !a.isFrozen() {
			n.ended(a)
			n.tellEnd(a)
		}
		return nil
	})
}

func (a *Accepted) isFrozen() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.hand.frozen
}

// startClaim reports whether a call that may run only once may be claimed
// here; from then on it is not handed over any more.
func (a *Accepted) startClaim() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hand.frozen {
		return false
	}
	a.hand.claimed = true
	return true
}

// mayClaim waits while this host starts no new orders; false means that the
// request is handed over or its time is up.
func (n *Node) mayClaim(ctx context.Context, a *Accepted) bool {
	for ctx.Err() == nil {
		if n.phase().StartsOrders() {
			return a.startClaim()
		}
		pause(ctx, stopInterval)
	}
	return false
}

// handOverAll hands all requests to peers: those that run, and those that ended
// lately. The highest priority goes first.
func (n *Node) handOverAll() {
	var group errgroup.Group
	group.SetLimit(handoverParallel)
	for _, a := range n.byPriority() {
		group.Go(func() error {
			n.handOver(a)
			return nil
		})
	}
	_ = group.Wait() // a request that nobody took is offered again
}

// handOver moves one request to a peer, or a copy of it where it must stay.
func (n *Node) handOver(a *Accepted) {
	candidates := n.takers(a.Request.ID)
	if len(candidates) == 0 {
		return
	}
	switch a.handoverKind(time.Now()) {
	case moveRun:
		n.give(a, candidates)
	case copyClaimed, copyEnded:
		n.shadow(a, candidates)
	}
}

// handoverKind says what of a request goes to a peer.
type handoverKind int

const (
	// moveNothing: not this host's, or with a peer already.
	moveNothing handoverKind = iota
	// moveRun: the peer goes on with the run.
	moveRun
	// copyClaimed: the peer waits for the outcome of this host's run.
	copyClaimed
	// copyEnded: the peer keeps the answer for late callers.
	copyEnded
)

func (a *Accepted) handoverKind(now time.Time) handoverKind {
	ended := a.Answer.Ended() != nil
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.hand.Hold != drain.HoldRunning || a.hand.kept:
		return moveNothing
	case ended && !a.endedAt.IsZero() && now.Sub(a.endedAt) > endedOffered:
		return moveNothing
	case ended:
		return copyEnded
	case a.hand.claimed && a.hand.shadowed:
		return moveNothing
	case a.hand.claimed:
		return copyClaimed
	}
	return moveRun
}

// give stops the run and offers the request to peers until one owns it.
func (n *Node) give(a *Accepted, candidates []string) {
	started := time.Now()
	if !a.freeze(candidates) {
		return
	}
	kv := n.exportFor(a)
	<-a.stopRun()
	a.work.entry = nil // its place in the queue is given back
	n.offerAll(a, kv)
	n.handoffs.seconds.Observe(time.Since(started).Seconds())
}

// freeze stops the run from ending the answer; false when the run has become
// one that must stay.
func (a *Accepted) freeze(candidates []string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hand.claimed || a.hand.frozen || !a.hand.Start(candidates) {
		return false
	}
	a.hand.frozen = true
	return true
}

// stopRun ends the run; the result is closed when it has returned.
func (a *Accepted) stopRun() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancel()
	return a.hand.stopped
}

// byPriority returns all requests, the highest priority first.
func (n *Node) byPriority() []*Accepted {
	all := n.requests.all()
	slices.SortStableFunc(all, func(a, b *Accepted) int {
		return cmp.Compare(b.Request.Priority, a.Request.Priority)
	})
	return all
}

// exportFor exports the KV cache of the attempt under way, so that the taker
// goes on from it; nil when there is none.
func (n *Node) exportFor(a *Accepted) *KVSource {
	attemptID, host, ok := a.Running()
	if !ok || a.Request.Kind != request.KindGenerate || a.Answer.Len() == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(n.context(), exportTimeout)
	defer cancel()
	export, err := n.ports.Engine.ExportKV(ctx, host.EndpointAddress, attemptID)
	if err != nil {
		return nil // the taker computes it anew
	}
	return &KVSource{Endpoint: host.ID, Address: host.EndpointAddress, Export: export}
}

// takers returns the peers that may take a request, best first.
func (n *Node) takers(id request.ID) []string {
	var peers []drain.Peer
	for _, h := range n.peerHosts() {
		if !n.entryLeaving(h) && !n.dead(h) {
			peers = append(peers, drain.Peer{Host: h.ID, Region: h.Region})
		}
	}
	return drain.Takers(id.String(), peers, n.settings.Region, takerLimit)
}

// dead reports whether heartbeats say that an entry host does not answer.
func (n *Node) dead(h port.Host) bool {
	verdict, _ := n.members.Verdict(h.ID)
	return verdict == member.Dead
}

func (n *Node) peer(id string) (port.Host, bool) {
	for _, h := range n.peerHosts() {
		if h.ID == id {
			return h, true
		}
	}
	return port.Host{}, false
}
