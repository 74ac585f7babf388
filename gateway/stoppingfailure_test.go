package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/rollout"
)

// TestFailureAtTheEndOfAStop guards against software versions and endpoints that look bad because a stopping host gave them
// less time than the caller had.
func TestFailureAtTheEndOfAStop(t *testing.T) {
	t.Parallel()
	const (
		sentAfter = time.Second // the signal
		beyond    = 12 * time.Second
		within    = 3 * time.Second
	)
	atDeadline := func(d time.Duration) func(*port.Forward) time.Duration {
		return func(f *port.Forward) time.Duration { return time.Until(f.Deadline) + d }
	}
	for name, tc := range map[string]struct {
		route    string
		deadline time.Duration // of the caller
		status   int
		takes    func(*port.Forward) time.Duration
		counts   bool
	}{
		"call, at the end of the stop":            {"get", beyond, http.StatusGatewayTimeout, atDeadline(0), false},
		"call, just before it":                    {"get", beyond, http.StatusGatewayTimeout, atDeadline(-20 * time.Millisecond), false},
		"call, just after it":                     {"get", beyond, http.StatusInternalServerError, atDeadline(20 * time.Millisecond), false},
		"stream, at the end of the stop":          {"resume", beyond, http.StatusGatewayTimeout, atDeadline(0), false},
		"call, long before the end of the stop":   {"get", beyond, http.StatusGatewayTimeout, atDeadline(-2 * time.Second), true},
		"call, at once":                           {"get", beyond, http.StatusInternalServerError, func(*port.Forward) time.Duration { return 0 }, true},
		"order, just before the caller's own":     {"order", within, http.StatusGatewayTimeout, atDeadline(-20 * time.Millisecond), true},
		"stream, long before the end of the stop": {"resume", beyond, http.StatusInternalServerError, atDeadline(-2 * time.Second), true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tp := newTestPlatform()
				service := map[bool]string{true: "llm", false: "api"}[tc.route == "resume"]
				tp.publish(versionedEndpoint(service, "21"))
				slow := configuration(2)
				for i := range slow.Routes {
					slow.Routes[i].Timeout, slow.Routes[i].Target, slow.Routes[i].MaxAttempts = 15*time.Second, 10*time.Second, 1
				}
				tp.store.put(port.TopicConfiguration, configurationKey, slow)
				stopping := false
				tp.endpoints.respond = func(ctx context.Context, f *port.Forward, _ int) (*port.Reply, error) {
					switch {
					case stopping:
						time.Sleep(tc.takes(f))
						return completeReply(f, tc.status, "failed"), nil
					case service == "llm":
						return streamReply(ctx, f, io.EOF, time.Millisecond, events(1, 15)...), nil
					}
					return completeReply(f, http.StatusOK, "done"), nil
				}
				g := tp.startHost(t, testOptions("h1"))
				time.Sleep(settleTime)
				send := func(id string, deadline time.Duration) *recorder {
					r := &recorder{}
					req := &port.Request{ID: id, Method: "POST", Host: "x", Path: "/" + tc.route + "/1", Key: "key", CallerTimeout: deadline}
					if service == "llm" {
						req.HasTokens, req.PromptTokens, req.AnswerTokens = true, 800, 90
					}
					is.True(g.BeginRequest())
					defer g.EndRequest()
					g.Serve(t.Context(), time.Now(), req, r)
					return r
				}
				for n := range 20 {
					is.Equal(send(fmt.Sprint("before", n), within).status, http.StatusOK)
				}
				order := rollout.Order{Service: service, Target: "v2", Duration: orderDuration}
				held := &heldRollout{order: order, evidence: rollout.Evidence{}}
				g.rollouts.mu.Lock()
				g.rollouts.held[service] = held
				g.rollouts.mu.Unlock()
				stopping = true
				left := make(chan struct{})
				go func() {
					defer close(left)
					g.Leave(context.Background())
				}()
				time.Sleep(sentAfter)
				got := send("late", tc.deadline).status
				share := g.fleet.FailureShare(time.Now(), "21")
				<-left
				is.Equal(got, tc.status)
				g.rollouts.mu.Lock()
				row := held.evidence[tc.route]
				g.rollouts.mu.Unlock()
				is.Equal(row.Target.Failed > 0, tc.counts)
				is.Equal(row.Target.Answers > 0, tc.counts)
				is.Equal(share > 0, tc.counts)
			})
		})
	}
}
