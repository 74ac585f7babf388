package drain

import "slices"

// State is the state of a request at one host.
type State string

// States of a request.
const (
	// StateNone means that the host does not know the request.
	StateNone State = ""
	// StateRunning means that the host owns the request, which runs or has ended
	// there.
	StateRunning State = "running"
	// StateOffered means that the run is stopped and the request offered to a
	// peer.
	StateOffered State = "offered"
	// StateRelaying means that a peer owns the request and the host relays the
	// answer.
	StateRelaying State = "relaying"
)

// Handoff is one host's side of the handoff of a request. The host that offers
// the request is the sender, the peer that it is offered to the receiver. The
// epoch counts the changes of owner; under epoch 0 the owner is the host that
// accepted the request.
//
// Invariants: a request is offered only while its run at the sender is stopped.
// An offer that may have arrived is repeated to the same receiver until that
// peer answers or is gone. Only then is the request offered to the next peer,
// under a higher epoch.
type Handoff struct {
	// State is the state of the request at this host.
	State State
	Epoch int64
	// Receiver is the receiver that the request is offered to or that owns it.
	Receiver string
	// FailedCalls is the number of consecutive failed calls to the receiver.
	FailedCalls int
	// MaybeAccepted is set if an offer may have been accepted, so that the request
	// may have run on another host.
	MaybeAccepted bool
	// Tried lists the receivers that the request was offered to since Start.
	Tried []string
}

// maxFailedCalls is the number of consecutive failed calls after which a peer is
// considered gone.
const maxFailedCalls = 3

// Event is the outcome of a call to the receiver, or a change of its presence.
type Event string

// Events of a handoff.
const (
	// EventAccepted means that the receiver confirmed that it owns the request.
	EventAccepted Event = "accepted"
	// EventRefused means that the receiver refused the request, or that the call
	// certainly did not reach it.
	EventRefused Event = "refused"
	// EventLost means that the call failed and may have taken effect.
	EventLost Event = "lost"
	// EventGone means that the receiver is no longer in the list of hosts.
	EventGone Event = "gone"
	// EventProgress means that the receiver sent a part of the answer.
	EventProgress Event = "progress"
	// EventUnknown means that the receiver does not know the request.
	EventUnknown Event = "forgotten"
)

// Action is the next action of the sender.
type Action string

// Actions of a sender.
const (
	// ActOffer means: offer the request to Receiver under Epoch.
	ActOffer Action = "offer"
	// ActRelay means: relay the answer from Receiver.
	ActRelay Action = "relay"
	// ActSearch means: ask the other hosts which one owns the request now.
	ActSearch Action = "search"
	// ActRun means: resume the run on this host, under Epoch.
	ActRun Action = "run"
)

// Start offers the request to the first candidate; the caller must have stopped
// the run. It reports false if there is no candidate or this host does not own
// the request, in which case nothing changes.
func (h *Handoff) Start(candidates []string) bool {
	if h.State != StateRunning || len(candidates) == 0 {
		return false
	}
	h.Tried = nil
	h.offer(candidates[0])
	return true
}

func (h *Handoff) offer(receiver string) {
	h.State, h.Receiver, h.FailedCalls = StateOffered, receiver, 0
	h.Tried = append(h.Tried, receiver)
	h.Epoch++
}

// Step processes an event and returns the next action. candidates are the hosts
// that the request may be offered to now, best first.
func (h *Handoff) Step(e Event, candidates []string) Action {
	if h.State == StateOffered {
		return h.offered(e, candidates)
	}
	return h.relaying(e)
}

func (h *Handoff) offered(e Event, candidates []string) Action {
	switch e {
	case EventAccepted:
		h.State, h.FailedCalls, h.MaybeAccepted = StateRelaying, 0, true
		return ActRelay
	case EventLost:
		h.MaybeAccepted = true
		h.FailedCalls++
		if h.FailedCalls < maxFailedCalls {
			return ActOffer
		}
	}
	return h.next(candidates)
}

// next offers the request to the best candidate that was not tried yet. If there
// is none, this host becomes the owner again.
func (h *Handoff) next(candidates []string) Action {
	for _, c := range candidates {
		if !slices.Contains(h.Tried, c) {
			h.offer(c)
			return ActOffer
		}
	}
	return h.TakeBack()
}

// TakeBack makes this host the owner again, under a higher epoch.
func (h *Handoff) TakeBack() Action {
	h.State, h.Receiver, h.FailedCalls = StateRunning, "", 0
	h.Epoch++
	return ActRun
}

func (h *Handoff) relaying(e Event) Action {
	switch e {
	case EventProgress:
		h.FailedCalls = 0
		return ActRelay
	case EventLost, EventRefused:
		h.FailedCalls++
		if h.FailedCalls < maxFailedCalls {
			return ActRelay
		}
	}
	return ActSearch
}

// Follow makes the sender relay the answer from the host that owns the request
// now.
func (h *Handoff) Follow(owner string, epoch int64) Action {
	h.State, h.Receiver, h.Epoch, h.FailedCalls = StateRelaying, owner, epoch, 0
	return ActRelay
}

// Verdict is the answer to an offer.
type Verdict string

// Verdicts on an offer.
const (
	// VerdictAccepted means that the peer owns the request from now on.
	VerdictAccepted Verdict = "taken"
	// VerdictOwned means that the peer owns the request already, by this offer or
	// an earlier one.
	VerdictOwned Verdict = "owned"
	// VerdictStale means that the peer knows the request under the same or a
	// higher epoch.
	VerdictStale Verdict = "stale"
	// VerdictInUse means that the peer itself accepted a request with this id.
	VerdictInUse Verdict = "in-use"
	// VerdictLeaving means that the peer is leaving too.
	VerdictLeaving Verdict = "leaving"
)

// Accepted reports whether the peer owns the request.
func (v Verdict) Accepted() bool { return v == VerdictAccepted || v == VerdictOwned }

// Offer decides on an offer under an epoch and, if it is accepted, makes this host
// the owner. leaving states that this host is leaving.
func (h *Handoff) Offer(epoch int64, leaving bool) Verdict {
	switch {
	case h.State == StateRunning && h.Epoch > 0:
		return VerdictOwned
	case h.State == StateRunning:
		return VerdictInUse
	case h.State != StateNone && h.Epoch >= epoch:
		return VerdictStale
	case leaving:
		return VerdictLeaving
	}
	h.State, h.Epoch, h.Receiver, h.FailedCalls = StateRunning, epoch, "", 0
	return VerdictAccepted
}

// Location is a host's view of a request.
type Location struct {
	Host  string `json:"host"`
	State State  `json:"hold"`
	Epoch int64  `json:"epoch"`
}

// Best returns the location to relay from: the owner under the highest epoch or,
// if there is no owner, the host that knows the request under the highest epoch.
// It reports false if no host knows the request.
func Best(found []Location) (Location, bool) {
	var best Location
	for _, l := range found {
		if l.State != StateNone && preferable(l, best) {
			best = l
		}
	}
	return best, best.State != StateNone
}

// Successor returns the location that a sender relays from after its receiver is
// gone: an owner under the sender's epoch or a higher one, or another host that
// knows the request under a higher one. Epochs increase along a chain of senders,
// so a sender never relays from itself.
func Successor(found []Location, epoch int64) (Location, bool) {
	var rest []Location
	for _, l := range found {
		if l.Epoch > epoch || (l.Epoch == epoch && l.State == StateRunning) {
			rest = append(rest, l)
		}
	}
	return Best(rest)
}

func preferable(a, b Location) bool {
	if (a.State == StateRunning) != (b.State == StateRunning) {
		return a.State == StateRunning
	}
	return b.State == StateNone || a.Epoch > b.Epoch
}
