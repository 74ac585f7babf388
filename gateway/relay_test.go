package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/catalog"
	"github.com/cicadanotch/cicadanotch/port"
)

// memoryPeers carries calls between the hosts of a world.
type memoryPeers struct {
	mu    sync.Mutex
	hosts map[string]map[string]port.PeerHandler
	// silent hosts do not answer.
	silent map[string]bool
	calls  map[string]int
}

func newMemoryPeers() *memoryPeers {
	return &memoryPeers{hosts: map[string]map[string]port.PeerHandler{}, silent: map[string]bool{}, calls: map[string]int{}}
}

func (p *memoryPeers) Call(ctx context.Context, address, method string, params, result any) error {
	p.mu.Lock()
	handler, silent := p.hosts[address][method], p.silent[address]
	p.calls[method]++
	p.mu.Unlock()
	if silent {
		<-ctx.Done()
		return errors.Wrap(port.ErrPeerBroken, ctx.Err().Error())
	}
	if handler == nil {
		return port.ErrPeerUnreachable
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := handler(ctx, raw)
	if err != nil {
		return errors.Wrap(port.ErrPeerRefused, err.Error())
	}
	if raw, err = json.Marshal(answer); err != nil || result == nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

func (p *memoryPeers) setSilent(address string, silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent[address] = silent
}

// zone starts hosts of one availability zone that reach each other.
func (w *world) zone(t *testing.T, n int) *memoryPeers {
	t.Helper()
	peers := newMemoryPeers()
	for i := range n {
		o := named(fmt.Sprintf("h%d", i))
		o.Peer = fmt.Sprintf("10.0.0.%d:7600", i)
		w.peers = peers
		g := w.host(t, o)
		peers.mu.Lock()
		peers.hosts[o.Peer] = g.PeerHandlers()
		peers.mu.Unlock()
	}
	return peers
}

func (w *world) relayOf(g *Gateway) string {
	g.relays.mu.Lock()
	defer g.relays.mu.Unlock()
	return g.relays.chosen.Host
}

// TestOneHostReadsTheStore: the calls to the store do not grow with the hosts of a
// zone, and all know what the relay knows.
func TestOneHostReadsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		w.ready(endpoint("1", "api"))
		w.zone(t, 8)
		time.Sleep(8 * time.Second)
		calls := 0
		w.store.setFail(func(string, port.Topic) error { calls++; return nil })
		time.Sleep(10 * time.Second)
		w.store.setFail(nil)
		is.True(calls < 2*10*6) // the relay's and the duty holder's, some six a second
		w.store.put(port.TopicConfiguration, configurationKey, configuration(2))
		w.store.put(port.TopicEndpoints, "2", endpoint("2", "api"))
		time.Sleep(3 * time.Second)
		for _, g := range w.hosts {
			is.Equal(g.catalog.Current().Version, int64(2))
			is.Equal(len(g.fleet.Usable("api")), 2)
			is.Equal(len(g.presence.Live()), 7)
			is.Equal(w.relayOf(g), w.relayOf(w.hosts[0]))
		}
	})
}

// TestRelayFails: the relay freezes, or loses the store; the others know a new
// version within the time in which it has to be in force.
func TestRelayFails(t *testing.T) {
	const inForce = 3 * time.Second
	for name, fail := range map[string]func(w *world, peers *memoryPeers, relay *Gateway){
		"freezes":         func(_ *world, peers *memoryPeers, relay *Gateway) { peers.setSilent(relay.opts.Peer, true) },
		"loses the store": func(_ *world, _ *memoryPeers, relay *Gateway) { relay.ports.Store.(*hostStore).cut.Store(true) },
		"dies": func(_ *world, peers *memoryPeers, relay *Gateway) {
			peers.mu.Lock()
			delete(peers.hosts, relay.opts.Peer)
			peers.mu.Unlock()
			relay.tomb.Kill(nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld()
				w.ready(endpoint("1", "api"))
				peers := w.zone(t, 5)
				time.Sleep(8 * time.Second)
				relay := w.find(w.relayOf(w.hosts[0]))
				is.True(relay != nil)
				fail(w, peers, relay)
				w.store.put(port.TopicConfiguration, configurationKey, configuration(2))
				time.Sleep(inForce)
				for _, g := range w.hosts {
					if g != relay {
						is.Equal(g.catalog.Current().Version, int64(2))
					}
				}
				time.Sleep(10 * time.Second) // they agree on another
				for _, g := range w.hosts {
					if g != relay && name == "dies" {
						is.True(w.relayOf(g) != relay.opts.Host)
					}
				}
			})
		})
	}
}

// TestZoneSharesALimit: a prompt that is larger than one host's share is taken, as
// the zone's share is given out in one place.
func TestZoneSharesALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		limited := configuration(1)
		limited.Workspaces[0].Limit = catalog.Limit{InTokens: true, PerSecond: 40_000, Burst: 40_000}
		w.store.put(port.TopicConfiguration, configurationKey, limited)
		w.store.put(port.TopicEndpoints, "3", endpoint("3", "llm"))
		w.endpoints.play = func(ctx context.Context, f *port.Forward, _ int) (*port.Reply, error) {
			return whole(f, 200, "ok"), nil
		}
		w.zone(t, 6)
		time.Sleep(10 * time.Second)
		taken := 0
		for i, g := range w.hosts {
			r := &recorder{}
			req := &port.Request{ID: fmt.Sprint(i), Method: "GET", Host: "x", Path: "/stream/1", Key: "key", Patience: 3 * time.Second, HasTokens: true, PromptTokens: 50_000, AnswerTokens: 10}
			g.Serve(t.Context(), time.Now(), req, r)
			if r.status == 200 {
				taken++
			}
		}
		is.True(taken >= 1 && taken <= 4) // 40,000 a second, and the tolerance of a window
	})
}

// keysOf returns the keys of a topic and how many bytes their newest records have.
func (s *memoryStore) keysOf(topic port.Topic) (keys, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.topic(topic).newest {
		keys++
		size += len(r.Value)
	}
	return keys, size
}

// TestRecordsOfHostsStayFew replays the closing of trouble-3 of coldroot-jos-grown:
// all processes start anew for the third time in a minute, and each reads the newest
// record of every host through one link between regions. What incarnations that are
// gone left there, and hosts that have a relay now, must not be read again.
func TestRecordsOfHostsStayFew(t *testing.T) {
	const (
		hosts  = 9
		starts = 3
		// keyMost is what may remain: the relay and the holder write records of
		// their own, and those of the last seconds may be another's.
		keyMost = 4
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		w.ready(endpoint("1", "api"))
		w.peers = newMemoryPeers()
		for start := range starts {
			for _, g := range w.hosts {
				g.tomb.Kill(nil)
			}
			w.hosts = nil
			for i := range hosts {
				o := named(fmt.Sprintf("h%d", i))
				o.Peer, o.Incarnation = fmt.Sprintf("10.0.0.%d:7600", i), fmt.Sprint(start)
				g := w.host(t, o)
				w.peers.mu.Lock()
				w.peers.hosts[o.Peer] = g.PeerHandlers()
				w.peers.mu.Unlock()
			}
			time.Sleep(20 * time.Second)
		}
		time.Sleep(keyLifetime)
		keys, _ := w.store.keysOf(port.TopicHosts)
		is.True(keys <= keyMost)
		for _, g := range w.hosts {
			is.Equal(len(g.presence.Live()), hosts-1)
		}
	})
}

// TestZoneSharesALimitWithoutStore replays platform_down on the grown sites: the
// store is away from all, and prompts that are larger than one host's share of a
// limit are still taken, as the zone's relay goes on giving out its share.
func TestZoneSharesALimitWithoutStore(t *testing.T) {
	const (
		perSecond = 60_000
		prompt    = 50_000
		outage    = 10 * time.Second
		window    = 8 * time.Second // of testOptions
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		limited := configuration(1)
		limited.Workspaces[0].Limit = catalog.Limit{InTokens: true, PerSecond: perSecond, Burst: perSecond}
		w.store.put(port.TopicConfiguration, configurationKey, limited)
		w.store.put(port.TopicEndpoints, "3", endpoint("3", "llm"))
		w.endpoints.play = func(ctx context.Context, f *port.Forward, _ int) (*port.Reply, error) {
			return whole(f, 200, "ok"), nil
		}
		w.zone(t, 15)
		time.Sleep(10 * time.Second)
		w.store.setFail(func(string, port.Topic) error { return port.ErrStoreRefused })
		var taken []time.Duration
		for n, began := 0, time.Now(); time.Since(began) < outage; time.Sleep(250 * time.Millisecond) {
			for _, g := range w.hosts {
				n++
				r := &recorder{}
				req := &port.Request{ID: fmt.Sprint(n), Method: "GET", Host: "x", Path: "/stream/1", Key: "key", Patience: 3 * time.Second, HasTokens: true, PromptTokens: prompt - 10, AnswerTokens: 10}
				g.Serve(t.Context(), time.Now(), req, r)
				if r.status == 200 {
					taken = append(taken, time.Since(began))
				}
			}
		}
		is.True(float64(len(taken)*prompt) >= 0.8*perSecond*outage.Seconds()) // prompts do not fill a limit exactly
		for i, from := range taken {
			tokens := 0
			for _, at := range taken[i:] {
				if at < from+window {
					tokens += prompt
				}
			}
			is.True(float64(tokens) <= (perSecond*window.Seconds()+perSecond)*1.1+140_000)
		}
	})
}

// TestFewCallsWhileStoreIsAway replays platform_down on the grown sites: refused
// calls are billed, and a host that asks on and on learns nothing by it. It is back
// within a second of the store.
func TestFewCallsWhileStoreIsAway(t *testing.T) {
	const (
		outage    = 10 * time.Second
		callsMost = 3 // a second and host: one asks each second, two each other second
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		w.ready(endpoint("1", "api"))
		w.zone(t, 5)
		time.Sleep(8 * time.Second)
		var calls atomic.Int64
		w.store.setFail(func(string, port.Topic) error { calls.Add(1); return port.ErrStoreRefused })
		time.Sleep(outage)
		is.True(int(calls.Load()) <= callsMost*int(outage.Seconds())*5)
		w.store.put(port.TopicConfiguration, configurationKey, configuration(2))
		w.store.setFail(nil)
		time.Sleep(1500 * time.Millisecond)
		for _, g := range w.hosts {
			is.Equal(g.catalog.Current().Version, int64(2))
		}
	})
}

// TestRelayAfterAllRestart replays the closing of trouble-3 of mandacaru-cfg-grown:
// all processes start anew and know each other from the reports of those before. The
// one that they choose as a relay is starting too; within seconds they use it, and do
// not give out small parts of limits on their own meanwhile.
func TestRelayAfterAllRestart(t *testing.T) {
	const (
		hosts  = 8
		inTime = 2500 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		w.ready(endpoint("1", "api"))
		w.peers = newMemoryPeers()
		for start := range 2 {
			for _, g := range w.hosts {
				g.tomb.Kill(nil)
			}
			w.hosts = nil
			for i := range hosts {
				o := named(fmt.Sprintf("h%d", i))
				o.Peer, o.Incarnation = fmt.Sprintf("10.0.0.%d:7600", i), fmt.Sprint(start)
				g := w.host(t, o)
				w.peers.mu.Lock()
				w.peers.hosts[o.Peer] = g.PeerHandlers()
				w.peers.mu.Unlock()
				time.Sleep(20 * time.Millisecond) // processes start one after the other
			}
			if start == 0 {
				time.Sleep(12 * time.Second)
			}
		}
		time.Sleep(inTime)
		relay := w.relayOf(w.hosts[0])
		for _, g := range w.hosts {
			is.Equal(w.relayOf(g), relay)
			is.True(g.opts.Host == relay || g.relay(time.Now()) != "")
			is.True(g.opts.Host == relay || g.shareRelay(time.Now()) != "")
		}
	})
}
