package gateway

import (
	"context"
	"encoding/json"
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

// leaderRecord is a record of the leader topic. Either Leader and Wall are set, or Usage.
//
// The topic is appended to only if it has not grown since it was read, so its order is the order of
// the decisions: no record of an earlier leader follows a takeover.
type leaderRecord struct {
	// Leader is the host that takes the leadership; the fencing token is the record's offset plus
	// one.
	Leader string `json:"taker,omitempty"`
	// Wall is when it was taken, in Unix milliseconds by the new leader's clock.
	Wall int64 `json:"wall,omitempty"`
	// Usage is the usage to report for a window, written before the report is sent: every repeated
	// report, by whichever leader, has the same counts.
	Usage *decidedUsage `json:"usage,omitempty"`
}

type decidedUsage struct {
	Window int64        `json:"window"`
	Counts usage.Counts `json:"counts"`
}

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
	// leaderTimeout is how long a leader may go without a report before another host takes over, if
	// the platform enforces fencing: two report intervals and the delay of one report. The platform
	// then refuses a late order of the old leader by its fencing token. If fencing is not enforced,
	// the TTL of the lease is added.
	leaderTimeout = 2300 * time.Millisecond
	// retakeLeaseTTLs is the number of lease TTLs for which a host that lost the leadership leaves it
	// to others, so that it does not alternate between hosts.
	retakeLeaseTTLs = 2
	// minReportingShare is the fraction of the known hosts that must have reported for their demand
	// to count as the total demand.
	minReportingShare = 0.8
	// maxReportsPerTick bounds the usage reports sent in a row after an outage.
	maxReportsPerTick = 4
)

// leaderState is this host's state as leader or candidate.
type leaderState struct {
	mu sync.Mutex
	// tenure is this host's view of the lease on the leadership: the host is the leader while it
	// holds the lease.
	tenure *lease.Tenure

	// Used only by the goroutine of followHosts.
	topicEnd     int64 // offset up to which the topic was read
	takenByOther bool  // the last takeover read was by another host
	takenAtWall  time.Time
	decided      map[int64]usage.Counts // by window
	reported     map[int64]bool         // windows whose usage report was accepted or had no counts
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
		tenure: lease.NewTenure(opts), decided: map[int64]usage.Counts{}, reported: map[int64]bool{},
		planners: map[string]*scaling.Planner{}, ordered: map[port.CapacityOrder]time.Time{},
	}
}

// heldToken returns the fencing token, and true, while this host is the leader.
func (s *leaderState) heldToken(now time.Time) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tenure.Held(now)
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
	if g.opts.UsageWindow <= 0 && !g.opts.OrdersCapacity {
		return
	}
	if g.leaving.Load() {
		g.resign(now, "leaving")
		return
	}
	s := g.leader
	if s.leaseExpired(now) {
		g.resign(now, "lapsed")
	}
	if _, held := s.heldToken(now); !held && !g.tryLead(now) {
		return
	}
	token, held := s.heldToken(time.Now())
	if !held {
		return
	}
	t := port.Tenure{Leader: g.opts.Host, FencingToken: token}
	g.orderCapacity(now, t)
	if _, held := s.heldToken(time.Now()); held {
		g.reportUsage(now, t)
	}
}

func (s *leaderState) leaseExpired(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tenure.Expired(now)
}

// resign ends the leadership of this host, if it holds it or its lease has expired, and logs the
// reason. In any case the host begins anew to measure for how long the leadership has been vacant.
func (g *Gateway) resign(_ time.Time, reason string) {
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

// tryLead takes the leadership if no leader has reported within the timeout and this host's turn
// among the candidates has come. It reports whether this host has taken the leadership.
func (g *Gateway) tryLead(now time.Time) bool {
	s := g.leader
	if !g.Ready() || now.Sub(s.lostAt) < retakeLeaseTTLs*g.opts.LeaseTTL {
		return false
	}
	timeout := leaderTimeout
	if !g.opts.FencingEnforced {
		timeout = g.opts.LeaseTTL + leaderTimeout
	}
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
	if age := g.clock.Wall(now).Sub(s.takenAtWall); s.takenByOther && s.topicEnd > endBefore && age < leaderTimeout {
		// Another host has just taken over and its first report has not arrived yet. It gets
		// leaderTimeout to report, whether or not fencing is enforced.
		s.vacantSince = now.Add(leaderTimeout)
		return false
	}
	offset, err := g.appendLeaderRecord(leaderRecord{Leader: g.opts.Host, Wall: g.clock.Wall(now).UnixMilli()})
	if err != nil {
		return false // logged by appendLeaderRecord
	}
	s.mu.Lock()
	s.tenure.Acquired(now, offset+1)
	s.mu.Unlock()
	s.vacantSince = time.Time{}
	g.metrics.fencingToken.Set(float64(offset + 1))
	s.planners, s.inherited = map[string]*scaling.Planner{}, lastTargetCounts(g.presence.All())
	s.ordered = map[port.CapacityOrder]time.Time{}
	g.log.Info().Str("event", "duty_taken").Int64("fence", offset+1).Msg("")
	return true
}

// readLeaderRecords reads the leader topic to its end. If the records to read next have expired it
// returns ErrStoreExpired, and the next call continues at the first record that is left.
func (g *Gateway) readLeaderRecords() error {
	s := g.leader
	began := time.Now()
	ctx, cancel := context.WithTimeout(g.context(), storeTimeout)
	defer cancel()
	page, err := g.ports.Store.Read(ctx, port.TopicLeader, s.topicEnd, 0)
	g.observeStore("read", began, time.Now(), err)
	if errors.Is(err, port.ErrStoreExpired) {
		// Records that have expired are older than any usage report that is still due.
		s.topicEnd = page.First
	}
	if err != nil {
		g.log.Warn().Str("event", "duties_unread").Int64("from", s.topicEnd).Err(err).Msg("")
		return err
	}
	for _, r := range page.Records {
		g.applyLeaderRecord(r)
	}
	s.topicEnd = page.End
	return nil
}

func (g *Gateway) applyLeaderRecord(r port.TopicRecord) {
	var record leaderRecord
	if err := json.Unmarshal(r.Value, &record); err != nil {
		g.log.Warn().Str("event", "duty_unreadable").Int64("offset", r.Offset).Err(err).Msg("")
		return
	}
	if record.Leader != "" {
		g.leader.takenByOther, g.leader.takenAtWall = record.Leader != g.opts.Host, time.UnixMilli(record.Wall)
	}
	if record.Usage != nil {
		g.leader.decided[record.Usage.Window] = record.Usage.Counts
	}
}

// appendLeaderRecord appends a record if the topic has not grown meanwhile. If the answer to an
// append is lost, the next read shows whether the record was appended.
func (g *Gateway) appendLeaderRecord(record leaderRecord) (int64, error) {
	s := g.leader
	raw, err := json.Marshal(record)
	if err != nil {
		return 0, errors.Wrap(err, "encode leader record")
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(g.context(), storeTimeout)
	defer cancel()
	offset, err := g.ports.Store.Append(ctx, port.TopicLeader, s.topicEnd, port.TopicRecord{Value: raw})
	g.observeStore("append", began, time.Now(), err)
	if err != nil {
		g.log.Warn().Str("event", "duty_not_recorded").Int64("at", s.topicEnd).Err(err).Msg("")
		return 0, err
	}
	s.topicEnd = offset + 1
	g.applyLeaderRecord(port.TopicRecord{Offset: offset, Value: raw})
	return offset, nil
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
