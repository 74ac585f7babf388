// Package grant divides the limit of each workspace among the hosts that keep its buckets, so that
// their shares add up to at most one at each instant.
//
// Load pattern: a workspace sends many times its usual load at once, while hosts are killed, paused,
// cut off or started anew, and messages are lost, delayed or repeated. So shares move only by consent:
// the grantor lowers a share in a reply, counts it as given up when the holder's next call states so,
// and only then grants it to another holder.
//
// A holder that fails takes its share with it: whether it has ended or is only cut off, it may act on it until it
// expires. A standby therefore holds a part of what nobody asks for, and serves by that until more is free.
//
// Ledger is the side of the grantor, which is the leader; Holding that of a holder. The package does
// no I/O, starts no goroutine and reads no clock. Neither type is safe for concurrent use.
package grant

import (
	"time"

	"github.com/pkg/errors"
)

// Parts is a share of a limit in millionths. Whole numbers add up without rounding.
type Parts int64

// Whole is all of a limit.
const Whole Parts = 1_000_000

// Fraction returns the share as a fraction of the limit.
func (p Parts) Fraction() float64 { return float64(p) / float64(Whole) }

const (
	// HoldingTTL is how long a holder's shares are in force after it sent the last call that was
	// answered. It covers the outages that the platform states.
	HoldingTTL = 19 * time.Second
	// ReservationTTL is how long the grantor reserves the shares of a silent holder, and those that
	// holders it has not heard may have from grantors before it. It exceeds HoldingTTL by more than
	// two clocks drift apart and a call takes.
	ReservationTTL = 20 * time.Second
)

// Errors of Ledger.Answer. The call has no effect then.
var (
	// ErrOtherGrantor means that the call is addressed to a grantor with another fencing token.
	ErrOtherGrantor = errors.New("the call is addressed to another grantor")
	// ErrOutdated means that a later call of the host, or of a later process of it, was answered.
	ErrOutdated = errors.New("a later call was answered")
)

// Call is what a host states to the grantor. The JSON keys are short because every holder calls
// several times a second.
type Call struct {
	Host string `json:"h"`
	// Start orders the processes of a host, Sequence the calls of a process.
	Start    int64 `json:"s"`
	Sequence int64 `json:"q"`
	// Token is the fencing token of the grantor that is addressed. From then on the host accepts no
	// reply of a grantor with a lower one.
	Token int64 `json:"f"`
	// Holds states that the host keeps buckets. A host that does not calls each new grantor once, so
	// that the grantor knows that it holds nothing.
	Holds bool `json:"k,omitempty"`
	// Standby states that the host keeps its buckets for when another one fails: nobody asks it for units until then.
	Standby bool `json:"b,omitempty"`
	// Held is the shares in force, Demand the units per second requested, by workspace.
	Held   map[string]Parts   `json:"v,omitempty"`
	Demand map[string]float64 `json:"u,omitempty"`
}

// Reply is the grantor's reply to a call: the shares in force from its arrival on.
type Reply struct {
	Token    int64            `json:"f"`
	Sequence int64            `json:"q"`
	Shares   map[string]Parts `json:"v,omitempty"`
	// Busy names the workspaces whose demand at all holders has exceeded BusyRatio of their limit of late.
	Busy []string `json:"b,omitempty"`
}

// BusyRatio is the fraction of a limit above which the demand of a workspace makes it busy.
const BusyRatio = 0.8

// Holding is the shares that a process holds.
type Holding struct {
	host     string
	start    int64
	sequence int64
	token    int64
	// open is set while the last call may be answered.
	open    bool
	askedAt time.Time
	shares  map[string]Parts
	until   time.Time
}

// NewHolding returns the holding of a process that holds nothing. start orders the processes of a host.
func NewHolding(host string, start int64) *Holding { return &Holding{host: host, start: start} }

const (
	// InheritedRatio is the part of its previous process's last reported shares that a process may use until a
	// grantor answers: after a restart of all hosts there is none for seconds. Reports of hosts have different
	// ages, so that what they state adds up to more than one by some hundredths.
	InheritedRatio = 0.9
	// InheritedTTL is how long it may, and the largest age of the report: together well below ReservationTTL, for
	// which the grantor keeps them for it.
	InheritedTTL = 8 * time.Second
)

// Inherit puts in force what the previous process of the host, which has ended, last reported to hold. It has no
// effect after the first call.
func (h *Holding) Inherit(now time.Time, reported map[string]float64) {
	if h.sequence > 0 {
		return
	}
	h.shares, h.until = map[string]Parts{}, now.Add(InheritedTTL)
	for w, share := range reported {
		if p := Parts(InheritedRatio * share * float64(Whole)); p > 0 {
			h.shares[w] = p
		}
	}
}

// Ask returns the next call to the grantor with the given fencing token; ok is false if a grantor with
// a higher one was addressed before. Replies to earlier calls are no longer accepted.
func (h *Holding) Ask(now time.Time, token int64, holds bool, demand map[string]float64) (call Call, ok bool) {
	if token < h.token {
		return Call{}, false
	}
	h.token = token
	h.sequence++
	h.open, h.askedAt = true, now
	if !holds {
		h.shares, demand = nil, nil
	}
	return Call{Host: h.host, Start: h.start, Sequence: h.sequence, Token: token, Holds: holds, Held: h.Shares(now), Demand: demand}, true
}

// Accept puts the shares of a reply in force. It reports whether it did: only for the last call, once.
func (h *Holding) Accept(now time.Time, r Reply) bool {
	if !h.open || r.Token != h.token || r.Sequence != h.sequence || now.Sub(h.askedAt) >= HoldingTTL {
		return false
	}
	h.open = false
	h.shares, h.until = r.Shares, h.askedAt.Add(HoldingTTL)
	return true
}

// Shares returns the shares in force by workspace, none once they have expired.
func (h *Holding) Shares(now time.Time) map[string]Parts {
	if !now.Before(h.until) {
		h.shares = nil
	}
	return h.shares
}

// Until returns when the shares expire unless another call is answered.
func (h *Holding) Until() time.Time { return h.until }

// Token returns the fencing token of the last grantor that was addressed, zero if there was none.
func (h *Holding) Token() int64 { return h.token }
