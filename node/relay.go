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

// relaysPerZone is how many entry hosts of an availability zone read the log
// for the others.
const relaysPerZone = 2

// relays carries the log between this host and those of its zone.
type relays struct {
	server *relay.Server
	log    *relay.Log
	// chosen holds the relays of the own zone, the preferred one first.
	chosen atomic.Pointer[[]relay.Peer]
}

func newRelays(n *Node) *relays {
	r := &relays{server: relay.NewServer(n.context(), n.ports.Log, n.settings.Host, relay.DefaultWindowBytes)}
	r.log = relay.NewLog(n.ports.Log, n.ports.Peers, r.server, r.list)
	return r
}

// list returns the relays to use; none while the list of hosts is unknown.
func (r *relays) list() []relay.Peer {
	if chosen := r.chosen.Load(); chosen != nil {
		return *chosen
	}
	return nil
}

// chooseRelays sets the relays of the own zone from the live hosts. The host
// itself comes first; others are spread over the zone's relays.
func (n *Node) chooseRelays() {
	if n.ports.Peers == nil {
		return
	}
	addresses := map[string]string{}
	var live []string
	for _, h := range n.hosts.all() {
		if h.Role == port.RoleEntry && h.Zone == n.settings.Zone && n.mayRelay(h) {
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

func (n *Node) mayRelay(h port.Host) bool {
	verdict, known := n.members.Verdict(h.ID)
	return h.PeerAddress != "" && known && (verdict == member.Alive || verdict == member.Suspect)
}

// RelayState is the dump of a process's part in carrying the log.
type RelayState struct {
	// Relays are the relays of the zone, the preferred one first.
	Relays []string `json:"relays"`
	// Source is the host that answered the last read, or "log".
	Source string                 `json:"source"`
	Uses   map[relay.Source]int64 `json:"uses"`
	Counts relay.Counts           `json:"counts"`
}

// RelayState returns the dump of the relays.
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
