package gateway

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/rendezvous"
)

// firstRelays returns the first hosts of a region in the order in which they read the store for one another.
func (tp *testPlatform) firstRelays(region string, n int) []*Gateway {
	var names []string
	for _, g := range tp.hosts {
		if g.opts.Region == region {
			names = append(names, g.opts.Host)
		}
	}
	var first []*Gateway
	for _, name := range rendezvous.Rank(regionKey(region), names)[:n] {
		first = append(first, tp.hostNamed(name))
	}
	return first
}

// TestConfigurationBesideFailingRelays guards against hosts that the store serves, and that learn of a configuration only
// after they have waited for one relay after the other that it does not serve (incident 0024).
func TestConfigurationBesideFailingRelays(t *testing.T) {
	t.Parallel()
	ways := map[string]func(peers *memoryPeers, g *Gateway, failing bool){
		"the store refuses their calls": func(_ *memoryPeers, g *Gateway, failing bool) {
			g.ports.Store.(*hostStore).unreachable.Store(failing)
		},
		"the store resets their connections": func(_ *memoryPeers, g *Gateway, failing bool) {
			g.ports.Store.(*hostStore).reset(failing)
		},
		"the store is silent to them": func(_ *memoryPeers, g *Gateway, failing bool) {
			for _, topic := range []port.Topic{port.TopicConfiguration, port.TopicEndpoints, port.TopicHosts} {
				stall(g, topic, failing)
			}
		},
		"they do not answer": func(peers *memoryPeers, g *Gateway, failing bool) {
			peers.setUnresponsive(g.opts.Peer, failing)
		},
	}
	for way, fail := range ways {
		for _, hosts := range []int{3, 7} { // of each zone
			for _, failing := range []int{1, 3, 7} {
				for _, apart := range []time.Duration{0, time.Second} { // between their failures
					name := fmt.Sprintf("%s, %d of %d hosts, %v apart", way, failing, 3*hosts, apart)
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						synctest.Test(t, func(t *testing.T) {
							is := is.New(t)
							tp, peers := startRegions(t, hosts, startInterval)
							failed := tp.firstRelays("r0", failing)
							version := int64(1)
							for _, g := range failed {
								fail(peers, g, true)
								// A version is written before each further failure, as any of them may be the one that is late.
								time.Sleep(100 * time.Millisecond)
								version++
								tp.store.put(port.TopicConfiguration, configurationKey, configuration(version))
								time.Sleep(apart)
							}
							tp.checkVersions(is, failed, &version)
							for _, g := range failed {
								fail(peers, g, false)
							}
							tp.checkVersions(is, failed, &version) // the first relays are in use again meanwhile
						})
					})
				}
			}
		}
	}
}

// checkVersions publishes versions of the configuration for some seconds, and checks that each is in force in time at all
// hosts but the faulty ones.
func (tp *testPlatform) checkVersions(is *is.I, faulty []*Gateway, version *int64) {
	is.Helper()
	const (
		length   = 8 * time.Second
		interval = 250 * time.Millisecond
	)
	written := map[int64]time.Time{*version: time.Now()}
	late := map[string]time.Duration{}
	for began := time.Now(); time.Since(began) < length; time.Sleep(interval) {
		*version++
		written[*version] = time.Now()
		tp.store.put(port.TopicConfiguration, configurationKey, configuration(*version))
		for _, g := range tp.hosts {
			if slices.Contains(faulty, g) {
				continue
			}
			if at, ok := written[g.catalog.Current().Version+1]; ok && time.Since(at) > inForce {
				late[g.opts.Host] = max(late[g.opts.Host], time.Since(at))
			}
		}
	}
	is.Equal(late, map[string]time.Duration{})
}

// TestMomentaryResetOfTheRelay: a relay whose connection to a sound store is reset once goes on to read for its region.
func TestMomentaryResetOfTheRelay(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp, _ := startRegions(t, 4, startInterval)
		relay := tp.regionRelay(tp.hosts[0])
		others := func() (calls int64) {
			for _, g := range tp.hosts {
				if g.opts.Region == relay.opts.Region && g != relay && g.leader.fencingToken(time.Now()) == 0 {
					calls += g.ports.Store.(*hostStore).calls.Load()
				}
			}
			return calls
		}
		before := others()
		for range 10 {
			relay.ports.Store.(*hostStore).reset(true)
			relay.ports.Store.(*hostStore).reset(false)
			time.Sleep(time.Second)
		}
		is.Equal(others()-before, int64(0))
	})
}

// TestFailingRelaysAreSkipped guards against hosts that all read the store themselves while it resets the connections of the
// first relays: those know at once that they cannot serve a read, and the next in order reads for the region.
func TestFailingRelaysAreSkipped(t *testing.T) {
	t.Parallel()
	const (
		failing = 3
		length  = 8 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp, _ := startRegions(t, 7, startInterval)
		failed := tp.firstRelays("r0", failing)
		for _, g := range failed {
			g.ports.Store.(*hostStore).reset(true)
		}
		before := map[*Gateway]int64{}
		for _, g := range tp.hosts {
			before[g] = g.ports.Store.(*hostStore).reads.Load()
		}
		time.Sleep(length)
		sound, readers := 0, 0
		for _, g := range tp.hosts {
			if g.opts.Region != "r0" || slices.Contains(failed, g) {
				continue
			}
			sound++
			if g.ports.Store.(*hostStore).reads.Load() > before[g] {
				readers++
			}
		}
		is.True(readers <= sound/3)
	})
}
