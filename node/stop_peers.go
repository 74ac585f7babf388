package node

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cicadanotch/cicadanotch/drain"
	"github.com/cicadanotch/cicadanotch/port"
)

const (
	// maxAnnounceDelay is the time allowed for the announcement that a host
	// leaves to reach all others.
	maxAnnounceDelay = time.Second
	// announceInterval is the interval at which the announcement is repeated to
	// a host that has confirmed it.
	announceInterval = 5 * time.Second
	// announcementTTL is how long the announcement that a host leaves is valid
	// without being repeated.
	announcementTTL = 30 * time.Second
	// maxParallelCalls bounds the concurrent calls when many peers are called.
	maxParallelCalls = 32
	// peerTimeout bounds one short call to a peer.
	peerTimeout = time.Second
	// maintenanceLeadTime is how long before a maintenance window a host leaves
	// the address answers, in addition to the longest request timeout and the
	// TTL of an address answer.
	maintenanceLeadTime = 30 * time.Second
)

// LeavingParams is the announcement of an entry host on whether it leaves.
type LeavingParams struct {
	Host    string `json:"host"`
	Leaving bool   `json:"leaving"`
}

// leavingTable holds the hosts that announced that they leave, and the hosts
// that confirmed this host's own announcement.
type leavingTable struct {
	mu          sync.Mutex
	announcedAt map[string]time.Time
	confirmedAt map[string]time.Time
	ownLeaving  bool
}

func newLeavingTable() *leavingTable {
	return &leavingTable{announcedAt: map[string]time.Time{}, confirmedAt: map[string]time.Time{}}
}

func (t *leavingTable) receive(p LeavingParams, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.Leaving {
		t.announcedAt[p.Host] = now
		return
	}
	delete(t.announcedAt, p.Host)
}

// isLeaving reports whether a host has announced within announcementTTL that it
// leaves.
func (t *leavingTable) isLeaving(host string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.announcedAt[host]
	return ok && now.Sub(at) < announcementTTL
}

// setOwn sets the announcement of this host. All other hosts must confirm it
// anew.
func (t *leavingTable) setOwn(leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ownLeaving = leaving
	clear(t.confirmedAt)
}

// unconfirmed returns the hosts that have not confirmed the announcement within
// announceInterval, and the announcement.
func (t *leavingTable) unconfirmed(hosts []port.Host, now time.Time) ([]port.Host, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []port.Host
	for _, h := range hosts {
		if at, ok := t.confirmedAt[h.ID]; !ok || now.Sub(at) >= announceInterval {
			out = append(out, h)
		}
	}
	return out, t.ownLeaving
}

func (t *leavingTable) confirm(host string, leaving bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if leaving == t.ownLeaving {
		t.confirmedAt[host] = now
	}
}

// peerHosts returns the other entry hosts in the host list.
func (n *Node) peerHosts() []port.Host {
	var out []port.Host
	for _, h := range n.hosts.all() {
		if h.Role == port.RoleEntry && h.ID != n.settings.Host {
			out = append(out, h)
		}
	}
	return out
}

// announceLeaving announces to all entry hosts at once whether this one leaves.
func (n *Node) announceLeaving(leaving bool) {
	n.leaving.setOwn(leaving)
	n.leaving.receive(LeavingParams{n.settings.Host, leaving}, time.Now())
	n.tomb.Go(func() error {
		n.repeatAnnouncement()
		return nil
	})
}

// repeatAnnouncement sends the announcement to the hosts that have not
// confirmed it within announceInterval.
func (n *Node) repeatAnnouncement() {
	hosts, leaving := n.leaving.unconfirmed(n.peerHosts(), time.Now())
	if leaving {
		n.leaving.receive(LeavingParams{n.settings.Host, true}, time.Now())
	}
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	for _, h := range hosts {
		group.Go(func() error {
			n.sendLeaving(h, leaving)
			return nil
		})
	}
	_ = group.Wait() // the next repetition covers a host that does not answer
}

func (n *Node) sendLeaving(h port.Host, leaving bool) {
	ctx, cancel := context.WithTimeout(n.context(), peerTimeout)
	defer cancel()
	if n.ports.Peers.Call(ctx, h.PeerAddress, MethodLeaving, LeavingParams{n.settings.Host, leaving}, nil) == nil {
		n.leaving.confirm(h.ID, leaving, time.Now())
	}
}

func (n *Node) handleLeaving(_ context.Context, params json.RawMessage) (any, error) {
	var p LeavingParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, err
	}
	n.leaving.receive(p, time.Now())
	return true, nil
}

// unconfirmedHosts returns hosts that have not confirmed this host's
// announcement, at most maxReportedRequests.
func (n *Node) unconfirmedHosts() []string {
	hosts, _ := n.leaving.unconfirmed(n.peerHosts(), time.Now())
	var out []string
	for _, h := range hosts[:min(len(hosts), maxReportedRequests)] {
		out = append(out, h.ID)
	}
	return out
}

// entryLeaving reports whether an entry host leaves, according to a notice, the
// host list or its own announcement, which also covers maintenance windows.
func (n *Node) entryLeaving(h port.Host) bool {
	return n.hosts.leaving(h) || n.leaving.isLeaving(h.ID, time.Now())
}

// schedule returns the maintenance windows of all documents.
func (n *Node) schedule() drain.Schedule {
	out := drain.Schedule{LeadTime: n.leadTime()}
	for service, rev := range n.documents.All() {
		for _, m := range rev.Document.Maintenance {
			out.Windows = append(out.Windows, drain.Window{Service: service, Zone: m.Zone, Host: m.Host, Starts: m.Starts, Ends: m.Ends})
		}
	}
	return out
}

// leadTime returns how long before a maintenance window a host leaves the
// address answers: long enough for every request to reach its own timeout.
func (n *Node) leadTime() time.Duration {
	longest := time.Duration(0)
	for _, rev := range n.documents.All() {
		longest = max(longest, rev.Document.Latency.RequestTimeout.Std())
	}
	return longest + n.settings.AddressTTL.Std() + maintenanceLeadTime
}

// underMaintenance reports whether a maintenance window in the document of an
// endpoint's service takes the endpoint out of use.
func (n *Node) underMaintenance(s drain.Schedule, h port.Host) bool {
	_, due := s.Endpoint(h.Service, h.ID, h.Zone, time.Now())
	return due
}

// applyMaintenance begins and ends the stop of this host that the maintenance
// windows of the documents require.
func (n *Node) applyMaintenance(now time.Time) {
	window, due := n.schedule().Entry(n.settings.Host, n.settings.Zone, now)
	n.stopping.mu.Lock()
	previous := n.stopping.maintenance
	n.stopping.maintenance = window
	if window != previous {
		n.stopping.stop.Withdraw(drain.CauseSchedule) // a window that was moved begins a new stop
	}
	n.stopping.mu.Unlock()
	switch {
	case due && window != previous:
		n.beginStop(drain.CauseSchedule, drain.Demand{Reason: drain.ReasonMaintenance, Deadline: window.Starts})
	case !due && previous != (drain.Window{}):
		n.withdrawStop(drain.CauseSchedule)
	}
}
