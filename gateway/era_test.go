package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/fleet"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/usage"
)

// checkReports fails if a window was reported with different counts, if two hosts have used one fencing
// token, or if a host's token fell. It returns the counts by window.
func (tp *testPlatform) checkReports(t *testing.T) map[int64]string {
	t.Helper()
	is := is.New(t)
	counts, holders, tokens := map[int64]string{}, map[int64]string{}, map[string]int64{}
	for _, r := range tp.leaderAPI.reported() {
		if old, ok := counts[r.window]; ok && old != r.counts {
			t.Errorf("window %d was reported with %s and with %s", r.window, old, r.counts)
		}
		counts[r.window] = r.counts
		if other, ok := holders[r.t.FencingToken]; ok {
			is.Equal(other, r.t.Leader)
		}
		holders[r.t.FencingToken] = r.t.Leader
		is.True(r.t.FencingToken >= tokens[r.t.Leader])
		tokens[r.t.Leader] = r.t.FencingToken
	}
	return counts
}

// TestStoreRestored plays drills of the store, in which it returns from a copy that is some seconds
// old, beside other events, under load. Afterwards a configuration and an endpoint written in the new
// era are known everywhere, one leader exists with a higher fencing token, and no usage window was
// reported twice with different counts.
func TestStoreRestored(t *testing.T) {
	t.Parallel()
	leaderOf := func(tp *testPlatform) *Gateway { return tp.hostNamed(tp.leaders(time.Now())[0]) }
	kill := func(tp *testPlatform) { leaderOf(tp).tomb.Kill(nil) }
	for name, tc := range map[string]struct {
		relays bool
		drill  func(tp *testPlatform)
	}{
		"some seconds":              {false, func(tp *testPlatform) { tp.store.restore(3 * time.Second) }},
		"with relays":               {true, func(tp *testPlatform) { tp.store.restore(3 * time.Second) }},
		"to before the first start": {false, func(tp *testPlatform) { tp.store.restore(time.Hour) }},
		"twice in a row": {true, func(tp *testPlatform) {
			tp.store.restore(4 * time.Second)
			time.Sleep(700 * time.Millisecond)
			tp.store.restore(2 * time.Second)
		}},
		"after an outage": {true, func(tp *testPlatform) {
			tp.store.setFail(func(string, port.Topic) error { return port.ErrStoreUnavailable })
			time.Sleep(1500 * time.Millisecond)
			tp.store.restore(5 * time.Second)
			tp.store.setFail(nil)
		}},
		"the leader is killed before": {true, func(tp *testPlatform) {
			kill(tp)
			time.Sleep(300 * time.Millisecond)
			tp.store.restore(4 * time.Second)
		}},
		"the leader is killed after": {false, func(tp *testPlatform) {
			tp.store.restore(4 * time.Second)
			kill(tp)
		}},
		"the leader is killed once it has taken the leadership again": {false, func(tp *testPlatform) {
			tp.store.restore(4 * time.Second)
			time.Sleep(2 * time.Second)
			kill(tp)
		}},
		"the leader misses it": {false, func(tp *testPlatform) {
			store := leaderOf(tp).ports.Store.(*hostStore)
			store.unreachable.Store(true)
			time.Sleep(500 * time.Millisecond)
			tp.store.restore(3 * time.Second)
			time.Sleep(5 * time.Second)
			store.unreachable.Store(false)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tp := newTestPlatform()
				tp.publish(endpoint("1", "api"))
				tp.endpoints.respond = func(_ context.Context, f *port.Forward, _ int) (*port.Reply, error) {
					return completeReply(f, 200, "ok"), nil
				}
				if tc.relays {
					tp.startZone(t, 4)
				} else {
					for i := range 4 {
						tp.startHost(t, hostOptions(fmt.Sprintf("h%d", i)))
					}
				}
				time.Sleep(8 * time.Second)
				load := func(n int) {
					for i := range n {
						for j, g := range tp.hosts {
							if g.tomb.Alive() {
								sendRequest(t.Context(), g, fmt.Sprintf("r%d-%d-%d", time.Now().UnixNano(), i, j), "order")
							}
						}
						time.Sleep(100 * time.Millisecond)
					}
				}
				load(150)
				before, _ := leaderOf(tp).leader.heldToken(time.Now())
				tc.drill(tp)
				load(30)
				later := configuration(2)
				tp.store.put(port.TopicConfiguration, configurationKey, later)
				tp.store.put(port.TopicEndpoints, "new", endpoint("new", "api"))
				time.Sleep(settleTime)
				for _, g := range tp.hosts {
					if !g.tomb.Alive() {
						continue
					}
					is.Equal(g.catalog.Current().Version, int64(2))
					_, known := g.fleet.Get("new")
					is.True(known)
					is.Equal(g.latestEra(), tp.store.Era())
				}
				load(200)
				leaders := tp.leaders(time.Now())
				is.Equal(len(leaders), 1)
				after, _ := tp.hostNamed(leaders[0]).leader.heldToken(time.Now())
				is.True(after > before)
				counts := tp.checkReports(t)
				newest := slices.Max(slices.Collect(func(yield func(int64) bool) {
					for w := range counts {
						if !yield(w) {
							return
						}
					}
				}))
				reported := usage.WindowIndex(time.Now().Add(-12*time.Second), 5*time.Second)
				is.True(newest >= reported) // reports have gone on
			})
		})
	}
}

// TestDecisionsInEarlierEra guards against a second, different report of a window by a new leader that
// cannot know of the first: the record and the last reports of the old leader are lost with it.
func TestDecisionsInEarlierEra(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp := startServing(t, 3, 8*time.Second)
		old := tp.hostNamed(tp.leaders(time.Now())[0])
		for range 100 {
			n := len(tp.leaderAPI.reported())
			for j, g := range tp.hosts {
				sendRequest(t.Context(), g, fmt.Sprintf("r%d-%d", time.Now().UnixNano(), j), "order")
			}
			time.Sleep(100 * time.Millisecond)
			if len(tp.leaderAPI.reported()) > n {
				// The leader has just reported a window. It ends, and the store loses its record.
				old.tomb.Kill(nil)
				_ = old.tomb.Wait()
				tp.store.restore(2 * time.Second)
				break
			}
		}
		is.True(!old.tomb.Alive())
		for _, g := range tp.hosts { // as if the counts of a host had changed since
			g.usage.Count(time.Now().Add(-5*time.Second), "w")
		}
		time.Sleep(20 * time.Second)
		tp.checkReports(t)
		is.Equal(len(tp.leaders(time.Now())), 1)
	})
}

// lastTakeover returns the host of the last takeover in the leader topic, and how many takeovers there are. The caller
// holds the store's lock.
func (s *memoryStore) lastTakeover() (host string, count int) {
	for _, r := range s.topic(port.TopicLeader).records {
		var record leaderRecord
		if json.Unmarshal(r.Value, &record) == nil && record.Leader != "" {
			host = record.Leader
			count++
		}
	}
	return host, count
}

// awaitTakeover waits until a further host takes the leadership and returns it.
func (tp *testPlatform) awaitTakeover(t *testing.T, act func()) *Gateway {
	t.Helper()
	count := func() (string, int) {
		tp.store.mu.Lock()
		defer tp.store.mu.Unlock()
		return tp.store.lastTakeover()
	}
	act()
	_, before := count()
	for range 2000 {
		if host, n := count(); n > before {
			return tp.hostNamed(host)
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("no host took the leadership")
	return nil
}

// endAtTakeover ends each of the next hosts that take the leadership with the append that takes it, whose reply is lost.
// The first one that is spared loses only the reply.
func (tp *testPlatform) endAtTakeover(ended int) {
	_, before := tp.store.lastTakeover()
	tp.store.loseReply = func(topic port.Topic) bool {
		if topic != port.TopicLeader {
			return false
		}
		host, n := tp.store.lastTakeover()
		if n <= before || ended < 0 {
			return false
		}
		before = n
		if ended--; ended >= 0 {
			tp.hostNamed(host).tomb.Kill(nil)
		}
		return true
	}
}

// TestLeadersOfAnEraKnowWhatIsLost guards against a second, different report of a window (ONE, incident 0010): the store
// returns from a copy without the record of a report, and the leaders that follow end one after the other. Only the
// first of them can see that records are missing.
func TestLeadersOfAnEraKnowWhatIsLost(t *testing.T) {
	t.Parallel()
	const (
		age = 2 * time.Second // of the copy
		// usageDue leaves time for three leaders before the report of the window is due.
		usageDue = 18 * time.Second
	)
	restore := func(tp *testPlatform) func() { return func() { tp.store.restore(age) } }
	kill := func(g *Gateway) {
		g.tomb.Kill(nil)
		_ = g.tomb.Wait()
	}
	endNext := func(tp *testPlatform, n int) func() {
		return func() {
			tp.store.restore(age)
			tp.store.mu.Lock()
			defer tp.store.mu.Unlock()
			tp.endAtTakeover(n)
		}
	}
	for name, play := range map[string]func(t *testing.T, tp *testPlatform, first *Gateway){
		"the second ends before its first report": func(t *testing.T, tp *testPlatform, first *Gateway) {
			kill(first)
			second := tp.awaitTakeover(t, restore(tp))
			time.Sleep(200 * time.Millisecond)
			kill(second)
		},
		"the second ends after its first report": func(t *testing.T, tp *testPlatform, first *Gateway) {
			kill(first)
			second := tp.awaitTakeover(t, restore(tp))
			time.Sleep(1500 * time.Millisecond)
			kill(second)
		},
		"the second ends with the append that takes it": func(t *testing.T, tp *testPlatform, first *Gateway) {
			kill(first)
			endNext(tp, 1)()
		},
		"the second and the third end with the append": func(t *testing.T, tp *testPlatform, first *Gateway) {
			kill(first)
			endNext(tp, 2)()
		},
		"the reply to the second is lost, then it ends": func(t *testing.T, tp *testPlatform, first *Gateway) {
			kill(first)
			second := tp.awaitTakeover(t, endNext(tp, 0))
			time.Sleep(1500 * time.Millisecond)
			kill(second)
		},
		"the first goes on and ends with the append": func(t *testing.T, tp *testPlatform, first *Gateway) {
			endNext(tp, 1)()
		},
		"the first goes on and ends before its first report": func(t *testing.T, tp *testPlatform, first *Gateway) {
			again := tp.awaitTakeover(t, restore(tp))
			is.New(t).Equal(again.opts.Host, first.opts.Host)
			kill(again)
		},
		"a second drill, then the second ends": func(t *testing.T, tp *testPlatform, first *Gateway) {
			kill(first)
			second := tp.awaitTakeover(t, restore(tp))
			time.Sleep(300 * time.Millisecond)
			tp.awaitTakeover(t, func() { tp.store.restore(time.Second) })
			kill(second)
		},
		"a second drill, and the host of the second goes on as the third": func(t *testing.T, tp *testPlatform, first *Gateway) {
			kill(first)
			tp.awaitTakeover(t, restore(tp))
			time.Sleep(300 * time.Millisecond)
			tp.store.restore(100 * time.Millisecond)
		},
		"the first is cut off over the drill and comes back": func(t *testing.T, tp *testPlatform, first *Gateway) {
			first.ports.Store.(*hostStore).unreachable.Store(true)
			second := tp.awaitTakeover(t, restore(tp))
			time.Sleep(200 * time.Millisecond)
			kill(second)
			first.ports.Store.(*hostStore).unreachable.Store(false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tp := newTestPlatform()
				tp.publish(endpoint("1", "api"))
				tp.endpoints.respond = func(_ context.Context, f *port.Forward, _ int) (*port.Reply, error) {
					return completeReply(f, 200, "ok"), nil
				}
				for i := range 4 {
					opts := hostOptions(fmt.Sprintf("h%d", i))
					opts.UsageDue = usageDue
					tp.startHost(t, opts)
				}
				time.Sleep(8 * time.Second)
				first := tp.hostNamed(tp.leaders(time.Now())[0])
				for n := len(tp.leaderAPI.reported()); len(tp.leaderAPI.reported()) == n; time.Sleep(20 * time.Millisecond) {
					for j, g := range tp.hosts {
						sendRequest(t.Context(), g, fmt.Sprintf("r%d-%d", time.Now().UnixNano(), j), "order")
					}
				}
				window := tp.leaderAPI.reported()[0].window
				play(t, tp, first)
				for _, g := range tp.hosts { // as if further counts of the window had come since
					g.usage.Count(time.Unix(0, window*5e9), "w")
				}
				for range 200 {
					for j, g := range tp.hosts {
						if g.tomb.Alive() {
							sendRequest(t.Context(), g, fmt.Sprintf("r%d-%d", time.Now().UnixNano(), j), "order")
						}
					}
					time.Sleep(150 * time.Millisecond)
				}
				is.Equal(len(tp.leaders(time.Now())), 1)
				counts := tp.checkReports(t)
				skipped := strings.Count(tp.log(), "usage_skipped")
				t.Log("windows reported", len(counts), "skipped", skipped)
				is.True(len(counts) >= 5) // of the windows after the drill
			})
		})
	}
}

// TestRestoredEndpoints: the older copy of the registry lists endpoints that have left since, and does
// not list one that has come. Neither makes a host send to an endpoint that is gone, nor forget one
// that serves.
func TestRestoredEndpoints(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp := newTestPlatform()
		for _, id := range []string{"stays", "drains", "goes"} {
			e := endpoint(id, "api")
			e.Sequence = 4
			tp.store.put(port.TopicEndpoints, id, e)
		}
		tp.store.put(port.TopicConfiguration, configurationKey, configuration(1))
		g := tp.startHost(t, testOptions("h1"))
		time.Sleep(settleTime)
		leaving := endpoint("drains", "api")
		leaving.State, leaving.Sequence = fleet.StateDraining, 5
		tp.store.put(port.TopicEndpoints, "drains", leaving)
		tp.store.remove(port.TopicEndpoints, "goes")
		time.Sleep(time.Second)
		tp.store.put(port.TopicEndpoints, "comes", endpoint("comes", "api"))
		time.Sleep(time.Second)
		usable := func() []string {
			var out []string
			for _, v := range g.fleet.Usable(time.Now(), "api") {
				out = append(out, v.ID)
			}
			slices.Sort(out)
			return out
		}
		is.Equal(usable(), []string{"comes", "stays"})
		tp.store.restoreAll(3 * time.Second) // nothing is written again yet
		for range 15 {
			time.Sleep(100 * time.Millisecond)
			is.Equal(usable(), []string{"comes", "stays"})
		}
		alive := endpoint("goes", "api")
		alive.Sequence = 9
		tp.store.put(port.TopicEndpoints, "goes", alive) // it lives after all
		time.Sleep(settleTime)
		is.Equal(usable(), []string{"goes", "stays"}) // "comes" was not listed again in time
	})
}

// TestRestoredHosts: the older copy holds the report of a host that is gone and whose record was
// removed; it does not count as alive again.
func TestRestoredHosts(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp := startServing(t, 3, 8*time.Second)
		gone := tp.hosts[0]
		if _, held := gone.leader.heldToken(time.Now()); held {
			gone = tp.hosts[1]
		}
		is.NoErr(gone.Stop())
		for {
			time.Sleep(100 * time.Millisecond)
			page, err := tp.store.Newest(t.Context(), port.TopicHosts)
			is.NoErr(err)
			if !slices.ContainsFunc(page.Records, func(r port.TopicRecord) bool { return r.Key == gone.opts.Host+"/1" }) {
				break
			}
		}
		time.Sleep(2 * time.Second)
		tp.store.restore(4 * time.Second)
		for range 20 {
			time.Sleep(200 * time.Millisecond)
			for _, g := range tp.hosts {
				if g == gone {
					continue
				}
				for _, r := range g.presence.Live() {
					is.True(r.Host != gone.opts.Host)
				}
			}
		}
	})
}

// TestEraFromPeer: a host that the store refuses learns the era from the reports and the relay, and a
// relay of an earlier era does not answer it.
func TestEraFromPeer(t *testing.T) {
	is := is.New(t)
	s := newRelayState()
	s.cachePage(port.TopicHosts, true, port.TopicPage{Era: 1, End: 10}, time.Now())
	s.cachePage(port.TopicHosts, false, port.TopicPage{Era: 1, End: 12, Records: make([]port.TopicRecord, 2)}, time.Now())
	for name, tc := range map[string]struct {
		req     readRequest
		ok      bool
		expired bool
	}{
		"same era":                        {readRequest{Topic: port.TopicHosts, Era: 1, From: 10}, true, false},
		"earlier era":                     {readRequest{Topic: port.TopicHosts, Era: 0, From: 10}, true, true},
		"earlier era, beyond the end":     {readRequest{Topic: port.TopicHosts, Era: 0, From: 50}, true, true},
		"later era":                       {readRequest{Topic: port.TopicHosts, Era: 2, From: 10}, false, false},
		"snapshot":                        {readRequest{Topic: port.TopicHosts, Era: 1, From: -1}, true, false},
		"snapshot by a host in a later":   {readRequest{Topic: port.TopicHosts, Era: 2, From: -1}, false, false},
		"snapshot by a host in an earler": {readRequest{Topic: port.TopicHosts, Era: 0, From: -1}, true, false},
	} {
		reply, _ := s.read(time.Now(), tc.req)
		is.True(!reply.Stale)
		ok := !reply.Unready
		if ok != tc.ok || reply.Expired != tc.expired {
			t.Errorf("%s: got ok %v, expired %v", name, ok, reply.Expired)
		}
		if ok {
			is.Equal(reply.Era, port.Era(1))
		}
	}
}

// TestFencingTokenGrowsOverEras: a later era has the higher tokens, whatever the offsets are.
func TestFencingTokenGrowsOverEras(t *testing.T) {
	is := is.New(t)
	is.Equal(fencingToken(port.Position{Era: 0, Offset: 4}), int64(5))
	is.True(fencingToken(port.Position{Era: 1, Offset: 0}) > fencingToken(port.Position{Era: 0, Offset: 1 << 31}))
	raw, err := json.Marshal(leaderRecord{Leader: "h"})
	is.NoErr(err)
	is.Equal(string(raw), `{"taker":"h"}`)
}
