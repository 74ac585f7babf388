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

// named returns the options of a host in a zone of its own.
func named(name string) Options {
	o := testOptions(name)
	o.Address = "10.0.0." + name[1:] + ":1"
	return o
}

func (w *world) holders(now time.Time) []string {
	var out []string
	for _, g := range w.hosts {
		if _, ok := g.duties.held(now); ok {
			out = append(out, g.opts.Host)
		}
	}
	return out
}

func (w *world) find(name string) *Gateway {
	for _, g := range w.hosts {
		if g.opts.Host == name {
			return g
		}
	}
	return nil
}

// TestOneHolder: among hosts that start together exactly one takes the duties,
// and keeps them.
func TestOneHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		w.ready(endpoint("1", "api"))
		for i := range 5 {
			w.host(t, named(fmt.Sprintf("h%d", i)))
		}
		time.Sleep(8 * time.Second)
		first := w.holders(time.Now())
		if len(first) != 1 {
			t.Log(w.log())
		}
		is.Equal(len(first), 1)
		time.Sleep(20 * time.Second)
		is.Equal(w.holders(time.Now()), first)
	})
}

// TestHolderCutFromStore replays trouble-1 of coldroot-jos: the store refuses the
// holder while zones are reclaimed. Another takes over within seconds under a
// higher number, and the first does not take them back at once.
func TestHolderCutFromStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		w.ready(endpoint("1", "api"))
		for i := range 3 {
			w.host(t, named(fmt.Sprintf("h%d", i)))
		}
		time.Sleep(8 * time.Second)
		old := w.find(w.holders(time.Now())[0])
		fence, _ := old.duties.held(time.Now())
		cut := old.ports.Store.(*hostStore)
		cut.cut.Store(true)
		time.Sleep(5 * time.Second)
		holders := w.holders(time.Now())
		is.Equal(len(holders), 1)
		is.True(holders[0] != old.opts.Host)
		next, _ := w.find(holders[0]).duties.held(time.Now())
		is.True(next > fence)
		cut.cut.Store(false)
		time.Sleep(4 * time.Second)
		is.Equal(w.holders(time.Now()), holders)
	})
}

// serving returns a world whose hosts have served for a while and whose endpoint
// answers every request.
func serving(t *testing.T, hosts int, since time.Duration) *world {
	t.Helper()
	w := newWorld()
	w.ready(endpoint("1", "api"))
	w.endpoints.play = func(_ context.Context, f *port.Forward, _ int) (*port.Reply, error) { return whole(f, 200, "ok"), nil }
	for i := range hosts {
		w.host(t, named(fmt.Sprintf("h%d", i)))
	}
	time.Sleep(since)
	return w
}

// TestUsageReportedOnce: the counts of a window are the same in every report of
// it, whoever sends it: the platform does not answer, replies of the store are
// lost, and the holder dies in between.
func TestUsageReportedOnce(t *testing.T) {
	for name, tc := range map[string]struct {
		prepare func(w *world)
		during  func(t *testing.T, w *world)
	}{
		"quiet": {},
		"the platform does not answer": {prepare: func(w *world) {
			n := 0
			w.duties.setFail(func(port.Tenure) error {
				if n++; n%3 != 0 {
					return port.ErrDutiesUnavailable
				}
				return nil
			})
		}},
		"replies of the store are lost": {prepare: func(w *world) {
			n := 0
			w.store.setLoseReply(func(topic port.Topic) bool { n++; return topic == port.TopicDuties && n%2 == 0 })
		}},
		"the holder dies": {during: func(t *testing.T, w *world) {
			g := w.find(w.holders(time.Now())[0])
			g.tomb.Kill(nil)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := serving(t, 3, 8*time.Second)
				if tc.prepare != nil {
					tc.prepare(w)
				}
				ran := 0
				for i := range 200 {
					if tc.during != nil && i == 100 {
						tc.during(t, w)
					}
					for j, g := range w.hosts {
						if g.tomb.Alive() {
							is.Equal(ask(t.Context(), g, fmt.Sprintf("r%d-%d", i, j), "order").status, 200)
							ran++
						}
					}
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(15 * time.Second)
				counts := map[int64]string{}
				sum := 0
				for _, r := range w.duties.reported() {
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

// TestFencedHolderStops: a holder whose number was refused sends nothing more
// under it.
func TestFencedHolderStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		w.store.put(port.TopicConfiguration, configurationKey, scaled())
		for i := range 6 {
			e := endpoint(fmt.Sprint(i), "llm")
			e.Zone = "a"
			w.store.put(port.TopicEndpoints, e.ID, e)
		}
		opts := testOptions("h1")
		opts.Scales = true
		w.duties.setFail(func(port.Tenure) error { return port.ErrFenced })
		g := w.host(t, opts)
		time.Sleep(5 * time.Second)
		is.Equal(len(w.duties.given()), 1)
		_, held := g.duties.held(time.Now())
		is.True(!held)
	})
}

func scaled() catalog.Snapshot {
	s := configuration(1)
	llm := s.Services["llm"]
	llm.Scaling = &catalog.Scaling{Min: 1, Max: 12, Boot: 4 * time.Second, SpotPrice: 0.18, ZonePrices: map[string]float64{"a": 1, "b": 1.25}}
	s.Services["llm"] = llm
	return s
}

// TestOrdersFollowReclaims: a zone's spot endpoints go; on-demand ones are
// ordered at once in their place.
func TestOrdersFollowReclaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		w.store.put(port.TopicConfiguration, configurationKey, scaled())
		spot := func(id, zone string, state fleet.State) {
			e := endpoint(id, "llm")
			e.Zone, e.Spot, e.State = zone, true, state
			w.store.put(port.TopicEndpoints, e.ID, e)
		}
		for i := range 4 {
			spot(fmt.Sprintf("a%d", i), "a", fleet.StateReady)
			spot(fmt.Sprintf("b%d", i), "b", fleet.StateReady)
		}
		w.endpoints.play = func(ctx context.Context, f *port.Forward, _ int) (*port.Reply, error) {
			return stream(ctx, f, io.EOF, time.Millisecond, events(1, 2)...), nil
		}
		opts := testOptions("h1")
		opts.Scales = true
		g := w.host(t, opts)
		load := func(length time.Duration) {
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				req := &port.Request{ID: fmt.Sprint(time.Now().UnixNano()), Method: "GET", Host: "x", Path: "/stream/1", Key: "key", Patience: 3 * time.Second, HasTokens: true, PromptTokens: 4000, AnswerTokens: 60}
				g.Serve(t.Context(), time.Now(), req, &recorder{})
			}
		}
		load(15 * time.Second)
		before := len(w.duties.given())
		for i := range 4 {
			spot(fmt.Sprintf("a%d", i), "a", fleet.StateDraining)
		}
		load(2500 * time.Millisecond)
		onDemand := 0
		for _, o := range w.duties.given()[before:] {
			if !o.order.Spot {
				onDemand = max(onDemand, o.order.Count)
			}
		}
		is.True(onDemand > 0)
	})
}

// TestSharesAddUp: hosts that have had no request of a workspace count as well:
// what all give out together is the limit, before any traffic and with hosts that
// are cut off.
func TestSharesAddUp(t *testing.T) {
	for name, cut := range map[string]int{"all heard": 0, "one is cut off before its first request": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld()
				limited := configuration(1)
				limited.Workspaces[0].Limit = catalog.Limit{PerSecond: 1000, Burst: 1000}
				w.store.put(port.TopicConfiguration, configurationKey, limited)
				w.store.put(port.TopicEndpoints, "1", endpoint("1", "api"))
				w.endpoints.play = func(_ context.Context, f *port.Forward, _ int) (*port.Reply, error) { return whole(f, 200, "ok"), nil }
				for i := range 4 {
					w.host(t, named(fmt.Sprintf("h%d", i)))
				}
				time.Sleep(5 * time.Second)
				for i := range cut {
					w.hosts[i].ports.Store.(*hostStore).cut.Store(true)
				}
				time.Sleep(5 * time.Second)
				for range 12 { // until the reports show the same demand
					for i, g := range w.hosts {
						ask(t.Context(), g, fmt.Sprint(i, time.Now().UnixNano()), "order")
					}
					time.Sleep(time.Second)
				}
				sum := 0.0
				for _, g := range w.hosts {
					for _, row := range g.quota.State() {
						sum += row.Share
					}
				}
				is.True(sum > 0.9 && sum < 1.1)
			})
		})
	}
}

// TestSuccessorKnowsTheNeed: what a holder plans for is known to the one that takes
// over when it dies.
func TestSuccessorKnowsTheNeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		scaled := configuration(1)
		llm := scaled.Services["llm"]
		llm.Scaling = &catalog.Scaling{Min: 1, Max: 12, Boot: 4 * time.Second, SpotPrice: 0.18, ZonePrices: map[string]float64{"a": 1, "b": 1.25}}
		scaled.Services["llm"] = llm
		w.store.put(port.TopicConfiguration, configurationKey, scaled)
		w.store.put(port.TopicEndpoints, "1", endpoint("1", "llm"))
		for i := range 3 {
			o := named(fmt.Sprintf("h%d", i))
			o.Scales = true
			w.host(t, o)
		}
		time.Sleep(8 * time.Second)
		old := w.find(w.holders(time.Now())[0])
		old.tomb.Kill(nil)
		_ = old.tomb.Wait() // its planners are read below
		need := old.duties.needs()["llm"]
		is.True(need > 0)
		time.Sleep(6 * time.Second)
		for _, g := range w.hosts {
			if fence, held := g.duties.held(time.Now()); held && g != old && fence > 0 {
				is.Equal(g.duties.inherited["llm"], need)
				return
			}
		}
		t.Fatal("nobody took over")
	})
}

// TestUsageWaitsForHostsThatAreCutOff replays scale-2 of coldroot-jos-grown: a host
// serves on while the store refuses it, across the end of a window. Its counts come
// before the report is due, and are in it.
func TestUsageWaitsForHostsThatAreCutOff(t *testing.T) {
	const cutFor = 5 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := serving(t, 3, 10*time.Second)
		var cut *Gateway
		for _, g := range w.hosts {
			if g.opts.Host != w.holders(time.Now())[0] {
				cut = g
			}
		}
		// The cut begins half a second before a window ends.
		window := cut.opts.UsageWindow
		time.Sleep(time.Until(time.Now().Truncate(window).Add(2*window - 500*time.Millisecond)))
		cut.ports.Store.(*hostStore).cut.Store(true)
		asked := 0
		for began := time.Now(); time.Since(began) < cutFor; time.Sleep(100 * time.Millisecond) {
			if ask(t.Context(), cut, fmt.Sprint("q", asked), "get").status == 200 {
				asked++
			}
		}
		cut.ports.Store.(*hostStore).cut.Store(false)
		time.Sleep(15 * time.Second)
		is.True(asked > 0)
		counted := 0
		for _, call := range w.duties.reported() {
			var counts map[string]int
			is.NoErr(json.Unmarshal([]byte(call.counts), &counts))
			counted += counts["w"]
		}
		is.Equal(counted, asked)
	})
}

// TestUsageDoesNotWaitForTheDead replays trouble-3 of the grown sites: a host is gone
// for good, and the store is away, or all hosts are killed, soon after the end of the
// next windows. They are reported before.
func TestUsageDoesNotWaitForTheDead(t *testing.T) {
	for name, tc := range map[string]struct {
		diedBefore time.Duration // the end of the window
		awayAfter  time.Duration
	}{
		"gone before the window began": {9 * time.Second, 5 * time.Second},
		"gone within the window":       {3 * time.Second, 6500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := serving(t, 3, 10*time.Second)
				holder := w.find(w.holders(time.Now())[0])
				window := holder.opts.UsageWindow
				end := time.Now().Truncate(window).Add(4 * window)
				time.Sleep(time.Until(end.Add(-tc.diedBefore)))
				for _, g := range w.hosts {
					if g != holder {
						g.tomb.Kill(nil)
						break
					}
				}
				time.Sleep(time.Until(end.Add(-window / 5)))
				is.Equal(ask(t.Context(), holder, "q", "get").status, 200)
				time.Sleep(time.Until(end.Add(tc.awayAfter)))
				w.store.setFail(func(string, port.Topic) error { return port.ErrStoreRefused })
				time.Sleep(5 * time.Second)
				is.Equal(len(w.duties.reported()), 1)
			})
		})
	}
}
