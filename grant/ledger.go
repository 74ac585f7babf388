package grant

import (
	"maps"
	"slices"
	"time"
)

const (
	// baseRatio is the least fraction of a limit that is divided equally among its holders, whatever their
	// demand: otherwise the first requests at a holder would be refused until the next reply.
	baseRatio = 0.05
	// silentTimeout is how long a holder may go without a call before its shares are left as they are:
	// targets that it does not know would keep parts from the others. Some polls and one slow reply.
	silentTimeout = 1500 * time.Millisecond
	// slackRatio is the fraction of a target by which a holder may exceed it before it has to give the
	// rest up, so that random changes of demand do not keep parts on the way between holders.
	slackRatio = 0.08
	// busyMemory is how long a workspace counts as busy after it was: the window of the limits.
	busyMemory = 8 * time.Second
)

// holder is what the grantor knows of a host.
type holder struct {
	start    int64
	sequence int64
	heardAt  time.Time
	holds    bool
	standby  bool
	// bounds is the shares that the host holds at most, by workspace: those that it last stated or
	// that were granted in the reply to that, whichever are larger.
	bounds map[string]Parts
	demand map[string]float64
}

// Ledger is what a grantor knows of its grants.
type Ledger struct {
	token   int64
	since   time.Time
	holders map[string]holder
	// awaited holds the hosts that may hold shares of an earlier grantor and have not called yet.
	awaited map[string]bool
	// known is what the callers held when they first called, by workspace. While hosts are awaited, no
	// more than that is granted.
	known map[string]Parts
	// demandBefore is the demand before the takeover, busyAt when a workspace was last busy.
	demandBefore map[string]float64
	busyAt       map[string]time.Time
	// changes are the changes to report since TakeChanges.
	changes []Change
}

// ChangeKind is a kind of change of a ledger.
type ChangeKind string

// Kinds of changes.
const (
	// ChangeFreed means that a host's shares were freed, because its next process called or because it
	// was silent for ReservationTTL.
	ChangeFreed ChangeKind = "freed"
	// ChangeComplete means that no host is awaited any longer: all of the limits is granted.
	ChangeComplete ChangeKind = "complete"
)

// Change is a change of a ledger for the log.
type Change struct {
	Kind ChangeKind
	Host string
	// Reason says why, in one of the constants below.
	Reason string
}

// Reasons of changes.
const (
	ReasonNewProcess = "its next process has called"
	ReasonSilent     = "silent"
	ReasonAllCalled  = "all hosts have called"
	ReasonTime       = "time"
)

// Before is what a grantor knows of the time before it took over, from the reports of hosts.
type Before struct {
	// Hosts may hold shares of earlier grantors: those of which a process was known within ReservationTTL.
	// It is empty if no process of before can be alive.
	Hosts []string
	// Demand is the units per second that were requested last, by workspace.
	Demand map[string]float64
}

// NewLedger returns the ledger of a grantor that took over at now under a fencing token.
func NewLedger(now time.Time, token int64, before Before) *Ledger {
	l := &Ledger{
		token: token, since: now, holders: map[string]holder{}, awaited: map[string]bool{}, known: map[string]Parts{},
		demandBefore: before.Demand, busyAt: map[string]time.Time{},
	}
	for _, host := range before.Hosts {
		l.awaited[host] = true
	}
	return l
}

// Token returns the fencing token.
func (l *Ledger) Token() int64 { return l.token }

// Answer records a call and returns the reply to it. limits holds the limit of each workspace that has one, in
// units per second. The caller must check that it still is the grantor right before it sends the reply.
func (l *Ledger) Answer(now time.Time, c Call, limits map[string]float64) (Reply, error) {
	if c.Token != l.token {
		return Reply{}, ErrOtherGrantor
	}
	h, known := l.holders[c.Host]
	if known && (c.Start < h.start || c.Start == h.start && c.Sequence <= h.sequence) {
		return Reply{}, ErrOutdated
	}
	l.expire(now)
	if known && c.Start > h.start && len(h.bounds) > 0 {
		l.changes = append(l.changes, Change{ChangeFreed, c.Host, ReasonNewProcess})
	}
	if !known {
		for w, p := range c.Held {
			l.known[w] = min(l.known[w]+p, Whole)
		}
	}
	l.holders[c.Host] = holder{start: c.Start, sequence: c.Sequence, heardAt: now, holds: c.Holds, standby: c.Standby, bounds: maps.Clone(c.Held), demand: c.Demand}
	l.stopAwaiting(c.Host, ReasonAllCalled)
	reply := Reply{Token: l.token, Sequence: c.Sequence, Shares: l.grant(now, c.Host, limits)}
	for w := range reply.Shares {
		if l.isBusy(now, w, limits[w]) {
			reply.Busy = append(reply.Busy, w)
		}
	}
	slices.Sort(reply.Busy)
	return reply, nil
}

// isBusy reports whether the workspace was busy within busyMemory.
func (l *Ledger) isBusy(now time.Time, w string, limit float64) bool {
	if _, ok := l.busyAt[w]; !ok && l.demandBefore[w] > BusyRatio*limit {
		l.busyAt[w] = l.since
	}
	if l.demand(w) > BusyRatio*limit {
		l.busyAt[w] = now
	}
	at, ok := l.busyAt[w]
	return ok && now.Sub(at) < busyMemory
}

// demand returns the units per second that the holders request of a workspace's limit.
func (l *Ledger) demand(w string) float64 {
	sum := 0.0
	for _, h := range l.holders {
		if h.holds {
			sum += h.demand[w]
		}
	}
	return sum
}

// expire frees the shares of holders that have been silent for ReservationTTL, and ends the time in which
// hosts are awaited.
func (l *Ledger) expire(now time.Time) {
	for host, h := range l.holders {
		if now.Sub(h.heardAt) >= ReservationTTL && len(h.bounds) > 0 {
			h.bounds, h.holds = nil, false
			l.holders[host] = h
			l.changes = append(l.changes, Change{ChangeFreed, host, ReasonSilent})
		}
	}
	if now.Sub(l.since) >= ReservationTTL {
		for host := range l.awaited {
			l.stopAwaiting(host, ReasonTime)
		}
	}
}

func (l *Ledger) stopAwaiting(host, reason string) {
	if !l.awaited[host] {
		return
	}
	delete(l.awaited, host)
	if len(l.awaited) == 0 {
		l.changes = append(l.changes, Change{ChangeComplete, host, reason})
	}
}

// grant decides the shares of a host and records them.
func (l *Ledger) grant(now time.Time, host string, limits map[string]float64) map[string]Parts {
	h := l.holders[host]
	if !h.holds {
		return nil
	}
	shares, bounds := map[string]Parts{}, map[string]Parts{}
	for w := range limits {
		held := h.bounds[w]
		target := l.target(now, w, host, limits[w])
		share := min(held, target+Parts(slackRatio*float64(target)))
		if held < target {
			share = max(min(target, held+l.free(w)), 0)
		}
		if free := l.free(w); free < 0 { // more is held than there is
			share = max(min(share, held+free), 0)
		}
		if share > 0 {
			shares[w] = share
		}
		if bound := max(share, held); bound > 0 {
			bounds[w] = bound
		}
	}
	for w, held := range h.bounds { // of workspaces that have no limit any longer
		if _, ok := bounds[w]; !ok {
			bounds[w] = held
		}
	}
	h.bounds = bounds
	l.holders[host] = h
	return shares
}

// usable returns how much of a limit is at the disposal of this grantor.
func (l *Ledger) usable(w string) Parts {
	if len(l.awaited) > 0 {
		return l.known[w]
	}
	return Whole
}

// free returns how much of a limit no host holds.
func (l *Ledger) free(w string) Parts { return l.usable(w) - l.Granted(w) }

// Granted returns the sum of what the hosts hold at most.
func (l *Ledger) Granted(w string) Parts {
	sum := Parts(0)
	for _, h := range l.holders {
		sum += h.bounds[w]
	}
	return sum
}

// target returns the share that a host is to hold: what it is asked for, and an equal part of what nobody asks
// for. At least baseRatio is divided equally. Standbys get nothing of that, and of a busy workspace only what they are
// asked for. What silent hosts hold is not divided.
func (l *Ledger) target(now time.Time, w, host string, limit float64) Parts {
	left, total, keepers := l.usable(w), 0.0, 0
	var live []string
	for name, h := range l.holders {
		if !h.holds || now.Sub(h.heardAt) >= silentTimeout {
			left -= h.bounds[w]
			continue
		}
		live = append(live, name)
	}
	slices.Sort(live)
	for _, name := range live {
		total += l.holders[name].demand[w]
		if !l.holders[name].standby {
			keepers++
		}
	}
	left = max(left, 0)
	idle := 1.0
	if total > 0 {
		idle = max(0, 1-total/(limit*left.Fraction()))
	}
	base, shared := max(baseRatio, idle), idle // shared is divided among standbys too
	switch {
	case keepers == 0:
		shared = base
	case l.isBusy(now, w, limit):
		shared = 0
	}
	weight, before, found := 0.0, 0.0, false
	for _, name := range live {
		h := l.holders[name]
		own := shared / float64(len(live))
		if !h.standby {
			own += (base - shared) / float64(keepers)
		}
		if total > 0 {
			own += (1 - base) * h.demand[w] / total
		}
		if found = name == host; found {
			weight = own
			break
		}
		before += own
	}
	if !found {
		return 0
	}
	// Rounding the sums rather than the parts makes the targets of all hosts add up to what is left.
	upTo := func(f float64) Parts { return min(Parts(f*float64(left)+0.5), left) }
	if host == live[len(live)-1] {
		return left - upTo(before)
	}
	return upTo(before+weight) - upTo(before)
}

// TakeChanges returns the changes since it was last called.
func (l *Ledger) TakeChanges() []Change {
	out := l.changes
	l.changes = nil
	return out
}

// HolderState is the debug view of a host that holds shares.
type HolderState struct {
	Host   string           `json:"host"`
	Age    time.Duration    `json:"age_ns"`
	Shares map[string]Parts `json:"shares_millionths"`
}

// State is the debug view of a ledger.
type State struct {
	Token   int64         `json:"fence"`
	Awaited []string      `json:"awaited,omitempty"`
	Holders []HolderState `json:"holders,omitempty"`
}

// State returns the debug view, ordered by host.
func (l *Ledger) State(now time.Time) State {
	s := State{Token: l.token, Awaited: slices.Sorted(maps.Keys(l.awaited))}
	for _, host := range slices.Sorted(maps.Keys(l.holders)) {
		if h := l.holders[host]; len(h.bounds) > 0 {
			s.Holders = append(s.Holders, HolderState{host, now.Sub(h.heardAt), maps.Clone(h.bounds)})
		}
	}
	return s
}
