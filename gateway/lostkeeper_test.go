package gateway

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/catalog"
	"github.com/cicadanotch/cicadanotch/grant"
	"github.com/cicadanotch/cicadanotch/port"
)

// limitedZone is a zone of three hosts whose workspace asks for a twentieth of its limit.
type limitedZone struct {
	*testPlatform
	peers *memoryPeers
	sent  int
}

const (
	limitedRate     = 375_568.0 // tokens a second
	limitedInterval = 45 * time.Millisecond
)

func startLimitedZone(t *testing.T, hosts int) *limitedZone {
	z := newLimitedZone()
	z.peers = z.startZone(t, hosts)
	time.Sleep(settleTime)
	return z
}

func newLimitedZone() *limitedZone {
	tp := newTestPlatform()
	tp.publish(endpoint("1", "llm"), endpoint("2", "llm"))
	c := configuration(2)
	c.Workspaces[0].Limit = catalog.Limit{InTokens: true, PerSecond: limitedRate, Burst: limitedRate, DefaultTokens: 200}
	tp.store.put(port.TopicConfiguration, configurationKey, c)
	tp.endpoints.respond = func(ctx context.Context, f *port.Forward, _ int) (*port.Reply, error) {
		return streamReply(ctx, f, io.EOF, time.Millisecond, events(1, 2)...), nil
	}
	return &limitedZone{testPlatform: tp}
}

// send sends requests to hosts in turn and returns how many of them a limit refused.
func (z *limitedZone) send(t *testing.T, length time.Duration, hosts ...*Gateway) (refused int) {
	for began := time.Now(); time.Since(began) < length; time.Sleep(limitedInterval) {
		z.sent++
		r := sendRequest(t.Context(), hosts[z.sent%len(hosts)], fmt.Sprint("req", z.sent), "resume")
		if r.status == 429 {
			refused++
		}
		z.checkShares(t)
	}
	return refused
}

// checkShares fails the test if more than a whole limit is in force, hosts included that nobody reaches.
func (z *limitedZone) checkShares(t *testing.T) {
	sum := 0.0
	z.hostsMu.Lock()
	defer z.hostsMu.Unlock()
	for _, g := range z.hosts {
		if g.tomb.Alive() {
			sum += g.quota.Share(time.Now(), "w")
		}
	}
	if sum > 1+1e-9 {
		t.Fatalf("shares in force add up to %.3f", sum)
	}
}

// kill ends the process of a host.
func (z *limitedZone) kill(g *Gateway) {
	z.peers.mu.Lock()
	delete(z.peers.hosts, g.opts.Peer)
	z.peers.mu.Unlock()
	g.tomb.Kill(nil)
}

// keeper returns the host that keeps the buckets of hosts, and the others. Without a relay it is that with the largest share.
func (z *limitedZone) keeper(hosts []*Gateway) (keeper *Gateway, others []*Gateway) {
	now := time.Now()
	rank := func(g *Gateway) float64 {
		share := g.quota.Share(now, "w")
		if share > 0 && g.quotaRole(now) == roleKeeper {
			share++
		}
		return share
	}
	keeper = slices.MaxFunc(hosts, func(a, b *Gateway) int { return cmp.Compare(rank(a), rank(b)) })
	return keeper, slices.DeleteFunc(slices.Clone(hosts), func(g *Gateway) bool { return g == keeper })
}

// TestLostKeeperLeavesAShare guards against refusing a workspace far below its limit because the host that kept the
// buckets of the zone has failed (incident 0020).
func TestLostKeeperLeavesAShare(t *testing.T) {
	t.Parallel()
	for name, play := range map[string]func(*testing.T, *limitedZone, *Gateway, []*Gateway) (refused int){
		"killed, stays away": func(t *testing.T, z *limitedZone, relay *Gateway, rest []*Gateway) int {
			z.kill(relay)
			return z.send(t, 25*time.Second, rest...)
		},
		"killed, back after 3.5 s": func(t *testing.T, z *limitedZone, relay *Gateway, rest []*Gateway) int {
			back := make(chan *Gateway, 1)
			go func() { back <- z.restart(t, z.peers, relay, 3500*time.Millisecond) }()
			return z.send(t, 12*time.Second, rest...)
		},
		"killed again 1.5 s after it is back": func(t *testing.T, z *limitedZone, relay *Gateway, rest []*Gateway) int {
			back := make(chan *Gateway, 1)
			go func() { back <- z.restart(t, z.peers, relay, 3500*time.Millisecond) }()
			refused := z.send(t, 5*time.Second, rest...)
			z.kill(<-back)
			return refused + z.send(t, 12*time.Second, rest...)
		},
		"silent, with its share in force": func(t *testing.T, z *limitedZone, relay *Gateway, rest []*Gateway) int {
			z.peers.setUnresponsive(relay.opts.Peer, true)
			relay.ports.Store.(*hostStore).unreachable.Store(true)
			return z.send(t, 25*time.Second, rest...)
		},
		"killed while the store is away": func(t *testing.T, z *limitedZone, relay *Gateway, rest []*Gateway) int {
			for _, g := range rest {
				g.ports.Store.(*hostStore).unreachable.Store(true)
			}
			z.kill(relay)
			return z.send(t, 8*time.Second, rest...)
		},
		"stops as planned": func(t *testing.T, z *limitedZone, relay *Gateway, rest []*Gateway) int {
			go relay.Leave(t.Context())
			refused := z.send(t, 8*time.Second, rest...)
			z.kill(relay)
			return refused + z.send(t, 5*time.Second, rest...)
		},
		"stops as planned, then its successor is killed once there is a grantor again": func(t *testing.T, z *limitedZone, relay *Gateway, rest []*Gateway) int {
			go relay.Leave(t.Context())
			refused := z.send(t, 6*time.Second, rest...)
			z.kill(relay)
			successor, left := z.keeper(rest)
			z.kill(successor)
			return refused + z.send(t, 8*time.Second, left...)
		},
		"stops as planned, then its successor is killed": func(t *testing.T, z *limitedZone, relay *Gateway, rest []*Gateway) int {
			go relay.Leave(t.Context())
			refused := z.send(t, 3*time.Second, rest...)
			z.kill(relay)
			successor, left := z.keeper(rest)
			z.kill(successor)
			return refused + z.send(t, 8*time.Second, left...)
		},
		"killed, then its successor 3 s later": func(t *testing.T, z *limitedZone, relay *Gateway, rest []*Gateway) int {
			z.kill(relay)
			refused := z.send(t, 3*time.Second, rest...)
			successor, left := z.keeper(rest)
			z.kill(successor)
			return refused + z.send(t, 8*time.Second, left...)
		},
		"its standby is killed, then the relay 6 s later": func(t *testing.T, z *limitedZone, relay *Gateway, rest []*Gateway) int {
			standby, left := z.keeper(rest)
			z.kill(standby)
			refused := z.send(t, 6*time.Second, append(left, relay)...)
			z.kill(relay)
			return refused + z.send(t, 8*time.Second, left...)
		},
		"killed, then its successor once there is a grantor again": func(t *testing.T, z *limitedZone, relay *Gateway, rest []*Gateway) int {
			z.kill(relay)
			refused := z.send(t, 6*time.Second, rest...)
			successor, left := z.keeper(rest)
			z.kill(successor)
			return refused + z.send(t, 8*time.Second, left...)
		},
	} {
		for _, hosts := range []int{3, 4, 5} {
			t.Run(fmt.Sprintf("%s, %d hosts", name, hosts), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					z := startLimitedZone(t, hosts)
					is.New(t).Equal(z.send(t, 6*time.Second, z.hosts...), 0)
					relay, rest := z.keeper(z.hosts)
					for _, g := range rest {
						is.New(t).Equal(z.relayOf(g), relay.opts.Host)
					}
					refused := play(t, z, relay, rest)
					t.Logf("%d requests sent, %d refused", z.sent, refused)
					is.New(t).Equal(refused, 0)
				})
			})
		}
	}
}

// TestLostZoneUsesOtherShares guards against refusing a workspace far below its limit because a zone has lost its relay and its
// standby at once, while other zones hold shares (incident 0020).
func TestLostZoneUsesOtherShares(t *testing.T) {
	t.Parallel()
	for name, region := range map[string]string{"a zone of the region": "r", "a zone of another region": "r2"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				z := newLimitedZone()
				z.peers = newMemoryPeers()
				z.testPlatform.peers = z.peers
				for n := range 6 {
					o := hostOptions(fmt.Sprintf("h%d", n))
					o.Peer = fmt.Sprintf("10.0.0.%d:7600", n)
					if n >= 3 {
						o.Zone, o.Region = "b", region
					}
					o.Regions = map[string]string{"a": "r", "b": region}
					z.peers.add(o.Peer, z.startHost(t, o))
				}
				time.Sleep(settleTime)
				is.Equal(z.send(t, 3*time.Second, z.hosts...), 0)
				keepers, rest := z.hosts[:0:0], z.hosts[3:]
				for _, g := range z.hosts[:3] {
					if g.quota.Share(time.Now(), "w") > 0 {
						keepers = append(keepers, g)
					} else {
						rest = append(rest, g)
					}
				}
				is.Equal(len(keepers), 2)
				for _, g := range keepers {
					z.kill(g)
				}
				is.Equal(z.send(t, 10*time.Second, rest...), 0)
			})
		})
	}
}

// TestFormerGrantorGrantsNothing guards against shares that add up to more than a whole limit: a grantor that still held its lease
// renewed the shares of a holder that only it heard, after the next one had begun to reserve them.
func TestFormerGrantorGrantsNothing(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := startLimitedZone(t, 3)
		for _, g := range z.hosts {
			token, held := g.leader.heldToken(time.Now())
			if !held {
				continue
			}
			call := grant.Call{Host: "holder", Start: 1, Sequence: 1, Token: token, Holds: true}
			_, err := g.answerGrant(call)
			is.NoErr(err)
			_, err = g.serveGrantor(t.Context(), fmt.Appendf(nil, `{"host":"next","peer":"10.0.0.9:7600","fence":%d}`, token+1))
			is.NoErr(err)
			call.Sequence++
			_, err = g.answerGrant(call)
			is.Equal(err, errNotGrantor)
			return
		}
		t.Fatal("there is no grantor")
	})
}
