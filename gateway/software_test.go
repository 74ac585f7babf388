package gateway

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/fleet"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
)

// softwareEndpoint returns an endpoint of the engine service; its version is "v" and the first digit of id.
func softwareEndpoint(id string) fleet.Endpoint {
	e := endpoint(id, "llm")
	e.Version = "v" + id[:1]
	return e
}

func softwareOf(f *port.Forward) string { return "v" + f.Endpoint[:1] }

// publishSoftware lists endpoints of the engine service, see softwareEndpoint.
func (tp *testPlatform) publishSoftware(ids ...string) {
	var all []fleet.Endpoint
	for _, id := range ids {
		all = append(all, softwareEndpoint(id))
	}
	tp.publish(all...)
}

// position returns the id of the last event that the caller of an attempt has.
func position(f *port.Forward) int {
	after := 0
	if _, err := fmt.Sscan(f.After, &after); err != nil {
		_, _ = fmt.Sscan(f.ResumeAfter, &after) // empty at the start
	}
	return after
}

// TestStreamContinuesAtItsVersion guards against an answer with events of two software versions
// (incident 0004): an endpoint fails in the middle of a stream, and another one continues it.
func TestStreamContinuesAtItsVersion(t *testing.T) {
	t.Parallel()
	const requests = 20
	for name, tc := range map[string]struct {
		endpoints []string
		hosts     int // of the zone; one of several chooses endpoints for all
		sent      int // events before the failure
		continued bool
	}{
		"another endpoint of the version":            {[]string{"11", "12", "21", "22"}, 1, 3, true},
		"another endpoint of the version, by placer": {[]string{"11", "12", "21", "22"}, 4, 3, true},
		"no other endpoint of the version":           {[]string{"11", "21"}, 1, 3, false},
		"no other endpoint of the version, placer":   {[]string{"11", "21"}, 4, 3, false},
		"before the first event, any version":        {[]string{"11", "21"}, 1, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tp := newTestPlatform()
				tp.publishSoftware(tc.endpoints...)
				tp.endpoints.respond = func(ctx context.Context, f *port.Forward, n int) (*port.Reply, error) {
					if n == 1 {
						return streamReply(ctx, f, port.ErrBroken, time.Millisecond, events(1, tc.sent)...), nil
					}
					return streamReply(ctx, f, io.EOF, time.Millisecond, events(position(f)+1, 6)...), nil
				}
				tp.startZone(t, tc.hosts)
				time.Sleep(settleTime)
				for n := range requests {
					id := fmt.Sprint("req", n)
					r := sendRequest(t.Context(), tp.hosts[n%tc.hosts], id, "resume")
					sent := tp.endpoints.attempts(id)
					is.Equal(r.aborted, !tc.continued)
					if !tc.continued {
						is.Equal(len(sent), 1) // nothing is sent to the other version
						is.Equal(r.body.String(), strings.Join(events(1, tc.sent), ""))
						continue
					}
					is.Equal(len(sent), 2)
					is.Equal(r.body.String(), strings.Join(events(1, 6), ""))
					is.True(tc.sent == 0 || softwareOf(sent[0]) == softwareOf(sent[1]))
				}
			})
		})
	}
}

// TestLeavingEndpointKeepsItsVersionsStreams guards against streams that a leaving endpoint hands over to
// another software version, and against streams cut although no other endpoint could continue them.
func TestLeavingEndpointKeepsItsVersionsStreams(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		route string
		other []string // endpoints beside the leaving one, "11"
		at    string   // where the stream continues; empty if it stays
		full  bool     // the others have no room
	}{
		"moved within the version":            {"stream", []string{"21", "12", "22"}, "12", false},
		"only other versions: not moved":      {"stream", []string{"21", "22"}, "", false},
		"resumed within the version":          {"resume", []string{"21", "12", "22"}, "12", false},
		"only other versions: not broken off": {"resume", []string{"21", "22"}, "", false},
		"the others are full: not broken off": {"resume", []string{"12", "13"}, "", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tp := newTestPlatform()
				tp.publishSoftware("11")
				tp.endpoints.full = func(string) bool { return tc.full }
				tp.endpoints.respond = func(ctx context.Context, f *port.Forward, n int) (*port.Reply, error) {
					if tc.full && f.Endpoint != "11" {
						return declinedReply(f), nil
					}
					return streamReply(ctx, f, io.EOF, 150*time.Millisecond, events(position(f)+1, 15)...), nil
				}
				var targets []string // addresses that a copy is sent to
				tp.endpoints.move = func(_ string, m port.StreamMove) (string, error) {
					targets = append(targets, m.Target)
					return "", port.ErrMoveFailed // the stream goes on where it is
				}
				g := tp.startHost(t, testOptions("h1"))
				time.Sleep(settleTime)
				time.AfterFunc(400*time.Millisecond, func() { tp.publishSoftware(tc.other...) })
				time.AfterFunc(1200*time.Millisecond, func() {
					e := softwareEndpoint("11")
					e.State, e.Leaving, e.Leaves = fleet.StateDraining, true, 800*time.Millisecond
					tp.store.put(port.TopicEndpoints, e.ID, e)
				})
				r := sendRequest(t.Context(), g, "req", tc.route)
				sent := tp.endpoints.attempts("req")
				is.Equal(r.aborted, false)
				is.Equal(r.body.String(), strings.Join(events(1, 15), ""))
				switch {
				case tc.at == "":
					is.Equal(len(sent), 1)
					is.Equal(len(targets), 0)
				case tc.route == "resume":
					is.Equal(len(sent), 2)
					is.Equal(sent[1].Endpoint, tc.at)
				default:
					is.Equal(targets, []string{softwareEndpoint(tc.at).Address})
				}
			})
		})
	}
}

// continuation is a test of streams that their callers continue.
type continuation struct {
	*testPlatform
	peers *memoryPeers
	begun int // streams
	// writer returns what wrote the events of an attempt: a stream must not have those of two.
	writer func(*port.Forward) string
	// stalled holds the hosts that read no further configuration, see stallConfiguration.
	stalled *sync.Map
}

// startContinuation starts hosts and endpoints that break off each stream after two events at each attempt,
// until its caller continues it.
func startContinuation(t *testing.T, hosts int, ids ...string) *continuation {
	tp := newTestPlatform()
	tp.publishSoftware(ids...)
	return tp.startContinuation(t, hosts)
}

func (tp *testPlatform) startContinuation(t *testing.T, hosts int) *continuation {
	tp.endpoints.respond = func(ctx context.Context, f *port.Forward, n int) (*port.Reply, error) {
		after := position(f)
		if f.ResumeAfter == "" {
			return streamReply(ctx, f, port.ErrBroken, time.Millisecond, events(after+1, after+2)...), nil
		}
		return streamReply(ctx, f, io.EOF, time.Millisecond, events(after+1, 9)...), nil
	}
	c := &continuation{testPlatform: tp, peers: tp.startZone(t, hosts), writer: softwareOf}
	time.Sleep(settleTime)
	return c
}

// begin sends n new streams through a host; all are broken off.
func (c *continuation) begin(ctx context.Context, g *Gateway, n int) []string {
	ids := make([]string, n)
	for i := range ids {
		c.begun++
		ids[i] = fmt.Sprintf("%s-%d", g.opts.Host, c.begun)
		sendRequest(ctx, g, ids[i], "resume")
	}
	return ids
}

// resume continues streams through a host. It returns how many go on, and the refusals of the others; it fails
// the test if one goes on at another writer.
func (c *continuation) resume(t *testing.T, g *Gateway, origins []string) (wentOn int, refused []*problem.Problem) {
	t.Helper()
	for _, origin := range origins {
		r := &recorder{}
		id := "of-" + origin + "-at-" + g.opts.Host
		g.Serve(t.Context(), time.Now(), &port.Request{
			ID: id, Method: "GET", Host: "x", Path: "/resume/1", Target: "/resume/1", Key: "key", CallerTimeout: 3 * time.Second,
			HasTokens: true, PromptTokens: 800, AnswerTokens: 90, Origin: origin, ResumeAfter: "4",
		}, r)
		for _, f := range c.endpoints.attempts(id) {
			if want := c.writer(c.endpoints.attempts(origin)[0]); c.writer(f) != want {
				t.Errorf("stream %s began at %s and goes on at %s", origin, want, c.writer(f))
			}
		}
		if r.problem == nil && !r.aborted {
			wentOn++
			continue
		}
		refused = append(refused, r.problem)
	}
	return wentOn, refused
}

// fail makes a host unreachable for the others and ends its process.
func (c *continuation) fail(t *testing.T, g *Gateway) {
	c.peers.setUnresponsive(g.opts.Peer, true)
	is.New(t).NoErr(g.Stop())
}

// startLate starts a further host.
func (c *continuation) startLate(t *testing.T, name string) *Gateway {
	o := hostOptions(name)
	o.Peer = "10.0.1.1:7600"
	g := c.startHost(t, o)
	c.peers.mu.Lock()
	c.peers.hosts[o.Peer] = g.PeerHandlers()
	c.peers.mu.Unlock()
	return g
}

// TestCallersContinueAtTheVersionThatBegan guards against callers who get events of two software versions
// over their requests (incident 0004), and against refusing those that can go on.
func TestCallersContinueAtTheVersionThatBegan(t *testing.T) {
	t.Parallel()
	const streams = 24
	releases := []string{"11", "12", "21", "22"}
	for name, tc := range map[string]struct {
		endpoints []string
		play      func(*testing.T, *continuation) (wentOn int, refused []*problem.Problem)
		wentOn    int // at least
		most      int // at most
	}{
		"at the same host": {releases, func(t *testing.T, c *continuation) (int, []*problem.Problem) {
			return c.resume(t, c.hosts[0], c.begin(t.Context(), c.hosts[0], streams))
		}, streams, streams},
		"at another host, at once": {releases, func(t *testing.T, c *continuation) (int, []*problem.Problem) {
			return c.resume(t, c.hosts[1], c.begin(t.Context(), c.hosts[0], streams))
		}, streams, streams},
		"the first host is gone": {releases, func(t *testing.T, c *continuation) (int, []*problem.Problem) {
			ids := c.begin(t.Context(), c.hosts[0], streams)
			time.Sleep(200 * time.Millisecond)
			c.fail(t, c.hosts[0])
			return c.resume(t, c.hosts[1], ids)
		}, streams, streams},
		"two hosts are gone": {releases, func(t *testing.T, c *continuation) (int, []*problem.Problem) {
			ids := c.begin(t.Context(), c.hosts[0], streams)
			time.Sleep(200 * time.Millisecond)
			c.fail(t, c.hosts[0])
			c.fail(t, c.hosts[2])
			return c.resume(t, c.hosts[1], ids)
		}, streams, streams},
		"the first host is gone within milliseconds": {releases, func(t *testing.T, c *continuation) (int, []*problem.Problem) {
			ids := c.begin(t.Context(), c.hosts[0], streams)
			c.fail(t, c.hosts[0])
			return c.resume(t, c.hosts[1], ids)
		}, 0, streams},
		"at a host that has just started": {releases, func(t *testing.T, c *continuation) (int, []*problem.Problem) {
			ids := c.begin(t.Context(), c.hosts[0], streams)
			g := c.startLate(t, "late")
			time.Sleep(settleTime)
			return c.resume(t, g, ids)
		}, streams, streams},
		"at a host that starts as all others are gone": {releases, func(t *testing.T, c *continuation) (int, []*problem.Problem) {
			ids := c.begin(t.Context(), c.hosts[0], streams)
			time.Sleep(time.Second)
			for _, g := range c.hosts {
				c.fail(t, g)
			}
			g := c.startLate(t, "late")
			time.Sleep(settleTime)
			return c.resume(t, g, ids)
		}, 0, 0},
		"all hosts are gone, and one version has left": {releases, func(t *testing.T, c *continuation) (int, []*problem.Problem) {
			ids := c.begin(t.Context(), c.hosts[0], streams)
			c.store.remove(port.TopicEndpoints, "11")
			c.store.remove(port.TopicEndpoints, "12")
			time.Sleep(3 * time.Second)
			for _, g := range c.hosts {
				c.fail(t, g)
			}
			g := c.startLate(t, "late")
			time.Sleep(settleTime)
			return c.resume(t, g, ids)
		}, 0, 0},
		"one version only, all hosts are gone": {[]string{"11", "12"}, func(t *testing.T, c *continuation) (int, []*problem.Problem) {
			ids := c.begin(t.Context(), c.hosts[0], streams)
			time.Sleep(time.Second)
			for _, g := range c.hosts {
				c.fail(t, g)
			}
			g := c.startLate(t, "late")
			time.Sleep(settleTime)
			return c.resume(t, g, ids)
		}, streams, streams},
		"one version only, all hosts are gone, and it was replaced meanwhile": {[]string{"11", "12"}, func(t *testing.T, c *continuation) (int, []*problem.Problem) {
			ids := c.begin(t.Context(), c.hosts[0], streams)
			time.Sleep(3 * time.Second)
			for _, g := range c.hosts {
				c.fail(t, g)
			}
			c.store.remove(port.TopicEndpoints, "11")
			c.store.remove(port.TopicEndpoints, "12")
			c.publishSoftware("21", "22")
			g := c.startLate(t, "late")
			time.Sleep(settleTime)
			return c.resume(t, g, ids)
		}, 0, 0},
		"a second version appears after the streams began": {[]string{"11", "12"}, func(t *testing.T, c *continuation) (int, []*problem.Problem) {
			ids := c.begin(t.Context(), c.hosts[0], streams)
			c.publishSoftware("21", "22")
			time.Sleep(2 * time.Second)
			c.fail(t, c.hosts[0])
			return c.resume(t, c.hosts[1], ids)
		}, streams, streams},
		"at a host that is cut off in a release": {[]string{"11", "12"}, func(t *testing.T, c *continuation) (int, []*problem.Problem) {
			cut := c.hosts[1]
			cut.ports.Store.(*hostStore).unreachable.Store(true)
			for _, g := range c.hosts {
				c.peers.setUnresponsive(g.opts.Peer, true)
			}
			time.Sleep(2 * time.Second)
			c.publishSoftware("21", "22")
			time.Sleep(6 * time.Second)
			return c.resume(t, cut, c.begin(t.Context(), c.hosts[0], streams))
		}, 0, 0},
		"one version, the store is away and the first host gone": {[]string{"11", "12"}, func(t *testing.T, c *continuation) (int, []*problem.Problem) {
			ids := c.begin(t.Context(), c.hosts[0], streams)
			for _, g := range c.hosts {
				g.ports.Store.(*hostStore).unreachable.Store(true)
			}
			time.Sleep(4 * time.Second)
			c.fail(t, c.hosts[0])
			return c.resume(t, c.hosts[1], ids)
		}, streams, streams},
		"a host is cut off with others that know no more": {[]string{"11", "12"}, func(t *testing.T, c *continuation) (int, []*problem.Problem) {
			for _, g := range c.hosts[1:3] {
				g.ports.Store.(*hostStore).unreachable.Store(true)
			}
			c.peers.setUnresponsive(c.hosts[0].opts.Peer, true)
			c.peers.setUnresponsive(c.hosts[3].opts.Peer, true)
			c.peers.setUnresponsive(c.hosts[4].opts.Peer, true)
			time.Sleep(2 * time.Second)
			c.publishSoftware("21", "22")
			time.Sleep(6 * time.Second)
			return c.resume(t, c.hosts[1], c.begin(t.Context(), c.hosts[0], streams))
		}, 0, 0},
		"a third time, at a third host": {releases, func(t *testing.T, c *continuation) (int, []*problem.Problem) {
			ids := c.begin(t.Context(), c.hosts[0], streams)
			time.Sleep(200 * time.Millisecond)
			c.fail(t, c.hosts[0])
			if n, _ := c.resume(t, c.hosts[1], ids); n != streams {
				return n, nil
			}
			c.fail(t, c.hosts[1])
			return c.resume(t, c.hosts[2], ids)
		}, streams, streams},
		"the version has no endpoint left": {releases, func(t *testing.T, c *continuation) (int, []*problem.Problem) {
			ids := c.begin(t.Context(), c.hosts[0], streams)
			c.store.remove(port.TopicEndpoints, "11")
			c.store.remove(port.TopicEndpoints, "12")
			time.Sleep(time.Second)
			return c.resume(t, c.hosts[1], ids)
		}, 0, streams},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := startContinuation(t, 5, tc.endpoints...)
				wentOn, refused := tc.play(t, c)
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

// TestOneVersionNeedsNoRecords: while a service has one software version, hosts tell one another nothing of the
// streams that begin.
func TestOneVersionNeedsNoRecords(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startContinuation(t, 5, "11", "12")
		c.begin(t.Context(), c.hosts[0], 24)
		time.Sleep(2 * time.Second)
		is.Equal(c.peers.count("gateway.streams-began"), 0)
	})
}

// TestHoldersThatFailAreLeftAlone guards against a call every tellDelay, and a log line of each, to a host that
// does not answer.
func TestHoldersThatFailAreLeftAlone(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startContinuation(t, 5, "11", "12", "21", "22")
		for _, g := range c.hosts[1:] {
			c.peers.setUnresponsive(g.opts.Peer, true)
		}
		before := c.peers.count(methodStreamsBegan)
		for range 40 {
			c.begin(t.Context(), c.hosts[0], 1)
			time.Sleep(50 * time.Millisecond)
		}
		is.True(c.peers.count(methodStreamsBegan)-before <= 4*3) // each of four hosts once in tellBackoff, and the calls under way at first
		for _, g := range c.hosts[1:] {
			c.peers.setUnresponsive(g.opts.Peer, false)
		}
		time.Sleep(2 * time.Second)
		told := 0
		for _, g := range c.hosts[1:] {
			told += g.lineage.table.Len()
		}
		is.True(told >= 2*40) // all streams are told once the holders answer
	})
}
