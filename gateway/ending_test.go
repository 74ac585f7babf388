package gateway

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/fleet"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
)

// cutStream is what an endpoint sends of a stream of six events before it breaks off.
type cutStream struct {
	name   string
	whole  int    // events sent completely
	rest   string // what is sent of the event after them
	inside bool   // rest ends inside an event
}

var cutStreams = []cutStream{
	{"before the first event", 0, "", false},
	{"in the first event", 0, "id: 1\nda", true},
	{"in the first line of an event", 3, "id", true},
	{"between the lines of an event", 3, "id: 4\n", true},
	{"before the blank line", 3, "id: 4\ndata: x\n", true},
	{"in a comment", 3, ": 12", true},
	{"between events", 3, "", false},
	{"after a comment", 3, ": 12\n", false},
	{"after the last event", 6, "", false},
	{"after the last event of a stream with carriage returns", 6, "\r\n", false},
}

func (s cutStream) parts(after int) []string {
	parts := events(after+1, s.whole)
	if s.rest != "" {
		parts = append(parts, s.rest)
	}
	return parts
}

// brokenOff states whether a caller must not see the stream as complete: it was reset, or ended inside an
// event, or ended with its connection before anything was sent. A close between events cannot be told
// from the end of the stream.
func (s cutStream) brokenOff(framing port.Framing, reset bool) bool {
	return reset || s.inside || (s.whole == 0 && framing == port.FramingConnection)
}

// TestBrokenStreamDoesNotLookComplete guards against a stream that was broken off and reached its caller as
// complete (incident 0003), for each framing, at each place, closed and reset, at the first attempt and at
// a resumed one.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	for _, framing := range []port.Framing{port.FramingLength, port.FramingChunks, port.FramingConnection} {
		for _, cut := range cutStreams {
			for how, end := range map[string]error{"closed": io.EOF, "reset": errors.Wrap(port.ErrBroken, "reset")} {
				name := fmt.Sprintf("%s/%s %s", framing, how, cut.name)
				t.Run(name, func(t *testing.T) { testCutStream(t, framing, cut, end) })
			}
		}
	}
}

func testCutStream(t *testing.T, framing port.Framing, cut cutStream, end error) {
	brokenOff := cut.brokenOff(framing, end != io.EOF)
	whole := strings.Join(events(1, 6), "")
	received := strings.Join(events(1, cut.whole), "")
	if !brokenOff {
		received = strings.Join(cut.parts(0), "")
	}
	// A resumed stream of which no event is left is itself one that ends before its first event.
	emptyRest := brokenOff && cut.whole == 6 && framing == port.FramingConnection
	for _, tc := range []struct {
		route    string
		at       int // the attempt that is cut
		body     string
		aborted  bool
		attempts int
	}{
		{"stream", 1, received, brokenOff && cut.whole > 0, 1},
		{"resume", 1, map[bool]string{true: whole, false: received}[brokenOff], emptyRest, map[bool]int{true: 2, false: 1}[brokenOff]},
		{"resume", 2, received, brokenOff, 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			tp := newTestPlatform()
			tp.publish(endpoint("3", "llm"), endpoint("4", "llm"), endpoint("5", "llm"))
			tp.endpoints.respond = func(ctx context.Context, f *port.Forward, n int) (*port.Reply, error) {
				after := 0
				_, _ = fmt.Sscan(f.After, &after) // empty at the start
				parts, err := events(after+1, 6), io.EOF
				switch {
				case n == tc.at:
					parts, err = cut.parts(after), end
				case n < tc.at: // at most one event is sent before
					parts, err = events(1, min(cut.whole, 1)), port.ErrBroken
				}
				reply := streamReply(ctx, f, err, time.Millisecond, parts...)
				reply.Framing = framing
				return reply, nil
			}
			g := tp.startHost(t, testOptions("h1"))
			time.Sleep(settleTime)
			r := sendRequest(t.Context(), g, "req", tc.route)
			is.Equal(len(tp.endpoints.attempts("req")), tc.attempts)
			is.Equal(r.body.String(), tc.body)
			if brokenOff && tc.body == "" { // nothing was forwarded, so there is an answer of the host itself
				is.Equal(r.status, 502)
				is.Equal(r.problem.Run, problem.RunUnknown)
				return
			}
			is.Equal(r.status, 200)
			is.Equal(r.aborted, tc.aborted)
		})
	}
}

// TestMovedStreamClosedBetweenEvents guards against a moved stream that looks complete: its engine stops the
// run and closes the connection, which is also how an answer without a length or chunks ends.
func TestMovedStreamClosedBetweenEvents(t *testing.T) {
	t.Parallel()
	const sent = 5 // events that the first engine sends before it closes the connection
	for name, tc := range map[string]struct {
		lastErr  error
		handle   string
		attempts int
		events   int // that the caller gets
		aborted  bool
	}{
		"moved":                          {nil, "h", 2, 15, false},
		"stopped, and the copy was lost": {port.ErrMoveFailed, "", 1, sent, true},
		"stopped, returns to its engine": {port.ErrMoveFailed, "h", 2, 15, false},
		"complete before it was stopped": {port.ErrNoSuchRun, "", 1, sent, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tp := newTestPlatform()
				tp.publish(endpoint("3", "llm"), endpoint("4", "llm"), endpoint("5", "llm"))
				stopped := make(chan struct{})
				tp.endpoints.respond = func(ctx context.Context, f *port.Forward, n int) (*port.Reply, error) {
					after := 0
					_, _ = fmt.Sscan(f.After, &after)
					last, pause := 15, time.Millisecond
					if n == 1 {
						last, pause = sent, 150*time.Millisecond
					}
					reply := streamReply(ctx, f, io.EOF, pause, events(after+1, last)...)
					reply.Framing = port.FramingConnection
					if n == 1 {
						reply.Body = &closedWhen{reply.Body, stopped}
					}
					return reply, nil
				}
				tp.endpoints.move = func(_ string, m port.StreamMove) (string, error) {
					select {
					case <-stopped:
						return "", port.ErrNoSuchRun
					default:
					}
					if !m.Last {
						return "h", nil
					}
					close(stopped)
					time.Sleep(300 * time.Millisecond)
					return tc.handle, tc.lastErr
				}
				g := tp.startHost(t, testOptions("h1"))
				time.Sleep(settleTime)
				time.AfterFunc(500*time.Millisecond, func() {
					e := endpoint(tp.endpoints.attempts("req")[0].Endpoint, "llm")
					e.State, e.Leaving, e.Leaves = fleet.StateDraining, true, time.Second
					tp.store.put(port.TopicEndpoints, e.ID, e)
				})
				r := sendRequest(t.Context(), g, "req", "stream")
				is.Equal(len(tp.endpoints.attempts("req")), tc.attempts)
				is.Equal(r.aborted, tc.aborted)
				is.Equal(r.body.String(), strings.Join(events(1, tc.events), ""))
			})
		})
	}
}

// closedWhen ends a body without an error after its last event, but not before stopped is closed.
type closedWhen struct {
	io.ReadCloser
	stopped chan struct{}
}

func (b *closedWhen) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		<-b.stopped
	}
	return n, err
}
