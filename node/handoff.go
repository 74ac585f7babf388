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
	// exportTimeout bounds the export of a KV cache during a handoff.
	exportTimeout = 500 * time.Millisecond
	// maxCandidates bounds the list of peers that a request may be offered to.
	maxCandidates = 8
	// maxParallelHandoffs bounds the concurrent handoffs.
	maxParallelHandoffs = 64
	// endedOfferWindow is how long after its end an answer is still copied to a
	// peer: the caller may not have read its last bytes.
	endedOfferWindow = 30 * time.Second
	// followPollTimeout is how long one call waits for more of an answer, and
	// followRetryDelay the delay after a failed call.
	followPollTimeout = 2 * time.Second
	followRetryDelay  = 100 * time.Millisecond
)

// OfferParams offers a request or a copy of it to a peer, with all chunks of the
// answer that callers may have read.
type OfferParams struct {
	Epoch   int64            `json:"epoch"`
	Sender  string           `json:"giver"`
	Request *request.Request `json:"request"`
	Chunks  []answer.Chunk   `json:"chunks,omitempty"`
	// End is set when the answer has ended.
	End *answer.End `json:"end,omitempty"`
	// Sent is set when the request may have reached an endpoint.
	Sent bool `json:"sent,omitempty"`
	// Claimed is set on a non-idempotent request that the sender continues to
	// run: the receiver only waits for its outcome.
	Claimed bool `json:"claimed,omitempty"`
	// KV is the exported KV cache of the stopped attempt.
	KV *KVSource `json:"kv,omitempty"`
}

// KVSource is an exported KV cache and the endpoint that stores it.
type KVSource struct {
	// Endpoint is the endpoint's host id.
	Endpoint string        `json:"endpoint"`
	Address  string        `json:"address"`
	Export   port.KVExport `json:"export"`
}

// OfferReply is the receiver's answer to an offer.
type OfferReply struct {
	Verdict drain.Verdict `json:"verdict"`
}

// handoffState is the handoff state of a request; guarded by Accepted.mu.
type handoffState struct {
	drain.Handoff
	// frozen prevents the run from failing the request, claiming it, retrying an
	// ended attempt and recording the request's end.
	frozen bool
	// claimed is set once a non-idempotent request begins its claim.
	claimed bool
	// copied is set when a peer holds a copy that waits for the outcome,
	// endCopied when a peer holds the ended answer.
	copied    bool
	endCopied bool
	// stopped is closed when the run has returned.
	stopped chan struct{}
	// kv is an exported KV cache to resume from.
	kv *KVSource
}

// newAccepted returns a request that this host owns.
func newAccepted(req *request.Request) *Accepted {
	a := &Accepted{Request: req, Answer: answer.NewBuffer(), lastRead: time.Now(), cancel: func() {}}
	a.handoffState.State = drain.StateRunning
	return a
}

// startRun starts the execution of a request that this host owns.
func (n *Node) startRun(a *Accepted, execute func(context.Context, *Accepted)) {
	ctx, cancel := context.WithDeadline(n.context(), a.Request.Deadline)
	stopped := make(chan struct{})
	a.mu.Lock()
	a.cancel, a.handoffState.stopped = cancel, stopped
	a.handoffState.State, a.handoffState.frozen = drain.StateRunning, false
	a.mu.Unlock()
	n.tomb.Go(func() error {
		defer close(stopped)
		defer cancel()
		execute(ctx, a)
		if !a.isFrozen() {
			n.recordEnd(a)
			n.reportEnd(a)
		}
		return nil
	})
}

func (a *Accepted) isFrozen() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.handoffState.frozen
}

// markClaimed marks a non-idempotent request as claimed and returns true, unless
// the request is frozen for a handoff. From then on peers only receive copies of it.
func (a *Accepted) markClaimed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.handoffState.frozen {
		return false
	}
	a.handoffState.claimed = true
	return true
}

// waitToClaim waits until this host may start non-idempotent requests and marks the
// request as claimed. It returns false when the request is handed off or ctx has ended.
func (n *Node) waitToClaim(ctx context.Context, a *Accepted) bool {
	for ctx.Err() == nil {
		if n.phase().StartsNonIdempotent() {
			return a.markClaimed()
		}
		pause(ctx, stopInterval)
	}
	return false
}

// handOffAll hands off all requests, running and recently ended ones, in
// descending order of priority.
func (n *Node) handOffAll() {
	var group errgroup.Group
	group.SetLimit(maxParallelHandoffs)
	for _, a := range n.byPriority() {
		group.Go(func() error {
			n.handOff(a)
			return nil
		})
	}
	_ = group.Wait() // the functions return nil; the next call offers again what no peer accepted
}

// handOff hands off one request: it transfers a running request, which the peer
// that accepts the offer then owns, or sends a copy of a request that must stay at
// this host, which is a claimed non-idempotent request or an ended one.
func (n *Node) handOff(a *Accepted) {
	candidates := n.candidates(a.Request.ID)
	if len(candidates) == 0 {
		return
	}
	switch a.requiredHandoff(time.Now()) {
	case handoffRun:
		n.transferRun(a, candidates)
	case handoffCopyClaimed, handoffCopyEnded:
		n.sendCopy(a, candidates)
	}
}

// handoffKind is the kind of handoff that a request requires.
type handoffKind int

const (
	// handoffNone: another host owns the request, or a peer already holds all
	// that it has to receive.
	handoffNone handoffKind = iota
	// handoffRun: the peer continues the request.
	handoffRun
	// handoffCopyClaimed: the peer waits for the outcome of this host's run.
	handoffCopyClaimed
	// handoffCopyEnded: the peer retains the ended answer for callers that
	// attach later.
	handoffCopyEnded
)

// requiredHandoff returns the kind of handoff that the request requires now. The end
// time of an ended answer is zero until the run has returned and recorded it.
func (a *Accepted) requiredHandoff(now time.Time) handoffKind {
	ended := a.Answer.End() != nil
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.handoffState.State != drain.StateRunning || a.handoffState.endCopied:
		return handoffNone
	case ended && !a.endedAt.IsZero() && now.Sub(a.endedAt) > endedOfferWindow:
		return handoffNone
	case ended:
		return handoffCopyEnded
	case a.handoffState.claimed && a.handoffState.copied:
		return handoffNone
	case a.handoffState.claimed:
		return handoffCopyClaimed
	}
	return handoffRun
}

// transferRun stops the run and offers the request to peers until one owns it
// or this host takes it back.
func (n *Node) transferRun(a *Accepted, candidates []string) {
	started := time.Now()
	if !a.freeze(candidates) {
		return
	}
	kv := n.exportKV(a)
	<-a.stopRun()
	a.exec.entry = nil // the run, which alone reads it, has returned and released its slot or queue entry
	n.offerToPeers(a, kv)
	n.handoffs.seconds.Observe(time.Since(started).Seconds())
}

// freeze freezes the run and starts the handoff, whose first offer is to the first
// candidate. It returns false and changes nothing if the request is claimed or
// already frozen, this host does not own it, or there is no candidate.
func (a *Accepted) freeze(candidates []string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.handoffState.claimed || a.handoffState.frozen || !a.handoffState.Start(candidates) {
		return false
	}
	a.handoffState.frozen = true
	return true
}

// stopRun cancels the run; the returned channel is closed when the run has
// returned.
func (a *Accepted) stopRun() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancel()
	return a.handoffState.stopped
}

// byPriority returns all requests in descending order of priority.
func (n *Node) byPriority() []*Accepted {
	all := n.requests.all()
	slices.SortStableFunc(all, func(a, b *Accepted) int {
		return cmp.Compare(b.Request.Priority, a.Request.Priority)
	})
	return all
}

// exportKV exports the KV cache of the running attempt, for the receiver to resume
// from. It returns nil if no attempt runs, the request is not a generate request,
// the answer has no chunk yet or the export fails.
func (n *Node) exportKV(a *Accepted) *KVSource {
	attemptID, host, ok := a.Running()
	if !ok || a.Request.Kind != request.KindGenerate || a.Answer.Len() == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(n.context(), exportTimeout)
	defer cancel()
	export, err := n.ports.Engine.ExportKV(ctx, host.EndpointAddress, attemptID)
	if err != nil {
		return nil // the receiver recomputes it
	}
	return &KVSource{Endpoint: host.ID, Address: host.EndpointAddress, Export: export}
}

// candidates returns the peers that a request may be offered to, best first: those
// that are neither leaving nor dead.
func (n *Node) candidates(id request.ID) []string {
	var peers []drain.Peer
	for _, h := range n.peerHosts() {
		if !n.entryLeaving(h) && !n.isDead(h) {
			peers = append(peers, drain.Peer{Host: h.ID, Region: h.Region})
		}
	}
	return drain.Candidates(id.String(), peers, n.settings.Region, maxCandidates)
}

// isDead reports whether an entry host is considered dead because it does not
// answer heartbeats.
func (n *Node) isDead(h port.Host) bool {
	verdict, _ := n.members.Verdict(h.ID)
	return verdict == member.Dead
}

// peer returns the other entry host with the given id, if the host list has it.
func (n *Node) peer(id string) (port.Host, bool) {
	for _, h := range n.peerHosts() {
		if h.ID == id {
			return h, true
		}
	}
	return port.Host{}, false
}
