package node

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/cicadanotch/cicadanotch/answer"
	"github.com/cicadanotch/cicadanotch/drain"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
	"github.com/cicadanotch/cicadanotch/request"
)

const (
	// followTimeout bounds one call that waits for more of an answer, including
	// the poll itself.
	followTimeout = followPollTimeout + peerTimeout
	// firstSearchHosts and maxSearchHosts bound the hosts that are asked for a
	// request: firstSearchHosts are asked at once, the rest only when none of
	// those knows the request.
	firstSearchHosts = 16
	maxSearchHosts   = 128
	// maxSearches bounds the concurrent searches of a host.
	maxSearches = 64
)

// relayAnswer relays the answer of a request that a peer owns to the callers of
// this host. It takes the request back when no host owns it any more.
func (n *Node) relayAnswer(a *Accepted) {
	for n.context().Err() == nil && a.Answer.End() == nil {
		if a.detached(time.Now()) {
			n.requests.drop(a) // the owner serves callers that attach again
			return
		}
		event := n.pollOwner(n.context(), a)
		switch a.step(event, nil) {
		case drain.ActSearch:
			if !n.followNewOwner(a) {
				n.recoverRequest(a)
				return
			}
		case drain.ActRelay:
			if event != drain.EventProgress {
				pause(n.context(), followRetryDelay)
			}
		}
	}
	if a.Answer.End() != nil {
		a.markEnded()
	}
}

// pollOwner waits once for more of the answer from the host that owns it.
func (n *Node) pollOwner(ctx context.Context, a *Accepted) drain.Event {
	peer, ok := n.peer(a.handoff().Receiver)
	if !ok {
		return drain.EventGone
	}
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	var reply FollowReply
	params := FollowParams{ID: a.Request.ID, From: a.Answer.Len(), WaitMS: followPollTimeout.Milliseconds()}
	err := n.ports.Peers.Call(ctx, peer.PeerAddress, MethodFollow, params, &reply)
	switch {
	case errors.Is(err, port.ErrPeerRefused):
		return drain.EventRefused
	case err != nil:
		return drain.EventLost
	case !reply.Known:
		return drain.EventUnknown
	}
	_ = a.Answer.Extend(reply.Chunks, reply.End) // no gap: the reply begins at the next index
	return drain.EventProgress
}

// followNewOwner searches for the owner of a request whose receiver is gone,
// and follows it.
func (n *Node) followNewOwner(a *Accepted) bool {
	var locations []drain.Location
	for _, r := range n.locate(n.context(), a.Request.ID) {
		locations = append(locations, r.Location)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	next, ok := drain.Successor(locations, a.handoffState.Epoch)
	if ok {
		a.handoffState.Follow(next.Host, next.Epoch)
	}
	return ok
}

// recoverRequest takes back a request whose receiver is gone and that no other
// host owns.
func (n *Node) recoverRequest(a *Accepted) {
	a.mu.Lock()
	a.handoffState.TakeBack()
	epoch := a.handoffState.Epoch
	a.mu.Unlock()
	n.log.Warn().Str("request", a.Request.ID.String()).Str("service", a.Request.Service).Str("workspace", a.Request.Workspace).
		Int64("epoch", epoch).Msg("receiver is gone; request taken back")
	n.takeBack(a, nil)
}

// locate asks other entry hosts for their state of a request.
func (n *Node) locate(ctx context.Context, id request.ID) []LocateReply {
	var peers []drain.Peer
	for _, h := range n.peerHosts() {
		peers = append(peers, drain.Peer{Host: h.ID, Region: h.Region})
	}
	ranked := drain.SearchOrder(id.String(), peers, maxSearchHosts)
	first := min(firstSearchHosts, len(ranked))
	found := n.locateAmong(ctx, id, ranked[:first])
	if len(found) > 0 {
		return found
	}
	return n.locateAmong(ctx, id, ranked[first:])
}

func (n *Node) locateAmong(ctx context.Context, id request.ID, hosts []string) []LocateReply {
	var mu sync.Mutex
	var found []LocateReply
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	for _, host := range hosts {
		group.Go(func() error {
			if reply, ok := n.locateAt(ctx, id, host); ok {
				mu.Lock()
				defer mu.Unlock()
				found = append(found, reply)
			}
			return nil
		})
	}
	_ = group.Wait() // a host that does not answer counts as not knowing the request
	return found
}

func (n *Node) locateAt(ctx context.Context, id request.ID, host string) (LocateReply, bool) {
	var reply LocateReply
	peer, ok := n.peer(host)
	if !ok {
		return reply, false
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	err := n.ports.Peers.Call(ctx, peer.PeerAddress, MethodLocate, IDParams{id}, &reply)
	return reply, err == nil && reply.State != drain.StateNone && reply.Request != nil
}

// Attach returns a request that was accepted earlier by this host or another.
// Only the request's own workspace may attach; to others it does not exist.
func (n *Node) Attach(ctx context.Context, id request.ID, key, workspace string) (*Accepted, *problem.Problem) {
	if a, ok := n.requests.get(id); ok && n.mayAttach(a.Request, key, workspace) {
		return a, nil
	}
	if !n.isWorkspaceKey(key, workspace) {
		return nil, notFound()
	}
	select {
	case n.searchSlots <- struct{}{}:
		defer func() { <-n.searchSlots }()
	case <-ctx.Done():
		return nil, notFound()
	}
	return n.attachRemote(ctx, id, key, workspace)
}

func notFound() *problem.Problem {
	return problem.Unknown(http.StatusNotFound, problem.TypeNotFound, "no entry host knows such a request")
}

// mayAttach reports whether a caller with a key may attach to a request.
func (n *Node) mayAttach(req *request.Request, key, workspace string) bool {
	w, ok := findWorkspace(n.documentOf(req.Service), key, workspace)
	return ok && w.Name == req.Workspace
}

// isWorkspaceKey reports whether a key belongs to a workspace of any service.
// Requests with other keys are not searched for on other hosts.
func (n *Node) isWorkspaceKey(key, workspace string) bool {
	for _, rev := range n.documents.All() {
		if _, ok := findWorkspace(rev.Document, key, workspace); ok {
			return true
		}
	}
	return false
}

// attachRemote relays the answer of a request that another host holds.
func (n *Node) attachRemote(ctx context.Context, id request.ID, key, workspace string) (*Accepted, *problem.Problem) {
	found := n.locate(ctx, id)
	found = slices.DeleteFunc(found, func(r LocateReply) bool { return !n.mayAttach(r.Request, key, workspace) })
	locations := make([]drain.Location, len(found))
	for i, r := range found {
		locations[i] = r.Location
	}
	best, ok := drain.Best(locations)
	if !ok {
		return nil, notFound()
	}
	a := &Accepted{Request: found[0].Request, Answer: answer.NewBuffer(), lastRead: time.Now(), relayFailed: make(chan struct{})}
	a.handoffState.Follow(best.Host, best.Epoch)
	relayCtx, cancel := context.WithCancel(n.context())
	a.cancel = cancel
	n.tomb.Go(func() error {
		defer cancel()
		n.relayToReader(relayCtx, a)
		return nil
	})
	return a, nil
}

// relayToReader fills the answer of a request held by another host until the
// answer ends or its only reader is gone. When no host owns the request any
// more the reader is disconnected, so that it attaches again.
func (n *Node) relayToReader(ctx context.Context, a *Accepted) {
	for ctx.Err() == nil && a.Answer.End() == nil {
		event := n.pollOwner(ctx, a)
		if ctx.Err() != nil {
			return
		}
		switch a.step(event, nil) {
		case drain.ActSearch:
			if !n.followNewOwner(a) {
				close(a.relayFailed)
				return
			}
		case drain.ActRelay:
			if event != drain.EventProgress {
				pause(ctx, followRetryDelay)
			}
		}
	}
}

// ReaderContext returns a context for one reader of the answer. It ends with
// ctx, or when the answer cannot continue at this host; disconnected reports
// the latter. The reader calls done when it stops reading.
func (a *Accepted) ReaderContext(ctx context.Context) (readerCtx context.Context, disconnected func() bool, done func()) {
	readerCtx, cancel := context.WithCancel(ctx)
	if a.relayFailed == nil {
		return readerCtx, func() bool { return false }, cancel
	}
	go func() {
		select {
		case <-a.relayFailed:
			cancel()
		case <-readerCtx.Done():
		}
	}()
	disconnected = func() bool {
		select {
		case <-a.relayFailed:
			return a.Answer.End() == nil
		default:
			return false
		}
	}
	return readerCtx, disconnected, func() {
		cancel()
		a.cancel()
	}
}
