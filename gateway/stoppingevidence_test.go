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

// TestEndOfTheProcessIsNoFaultOfEndpoints guards against endpoints that count as faulty, and versions as bad, because they
// end an attempt at the deadline that a stopping host has shortened to its own end, and against further attempts then.
func TestEndOfTheProcessIsNoFaultOfEndpoints(t *testing.T) {
	t.Parallel()
	const deadline = 12 * time.Second
	for name, tc := range map[string]struct {
		route   string
		respond func(ctx context.Context, f *port.Forward) (*port.Reply, error)
	}{
		"a call that ends with 504": {"get", func(_ context.Context, f *port.Forward) (*port.Reply, error) {
			_ = f.Sending()
			time.Sleep(time.Until(f.Deadline))
			return completeReply(f, http.StatusGatewayTimeout, "late"), nil
		}},
		"a call that is broken off": {"get", func(_ context.Context, f *port.Forward) (*port.Reply, error) {
			_ = f.Sending()
			time.Sleep(time.Until(f.Deadline))
			return nil, port.ErrBroken
		}},
		"a stream that is broken off": {"resume", func(ctx context.Context, f *port.Forward) (*port.Reply, error) {
			parts := events(1, 15)
			return streamReply(ctx, f, io.ErrUnexpectedEOF, time.Until(f.Deadline)/time.Duration(len(parts))+time.Millisecond, parts...), nil
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tp := newTestPlatform()
				ids := []string{"1", "2", "3", "4"}
				tp.publish(endpoint("1", "api"), endpoint("2", "api"), endpoint("3", "llm"), endpoint("4", "llm"))
				slow := configuration(2)
				for i := range slow.Routes {
					slow.Routes[i].Timeout, slow.Routes[i].Target, slow.Routes[i].MaxGap = 15*time.Second, 10*time.Second, 10*time.Second
				}
				tp.store.put(port.TopicConfiguration, configurationKey, slow)
				stopping := false
				tp.endpoints.respond = func(ctx context.Context, f *port.Forward, _ int) (*port.Reply, error) {
					switch {
					case stopping:
						return tc.respond(ctx, f)
					case f.HasTokens:
						return streamReply(ctx, f, io.EOF, 5*time.Millisecond, events(1, 15)...), nil
					}
					return completeReply(f, http.StatusOK, "done"), nil
				}
				g := tp.startHost(t, testOptions("h1"))
				time.Sleep(settleTime)
				serve := func(id string) *recorder {
					r := &recorder{}
					req := &port.Request{ID: id, Method: "POST", Host: "x", Path: "/" + tc.route + "/1", Key: "key", CallerTimeout: deadline}
					if tc.route == "resume" {
						req.HasTokens, req.PromptTokens, req.AnswerTokens = true, 800, 90
					}
					g.Serve(t.Context(), time.Now(), req, r)
					return r
				}
				for range 10 {
					is.Equal(serve("before").status, http.StatusOK)
				}
				stopping = true
				go g.Leave(t.Context())
				time.Sleep(time.Second)
				began := time.Now()
				r := serve("last")
				t.Logf("status %d, aborted %t, after %s, %d attempts", r.status, r.aborted, time.Since(began), len(tp.endpoints.attempts("last")))
				is.Equal(len(tp.endpoints.attempts("last")), 1)
				for _, id := range ids {
					view, _ := g.fleet.Get(id)
					is.True(!time.Now().Before(view.SuspectUntil)) // it is no suspect
					is.Equal(g.fleet.FailureShare(time.Now(), id), 0.0)
				}
			})
		})
	}
}
