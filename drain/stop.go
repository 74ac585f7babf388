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

// Cause tells who asked for a stop. Each can take back only its own.
type Cause string

// Causes of a stop.
const (
	// CauseSignal is never taken back.
	CauseSignal Cause = "signal"
	// CauseNotice is a notice of the cloud.
	CauseNotice Cause = "notice"
	// CauseDate is a maintenance date in a service document.
	CauseDate Cause = "date"
)

// Demand is what one cause asks for.
type Demand struct {
	Reason Reason
	// Deadline is when the host ends; zero when the stop waits however long.
	Deadline time.Time
}

// Stop is the stop of one entry host, for one cause or several. The zero value
// is no stop.
type Stop struct {
	// AcceptFor is how long callers may hold an older address answer.
	AcceptFor time.Duration
	// Lead is the time before the deadline at which handing over begins.
	Lead time.Duration
	// Began is when the first of the present causes came.
	Began time.Time

	demands map[Cause]Demand
}

// Begin starts a stop, or adds a cause to the one under way. A cause that
// asks again keeps the sharper of its demands: a reclaim goes before a planned
// stop, and the earlier deadline before the later. A second signal changes
// nothing.
func (s *Stop) Begin(now time.Time, cause Cause, d Demand) {
	if s.demands == nil {
		s.demands = map[Cause]Demand{}
	}
	if len(s.demands) == 0 {
		s.Began = now
	}
	if known, ok := s.demands[cause]; ok {
		d = sharper(known, d)
	}
	s.demands[cause] = d
}

// sharper joins two demands. The reason of a is kept unless b is a reclaim.
func sharper(a, b Demand) Demand {
	if b.Reason == ReasonReclaim {
		a.Reason = b.Reason
	}
	if a.Deadline.IsZero() || (!b.Deadline.IsZero() && b.Deadline.Before(a.Deadline)) {
		a.Deadline = b.Deadline
	}
	return a
}

// Withdraw takes a cause back; the others go on.
func (s *Stop) Withdraw(cause Cause) {
	delete(s.demands, cause)
	if len(s.demands) == 0 {
		s.Began = time.Time{}
	}
}

// Demand returns what all causes together ask for.
func (s *Stop) Demand() Demand {
	var out Demand
	for _, cause := range []Cause{CauseSignal, CauseNotice, CauseDate} {
		d, ok := s.demands[cause]
		switch {
		case !ok:
		case out.Reason == "":
			out = d
		default:
			out = sharper(out, d)
		}
	}
	return out
}

// exit reports whether the process is to end once nothing is in progress. A
// stop that only a notice or a date asks for stays up till the host is taken,
// since it may be withdrawn.
func (s *Stop) exit() bool {
	_, ok := s.demands[CauseSignal]
	return ok
}

// Leaving reports whether the host must not be in the address answers.
func (s *Stop) Leaving() bool { return len(s.demands) > 0 }

// Phase returns the phase at a time, with open requests and answers in
// progress.
func (s *Stop) Phase(now time.Time, open int) Phase {
	d := s.Demand()
	switch {
	case !s.Leaving():
		return PhaseServing
	case s.exit() && open == 0 && s.outlived(now):
		return PhaseDone
	case d.Reason == ReasonReclaim, s.pressed(now, d.Deadline):
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
func (s *Stop) pressed(now, deadline time.Time) bool {
	return !deadline.IsZero() && !now.Before(deadline.Add(-s.Lead))
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
