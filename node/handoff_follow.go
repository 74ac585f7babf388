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
	// followTimeout bounds one call that waits for more of an answer.
	followTimeout = followWait + peerTimeout
	// searchFirst and searchLimit bound the hosts that are asked for a
	// request: the first at once, the rest only when none of those knows it.
	searchFirst = 16
	searchLimit = 128
	// searchesAtOnce bounds the searches of a host that go on at a time.
	searchesAtOnce = 64
)

// relayFrom passes the answer of a request that a peer owns on to the callers
// of this host, and takes the request back when nobody owns it any more.
func (n *Node) relayFrom(a *Accepted) {
	for n.context().Err() == nil && a.Answer.Ended() == nil {
		if a.detached(time.Now()) {
			n.requests.drop(a) // its owner answers whoever attaches again
			return
		}
		event := n.follow(n.context(), a)
		switch a.step(event, nil) {
		case drain.ActSearch:
			if !n.followSuccessor(a) {
				n.recover(a)
				return
			}
		case drain.ActRelay:
			if event != drain.EventProgress {
				pause(n.context(), followRetry)
			}
		}
	}
	if a.Answer.Ended() != nil {
		a.markEnded()
	}
}

// follow waits once for more of the answer at the host that is relayed from.
func (n *Node) follow(ctx context.Context, a *Accepted) drain.Event {
	peer, ok := n.peer(a.handoff().Taker)
	if !ok {
		return drain.EventGone
	}
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	var reply FollowReply
	params := FollowParams{ID: a.Request.ID, From: a.Answer.Len(), WaitMS: followWait.Milliseconds()}
	err := n.ports.Peers.Call(ctx, peer.PeerAddress, MethodFollow, params, &reply)
	switch {
	case errors.Is(err, port.ErrPeerRefused):
		return drain.EventRefused
	case err != nil:
		return drain.EventLost
	case !reply.Known:
		return drain.EventForgotten
	}
	_ = a.Answer.Extend(reply.Chunks, reply.End) // the reply begins at the next index
	return drain.EventProgress
}

// followSuccessor looks for the owner of a request whose taker is gone.
func (n *Node) followSuccessor(a *Accepted) bool {
	var locations []drain.Location
	for _, r := range n.locate(n.context(), a.Request.ID) {
		locations = append(locations, r.Location)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	next, ok := drain.Successor(locations, a.hand.Epoch)
	if ok {
		a.hand.Found(next.Host, next.Epoch)
	}
	return ok
}

// recover takes a request back whose taker is gone.
func (n *Node) recover(a *Accepted) {
	a.mu.Lock()
	a.hand.TakeBack()
	epoch := a.hand.Epoch
	a.mu.Unlock()
	n.log.Warn().Str("request", a.Request.ID.String()).Str("service", a.Request.Service).Str("workspace", a.Request.Workspace).
		Int64("epoch", epoch).Msg("taker is gone, request taken back")
	n.takeBack(a, nil)
}

// locate asks other entry hosts what they know of a request.
func (n *Node) locate(ctx context.Context, id request.ID) []LocateReply {
	var peers []drain.Peer
	for _, h := range n.peerHosts() {
		peers = append(peers, drain.Peer{Host: h.ID, Region: h.Region})
	}
	ranked := drain.Searched(id.String(), peers, searchLimit)
	first := min(searchFirst, len(ranked))
	found := n.ask(ctx, id, ranked[:first])
	if len(found) > 0 {
		return found
	}
	return n.ask(ctx, id, ranked[first:])
}

func (n *Node) ask(ctx context.Context, id request.ID, hosts []string) []LocateReply {
	var mu sync.Mutex
	var found []LocateReply
	var group errgroup.Group
	group.SetLimit(spreadParallel)
	for _, host := range hosts {
		group.Go(func() error {
			if reply, ok := n.askOne(ctx, id, host); ok {
				mu.Lock()
				defer mu.Unlock()
				found = append(found, reply)
			}
			return nil
		})
	}
	_ = group.Wait() // a host that does not answer knows nothing
	return found
}

func (n *Node) askOne(ctx context.Context, id request.ID, host string) (LocateReply, bool) {
	var reply LocateReply
	peer, ok := n.peer(host)
	if !ok {
		return reply, false
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	err := n.ports.Peers.Call(ctx, peer.PeerAddress, MethodLocate, IDParams{id}, &reply)
	return reply, err == nil && reply.Hold != drain.HoldNone && reply.Request != nil
}

// Attach returns a request that was accepted before, at this host or another.
// Only its own workspace may attach; for others it does not exist.
func (n *Node) Attach(ctx context.Context, id request.ID, key, workspace string) (*Accepted, *problem.Problem) {
	if a, ok := n.requests.get(id); ok && n.owns(a.Request, key, workspace) {
		return a, nil
	}
	if !n.anyWorkspace(key, workspace) {
		return nil, notFound()
	}
	select {
	case n.searches <- struct{}{}:
		defer func() { <-n.searches }()
	case <-ctx.Done():
		return nil, notFound()
	}
	return n.attachElsewhere(ctx, id, key, workspace)
}

func notFound() *problem.Problem {
	return problem.Unknown(http.StatusNotFound, problem.TypeNotFound, "no entry host knows such a request")
}

// owns reports whether the holder of a key may attach to a request.
func (n *Node) owns(req *request.Request, key, workspace string) bool {
	w, ok := findWorkspace(n.documentOf(req.Service), key, workspace)
	return ok && w.Name == req.Workspace
}

// anyWorkspace reports whether a key belongs to a workspace of any service;
// others are not worth a search.
func (n *Node) anyWorkspace(key, workspace string) bool {
	for _, rev := range n.documents.All() {
		if _, ok := findWorkspace(rev.Document, key, workspace); ok {
			return true
		}
	}
	return false
}

// attachElsewhere passes the answer of a request on that another host holds.
func (n *Node) attachElsewhere(ctx context.Context, id request.ID, key, workspace string) (*Accepted, *problem.Problem) {
	found := n.locate(ctx, id)
	found = slices.DeleteFunc(found, func(r LocateReply) bool { return !n.owns(r.Request, key, workspace) })
	locations := make([]drain.Location, len(found))
	for i, r := range found {
		locations[i] = r.Location
	}
	best, ok := drain.Best(locations)
	if !ok {
		return nil, notFound()
	}
	a := &Accepted{Request: found[0].Request, Answer: answer.NewBuffer(), lastRead: time.Now(), passing: make(chan struct{})}
	a.hand.Found(best.Host, best.Epoch)
	pass, cancel := context.WithCancel(n.context())
	a.cancel = cancel
	n.tomb.Go(func() error {
		defer cancel()
		n.passOn(pass, a)
		return nil
	})
	return a, nil
}

// passOn fills the answer of a passed-on request until its end, or until its
// only reader is gone. When nobody owns the request any more the reader is cut
// off, so that it attaches anew.
func (n *Node) passOn(ctx context.Context, a *Accepted) {
	for ctx.Err() == nil && a.Answer.Ended() == nil {
		event := n.follow(ctx, a)
		if ctx.Err() != nil {
			return
		}
		switch a.step(event, nil) {
		case drain.ActSearch:
			if !n.followSuccessor(a) {
				close(a.passing)
				return
			}
		case drain.ActRelay:
			if event != drain.EventProgress {
				pause(ctx, followRetry)
			}
		}
	}
}

// Reading returns a context for one reader of the answer. It ends with ctx, or
// when the answer cannot go on at this host; cut tells the latter.
func (a *Accepted) Reading(ctx context.Context) (reading context.Context, cut func() bool, done func()) {
	reading, cancel := context.WithCancel(ctx)
	if a.passing == nil {
		return reading, func() bool { return false }, cancel
	}
	go func() {
		select {
		case <-a.passing:
			cancel()
		case <-reading.Done():
		}
	}()
	cut = func() bool {
		select {
		case <-a.passing:
			return a.Answer.Ended() == nil
		default:
			return false
		}
	}
	return reading, cut, func() {
		cancel()
		a.cancel()
	}
}
