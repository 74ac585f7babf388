package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/adapter/tunnel"
	"github.com/cicadanotch/cicadanotch/gateway"
	"github.com/cicadanotch/cicadanotch/platform"
	"github.com/cicadanotch/cicadanotch/platform/platformtest"
)

// cutVariable names a file of a process: while it exists, the process cannot open connections to endpoints.
const cutVariable = "SOAK_CUT"

// cutWhile returns a function that makes new connections to endpoints hang while a file exists.
func cutWhile(path string) func(*gateway.Ports) {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if _, err := os.Stat(path); err == nil {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	return func(p *gateway.Ports) {
		endpoints := platform.NewEndpoints(dial)
		endpoints.DialVia = tunnel.NewClient(nil).DialEndpoint
		p.Endpoints, p.IdleConnections = endpoints, endpoints
	}
}

// cutOffHost is a host that is cut off from all endpoints beside others that are not.
type cutOffHost struct {
	*fixture
	cut       *host
	endpoints []*platformtest.Endpoint
	client    *http.Client
	deadline  time.Duration // of the requests sent
	calls     sync.WaitGroup

	mu      sync.Mutex
	answers map[string]platformtest.Answer
	sentAt  map[string]time.Time
	endedAt map[string]time.Time
}

// newCutOff starts hosts, of which the first is cut off, and returns when it knows that. Hosts with other commands stand beside
// those that help it.
func newCutOff(t *testing.T, base, helpers int, duration, event time.Duration, others ...func() *exec.Cmd) *cutOffHost {
	const findInterval = 200 * time.Millisecond
	f := newFixture(t, base)
	c := &cutOffHost{
		fixture: f, deadline: 24 * time.Second, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}},
		answers: map[string]platformtest.Answer{}, sentAt: map[string]time.Time{}, endedAt: map[string]time.Time{},
	}
	f.store.ConfigureTimeout(1, 25*time.Second)
	for i := range 6 {
		e := f.endpoint(fmt.Sprint("i-api", i), "v1", duration)
		f.store.Register(e.ID, e.Entry("api", "a", "ready"))
		s := f.endpoint(fmt.Sprint("i-llm", i), "v1", 8*event)
		f.store.Register(s.ID, s.Entry("llm", "a", "ready"))
		c.endpoints = append(c.endpoints, e, s)
	}
	cutFile := filepath.Join(t.TempDir(), "cut")
	f.command = func() *exec.Cmd {
		cmd := command("")()
		cmd.Env = append(cmd.Env, cutVariable+"="+cutFile)
		return cmd
	}
	f.startHosts(1)
	for _, f.command = range others {
		f.startHosts(1)
	}
	f.command = nil
	f.startHosts(helpers)
	c.cut = f.hosts[0]
	is.New(t).NoErr(os.WriteFile(cutFile, nil, 0o644))
	leaves, cancel := context.WithCancel(t.Context()) // callers that leave use no retries in the test
	defer cancel()
	for _, path := range []string{"/get/1", "/stream/1"} {
		f.await("the host goes through another", func() bool {
			for n := range 4 {
				c.calls.Go(func() { c.send(leaves, fmt.Sprint("finds", path, n, time.Now().UnixNano()), path) })
			}
			time.Sleep(findInterval)
			return c.lost(map[string]string{"/get/1": "api", "/stream/1": "llm"}[path])
		})
	}
	return c
}

// lost reports whether the first host says that it is cut off from a service.
func (c *cutOffHost) lost(service string) bool {
	log, err := os.ReadFile(filepath.Join(c.cut.dir, c.cut.Name+".log"))
	is.New(c.t).NoErr(err)
	return regexp.MustCompile(`"event":"reach","service":"` + service + `","cut_off":true`).Match(log)
}

// send sends a request to the host that is cut off, and records its answer.
func (c *cutOffHost) send(ctx context.Context, id, path string) platformtest.Answer {
	at := time.Now()
	a := platformtest.Send(ctx, c.client, c.cut.Front, platformtest.Request{
		ID: id, Path: path, Key: "secret", Stream: path == "/stream/1", Deadline: c.deadline,
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[id], c.sentAt[id], c.endedAt[id] = a, at, time.Now()
	return a
}

// runs returns how often each request ran.
func (c *cutOffHost) runs() map[string]int {
	out := map[string]int{}
	for _, e := range c.endpoints {
		for _, run := range e.Runs() {
			out[run.Attempt]++
		}
	}
	return out
}

// TestHelpingHostStops guards against requests that are lost because a host is told to stop that carries them for one that is
// cut off: those that end within its grace period end through it, all others go through another host from SIGTERM on. The
// same holds if the host that is cut off stops a second later; it refuses then what it cannot end.
func TestHelpingHostStops(t *testing.T) {
	for n, tc := range []struct {
		name string
		both bool
	}{{"the other goes on", false}, {"both stop", true}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCutOff(t, 6000+n, 2, 300*time.Millisecond, 100*time.Millisecond)
			c.deadline = 3 * time.Second // a stopping host accepts what ends before it does
			helper := c.hosts[1]
			helper.stopsForGood()
			stopAt := time.Now().Add(time.Second)
			time.AfterFunc(time.Until(stopAt), func() { terminate(helper) })
			if tc.both {
				c.cut.stopsForGood()
				time.AfterFunc(time.Until(stopAt)+time.Second, func() { terminate(c.cut) })
			}
			var ids []string
			for n := 0; time.Since(stopAt) < gracePeriod+time.Second; n++ {
				path := []string{"/order/1", "/stream/1"}[n%2]
				id := fmt.Sprint("r", n)
				ids = append(ids, id)
				c.calls.Go(func() { c.send(t.Context(), id, path) })
				time.Sleep(50 * time.Millisecond)
			}
			c.calls.Wait()
			<-helper.ended
			runs, served, refused := c.runs(), 0, 0
			for _, id := range ids {
				a := c.answers[id]
				switch {
				case a.Err == nil && a.Status == http.StatusOK:
					served++
					continue
				case tc.both && (errors.Is(a.Err, syscall.ECONNREFUSED) || a.Err == nil && a.Status == http.StatusServiceUnavailable) && runs[id] == 0:
					refused++
					continue
				}
				t.Errorf("%s, sent %.2f s after SIGTERM, ran %d times: %d %v", id, c.sentAt[id].Sub(stopAt).Seconds(), runs[id], a.Status, a.Err)
			}
			t.Logf("%d of %d served, %d refused", served, len(ids), refused)
			is.True(served > 0)
		})
	}
}

// TestHelpingHostStopsBeforeItsTunnelsEnd: of what outlasts a helping host that stops, streams go on through another host, and
// callers of orders are told at once that their outcome is unknown. No order runs twice.
func TestHelpingHostStopsBeforeItsTunnelsEnd(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const each = 8
	c := newCutOff(t, 6002, 2, 10*time.Second, 1400*time.Millisecond)
	helper := c.hosts[1]
	helper.stopsForGood()
	for n := range each {
		c.calls.Go(func() { c.send(t.Context(), fmt.Sprint("order", n), "/order/1") })
		c.calls.Go(func() { c.send(t.Context(), fmt.Sprint("stream", n), "/stream/1") })
	}
	time.Sleep(time.Second)
	helper.signal(syscall.SIGTERM)
	stopAt := time.Now()
	<-helper.ended
	goneAt := time.Now()
	c.calls.Wait()
	runs := c.runs()
	streams, orders, unknown := 0, 0, 0
	for id, a := range c.answers {
		if strings.HasPrefix(id, "finds") {
			continue
		}
		t.Logf("%s: %d %v after %.2f s, ran %d times, %.60q", id, a.Status, a.Err, c.endedAt[id].Sub(c.sentAt[id]).Seconds(), runs[id], a.Body)
		switch {
		case id[0] == 's':
			is.Equal(a.Body, platformtest.CompleteStream("v1", 0))
			streams++
		case a.Status == http.StatusOK:
			orders++
		default:
			is.Equal(a.Status, http.StatusBadGateway)
			unknown++
		}
		if id[0] == 'o' {
			is.Equal(runs[id], 1)
		}
	}
	log, err := os.ReadFile(filepath.Join(helper.dir, helper.Name+".log"))
	is.NoErr(err)
	stopped := regexp.MustCompile(`"event":"stopped","in_progress":0,"carried":(\d+)`).FindSubmatch(log)
	is.True(stopped != nil) // the line says how many connections of others the end cuts
	t.Logf("gone %.2f s after SIGTERM: %d streams whole, %d orders served, %d of unknown outcome", goneAt.Sub(stopAt).Seconds(), streams, orders, unknown)
	is.True(string(stopped[1]) != "0" || unknown == 0)
	is.Equal(streams, each)
}
