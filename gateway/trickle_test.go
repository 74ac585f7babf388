package gateway

import (
	"context"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/port"
)

// TestStalledStreamThatSendsBytes guards against a stream that is stalled at its endpoint and never ends, because bytes
// arrive that are no progress, and against the end of one that is slow but makes progress.
func TestStalledStreamThatSendsBytes(t *testing.T) {
	t.Parallel()
	const maxGap = 300 * time.Millisecond // of the route
	repeated := func(part string) []string { return slices.Repeat([]string{part}, 40) }
	for name, tc := range map[string]struct {
		parts    []string
		pause    time.Duration
		attempts int
	}{
		"comments":                   {append(events(1, 3), repeated(": busy\n\n")...), maxGap / 2, 2},
		"comments before any event":  {repeated(": busy\n\n"), maxGap / 2, 2},
		"lines of comments":          {append(events(1, 3), repeated(":\n")...), maxGap / 2, 2},
		"blank lines":                {append(events(1, 3), repeated("\r\n")...), maxGap / 2, 2},
		"its last event again":       {append(events(1, 3), repeated(events(3, 3)[0])...), maxGap / 2, 2},
		"the beginning of an event":  {append(events(1, 3), strings.Split("id: 4\ndata: "+strings.Repeat("x", 40), "")...), maxGap / 2, 2},
		"times to retry after":       {append(events(1, 3), repeated("retry: 1\n\n")...), maxGap / 2, 2},
		"bytes without a line end":   {append(events(1, 3), repeated("\x00\xff")...), maxGap / 2, 2},
		"such bytes before any":      {repeated("\x00\xff"), maxGap / 2, 2},
		"slow events":                {events(1, 6), 2 * maxGap, 1},
		"slow events, comments too":  {append(events(1, 2), append(slices.Repeat([]string{": busy\n\n"}, 2), events(3, 6)...)...), maxGap, 1},
		"events as fast as they may": {events(1, 6), maxGap, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tp := newTestPlatform()
				tp.publish(endpoint("1", "llm"), endpoint("2", "llm"))
				tp.endpoints.respond = func(ctx context.Context, f *port.Forward, n int) (*port.Reply, error) {
					if n > 1 {
						return streamReply(ctx, f, io.EOF, time.Millisecond, events(1, 6)...), nil
					}
					return streamReply(ctx, f, io.EOF, tc.pause, tc.parts...), nil
				}
				g := tp.startHost(t, testOptions("h1"))
				time.Sleep(settleTime)
				req := &port.Request{ID: "req", Method: "GET", Host: "x", Path: "/resume/1", Key: "key", CallerTimeout: time.Minute, HasTokens: true, PromptTokens: 800, AnswerTokens: 90}
				r := &recorder{}
				g.Serve(t.Context(), time.Now(), req, r)
				is.Equal(len(tp.endpoints.attempts("req")), tc.attempts)
				is.Equal(strings.ReplaceAll(r.body.String(), ": busy\n\n", ""), strings.Join(events(1, 6), ""))
				is.True(!r.aborted)
			})
		})
	}
}
