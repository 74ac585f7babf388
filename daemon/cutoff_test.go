package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"github.com/cicadanotch/cicadanotch/adapter/tunnel"
	"github.com/cicadanotch/cicadanotch/gateway"
	"github.com/cicadanotch/cicadanotch/platform"
	"github.com/cicadanotch/cicadanotch/platform/platformtest"
)

// cuttableDialer opens connections to endpoints until it is cut.
type cuttableDialer struct {
	cut     atomic.Bool
	refuses bool // connections are refused while cut, instead of hanging

	mu    sync.Mutex
	conns []net.Conn
}

func (d *cuttableDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if d.cut.Load() {
		if d.refuses {
			return nil, syscall.ECONNREFUSED
		}
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	conn := &cuttableConn{Conn: c, dialer: d}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns = append(d.conns, conn)
	return conn, nil
}

// begin cuts the dialer and, if it refuses, resets what is open.
func (d *cuttableDialer) begin() {
	d.cut.Store(true)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		if d.refuses {
			_ = c.Close() // closed already, perhaps
		}
	}
}

// cuttableConn passes nothing on while its dialer is cut.
type cuttableConn struct {
	net.Conn
	dialer *cuttableDialer
}

func (c *cuttableConn) Write(p []byte) (int, error) {
	if c.dialer.cut.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// startPair starts two hosts with real servers; the dialer opens the connections of the first to endpoints.
func startPair(t *testing.T, store *platformtest.Store, cloud *platformtest.Cloud, dialer *cuttableDialer) (first *host, front string) {
	t.Helper()
	for n := range 2 {
		sockets := listenerSet{}
		address := sockets.add(t)
		ready, directory := sockets.add(t), sockets.add(t)
		settings, err := platform.ParseSettings([]byte(strings.Join([]string{
			fmt.Sprintf("node_name=h%d", n), "ip=127.0.0.1", "zone=a", "region=r", "zones.a=r",
			"listen.front=" + address, "listen.ready=" + ready, "listen.directory=" + directory,
			"provider.address=" + store.Address(), "cloud.address=" + cloud.Address(), "bounds.grace_s=8", "bounds.drain_ms=3000", "bounds.budget_slack=58",
		}, "\n")))
		is.New(t).NoErr(err)
		settings.MetricsAddress = sockets.add(t)
		settings.Gateway.Peer, settings.Gateway.Tunnel = sockets.add(t), sockets.add(t)
		settings.Gateway.Incarnation = "1"
		wrap := func(p *gateway.Ports) {
			if n == 0 {
				endpoints := platform.NewEndpoints(dialer.dial)
				endpoints.DialVia = tunnel.NewClient(nil).DialEndpoint
				p.Endpoints, p.IdleConnections = endpoints, endpoints
			}
		}
		h, err := startHost(settings, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, sockets.open, wrap)
		is.New(t).NoErr(err)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- h.run(ctx) }()
		t.Cleanup(func() { cancel(); is.New(t).NoErr(<-done) })
		if n == 0 {
			first, front = h, address
		}
	}
	return first, front
}

// TestHostCutOffServesThroughAnother guards, over real connections, against callers of a host that is cut off from the
// endpoints being served worse than others: calls, orders, which run once, and streams, whose events come as they are made.
func TestHostCutOffServesThroughAnother(t *testing.T) {
	for name, refuses := range map[string]bool{"connections hang": false, "connections are refused": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			store, cloud := platformtest.NewStore(), platformtest.NewCloud()
			t.Cleanup(store.Close)
			t.Cleanup(cloud.Close)
			store.Configure(1, "")
			var endpoints []*platformtest.Endpoint
			for n := range 4 {
				e := platformtest.NewEndpoint(fmt.Sprint("i-", n), nil)
				t.Cleanup(e.Close)
				e.SetSoftware("v1")
				endpoints = append(endpoints, e)
				store.Register(e.ID, e.Entry([]string{"llm", "api"}[n%2], "a", "ready"))
			}
			dialer := &cuttableDialer{refuses: refuses}
			h, front := startPair(t, store, cloud, dialer)
			waitUntil(t, "both hosts know each other and the endpoints", func() bool {
				s := h.gateway.State(time.Now())
				return s.Ready && len(s.Endpoints) == 4 && len(s.Hosts) == 1 && s.Hosts[0].State == "serving"
			})
			is.Equal(platformtest.SendRequest(front, "before", "/get/1", "secret", false).Status, http.StatusOK)

			dialer.begin()
			lost := func() int { return len(h.gateway.Lost()) }
			for n := 0; lost() < 2 && n < 400; n++ {
				for _, path := range []string{"/get/1", "/stream/1"} {
					go platformtest.SendRequest(front, fmt.Sprint("finds", path, n), path, "secret", strings.HasPrefix(path, "/stream"))
				}
				time.Sleep(50 * time.Millisecond)
			}
			is.Equal(lost(), 2)
			for n := range 10 {
				is.Equal(platformtest.SendRequest(front, fmt.Sprint("get", n), "/get/1", "secret", false).Status, http.StatusOK)
				is.Equal(platformtest.SendRequest(front, fmt.Sprint("order", n), "/order/1", "secret", false).Status, http.StatusOK)
				is.Equal(platformtest.SendRequest(front, fmt.Sprint("stream", n), "/stream/1", "secret", true).Body, completeStream)
			}
			runs := map[string]int{}
			for _, e := range endpoints {
				for _, run := range e.Runs() {
					runs[run.Attempt]++
				}
			}
			for n := range 10 {
				is.Equal(runs[fmt.Sprint("order", n)], 1)
			}

			dialer.cut.Store(false)
			waitUntil(t, "the host has noticed that the cut is over", func() bool { return lost() == 0 })
			is.Equal(platformtest.SendRequest(front, "after", "/get/1", "secret", false).Status, http.StatusOK)
		})
	}
}

func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 20 s: %s", what)
		}
	}
}
