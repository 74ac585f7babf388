// Package gateway serves callers' requests by forwarding them to endpoints that run on hosts which
// the platform can reclaim at any time.
//
// A request is planned against the configuration in force (serve.go), placed (place.go) and sent;
// after a failed attempt, the next step is decided (decide.go, pure functions). A host's view of
// the system comes from feeds of the platform's store (feeds.go), which one host reads for a whole
// availability zone (relay.go). The tasks that one leader runs for all hosts are in leader.go.
//
// Lock order: a call's own lock, then any one of the table locks below. A table's lock is a leaf:
// nothing is called while it is held.
package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"gopkg.in/tomb.v2"

	"github.com/cicadanotch/cicadanotch/attempt"
	"github.com/cicadanotch/cicadanotch/catalog"
	"github.com/cicadanotch/cicadanotch/fleet"
	"github.com/cicadanotch/cicadanotch/headroom"
	"github.com/cicadanotch/cicadanotch/lease"
	"github.com/cicadanotch/cicadanotch/memory"
	"github.com/cicadanotch/cicadanotch/placement"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/presence"
	"github.com/cicadanotch/cicadanotch/quota"
	"github.com/cicadanotch/cicadanotch/rollout"
	"github.com/cicadanotch/cicadanotch/scaling"
	"github.com/cicadanotch/cicadanotch/speed"
	"github.com/cicadanotch/cicadanotch/usage"
)

// Options describe the host that the gateway runs on and its limits.
type Options struct {
	// Host is the host's name; Incarnation identifies this process.
	Host        string
	Incarnation string
	Zone        string
	Region      string
	// Regions maps availability zones to regions.
	Regions map[string]string
	// Address is where callers reach the host, Peer where other hosts do, as ip:port. Cores is its
	// CPU capacity in cores.
	Address string
	Peer    string
	// Tunnel is where the host carries connections of other hosts, as ip:port; empty if it does not.
	Tunnel string
	Cores  float64
	// DrainPeriod is how long an endpoint continues to serve after it is listed as draining.
	DrainPeriod time.Duration
	// GracePeriod is the grace period between the request to stop and the end of the process.
	GracePeriod time.Duration
	// RetryRatio, RetryWindow and RetrySlack bound retries over all hosts.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// UsageWindow is the length of a usage window, UsageDue how long after its end the report is
	// due. A zero UsageWindow disables reports.
	UsageWindow time.Duration
	UsageDue    time.Duration
	// LeaseTTL is how long a leader that no longer reports retains the leadership.
	LeaseTTL time.Duration
	// FencingEnforced states that the platform refuses calls with an outdated fencing token.
	FencingEnforced bool
	// Bootstrap states that the whole system starts for the first time.
	Bootstrap bool
	// OrdersCapacity enables orders for endpoints.
	OrdersCapacity bool
	// QuotaTolerance is by how much usage may exceed a workspace's limit.
	QuotaTolerance quota.Tolerance
	// AddressTTL is the TTL of an address answer as stated to callers.
	AddressTTL time.Duration
	// ExposureShare is the part of all requests of a service that a bad version may get in a roll-out. Zero
	// disables roll-outs.
	ExposureShare float64
	// RollbackTime is the time after a version's bad answers within which it gets no more requests.
	RollbackTime time.Duration
	// EndpointSpeed states for which services it is learnt what each endpoint takes well; empty for
	// speed.ModeAuto.
	EndpointSpeed speed.Mode
	// MemoryLimit is the memory limit of the process in bytes; zero for none.
	MemoryLimit int64
}

// Ports are the external systems.
type Ports struct {
	Store           port.Store
	Endpoints       port.Endpoints
	IdleConnections IdleConnectionCloser
	LeaderAPI       port.LeaderAPI
	// Peers calls other hosts; nil if they cannot be reached.
	Peers port.Peers
	// DecodeConfiguration and DecodeEndpoint decode records of the store.
	DecodeConfiguration func([]byte) (*catalog.Snapshot, error)
	DecodeEndpoint      func(id string, raw []byte) (fleet.Endpoint, error)
	// DecodeRollout decodes a record beside the configuration. It returns the service of a key that is that of an
	// order, and an empty one for any other. A removed record has no value.
	DecodeRollout func(key string, raw []byte) (service string, order rollout.Order, err error)
	// EncodeRolloutStatus returns the record that tells the operator the state of an order.
	EncodeRolloutStatus func(order rollout.Order, state rollout.State) (port.TopicRecord, error)
	Logger              *log.Logger
}

// IdleConnectionCloser closes the idle connections to an address.
type IdleConnectionCloser interface{ CloseIdle(address string) }

// Gateway is one host's serving process.
type Gateway struct {
	opts  Options
	ports Ports
	log   *log.Logger
	tomb  *tomb.Tomb

	catalog   catalog.Table
	fleet     *fleet.Table
	placement *placement.Table
	quota     *quota.Table
	presence  *presence.Table
	usage     *usage.Counter
	clock     *usage.Clock
	demand    *scaling.Meter
	speeds    *speed.Table
	metrics   *metrics
	// speedsLoggedAt and statementsLoggedAt are used by exchangeLoads only, see logSpeeds.
	speedsLoggedAt, statementsLoggedAt time.Time

	budgets     sync.Map // service name to *attempt.WindowBudget
	answerTimes sync.Map // service name to *attempt.ResponseTimeEstimator
	durations   durationTable
	hostCount   atomic.Int64
	account     *memory.Account
	limitHosts  atomic.Pointer[[]string] // hosts among which the limits of endpoints are divided
	calls       callTable
	relays      *relayState
	placer      *placerState
	quarantine  *quarantineState
	overload    *overloadState
	headroom    *headroom.Table
	roomWaits   *roomWaits
	lineage     *lineageState
	checks      *registryChecks
	reach       *reachState
	pauses      pauseTable
	// carried returns the number of connections that this host carries for others.
	carried func() int
	// untaken returns the number of answers that are written and that their callers have not taken.
	untaken      func() int
	era          eraState
	leader       *leaderState
	rollouts     *rolloutState
	grants       *grantState
	leaving      atomic.Bool
	endsAt       atomic.Pointer[time.Time] // when a leaving process ends, see pauseTable.counted; nil before SIGTERM
	leaveContext context.Context           // ends when the host begins to leave
	startLeaving context.CancelFunc
	endContext   context.Context // ends when the time of the process is over
	endCalls     context.CancelFunc

	startedAt       time.Time
	configured      chan struct{} // closed when a configuration is in force
	hostsRead       chan struct{} // closed after the first read of the reports of hosts, also if it failed
	hasConfig       atomic.Bool
	hasEndpoints    atomic.Bool
	sequence        atomic.Int64
	feeds           sync.Map     // port.Topic to *atomic.Int64, see feedAsOf
	lastStoreAnswer atomic.Int64 // time of the store's last answer, Unix nanoseconds
	// lastStoreRefusal is the time at which the store last refused a call, Unix nanoseconds.
	lastStoreRefusal atomic.Int64
	storeRecovered   recoverySignal
}

const (
	// registryRecoveryTime is how long after the store's recovery a missing entry of an endpoint
	// may reappear: the platform states about two seconds.
	registryRecoveryTime = 2 * time.Second
	// hostTTL is how long a host counts as alive after its last report: it reports to its relay
	// once a second, the relay to the store, another relay reads that, each step up to a second
	// later, and one of them may fail.
	hostTTL = 4200 * time.Millisecond
	// shareTimeout is how long a host may go without a report before it counts as unresponsive: two missed
	// reports and the delay of the third.
	shareTimeout = 2500 * time.Millisecond
	// shareTTL is how long a host that no longer reports counts among those that share the budgets of retries:
	// it may be cut off from the store and still serve. The platform states outages of up to that length.
	shareTTL = 20 * time.Second
	// assumedHosts is the number of hosts assumed before a process has read any reports.
	assumedHosts = 9
)

// New returns a gateway that is not started.
func New(opts Options, ports Ports) *Gateway {
	now := time.Now()
	leaveContext, startLeaving := context.WithCancel(context.Background())
	endContext, endCalls := context.WithCancel(context.Background())
	g := &Gateway{
		opts: opts, ports: ports, log: ports.Logger, tomb: &tomb.Tomb{},
		fleet:        fleet.NewTable(registryRecoveryTime),
		placement:    placement.NewTable(opts.Host),
		quota:        quota.NewTable(assumedHosts, opts.QuotaTolerance),
		presence:     presence.NewTable(opts.Host, opts.Incarnation, hostTTL),
		usage:        usage.NewCounter(max(opts.UsageWindow, time.Second)),
		clock:        usage.NewClock(now),
		demand:       scaling.NewMeter(),
		speeds:       speed.NewTable(),
		metrics:      newMetrics(),
		account:      memory.NewAccount(opts.MemoryLimit),
		startedAt:    now,
		leaveContext: leaveContext, startLeaving: startLeaving, endContext: endContext, endCalls: endCalls, configured: make(chan struct{}), hostsRead: make(chan struct{}),
	}
	g.metrics.watchFeeds(g)
	g.metrics.watchMemory(g)
	g.metrics.registry.MustRegister(speedCollector{g})
	g.hostCount.Store(assumedHosts)
	g.calls.calls = map[*call]struct{}{}
	g.relays = newRelayState()
	g.placer = newPlacerState(opts.Host)
	g.overload = newOverloadState()
	g.headroom, g.roomWaits = headroom.NewTable(opts.Host), newRoomWaits()
	g.lineage = newLineageState(now)
	g.checks = newRegistryChecks(g)
	g.reach = newReachState()
	g.pauses.measure(suspendedTime)
	g.carried, g.untaken = func() int { return 0 }, func() int { return 0 }
	g.quarantine = newQuarantineState()
	g.rollouts = newRolloutState()
	g.grants = newGrantState(opts.Host, now)
	g.leader = newLeaderState(lease.Options{TTL: opts.LeaseTTL, Margin: opts.LeaseTTL / 4})
	return g
}

// Start starts the feeds and the leader tasks.
func (g *Gateway) Start() {
	g.log.Info().Str("event", "start").Str("incarnation", g.opts.Incarnation).
		Str("zone", g.opts.Zone).Str("address", g.opts.Address).Msg("")
	g.tomb.Go(func() error {
		g.tomb.Go(g.followConfiguration)
		g.tomb.Go(g.followEndpoints)
		g.tomb.Go(g.followHosts)
		g.tomb.Go(g.exchangeLoads)
		g.tomb.Go(g.watchReach)
		if g.rollsOut() {
			g.tomb.Go(g.followRollouts)
		}
		g.tomb.Go(g.followGrants)
		return nil
	})
}

// context returns a context that ends when the process stops.
func (g *Gateway) context() context.Context { return g.tomb.Context(context.Background()) }

// Ready reports whether the host can serve: it has a configuration and the endpoints, and is not
// leaving.
func (g *Gateway) Ready() bool {
	return g.hasConfig.Load() && g.hasEndpoints.Load() && !g.leaving.Load()
}

// Addresses returns the host addresses for a caller and their TTL.
func (g *Gateway) Addresses(zone, region string) ([]string, time.Duration) {
	const (
		minAddresses = 2  // the failure of a single host would affect all callers of a zone
		maxAddresses = 64 // callers accept no longer answers
	)
	return presence.Addresses(g.presence.Live(), g.report(time.Now()), zone, region, minAddresses, maxAddresses), g.opts.AddressTTL
}

// budget returns the retry budget of a service.
func (g *Gateway) budget(service string) *attempt.WindowBudget {
	b, ok := g.budgets.Load(service)
	if !ok {
		fresh := attempt.NewWindowBudget(g.opts.RetryWindow, g.opts.RetryRatio, g.opts.RetrySlack)
		fresh.SetHosts(int(g.hostCount.Load()))
		b, _ = g.budgets.LoadOrStore(service, fresh)
	}
	return b.(*attempt.WindowBudget)
}

// answerTime returns the estimator of a service's answer times.
func (g *Gateway) answerTime(service string) *attempt.ResponseTimeEstimator {
	e, ok := g.answerTimes.Load(service)
	if !ok {
		e, _ = g.answerTimes.LoadOrStore(service, &attempt.ResponseTimeEstimator{})
	}
	return e.(*attempt.ResponseTimeEstimator)
}

// Leave removes the host from the address answers and returns when the process may end: no caller
// caches its address any longer and no request is in progress, or the grace period is over.
func (g *Gateway) Leave(ctx context.Context) {
	if g.leaving.Swap(true) {
		return
	}
	began := time.Now()
	sent := g.pauses.earliestSending(began)
	end := sent.Add(g.opts.GracePeriod - leaveMargin)
	g.endsAt.Store(&end)
	g.log.Info().Str("event", "stop").Int("in_progress", g.calls.len()).Int("carried", g.carried()).Dur("paused", g.pauses.counted(began).Sub(sent)).Msg("removing the host from the address answers")
	g.startLeaving()
	tick := time.NewTicker(leaveCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			if g.canExit(now, began) {
				g.log.Info().Str("event", "stopped").Int("in_progress", g.calls.len()).Int("carried", g.carried()).
					Dur("after", now.Sub(began)).Msg("")
				return
			}
		}
	}
}

const (
	// leaveCheckInterval is how often a leaving process checks whether it may end.
	leaveCheckInterval = 50 * time.Millisecond
	// leaveIdleTime is the least time between the arrival of the last request and the end of the
	// process.
	leaveIdleTime = 1500 * time.Millisecond
	// leaveMargin is the part of the grace period left for the end of the process.
	leaveMargin = 250 * time.Millisecond
	// addressTTLFactor is how many times longer than the stated TTL some callers cache an answer.
	addressTTLFactor = 3
)

// canExit reports whether a process that began to leave at a time may end now.
func (g *Gateway) canExit(now, began time.Time) bool {
	if left, _ := g.timeLeft(now); left <= 0 {
		g.calls.close()
		g.logUnfinished(now)
		g.endCalls()
		return true
	}
	if g.calls.len() > 0 || g.carried() > 0 || g.untaken() > 0 || now.Sub(began) < addressTTLFactor*g.opts.AddressTTL {
		return false
	}
	return now.Sub(g.calls.lastArrival()) >= leaveIdleTime && g.calls.closeIfIdle()
}

// BeginRequest records that the host has begun to read a request; EndRequest must be called when its answer is
// written. It returns false if the process is about to end: the request must be refused then.
func (g *Gateway) BeginRequest() bool { return g.calls.open() }

// EndRequest records the end of a request that BeginRequest has recorded.
func (g *Gateway) EndRequest() { g.calls.done() }

// AwaitRequests waits until each request that BeginRequest has recorded has ended, and so has its line in the log. It
// returns false if some have not within the timeout.
func (g *Gateway) AwaitRequests(timeout time.Duration) bool {
	const interval = 2 * time.Millisecond
	for end := time.Now().Add(timeout); !g.calls.idle(); time.Sleep(interval) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// Stop ends the feeds and the leader tasks.
func (g *Gateway) Stop() error {
	g.tomb.Kill(nil)
	return g.tomb.Wait()
}

// Leaving reports whether the host was requested to stop.
func (g *Gateway) Leaving() bool { return g.leaving.Load() }

// defaultMaxBodyBytes bounds a request's body if the configuration states no bound: the value in
// the users' configurations.
const defaultMaxBodyBytes = 4 << 20

// CallerLimits returns the limits of what callers send; its fields are zero where the configuration states none.
func (g *Gateway) CallerLimits() catalog.RequestLimits {
	if s := g.catalog.Current(); s != nil {
		return s.Limits
	}
	return catalog.RequestLimits{}
}

// BodyLimit returns the maximum size of a request's body in bytes.
func (g *Gateway) BodyLimit() int64 {
	if limit := g.CallerLimits().MaxBodyBytes; limit > 0 {
		return limit
	}
	return defaultMaxBodyBytes
}
