package node

import (
	"context"
	"math"
	"time"

	"github.com/cicadanotch/cicadanotch/port"
)

const (
	// maxStatePeers bounds the peers that are asked for their state.
	maxStatePeers = 8
	// stateTimeout bounds one state request to a peer.
	stateTimeout = 2 * time.Second
	// staleTimeout is how long a process may go without reaching the end of the
	// log before it compares itself with its peers, and removes itself from the
	// address answers if one of them is ahead.
	staleTimeout = 4 * time.Second
)

// peersByDistance returns the peer addresses of other entry hosts, those of
// this host's region first.
func (n *Node) peersByDistance() []string {
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
	return near[:min(len(near), maxStatePeers)]
}

// fetchState restores the state of the most advanced peer if that is ahead of
// this process. It reports whether it did.
func (n *Node) fetchState(ctx context.Context) bool {
	address, next := n.mostAdvancedPeer(ctx)
	if next <= n.tail.state.Next() {
		return false
	}
	reply, err := n.requestState(ctx, address, n.tail.state.Next())
	if err != nil || reply.Snapshot == nil {
		return false
	}
	if err := n.tail.state.Restore(*reply.Snapshot); err != nil {
		n.log.Warn().Str("peer", address).Err(err).Msg("state of a peer not restored")
		return false
	}
	n.log.Info().Str("peer", address).Int64("offset", reply.Next).Msg("state restored from a peer")
	return true
}

// mostAdvancedPeer asks peers for the next offset that they will fold, and
// returns the peer with the highest.
func (n *Node) mostAdvancedPeer(ctx context.Context) (address string, next int64) {
	if n.ports.Peers == nil {
		return "", 0
	}
	for _, peer := range n.peersByDistance() {
		reply, err := n.requestState(ctx, peer, 0)
		if err == nil && reply.Next > next {
			address, next = peer, reply.Next
		}
	}
	return address, next
}

func (n *Node) requestState(ctx context.Context, address string, next int64) (stateReply, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	var reply stateReply
	err := n.ports.Peers.Call(ctx, address, MethodState, stateQuery{Next: next}, &reply)
	return reply, err
}

// Staleness returns the time since the node was last at the end of the log, or
// the maximum duration if it never was.
func (n *Node) Staleness() time.Duration {
	at := n.tail.endReached()
	if at.IsZero() {
		return math.MaxInt64
	}
	return time.Since(at)
}

// checkStaleness compares the node with its peers when it cannot reach the end
// of the log. If a peer is ahead, the node is stale and callers use other hosts.
func (n *Node) checkStaleness() {
	age := n.Staleness()
	n.metrics.staleness.Set(min(age, 24*time.Hour).Seconds())
	if age < staleTimeout {
		n.behindPeers.Store(false)
		return
	}
	ctx := n.context()
	next := n.tail.state.Next()
	_, highest := n.mostAdvancedPeer(ctx)
	n.behindPeers.Store(highest > next && highest > n.tail.state.Next())
}

// Stale reports whether the node must be left out of the address answers: peers
// are ahead and it cannot catch up, or it has no state yet.
func (n *Node) Stale() bool { return !n.tail.canFollow() || n.behindPeers.Load() }
