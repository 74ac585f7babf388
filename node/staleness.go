package node

import (
	"context"
	"math"
	"time"

	"github.com/cicadanotch/cicadanotch/port"
)

const (
	// statePeers is how many peers are asked for their state.
	statePeers = 8
	// stateTimeout bounds one question to a peer.
	stateTimeout = 2 * time.Second
	// staleAfter is how long a process may be behind peers before it takes
	// itself out of the address answers.
	staleAfter = 4 * time.Second
)

// peersToAsk returns the peer addresses of other live entry hosts, nearest
// first.
func (n *Node) peersToAsk() []string {
	var near, far []string
	for _, h := range n.hosts.all() {
		if h.Role != port.RoleEntry || h.ID == n.settings.Host || h.PeerAddress == "" {
			continue
		}
		if h.Region == n.settings.Region {
			near = append(near, h.PeerAddress)
		} else {
			far = append(far, h.PeerAddress)
		}
	}
	near = append(near, far...)
	return near[:min(len(near), statePeers)]
}

// fetchState takes over the state of the peer that has folded most, if that is
// more than this process has. It reports whether it did.
func (n *Node) fetchState(ctx context.Context) bool {
	address, next := n.furthestPeer(ctx)
	if next <= n.tail.state.Next() {
		return false
	}
	reply, err := n.askState(ctx, address, n.tail.state.Next())
	if err != nil || reply.Snapshot == nil {
		return false
	}
	if err := n.tail.state.Restore(*reply.Snapshot); err != nil {
		n.log.Warn().Str("peer", address).Err(err).Msg("state of a peer not taken over")
		return false
	}
	n.log.Info().Str("peer", address).Int64("offset", reply.Next).Msg("state taken over from a peer")
	return true
}

// furthestPeer asks peers how far they have folded the log.
func (n *Node) furthestPeer(ctx context.Context) (address string, next int64) {
	if n.ports.Peers == nil {
		return "", 0
	}
	for _, peer := range n.peersToAsk() {
		reply, err := n.askState(ctx, peer, 0)
		if err == nil && reply.Next > next {
			address, next = peer, reply.Next
		}
	}
	return address, next
}

func (n *Node) askState(ctx context.Context, address string, next int64) (stateReply, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	var reply stateReply
	err := n.ports.Peers.Call(ctx, address, MethodState, stateQuery{Next: next}, &reply)
	return reply, err
}

// Staleness returns how long ago the node last stood at the end of the log;
// it is the longest duration before it first did.
func (n *Node) Staleness() time.Duration {
	at := n.tail.endReached()
	if at.IsZero() {
		return math.MaxInt64
	}
	return time.Since(at)
}

// checkStaleness compares the node with its peers when the log does not
// answer: a peer that is further means that callers are better served there.
func (n *Node) checkStaleness() {
	stale := n.Staleness()
	n.metrics.staleness.Set(min(stale, 24*time.Hour).Seconds())
	if stale < staleAfter {
		n.behind.Store(false)
		return
	}
	ctx := n.context()
	before := n.tail.state.Next()
	_, furthest := n.furthestPeer(ctx)
	n.behind.Store(furthest > before && furthest > n.tail.state.Next())
}

// Behind reports whether the node knows that it should not be handed to
// callers: peers are further and it cannot catch up, or it has no state yet.
func (n *Node) Behind() bool { return !n.tail.follows() || n.behind.Load() }
