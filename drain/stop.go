package drain

import "time"

// Reason is why an entry host stops.
type Reason string

// Reasons to stop.
const (
	// ReasonSignal is an operator's planned stop of the process.
	ReasonSignal Reason = "signal"
	// ReasonMaintenance is a planned stop announced by a notice or a service
	// document.
	ReasonMaintenance Reason = "maintenance"
	// ReasonReclaim is the reclaim of the host at a fixed deadline.
	ReasonReclaim Reason = "reclaim"
)

// Phase is the phase of an entry host's stop.
type Phase string

// Phases of a stop, in order.
const (
	// PhaseServing means that no stop is in progress.
	PhaseServing Phase = "serving"
	// PhaseAccepting means that the host is no longer in the address answers but
	// still serves callers that hold an older answer.
	PhaseAccepting Phase = "accepting"
	// PhaseWaiting means that the host refuses new requests and waits for those
	// in progress.
	PhaseWaiting Phase = "waiting"
	// PhaseHandingOver means that the deadline is near and requests are handed
	// off to other entry hosts.
	PhaseHandingOver Phase = "handing-over"
	// PhaseDone means that nothing is in progress and the process may exit.
	PhaseDone Phase = "done"
)

// Cause is the origin of a stop. A cause can withdraw only the demand that it made.
type Cause string

// Causes of a stop.
const (
	// CauseSignal is a signal to the process. It is never withdrawn.
	CauseSignal Cause = "signal"
	// CauseNotice is a notice from the cloud provider.
	CauseNotice Cause = "notice"
	// CauseSchedule is a maintenance window in a service document.
	CauseSchedule Cause = "date"
)

// Demand is the stop that a cause requires.
type Demand struct {
	Reason Reason
	// Deadline is when the host goes down; zero if the stop waits without limit.
	Deadline time.Time
}

// Stop is the stop of one entry host, for one or more causes. The zero value means
// that no stop is in progress.
type Stop struct {
	// AddressTTL is how long callers may use an older address answer.
	AddressTTL time.Duration
	// HandoffLeadTime is how long before the deadline the handoff of requests
	// begins.
	HandoffLeadTime time.Duration
	// Began is the time at which the first cause was added; zero without causes.
	Began time.Time

	demands map[Cause]Demand
}

// Begin starts a stop, or adds a cause to the one in progress. If a cause begins
// again, the stricter of its demands applies: a reclaim over a planned stop, and
// an earlier deadline over a later one. A second signal changes nothing.
func (s *Stop) Begin(now time.Time, cause Cause, d Demand) {
	if s.demands == nil {
		s.demands = map[Cause]Demand{}
	}
	if len(s.demands) == 0 {
		s.Began = now
	}
	if known, ok := s.demands[cause]; ok {
		d = stricter(known, d)
	}
	s.demands[cause] = d
}

// stricter combines two demands: the earlier deadline, and the reason of a unless
// b is a reclaim.
func stricter(a, b Demand) Demand {
	if b.Reason == ReasonReclaim {
		a.Reason = b.Reason
	}
	if a.Deadline.IsZero() || (!b.Deadline.IsZero() && b.Deadline.Before(a.Deadline)) {
		a.Deadline = b.Deadline
	}
	return a
}

// Withdraw removes a cause; the others stay in effect.
func (s *Stop) Withdraw(cause Cause) {
	delete(s.demands, cause)
	if len(s.demands) == 0 {
		s.Began = time.Time{}
	}
}

// Demand returns the combined demand of all causes.
func (s *Stop) Demand() Demand {
	var out Demand
	for _, cause := range []Cause{CauseSignal, CauseNotice, CauseSchedule} {
		d, ok := s.demands[cause]
		switch {
		case !ok:
		case out.Reason == "":
			out = d
		default:
			out = stricter(out, d)
		}
	}
	return out
}

// exitsWhenIdle reports whether the process exits once nothing is in progress. If
// the stop has no signal as a cause, the process runs until the host goes down,
// since a notice or a maintenance window may be withdrawn.
func (s *Stop) exitsWhenIdle() bool {
	_, ok := s.demands[CauseSignal]
	return ok
}

// Leaving reports whether a stop is in progress. The host must then not be in the
// address answers.
func (s *Stop) Leaving() bool { return len(s.demands) > 0 }

// Phase returns the phase at a time, where open is the number of requests and
// answers in progress.
func (s *Stop) Phase(now time.Time, open int) Phase {
	d := s.Demand()
	switch {
	case !s.Leaving():
		return PhaseServing
	case s.exitsWhenIdle() && open == 0 && s.addressesExpired(now):
		return PhaseDone
	case d.Reason == ReasonReclaim, s.deadlineNear(now, d.Deadline):
		return PhaseHandingOver
	case !s.addressesExpired(now):
		return PhaseAccepting
	}
	return PhaseWaiting
}

// addressesExpired reports whether every address answer that contains the host
// has expired.
func (s *Stop) addressesExpired(now time.Time) bool { return !now.Before(s.Began.Add(s.AddressTTL)) }

// deadlineNear reports whether no more than HandoffLeadTime is left before the deadline.
func (s *Stop) deadlineNear(now, deadline time.Time) bool {
	return !deadline.IsZero() && !now.Before(deadline.Add(-s.HandoffLeadTime))
}

// Accepts reports whether new requests are accepted in a phase. They are accepted
// during PhaseHandingOver too: a caller that holds an older address answer must
// be served, and its request is handed off to a peer.
func (p Phase) Accepts() bool {
	return p == PhaseServing || p == PhaseAccepting || p == PhaseHandingOver
}

// StartsNonIdempotent reports whether a non-idempotent request may be claimed and
// sent in a phase.
func (p Phase) StartsNonIdempotent() bool { return p != PhaseHandingOver }
