package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
)

// stopLoad is requests that are sent to a stopping host, at even intervals. Times are since the signal.
type stopLoad struct {
	route       string
	from, until time.Duration
	requests    int
}

// stopCounts counts requests by the answer that their callers got. unknown are answers that leave open whether the
// request ran, midway streams that were sent before the signal or early after it and end in the middle. lost is any other
// end without a complete answer, late an answer that came later than it might have.
type stopCounts struct{ served, refused, unknown, midway, lost, late int }

// slowEndpoint simulates endpoints that run a few requests at a time. Those that still wait at their deadline are not run.
type slowEndpoint struct {
	slots chan struct{}
	// takes returns how long an attempt takes; n counts the attempts of the request from 1.
	takes func(f *port.Forward, n int) time.Duration
	// ends, if set, returns how an attempt ends that is not answered.
	ends func(f *port.Forward, n int) (*port.Reply, error)

	mu  sync.Mutex
	ran map[string]bool
}

func (e *slowEndpoint) respond(ctx context.Context, f *port.Forward, n int) (*port.Reply, error) {
	_ = f.Sending()
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	case <-afterDelay(time.Until(f.Deadline)):
		return declinedReply(f), nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
	takes := e.takes(f, n)
	if e.ends != nil {
		if reply, err := e.ends(f, n); reply != nil || err != nil {
			time.Sleep(takes)
			return reply, err
		}
	}
	e.mu.Lock()
	e.ran[f.ID] = true
	e.mu.Unlock()
	if f.HasTokens {
		return streamReply(ctx, f, io.EOF, takes, events(1, 15)...), nil
	}
	select {
	case <-afterDelay(takes):
		return completeReply(f, http.StatusOK, "done"), nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// TestStoppingHostAnswersEachRequest guards against requests that a stopping host accepts from what earlier ones took and
// then cuts, and against answers that tell callers less than the host knows.
func TestStoppingHostAnswersEachRequest(t *testing.T) {
	t.Parallel()
	const (
		ms = time.Millisecond
		// excused is how long after the signal a request may still be sent that is cut in the middle of a stream.
		excused = 3 * time.Second
		// writeTime is how long the daemon lets the last answers be written, atOnce how long a refusal may take.
		writeTime = 200 * ms
		atOnce    = 100 * ms
		deadline  = 12 * time.Second
		never     = time.Minute
	)
	always := func(d time.Duration) func(*port.Forward, int, time.Duration) time.Duration {
		return func(*port.Forward, int, time.Duration) time.Duration { return d }
	}
	everyNth := func(n int, short, long time.Duration) func(*port.Forward, int, time.Duration) time.Duration {
		count := 0
		return func(*port.Forward, int, time.Duration) time.Duration {
			if count++; count%n == 0 {
				return long
			}
			return short
		}
	}
	breaks := func(f *port.Forward, n int) (*port.Reply, error) {
		if n == 1 {
			return nil, port.ErrBroken
		}
		return nil, nil
	}
	declines := func(f *port.Forward, n int) (*port.Reply, error) {
		if n == 1 {
			return declinedReply(f), nil
		}
		return nil, nil
	}
	for name, tc := range map[string]struct {
		load  []stopLoad
		takes func(f *port.Forward, n int, since time.Duration) time.Duration
		slots int
		ends  func(f *port.Forward, n int) (*port.Reply, error)
		// served is how many must be served at least, unknown how many answers may leave open whether the request ran.
		served, unknown, midway int
		// answeredBy is when each request must have its answer; zero for the end of the process.
		answeredBy time.Duration
	}{
		"orders that take much longer than those before": {
			load: []stopLoad{{"order", 3200 * ms, 3800 * ms, 12}}, takes: always(6 * time.Second), slots: 100, answeredBy: 4 * time.Second,
		},
		"short and long orders, the long ones have not ended yet": {
			load:  []stopLoad{{"order", -1000 * ms, -100 * ms, 10}, {"order", 50 * ms, 7 * time.Second, 70}},
			takes: everyNth(2, 100*ms, 6500*ms), slots: 200, served: 5, unknown: 1,
		},
		"the slowest 2 in 100": {
			load: []stopLoad{{"order", 50 * ms, 7 * time.Second, 200}}, takes: everyNth(50, 100*ms, 5*time.Second), slots: 200, unknown: 0,
		},
		"the slowest 2 in 100 idempotent calls": {
			load: []stopLoad{{"get", 0, 7 * time.Second, 200}}, takes: everyNth(50, 100*ms, 5*time.Second), slots: 200, served: 40, unknown: 2,
		},
		"a burst of idempotent calls that queues at the endpoint": {
			load: []stopLoad{{"get", 2500 * ms, 2600 * ms, 60}}, takes: always(250 * ms), slots: 2, served: 35, unknown: 2,
		},
		"a burst of orders that queues at the endpoint": {
			load: []stopLoad{{"order", 2950 * ms, 3250 * ms, 60}}, takes: always(250 * ms), slots: 2, answeredBy: 3500 * ms,
		},
		"an endpoint that gets slower, orders": {
			load: []stopLoad{{"order", 50 * ms, 7 * time.Second, 140}}, slots: 200,
			takes: func(_ *port.Forward, _ int, since time.Duration) time.Duration { return max(100*ms, 5*since) },
		},
		"an endpoint that gets slower, idempotent calls": {
			load: []stopLoad{{"get", 0, 7 * time.Second, 140}}, slots: 200, served: 10, unknown: 3,
			takes: func(_ *port.Forward, _ int, since time.Duration) time.Duration { return max(100*ms, 5*since) },
		},
		"an attempt that is not run, the next would end too late": {
			load: []stopLoad{{"order", -2000 * ms, -2000 * ms, 1}, {"get", -1900 * ms, -1900 * ms, 1}, {"stream", -1800 * ms, -1800 * ms, 1}},
			takes: func(_ *port.Forward, n int, _ time.Duration) time.Duration {
				return []time.Duration{7 * time.Second, 4 * time.Second}[n-1]
			},
			ends: declines, slots: 100, answeredBy: 5300 * ms,
		},
		"an attempt that may have run, the next would end too late": {
			load: []stopLoad{{"get", -2000 * ms, -2000 * ms, 1}, {"resume", -1900 * ms, -1900 * ms, 1}},
			takes: func(_ *port.Forward, n int, _ time.Duration) time.Duration {
				return []time.Duration{7 * time.Second, 4 * time.Second}[n-1]
			},
			ends: breaks, slots: 100, unknown: 2, answeredBy: 5300 * ms,
		},
		"all endpoints are slow": {
			load:  []stopLoad{{"get", 50 * ms, 7 * time.Second, 70}, {"order", 50 * ms, 7 * time.Second, 70}, {"stream", 50 * ms, 7 * time.Second, 70}},
			takes: always(6 * time.Second), slots: 300, served: 1, unknown: 2,
		},
		"orders that outlast the process": {load: []stopLoad{{"order", -1000 * ms, -500 * ms, 6}}, takes: always(never), slots: 100, unknown: 6},
		"orders that wait until the end of the process": {
			load: []stopLoad{{"order", -1000 * ms, -500 * ms, 6}}, takes: always(never), slots: 2, unknown: 6,
		},
		"idempotent calls that outlast the process": {load: []stopLoad{{"get", -1000 * ms, -500 * ms, 6}}, takes: always(never), slots: 100, unknown: 6},
		"streams without an event that outlast the process": {
			load: []stopLoad{{"stream", -1000 * ms, -500 * ms, 6}, {"resume", -1000 * ms, -500 * ms, 6}}, takes: always(never), slots: 100, unknown: 12,
		},
		"streams midway that outlast the process": {
			load: []stopLoad{{"stream", -1000 * ms, -500 * ms, 6}, {"resume", -1000 * ms, -500 * ms, 6}}, takes: always(time.Second), slots: 100, midway: 12,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tp := newTestPlatform()
				tp.publish(withSlots(endpoint("1", "api"), 200), withSlots(endpoint("2", "api"), 200), withSlots(endpoint("3", "llm"), 200), withSlots(endpoint("4", "llm"), 200))
				slow := configuration(2)
				for i := range slow.Routes {
					slow.Routes[i].Timeout, slow.Routes[i].Target, slow.Routes[i].MaxGap = 15*time.Second, 10*time.Second, 10*time.Second
				}
				tp.store.put(port.TopicConfiguration, configurationKey, slow)
				var mu sync.Mutex
				var began time.Time // the signal; zero before
				var loaded bool     // the history is complete
				work := &slowEndpoint{slots: make(chan struct{}, tc.slots), ran: map[string]bool{}}
				work.takes = func(f *port.Forward, n int) time.Duration {
					mu.Lock()
					defer mu.Unlock()
					if !loaded && f.HasTokens {
						return 5 * ms
					} else if !loaded {
						return 100 * ms
					}
					return tc.takes(f, n, max(time.Since(began), 0))
				}
				work.ends = func(f *port.Forward, n int) (*port.Reply, error) {
					if !loaded || tc.ends == nil {
						return nil, nil
					}
					return tc.ends(f, n)
				}
				tp.endpoints.respond = work.respond
				g := tp.startHost(t, testOptions("h1"))
				time.Sleep(settleTime)
				process, end := context.WithCancel(t.Context())
				serve := func(id, route string) *recorder {
					r := &recorder{}
					req := &port.Request{ID: id, Method: "POST", Host: "x", Path: "/" + route + "/1", Key: "key", CallerTimeout: deadline}
					if route == "stream" || route == "resume" {
						req.HasTokens, req.PromptTokens, req.AnswerTokens = true, 800, 90
					}
					if !g.BeginRequest() {
						r.Refuse(StoppingProblem())
						return r
					}
					defer g.EndRequest()
					g.Serve(process, time.Now(), req, r)
					return r
				}
				for n := range 20 {
					for _, route := range []string{"order", "get", "stream", "resume"} {
						is.Equal(serve(fmt.Sprint("before", route, n), route).status, http.StatusOK)
					}
				}
				began, loaded = time.Now().Add(3*time.Second), true
				var all sync.WaitGroup
				var got stopCounts
				refused := map[string]bool{}
				for i, load := range tc.load {
					for n := range load.requests {
						at := load.from + time.Duration(n)*(load.until-load.from)/time.Duration(load.requests)
						id := fmt.Sprint(load.route, i, "-", n)
						all.Go(func() {
							time.Sleep(time.Until(began.Add(at)))
							r := serve(id, load.route)
							answeredAt := time.Since(began)
							mu.Lock()
							defer mu.Unlock()
							switch p := r.problem; {
							case (process.Err() != nil || r.aborted) && r.begins > 0 && at <= excused:
								got.midway++
								return
							case process.Err() != nil || r.aborted:
								got.lost++
								return
							case p != nil && p.Status == http.StatusServiceUnavailable:
								got.refused++
								refused[id] = true
								is.Equal(p.Run, problem.RunNot)
								is.True(p.RetryAfter > 0)
								if answeredAt > at+atOnce && len(tp.endpoints.attempts(id)) == 0 {
									got.late++
								}
							case p != nil:
								got.unknown++
								is.Equal(p.Run, problem.RunUnknown)
								is.True(p.Status == http.StatusBadGateway || p.Status == http.StatusGatewayTimeout)
							default:
								got.served++
								is.Equal(r.status, http.StatusOK)
							}
							if tc.answeredBy > 0 && answeredAt > tc.answeredBy {
								got.late++
							}
						})
					}
				}
				time.Sleep(time.Until(began))
				g.Leave(context.Background())
				time.Sleep(writeTime)
				end() // connections are closed
				all.Wait()
				t.Logf("%+v", got)
				for id := range refused {
					is.True(!work.ran[id])
				}
				is.Equal(got.lost, 0)
				is.Equal(got.late, 0)
				is.True(got.served >= tc.served)
				is.True(got.unknown <= tc.unknown)
				is.Equal(got.midway, tc.midway)
			})
		})
	}
}
