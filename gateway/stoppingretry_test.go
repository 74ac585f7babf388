package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/port"
)

// TestAcceptedRequestsAreTriedAgain guards against a stopping host that has accepted a request which may be repeated, and
// then does not try it again though that would end long before the process does: it is answered 502, or is left at a silent
// endpoint.
func TestAcceptedRequestsAreTriedAgain(t *testing.T) {
	t.Parallel()
	const (
		ms     = time.Millisecond
		target = 2 * time.Second
	)
	breaks := func(ctx context.Context, f *port.Forward) (*port.Reply, error) {
		_ = f.Sending()
		time.Sleep(1500 * ms)
		return nil, port.ErrBroken
	}
	declines := func(ctx context.Context, f *port.Forward) (*port.Reply, error) {
		time.Sleep(1500 * ms)
		return declinedReply(f), nil
	}
	silent := func(ctx context.Context, f *port.Forward) (*port.Reply, error) {
		_ = f.Sending()
		<-ctx.Done()
		return nil, context.Cause(ctx)
	}
	for name, tc := range map[string]struct {
		route string
		at    time.Duration // since the signal
		first func(ctx context.Context, f *port.Forward) (*port.Reply, error)
	}{
		"a call, an endpoint that breaks off":                {"get", 2 * time.Second, breaks},
		"a call, an endpoint that declines":                  {"get", 2 * time.Second, declines},
		"a call, a silent endpoint":                          {"get", 2 * time.Second, silent},
		"a call from before the signal, a silent endpoint":   {"get", -500 * ms, silent},
		"a stream, an endpoint that breaks off":              {"resume", 2 * time.Second, breaks},
		"a stream, a silent endpoint":                        {"resume", 2500 * ms, silent},
		"a call at the end of the period, it breaks off":     {"get", 2850 * ms, breaks},
		"a call from before the signal, broken off at 1 s":   {"get", -500 * ms, breaks},
		"a stream from before the signal, broken off at 1 s": {"resume", -500 * ms, breaks},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tp := newTestPlatform()
				tp.publish(endpoint("1", "api"), endpoint("2", "api"), endpoint("3", "llm"), endpoint("4", "llm"))
				slow := configuration(2)
				for i := range slow.Routes {
					slow.Routes[i].Timeout, slow.Routes[i].Target = 15*time.Second, target
				}
				tp.store.put(port.TopicConfiguration, configurationKey, slow)
				tp.endpoints.respond = func(ctx context.Context, f *port.Forward, n int) (*port.Reply, error) {
					switch {
					case f.ID == "last" && n == 1:
						return tc.first(ctx, f)
					case f.HasTokens:
						return streamReply(ctx, f, io.EOF, 5*ms, events(1, 15)...), nil
					}
					time.Sleep(100 * ms)
					return completeReply(f, http.StatusOK, "done"), nil
				}
				g := tp.startHost(t, testOptions("h1"))
				time.Sleep(settleTime)
				serve := func(id string) *recorder {
					r := &recorder{}
					req := &port.Request{ID: id, Method: "POST", Host: "x", Path: "/" + tc.route + "/1", Key: "key", CallerTimeout: 12 * time.Second}
					if tc.route == "resume" {
						req.HasTokens, req.PromptTokens, req.AnswerTokens = true, 800, 90
					}
					g.Serve(t.Context(), time.Now(), req, r)
					return r
				}
				for range 10 {
					is.Equal(serve("before").status, http.StatusOK)
				}
				signal := time.Now().Add(time.Second)
				go func() {
					time.Sleep(time.Until(signal))
					g.Leave(t.Context())
				}()
				time.Sleep(time.Until(signal.Add(tc.at)))
				r := serve("last")
				t.Logf("status %d after %s, %d attempts", r.status, time.Since(signal)-tc.at, len(tp.endpoints.attempts("last")))
				is.Equal(r.status, http.StatusOK)
				is.True(!r.aborted)
				is.Equal(len(tp.endpoints.attempts("last")), 2)
			})
		})
	}
}

// TestNothingIsSentAtTheEnd guards against a request that is passed on when the process has no time left for its answer: it
// may run, and its caller can't be told.
func TestNothingIsSentAtTheEnd(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		left   time.Duration // of the process, when there is a connection to the endpoint
		status int
		sent   bool
	}{
		"in time":             {lastAnswerTime + 50*time.Millisecond, http.StatusOK, true},
		"in the last moments": {lastAnswerTime / 2, http.StatusServiceUnavailable, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tp := newTestPlatform()
				tp.publish(endpoint("1", "api"))
				slow := configuration(2)
				for i := range slow.Routes {
					slow.Routes[i].Timeout = 15 * time.Second
				}
				tp.store.put(port.TopicConfiguration, configurationKey, slow)
				opts := testOptions("h1")
				signal, sent := time.Now().Add(settleTime+time.Second), false
				tp.endpoints.respond = func(_ context.Context, f *port.Forward, _ int) (*port.Reply, error) {
					time.Sleep(time.Until(signal.Add(opts.GracePeriod - leaveMargin - tc.left)))
					if f.Sending() != nil {
						return nil, port.ErrNotSent
					}
					sent = true
					return completeReply(f, http.StatusOK, "done"), nil
				}
				g := tp.startHost(t, opts)
				go func() {
					time.Sleep(time.Until(signal))
					g.Leave(t.Context())
				}()
				time.Sleep(settleTime)
				r := &recorder{}
				g.Serve(t.Context(), time.Now(), &port.Request{ID: "last", Method: "POST", Host: "x", Path: "/order/1", Key: "key", CallerTimeout: 12 * time.Second}, r)
				is.Equal(r.status, tc.status)
				is.Equal(sent, tc.sent)
				view, _ := g.fleet.Get("1")
				is.True(!time.Now().Before(view.SuspectUntil)) // it is no suspect
			})
		})
	}
}
