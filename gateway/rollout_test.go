package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/fleet"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/rollout"
)

const testRolloutKey = "rollout/"

func decodeTestRollout(key string, raw []byte) (string, rollout.Order, error) {
	service, ok := strings.CutPrefix(key, testRolloutKey)
	if !ok || len(raw) == 0 {
		return service[:len(service)*map[bool]int{true: 1}[ok]], rollout.Order{}, nil
	}
	var o rollout.Order
	err := json.Unmarshal(raw, &o)
	return service, o, err
}

func encodeTestStatus(o rollout.Order, state rollout.State) (port.TopicRecord, error) {
	return port.TopicRecord{Key: testRolloutKey + o.Service, Value: []byte(string(state) + " " + o.Target)}, nil
}

// versionedEndpoint returns an endpoint whose version is "v" and the first digit of id.
func versionedEndpoint(service, id string) fleet.Endpoint {
	e := endpoint(id, service)
	e.Version = "v" + id[:1]
	return e
}

// sending is a request that reached an endpoint.
type sending struct {
	at      time.Time
	id      string
	version string
	bad     bool
}

// rolloutTest is a service with endpoints of two versions, hosts and traffic.
type rolloutTest struct {
	*testPlatform
	peers   *memoryPeers
	service string
	// bad reports whether an endpoint of a version fails a request now; nil for none.
	bad func(version string, f *port.Forward) bool
	// beforeSending is called before the first byte of a request to an endpoint of a version; nil for none.
	beforeSending func(version string, f *port.Forward)
	// duration is how long an endpoint of a service without engines takes.
	duration time.Duration

	mu      sync.Mutex
	sent    []sending
	stop    chan struct{}
	end     sync.Once
	stopped sync.WaitGroup
}

const orderDuration = 12 * time.Second

// startRollout starts hosts and endpoints.
func startRollout(t *testing.T, hosts int, service string) *rolloutTest {
	r := &rolloutTest{testPlatform: newTestPlatform(), service: service, duration: 20 * time.Millisecond, stop: make(chan struct{})}
	var all []fleet.Endpoint
	for _, id := range []string{"11", "12", "13", "14", "15", "16", "21", "22", "23", "24", "25", "26"} {
		all = append(all, versionedEndpoint(service, id))
	}
	r.publish(all...)
	r.endpoints.respond = r.respond
	r.peers = newMemoryPeers()
	r.testPlatform.peers = r.peers
	r.wrapPeers = func(_ string, peers port.Peers) port.Peers { return &hostPeers{Peers: peers} }
	for i := range hosts {
		o := hostOptions(fmt.Sprintf("h%d", i))
		o.Peer, o.ExposureShare, o.RollbackTime = fmt.Sprintf("10.0.0.%d:7600", i), 0.1, 5*time.Second
		g := r.startHost(t, o)
		r.peers.mu.Lock()
		r.peers.hosts[o.Peer] = g.PeerHandlers()
		r.peers.mu.Unlock()
	}
	time.Sleep(8 * time.Second)
	return r
}

func (r *rolloutTest) respond(ctx context.Context, f *port.Forward, _ int) (*port.Reply, error) {
	version := "v" + f.Endpoint[:1]
	if r.beforeSending != nil {
		r.beforeSending(version, f)
	}
	if err := f.Sending(); err != nil {
		return nil, fmt.Errorf("%w: %w", port.ErrNotSent, err)
	}
	sending := sending{at: time.Now(), id: f.ID, version: version, bad: r.bad != nil && r.bad(version, f)}
	r.mu.Lock()
	r.sent = append(r.sent, sending)
	r.mu.Unlock()
	again := *f
	again.Sending = func() error { return nil }
	if sending.bad {
		time.Sleep(r.duration)
		return completeReply(&again, http.StatusInternalServerError, "failed"), nil
	}
	if r.service == "llm" {
		return streamReply(ctx, &again, io.EOF, r.duration, events(position(f)+1, 15)...), nil
	}
	time.Sleep(r.duration)
	return completeReply(&again, http.StatusOK, "good"), nil
}

// startTraffic sends requests a second through all hosts that run until the test ends.
func (r *rolloutTest) startTraffic(t *testing.T, perSecond int, routes ...string) {
	t.Cleanup(r.endTraffic)
	ctx := context.Background()
	r.stopped.Add(1)
	go func() {
		defer r.stopped.Done()
		tick := time.NewTicker(time.Second / time.Duration(perSecond))
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-r.stop:
				return
			case <-tick.C:
			}
			hosts := r.liveHosts()
			if len(hosts) == 0 {
				continue // the test has failed, and its hosts stop before the traffic does
			}
			g, route := hosts[n%len(hosts)], routes[n/len(hosts)%len(routes)]
			r.stopped.Add(1)
			go func() {
				defer r.stopped.Done()
				sendRequest(ctx, g, fmt.Sprintf("%016x", n), route)
			}()
		}
	}()
}

func (r *rolloutTest) endTraffic() {
	r.end.Do(func() { close(r.stop) })
	r.stopped.Wait()
}

// order writes an order to move the service to version 2.
func (r *rolloutTest) order() time.Time {
	r.store.put(port.TopicConfiguration, testRolloutKey+r.service, rollout.Order{Service: r.service, Target: "v2", Duration: orderDuration})
	return time.Now()
}

// status returns the state that the operator can read.
func (r *rolloutTest) status() string {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	return string(r.store.topic(port.TopicStatus).newest[testRolloutKey+r.service].Value)
}

// awaitStatus waits until the operator reads a state, and returns how long that took since a time.
func (r *rolloutTest) awaitStatus(t *testing.T, since time.Time, want string, within time.Duration) time.Duration {
	t.Helper()
	for time.Since(since) < within {
		if r.status() == want {
			return time.Since(since)
		}
		time.Sleep(20 * time.Millisecond)
	}
	r.explain(t)
	t.Fatalf("status after %v is %q, expected %q", within, r.status(), want)
	return 0
}

// explain logs the lines of roll-outs.
func (r *rolloutTest) explain(t *testing.T) {
	for _, line := range strings.Split(r.log(), "\n") {
		if strings.Contains(line, `"rollout`) || strings.Contains(line, "duty_") || strings.Contains(line, "duties") {
			t.Log(line)
		}
	}
}

// toTarget counts the requests to version 2 in a time, those to both versions, and the bad answers.
func (r *rolloutTest) toTarget(from, to time.Time) (target, all, bad int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.sent {
		if s.at.Before(from) || !s.at.Before(to) {
			continue
		}
		all++
		if s.version == "v2" {
			target++
			if s.bad {
				bad++
			}
		}
	}
	return target, all, bad
}

func (r *rolloutTest) leader(t *testing.T) *Gateway {
	t.Helper()
	leaders := r.leaders(time.Now())
	if len(leaders) != 1 {
		t.Fatalf("leaders: seen %v, expected one", leaders)
	}
	return r.hostNamed(leaders[0])
}

// TestRolloutCompletes answers a good version, calls of 20 ms: complete by the deadline, the target's share small
// before, and nothing to the old version afterwards.
func TestRolloutCompletes(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{1, 5} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := startRollout(t, hosts, "api")
				r.startTraffic(t, 100, "get", "order")
				before := time.Now()
				time.Sleep(2 * time.Second)
				target, all, _ := r.toTarget(before, time.Now())
				is.True(target > 0 && target < all) // without an order versions are alike
				ordered := r.order()
				time.Sleep(time.Second)
				is.Equal(r.status(), "serving v2")
				took := r.awaitStatus(t, ordered, "completed v2", orderDuration)
				completed := time.Now()
				target, all, _ = r.toTarget(ordered.Add(time.Second), ordered.Add(8*time.Second))
				is.True(target > 0)
				is.True(float64(target) < 0.1*float64(all))
				time.Sleep(4 * time.Second)
				target, all, _ = r.toTarget(completed, time.Now())
				is.Equal(target, all)
				is.True(all > 300)
				r.endTraffic()
				t.Log("complete after", took)
			})
		})
	}
}

// TestRolloutOfStreamsCompletes answers streams of about 2 and 2.9 s that must not be cut, and streams that all end
// with their callers' deadline of 3 s: none runs at the old version when the order is complete.
func TestRolloutOfStreamsCompletes(t *testing.T) {
	t.Parallel()
	for _, pause := range []time.Duration{130 * time.Millisecond, 190 * time.Millisecond, 290 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := startRollout(t, 4, "llm")
				r.duration = pause
				r.startTraffic(t, 40, "stream", "resume")
				time.Sleep(2 * time.Second)
				ordered := r.order()
				took := r.awaitStatus(t, ordered, "completed v2", orderDuration)
				running := 0
				for _, g := range r.hosts {
					running += g.runningByVersion()["llm"]["v1"]
				}
				is.Equal(running, 0)
				r.endTraffic()
				t.Log("complete after", took)
			})
		})
	}
}

// TestRolloutRollsBack answers a version of which half of the answers is bad, from the start or after 5 s: stopped
// before its 50th bad answer, nothing sent to it afterwards, and callers who may be served by the old version are.
func TestRolloutRollsBack(t *testing.T) {
	t.Parallel()
	for name, after := range map[string]time.Duration{"at once": 0, "after 5 s": 5 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := startRollout(t, 5, "api")
				badFrom := time.Now().Add(2*time.Second + after)
				r.bad = func(version string, f *port.Forward) bool {
					return version == "v2" && !time.Now().Before(badFrom) && f.ID[len(f.ID)-1]%2 == 0
				}
				r.startTraffic(t, 200, "get")
				time.Sleep(2 * time.Second)
				ordered := r.order()
				r.awaitStatus(t, ordered, "rolled_back v2", orderDuration)
				_, _, bad := r.toTarget(ordered.Add(time.Second), time.Now())
				is.True(bad < 50)
				time.Sleep(time.Second)
				stopped := time.Now()
				time.Sleep(6 * time.Second)
				target, all, _ := r.toTarget(stopped, time.Now())
				is.Equal(target, 0)
				is.True(all > 1000)
				target, all, _ = r.toTarget(ordered.Add(time.Second), ordered.Add(orderDuration))
				is.True(float64(target) <= 0.1*float64(all)+50)
				r.endTraffic()
			})
		})
	}
}

// hostPeers are the other hosts as one host reaches them: not at all while silent is set.
type hostPeers struct {
	port.Peers
	silent atomic.Bool
}

func (p *hostPeers) Call(ctx context.Context, address, method string, params, result any) error {
	if p.silent.Load() {
		<-ctx.Done()
		return port.ErrPeerBroken
	}
	return p.Peers.Call(ctx, address, method, params, result)
}

func containsLine(text, part string) bool { return strings.Contains(text, part) }
