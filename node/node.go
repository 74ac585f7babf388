// Package node implements an entry host on top of the domain packages: it
// answers address queries, accepts requests, routes them to endpoints and runs
// its share of the background work: membership, leases, capacity, drains.
//
// Concurrency: each request runs in goroutines of its own; background jobs run
// on a pool of workers over shared tables. Each table has its own lock. No lock
// is held while another is acquired, nor across a call out of the process.
package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"gopkg.in/tomb.v2"

	"github.com/cicadanotch/cicadanotch/admit"
	"github.com/cicadanotch/cicadanotch/capacity"
	"github.com/cicadanotch/cicadanotch/claim"
	"github.com/cicadanotch/cicadanotch/config"
	"github.com/cicadanotch/cicadanotch/lease"
	"github.com/cicadanotch/cicadanotch/member"
	"github.com/cicadanotch/cicadanotch/memory"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/quarantine"
	"github.com/cicadanotch/cicadanotch/record"
)

// Ports are the adapters that a node uses.
type Ports struct {
	Log      port.Log
	Cloud    port.Cloud
	Engine   port.Engine
	Services port.ServiceCaller
	Peers    port.Peers
	Logger   *log.Logger
}

// Node is one entry host.
type Node struct {
	settings Settings
	ports    Ports
	log      *log.Logger
	tomb     tomb.Tomb
	pool     *pool
	metrics  *metrics
	registry *prometheus.Registry

	documents         *config.Table
	claims            *claim.Table
	leases            *lease.Table
	capacity          *capacity.Table
	endpoints         *endpointTable
	hosts             *hostTable
	members           *member.Table
	reports           *reportTable
	relays            *relays
	requests          *requestTable
	tail              *tail
	writer            *writer
	leaseParticipants *leaseParticipants
	activeClaims      *activeClaimTable
	// checkpoints decides when this host writes a checkpoint.
	checkpoints checkpointState
	hostFeed    *hostFeed
	// listedMembers are the entry hosts last passed to members; only pollHosts
	// uses it.
	listedMembers []member.Host
	capacityJob   *capacityJob
	// incarnation identifies this process; it differs between processes of one
	// host.
	incarnation string
	// behindPeers is set while peers are known to be ahead of this process in
	// the log.
	behindPeers atomic.Bool
	stopping    *stopState
	leaving     *leavingTable
	queues      admit.Table
	// account has what is held of bodies of requests.
	account    *memory.Account
	bodies     *bodyMetrics
	usage      *usageTable
	inFlight   *quarantine.InFlight
	quarantine *quarantine.Table
	// deathSyncs counts the exchanges of endpoint deaths with peers.
	deathSyncs atomic.Int64
	// budgets holds an *attempt.Budget for each service.
	budgets  sync.Map
	handoffs *handoffMetrics
	drains   *endpointDrain
	// reportExchange is used by the heartbeats job only.
	reportExchange reportExchange
	// searchSlots bounds the concurrent searches for requests of other hosts.
	searchSlots chan struct{}
}

// incarnationDigits is the number of random hex digits that distinguish two
// processes of one host.
const incarnationDigits = 12

// New returns a node that is idle until Start is called.
func New(settings Settings, ports Ports) *Node {
	registry := prometheus.NewRegistry()
	n := &Node{
		settings:   settings.withDefaults(),
		ports:      ports,
		log:        ports.Logger,
		metrics:    newMetrics(registry),
		registry:   registry,
		documents:  config.NewTable(),
		claims:     claim.NewTable(),
		leases:     lease.NewTable(),
		capacity:   capacity.NewTable(),
		endpoints:  newEndpointTable(settings, registry),
		hosts:      newHostTable(),
		requests:   newRequestTable(),
		usage:      newUsageTable(),
		inFlight:   quarantine.NewInFlight(),
		quarantine: quarantine.NewTable(),
	}
	n.account = memory.NewAccount(int64(n.settings.MemoryMB) << 20)
	n.bodies = newBodyMetrics(registry, n.account)
	if n.log == nil {
		n.log = &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: discardWriter{}}}
	}
	n.members = member.NewTable(n.settings.Host, member.DefaultOptions())
	n.relays = newRelays(n)
	n.incarnation = n.settings.Host + "/" + record.NewID()[:incarnationDigits]
	n.reports = newReportTable(n.incarnation)
	n.hostFeed = newHostFeed(n.incarnation)
	n.leaseParticipants = newLeaseParticipants(n)
	n.activeClaims = newActiveClaimTable()
	n.capacityJob = newCapacityJob(n)
	n.tail = newTail(n)
	n.writer = newWriter(n)
	n.stopping = newStopState(n.settings.AddressTTL.Std())
	n.leaving = newLeavingTable()
	n.drains = newEndpointDrain()
	n.handoffs = newHandoffMetrics(registry)
	n.searchSlots = make(chan struct{}, maxSearches)
	return n
}

type discardWriter struct{}

func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// Start starts the background work.
func (n *Node) Start() {
	n.pool = newPool(n.settings.Workers, &n.tomb)
	n.tomb.Go(n.tail.run)
	n.tomb.Go(n.writer.run)
	n.pool.every(&n.tomb, "checkpoint", checkpointInterval, n.writeCheckpointIfDue)
	n.pool.every(&n.tomb, "leases", leaseInterval, n.leaseParticipants.step)
	n.pool.every(&n.tomb, "staleness", time.Second, n.checkStaleness)
	n.pool.every(&n.tomb, "heartbeats", heartbeatInterval, n.sendHeartbeats)
	n.pool.every(&n.tomb, "hosts", n.settings.PollInterval.Std(), n.pollHosts)
	n.pool.every(&n.tomb, "loads", n.settings.LoadInterval.Std(), n.pollLoads)
	n.pool.every(&n.tomb, "cache events", n.settings.LoadInterval.Std(), n.pollEvents)
	n.pool.every(&n.tomb, "usage", usageInterval, n.reportUsage)
	n.pool.every(&n.tomb, "deaths", deathSyncInterval, n.syncDeaths)
	n.pool.every(&n.tomb, "queues", n.settings.LoadInterval.Std(), n.refreshQueues)
	n.pool.every(&n.tomb, "requests", time.Second, n.expireRequests)
	n.pool.every(&n.tomb, "capacity", capacityInterval, n.capacityJob.run)
	n.pool.every(&n.tomb, "stop", stopInterval, n.advanceStop)
	n.pool.every(&n.tomb, "endpoint drains", drainInterval, n.drainEndpoints)
	n.tomb.Go(n.watchNotices)
	n.tomb.Go(func() error {
		<-n.tomb.Dying()
		n.relays.server.Wait()
		return nil
	})
}

// Stop stops the node at once, without a drain, and waits until its goroutines
// have returned.
func (n *Node) Stop() error {
	n.tomb.Kill(nil)
	return n.tomb.Wait()
}

// Host returns the id of the node's host.
func (n *Node) Host() string { return n.settings.Host }

// Settings returns the settings with defaults filled in.
func (n *Node) Settings() Settings { return n.settings }

// context returns a context that ends with the node.
func (n *Node) context() context.Context { return n.tomb.Context(context.Background()) }

// Serve serves callers or operators at the listener until the node stops.
func (n *Node) Serve(l net.Listener, server *http.Server) {
	n.stopping.add(server)
	n.tomb.Go(func() error {
		<-n.tomb.Dying()
		return errors.Wrap(server.Close(), "close server")
	})
	n.tomb.Go(func() error {
		err := server.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return errors.Wrapf(err, "serve %s", l.Addr())
	})
}

// Registry returns the node's metrics.
func (n *Node) Registry() *prometheus.Registry { return n.registry }
