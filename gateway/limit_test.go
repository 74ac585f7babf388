package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
)

// limitedEndpoints answers all requests. The endpoints in limits name these limits.
type limitedEndpoints struct {
	mu     sync.Mutex
	limits map[string]float64
	// arrivals are the times of the requests by endpoint; namedAt is when the first answer named a limit.
	arrivals map[string][]time.Time
	namedAt  time.Time
}

func (e *limitedEndpoints) respond(_ context.Context, f *port.Forward, _ int) (*port.Reply, error) {
	if err := f.Sending(); err != nil {
		return nil, errors.Wrap(port.ErrNotSent, err.Error())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals[f.Endpoint] = append(e.arrivals[f.Endpoint], time.Now())
	reply := completeReply(f, http.StatusOK, "ok")
	if reply.RequestLimit = e.limits[f.Endpoint]; reply.RequestLimit > 0 && e.namedAt.IsZero() {
		e.namedAt = time.Now()
	}
	return reply, nil
}

func (e *limitedEndpoints) setLimit(id string, perSecond float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limits[id] = perSecond
}

// mostIn returns the most requests that an endpoint got in any window after a time.
func (e *limitedEndpoints) mostIn(id string, window time.Duration, after time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	most := 0
	for i, from := range e.arrivals[id] {
		n := 0
		for _, at := range e.arrivals[id][i:] {
			if at.Sub(from) < window {
				n++
			}
		}
		if !from.Before(after) {
			most = max(most, n)
		}
	}
	return most
}

// callAll sends a request to each host of a platform in each interval and returns the number of those
// served, and of those refused without a time to retry after.
func (tp *testPlatform) callAll(ctx context.Context, hosts []*Gateway, interval, length time.Duration) (served, hopeless int) {
	for began := time.Now(); time.Since(began) < length; time.Sleep(interval) {
		for i, g := range hosts {
			r := sendRequest(ctx, g, fmt.Sprint(time.Now().UnixNano(), i), "get")
			if r.status == http.StatusOK {
				served++
			} else if r.problem == nil || r.problem.RetryAfter == 0 {
				hopeless++
			}
		}
	}
	return served, hopeless
}

// TestLimitHoldsOverAllHosts replays LIMIT of incident 0002: endpoints that name limits get no more from all
// hosts together than the platform allows, one and a half times the limit and 5 requests in 4 s, once the
// limit has been named for 4 s. Hosts start and end meanwhile. Other endpoints serve the rest, and a limited
// one takes requests again when it no longer names a limit.
func TestLimitHoldsOverAllHosts(t *testing.T) {
	t.Parallel()
	const (
		window    = 4 * time.Second
		contact   = 4 * time.Second
		perSecond = 1.5
		allowed   = int(1.5*perSecond*4 + 5)
	)
	for name, perZone := range map[string]int{"six hosts": 1, "24 hosts": 4, "60 hosts": 10} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tp, _ := startRegions(t, perZone, startInterval)
				e := &limitedEndpoints{limits: map[string]float64{}, arrivals: map[string][]time.Time{}}
				tp.endpoints.respond = e.respond
				for id := range 3 {
					tp.store.put(port.TopicEndpoints, fmt.Sprint(id+1), endpoint(fmt.Sprint(id+1), "api"))
				}
				time.Sleep(3 * time.Second)
				const interval = 200 * time.Millisecond
				tp.callAll(t.Context(), tp.hosts, interval, 2*time.Second)
				e.setLimit("1", perSecond)
				e.setLimit("2", perSecond)
				served, _ := tp.callAll(t.Context(), tp.hosts, interval, 12*time.Second)
				is.Equal(served, len(tp.hosts)*60) // the third endpoint has no limit
				o := hostOptions("later")
				o.Region, o.Zone, o.Peer = "r0", "z00", "10.0.0.250:7600"
				tp.startHost(t, o)
				tp.hosts[1].tomb.Kill(nil)
				tp.callAll(t.Context(), append(tp.hosts[2:], tp.hosts[0]), interval, 12*time.Second)
				for _, id := range []string{"1", "2"} {
					most := e.mostIn(id, window, e.namedAt.Add(contact))
					is.True(most <= allowed)
					is.True(most >= 1)
				}
				e.setLimit("1", 0)
				lifted := time.Now()
				tp.callAll(t.Context(), tp.hosts[2:], interval, 10*time.Second)
				e.mu.Lock()
				after := 0
				for _, at := range e.arrivals["1"] {
					if at.After(lifted.Add(5 * time.Second)) {
						after++
					}
				}
				e.mu.Unlock()
				is.True(after > 2*allowed)
			})
		})
	}
}

// TestAllEndpointsLimited: when every endpoint of a service has a limit that is used up, callers are refused at
// once and told when to return.
func TestAllEndpointsLimited(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp, _ := startRegions(t, 1, startInterval)
		e := &limitedEndpoints{limits: map[string]float64{"1": 2}, arrivals: map[string][]time.Time{}}
		tp.endpoints.respond = e.respond
		tp.callAll(t.Context(), tp.hosts, 100*time.Millisecond, 4*time.Second)
		began := time.Now()
		served, hopeless := tp.callAll(t.Context(), tp.hosts, 100*time.Millisecond, 10*time.Second)
		is.True(time.Since(began) < 11*time.Second) // no request waited
		is.Equal(hopeless, 0)
		is.True(served >= 15) // three quarters of the limit
		is.True(served <= 35) // what the platform allows: 30, and 5
	})
}

// TestStartingHostLearnsLimitsBeforeItServes guards against a host that reads the registry after the reports of others,
// and sends more than its part of a limit until it reads these again.
func TestStartingHostLearnsLimitsBeforeItServes(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp := newTestPlatform()
		tp.publish(endpoint("1", "api"))
		e := &limitedEndpoints{limits: map[string]float64{"1": 4}, arrivals: map[string][]time.Time{}}
		tp.endpoints.respond = func(ctx context.Context, f *port.Forward, n int) (*port.Reply, error) {
			reply, err := e.respond(ctx, f, n)
			time.Sleep(150 * time.Millisecond)
			return reply, err
		}
		running := tp.startHost(t, testOptions("a"))
		time.Sleep(3 * time.Second)
		is.Equal(sendRequest(t.Context(), running, "1", "get").status, http.StatusOK)
		time.Sleep(2 * time.Second) // it reports the limit

		tp.store.setFail(func(_ string, topic port.Topic) error {
			if topic == port.TopicEndpoints {
				return port.ErrStoreUnavailable
			}
			return nil
		})
		started := tp.startHost(t, testOptions("b"))
		time.Sleep(100 * time.Millisecond)
		tp.store.setFail(nil)
		for !started.hasEndpoints.Load() {
			time.Sleep(time.Millisecond)
		}
		began := time.Now()
		var wg sync.WaitGroup
		for n := range 10 {
			wg.Go(func() { sendRequest(t.Context(), started, fmt.Sprint("b", n), "get") })
		}
		wg.Wait()
		is.True(e.mostIn("1", 200*time.Millisecond, began) <= 1)
	})
}
