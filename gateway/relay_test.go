package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
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

// add makes a host reachable at an address.
func (p *memoryPeers) add(address string, g *Gateway) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts[address] = g.PeerHandlers()
}

// count returns the number of calls of a method.
func (p *memoryPeers) count(method string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls[method]
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
		peers.add(o.Peer, g)
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
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp := newTestPlatform()
		tp.publish(endpoint("1", "api"))
		tp.startZone(t, 8)
		time.Sleep(8 * time.Second)
		before := tp.storeCalls()
		time.Sleep(10 * time.Second)
		calls := tp.storeCalls() - before
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
	t.Parallel()
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
			t.Parallel()
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
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp := newTestPlatform()
		limited := configuration(1)
		limited.Workspaces[0].Limit = catalog.Limit{InTokens: true, PerSecond: 40_000, Burst: 40_000}
		tp.store.put(port.TopicConfiguration, configurationKey, limited)
		tp.store.put(port.TopicEndpoints, "3", endpoint("3", "llm"))
		tp.endpoints.respond = func(ctx context.Context, f *port.Forward, _ int) (*port.Reply, error) {
			return streamReply(ctx, f, io.EOF, 0, events(1, 1)...), nil
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
	t.Parallel()
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
	t.Parallel()
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
			return streamReply(ctx, f, io.EOF, 0, events(1, 1)...), nil
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
	t.Parallel()
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
	t.Parallel()
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
	g.relays.upstream = presence.Report{Host: "present", Peer: "10.0.0.9:7600"}
	is.True(g.callPeer(former, methodRead, time.Second, readRequest{}, nil) != nil)
	is.Equal(g.currentRelay(time.Now()).Host, "present")
	is.True(!g.relays.failedUntil["former"].IsZero())
}

// startInterval is between the starts of two hosts, so that they report and read at different times.
const startInterval = 37 * time.Millisecond

// startRegions starts hosts of two regions with three availability zones each, one after the other.
func startRegions(t *testing.T, hostsPerZone int, apart time.Duration) (*testPlatform, *memoryPeers) {
	t.Helper()
	return startTwoRegions(t, hostsPerZone, hostsPerZone, apart)
}

// startTwoRegions starts hosts of the regions r0 and r1, with three zones each.
func startTwoRegions(t *testing.T, hostsPerZone0, hostsPerZone1 int, apart time.Duration) (*testPlatform, *memoryPeers) {
	t.Helper()
	tp := newTestPlatform()
	tp.publish(endpoint("1", "api"))
	tp.peers = newMemoryPeers()
	for region, hostsPerZone := range []int{hostsPerZone0, hostsPerZone1} {
		for zone := range 3 {
			for i := range hostsPerZone {
				n := 100*region + 20*zone + i
				o := hostOptions(fmt.Sprintf("h%d", n))
				o.Region, o.Zone, o.Peer = fmt.Sprint("r", region), fmt.Sprint("z", region, zone), fmt.Sprintf("10.0.0.%d:7600", n)
				g := tp.startHost(t, o)
				tp.peers.mu.Lock()
				tp.peers.hosts[o.Peer] = g.PeerHandlers()
				tp.peers.mu.Unlock()
				time.Sleep(apart)
			}
		}
	}
	time.Sleep(10 * time.Second)
	return tp, tp.peers
}

// storeCalls returns the number of calls of all hosts to the store.
func (tp *testPlatform) storeCalls() int64 {
	sum := int64(0)
	for _, g := range tp.hosts {
		sum += g.ports.Store.(*hostStore).calls.Load()
	}
	return sum
}

// regionRelay returns the host that calls the store for the region of a host.
func (tp *testPlatform) regionRelay(g *Gateway) *Gateway {
	for range 3 {
		g.relays.mu.Lock()
		upstream := g.relays.upstream.Host
		g.relays.mu.Unlock()
		if upstream == "" {
			return g
		}
		g = tp.hostNamed(upstream)
	}
	return nil
}

// TestOneHostOfEachRegionCallsTheStore: the number of store calls grows with the regions and not with the
// zones, and all hosts know what the store holds.
func TestOneHostOfEachRegionCallsTheStore(t *testing.T) {
	t.Parallel()
	for name, apart := range map[string]time.Duration{"at different times": startInterval, "at the same instant": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tp, _ := startRegions(t, 4, apart)
				const length = 20
				before := tp.storeCalls()
				time.Sleep(length * time.Second)
				is.True(tp.storeCalls()-before < 2*length*5+length) // of two relays, about four a second, and the leader
				tp.store.put(port.TopicConfiguration, configurationKey, configuration(2))
				tp.store.put(port.TopicEndpoints, "2", endpoint("2", "api"))
				time.Sleep(3 * time.Second)
				for _, g := range tp.hosts {
					is.Equal(g.catalog.Current().Version, int64(2))
					is.Equal(len(g.fleet.Usable(time.Now(), "api")), 2)
					is.Equal(len(g.presence.Within(shareTimeout)), len(tp.hosts)-1)
				}
			})
		})
	}
}

// TestRegionRelayFails: the relay of a region freezes, is killed or cannot reach the store, alone or with
// the relay of another zone; a configuration is in force everywhere else within its time, no host counts
// as gone, and the hosts agree on another relay.
func TestRegionRelayFails(t *testing.T) {
	t.Parallel()
	const inForce = 3 * time.Second
	for name, tc := range map[string]struct {
		fail func(tp *testPlatform, peers *memoryPeers, relay *Gateway)
		both bool // another zone's relay fails, too
	}{
		"freezes": {func(_ *testPlatform, peers *memoryPeers, relay *Gateway) {
			peers.setUnresponsive(relay.opts.Peer, true)
		}, false},
		"freezes with a zone's relay": {func(_ *testPlatform, peers *memoryPeers, relay *Gateway) {
			peers.setUnresponsive(relay.opts.Peer, true)
		}, true},
		"cannot reach the store": {func(_ *testPlatform, _ *memoryPeers, relay *Gateway) {
			relay.ports.Store.(*hostStore).unreachable.Store(true)
		}, false},
		"is killed": {func(_ *testPlatform, peers *memoryPeers, relay *Gateway) {
			peers.mu.Lock()
			delete(peers.hosts, relay.opts.Peer)
			peers.mu.Unlock()
			relay.tomb.Kill(nil)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tp, peers := startRegions(t, 4, startInterval)
				relay := tp.regionRelay(tp.hosts[0])
				failed := map[*Gateway]bool{relay: true}
				if tc.both {
					for _, g := range tp.hosts {
						if g.opts.Region == relay.opts.Region && g.opts.Zone != relay.opts.Zone {
							failed[tp.hostNamed(tp.relayOf(g))] = true
							break
						}
					}
				}
				for g := range failed {
					tc.fail(tp, peers, g)
				}
				tp.store.put(port.TopicConfiguration, configurationKey, configuration(2))
				time.Sleep(inForce)
				for _, g := range tp.hosts {
					if failed[g] {
						continue
					}
					is.Equal(g.catalog.Current().Version, int64(2))
					for _, other := range tp.hosts {
						if !failed[other] && other != g {
							is.True(slices.ContainsFunc(g.presence.Live(), func(r presence.Report) bool { return r.Host == other.opts.Host }))
						}
					}
				}
				time.Sleep(12 * time.Second)
				before := tp.storeCalls()
				time.Sleep(10 * time.Second)
				is.True(tp.storeCalls()-before < 10*2*12) // few hosts call it themselves
			})
		})
	}
}

// TestIncompleteCacheIsNoSnapshot guards against a host that starts without what was written before its
// relay began to read the store: that relay has read a part of the topic only.
func TestIncompleteCacheIsNoSnapshot(t *testing.T) {
	is := is.New(t)
	s := newRelayState()
	s.cachePage(port.TopicConfiguration, false, port.TopicPage{End: 12, Records: []port.TopicRecord{{Offset: 11, Key: "other", Value: []byte("1")}}}, time.Now())
	reply, _ := s.read(time.Now(), readRequest{Topic: port.TopicConfiguration, From: -1})
	is.True(reply.Unready)
	s.cachePage(port.TopicConfiguration, true, port.TopicPage{End: 12, Records: []port.TopicRecord{{Offset: 3, Key: "config", Value: []byte("1")}}}, time.Now())
	reply, _ = s.read(time.Now(), readRequest{Topic: port.TopicConfiguration, From: -1})
	is.True(!reply.Stale)
	is.Equal(len(reply.Records), 1)
}

// TestLargeRepliesAreCompressedOnce replays big_config on the large deployment: a configuration of 1,660
// further routes is due at all hosts of a zone within seconds. What the relay sends to each is a
// fraction of its size, and the same bytes for all that ask from the same offset.
func TestLargeRepliesAreCompressedOnce(t *testing.T) {
	is := is.New(t)
	value, err := json.Marshal(grownConfiguration(2, 1660))
	is.NoErr(err)
	s := newRelayState()
	s.cachePage(port.TopicConfiguration, true, port.TopicPage{End: 4}, time.Now())
	s.cachePage(port.TopicConfiguration, false, port.TopicPage{End: 5, Records: []port.TopicRecord{{Offset: 4, Key: "config", Value: value}}}, time.Now())
	var first readReply
	for i := range 33 {
		req := readRequest{Topic: port.TopicConfiguration, From: 4}
		reply, _ := s.read(time.Now(), req)
		is.True(!reply.Stale)
		reply, err = s.packReply(req, reply)
		is.NoErr(err)
		is.True(len(reply.Packed) > 0 && len(reply.Packed) < len(value)/8)
		if i == 0 {
			first = reply
		}
		is.Equal(&reply.Packed[0], &first.Packed[0])
	}
	records, err := first.records()
	is.NoErr(err)
	is.Equal(records[0].Value, value)
	s.cachePage(port.TopicConfiguration, false, port.TopicPage{End: 6, Records: []port.TopicRecord{{Offset: 5, Key: "config", Value: []byte("{}")}}}, time.Now())
	req := readRequest{Topic: port.TopicConfiguration, From: 4}
	reply, _ := s.read(time.Now(), req)
	is.True(!reply.Stale)
	reply, err = s.packReply(req, reply)
	is.NoErr(err)
	records, err = reply.records()
	is.NoErr(err)
	is.Equal(len(records), 2) // not the earlier bytes
}

// TestFormerRelayServesNothingStale replays trouble-1 of mandacaru-cfg, where an endpoint got a request 3.3 s
// after it had left: a host that had read the store, and then read through a relay again, went on answering
// another host from what it had read itself.
func TestFormerRelayServesNothingStale(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp := newTestPlatform()
		tp.publish(endpoint("1", "api"))
		tp.startZone(t, 5)
		time.Sleep(8 * time.Second)
		relay := tp.hostNamed(tp.relayOf(tp.hosts[0]))
		former := tp.hosts[0]
		if former == relay {
			former = tp.hosts[1]
		}
		// It reads the store for a while, as if all that could relay for it had failed.
		for _, g := range tp.hosts {
			if g != former {
				former.markRelayFailed(time.Now(), g.opts.Host, methodRead, true, port.ErrPeerBroken)
			}
		}
		time.Sleep(2 * time.Second)
		former.relays.mu.Lock()
		end := former.relays.topics[port.TopicEndpoints].end // it has what it read itself
		former.relays.mu.Unlock()
		time.Sleep(5 * time.Second)
		tp.store.put(port.TopicEndpoints, "2", endpoint("2", "api"))
		time.Sleep(2 * time.Second)
		_, known := former.fleet.Get("2")
		is.True(known)
		reply, err := former.serveRead(t.Context(), fmt.Appendf(nil, `{"topic":"endpoints","from":%d}`, end))
		is.True(err != nil || reply.(readReply).Unready || len(reply.(readReply).Records) == 1)
	})
}

func TestLatestRecords(t *testing.T) {
	is := is.New(t)
	records := make([]port.TopicRecord, 10)
	for i := range records {
		records[i] = port.TopicRecord{Offset: int64(i), Value: make([]byte, 100)}
	}
	is.Equal(len(latestRecords(records, 20, 5000)), 10)
	is.Equal(latestRecords(records, 4, 5000)[0].Offset, int64(6))
	is.Equal(latestRecords(records, 20, 350)[0].Offset, int64(7))
	is.Equal(len(latestRecords(records, 20, 99)), 0)
}
