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
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/catalog"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/presence"
)

// memoryPeers carries calls between the hosts of a test platform.
type memoryPeers struct {
	mu    sync.Mutex
	hosts map[string]map[string]port.PeerHandler
	// unresponsive holds the addresses of hosts that do not answer.
	unresponsive map[string]bool
	calls        map[string]int
}

func newMemoryPeers() *memoryPeers {
	return &memoryPeers{hosts: map[string]map[string]port.PeerHandler{}, unresponsive: map[string]bool{}, calls: map[string]int{}}
}

func (p *memoryPeers) Call(ctx context.Context, address, method string, params, result any) error {
	p.mu.Lock()
	handler, unresponsive := p.hosts[address][method], p.unresponsive[address]
	p.calls[method]++
	p.mu.Unlock()
	if unresponsive {
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

func (p *memoryPeers) setUnresponsive(address string, unresponsive bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unresponsive[address] = unresponsive
}

// startZone starts hosts of one availability zone that reach each other.
func (tp *testPlatform) startZone(t *testing.T, n int) *memoryPeers {
	t.Helper()
	peers := newMemoryPeers()
	for i := range n {
		o := hostOptions(fmt.Sprintf("h%d", i))
		o.Peer = fmt.Sprintf("10.0.0.%d:7600", i)
		tp.peers = peers
		g := tp.startHost(t, o)
		peers.mu.Lock()
		peers.hosts[o.Peer] = g.PeerHandlers()
		peers.mu.Unlock()
	}
	return peers
}

func (tp *testPlatform) relayOf(g *Gateway) string {
	g.relays.mu.Lock()
	defer g.relays.mu.Unlock()
	return g.relays.chosen.Host
}

// TestOneHostReadsTheStore: the number of store calls does not grow with the hosts of a zone, and
// all hosts know what the relay knows.
func TestOneHostReadsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp := newTestPlatform()
		tp.publish(endpoint("1", "api"))
		tp.startZone(t, 8)
		time.Sleep(8 * time.Second)
		calls := 0
		tp.store.setFail(func(string, port.Topic) error { calls++; return nil })
		time.Sleep(10 * time.Second)
		tp.store.setFail(nil)
		is.True(calls < 2*10*6) // those of the relay and the leader, about six a second
		tp.store.put(port.TopicConfiguration, configurationKey, configuration(2))
		tp.store.put(port.TopicEndpoints, "2", endpoint("2", "api"))
		time.Sleep(3 * time.Second)
		for _, g := range tp.hosts {
			is.Equal(g.catalog.Current().Version, int64(2))
			is.Equal(len(g.fleet.Usable(time.Now(), "api")), 2)
			is.Equal(len(g.presence.Live()), 7)
			is.Equal(tp.relayOf(g), tp.relayOf(tp.hosts[0]))
		}
	})
}

// TestRelayFails: the relay freezes, is killed or cannot reach the store; the other hosts apply a
// new configuration within the time in which it must be in force.
func TestRelayFails(t *testing.T) {
	const inForce = 3 * time.Second
	for name, fail := range map[string]func(tp *testPlatform, peers *memoryPeers, relay *Gateway){
		"freezes": func(_ *testPlatform, peers *memoryPeers, relay *Gateway) {
			peers.setUnresponsive(relay.opts.Peer, true)
		},
		"cannot reach the store": func(_ *testPlatform, _ *memoryPeers, relay *Gateway) {
			relay.ports.Store.(*hostStore).unreachable.Store(true)
		},
		"is killed": func(_ *testPlatform, peers *memoryPeers, relay *Gateway) {
			peers.mu.Lock()
			delete(peers.hosts, relay.opts.Peer)
			peers.mu.Unlock()
			relay.tomb.Kill(nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tp := newTestPlatform()
				tp.publish(endpoint("1", "api"))
				peers := tp.startZone(t, 5)
				time.Sleep(8 * time.Second)
				relay := tp.hostNamed(tp.relayOf(tp.hosts[0]))
				is.True(relay != nil)
				fail(tp, peers, relay)
				tp.store.put(port.TopicConfiguration, configurationKey, configuration(2))
				time.Sleep(inForce)
				for _, g := range tp.hosts {
					if g != relay {
						is.Equal(g.catalog.Current().Version, int64(2))
					}
				}
				time.Sleep(10 * time.Second) // until they agree on another relay
				for _, g := range tp.hosts {
					if g != relay && name == "is killed" {
						is.True(tp.relayOf(g) != relay.opts.Host)
					}
				}
			})
		})
	}
}

// TestZoneSharesALimit: a prompt larger than one host's share is admitted, because one host grants
// the zone's whole share.
func TestZoneSharesALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp := newTestPlatform()
		limited := configuration(1)
		limited.Workspaces[0].Limit = catalog.Limit{InTokens: true, PerSecond: 40_000, Burst: 40_000}
		tp.store.put(port.TopicConfiguration, configurationKey, limited)
		tp.store.put(port.TopicEndpoints, "3", endpoint("3", "llm"))
		tp.endpoints.respond = func(ctx context.Context, f *port.Forward, _ int) (*port.Reply, error) {
			return completeReply(f, 200, "ok"), nil
		}
		tp.startZone(t, 6)
		time.Sleep(10 * time.Second)
		taken := 0
		for i, g := range tp.hosts {
			r := &recorder{}
			req := &port.Request{ID: fmt.Sprint(i), Method: "GET", Host: "x", Path: "/stream/1", Key: "key", CallerTimeout: 3 * time.Second, HasTokens: true, PromptTokens: 50_000, AnswerTokens: 10}
			g.Serve(t.Context(), time.Now(), req, r)
			if r.status == 200 {
				taken++
			}
		}
		is.True(taken >= 1 && taken <= 4) // 40,000 a second, and the tolerance of a window
	})
}

// keysOf returns the number of keys of a topic and the total size of their newest records in bytes.
func (s *memoryStore) keysOf(topic port.Topic) (keys, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.topic(topic).newest {
		keys++
		size += len(r.Value)
	}
	return keys, size
}

// TestRecordsOfHostsStayFew guards against records left by earlier processes (the end of trouble-3
// of coldroot-jos-grown): all processes restart for the third time in a minute, and each reads the
// newest record of every host through one link between regions. Records of earlier incarnations,
// and of hosts that have a relay now, must not be read again.
func TestRecordsOfHostsStayFew(t *testing.T) {
	const (
		hosts  = 9
		starts = 3
		// maxKeys is how many may remain: the relay and the leader write their own records, and a
		// record of the last seconds may be by another host.
		maxKeys = 4
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp := newTestPlatform()
		tp.publish(endpoint("1", "api"))
		tp.peers = newMemoryPeers()
		for start := range starts {
			for _, g := range tp.hosts {
				g.tomb.Kill(nil)
			}
			tp.hosts = nil
			for i := range hosts {
				o := hostOptions(fmt.Sprintf("h%d", i))
				o.Peer, o.Incarnation = fmt.Sprintf("10.0.0.%d:7600", i), fmt.Sprint(start)
				g := tp.startHost(t, o)
				tp.peers.mu.Lock()
				tp.peers.hosts[o.Peer] = g.PeerHandlers()
				tp.peers.mu.Unlock()
			}
			time.Sleep(20 * time.Second)
		}
		time.Sleep(hostRecordTTL)
		keys, _ := tp.store.keysOf(port.TopicHosts)
		is.True(keys <= maxKeys)
		for _, g := range tp.hosts {
			is.Equal(len(g.presence.Live()), hosts-1)
		}
	})
}

// TestZoneSharesALimitWithoutStore guards against refusals while the store is unavailable to all
// hosts (platform_down on the grown sites): prompts larger than one host's share of a limit are
// still admitted, because the zone's relay continues to grant the zone's share.
func TestZoneSharesALimitWithoutStore(t *testing.T) {
	const (
		perSecond = 60_000
		prompt    = 50_000
		outage    = 10 * time.Second
		window    = 8 * time.Second // of testOptions
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp := newTestPlatform()
		limited := configuration(1)
		limited.Workspaces[0].Limit = catalog.Limit{InTokens: true, PerSecond: perSecond, Burst: perSecond}
		tp.store.put(port.TopicConfiguration, configurationKey, limited)
		tp.store.put(port.TopicEndpoints, "3", endpoint("3", "llm"))
		tp.endpoints.respond = func(ctx context.Context, f *port.Forward, _ int) (*port.Reply, error) {
			return completeReply(f, 200, "ok"), nil
		}
		tp.startZone(t, 15)
		time.Sleep(10 * time.Second)
		tp.store.setFail(func(string, port.Topic) error { return port.ErrStoreRefused })
		var taken []time.Duration
		for n, began := 0, time.Now(); time.Since(began) < outage; time.Sleep(250 * time.Millisecond) {
			for _, g := range tp.hosts {
				n++
				r := &recorder{}
				req := &port.Request{ID: fmt.Sprint(n), Method: "GET", Host: "x", Path: "/stream/1", Key: "key", CallerTimeout: 3 * time.Second, HasTokens: true, PromptTokens: prompt - 10, AnswerTokens: 10}
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

// TestFewCallsWhileStoreIsAway guards against a high rate of calls while the store is unavailable
// (platform_down on the grown sites): refused calls are billed, and repeating them gains nothing. A
// host recovers within a second of the store.
func TestFewCallsWhileStoreIsAway(t *testing.T) {
	const (
		outage   = 10 * time.Second
		maxCalls = 3 // per second and host: one feed polls each second, two every other second
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp := newTestPlatform()
		tp.publish(endpoint("1", "api"))
		tp.startZone(t, 5)
		time.Sleep(8 * time.Second)
		var calls atomic.Int64
		tp.store.setFail(func(string, port.Topic) error { calls.Add(1); return port.ErrStoreRefused })
		time.Sleep(outage)
		is.True(int(calls.Load()) <= maxCalls*int(outage.Seconds())*5)
		tp.store.put(port.TopicConfiguration, configurationKey, configuration(2))
		tp.store.setFail(nil)
		time.Sleep(1500 * time.Millisecond)
		for _, g := range tp.hosts {
			is.Equal(g.catalog.Current().Version, int64(2))
		}
	})
}

// TestRelayAfterAllRestart guards against hosts that do without a relay for too long after a
// restart of all processes (the end of trouble-3 of mandacaru-cfg-grown). They know each other from
// the reports of the earlier processes, and the one chosen as relay is still starting. Within
// seconds they use it, and meanwhile do not grant small parts of limits on their own.
func TestRelayAfterAllRestart(t *testing.T) {
	const (
		hosts   = 8
		timeout = 2500 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp := newTestPlatform()
		tp.publish(endpoint("1", "api"))
		tp.peers = newMemoryPeers()
		for start := range 2 {
			for _, g := range tp.hosts {
				g.tomb.Kill(nil)
			}
			tp.hosts = nil
			for i := range hosts {
				o := hostOptions(fmt.Sprintf("h%d", i))
				o.Peer, o.Incarnation = fmt.Sprintf("10.0.0.%d:7600", i), fmt.Sprint(start)
				g := tp.startHost(t, o)
				tp.peers.mu.Lock()
				tp.peers.hosts[o.Peer] = g.PeerHandlers()
				tp.peers.mu.Unlock()
				time.Sleep(20 * time.Millisecond) // processes start one after the other
			}
			if start == 0 {
				time.Sleep(12 * time.Second)
			}
		}
		time.Sleep(timeout)
		relay := tp.relayOf(tp.hosts[0])
		for _, g := range tp.hosts {
			is.Equal(tp.relayOf(g), relay)
			is.True(g.opts.Host == relay || g.currentRelay(time.Now()).Peer != "")
			is.True(g.opts.Host == relay || g.quotaRelay(time.Now()).Peer != "")
		}
	})
}

// TestFailedCallMarksTheRelayCalled: when the relay changes while a call to the former one is pending,
// the failure does not count against the present one.
func TestFailedCallMarksTheRelayCalled(t *testing.T) {
	is := is.New(t)
	tp := newTestPlatform()
	g := New(hostOptions("h1"), Ports{Peers: newMemoryPeers(), Store: &hostStore{memoryStore: tp.store}, Logger: &log.Logger{Writer: &log.IOWriter{Writer: tp}}})
	former := presence.Report{Host: "former", Peer: "10.0.0.8:7600"}
	g.relays.chosen = presence.Report{Host: "present", Peer: "10.0.0.9:7600"}
	is.True(!g.callPeer(former, methodRead, time.Second, readRequest{}, nil))
	is.Equal(g.currentRelay(time.Now()).Host, "present")
	is.True(!g.relays.failedUntil["former"].IsZero())
}
