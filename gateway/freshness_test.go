package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/catalog"
	"github.com/cicadanotch/cicadanotch/fleet"
	"github.com/cicadanotch/cicadanotch/port"
)

// inForce is the time within which the platform requires a configuration to be in force, and within
// which endpoints that drain get no more requests.
const inForce = 3 * time.Second

// stall stops the answers to a host's reads of a topic, or lets them pass again.
func stall(g *Gateway, topic port.Topic, stalled bool) {
	g.ports.Store.(*hostStore).stalled.Store(topic, stalled)
}

// checkNewsInTime publishes a configuration of version 2 and drains endpoint 1 of service api, and checks that
// all hosts but the faulty one know both in time.
func (tp *testPlatform) checkNewsInTime(is *is.I, next catalog.Snapshot, faulty *Gateway) {
	is.Helper()
	tp.store.put(port.TopicConfiguration, configurationKey, next)
	drained := endpoint("1", "api")
	drained.State = fleet.StateDraining
	tp.store.put(port.TopicEndpoints, "1", drained)
	time.Sleep(inForce)
	for _, g := range tp.hosts {
		if g != faulty {
			is.Equal(g.catalog.Current().Version, int64(2))
			is.Equal(len(g.fleet.Usable(time.Now(), "api")), 0)
		}
	}
}

// TestRelayServesStalledTopic guards against relays that answer "nothing new" of a topic that they have not
// been able to read, because their other reads of the store are answered (CONFIG and DRAIN on the grown
// sites). The other hosts of the region must learn the news in time.
func TestRelayServesStalledTopic(t *testing.T) {
	t.Parallel()
	for _, topic := range []port.Topic{port.TopicConfiguration, port.TopicEndpoints} {
		for _, after := range []time.Duration{0, 500 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprint(topic, " written ", after, " after the stall"), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					tp, _ := startRegions(t, 4, startInterval)
					relay := tp.regionRelay(tp.hosts[0])
					stall(relay, topic, true)
					time.Sleep(after)
					tp.checkNewsInTime(is, configuration(2), relay)
				})
			})
		}
	}
}

// TestAgeOverThreeHopsIsBounded draws stalls of single topics and frozen hosts, at most one of each region
// at a time, and checks that every other host has each version in force in time. A host that was hit
// counts again 4 s after the end of its fault.
func TestAgeOverThreeHopsIsBounded(t *testing.T) {
	t.Parallel()
	const (
		seeds    = 10
		length   = 40 * time.Second
		excuse   = 4 * time.Second
		interval = 400 * time.Millisecond // between versions
	)
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 1))
				tp, peers := startRegions(t, 4, startInterval)
				excusedUntil := map[*Gateway]time.Time{}
				faultEnds := map[string]time.Time{} // by region
				written := []time.Time{time.Now().Add(-time.Hour)}
				late := map[string]int{}
				for began := time.Now(); time.Since(began) < length; time.Sleep(100 * time.Millisecond) {
					now := time.Now()
					if now.Sub(written[len(written)-1]) >= interval {
						tp.store.put(port.TopicConfiguration, configurationKey, configuration(int64(len(written)+1)))
						written = append(written, now)
					}
					for _, region := range []string{"r0", "r1"} {
						if now.Before(faultEnds[region]) || rng.IntN(20) > 0 {
							continue
						}
						g := tp.faultyHost(rng, region)
						lasts := time.Duration(500+rng.IntN(4000)) * time.Millisecond
						faultEnds[region], excusedUntil[g] = now.Add(lasts), now.Add(lasts+excuse)
						if rng.IntN(2) == 0 {
							stall(g, port.TopicConfiguration, true)
							time.AfterFunc(lasts, func() { stall(g, port.TopicConfiguration, false) })
						} else {
							peers.setUnresponsive(g.opts.Peer, true)
							time.AfterFunc(lasts, func() { peers.setUnresponsive(g.opts.Peer, false) })
						}
					}
					for _, g := range tp.hosts {
						next := g.catalog.Current().Version + 1 // the oldest version that is not in force
						if now.After(excusedUntil[g]) && next <= int64(len(written)) && now.Sub(written[next-1]) > inForce {
							late[g.opts.Host]++
						}
					}
				}
				is.New(t).Equal(len(late), 0)
			})
		})
	}
}

// faultyHost returns a host of a region: mostly one of its relays.
func (tp *testPlatform) faultyHost(rng *rand.Rand, region string) *Gateway {
	for {
		g := tp.hosts[rng.IntN(len(tp.hosts))]
		if g.opts.Region == region && (g.relays.isRelaying() || rng.IntN(8) == 0) {
			return g
		}
	}
}

// TestRelayLostWhileConfigurationGrows replays a large configuration (big_config on the grown and large
// deployments) that becomes due in a region without the store, at hosts whose relay does not answer. It is
// in force in time, and so are drains: the hosts must not all read it from the store at once.
func TestRelayLostWhileConfigurationGrows(t *testing.T) {
	t.Parallel()
	const (
		routes  = 5600 // after four growths by 1,400
		perZone = 14   // hosts of an availability zone of coldroot-jos-grown
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp, peers := startRegions(t, perZone, startInterval)
		between := &sharedLink{bytesPerSecond: 60e6 / 8, delay: 60 * time.Millisecond}
		far := tp.hosts[len(tp.hosts)-1]
		for _, g := range tp.hosts {
			if g.opts.Region == far.opts.Region {
				g.ports.Store.(*hostStore).way.Store(between)
			}
		}
		time.Sleep(5 * time.Second)
		relay := tp.regionRelay(far)
		peers.setUnresponsive(relay.opts.Peer, true)
		tp.checkNewsInTime(is, grownConfiguration(2, routes), relay)
	})
}

// TestLargeReadIsNotBegunAnew guards against reads that are given up while their reply is arriving, and
// begun anew with the same bytes: what takes longer than a time-out never arrived.
func TestLargeReadIsNotBegunAnew(t *testing.T) {
	t.Parallel()
	const (
		kilobytes = 1000
		takes     = 4 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp := newTestPlatform()
		tp.publish(endpoint("1", "api"))
		g := tp.startHost(t, hostOptions("h1"))
		time.Sleep(2 * time.Second)
		large := configuration(2)
		large.Workspaces = append(large.Workspaces, catalog.Workspace{Name: strings.Repeat("w", 1000*kilobytes)})
		g.ports.Store.(*hostStore).way.Store(&sharedLink{bytesPerSecond: 1000 * kilobytes / takes.Seconds()})
		tp.store.put(port.TopicConfiguration, configurationKey, large)
		time.Sleep(takes + time.Second)
		is.Equal(g.catalog.Current().Version, int64(2))
	})
}

// TestSharedLink: transfers share the bandwidth, and one that is given up frees its part.
func TestSharedLink(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		link := &sharedLink{bytesPerSecond: 1000, delay: 10 * time.Millisecond}
		began := time.Now()
		done := make(chan time.Duration, 2)
		for range 2 {
			go func() {
				is.NoErr(link.transfer(t.Context(), 500))
				done <- time.Since(began)
			}()
		}
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		is.True(link.transfer(ctx, 1e6) != nil)
		<-done
		took := <-done
		is.True(took > time.Second && took < 1200*time.Millisecond)
	})
}
