package gateway

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/port"
)

// TestCallerThatContinuesGetsNoEventTwice guards against an endpoint that repeats events to a caller that continues a
// stream: those up to the id that the caller names are not forwarded again.
func TestCallerThatContinuesGetsNoEventTwice(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		route, after string
		parts        []string
		end          error
		body         []string
	}{
		"goes on behind it":             {"resume", "4", events(5, 6), io.EOF, events(5, 6)},
		"repeats the last event":        {"resume", "4", events(4, 6), io.EOF, events(5, 6)},
		"begins again":                  {"resume", "4", events(1, 6), io.EOF, events(5, 6)},
		"begins again, broken off":      {"resume", "4", events(1, 3), port.ErrBroken, events(5, 6)},
		"an id with zeros":              {"resume", "004", events(4, 6), io.EOF, events(5, 6)},
		"an id that is no number":       {"resume", "x", events(1, 6), io.EOF, events(1, 6)},
		"a stream that may not resume":  {"stream", "4", events(1, 6), io.EOF, events(1, 6)},
		"all of it, and nothing behind": {"resume", "6", events(6, 6), io.EOF, nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tp := newTestPlatform()
				tp.publish(endpoint("3", "llm"), endpoint("4", "llm"))
				tp.endpoints.respond = func(ctx context.Context, f *port.Forward, n int) (*port.Reply, error) {
					if n > 1 {
						is.Equal(position(f), 4)
						return streamReply(ctx, f, io.EOF, time.Millisecond, events(5, 6)...), nil
					}
					return streamReply(ctx, f, tc.end, time.Millisecond, tc.parts...), nil
				}
				g := tp.startHost(t, testOptions("h1"))
				time.Sleep(settleTime)
				r := &recorder{}
				g.Serve(t.Context(), time.Now(), &port.Request{
					ID: "req", Method: "GET", Host: "x", Path: "/" + tc.route + "/1", Key: "key", CallerTimeout: 3 * time.Second,
					HasTokens: true, PromptTokens: 800, AnswerTokens: 90, ResumeAfter: tc.after,
				}, r)
				is.Equal(r.status, 200)
				is.Equal(r.body.String(), strings.Join(tc.body, ""))
				is.True(!r.aborted)
			})
		})
	}
}
