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
	// spreadLimit is how long the word that a host leaves may take to reach
	// the others.
	spreadLimit = time.Second
	// repeatInterval is the time between two words to a host that has
	// confirmed one already.
	repeatInterval = 5 * time.Second
	// leavingKept is how long a host's own word that it leaves holds without
	// being repeated.
	leavingKept = 30 * time.Second
	// spreadParallel bounds the hosts that are told at the same time.
	spreadParallel = 32
	// peerTimeout bounds one short call to a peer.
	peerTimeout = time.Second
	// maintenanceLead is how long before a maintenance date a host leaves the
	// address answers, beyond the longest request timeout.
	maintenanceLead = 30 * time.Second
)

// LeavingParams is the word of an entry host on whether it leaves.
type LeavingParams struct {
	Host    string `json:"host"`
	Leaving bool   `json:"leaving"`
}

// leavingTable holds the hosts that said themselves that they leave, and which
// hosts know that this one does.
type leavingTable struct {
	mu    sync.Mutex
	said  map[string]time.Time
	aware map[string]time.Time
	word  bool
}

func newLeavingTable() *leavingTable {
	return &leavingTable{said: map[string]time.Time{}, aware: map[string]time.Time{}}
}

func (t *leavingTable) hear(p LeavingParams, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.Leaving {
		t.said[p.Host] = now
		return
	}
	delete(t.said, p.Host)
}

// says reports whether a host said lately that it leaves.
func (t *leavingTable) says(host string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.said[host]
	return ok && now.Sub(at) < leavingKept
}

// speak sets the word of this host; all others have to hear it.
func (t *leavingTable) speak(leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.word = leaving
	clear(t.aware)
}

// due returns the hosts that have not confirmed the word lately.
func (t *leavingTable) due(hosts []port.Host, now time.Time) ([]port.Host, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []port.Host
	for _, h := range hosts {
		if at, ok := t.aware[h.ID]; !ok || now.Sub(at) >= repeatInterval {
			out = append(out, h)
		}
	}
	return out, t.word
}

func (t *leavingTable) confirm(host string, word bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if word == t.word {
		t.aware[host] = now
	}
}

// peerHosts returns the other entry hosts of the list.
func (n *Node) peerHosts() []port.Host {
	var out []port.Host
	for _, h := range n.hosts.all() {
		if h.Role == port.RoleEntry && h.ID != n.settings.Host {
			out = append(out, h)
		}
	}
	return out
}

// sayLeaving tells all entry hosts at once whether this one leaves.
func (n *Node) sayLeaving(leaving bool) {
	n.leaving.speak(leaving)
	n.leaving.hear(LeavingParams{n.settings.Host, leaving}, time.Now())
	n.tomb.Go(func() error {
		n.repeatLeaving()
		return nil
	})
}

// repeatLeaving tells the hosts that have not confirmed the word lately.
func (n *Node) repeatLeaving() {
	hosts, word := n.leaving.due(n.peerHosts(), time.Now())
	if word {
		n.leaving.hear(LeavingParams{n.settings.Host, true}, time.Now())
	}
	var group errgroup.Group
	group.SetLimit(spreadParallel)
	for _, h := range hosts {
		group.Go(func() error {
			n.tellLeaving(h, word)
			return nil
		})
	}
	_ = group.Wait() // a host that does not answer is told again
}

func (n *Node) tellLeaving(h port.Host, word bool) {
	ctx, cancel := context.WithTimeout(n.context(), peerTimeout)
	defer cancel()
	if n.ports.Peers.Call(ctx, h.PeerAddress, MethodLeaving, LeavingParams{n.settings.Host, word}, nil) == nil {
		n.leaving.confirm(h.ID, word, time.Now())
	}
}

func (n *Node) handleLeaving(_ context.Context, params json.RawMessage) (any, error) {
	var p LeavingParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, err
	}
	n.leaving.hear(p, time.Now())
	return true, nil
}

// unawareHosts returns the hosts that have not confirmed this host's word.
func (n *Node) unawareHosts() []string {
	hosts, _ := n.leaving.due(n.peerHosts(), time.Now())
	var out []string
	for _, h := range hosts[:min(len(hosts), reportedRequests)] {
		out = append(out, h.ID)
	}
	return out
}

// entryLeaving reports whether an entry host leaves, by notice, list, its own
// word or a maintenance date.
func (n *Node) entryLeaving(h port.Host) bool {
	return n.hosts.leaving(h) || n.leaving.says(h.ID, time.Now())
}

// schedule returns the maintenance dates of all documents.
func (n *Node) schedule() drain.Schedule {
	out := drain.Schedule{Lead: n.maintenanceLead()}
	for service, rev := range n.documents.All() {
		for _, m := range rev.Document.Maintenance {
			out.Windows = append(out.Windows, drain.Window{Service: service, Zone: m.Zone, Host: m.Host, Starts: m.Starts, Ends: m.Ends})
		}
	}
	return out
}

// maintenanceLead returns how long before a date a host leaves the address
// answers: long enough for every request to reach its own timeout.
func (n *Node) maintenanceLead() time.Duration {
	longest := time.Duration(0)
	for _, rev := range n.documents.All() {
		longest = max(longest, rev.Document.Latency.RequestTimeout.Std())
	}
	return longest + n.settings.AddressLifetime.Std() + maintenanceLead
}

// underMaintenance reports whether a date of its own service's document takes
// an endpoint out of use.
func (n *Node) underMaintenance(s drain.Schedule, h port.Host) bool {
	_, due := s.Endpoint(h.Service, h.ID, h.Zone, time.Now())
	return due
}

// followMaintenance begins and ends the stop that a document's dates ask of
// this host.
func (n *Node) followMaintenance(now time.Time) {
	w, due := n.schedule().Entry(n.settings.Host, n.settings.Zone, now)
	n.stopping.mu.Lock()
	known := n.stopping.maintenance
	n.stopping.maintenance = w
	if w != known {
		n.stopping.stop.Withdraw(drain.CauseDate) // a date that moved begins anew
	}
	n.stopping.mu.Unlock()
	switch {
	case due && w != known:
		n.drainFor(drain.CauseDate, drain.Demand{Reason: drain.ReasonMaintenance, Deadline: w.Starts})
	case !due && known != (drain.Window{}):
		n.withdrawStop(drain.CauseDate)
	}
}
