package lease

import (
	"time"
)

// Options are the times of a lease. All members of a lease use the same.
type Options struct {
	// TTL is how long a lease lasts after its last renewal.
	TTL time.Duration
	// Margin is how much sooner than TTL the holder stops.
	Margin time.Duration
	// LongestOrder is the longest time that an order given under the lease may
	// take to reach its effect. For endpoints that do not check fencing
	// numbers a new holder waits that long before its first order.
	LongestOrder time.Duration
}

// DefaultOptions suit a log that answers within a second.
func DefaultOptions() Options {
	return Options{TTL: 10 * time.Second, Margin: 2 * time.Second, LongestOrder: 5 * time.Second}
}

// Action is what a member has to append next.
type Action struct {
	// Verb is empty when there is nothing to append.
	Verb Verb
	// Change is the body to append.
	Change Change
}

// Member is one process's side of one lease: it tells when to append what, and
// whether the process holds the lease. Times carry the monotonic clock of the
// process. Not safe for concurrent use.
type Member struct {
	name string
	self string
	opts Options

	current Lease
	// seenAt is when current was first seen.
	seenAt time.Time
	// appends are the times at which this process began to append its records,
	// by record id.
	appends map[string]time.Time
	// validUntil is the end of the time that this process may act for.
	validUntil time.Time
	// heldSince is when this process saw that it had taken the lease.
	heldSince time.Time
}

// NewMember returns the side of process self; self must be unique to the
// process, not only to its host.
func NewMember(name, self string, opts Options) *Member {
	return &Member{name: name, self: self, opts: opts, appends: map[string]time.Time{}}
}

// Observe takes in the folded state of the lease.
func (m *Member) Observe(now time.Time, l Lease) {
	if m.seenAt.IsZero() {
		m.seenAt = now
	}
	if l.Last == m.current.Last {
		return
	}
	fresh := l.Fence != m.current.Fence
	m.current, m.seenAt = l, now
	if l.Holder != m.self {
		m.validUntil = time.Time{}
		m.appends = map[string]time.Time{}
		return
	}
	if fresh {
		m.heldSince = now
	}
	if began, ok := m.appends[l.RecordID]; ok {
		m.validUntil = began.Add(m.opts.TTL - m.opts.Margin)
	}
}

// Appending notes that the process is about to append the record of that id.
// It is called before the append begins.
func (m *Member) Appending(now time.Time, recordID string) {
	for id, began := range m.appends {
		if now.Sub(began) > m.opts.TTL {
			delete(m.appends, id)
		}
	}
	m.appends[recordID] = now
}

// Next returns what to append now. atEnd is the last time at which the process
// had read the log up to its end: a lease is taken over only if nothing was
// heard of it up to a moment after it lapsed.
func (m *Member) Next(now, atEnd time.Time) Action {
	switch {
	case m.current.Holder == m.self && m.mayRenew(now):
		return m.action(VerbRenew)
	case m.current.Holder == m.self && !m.lapsed(atEnd):
		return Action{}
	case m.current.Holder == "" && !atEnd.Before(m.seenAt):
		return m.action(VerbTake)
	case m.current.Holder != "" && m.lapsed(atEnd):
		return m.action(VerbTake)
	}
	return Action{}
}

// mayRenew reports whether a third of the time has passed since the last
// renewal. A holder whose time is over does not renew: it has stopped, and takes
// the lease again with a new fencing number once it has lapsed.
func (m *Member) mayRenew(now time.Time) bool {
	if !now.Before(m.validUntil) {
		return false
	}
	renewed := m.validUntil.Add(m.opts.Margin - m.opts.TTL)
	return now.Sub(renewed) >= m.opts.TTL/3
}

// lapsed reports whether the log had held nothing new on the lease for a whole
// TTL.
func (m *Member) lapsed(atEnd time.Time) bool {
	return !atEnd.Before(m.seenAt.Add(m.opts.TTL))
}

func (m *Member) action(v Verb) Action {
	return Action{Verb: v, Change: Change{Name: m.name, Verb: v, Holder: m.self, Last: m.current.Last}}
}

// Release returns the record that gives the lease back, if it is held. From
// then on the process does not hold it, whether the record lands or not.
func (m *Member) Release() Action {
	if m.current.Holder != m.self {
		return Action{}
	}
	m.validUntil = time.Time{}
	return m.action(VerbRelease)
}

// Held reports whether the process may give orders now, and under which fencing
// number. It is asked again right before each order.
func (m *Member) Held(now time.Time) (fence int64, ok bool) {
	if m.current.Holder != m.self || !now.Before(m.validUntil) {
		return 0, false
	}
	return m.current.Fence, true
}

// HeldUnfenced is Held for orders to endpoints that do not check fencing
// numbers: a new holder first waits out the longest order of the one before.
func (m *Member) HeldUnfenced(now time.Time) (fence int64, ok bool) {
	if now.Before(m.heldSince.Add(m.opts.LongestOrder)) {
		return 0, false
	}
	return m.Held(now)
}
