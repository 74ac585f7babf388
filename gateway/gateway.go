// Package gateway serves callers' requests by forwarding them to endpoints that
// run on hosts which can be taken back at any moment.
//
// A request is planned against the configuration in force (serve.go), placed
// (place.go), sent, and after an attempt that failed decided upon (decide.go,
// pure). What a host believes comes from feeds of the platform's store
// (feeds.go), read for a whole availability zone by one host of it (relay.go); what one
// host does for all is in duties.go.
//
// Lock order: a call's own lock, then any one of the tables below; a table's
// lock is a leaf, and nothing is called while it is held.
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
	"github.com/cicadanotch/cicadanotch/lease"
	"github.com/cicadanotch/cicadanotch/placement"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/presence"
	"github.com/cicadanotch/cicadanotch/quota"
	"github.com/cicadanotch/cicadanotch/scaling"
	"github.com/cicadanotch/cicadanotch/usage"
)

// Options tell a gateway where it stands and what bounds hold.
type Options struct {
	// Host is the host's name, Incarnation that of this process.
	Host        string
	Incarnation string
	Zone        string
	Region      string
	// Regions maps availability zones to regions.
	Regions map[string]string
	// Address is where callers reach it, Peer where other hosts do, as ip:port.
	// Cores is how much processor it has.
	Address string
	Peer    string
	Cores   float64
	// Drain is how long an endpoint serves on after it is listed as draining.
	Drain time.Duration
	// Grace is the time between the request to stop and the end of the process.
	Grace time.Duration
	// RetryRatio, RetryWindow and RetrySlack bound retries over all hosts.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// UsageWindow is the length of a window of usage, UsageDue how long after
	// its end the report is due. Zero length: no reports.
	UsageWindow time.Duration
	UsageDue    time.Duration
	// Lease is how long the duties stay with a holder that is not heard of.
	Lease time.Duration
	// FencesChecked tells that the platform refuses calls under an old fencing
	// number.
	FencesChecked bool
	// Scales tells that endpoints are ordered.
	Scales bool
	// QuotaTolerance is what may exceed a workspace's limit.
	QuotaTolerance quota.Tolerance
	// AddressLifetime is how long callers are told to keep an address answer.
	AddressLifetime time.Duration
}

// Ports are the outside systems.
type Ports struct {
	Store     port.Store
	Endpoints port.Endpoints
	Mover     Forgetter
	Duties    port.Duties
	// Peers calls other hosts; nil when there is no way to them.
	Peers port.Peers
	// DecodeConfiguration and DecodeEndpoint turn records of the store into the
	// product's types.
	DecodeConfiguration func([]byte) (*catalog.Snapshot, error)
	DecodeEndpoint      func(id string, raw []byte) (fleet.Endpoint, error)
	Logger              *log.Logger
}

// Forgetter drops the idle connections to an address.
type Forgetter interface{ Forget(address string) }

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
	metrics   *metrics

	budgets sync.Map // service name to *attempt.WindowBudget
	waits   sync.Map // service name to *attempt.Patience
	hosts   atomic.Int64
	calls   callTable
	relays  *relayState
	duties  *dutyState
	leaving atomic.Bool
	endsAt  atomic.Int64 // when a leaving process ends at the latest, Unix nanoseconds
	left    chan struct{}

	started       time.Time
	configured    chan struct{} // closed when a configuration is in force
	configRead    atomic.Bool
	endpointsRead atomic.Bool
	sequence      atomic.Int64
	storeAt       atomic.Int64 // last answer of the store, Unix nanoseconds
	storeBack     returnSignal
}

const (
	// recoverTime is how long after the store's return a missing entry of an
	// endpoint may come back: the platform states about two seconds.
	recoverTime = 2 * time.Second
	// hostLifetime is how long a host is alive after its last report: it tells
	// its relay once a second, the relay the store, another relay reads that,
	// each up to a second later, and one of them may fail.
	hostLifetime = 4200 * time.Millisecond
	// shareSilence is how long a host may be silent until its shares are its own
	// alone: two reports missed and the delay of the third.
	shareSilence = 2500 * time.Millisecond
	// shareLifetime is how long a host that is not heard of keeps its shares of
	// what all hosts share: it may be cut off from the store and serve on. That
	// is as long as the cuts that the platform names last.
	shareLifetime = 20 * time.Second
	// hostsAssumed is how many hosts a process takes to exist before it has
	// read of any.
	hostsAssumed = 9
)

// New returns a gateway that is not started.
func New(opts Options, ports Ports) *Gateway {
	now := time.Now()
	g := &Gateway{
		opts: opts, ports: ports, log: ports.Logger, tomb: &tomb.Tomb{},
		fleet:     fleet.NewTable(recoverTime),
		placement: placement.NewTable(opts.Host),
		quota:     quota.NewTable(now, hostsAssumed, opts.QuotaTolerance),
		presence:  presence.NewTable(opts.Host, opts.Incarnation, hostLifetime),
		usage:     usage.NewCounter(max(opts.UsageWindow, time.Second)),
		clock:     usage.NewClock(now),
		demand:    scaling.NewMeter(),
		metrics:   newMetrics(),
		started:   now,
		left:      make(chan struct{}), configured: make(chan struct{}),
	}
	g.hosts.Store(hostsAssumed)
	g.calls.calls = map[*call]struct{}{}
	g.relays = newRelayState()
	g.duties = newDutyState(lease.Options{TTL: opts.Lease, Margin: opts.Lease / 4})
	return g
}

// Start starts the feeds and duties.
func (g *Gateway) Start() {
	g.log.Info().Str("event", "start").Str("incarnation", g.opts.Incarnation).
		Str("zone", g.opts.Zone).Str("address", g.opts.Address).Msg("")
	g.tomb.Go(func() error {
		g.tomb.Go(g.followConfiguration)
		g.tomb.Go(g.followEndpoints)
		g.tomb.Go(g.followHosts)
		return nil
	})
}

// context ends when the process ends.
func (g *Gateway) context() context.Context { return g.tomb.Context(context.Background()) }

// Ready reports whether the host can serve: it knows a configuration and the
// endpoints, and is not leaving.
func (g *Gateway) Ready() bool {
	return g.configRead.Load() && g.endpointsRead.Load() && !g.leaving.Load()
}

// Addresses returns the addresses for a caller and how long to keep them.
func (g *Gateway) Addresses(zone, region string) ([]string, time.Duration) {
	const (
		least = 2  // one host alone would take a zone's callers with it
		most  = 64 // callers take no longer answers
	)
	return presence.Addresses(g.presence.Live(), g.report(time.Now()), zone, region, least, most), g.opts.AddressLifetime
}

// budget returns the retry budget of a service.
func (g *Gateway) budget(service string) *attempt.WindowBudget {
	b, ok := g.budgets.Load(service)
	if !ok {
		fresh := attempt.NewWindowBudget(g.opts.RetryWindow, g.opts.RetryRatio, g.opts.RetrySlack)
		fresh.SetHosts(int(g.hosts.Load()))
		b, _ = g.budgets.LoadOrStore(service, fresh)
	}
	return b.(*attempt.WindowBudget)
}

// patience returns how long answers of a service usually take.
func (g *Gateway) patience(service string) *attempt.Patience {
	p, ok := g.waits.Load(service)
	if !ok {
		p, _ = g.waits.LoadOrStore(service, &attempt.Patience{})
	}
	return p.(*attempt.Patience)
}

// Leave takes the host out of the address answers and returns when it may end:
// no caller is left that holds its address, and nothing is in progress.
func (g *Gateway) Leave(ctx context.Context) {
	if g.leaving.Swap(true) {
		return
	}
	began := time.Now()
	g.endsAt.Store(began.Add(g.opts.Grace - leaveMargin).UnixNano())
	g.log.Info().Str("event", "stop").Int("in_progress", g.calls.len()).Msg("leaving the address answers")
	close(g.left)
	tick := time.NewTicker(leaveTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			if g.mayEnd(now, began) {
				g.log.Info().Str("event", "stopped").Int("in_progress", g.calls.len()).
					Dur("after", now.Sub(began)).Msg("")
				return
			}
		}
	}
}

const (
	// leaveTick is how often a leaving process looks whether it may end.
	leaveTick = 50 * time.Millisecond
	// leaveQuiet is how long nothing may have arrived before it ends.
	leaveQuiet = 1500 * time.Millisecond
	// leaveMargin is left of the grace time for the end of the process.
	leaveMargin = 250 * time.Millisecond
	// keptLonger is how many times longer than told some callers keep an
	// answer.
	keptLonger = 3
)

// timeLeft returns how long a leaving process still runs.
func (g *Gateway) timeLeft(now time.Time) (time.Duration, bool) {
	at := g.endsAt.Load()
	return time.Unix(0, at).Sub(now), at != 0
}

func (g *Gateway) mayEnd(now, began time.Time) bool {
	if now.Sub(began) >= g.opts.Grace-leaveMargin {
		return true
	}
	if g.calls.len() > 0 || now.Sub(began) < keptLonger*g.opts.AddressLifetime {
		return false
	}
	return now.Sub(g.calls.lastArrival()) >= leaveQuiet
}

// Stop ends the feeds.
func (g *Gateway) Stop() error {
	g.tomb.Kill(nil)
	return g.tomb.Wait()
}

// callTable holds the requests in progress.
type callTable struct {
	mu    sync.Mutex
	calls map[*call]struct{}
	last  time.Time
}

func (t *callTable) add(c *call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls[c] = struct{}{}
	t.last = c.arrived
}

func (t *callTable) remove(c *call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.calls, c)
}

func (t *callTable) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.calls)
}

func (t *callTable) lastArrival() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.last
}

// at returns the requests in progress at an endpoint.
func (t *callTable) at(endpoint string) []*call {
	t.mu.Lock()
	all := make([]*call, 0, len(t.calls))
	for c := range t.calls {
		all = append(all, c)
	}
	t.mu.Unlock()
	out := all[:0]
	for _, c := range all {
		if c.endpointID() == endpoint {
			out = append(out, c)
		}
	}
	return out
}

// Leaving reports whether the host is about to end.
func (g *Gateway) Leaving() bool { return g.leaving.Load() }

// bodyMost bounds a request's body where no configuration does, in bytes: what
// the users' configurations say.
const bodyMost = 4 << 20

// BodyLimit returns the most bytes that a request's body may have.
func (g *Gateway) BodyLimit() int64 {
	if s := g.catalog.Current(); s != nil && s.Limits.MaxBodyBytes > 0 {
		return s.Limits.MaxBodyBytes
	}
	return bodyMost
}
