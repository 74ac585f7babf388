package drain

import "slices"

// Hold is what a host does with a request.
type Hold string

// Holds of a request.
const (
	// HoldNone: the host does not know the request.
	HoldNone Hold = ""
	// HoldRunning: the host owns the request; it runs or has ended here.
	HoldRunning Hold = "running"
	// HoldOffered: the run is stopped and the request offered to a peer.
	HoldOffered Hold = "offered"
	// HoldRelaying: a peer owns the request; this host passes its answer on.
	HoldRelaying Hold = "relaying"
)

// Handoff is one host's part in handing a request over. The epoch counts the
// changes of the owner: 0 is the host that accepted the request.
//
// Rules: a request is offered only while its run here is stopped; an offer
// that may have arrived is repeated to the same peer until that peer answers
// or is gone; only then is the next peer offered it, under a higher epoch.
type Handoff struct {
	Hold  Hold
	Epoch int64
	Taker string
	// Lost counts the calls to the taker in a row that failed.
	Lost int
	// MaybeTaken is set when an offer may have arrived: the request may have
	// run elsewhere.
	MaybeTaken bool
	// Tried lists the takers that were offered the request since Start.
	Tried []string
}

// maxLost is how many calls in a row fail before a peer counts as gone.
const maxLost = 3

// Event is what happened to an offer or to the relaying.
type Event string

// Events of a handoff.
const (
	// EventAccepted: the taker confirmed that it owns the request.
	EventAccepted Event = "accepted"
	// EventRefused: the taker answered that it does not take the request, or
	// the call was certainly not made.
	EventRefused Event = "refused"
	// EventLost: the call failed and may have taken effect.
	EventLost Event = "lost"
	// EventGone: the taker is no longer among the hosts.
	EventGone Event = "gone"
	// EventProgress: the taker answered with a part of the answer.
	EventProgress Event = "progress"
	// EventForgotten: the taker answered that it does not know the request.
	EventForgotten Event = "forgotten"
)

// Action is what the giver does next.
type Action string

// Actions of a giver.
const (
	// ActOffer: offer the request to Taker under Epoch.
	ActOffer Action = "offer"
	// ActRelay: follow the answer at Taker.
	ActRelay Action = "relay"
	// ActSearch: ask the other hosts who owns the request now.
	ActSearch Action = "search"
	// ActRun: go on with the run here, under Epoch.
	ActRun Action = "run"
)

// Start stops the run and offers the request to the first candidate. It
// reports false when there is none; the run goes on here then.
func (h *Handoff) Start(candidates []string) bool {
	if h.Hold != HoldRunning || len(candidates) == 0 {
		return false
	}
	h.Tried = nil
	h.offer(candidates[0])
	return true
}

func (h *Handoff) offer(taker string) {
	h.Hold, h.Taker, h.Lost = HoldOffered, taker, 0
	h.Tried = append(h.Tried, taker)
	h.Epoch++
}

// Step takes an event and returns what to do. candidates are the hosts that
// may take the request now, best first.
func (h *Handoff) Step(e Event, candidates []string) Action {
	if h.Hold == HoldOffered {
		return h.offered(e, candidates)
	}
	return h.relaying(e)
}

func (h *Handoff) offered(e Event, candidates []string) Action {
	switch e {
	case EventAccepted:
		h.Hold, h.Lost, h.MaybeTaken = HoldRelaying, 0, true
		return ActRelay
	case EventLost:
		h.MaybeTaken = true
		h.Lost++
		if h.Lost < maxLost {
			return ActOffer
		}
	}
	return h.next(candidates)
}

// next offers the request to the best candidate not tried yet, or takes it
// back.
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
	h.Hold, h.Taker, h.Lost = HoldRunning, "", 0
	h.Epoch++
	return ActRun
}

func (h *Handoff) relaying(e Event) Action {
	switch e {
	case EventProgress:
		h.Lost = 0
		return ActRelay
	case EventLost, EventRefused:
		h.Lost++
		if h.Lost < maxLost {
			return ActRelay
		}
	}
	return ActSearch
}

// Found makes the giver follow the host that owns the request now.
func (h *Handoff) Found(owner string, epoch int64) Action {
	h.Hold, h.Taker, h.Epoch, h.Lost = HoldRelaying, owner, epoch, 0
	return ActRelay
}

// Verdict is the answer to an offer.
type Verdict string

// Verdicts on an offer.
const (
	// VerdictTaken: the peer owns the request from now on.
	VerdictTaken Verdict = "taken"
	// VerdictOwned: the peer owns it already, by this offer or an earlier one.
	VerdictOwned Verdict = "owned"
	// VerdictStale: a higher epoch is known.
	VerdictStale Verdict = "stale"
	// VerdictInUse: the id belongs to a request accepted here.
	VerdictInUse Verdict = "in-use"
	// VerdictLeaving: the peer is leaving itself.
	VerdictLeaving Verdict = "leaving"
)

// Accepted reports whether the peer owns the request.
func (v Verdict) Accepted() bool { return v == VerdictTaken || v == VerdictOwned }

// Offer decides on an offer under an epoch and, when it is taken, makes this
// host the owner. leaving tells that this host leaves itself.
func (h *Handoff) Offer(epoch int64, leaving bool) Verdict {
	switch {
	case h.Hold == HoldRunning && h.Epoch > 0:
		return VerdictOwned
	case h.Hold == HoldRunning:
		return VerdictInUse
	case h.Hold != HoldNone && h.Epoch >= epoch:
		return VerdictStale
	case leaving:
		return VerdictLeaving
	}
	h.Hold, h.Epoch, h.Taker, h.Lost = HoldRunning, epoch, "", 0
	return VerdictTaken
}

// Location is what a host knows of a request.
type Location struct {
	Host  string `json:"host"`
	Hold  Hold   `json:"hold"`
	Epoch int64  `json:"epoch"`
}

// Best returns the location to follow: the owner under the highest epoch, or
// else a host that relays.
func Best(found []Location) (Location, bool) {
	var best Location
	for _, l := range found {
		if l.Hold != HoldNone && better(l, best) {
			best = l
		}
	}
	return best, best.Hold != HoldNone
}

// Successor returns the location that a giver follows after its taker is
// gone: an owner under its own epoch or a higher one, or a host that relays
// under a higher one. Epochs grow along a chain of givers, so that none ever
// follows itself.
func Successor(found []Location, epoch int64) (Location, bool) {
	var rest []Location
	for _, l := range found {
		if l.Epoch > epoch || (l.Epoch == epoch && l.Hold == HoldRunning) {
			rest = append(rest, l)
		}
	}
	return Best(rest)
}

func better(a, b Location) bool {
	if (a.Hold == HoldRunning) != (b.Hold == HoldRunning) {
		return a.Hold == HoldRunning
	}
	return b.Hold == HoldNone || a.Epoch > b.Epoch
}
