package drain

import "time"

// Reason tells why an entry host stops.
type Reason string

// Reasons to stop.
const (
	// ReasonSignal is an operator's planned stop of the process.
	ReasonSignal Reason = "signal"
	// ReasonMaintenance is a planned stop that a notice or a service document
	// announces.
	ReasonMaintenance Reason = "maintenance"
	// ReasonReclaim is the end of the host at a deadline that nothing moves.
	ReasonReclaim Reason = "reclaim"
)

// Phase is how far an entry host's stop has come.
type Phase string

// Phases of a stop, in order.
const (
	// PhaseServing: no stop is under way.
	PhaseServing Phase = "serving"
	// PhaseAccepting: out of the address answers, but callers with an older
	// answer are still served.
	PhaseAccepting Phase = "accepting"
	// PhaseWaiting: new requests are refused, those in progress are waited
	// for.
	PhaseWaiting Phase = "waiting"
	// PhaseHandingOver: the deadline is near; requests go to other entry
	// hosts.
	PhaseHandingOver Phase = "handing-over"
	// PhaseDone: nothing is in progress any more, and the process may end.
	PhaseDone Phase = "done"
)

// Stop is the stop of one entry host. The zero value is no stop.
type Stop struct {
	Reason Reason
	Began  time.Time
	// Deadline is when the host ends; zero when the stop waits however long.
	Deadline time.Time
	// AcceptFor is how long callers may hold an older address answer.
	AcceptFor time.Duration
	// Lead is the time before the deadline at which handing over begins.
	Lead time.Duration
	// Exit is set when the process is to end once nothing is in progress; a
	// stop that a notice announces stays up till the host is taken, since the
	// notice may be withdrawn.
	Exit bool
}

// Begin starts a stop, or sharpens the one under way: a reclaim goes before a
// planned stop, and the earlier deadline before the later. A second signal
// changes nothing.
func (s *Stop) Begin(now time.Time, reason Reason, deadline time.Time) {
	s.Exit = s.Exit || reason == ReasonSignal
	if s.Began.IsZero() {
		s.Began, s.Reason, s.Deadline = now, reason, deadline
		return
	}
	if reason == ReasonReclaim {
		s.Reason = reason
	}
	if s.Deadline.IsZero() || (!deadline.IsZero() && deadline.Before(s.Deadline)) {
		s.Deadline = deadline
	}
}

// Withdraw takes a notice back. A stop by signal goes on without a deadline;
// any other ends, unless its requests are handed over already: that cannot
// be undone, but new ones are accepted again.
func (s *Stop) Withdraw() {
	if s.Exit {
		s.Reason, s.Deadline = ReasonSignal, time.Time{}
		return
	}
	s.Began, s.Reason, s.Deadline = time.Time{}, "", time.Time{}
}

// Leaving reports whether the host must not be in the address answers.
func (s *Stop) Leaving() bool { return !s.Began.IsZero() }

// Phase returns the phase at a time, with open requests and answers in
// progress.
func (s *Stop) Phase(now time.Time, open int) Phase {
	switch {
	case s.Began.IsZero():
		return PhaseServing
	case s.Exit && open == 0 && s.outlived(now):
		return PhaseDone
	case s.Reason == ReasonReclaim, s.pressed(now):
		return PhaseHandingOver
	case !s.outlived(now):
		return PhaseAccepting
	}
	return PhaseWaiting
}

// outlived reports whether every address answer that names the host has
// passed its lifetime.
func (s *Stop) outlived(now time.Time) bool { return !now.Before(s.Began.Add(s.AcceptFor)) }

// pressed reports whether a planned stop has come so near to its deadline
// that waiting no longer does.
func (s *Stop) pressed(now time.Time) bool {
	return !s.Deadline.IsZero() && !now.Before(s.Deadline.Add(-s.Lead))
}

// Accepts reports whether new requests are taken in a phase. While handing
// over they are taken too: a caller that holds an older address answer must
// be served, and its request goes on to a peer.
func (p Phase) Accepts() bool {
	return p == PhaseServing || p == PhaseAccepting || p == PhaseHandingOver
}

// StartsOrders reports whether a call that may not be repeated may be claimed
// and sent in a phase.
func (p Phase) StartsOrders() bool { return p != PhaseHandingOver }
