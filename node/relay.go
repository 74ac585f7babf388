package node

import (
	"context"
	"encoding/json"
	"slices"
	"sync/atomic"

	"github.com/cicadanotch/cicadanotch/member"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/relay"
	"github.com/cicadanotch/cicadanotch/rendezvous"
)

// relaysPerZone is the number of entry hosts of an availability zone that read
// the log on behalf of the others.
const relaysPerZone = 2

// relays connects this host to the log directly, or through the relays of its
// availability zone.
type relays struct {
	server *relay.Server
	log    *relay.Log
	// chosen holds the relays of this host's availability zone, the preferred
	// one first.
	chosen atomic.Pointer[[]relay.Peer]
}

func newRelays(n *Node) *relays {
	r := &relays{server: relay.NewServer(n.context(), n.ports.Log, n.settings.Host, relay.DefaultWindowBytes)}
	r.log = relay.NewLog(n.ports.Log, n.ports.Peers, r.server, r.list)
	return r
}

// list returns the relays to use, or none while the host list is unknown.
func (r *relays) list() []relay.Peer {
	if chosen := r.chosen.Load(); chosen != nil {
		return *chosen
	}
	return nil
}

// chooseRelays selects the relays of this host's availability zone among the
// live hosts. This host comes first if it is one itself; otherwise rendezvous
// order spreads the hosts over the relays.
func (n *Node) chooseRelays() {
	if n.ports.Peers == nil {
		return
	}
	addresses := map[string]string{}
	var live []string
	for _, h := range n.hosts.all() {
		if h.Role == port.RoleEntry && h.Zone == n.settings.Zone && n.canRelay(h) {
			live = append(live, h.ID)
			addresses[h.ID] = h.PeerAddress
		}
	}
	chosen := rendezvous.Top("relay/"+n.settings.Zone, live, relaysPerZone)
	if slices.Contains(chosen, n.settings.Host) {
		addresses[n.settings.Host] = ""
	}
	chosen = rendezvous.Rank("subscriber/"+n.settings.Host, chosen)
	var peers []relay.Peer
	for _, id := range chosen {
		p := relay.Peer{ID: id, Address: addresses[id]}
		if p.Address == "" {
			peers = slices.Insert(peers, 0, p)
			continue
		}
		peers = append(peers, p)
	}
	n.relays.chosen.Store(&peers)
}

func (n *Node) canRelay(h port.Host) bool {
	verdict, known := n.members.Verdict(h.ID)
	return h.PeerAddress != "" && known && (verdict == member.Alive || verdict == member.Suspect)
}

// RelayState is the state dump of the log relays as this process uses them.
type RelayState struct {
	// Relays are the relays of the availability zone, the preferred one first.
	Relays []string `json:"relays"`
	// Source is the host that answered the last read, or "log".
	Source string                 `json:"source"`
	Uses   map[relay.Source]int64 `json:"uses"`
	Counts relay.Counts           `json:"counts"`
}

// RelayState returns the state dump of the relays.
func (n *Node) RelayState() RelayState {
	s := RelayState{Counts: n.relays.server.Counts()}
	s.Uses, s.Source = n.relays.log.Uses()
	for _, p := range n.relays.list() {
		s.Relays = append(s.Relays, p.ID)
	}
	return s
}

func (n *Node) handleLogRead(ctx context.Context, params json.RawMessage) (any, error) {
	var call relay.ReadCall
	if err := json.Unmarshal(params, &call); err != nil {
		return nil, err
	}
	return n.relays.server.Read(ctx, call), nil
}

func (n *Node) handleLogAppend(ctx context.Context, params json.RawMessage) (any, error) {
	var call relay.AppendCall
	if err := json.Unmarshal(params, &call); err != nil {
		return nil, err
	}
	return n.relays.server.Append(ctx, call), nil
}
