package lease

import (
	"time"
)

// Options are the timings of a lease. All members of a lease must use the same.
type Options struct {
	// TTL is how long a lease is valid after it was taken or last renewed.
	TTL time.Duration
	// Margin is how long before the end of the TTL the holder stops acting.
	Margin time.Duration
	// MaxCommandDelay is the longest time until a command that was sent under the
	// lease takes effect. A new holder waits that long before its first command
	// to an endpoint that does not check fencing tokens.
	MaxCommandDelay time.Duration
}

// DefaultOptions returns timings for a log that responds within a second.
func DefaultOptions() Options {
	return Options{TTL: 10 * time.Second, Margin: 2 * time.Second, MaxCommandDelay: 5 * time.Second}
}

// Action is the next append of a member.
type Action struct {
	// Verb is empty if there is nothing to append.
	Verb Verb
	// Change is the body of the record to append.
	Change Change
}

// Member is one process's view of one lease. It decides when to append which
// record, and whether the process holds the lease. Times are readings of the
// process's own clock, with its monotonic part. A Member is not safe for
// concurrent use.
type Member struct {
	name string
	self string
	opts Options

	current Lease
	// seenAt is when current was first observed.
	seenAt time.Time
	// appendStarted holds, by record id, when this process began to append each
	// of its records.
	appendStarted map[string]time.Time
	// validUntil is when this process must stop acting under the lease.
	validUntil time.Time
	// acquiredAt is when this process observed that it had taken the lease.
	acquiredAt time.Time
	// releasing is set from Release until the lease is seen not to be held by this process.
	releasing bool
}

// NewMember returns the view that the process self has of the lease name. The value
// of self must be unique to the process, not only to its host.
func NewMember(name, self string, opts Options) *Member {
	return &Member{name: name, self: self, opts: opts, appendStarted: map[string]time.Time{}}
}

// Observe records the state of the lease in the table.
func (m *Member) Observe(now time.Time, l Lease) {
	if m.seenAt.IsZero() {
		m.seenAt = now
	}
	if l.Last == m.current.Last {
		return
	}
	taken := l.FencingToken != m.current.FencingToken
	m.current, m.seenAt = l, now
	if l.Holder != m.self {
		m.validUntil, m.releasing = time.Time{}, false
		m.appendStarted = map[string]time.Time{}
		return
	}
	if taken {
		m.acquiredAt = now
	}
	if started, ok := m.appendStarted[l.RecordID]; ok && !m.releasing {
		m.validUntil = started.Add(m.opts.TTL - m.opts.Margin)
	}
}

// Appending records that the process is about to append the record recordID. It
// must be called before the append begins.
func (m *Member) Appending(now time.Time, recordID string) {
	for id, started := range m.appendStarted {
		if now.Sub(started) > m.opts.TTL {
			delete(m.appendStarted, id)
		}
	}
	m.appendStarted[recordID] = now
}

// Next returns what to append now. caughtUpAt is the last time at which the process
// had read the log up to its end. A lease is taken over only if the log was read
// to its end after the lease expired and had no newer record on it.
func (m *Member) Next(now, caughtUpAt time.Time) Action {
	switch {
	case m.current.Holder == m.self && m.releasing:
		// The first release is refused if a renewal that was being appended was accepted before it.
		return m.action(VerbRelease)
	case m.current.Holder == m.self && m.renewalDue(now):
		return m.action(VerbRenew)
	case m.current.Holder == m.self && !m.expired(caughtUpAt):
		return Action{}
	case m.current.Holder == "" && !caughtUpAt.Before(m.seenAt):
		return m.action(VerbTake)
	case m.current.Holder != "" && m.expired(caughtUpAt):
		return m.action(VerbTake)
	}
	return Action{}
}

// renewalDue reports whether a third of the TTL has passed since the last renewal.
// A holder past validUntil does not renew: it has stopped acting, and takes the
// lease again with a new fencing token once the lease has expired.
func (m *Member) renewalDue(now time.Time) bool {
	if !now.Before(m.validUntil) {
		return false
	}
	renewed := m.validUntil.Add(m.opts.Margin - m.opts.TTL)
	return now.Sub(renewed) >= m.opts.TTL/3
}

// expired reports whether the log had no new record on the lease for a full TTL.
func (m *Member) expired(caughtUpAt time.Time) bool {
	return !caughtUpAt.Before(m.seenAt.Add(m.opts.TTL))
}

func (m *Member) action(v Verb) Action {
	return Action{Verb: v, Change: Change{Name: m.name, Verb: v, Holder: m.self, Last: m.current.Last}}
}

// Release returns the record that releases the lease, if the process holds it.
// From then on Held reports false, whether or not the record is appended, and Next
// releases the lease until it is seen to be free.
func (m *Member) Release() Action {
	if m.current.Holder != m.self {
		return Action{}
	}
	m.validUntil, m.releasing = time.Time{}, true
	return m.action(VerbRelease)
}

// Held reports whether the process may send commands now, and with which fencing
// token. It must be called again right before each command.
func (m *Member) Held(now time.Time) (fencingToken int64, ok bool) {
	if m.current.Holder != m.self || !now.Before(m.validUntil) {
		return 0, false
	}
	return m.current.FencingToken, true
}

// HeldUnfenced is Held for commands to endpoints that do not check fencing tokens:
// a new holder first waits MaxCommandDelay, until every command of the previous
// holder has taken effect.
func (m *Member) HeldUnfenced(now time.Time) (fencingToken int64, ok bool) {
	if now.Before(m.acquiredAt.Add(m.opts.MaxCommandDelay)) {
		return 0, false
	}
	return m.Held(now)
}
