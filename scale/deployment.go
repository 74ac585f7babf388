package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/adapter/cloudhttp"
	"github.com/cicadanotch/cicadanotch/adapter/loghttp"
	"github.com/cicadanotch/cicadanotch/adapter/peerrpc"
	"github.com/cicadanotch/cicadanotch/config"
	"github.com/cicadanotch/cicadanotch/node"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/record"
	"github.com/cicadanotch/cicadanotch/standin"
)

// location is the region and availability zone of an entry host.
type location struct{ region, zone string }

// zoneLocations are the availability zones of a measured deployment.
var zoneLocations = []location{{"plateau", "jos-a"}, {"plateau", "jos-b"}, {"kaduna", "kad-a"}}

// serviceCount is the number of service documents of a deployment.
const serviceCount = 4

// maxAppendsPerSecond is high enough for the log to accept the load at every size.
const maxAppendsPerSecond = 1000

type deployment struct {
	log     *standin.Log
	cloud   *standin.Cloud
	servers []*http.Server
	nodes   []*node.Node
	// logAddress and cloudAddress distinguish the kinds of connections.
	logAddress   string
	cloudAddress string
	traffic      traffic
	// bases are the offsets of the accepted revisions, by service.
	bases   map[string]int64
	changes int
}

// traffic counts the bytes by kind of connection, and the reads and writes, of the
// connections that entry hosts opened.
type traffic struct {
	log, cloud, peer, messages atomic.Int64
}

type counts struct {
	log, cloud, peer, messages int64
	reads, appends             int
	processor                  time.Duration
	at                         time.Time
}

func start(n int) (*deployment, error) {
	d := &deployment{
		log:   standin.NewLog(standin.LogOptions{AppendsPerSecond: maxAppendsPerSecond}),
		cloud: standin.NewCloud(standin.CloudOptions{}),
		bases: map[string]int64{},
	}
	var err error
	if d.logAddress, err = d.serve(standin.LogHandler(d.log)); err != nil {
		return d, err
	}
	if d.cloudAddress, err = d.serve(standin.CloudHandler(d.cloud)); err != nil {
		return d, err
	}
	for i := range n {
		if err := d.addEntry(i); err != nil {
			d.stop()
			return d, err
		}
	}
	return d, nil
}

func (d *deployment) serve(handler http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }() // ends with Close
	d.servers = append(d.servers, server)
	return l.Addr().String(), nil
}

func (d *deployment) addEntry(i int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	at := zoneLocations[i%len(zoneLocations)]
	id := fmt.Sprintf("%s-entry-%d", at.zone, i)
	n := node.New(node.Settings{Host: id, Region: at.region, Zone: at.zone}, node.Ports{
		Log:   loghttp.New("http://"+d.logAddress, d.dial),
		Cloud: cloudhttp.New("http://"+d.cloudAddress, d.dial),
		Peers: peerrpc.NewClient(d.dial),
	})
	server := peerrpc.NewServer()
	for method, handler := range n.PeerHandlers() {
		server.Handle(method, handler)
	}
	n.Start()
	n.ServePeers(l, server)
	d.nodes = append(d.nodes, n)
	d.cloud.AddHost(port.Host{
		ID: id, Role: port.RoleEntry, Region: at.region, Zone: at.zone, State: port.HostLive,
		CallerAddress: l.Addr().String(), PeerAddress: l.Addr().String(),
	})
	return nil
}

func (d *deployment) stop() {
	for _, n := range d.nodes {
		go func() { _ = n.Stop() }() // stop concurrently; the loop below waits
	}
	for _, n := range d.nodes {
		_ = n.Stop() // its errors do not affect the results
	}
	for _, s := range d.servers {
		_ = s.Close() // nothing is in flight any more
	}
}

// dial opens a connection whose bytes are counted.
func (d *deployment) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &countedConn{Conn: conn, messages: &d.traffic.messages, bytes: &d.traffic.peer}
	switch address {
	case d.logAddress:
		c.bytes = &d.traffic.log
	case d.cloudAddress:
		c.bytes = &d.traffic.cloud
	}
	return c, nil
}

type countedConn struct {
	net.Conn
	bytes, messages *atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	c.messages.Add(1)
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	c.messages.Add(1)
	return n, err
}

func (d *deployment) counts() counts {
	appends, _ := d.log.Counts()
	reads := 0
	for _, n := range d.nodes {
		reads += int(n.RelayState().Counts.LogReads)
	}
	return counts{
		log: d.traffic.log.Load(), cloud: d.traffic.cloud.Load(), peer: d.traffic.peer.Load(),
		messages: d.traffic.messages.Load(), reads: reads, appends: appends,
		processor: processorTime(), at: time.Now(),
	}
}

// measureRates returns the rates while run executes.
func (d *deployment) measureRates(run func()) Rates {
	before := d.counts()
	run()
	after := d.counts()
	seconds := after.at.Sub(before.at).Seconds()
	perHost := func(x int64) float64 { return float64(x) / seconds / float64(len(d.nodes)) }
	const bothEnds = 2
	return Rates{
		Processor:  (after.processor - before.processor).Seconds() / seconds / float64(len(d.nodes)),
		LogBytes:   perHost(after.log - before.log),
		CloudBytes: perHost(after.cloud - before.cloud),
		PeerBytes:  bothEnds * perHost(after.peer-before.peer),
		Messages:   perHost(after.messages - before.messages),
		LogReads:   float64(after.reads-before.reads) / seconds,
		LogAppends: float64(after.appends-before.appends) / seconds,
	}
}

func serviceName(i int) string { return fmt.Sprintf("service-%d", i%serviceCount) }

// document returns the document of a plain service that requires no hosts.
func document(service string, change int) (string, error) {
	doc := config.Document{
		Schema: config.Schema, Service: service, Kind: config.KindPlain, Priority: change % 100,
		Routes:     []config.Route{{Method: http.MethodGet, Path: "/readings", Repeatable: true}},
		Placement:  config.Placement{Zones: []string{"jos-a"}, Classes: []string{"l4"}},
		Latency:    config.Latency{RequestTimeout: config.Duration(10 * time.Second)},
		Workspaces: []config.Workspace{{Name: "bokkos-coop", Weight: 1}, {Name: "mangu-stores", Weight: 1}},
	}
	text, err := json.MarshalIndent(doc, "", "  ")
	return string(text), errors.Wrap(err, "encode document")
}

// publish appends a change of the next service in turn and returns its offset.
func (d *deployment) publish(ctx context.Context) (int64, error) {
	service := serviceName(d.changes)
	d.changes++
	text, err := document(service, d.changes)
	if err != nil {
		return 0, err
	}
	e, err := record.New(record.KindDocument, "operator", config.Change{Service: service, Base: d.bases[service], Text: text})
	if err != nil {
		return 0, err
	}
	data, err := e.Encode()
	if err != nil {
		return 0, err
	}
	offset, err := d.log.Append(ctx, data)
	if err != nil {
		return 0, errors.Wrap(err, "publish")
	}
	d.bases[service] = offset
	return offset, nil
}

// publishEachService publishes each service once and waits until the last is in force.
func (d *deployment) publishEachService(ctx context.Context) error {
	for range serviceCount {
		if _, err := d.publish(ctx); err != nil {
			return err
		}
	}
	return d.awaitInForce(ctx, serviceName(d.changes-1))
}

// pollInterval is the interval between two reads of the revision in force.
const pollInterval = 2 * time.Millisecond

// publishAndWait publishes a change and returns the time until it is in force.
func (d *deployment) publishAndWait(ctx context.Context) (time.Duration, error) {
	start := time.Now()
	if _, err := d.publish(ctx); err != nil {
		return 0, err
	}
	err := d.awaitInForce(ctx, serviceName(d.changes-1))
	return time.Since(start), err
}

// awaitInForce waits until the last change of a service is in force on all entry hosts.
func (d *deployment) awaitInForce(ctx context.Context, service string) error {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	for _, n := range d.nodes {
		for int64(n.ConfigStatus(service).InForce) < d.bases[service] {
			sleep(ctx, pollInterval)
			if ctx.Err() != nil {
				return errors.Errorf("%s: change of service %s not in force in time", n.Host(), service)
			}
		}
	}
	return nil
}
