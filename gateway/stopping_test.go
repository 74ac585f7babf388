package gateway

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/drain"
	"github.com/cicadanotch/cicadanotch/fleet"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
)

// TestStoppingHostEndsWhatItAccepts guards against a stopping host that accepts requests which it can't finish: it cuts
// them at the end of the grace period without an answer, also those that may not be sent again.
func TestStoppingHostEndsWhatItAccepts(t *testing.T) {
	t.Parallel()
	const (
		ms       = time.Millisecond
		excused  = 3 * time.Second // after the signal
		interval = 50 * ms
		// atOnce is how long a refusal may take of a request that is complete.
		atOnce = 100 * ms
		// long is a deadline that lies behind the end of the process.
		long = 14 * time.Second
		// writeTime is how long the daemon lets the last answers be written.
		writeTime = 200 * ms
	)
	for name, tc := range map[string]struct {
		route  string
		takes  time.Duration // of a call, or the pause before each event of a stream
		before int           // requests before the stop
		slower time.Duration // added to takes when the stop begins
		upload time.Duration // time between the head and the end of the body
		// deadline is that of requests after the signal.
		deadline time.Duration
		// servedUntil is when after the signal a request must still be served, refusedFrom from when on each must be refused;
		// zero for no such time.
		servedUntil, refusedFrom time.Duration
	}{
		"orders of seconds, none before":                      {"order", 4500 * ms, 0, 0, 0, long, 0, 1},
		"orders of seconds":                                   {"order", 4500 * ms, 20, 0, 0, long, 0, 1},
		"orders of seconds that surely end":                   {"order", 4500 * ms, 20, 0, 0, 5 * time.Second, 2700 * ms, 2800 * ms},
		"short orders":                                        {"order", 200 * ms, 20, 0, 0, long, 0, 1},
		"short orders that surely end":                        {"order", 200 * ms, 20, 0, 0, 700 * ms, 7 * time.Second, 0},
		"short calls":                                         {"get", 200 * ms, 20, 0, 0, long, 2850 * ms, excused},
		"short calls that surely end":                         {"get", 200 * ms, 20, 0, 0, 700 * ms, 7 * time.Second, 0},
		"short orders that get slow":                          {"order", 400 * ms, 20, 150 * ms, 0, long, 0, 1},
		"short orders that get slow, but surely end":          {"order", 400 * ms, 20, 150 * ms, 0, 1700 * ms, 6 * time.Second, 0},
		"short calls that get slow":                           {"get", 400 * ms, 20, 150 * ms, 0, long, 2850 * ms, excused},
		"on-time streams of seconds, none before":             {"stream", 250 * ms, 0, 0, 0, long, 0, 1},
		"on-time streams of seconds":                          {"stream", 250 * ms, 20, 0, 0, long, 0, 1},
		"short streams":                                       {"stream", 40 * ms, 20, 0, 0, long, 0, 1},
		"short streams that surely end":                       {"stream", 40 * ms, 20, 0, 0, 2700 * ms, 5 * time.Second, 0},
		"short streams that may resume":                       {"resume", 40 * ms, 20, 0, 0, long, 2850 * ms, excused},
		"streams that may resume":                             {"resume", 250 * ms, 20, 0, 0, long, 0, excused},
		"bodies of seconds":                                   {"order", 500 * ms, 20, 0, 2600 * ms, long, 0, 1},
		"bodies of seconds, they surely end":                  {"order", 500 * ms, 20, 0, 2600 * ms, 4700 * ms, 3 * time.Second, 0},
		"bodies of seconds before calls":                      {"get", 500 * ms, 20, 0, 2600 * ms, long, 250 * ms, excused},
		"bodies of seconds before streams":                    {"stream", 80 * ms, 20, 0, 2600 * ms, long, 0, 1},
		"bodies of seconds before streams that can't be late": {"stream", 80 * ms, 20, 0, 2600 * ms, 5700 * ms, 2 * time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tp := newTestPlatform()
				tp.publish(withSlots(endpoint("1", "api"), 200), withSlots(endpoint("2", "llm"), 200))
				slow := configuration(2)
				for i := range slow.Routes {
					slow.Routes[i].Timeout, slow.Routes[i].Target = 15*time.Second, 2*time.Second
				}
				tp.store.put(port.TopicConfiguration, configurationKey, slow)
				takes, deadline := tc.takes, long
				tp.endpoints.respond = func(ctx context.Context, f *port.Forward, _ int) (*port.Reply, error) {
					if f.HasTokens {
						return streamReply(ctx, f, io.EOF, takes, events(1, 15)...), nil
					}
					_ = f.Sending()
					select {
					case <-afterDelay(takes):
						return completeReply(f, 200, "done"), nil
					case <-ctx.Done():
						return nil, context.Cause(ctx)
					}
				}
				g := tp.startHost(t, testOptions("h1"))
				time.Sleep(settleTime)
				process, end := context.WithCancel(t.Context())
				var all sync.WaitGroup
				send := func(id string, judge func(r *recorder)) {
					arrived := time.Now()
					all.Go(func() {
						is.True(g.BeginRequest())
						defer g.EndRequest()
						req := &port.Request{ID: id, Method: "POST", Host: "x", Path: "/" + tc.route + "/1", Key: "key", CallerTimeout: deadline}
						if tc.route == "stream" || tc.route == "resume" {
							req.HasTokens, req.PromptTokens, req.AnswerTokens = true, 800, 90
						}
						late := make(chan struct{})
						stop := g.LimitBody(arrived, req, func(at time.Time) { time.AfterFunc(time.Until(at), func() { close(late) }) })
						defer stop()
						select {
						case <-afterDelay(tc.upload):
						case <-late:
							judge(&recorder{status: 503, problem: StoppingProblem()})
							return
						}
						r := &recorder{}
						g.Serve(process, arrived, req, r)
						judge(r)
					})
				}
				for n := range tc.before {
					send(fmt.Sprint("before", n), func(r *recorder) { is.Equal(r.status, 200) })
					time.Sleep(interval)
				}
				all.Wait()
				takes, deadline = takes+tc.slower, tc.deadline
				began := time.Now()
				go func() {
					g.Leave(context.Background())
					is.True(time.Since(began) < g.opts.GracePeriod)
					time.Sleep(writeTime)
					end() // connections are closed
				}()
				synctest.Wait()
				var mu sync.Mutex
				lost := 0
				var served time.Duration
				for at := time.Duration(0); at < 7500*ms; at += interval {
					send(fmt.Sprint("late", at), func(r *recorder) {
						mu.Lock()
						defer mu.Unlock()
						if tc.refusedFrom > 0 && at >= tc.refusedFrom {
							is.True(r.problem != nil && r.problem.Run == problem.RunNot)
							is.True(time.Since(began) <= at+tc.upload+atOnce)
						}
						switch {
						case r.problem != nil && r.problem.Run == problem.RunNot && process.Err() == nil:
							is.Equal(r.problem.Status, 503)
							is.Equal(r.problem.Type, problem.TypeStopping)
							is.True(r.problem.RetryAfter > 0)
						case r.status == 200 && !r.aborted && process.Err() == nil:
							served = max(served, at)
						case at > excused:
							lost++
						}
					})
					time.Sleep(interval)
				}
				all.Wait()
				<-process.Done()
				is.Equal(lost, 0)
				is.True(served >= tc.servedUntil)
			})
		})
	}
}

func withSlots(e fleet.Endpoint, slots int) fleet.Endpoint {
	e.Slots = slots
	return e
}

// TestDurationsOfDroppedRoutesAreForgotten guards against a host that keeps the durations of all routes that ever were.
func TestDurationsOfDroppedRoutesAreForgotten(t *testing.T) {
	is := is.New(t)
	var table durationTable
	now := time.Unix(1_000_000, 0)
	for n := range 1000 {
		table.record(fmt.Sprint("route", n), drain.Duration{EndedAt: now.Add(time.Duration(n) * time.Second), Total: time.Second})
	}
	is.True(len(table.routes) < 100)
}
