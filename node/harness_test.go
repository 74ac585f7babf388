package node

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/config"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/publish"
	"github.com/cicadanotch/cicadanotch/standin"
)

// fakeCloud returns a host list that tests set.
type fakeCloud struct {
	port.Cloud
	mu     sync.Mutex
	hosts  []port.Host
	market fakeHostMarket
	// lists counts the reads of the host list.
	lists int
}

func (c *fakeCloud) Hosts(context.Context) ([]port.Host, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lists++
	return append([]port.Host(nil), c.hosts...), nil
}

func (c *fakeCloud) remove(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	remaining := []port.Host{}
	for _, h := range c.hosts {
		if h.ID != id {
			remaining = append(remaining, h)
		}
	}
	c.hosts = remaining
}

func (c *fakeCloud) Notices(ctx context.Context, _ int64, wait time.Duration) ([]port.Notice, error) {
	delay(ctx, wait)
	return nil, nil
}

// delay waits for d or until ctx has ended. Without a delay it makes no timer: the race detector's runtime ends the process
// when two goroutines of a synctest bubble receive from timers that have fired already at the same time.
func delay(ctx context.Context, d time.Duration) {
	if d > 0 {
		pause(ctx, d)
	}
}

// fakeServices records the calls of a plain service.
type fakeServices struct {
	mu    sync.Mutex
	calls map[string]int
	// before and after may delay a call or make it fail, before and after it has
	// run.
	before, after func(port.ServiceRequest) error
	lookups       map[string]port.ServiceResponse
}

func newFakeServices() *fakeServices {
	return &fakeServices{calls: map[string]int{}, lookups: map[string]port.ServiceResponse{}}
}

func (s *fakeServices) Call(ctx context.Context, _ string, r port.ServiceRequest) (port.ServiceResponse, error) {
	if ctx.Err() != nil {
		return port.ServiceResponse{}, port.ErrEndpointUnreachable
	}
	if r.Method == "GET" {
		s.mu.Lock()
		defer s.mu.Unlock()
		resp, ok := s.lookups[r.Path]
		if !ok {
			return port.ServiceResponse{Status: 404}, nil
		}
		return resp, nil
	}
	if s.before != nil {
		if err := s.before(r); err != nil {
			return port.ServiceResponse{}, err
		}
	}
	if r.OnSend != nil {
		r.OnSend()
	}
	s.mu.Lock()
	s.calls[string(r.Body)]++
	resp := port.ServiceResponse{Status: 200, Body: fmt.Appendf(nil, "run %d of %s", s.calls[string(r.Body)], r.Body)}
	s.mu.Unlock()
	if s.after != nil {
		if err := s.after(r); err != nil {
			return port.ServiceResponse{}, err
		}
	}
	return resp, nil
}

func (s *fakeServices) Probe(context.Context, string) error { return nil }

func (s *fakeServices) Load(context.Context, string) (port.LoadReport, error) {
	return port.LoadReport{MaxRunning: 64}, nil
}

// fakeEngine answers polls only.
type fakeEngine struct{ port.Engine }

func (fakeEngine) Probe(context.Context, string) error { return nil }

func (fakeEngine) Load(context.Context, string) (port.LoadReport, error) {
	return port.LoadReport{}, nil
}

func (fakeEngine) CacheEvents(context.Context, string, int64) ([]port.CacheEvent, error) {
	return nil, nil
}

// fakePeers calls the handlers of other nodes directly.
type fakePeers struct {
	mu    sync.Mutex
	nodes map[string]*Node
	// refused are the methods that fail as unreachable.
	refused map[string]bool
}

func (p *fakePeers) refuse(method string, refused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refused[method] = refused
}

func (p *fakePeers) Call(ctx context.Context, address, method string, params, result any) error {
	p.mu.Lock()
	n, ok := p.nodes[address]
	refused := p.refused[method]
	p.mu.Unlock()
	if !ok || refused {
		return port.ErrPeerUnreachable
	}
	h, ok := n.PeerHandlers()[method]
	if !ok {
		return port.ErrPeerRefused
	}
	out, err := h(ctx, mustJSON(params))
	if err != nil {
		return errors.Wrap(port.ErrPeerRefused, err.Error())
	}
	fromJSON(mustJSON(out), result)
	return nil
}

func (p *fakePeers) set(address string, n *Node) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n == nil {
		delete(p.nodes, address)
		return
	}
	p.nodes[address] = n
}

// claimLog is a log on which appends of claims take effect after a delay, even
// if the caller has given up by then.
type claimLog struct {
	port.Log
	claimDelay atomic.Int64
	// otherDelay is the delay of all other appends.
	otherDelay atomic.Int64
	wg         sync.WaitGroup

	mu               sync.Mutex
	disconnectedHost string
}

// disconnect makes the log unavailable to one host, or to none if host is empty.
func (l *claimLog) disconnect(host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disconnectedHost = host
}

func (l *claimLog) isDisconnected(host string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return host == l.disconnectedHost
}

// hostLog is the log as seen by one host.
type hostLog struct {
	*claimLog
	host string
}

func (l hostLog) Append(ctx context.Context, data []byte) (int64, error) {
	if l.isDisconnected(l.host) {
		return 0, port.ErrLogUnavailable
	}
	return l.claimLog.Append(ctx, data)
}

func (l hostLog) Read(ctx context.Context, from int64, limit int, wait time.Duration) (port.Page, error) {
	if l.isDisconnected(l.host) {
		return port.Page{}, port.ErrLogUnavailable
	}
	return l.claimLog.Read(ctx, from, limit, wait)
}

func (l *claimLog) Append(ctx context.Context, data []byte) (int64, error) {
	d := time.Duration(l.claimDelay.Load())
	if d == 0 || !bytes.Contains(data, []byte(`"kind":"claim"`)) {
		delay(ctx, time.Duration(l.otherDelay.Load()))
		return l.Log.Append(ctx, data)
	}
	done := make(chan int64, 1)
	l.wg.Go(func() {
		time.Sleep(d)
		offset, err := l.Log.Append(context.WithoutCancel(ctx), data)
		if err == nil {
			done <- offset
		}
	})
	select {
	case offset := <-done:
		return offset, nil
	case <-ctx.Done():
		return 0, port.ErrLogUnavailable
	}
}

// cluster is a set of nodes on one log, without a network.
type cluster struct {
	t        testing.TB
	log      *standin.Log
	claimLog *claimLog
	faults   *standin.Faults
	cloud    *fakeCloud
	services *fakeServices
	peers    *fakePeers
	mu       sync.Mutex
	nodes    []*Node
}

const (
	testService = "store-api"
	testRoute   = "/ventilation"
)

func testDocument() string {
	return `{"schema": 1, "service": "store-api", "kind": "plain",
		"routes": [{"method": "POST", "path": "/ventilation", "lookup": "/lookup/{key}"}],
		"placement": {"availability_zones": ["jos-a"], "machine_classes": ["l4"]},
		"latency": {"request_timeout": "20s"},
		"workspaces": [{"name": "bokkos", "weight": 1}], "idempotency_window": "24h"}`
}

// newCluster starts nodes and publishes the test document. Tests call it in a
// synctest bubble.
func newCluster(t testing.TB, size int) *cluster {
	t.Helper()
	return newClusterOn(t, size, standin.LogOptions{})
}

func newClusterOn(t testing.TB, size int, opts standin.LogOptions) *cluster {
	t.Helper()
	is := is.New(t)
	faults := standin.NewFaults()
	opts.Faults = faults
	c := &cluster{
		t:        t,
		faults:   faults,
		log:      standin.NewLog(opts),
		cloud:    &fakeCloud{},
		services: newFakeServices(),
		peers:    &fakePeers{nodes: map[string]*Node{}, refused: map[string]bool{}},
	}
	c.claimLog = &claimLog{Log: c.log}
	t.Cleanup(c.claimLog.wg.Wait)
	_, err := publish.Publish(t.Context(), c.log, testService, 0, testDocument())
	is.NoErr(err)
	c.cloud.hosts = append(c.cloud.hosts, port.Host{
		ID: "plain-1", Role: port.RoleEndpoint, Region: "plateau", Zone: "jos-a", Service: testService,
		State: port.HostLive, EndpointAddress: "127.0.0.1:1",
	})
	for i := range size {
		id := fmt.Sprintf("entry-%d", i)
		c.cloud.hosts = append(c.cloud.hosts, port.Host{
			ID: id, Role: port.RoleEntry, Region: "plateau", Zone: "jos-a", State: port.HostLive, PeerAddress: id,
		})
	}
	for i := range size {
		c.nodes = append(c.nodes, c.start(fmt.Sprintf("entry-%d", i)))
	}
	t.Cleanup(c.stop)
	time.Sleep(3 * time.Second)
	return c
}

func (c *cluster) start(id string) *Node {
	n := New(Settings{
		Host: id, Region: "plateau", Zone: "jos-a", CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
		PollInterval: config.Duration(time.Second), LoadInterval: config.Duration(time.Second), LogRetention: config.Duration(6 * time.Minute),
	}, Ports{Log: hostLog{c.claimLog, id}, Cloud: c.cloud, Services: c.services, Peers: c.peers, Engine: fakeEngine{}})
	n.Start()
	c.peers.set(id, n)
	return n
}

// kill stops a node at once; peers can no longer reach it.
func (c *cluster) kill(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers.set(c.nodes[i].settings.Host, nil)
	c.nodes[i].tomb.Kill(nil)
}

// restart replaces a node by a new process on the same host.
func (c *cluster) restart(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[i].tomb.Kill(nil)
	c.nodes[i] = c.start(c.nodes[i].settings.Host)
}

func (c *cluster) stop() {
	for _, n := range c.nodes {
		_ = n.Stop() // errors of a stop do not affect the tests
	}
}
