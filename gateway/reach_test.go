package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/fleet"
	"github.com/cicadanotch/cicadanotch/port"
)

// cutForm is how the connections of a host fail that is cut off from all endpoints.
type cutForm string

const (
	cutNone cutForm = ""
	// cutHangs means that nothing arrives any more and connections cannot be opened; cutResets that they are reset and
	// refused; cutNew that open ones live on while new ones hang.
	cutHangs  cutForm = "hangs"
	cutResets cutForm = "resets"
	cutNew    cutForm = "new ones hang"
	// cutEnded means that the host has ended.
	cutEnded cutForm = "ended"
)

// cutNetwork carries the requests of hosts to endpoints, and cuts hosts off.
type cutNetwork struct {
	inner *fakeEndpoints

	mu   sync.Mutex
	form map[string]cutForm
	cut  map[string]chan struct{} // closed when the host is cut off
	// tunnels holds the hosts by the address at which they carry requests of others.
	tunnels map[string]*Gateway
	carried atomic.Int64
	// probes counts the probes of all hosts.
	probes atomic.Int64
}

func newCutNetwork(inner *fakeEndpoints) *cutNetwork {
	return &cutNetwork{inner: inner, form: map[string]cutForm{}, cut: map[string]chan struct{}{}, tunnels: map[string]*Gateway{}}
}

func (n *cutNetwork) set(form cutForm, hosts ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range hosts {
		was := n.form[h]
		n.form[h] = form
		switch {
		case form != cutNone && was == cutNone:
			close(n.channel(h))
		case form == cutNone:
			n.cut[h] = make(chan struct{})
		}
	}
}

// end makes a host carry no requests any more; what it carries breaks.
func (n *cutNetwork) end(g *Gateway) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.tunnels, g.opts.Tunnel)
	n.form[g.opts.Host] = cutEnded
	close(n.channel(g.opts.Host))
}

// channel returns the channel that is closed when a host is cut off. The caller holds the lock.
func (n *cutNetwork) channel(host string) chan struct{} {
	if n.cut[host] == nil {
		n.cut[host] = make(chan struct{})
	}
	return n.cut[host]
}

func (n *cutNetwork) state(host string) (cutForm, chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.form[host], n.channel(host)
}

// open opens a connection from a host to an endpoint.
func (n *cutNetwork) open(ctx context.Context, host string) error {
	form, _ := n.state(host)
	switch form {
	case cutNone:
		return nil
	case cutResets:
		return errors.Wrap(port.ErrNotListening, "refused")
	}
	select {
	case <-ctx.Done():
	case <-time.After(1300 * time.Millisecond):
	}
	return errors.New("dial timed out")
}

// hostEndpoints are the endpoints as one host reaches them.
type hostEndpoints struct {
	*cutNetwork
	host string
}

func (e *hostEndpoints) CloseIdle(string) {}

func (e *hostEndpoints) MoveStream(ctx context.Context, address string, m port.StreamMove) (string, error) {
	return e.inner.MoveStream(ctx, address, m)
}

func (e *hostEndpoints) Probe(ctx context.Context, _ string) error {
	e.probes.Add(1)
	return e.open(ctx, e.host)
}

func (e *hostEndpoints) HasRoom(ctx context.Context, address, path string) bool {
	return e.open(ctx, e.host) == nil && e.inner.HasRoom(ctx, address, path)
}

func (e *hostEndpoints) Forward(ctx context.Context, f *port.Forward) (*port.Reply, error) {
	from := e.host
	if f.Via != "" {
		e.mu.Lock()
		helper := e.tunnels[f.Via]
		e.mu.Unlock()
		if helper == nil {
			return nil, errors.Wrap(port.ErrHelper, "no host there")
		}
		switch refusal := helper.RefuseTunnel(f.Endpoint, f.Address); refusal {
		case "":
		case port.TunnelCutOff:
			return nil, errors.Wrap(port.ErrHelperCutOff, string(refusal))
		default:
			return nil, errors.Wrap(port.ErrHelper, string(refusal))
		}
		from = helper.opts.Host
		e.carried.Add(1)
	}
	if err := e.open(ctx, from); err != nil {
		return nil, errors.Wrap(port.ErrNotSent, err.Error())
	}
	form, cut := e.state(from)
	if form != cutNone {
		cut = nil // the connection was open before and lives on
	}
	reply, err := e.inner.Forward(ctx, f)
	if err != nil || reply.Body == nil {
		return reply, err
	}
	reply.Body = &cutBody{reply: reply.Body.(*streamBody), network: e.cutNetwork, host: from, cut: cut}
	return reply, nil
}

// cutBody is the body of an answer whose connection may be cut.
type cutBody struct {
	reply   *streamBody
	network *cutNetwork
	host    string
	cut     chan struct{}
}

func (b *cutBody) Close() error { return nil }

func (b *cutBody) Read(p []byte) (int, error) {
	select {
	case <-b.cut:
		switch form, _ := b.network.state(b.host); form {
		case cutResets:
			return 0, errors.Wrap(port.ErrBroken, "reset")
		case cutEnded:
			return 0, errors.Wrap(port.ErrHelperBroken, "the host has ended")
		case cutHangs:
			<-b.reply.ctx.Done()
			return 0, errors.Wrap(port.ErrBroken, "closed")
		}
	default:
	}
	return b.reply.Read(p)
}

// startCutHosts starts hosts in availability zones, with eight engines and three plain endpoints in each zone.
func startCutHosts(t *testing.T, zones ...string) (*testPlatform, *cutNetwork, []*Gateway) {
	t.Helper()
	tp := newTestPlatform()
	tp.peers = newMemoryPeers()
	network := newCutNetwork(tp.endpoints)
	tp.wrapEndpoints = func(host string) port.Endpoints { return &hostEndpoints{network, host} }
	tp.endpoints.respond = func(ctx context.Context, f *port.Forward, _ int) (*port.Reply, error) {
		if err := f.Sending(); err != nil {
			return nil, errors.Wrap(port.ErrNotSent, err.Error())
		}
		if strings.Contains(f.Path, "stream") || strings.Contains(f.Path, "resume") {
			return streamReply(ctx, &port.Forward{Sending: func() error { return nil }}, io.EOF, 20*time.Millisecond, events(1, 8)...), nil
		}
		return &port.Reply{Status: http.StatusOK, Authentic: true, Header: http.Header{}, Length: 2, Body: &streamBody{ctx, []string{"ok"}, 10 * time.Millisecond, io.EOF}}, nil
	}
	var all []fleet.Endpoint
	for _, zone := range []string{"a", "b"} {
		for i := range 8 {
			e := endpoint(fmt.Sprintf("%s-llm-%d", zone, i), "llm")
			e.Zone, e.Address, e.Slots = zone, fmt.Sprintf("10.0.1.%s:%d", map[string]string{"a": "1", "b": "2"}[zone], 100+i), 64
			all = append(all, e)
		}
		for i := range 3 {
			e := endpoint(fmt.Sprintf("%s-api-%d", zone, i), "api")
			e.Zone, e.Address = zone, fmt.Sprintf("10.0.1.%s:%d", map[string]string{"a": "1", "b": "2"}[zone], 200+i)
			all = append(all, e)
		}
	}
	tp.publish(all...)
	var hosts []*Gateway
	for i, zone := range zones {
		opts := testOptions(fmt.Sprintf("h%d", i))
		opts.Zone, opts.Address = zone, fmt.Sprintf("10.0.0.%d:1", i+1)
		opts.Peer, opts.Tunnel = fmt.Sprintf("10.0.0.%d:2", i+1), fmt.Sprintf("10.0.0.%d:3", i+1)
		g := tp.startHost(t, opts)
		tp.peers.add(opts.Peer, g)
		network.mu.Lock()
		network.tunnels[opts.Tunnel] = g
		network.mu.Unlock()
		hosts = append(hosts, g)
	}
	for _, g := range hosts {
		for end := time.Now().Add(15 * time.Second); !g.Ready() || len(g.presence.Live()) < len(hosts)-1; time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("host %s: ready %t with %d other hosts", g.opts.Host, g.Ready(), len(g.presence.Live()))
			}
		}
	}
	return tp, network, hosts
}

// sendFor sends requests of three kinds to a host at even intervals and returns how many were served of how many.
func sendFor(g *Gateway, prefix string, d time.Duration) (served, all int64) {
	const interval = 40 * time.Millisecond
	var ok, sent atomic.Int64
	var wg sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(interval) {
		n := sent.Add(1)
		wg.Go(func() {
			route := []string{"get", "order", "stream", "resume"}[n%4]
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			if r := sendRequest(ctx, g, fmt.Sprintf("%s-%d", prefix, n), route); r.status == http.StatusOK && !r.aborted && ctx.Err() == nil {
				ok.Add(1)
			}
		})
	}
	wg.Wait()
	return ok.Load(), sent.Load()
}

// TestHostsCutOffFromEndpoints guards against callers of hosts that have lost their paths to all endpoints being served
// worse than others. The requests that count are sent from contactTime after the cut on.
func TestHostsCutOffFromEndpoints(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name  string
		zones []string
		cut   []int
		form  cutForm
	}{
		{"one of five hangs", []string{"a", "a", "a", "b", "b"}, []int{0}, cutHangs},
		{"one of five is reset", []string{"a", "a", "a", "b", "b"}, []int{0}, cutResets},
		{"one of five opens none", []string{"a", "a", "a", "b", "b"}, []int{0}, cutNew},
		{"all of a zone", []string{"a", "a", "a", "b", "b"}, []int{0, 1, 2}, cutHangs},
		{"all but one", []string{"a", "a", "a", "b", "b"}, []int{0, 1, 2, 3}, cutHangs},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				served, all := serveDuringCut(t, contactTime, tt.zones, tt.cut, tt.form)
				t.Logf("served %d of %d", served, all)
				is := is.New(t)
				is.True(all >= 50)
				is.True(3*served >= 2*all)
				is.True(all-served <= 10+all/50)
			})
		})
	}
}

// TestCutOffHostsBesideOtherTrouble replays cuts beside what else may happen. An order reaches one endpoint at most, also
// if the host that carries it ends.
func TestCutOffHostsBesideOtherTrouble(t *testing.T) {
	t.Parallel()
	zones := []string{"a", "a", "a", "b", "b"}
	for _, tt := range []struct {
		name    string
		trouble func(tp *testPlatform, network *cutNetwork, hosts []*Gateway)
	}{
		{"a host that helps ends", func(_ *testPlatform, network *cutNetwork, hosts []*Gateway) { network.end(hosts[1]) }},
		{"a host that helps is cut off too", func(_ *testPlatform, network *cutNetwork, _ []*Gateway) { network.set(cutHangs, "h1") }},
		{"a host that helps leaves", func(_ *testPlatform, _ *cutNetwork, hosts []*Gateway) { go hosts[1].Leave(context.Background()) }},
		{"the store is away", func(tp *testPlatform, _ *cutNetwork, _ []*Gateway) {
			tp.store.setFail(func(string, port.Topic) error { return port.ErrStoreUnavailable })
		}},
		{"endpoints are replaced", func(tp *testPlatform, _ *cutNetwork, _ []*Gateway) {
			for i := range 4 {
				e := endpoint(fmt.Sprintf("a-llm-%d", i), "llm")
				e.Address, e.Slots, e.State = fmt.Sprintf("10.0.1.1:%d", 100+i), 64, fleet.StateDraining
				tp.store.put(port.TopicEndpoints, e.ID, e)
			}
		}},
		{"it ends and begins again", func(_ *testPlatform, network *cutNetwork, _ []*Gateway) {
			network.set(cutNone, "h0")
			time.AfterFunc(3*time.Second, func() { network.set(cutResets, "h0") })
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tp, network, hosts := startCutHosts(t, zones...)
				network.set(cutHangs, "h0")
				sendFor(hosts[0], "before", contactTime)
				tt.trouble(tp, network, hosts)
				served, all := sendFor(hosts[0], "cut", 8*time.Second)
				t.Logf("served %d of %d", served, all)
				is.True(all >= 150)
				is.True(all-served <= 10+all/50)
				for id, n := range tp.endpoints.runs("/order/") {
					if n > 1 {
						t.Errorf("order %s reached endpoints %d times", id, n)
					}
				}
			})
		})
	}
}

// serveDuringCut cuts hosts off, sends them requests all the while, and returns how many were served of those that were
// sent later than delay after the cut.
func serveDuringCut(t *testing.T, delay time.Duration, zones []string, cut []int, form cutForm) (served, all int64) {
	t.Helper()
	_, network, hosts := startCutHosts(t, zones...)
	var names []string
	for _, i := range cut {
		names = append(names, hosts[i].opts.Host)
	}
	network.set(form, names...)
	var wg sync.WaitGroup
	var ok, sent atomic.Int64
	for _, i := range cut {
		wg.Go(func() { sendFor(hosts[i], fmt.Sprintf("before-%d", i), delay) })
	}
	time.Sleep(delay)
	for _, i := range cut {
		wg.Go(func() {
			s, n := sendFor(hosts[i], fmt.Sprintf("cut-%d", i), 3*time.Second)
			ok.Add(s)
			sent.Add(n)
		})
	}
	wg.Wait()
	return ok.Load(), sent.Load()
}

// TestCutHostTakesNoEndpointForEnded guards against a host whose connections to all endpoints are reset and refused
// recording that each of them has ended with the requests that it had there: others would refuse those requests as
// lethal.
func TestCutHostTakesNoEndpointForEnded(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp, network, hosts := startCutHosts(t, "a", "a", "b")
		var streams sync.WaitGroup
		for i := range 12 {
			streams.Go(func() { sendRequest(t.Context(), hosts[0], fmt.Sprintf("s-%d", i), "resume") })
		}
		time.Sleep(60 * time.Millisecond)
		network.set(cutResets, hosts[0].opts.Host)
		streams.Wait()
		is.True(strings.Contains(tp.log(), `"event":"endpoint_probed"`))
		is.True(!strings.Contains(tp.log(), `"event":"endpoint_died"`))
	})
}

// TestStreamsUnderWayGoOnAfterTheCut guards against streams whose connections hang when their host is cut off, and that
// wait for their callers to leave: those that may resume go on through another host, without an event missing or twice.
func TestStreamsUnderWayGoOnAfterTheCut(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp, network, hosts := startCutHosts(t, "a", "a", "b")
		tp.endpoints.respond = func(ctx context.Context, f *port.Forward, _ int) (*port.Reply, error) {
			if err := f.Sending(); err != nil {
				return nil, errors.Wrap(port.ErrNotSent, err.Error())
			}
			after, _ := strconv.Atoi(f.After) // empty at the first attempt
			return streamReply(ctx, &port.Forward{Sending: func() error { return nil }}, io.EOF, 20*time.Millisecond, events(after+1, 40)...), nil
		}
		answers := make([]*recorder, 12)
		var streams sync.WaitGroup
		for i := range answers {
			streams.Go(func() { answers[i] = sendRequest(t.Context(), hosts[0], fmt.Sprintf("s-%d", i), "resume") })
		}
		time.Sleep(400 * time.Millisecond)
		network.set(cutHangs, hosts[0].opts.Host)
		streams.Wait()
		whole := strings.Join(events(1, 40), "")
		for _, r := range answers {
			is.True(!r.aborted)
			is.Equal(r.body.String(), whole)
		}
		is.True(network.carried.Load() > 0)
	})
}
