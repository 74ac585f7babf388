package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/catalog"
	"github.com/cicadanotch/cicadanotch/fleet"
	"github.com/cicadanotch/cicadanotch/port"
)

// hostOptions returns the options of a host, with an address derived from its name.
func hostOptions(name string) Options {
	o := testOptions(name)
	o.Address = "10.0.0." + name[1:] + ":1"
	return o
}

func (tp *testPlatform) leaders(now time.Time) []string {
	var out []string
	for _, g := range tp.hosts {
		if _, ok := g.leader.heldToken(now); ok {
			out = append(out, g.opts.Host)
		}
	}
	return out
}

func (tp *testPlatform) hostNamed(name string) *Gateway {
	for _, g := range tp.hosts {
		if g.opts.Host == name {
			return g
		}
	}
	return nil
}

// TestOneLeader: of several hosts that start together exactly one becomes the leader and remains it.
func TestOneLeader(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp := newTestPlatform()
		tp.publish(endpoint("1", "api"))
		for i := range 5 {
			tp.startHost(t, hostOptions(fmt.Sprintf("h%d", i)))
		}
		time.Sleep(8 * time.Second)
		leaders := tp.leaders(time.Now())
		if len(leaders) != 1 {
			t.Log(tp.log())
		}
		is.Equal(len(leaders), 1)
		time.Sleep(20 * time.Second)
		is.Equal(tp.leaders(time.Now()), leaders)
	})
}

// TestLeaderCutOffFromStore guards against a vacant or contested leadership when the store refuses the
// leader, as while zones are reclaimed (trouble-1 of coldroot-jos). Another host takes over within
// seconds with a higher fencing token, and the old leader does not take over again at once.
func TestLeaderCutOffFromStore(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp := newTestPlatform()
		tp.publish(endpoint("1", "api"))
		for i := range 3 {
			tp.startHost(t, hostOptions(fmt.Sprintf("h%d", i)))
		}
		time.Sleep(8 * time.Second)
		old := tp.hostNamed(tp.leaders(time.Now())[0])
		token, _ := old.leader.heldToken(time.Now())
		store := old.ports.Store.(*hostStore)
		store.unreachable.Store(true)
		time.Sleep(5 * time.Second)
		leaders := tp.leaders(time.Now())
		is.Equal(len(leaders), 1)
		is.True(leaders[0] != old.opts.Host)
		nextToken, _ := tp.hostNamed(leaders[0]).leader.heldToken(time.Now())
		is.True(nextToken > token)
		store.unreachable.Store(false)
		time.Sleep(4 * time.Second)
		is.Equal(tp.leaders(time.Now()), leaders)
	})
}

// TestSuspendedLeader guards against a leader on a machine that was suspended for longer than its lease: the monotonic
// clock has stood still, so the lease does not seem to have ended. A report must not renew it either.
func TestSuspendedLeader(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp := startServing(t, 3, 8*time.Second)
		old := tp.hostNamed(tp.leaders(time.Now())[0])
		token, _ := old.leader.heldToken(time.Now())
		old.leader.mu.Lock()
		old.leader.suspended = func() time.Duration { return suspendedTime() + 20*time.Second }
		old.leader.mu.Unlock()
		_, held := old.leader.heldToken(time.Now())
		is.True(!held)
		_, _, ok := old.actContext(port.Tenure{Leader: old.opts.Host, FencingToken: token})
		is.True(!ok)
		time.Sleep(8 * time.Second)
		leaders := tp.leaders(time.Now())
		is.Equal(len(leaders), 1)
		is.True(leaders[0] != old.opts.Host)
		time.Sleep(20 * time.Second)
		is.Equal(tp.leaders(time.Now()), leaders)
	})
}

// startServing returns a platform whose hosts have run for the given time and whose endpoint
// answers every request.
func startServing(t *testing.T, hosts int, age time.Duration) *testPlatform {
	t.Helper()
	tp := newTestPlatform()
	tp.publish(endpoint("1", "api"))
	tp.endpoints.respond = func(_ context.Context, f *port.Forward, _ int) (*port.Reply, error) {
		return completeReply(f, 200, "ok"), nil
	}
	for i := range hosts {
		tp.startHost(t, hostOptions(fmt.Sprintf("h%d", i)))
	}
	time.Sleep(age)
	return tp
}

// TestUsageReportedOnce guards against reports of one window with different counts, whichever
// leader sends them: the platform does not answer, replies of the store are lost, or the leader is
// killed in between.
func TestUsageReportedOnce(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		prepare func(tp *testPlatform)
		during  func(t *testing.T, tp *testPlatform)
	}{
		"no faults": {},
		"the platform does not answer": {prepare: func(tp *testPlatform) {
			n := 0
			tp.leaderAPI.setFail(func(port.Tenure) error {
				if n++; n%3 != 0 {
					return port.ErrLeaderAPIUnavailable
				}
				return nil
			})
		}},
		"replies of the store are lost": {prepare: func(tp *testPlatform) {
			n := 0
			tp.store.setLoseReply(func(topic port.Topic) bool { n++; return topic == port.TopicLeader && n%2 == 0 })
		}},
		"the leader is killed": {during: func(t *testing.T, tp *testPlatform) {
			g := tp.hostNamed(tp.leaders(time.Now())[0])
			g.tomb.Kill(nil)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tp := startServing(t, 3, 8*time.Second)
				if tc.prepare != nil {
					tc.prepare(tp)
				}
				ran := 0
				for i := range 200 {
					if tc.during != nil && i == 100 {
						tc.during(t, tp)
					}
					for j, g := range tp.hosts {
						if g.tomb.Alive() {
							is.Equal(sendRequest(t.Context(), g, fmt.Sprintf("r%d-%d", i, j), "order").status, 200)
							ran++
						}
					}
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(15 * time.Second)
				counts := map[int64]string{}
				sum := 0
				for _, r := range tp.leaderAPI.reported() {
					if old, ok := counts[r.window]; ok {
						is.Equal(r.counts, old)
						continue
					}
					counts[r.window] = r.counts
					var n int
					_, err := fmt.Sscanf(r.counts, `{"w":%d}`, &n)
					is.NoErr(err)
					sum += n
				}
				is.Equal(sum, ran) // every window is reported, and every request counts once
			})
		})
	}
}

// TestFencedLeaderStops: a leader whose fencing token was refused sends nothing more with it.
func TestFencedLeaderStops(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp := newTestPlatform()
		tp.store.put(port.TopicConfiguration, configurationKey, scaledConfiguration())
		for i := range 6 {
			e := endpoint(fmt.Sprint(i), "llm")
			e.Zone = "a"
			tp.store.put(port.TopicEndpoints, e.ID, e)
		}
		opts := testOptions("h1")
		opts.OrdersCapacity = true
		tp.leaderAPI.setFail(func(port.Tenure) error { return port.ErrFenced })
		g := tp.startHost(t, opts)
		time.Sleep(5 * time.Second)
		is.Equal(len(tp.leaderAPI.ordered()), 1)
		_, held := g.leader.heldToken(time.Now())
		is.True(!held)
	})
}

func scaledConfiguration() catalog.Snapshot {
	s := configuration(1)
	llm := s.Services["llm"]
	llm.Scaling = &catalog.Scaling{Min: 1, Max: 12, BootTime: 4 * time.Second, SpotPrice: 0.18, ZonePrices: map[string]float64{"a": 1, "b": 1.25}}
	s.Services["llm"] = llm
	return s
}

// TestOrdersFollowReclaims: a zone's spot endpoints are reclaimed; on-demand endpoints are ordered
// at once to replace them.
func TestOrdersFollowReclaims(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp := newTestPlatform()
		tp.store.put(port.TopicConfiguration, configurationKey, scaledConfiguration())
		spot := func(id, zone string, state fleet.State) {
			e := endpoint(id, "llm")
			e.Zone, e.Spot, e.State = zone, true, state
			tp.store.put(port.TopicEndpoints, e.ID, e)
		}
		for i := range 4 {
			spot(fmt.Sprintf("a%d", i), "a", fleet.StateReady)
			spot(fmt.Sprintf("b%d", i), "b", fleet.StateReady)
		}
		tp.endpoints.respond = func(ctx context.Context, f *port.Forward, _ int) (*port.Reply, error) {
			return streamReply(ctx, f, io.EOF, time.Millisecond, events(1, 2)...), nil
		}
		opts := testOptions("h1")
		opts.OrdersCapacity = true
		g := tp.startHost(t, opts)
		load := func(length time.Duration) {
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				req := &port.Request{ID: fmt.Sprint(time.Now().UnixNano()), Method: "GET", Host: "x", Path: "/stream/1", Key: "key", CallerTimeout: 3 * time.Second, HasTokens: true, PromptTokens: 4000, AnswerTokens: 60}
				g.Serve(t.Context(), time.Now(), req, &recorder{})
			}
		}
		load(15 * time.Second)
		before := len(tp.leaderAPI.ordered())
		for i := range 4 {
			spot(fmt.Sprintf("a%d", i), "a", fleet.StateDraining)
		}
		load(2500 * time.Millisecond)
		onDemand := 0
		for _, o := range tp.leaderAPI.ordered()[before:] {
			if !o.order.Spot {
				onDemand = max(onDemand, o.order.Count)
			}
		}
		is.True(onDemand > 0)
	})
}

// TestSharesAddUp guards against shares that exceed the limit in total: hosts that have had no
// request of a workspace count as well. All hosts together grant the limit, before any traffic and
// with hosts that are cut off.
func TestSharesAddUp(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		cutOff int
		zones  []string // of the hosts in turn; two hosts of a zone have no relay
	}{
		"all report": {0, []string{"a", "b"}},
		"one is cut off before its first request":       {1, []string{"a", "b"}},
		"all report, one relay":                         {0, []string{"a"}},
		"one relay, one host is cut off from the store": {1, []string{"a"}},
	} {
		cutOff := tc.cutOff
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tp := newTestPlatform()
				limited := configuration(1)
				limited.Workspaces[0].Limit = catalog.Limit{PerSecond: 1000, Burst: 1000}
				tp.store.put(port.TopicConfiguration, configurationKey, limited)
				tp.store.put(port.TopicEndpoints, "1", endpoint("1", "api"))
				tp.endpoints.respond = func(_ context.Context, f *port.Forward, _ int) (*port.Reply, error) {
					return completeReply(f, 200, "ok"), nil
				}
				tp.peers = newMemoryPeers()
				for i := range 4 {
					o := hostOptions(fmt.Sprintf("h%d", i))
					o.Zone, o.Peer = tc.zones[i%len(tc.zones)], fmt.Sprintf("10.0.0.%d:7600", i)
					tp.peers.add(o.Peer, tp.startHost(t, o))
				}
				time.Sleep(5 * time.Second)
				for i := range cutOff {
					tp.hosts[i].ports.Store.(*hostStore).unreachable.Store(true)
				}
				time.Sleep(5 * time.Second)
				for range 12 { // until all reports show the same demand
					for i, g := range tp.hosts {
						sendRequest(t.Context(), g, fmt.Sprint(i, time.Now().UnixNano()), "order")
					}
					time.Sleep(time.Second)
				}
				sum := 0.0
				for _, g := range tp.hosts {
					for _, row := range g.quota.State() {
						sum += row.Share
					}
				}
				is.True(sum > 0.9 && sum < 1.1)
				is.True(sum < 1.000001) // but for the rounding of fractions, never more than the limit
			})
		})
	}
}

// TestSuccessorKnowsTargetCounts: the next leader knows the target count of a leader that was killed.
func TestSuccessorKnowsTargetCounts(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp := newTestPlatform()
		scaled := configuration(1)
		llm := scaled.Services["llm"]
		llm.Scaling = &catalog.Scaling{Min: 1, Max: 12, BootTime: 4 * time.Second, SpotPrice: 0.18, ZonePrices: map[string]float64{"a": 1, "b": 1.25}}
		scaled.Services["llm"] = llm
		tp.store.put(port.TopicConfiguration, configurationKey, scaled)
		tp.store.put(port.TopicEndpoints, "1", endpoint("1", "llm"))
		for i := range 3 {
			o := hostOptions(fmt.Sprintf("h%d", i))
			o.OrdersCapacity = true
			tp.startHost(t, o)
		}
		time.Sleep(8 * time.Second)
		old := tp.hostNamed(tp.leaders(time.Now())[0])
		old.tomb.Kill(nil)
		_ = old.tomb.Wait() // its planners are read below
		target := old.leader.targetCounts()["llm"]
		is.True(target > 0)
		time.Sleep(6 * time.Second)
		for _, g := range tp.hosts {
			if token, held := g.leader.heldToken(time.Now()); held && g != old && token > 0 {
				is.Equal(g.leader.inherited["llm"], target)
				return
			}
		}
		t.Fatal("no host took over")
	})
}

// TestUsageWaitsForHostsThatAreCutOff guards against lost usage counts (scale-2 of
// coldroot-jos-grown): a host continues to serve while the store refuses it, across the end of a
// window. Its counts arrive before the report is due, and are in the report.
func TestUsageWaitsForHostsThatAreCutOff(t *testing.T) {
	t.Parallel()
	const outage = 5 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp := startServing(t, 3, 10*time.Second)
		var cutOff *Gateway
		for _, g := range tp.hosts {
			if g.opts.Host != tp.leaders(time.Now())[0] {
				cutOff = g
			}
		}
		// The store refuses the host from half a second before a window ends.
		window := cutOff.opts.UsageWindow
		time.Sleep(time.Until(time.Now().Truncate(window).Add(2*window - 500*time.Millisecond)))
		cutOff.ports.Store.(*hostStore).unreachable.Store(true)
		served := 0
		for began := time.Now(); time.Since(began) < outage; time.Sleep(100 * time.Millisecond) {
			if sendRequest(t.Context(), cutOff, fmt.Sprint("q", served), "get").status == 200 {
				served++
			}
		}
		cutOff.ports.Store.(*hostStore).unreachable.Store(false)
		time.Sleep(15 * time.Second)
		is.True(served > 0)
		counted := 0
		for _, call := range tp.leaderAPI.reported() {
			var counts map[string]int
			is.NoErr(json.Unmarshal([]byte(call.counts), &counts))
			counted += counts["w"]
		}
		is.Equal(counted, served)
	})
}

// TestUsageDoesNotWaitForGoneHosts guards against late usage reports (trouble-3 of the grown sites):
// a host is gone for good, and soon after the end of the next windows the store is unavailable or
// all hosts are killed. The windows are reported before that.
func TestUsageDoesNotWaitForGoneHosts(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		endedBefore time.Duration // end of the host, before the end of the window
		outageAfter time.Duration // start of the outage, after the end of the window
	}{
		"gone before the window began": {9 * time.Second, 5 * time.Second},
		"gone within the window":       {3 * time.Second, 6500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tp := startServing(t, 3, 10*time.Second)
				leader := tp.hostNamed(tp.leaders(time.Now())[0])
				window := leader.opts.UsageWindow
				end := time.Now().Truncate(window).Add(4 * window)
				time.Sleep(time.Until(end.Add(-tc.endedBefore)))
				for _, g := range tp.hosts {
					if g != leader {
						g.tomb.Kill(nil)
						break
					}
				}
				time.Sleep(time.Until(end.Add(-window / 5)))
				is.Equal(sendRequest(t.Context(), leader, "q", "get").status, 200)
				time.Sleep(time.Until(end.Add(tc.outageAfter)))
				tp.store.setFail(func(string, port.Topic) error { return port.ErrStoreRefused })
				time.Sleep(5 * time.Second)
				is.Equal(len(tp.leaderAPI.reported()), 1)
			})
		})
	}
}

// TestFreshTakeover: a host that reads that another one has just taken over leaves it the time to report.
// Without fencing, that includes the TTL of the lease, in which the other may act.
func TestFreshTakeover(t *testing.T) {
	t.Parallel()
	for name, enforced := range map[string]bool{"fencing enforced": true, "not enforced": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tp := newTestPlatform()
				tp.publish(endpoint("1", "api"))
				opts := hostOptions("h1")
				opts.FencingEnforced = enforced
				took := time.Now()
				tp.store.put(port.TopicLeader, "", leaderRecord{Leader: "other", Wall: took.UnixMilli()})
				g := tp.startHost(t, opts)
				for held := false; !held; _, held = g.leader.heldToken(time.Now()) {
					time.Sleep(100 * time.Millisecond)
				}
				timeout := fencedLeaderTimeout
				if !enforced {
					timeout += opts.LeaseTTL
				}
				is.True(time.Since(took) >= timeout)
				is.True(time.Since(took) < timeout+3*time.Second)
			})
		})
	}
}
