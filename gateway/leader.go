package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/lease"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/presence"
	"github.com/cicadanotch/cicadanotch/rendezvous"
	"github.com/cicadanotch/cicadanotch/scaling"
	"github.com/cicadanotch/cicadanotch/usage"
)

const (
	// usageSettleDelay is how long after the end of a window its counts are decided. It is more than
	// three report intervals, so by then every host has reported at least twice, and more than half
	// of the 10 s until the report is due remains for an outage.
	usageSettleDelay = 3200 * time.Millisecond
	// usageReportMargin is how long before a report is due its counts are decided without the hosts
	// that have not reported: time for two attempts to send it and a change of leader.
	usageReportMargin = 4 * time.Second
	// maxStoreOutage is how long hosts may be cut off from the store: the platform's faults last up
	// to 9 s. Counts of usage are not awaited from a host that has not reported for longer.
	maxStoreOutage = 9 * time.Second
	// platformCallTimeout bounds a call to the platform.
	platformCallTimeout = 1500 * time.Millisecond
	// orderRepeatInterval is how long an order may take to have an effect before it is repeated.
	orderRepeatInterval = 6 * time.Second
	// candidateDelay is how much longer each further candidate waits before it takes a vacant
	// leadership, so that few of them race.
	candidateDelay = 400 * time.Millisecond
	// fencedLeaderTimeout is how long a leader may go without a report before another host takes over, if
	// the platform enforces fencing: two report intervals and the delay of one report. The platform
	// then refuses a late order of the old leader by its fencing token. If fencing is not enforced,
	// the TTL of the lease is added.
	fencedLeaderTimeout = 2300 * time.Millisecond
	// retakeLeaseTTLs is the number of lease TTLs for which a host that lost the leadership leaves it
	// to others, so that it does not alternate between hosts.
	retakeLeaseTTLs = 2
	// minReportingShare is the fraction of the known hosts that must have reported for their demand
	// to count as the total demand.
	minReportingShare = 0.8
	// maxReportsPerTick bounds the usage reports sent in a row after an outage.
	maxReportsPerTick = 4
)

// noEra is before all eras.
const noEra port.Era = -1

// leaderState is this host's state as leader or candidate.
type leaderState struct {
	mu sync.Mutex
	// tenure is this host's view of the lease on the leadership: the host is the leader while it
	// holds the lease.
	tenure *lease.Tenure
	// suspended returns for how long the machine has been suspended since it was started; tests replace it.
	// suspendedBefore is that time when this host began to take the leadership.
	suspended       func() time.Duration
	suspendedBefore time.Duration

	// Used only by the goroutine of followHosts.
	era          port.Era // era of topicEnd
	topicEnd     int64    // offset up to which the topic was read
	takenByOther bool     // the last takeover read was by another host
	takenAtWall  time.Time
	writtenInEra port.Era // era in which the last record read was written; noEra before the first one
	// ledLastEra is set if this host was the leader when the store changed its era: it knows of all windows that
	// had been decided.
	ledLastEra bool
	// decided holds the counts of a window as they were first decided, also if the record of that
	// was lost with an era of the store; recorded the windows that have one in this era.
	decided  map[int64]usage.Counts
	recorded map[int64]bool
	// unknownUntil is the end of the time in which another leader may have decided windows whose records are lost.
	// Those windows are not reported: a second report must not differ. recordedUnknown is the latest UnknownUntil of
	// the records, also of windows that this host knows.
	unknownUntil, recordedUnknown time.Time
	reported                      map[int64]bool // windows whose usage report was accepted or had no counts
	// vacantSince is the time from which the leadership counts as vacant, zero if it does not.
	// takeLeadership sets it to a future time when another host has just taken over.
	vacantSince time.Time
	lostAt      time.Time                   // when this host last lost the leadership
	planners    map[string]*scaling.Planner // by service
	// inherited holds the target count of each service that the previous leader reported.
	inherited   map[string]int
	ordered     map[port.CapacityOrder]time.Time // when each order was last accepted
	seenTraffic bool                             // set once any service had demand, never reset
}

func newLeaderState(opts lease.Options) *leaderState {
	return &leaderState{
		tenure: lease.NewTenure(opts), suspended: suspendedTime, decided: map[int64]usage.Counts{}, recorded: map[int64]bool{}, reported: map[int64]bool{},
		writtenInEra: noEra,
		planners:     map[string]*scaling.Planner{}, ordered: map[port.CapacityOrder]time.Time{},
	}
}

// heldToken returns the fencing token, and true, while this host is the leader.
func (s *leaderState) heldToken(now time.Time) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held(now)
}

// fencingToken returns the token of heldToken; zero while this host is not the leader.
func (s *leaderState) fencingToken(now time.Time) int64 {
	token, _ := s.heldToken(now)
	return token
}

func (s *leaderState) renewed(began time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tenure.Renewed(began)
}

// runLeaderTasks takes the leadership when no host holds it, and runs the leader's tasks while this
// host holds it.
func (g *Gateway) runLeaderTasks(now time.Time) {
	if g.opts.UsageWindow <= 0 && !g.opts.OrdersCapacity && !g.rollsOut() && !g.hasLimits() {
		return
	}
	if g.leaving.Load() {
		g.resign("leaving")
		return
	}
	s := g.leader
	if s.leaseExpired(now) {
		g.resign("lapsed")
	}
	if era := g.latestEra(); era != s.era {
		g.enterEra(now, era)
	}
	if _, held := s.heldToken(now); !held && !g.tryLead(now) {
		return
	}
	token, held := s.heldToken(time.Now())
	if !held {
		return
	}
	t := port.Tenure{Leader: g.opts.Host, FencingToken: token}
	g.runRollouts(now)
	g.orderCapacity(now, t)
	if _, held := s.heldToken(time.Now()); held {
		g.reportUsage(now, t)
	}
}

// enterEra forgets the positions of the previous era. A host that held the leadership takes it again at
// once: it knows what was decided, also if the store no longer does, and its fencing token must grow
// with the era.
func (g *Gateway) enterEra(now time.Time, era port.Era) {
	s := g.leader
	_, held := s.heldToken(now)
	g.log.Info().Str("event", "duty_era").Int64("era", int64(era)).Int64("before", int64(s.era)).Bool("held", held).Msg("")
	s.era, s.topicEnd, s.recorded = era, 0, map[int64]bool{}
	s.takenByOther, s.takenAtWall, s.writtenInEra, s.ledLastEra = false, time.Time{}, noEra, held
	if held {
		g.resign("the store has a new era")
		s.lostAt = time.Time{}
		g.takeLeadership(now)
	}
}

func (s *leaderState) leaseExpired(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	token, _ := s.tenure.Held(now)
	return s.tenure.Expired(now) || token != 0 && s.wasSuspended()
}

// resign ends the leadership of this host, if it holds it or its lease has expired, and logs the
// reason. In any case the host begins anew to measure for how long the leadership has been vacant.
func (g *Gateway) resign(reason string) {
	s := g.leader
	s.mu.Lock()
	expired := s.tenure.Expired(time.Now())
	_, held := s.tenure.Held(time.Now())
	s.tenure.Lost()
	s.mu.Unlock()
	if expired || held {
		g.metrics.fencingToken.Set(0)
		g.log.Info().Str("event", "duty_lost").Str("why", reason).Msg("")
	}
	s.vacantSince = time.Time{}
	if expired || held {
		s.lostAt = time.Now()
	}
}

// leaderTimeout returns how long a leader may go without a report before another host takes over.
func (g *Gateway) leaderTimeout() time.Duration {
	if g.opts.FencingEnforced {
		return fencedLeaderTimeout
	}
	return g.opts.LeaseTTL + fencedLeaderTimeout
}

// tryLead takes the leadership if no leader has reported within the timeout and this host's turn
// among the candidates has come. It reports whether this host has taken the leadership.
func (g *Gateway) tryLead(now time.Time) bool {
	s := g.leader
	if !g.Ready() || now.Sub(s.lostAt) < retakeLeaseTTLs*g.opts.LeaseTTL {
		return false
	}
	timeout := g.leaderTimeout()
	candidates := []string{g.opts.Host}
	for _, r := range g.presence.Within(timeout) {
		if r.FencingToken != 0 {
			s.vacantSince = time.Time{}
			return false
		}
		if r.State == presence.StateServing {
			candidates = append(candidates, r.Host)
		}
	}
	if s.vacantSince.IsZero() {
		s.vacantSince = now
	}
	rank := slices.Index(rendezvous.Rank("duties", candidates), g.opts.Host)
	if now.Sub(s.vacantSince) < time.Duration(rank)*candidateDelay {
		return false
	}
	return g.takeLeadership(now)
}

// takeLeadership reads the leader topic to its end and appends a record that takes the leadership. It
// reports whether this host has taken it: not if a call to the store failed or another host has just
// taken over.
func (g *Gateway) takeLeadership(now time.Time) bool {
	s := g.leader
	endBefore := s.topicEnd
	if err := g.readLeaderRecords(); err != nil {
		return false // logged by readLeaderRecords; retried with the next report
	}
	if age := g.clock.Wall(now).Sub(s.takenAtWall); s.takenByOther && s.topicEnd > endBefore && age < g.leaderTimeout() {
		// Another host has just taken over and its first report has not arrived yet.
		s.vacantSince = now.Add(g.leaderTimeout())
		return false
	}
	s.mu.Lock()
	s.suspendedBefore = s.suspended()
	s.mu.Unlock()
	s.adoptDecisions(g.presence.All())
	takeover := leaderRecord{Leader: g.opts.Host, Wall: g.clock.Wall(now).UnixMilli()}
	if s.writtenInEra != s.era {
		// The next leader must know this too, also if this host ends with the append.
		takeover.UnknownUntil = takeover.Wall
		takeover.Decided = g.decisionsDue(now)
	}
	position, err := g.appendLeaderRecord(takeover)
	if err != nil {
		return false // logged by appendLeaderRecord
	}
	token := fencingToken(position)
	s.mu.Lock()
	s.tenure.Acquired(now, token)
	s.mu.Unlock()
	s.vacantSince = time.Time{}
	g.metrics.fencingToken.Set(float64(token))
	s.planners, s.inherited = map[string]*scaling.Planner{}, lastTargetCounts(g.presence.All())
	s.ordered = map[port.CapacityOrder]time.Time{}
	g.log.Info().Str("event", "duty_taken").Int64("fence", token).Int64("era", int64(s.era)).
		Int64("unknown_until", millis(s.unknownUntil)).Bool("led_last_era", s.ledLastEra).Msg("")
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// millis returns a time in Unix milliseconds, zero for the zero time.
func millis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// decisionsDue returns the decided counts of the windows whose reports may still be due.
func (g *Gateway) decisionsDue(now time.Time) map[int64]usage.Counts {
	if g.opts.UsageWindow <= 0 {
		return nil
	}
	return g.leader.recentDecisions(usage.WindowIndex(g.clock.Wall(now).Add(-g.opts.UsageDue), g.opts.UsageWindow))
}

// adoptDecisions adds the decisions that earlier leaders have reported to the other hosts.
func (s *leaderState) adoptDecisions(reports []presence.Report) {
	for _, r := range reports {
		for window, counts := range r.Decided {
			s.decide(window, counts)
		}
	}
}

// decide records the counts of a window; the first decision remains.
func (s *leaderState) decide(window int64, counts usage.Counts) {
	if _, ok := s.decided[window]; !ok {
		s.decided[window] = counts
	}
}

// forget drops what is known of windows before oldest: they are no longer reported.
func (s *leaderState) forget(oldest int64) {
	before := func(window int64) bool { return window < oldest }
	maps.DeleteFunc(s.decided, func(w int64, _ usage.Counts) bool { return before(w) })
	maps.DeleteFunc(s.recorded, func(w int64, _ bool) bool { return before(w) })
	maps.DeleteFunc(s.reported, func(w int64, _ bool) bool { return before(w) })
}

// recentDecisions returns the decided counts of the windows from oldest on.
func (s *leaderState) recentDecisions(oldest int64) map[int64]usage.Counts {
	out := map[int64]usage.Counts{}
	for window, counts := range s.decided {
		if window >= oldest {
			out[window] = counts
		}
	}
	return out
}

// countPlatformCall counts a call to the platform by its result in the metrics.
func (g *Gateway) countPlatformCall(call string, err error) {
	result := "ok"
	switch {
	case err == nil:
	case errors.Is(err, port.ErrFenced):
		result = "fenced"
	case errors.Is(err, port.ErrNoCapacity):
		result = "none-to-be-had"
	default:
		result = "unavailable"
	}
	g.metrics.leaderCalls.WithLabelValues(call, result).Inc()
}
