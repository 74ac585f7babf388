package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/catalog"
	"github.com/cicadanotch/cicadanotch/fleet"
	"github.com/cicadanotch/cicadanotch/port"
)

// takeover is what an endpoint answers that is to continue a stream.
type takeover struct {
	name   string
	answer func(ctx context.Context, f *port.Forward) (*port.Reply, error)
	// ends is set if the answer states that no event is left: it is a stream that is framed as complete, and the event
	// before the break may have been the last.
	ends bool
}

// status returns an answer with a status that is no stream.
func status(code int, change func(*port.Reply)) func(context.Context, *port.Forward) (*port.Reply, error) {
	return func(_ context.Context, f *port.Forward) (*port.Reply, error) {
		r := completeReply(f, code, "data: failed\n\n")
		r.Framing = port.FramingLength
		if change != nil {
			change(r)
		}
		return r, nil
	}
}

// stream returns an answer that is a stream of the given parts.
func stream(framing port.Framing, end error, parts ...string) func(context.Context, *port.Forward) (*port.Reply, error) {
	return func(ctx context.Context, f *port.Forward) (*port.Reply, error) {
		r := streamReply(ctx, f, end, time.Millisecond, parts...)
		r.Framing = framing
		return r, nil
	}
}

// failed returns the failure of an attempt without an answer.
func failed(err error, sent bool) func(context.Context, *port.Forward) (*port.Reply, error) {
	return func(_ context.Context, f *port.Forward) (*port.Reply, error) {
		if sent {
			_ = f.Sending()
		}
		return nil, err
	}
}

var takeovers = func() []takeover {
	declined := func(r *port.Reply) { r.Authentic, r.Declined = false, true }
	unmarked := func(r *port.Reply) { r.Authentic = false }
	reset := errors.Wrap(port.ErrBroken, "reset")
	out := []takeover{
		{name: "200 that is no stream", answer: status(200, nil)},
		{name: "200 that is no stream, without a signature", answer: status(200, unmarked)},
		{name: "200 that is no stream, without a body", answer: status(200, func(r *port.Reply) { r.Body, r.Length = http.NoBody, 0 })},
		{name: "200 that is no stream, to the end of the connection", answer: status(200, func(r *port.Reply) { r.Length, r.Framing = -1, port.FramingConnection })},
		{name: "204", answer: status(204, nil)},
		{name: "301", answer: status(301, nil)},
		{name: "307 without a signature", answer: status(307, unmarked)},
		{name: "400", answer: status(400, nil)},
		{name: "400 that did not run", answer: status(400, declined)},
		{name: "404 without a signature", answer: status(404, unmarked)},
		{name: "421", answer: status(421, func(r *port.Reply) { r.Authentic, r.Misdirected = false, true })},
		{name: "429 that did not run", answer: status(429, declined)},
		{name: "429", answer: status(429, nil)},
		{name: "500", answer: status(500, nil)},
		{name: "500 as a stream", answer: status(500, func(r *port.Reply) { r.Stream = true })},
		{name: "500 to the end of the connection", answer: status(500, func(r *port.Reply) { r.Length, r.Framing = -1, port.FramingConnection })},
		{name: "502 without a signature", answer: status(502, unmarked)},
		{name: "503 that did not run", answer: status(503, declined)},
		{name: "503 that did not run, as a stream", answer: status(503, func(r *port.Reply) { declined(r); r.Stream = true })},
		{name: "503 that asks for time", answer: status(503, func(r *port.Reply) { declined(r); r.RetryAfter = time.Second })},
		{name: "503 without a statement", answer: status(503, unmarked)},
		{name: "503 with a signature", answer: status(503, nil)},
		{name: "a long error", answer: status(500, func(r *port.Reply) {
			r.Length, r.Body = 2*maxBufferedBytes, io.NopCloser(strings.NewReader(strings.Repeat("data: x\n\n", 2*maxBufferedBytes/9)))
		})},
		{name: "a head cut short", answer: failed(errors.Wrap(port.ErrBroken, "read head: unexpected EOF"), true)},
		{name: "a head without end", answer: failed(port.ErrEndless, true)},
		{name: "no connection", answer: failed(port.ErrNotSent, false)},
		{name: "no room for a connection", answer: failed(port.ErrTooManyConnections, false)},
	}
	for _, framing := range []port.Framing{port.FramingLength, port.FramingChunks, port.FramingConnection} {
		for _, s := range []struct {
			name string
			end  error
			ends bool
			text []string
		}{
			{"stream without an event", io.EOF, framing != port.FramingConnection, nil},
			{"stream without an event, reset", reset, false, nil},
			{"stream of a comment", io.EOF, framing != port.FramingConnection, []string{": hello\n\n"}},
			{"error text as a stream", io.EOF, false, []string{"upstream error"}},
			{"error text in a line as a stream", io.EOF, false, []string{"upstream error\n"}},
			{"error text in a block as a stream", io.EOF, false, []string{"upstream error\n\n"}},
			{"head of an answer in a stream", io.EOF, false, []string{"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nerror"}},
			{"head of an answer in a stream, reset", reset, false, []string{"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nerror"}},
			{"one event again, then an error text", io.EOF, false, []string{"id: 3\ndata: x\n\n", "upstream error"}},
			{"one event again, then reset", reset, false, []string{"id: 3\ndata: x\n\n"}},
		} {
			out = append(out, takeover{name: s.name + ", " + string(framing), answer: stream(framing, s.end, s.text...), ends: s.ends})
		}
	}
	return out
}()

// TestErrorOfTheNextEndpointIsNoPartOfTheStream guards against an error of the endpoint that is to continue a broken
// stream: its text or head in the middle of the caller's stream, or a stream that ends there as if it were complete.
func TestErrorOfTheNextEndpointIsNoPartOfTheStream(t *testing.T) {
	t.Parallel()
	for _, second := range takeovers {
		for name, third := range map[string]func(context.Context, *port.Forward) (*port.Reply, error){
			"the third goes on":   nil,
			"the third fails too": second.answer,
			"there is no third":   nil,
		} {
			t.Run(second.name+"/"+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testTakeover(t, second, third, name == "there is no third") })
			})
		}
	}
}

func testTakeover(t *testing.T, second takeover, third func(context.Context, *port.Forward) (*port.Reply, error), last bool) {
	is := is.New(t)
	tp := newTestPlatform()
	tp.publish(endpoint("3", "llm"), endpoint("4", "llm"))
	if !last {
		tp.publish(endpoint("5", "llm"))
	}
	c := configuration(2)
	for i := range c.Routes {
		if c.Routes[i].Kind == catalog.KindStreaming {
			c.Routes[i].MaxAttempts = 3
		}
	}
	tp.store.put(port.TopicConfiguration, configurationKey, c)
	tp.endpoints.respond = func(ctx context.Context, f *port.Forward, n int) (*port.Reply, error) {
		switch {
		case n == 1:
			return streamReply(ctx, f, port.ErrBroken, time.Millisecond, events(1, 3)...), nil
		case n == 2 || last:
			return second.answer(ctx, f)
		case third != nil:
			return third(ctx, f)
		}
		is.Equal(f.After, "3")
		return streamReply(ctx, f, io.EOF, time.Millisecond, events(4, 6)...), nil
	}
	g := tp.startHost(t, testOptions("h1"))
	time.Sleep(settleTime)
	r := sendRequest(t.Context(), g, "req", "resume")

	goesOn := third == nil && !last
	want := strings.Join(events(1, 3), "")
	if goesOn && !second.ends {
		want = strings.Join(events(1, 6), "")
	}
	is.Equal(withoutComments(r.body.String()), want)
	is.Equal(r.aborted, !goesOn && !second.ends)
	is.Equal(r.begins, 1)
	is.Equal(r.status, http.StatusOK)
	is.True(r.problem == nil)
	used := map[string]int{}
	for _, f := range tp.endpoints.attempts("req") {
		used[f.Endpoint]++
		is.Equal(used[f.Endpoint], 1) // an endpoint that has failed the stream is not asked again
	}
}

// withoutComments returns a stream without its comments, which a caller ignores.
func withoutComments(stream string) string {
	var out strings.Builder
	for line := range strings.Lines(stream) {
		if !strings.HasPrefix(line, ":") {
			out.WriteString(line)
		}
	}
	return strings.TrimRight(out.String(), "\n") + "\n\n"
}

// TestErrorOfTheTargetOfAMove guards against the same where the endpoint that fails is the one that a stream was moved to
// with its memory, on a route whose streams cannot be resumed.
func TestErrorOfTheTargetOfAMove(t *testing.T) {
	t.Parallel()
	for _, target := range takeovers {
		t.Run(target.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testMoveTakeover(t, target) })
		})
	}
}

func testMoveTakeover(t *testing.T, target takeover) {
	const sent = 5 // events that the first endpoint sends before it is told to stop
	is := is.New(t)
	tp := newTestPlatform()
	tp.publish(endpoint("3", "llm"), endpoint("4", "llm"), endpoint("5", "llm"))
	stopped := make(chan struct{})
	tp.endpoints.respond = func(ctx context.Context, f *port.Forward, n int) (*port.Reply, error) {
		if n == 1 {
			reply := streamReply(ctx, f, io.EOF, 150*time.Millisecond, events(1, sent)...)
			reply.Framing, reply.Body = port.FramingConnection, &closedWhen{reply.Body, stopped}
			return reply, nil
		}
		is.True(f.Copy != nil)
		return target.answer(ctx, f)
	}
	tp.endpoints.move = func(_ string, m port.StreamMove) (string, error) {
		if m.Last {
			close(stopped)
		}
		return "h", nil
	}
	g := tp.startHost(t, testOptions("h1"))
	time.Sleep(settleTime)
	time.AfterFunc(500*time.Millisecond, func() {
		e := endpoint(tp.endpoints.attempts("req")[0].Endpoint, "llm")
		e.State, e.Leaving, e.Leaves = fleet.StateDraining, true, time.Second
		tp.store.put(port.TopicEndpoints, e.ID, e)
	})
	r := sendRequest(t.Context(), g, "req", "stream")
	is.Equal(r.begins, 1)
	is.Equal(r.status, http.StatusOK)
	is.True(r.problem == nil)
	is.Equal(len(tp.endpoints.attempts("req")), 2)
	is.Equal(withoutComments(r.body.String()), strings.Join(events(1, sent), ""))
	is.Equal(r.aborted, !target.ends)
}
