package gateway

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/catalog"
	"github.com/cicadanotch/cicadanotch/fleet"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
)

// splitRoute publishes a version of the configuration in which a resumable route leads to two services.
func (tp *testPlatform) splitRoute(version int64, first, second float64) {
	c := configuration(version)
	llm := c.Services["llm"]
	route := &c.Routes[3]
	route.Services = nil
	for _, s := range []catalog.WeightedService{{Service: "one", Weight: first}, {Service: "two", Weight: second}} {
		llm.Name = s.Service
		c.Services[s.Service] = llm
		if s.Weight > 0 {
			route.Services = append(route.Services, s)
		}
	}
	tp.store.put(port.TopicConfiguration, configurationKey, c)
}

// splitEndpoint returns an endpoint of a service whose id begins with the service and the digit of its version.
func splitEndpoint(id string) fleet.Endpoint {
	e := endpoint(id, id[:3])
	e.Version = "v" + id[3:4]
	return e
}

// startSplit starts hosts and endpoints of two services between which a route is split.
func startSplit(t *testing.T, first, second float64, ids ...string) *continuation {
	tp := newTestPlatform()
	tp.splitRoute(1, first, second)
	for _, id := range ids {
		tp.store.put(port.TopicEndpoints, id, splitEndpoint(id))
	}
	stalled := &sync.Map{}
	tp.wrapPeers = func(host string, peers port.Peers) port.Peers { return stalledPeers{peers, host, stalled} }
	c := tp.startContinuation(t, 5)
	c.stalled = stalled
	c.writer = func(f *port.Forward) string { return f.Endpoint[:4] }
	return c
}

// stallConfiguration keeps a host from reading further configurations, directly or through its relay.
func (c *continuation) stallConfiguration(g *Gateway, stalled bool) {
	g.ports.Store.(*hostStore).stalled.Store(port.TopicConfiguration, stalled)
	c.stalled.Store(g.opts.Host, stalled)
	time.Sleep(time.Second) // reads that are held
}

// haveVersions checks which versions of the configuration the first two hosts have in force.
func (c *continuation) haveVersions(t *testing.T, first, second int64) {
	is.New(t).Equal(c.hosts[0].catalog.Current().Version, first)
	is.New(t).Equal(c.hosts[1].catalog.Current().Version, second)
}

// stalledPeers leaves reads of the configuration by the hosts in stalled (name to true) without an answer.
type stalledPeers struct {
	port.Peers
	host    string
	stalled *sync.Map
}

func (p stalledPeers) Call(ctx context.Context, address, method string, params, result any) error {
	read, ok := params.(readRequest)
	if stalled, _ := p.stalled.Load(p.host); ok && read.Topic == port.TopicConfiguration && stalled == true {
		<-ctx.Done()
		return port.ErrPeerBroken
	}
	return p.Peers.Call(ctx, address, method, params, result)
}

// TestStreamsContinueAtTheirService guards against callers who get a text that two services wrote, or none, since the
// service of a stream that they continue was taken from their new request and the present configuration (incident 0021).
func TestStreamsContinueAtTheirService(t *testing.T) {
	t.Parallel()
	const streams = 24
	release := []string{"one1a", "one1b", "one2a", "one2b", "two3a", "two3b"}
	oneEach := []string{"one1a", "one1b", "two2a", "two2b"}
	sameNames := []string{"one1a", "one1b", "two1a", "two1b"}
	type play func(*testing.T, *continuation) (wentOn int, refused []*problem.Problem)
	// moved plays a change of the weights while streams are in progress, after which their host is gone.
	moved := func(first, second float64) play {
		return func(t *testing.T, c *continuation) (int, []*problem.Problem) {
			ids := c.begin(t.Context(), c.hosts[0], streams)
			c.splitRoute(2, first, second)
			time.Sleep(3300 * time.Millisecond)
			c.fail(t, c.hosts[0])
			return c.resume(t, c.hosts[1], ids)
		}
	}
	unchanged := func(t *testing.T, c *continuation) (int, []*problem.Problem) {
		ids := c.begin(t.Context(), c.hosts[0], streams)
		c.fail(t, c.hosts[0])
		return c.resume(t, c.hosts[1], ids)
	}
	for name, tc := range map[string]struct {
		first, second float64 // weights
		endpoints     []string
		play          play
		wentOn        int // at least
		most          int // at most
	}{
		"weights turned round, a release":            {95, 5, release, moved(5, 95), streams, streams},
		"weights turned round, one version each":     {95, 5, oneEach, moved(5, 95), streams, streams},
		"weights turned round, same names":           {95, 5, sameNames, moved(5, 95), streams, streams},
		"weights unchanged, one version each":        {50, 50, oneEach, unchanged, streams, streams},
		"weights unchanged, same names":              {50, 50, sameNames, unchanged, streams, streams},
		"the route is split":                         {1, 0, oneEach, moved(50, 50), streams, streams},
		"the route no longer leads to the service":   {1, 0, oneEach, moved(0, 1), 0, 0},
		"the route moves on, two versions each":      {1, 0, release, moved(0, 1), 0, 0},
		"it moves on, and the versions' names match": {1, 0, sameNames, moved(0, 1), 0, 0},
		"weights turned round after the host is gone": {95, 5, oneEach, func(t *testing.T, c *continuation) (int, []*problem.Problem) {
			ids := c.begin(t.Context(), c.hosts[0], streams)
			c.fail(t, c.hosts[0])
			c.splitRoute(2, 5, 95)
			time.Sleep(3300 * time.Millisecond)
			return c.resume(t, c.hosts[1], ids)
		}, 0, streams},
		"begun under a configuration that the next host has yet to read": {95, 5, oneEach, func(t *testing.T, c *continuation) (int, []*problem.Problem) {
			c.stallConfiguration(c.hosts[1], true)
			c.splitRoute(2, 5, 95)
			time.Sleep(1500 * time.Millisecond)
			c.haveVersions(t, 2, 1)
			ids := c.begin(t.Context(), c.hosts[0], streams)
			time.Sleep(200 * time.Millisecond)
			c.fail(t, c.hosts[0])
			return c.resume(t, c.hosts[1], ids)
		}, streams, streams},
		"begun under a configuration that the next host has yet to read, no time to tell": {95, 5, oneEach, func(t *testing.T, c *continuation) (int, []*problem.Problem) {
			c.stallConfiguration(c.hosts[1], true)
			c.splitRoute(2, 5, 95)
			time.Sleep(700 * time.Millisecond)
			c.haveVersions(t, 2, 1)
			ids := c.begin(t.Context(), c.hosts[0], streams)
			c.fail(t, c.hosts[0])
			return c.resume(t, c.hosts[1], ids)
		}, 0, streams},
		"begun under the older of two configurations": {95, 5, oneEach, func(t *testing.T, c *continuation) (int, []*problem.Problem) {
			c.stallConfiguration(c.hosts[0], true)
			c.splitRoute(2, 5, 95)
			time.Sleep(1500 * time.Millisecond)
			c.haveVersions(t, 1, 2)
			ids := c.begin(t.Context(), c.hosts[0], streams)
			return c.resume(t, c.hosts[1], ids)
		}, streams, streams},
		"begun under the older of two configurations, the host is gone": {95, 5, oneEach, func(t *testing.T, c *continuation) (int, []*problem.Problem) {
			c.stallConfiguration(c.hosts[0], true)
			c.splitRoute(2, 5, 95)
			time.Sleep(1500 * time.Millisecond)
			c.haveVersions(t, 1, 2)
			ids := c.begin(t.Context(), c.hosts[0], streams)
			c.fail(t, c.hosts[0])
			return c.resume(t, c.hosts[1], ids)
		}, 0, streams},
		"begun under a configuration that the next host has skipped": {95, 5, oneEach, func(t *testing.T, c *continuation) (int, []*problem.Problem) {
			c.stallConfiguration(c.hosts[1], true)
			c.splitRoute(2, 5, 95)
			time.Sleep(1500 * time.Millisecond)
			c.haveVersions(t, 2, 1)
			ids := c.begin(t.Context(), c.hosts[0], streams)
			time.Sleep(1200 * time.Millisecond) // the hosts report once a second
			c.splitRoute(3, 95, 5)
			c.stallConfiguration(c.hosts[1], false)
			time.Sleep(2 * time.Second)
			c.haveVersions(t, 3, 3)
			c.fail(t, c.hosts[0])
			return c.resume(t, c.hosts[1], ids)
		}, streams, streams},
		"all hosts are gone": {50, 50, oneEach, func(t *testing.T, c *continuation) (int, []*problem.Problem) {
			ids := c.begin(t.Context(), c.hosts[0], streams)
			time.Sleep(time.Second)
			for _, g := range c.hosts {
				c.fail(t, g)
			}
			g := c.startLate(t, "late")
			time.Sleep(settleTime)
			return c.resume(t, g, ids)
		}, streams, streams},
		"all hosts are gone after a change": {95, 5, oneEach, func(t *testing.T, c *continuation) (int, []*problem.Problem) {
			ids := c.begin(t.Context(), c.hosts[0], streams)
			c.splitRoute(2, 5, 95)
			time.Sleep(3 * time.Second)
			for _, g := range c.hosts {
				c.fail(t, g)
			}
			g := c.startLate(t, "late")
			time.Sleep(settleTime)
			return c.resume(t, g, ids)
		}, 0, streams},
		"all hosts are gone, and the weights change before they are back": {95, 5, oneEach, func(t *testing.T, c *continuation) (int, []*problem.Problem) {
			ids := c.begin(t.Context(), c.hosts[0], streams)
			time.Sleep(2 * time.Second)
			for _, g := range c.hosts {
				c.fail(t, g)
			}
			c.splitRoute(2, 5, 95)
			g := c.startLate(t, "late")
			time.Sleep(settleTime)
			return c.resume(t, g, ids)
		}, 0, streams},
		"at a host that starts after a change": {95, 5, oneEach, func(t *testing.T, c *continuation) (int, []*problem.Problem) {
			ids := c.begin(t.Context(), c.hosts[0], streams)
			c.splitRoute(2, 5, 95)
			time.Sleep(2 * time.Second)
			g := c.startLate(t, "late")
			time.Sleep(settleTime)
			c.fail(t, c.hosts[0])
			return c.resume(t, g, ids)
		}, streams, streams},
		"at a host that starts after a change, the first host gone before": {95, 5, oneEach, func(t *testing.T, c *continuation) (int, []*problem.Problem) {
			ids := c.begin(t.Context(), c.hosts[0], streams)
			c.fail(t, c.hosts[0])
			c.splitRoute(2, 5, 95)
			time.Sleep(2 * time.Second)
			g := c.startLate(t, "late")
			time.Sleep(settleTime)
			return c.resume(t, g, ids)
		}, 0, streams},
		"a host that starts after a change of other routes": {50, 50, oneEach, func(t *testing.T, c *continuation) (int, []*problem.Problem) {
			ids := c.begin(t.Context(), c.hosts[0], streams)
			c.splitRoute(2, 50, 50)
			time.Sleep(2 * time.Second)
			g := c.startLate(t, "late")
			time.Sleep(settleTime)
			c.fail(t, c.hosts[0])
			return c.resume(t, g, ids)
		}, streams, streams},
		"a route that is removed and comes back elsewhere": {1, 0, oneEach, func(t *testing.T, c *continuation) (int, []*problem.Problem) {
			ids := c.begin(t.Context(), c.hosts[0], streams)
			removed := configuration(2)
			removed.Routes = removed.Routes[:3]
			c.store.put(port.TopicConfiguration, configurationKey, removed)
			time.Sleep(1500 * time.Millisecond)
			c.splitRoute(3, 0, 1)
			time.Sleep(3 * time.Second)
			return c.resume(t, c.hosts[1], ids)
		}, 0, 0},
		"a record of an older build": {50, 50, sameNames, func(t *testing.T, c *continuation) (int, []*problem.Problem) {
			ids := c.begin(t.Context(), c.hosts[0], streams)
			c.fail(t, c.hosts[0])
			raw, err := json.Marshal(map[string]any{"s": map[string][]string{"v1": ids}})
			is.New(t).NoErr(err)
			_, err = c.hosts[1].serveStreamsBegan(t.Context(), raw)
			is.New(t).NoErr(err)
			return c.resume(t, c.hosts[1], ids)
		}, streams, streams},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := startSplit(t, tc.first, tc.second, tc.endpoints...)
				wentOn, refused := tc.play(t, c)
				t.Logf("%d of %d went on", wentOn, streams)
				is.True(wentOn >= tc.wentOn)
				is.True(wentOn <= tc.most)
				for _, p := range refused {
					is.Equal(p.Run, problem.RunNot)
					is.Equal(p.Status, 503)
				}
			})
		})
	}
}

// TestUnchangedSplitNeedsNoRecords guards against calls of all hosts for each stream on a route that is always split: the
// request that began a stream tells the service as long as the route does not change.
func TestUnchangedSplitNeedsNoRecords(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startSplit(t, 50, 50, "one1a", "one1b", "two2a", "two2b")
		c.begin(t.Context(), c.hosts[0], 24)
		c.splitRoute(2, 50, 50)
		time.Sleep(4 * time.Second)
		c.begin(t.Context(), c.hosts[0], 24)
		time.Sleep(time.Second)
		is.Equal(c.peers.count(methodStreamsBegan), 0)
	})
}
