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
	// leaseInterval is the interval at which leases are evaluated.
	leaseInterval = 250 * time.Millisecond
	// leaseCandidates is the number of entry hosts that compete for one lease.
	leaseCandidates = 3
)

// leaseParticipant is the part of this process in one lease. Its lock is not
// held during an append to the log.
type leaseParticipant struct {
	mu     sync.Mutex
	member *lease.Member
	// appending is set while the append of a record of this lease is in
	// progress.
	appending bool
}

// leaseParticipants holds the leases that this process competes for, by name.
type leaseParticipants struct {
	node *Node

	mu   sync.Mutex
	rows map[string]*leaseParticipant
}

func newLeaseParticipants(n *Node) *leaseParticipants {
	return &leaseParticipants{node: n, rows: map[string]*leaseParticipant{}}
}

// lease reports whether this process holds the named lease, and returns the
// fencing token to issue commands under. The first call registers the process
// as a candidate. Callers call it again right before each command.
func (n *Node) lease(name string) (fencingToken int64, valid bool) {
	p := n.leaseParticipants.get(name)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.member.Held(time.Now())
}

// leaseUnfenced is lease for commands to endpoints that do not check fencing
// tokens: a new holder first waits until the longest command of the previous
// holder must have ended.
func (n *Node) leaseUnfenced(name string) (fencingToken int64, valid bool) {
	p := n.leaseParticipants.get(name)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.member.HeldUnfenced(time.Now())
}

func (s *leaseParticipants) get(name string) *leaseParticipant {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.rows[name]
	if !ok {
		p = &leaseParticipant{member: lease.NewMember(name, s.node.incarnation, lease.DefaultOptions())}
		s.rows[name] = p
	}
	return p
}

func (s *leaseParticipants) names() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.rows))
	for name := range s.rows {
		names = append(names, name)
	}
	return names
}

// step applies the log's state of each lease and appends the records that are
// due.
func (s *leaseParticipants) step() {
	for _, name := range s.names() {
		p := s.get(name)
		if e, ok := s.next(p, name); ok {
			s.node.tomb.Go(func() error {
				s.append(p, e)
				return nil
			})
		}
	}
}

func (s *leaseParticipants) next(p *leaseParticipant, name string) (record.Envelope, bool) {
	current := s.node.leases.Get(name)
	endReachedAt := s.node.tail.endReached()
	eligible := s.node.isLeaseCandidate(name)
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.member.Observe(now, current)
	if p.appending || endReachedAt.IsZero() {
		return record.Envelope{}, false
	}
	action := p.member.Next(now, endReachedAt)
	if action.Verb == "" || (action.Verb == lease.VerbTake && !eligible) {
		return record.Envelope{}, false
	}
	e, err := record.New(record.KindLease, s.node.settings.Host, action.Change)
	if err != nil {
		return record.Envelope{}, false
	}
	p.member.Appending(now, e.ID)
	p.appending = true
	return e, true
}

func (s *leaseParticipants) append(p *leaseParticipant, e record.Envelope) {
	ctx, cancel := context.WithTimeout(s.node.context(), lease.DefaultOptions().TTL)
	defer cancel()
	err := s.node.append(ctx, classControl, e)
	p.mu.Lock()
	p.appending = false
	p.mu.Unlock()
	if err != nil {
		s.node.log.Warn().Err(err).Msg("lease record not confirmed")
	}
}

// releaseLeases releases the leases that this process holds; it is called when
// the host is under notice. Leases that are not released expire.
func (n *Node) releaseLeases(ctx context.Context) {
	for _, name := range n.leaseParticipants.names() {
		p := n.leaseParticipants.get(name)
		p.mu.Lock()
		action := p.member.Release()
		p.mu.Unlock()
		if action.Verb == "" {
			continue
		}
		e, err := record.New(record.KindLease, n.settings.Host, action.Change)
		if err == nil {
			err = n.append(ctx, classControl, e)
		}
		if err != nil {
			n.log.Warn().Str("lease", name).Err(err).Msg("lease not released")
		}
	}
}

// isLeaseCandidate reports whether this host is among the leaseCandidates hosts
// that compete for a lease. A host that is leaving never is.
func (n *Node) isLeaseCandidate(name string) bool {
	rank, ok := n.rank("lease/" + name)
	return ok && rank < leaseCandidates
}

// rank returns this host's rendezvous rank for a key among the live entry
// hosts, and false when the host is not listed as live.
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
