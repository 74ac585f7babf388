package node

import (
	"context"
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/lease"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/record"
	"github.com/cicadanotch/cicadanotch/rendezvous"
)

const (
	// leaseInterval is the time between two looks at the leases.
	leaseInterval = 250 * time.Millisecond
	// leaseCandidates is how many entry hosts compete for one lease.
	leaseCandidates = 3
)

// leaseHolder keeps one lease. Its lock is not held across an append.
type leaseHolder struct {
	mu     sync.Mutex
	member *lease.Member
	// appending is set while a record of this lease is on its way.
	appending bool
}

// leaseHolders are the leases that this process competes for.
type leaseHolders struct {
	node *Node

	mu   sync.Mutex
	rows map[string]*leaseHolder
}

func newLeaseHolders(n *Node) *leaseHolders {
	return &leaseHolders{node: n, rows: map[string]*leaseHolder{}}
}

// lease reports whether this process holds the lease of that name, and the
// fencing number to give orders under. The first call enters the process as a
// candidate. It is asked again right before each order.
func (n *Node) lease(name string) (fence int64, valid bool) {
	h := n.holders.get(name)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.member.Held(time.Now())
}

// leaseUnfenced is lease for orders to endpoints that do not check fencing
// numbers: a new holder first waits out the longest order of the one before.
func (n *Node) leaseUnfenced(name string) (fence int64, valid bool) {
	h := n.holders.get(name)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.member.HeldUnfenced(time.Now())
}

func (s *leaseHolders) get(name string) *leaseHolder {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.rows[name]
	if !ok {
		h = &leaseHolder{member: lease.NewMember(name, s.node.incarnation, lease.DefaultOptions())}
		s.rows[name] = h
	}
	return h
}

func (s *leaseHolders) names() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.rows))
	for name := range s.rows {
		names = append(names, name)
	}
	return names
}

// step takes in what the log says of each lease and appends what is due.
func (s *leaseHolders) step() {
	for _, name := range s.names() {
		h := s.get(name)
		if e, ok := s.next(h, name); ok {
			s.node.tomb.Go(func() error {
				s.append(h, e)
				return nil
			})
		}
	}
}

func (s *leaseHolders) next(h *leaseHolder, name string) (record.Envelope, bool) {
	current := s.node.leases.Get(name)
	atEnd := s.node.tail.endReached()
	eligible := s.node.leaseCandidate(name)
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.member.Observe(now, current)
	if h.appending || atEnd.IsZero() {
		return record.Envelope{}, false
	}
	action := h.member.Next(now, atEnd)
	if action.Verb == "" || (action.Verb == lease.VerbTake && !eligible) {
		return record.Envelope{}, false
	}
	e, err := record.New(record.KindLease, s.node.settings.Host, action.Change)
	if err != nil {
		return record.Envelope{}, false
	}
	h.member.Appending(now, e.ID)
	h.appending = true
	return e, true
}

func (s *leaseHolders) append(h *leaseHolder, e record.Envelope) {
	ctx, cancel := context.WithTimeout(s.node.context(), lease.DefaultOptions().TTL)
	defer cancel()
	err := s.node.append(ctx, classControl, e)
	h.mu.Lock()
	h.appending = false
	h.mu.Unlock()
	if err != nil {
		s.node.log.Warn().Err(err).Msg("lease record not confirmed")
	}
}

// releaseLeases gives back what this process holds; it is called when the host
// is under notice. Leases that are not given back lapse by themselves.
func (n *Node) releaseLeases(ctx context.Context) {
	for _, name := range n.holders.names() {
		h := n.holders.get(name)
		h.mu.Lock()
		action := h.member.Release()
		h.mu.Unlock()
		if action.Verb == "" {
			continue
		}
		e, err := record.New(record.KindLease, n.settings.Host, action.Change)
		if err == nil {
			err = n.append(ctx, classControl, e)
		}
		if err != nil {
			n.log.Warn().Str("lease", name).Err(err).Msg("lease not given back")
		}
	}
}

// leaseCandidate reports whether this host is among the few that compete for a
// lease. A host that is leaving does not.
func (n *Node) leaseCandidate(name string) bool {
	rank, ok := n.rank("lease/" + name)
	return ok && rank < leaseCandidates
}

// rank returns this host's rendezvous rank for a key among the live entry
// hosts, and false when the list does not show it as live.
func (n *Node) rank(key string) (int, bool) {
	own := rendezvous.Score(key, n.settings.Host)
	above, listed := 0, false
	for _, h := range n.hosts.all() {
		if h.Role != port.RoleEntry || n.hosts.leaving(h) {
			continue
		}
		if h.ID == n.settings.Host {
			listed = true
			continue
		}
		score := rendezvous.Score(key, h.ID)
		if score > own || (score == own && h.ID < n.settings.Host) {
			above++
		}
	}
	return above, listed
}
