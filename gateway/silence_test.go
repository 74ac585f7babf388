package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/port"
)

// silentBody falls silent once, before a number of reads, and then goes on.
type silentBody struct {
	io.Reader
	ctx     context.Context
	before  int
	silence time.Duration
}

func (b *silentBody) Read(p []byte) (int, error) {
	if b.before == 0 {
		select {
		case <-afterDelay(b.silence):
		case <-b.ctx.Done():
			return 0, port.ErrBroken
		}
	}
	b.before--
	return b.Reader.Read(p)
}

func (b *silentBody) Close() error { return nil }

// partsReader returns one part a read.
type partsReader struct{ parts []string }

func (r *partsReader) Read(p []byte) (int, error) {
	if len(r.parts) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.parts[0])
	r.parts = r.parts[1:]
	return n, nil
}

// TestSilenceOfASoundEndpoint guards against an answer that is given up although its endpoint would have gone on: endpoints
// fall silent for a second or so. What may not run twice is not sent again, and no answer is cut; what may be repeated is
// whole too, from whichever endpoint.
func TestSilenceOfASoundEndpoint(t *testing.T) {
	t.Parallel()
	const calls, streams = "calls", "streams"
	for _, silence := range []time.Duration{time.Second, 1300 * time.Millisecond} {
		for _, route := range []string{"get", "order", "stream", "resume"} {
			for _, where := range []struct {
				name   string
				of     string
				before int // reads; negative for before the head
			}{
				{"before the head", calls, -1},
				{"after the head", calls, 0},
				{"in the body", calls, 1},
				{"before the end of the body", calls, 3},
				{"before the head", streams, -1},
				{"before the first event", streams, 0},
				{"after the first event", streams, 1},
				{"between events", streams, 3},
				{"before the end of the stream", streams, 6},
			} {
				if (where.of == streams) != (route == "stream" || route == "resume") {
					continue
				}
				for _, others := range []int{0, 1} { // endpoints that don't fall silent
					t.Run(fmt.Sprintf("%s, %v %s, other endpoints %d", route, silence, where.name, others), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							testSilence(t, route, where.before, silence, others)
						})
					})
				}
			}
		}
	}
}

func testSilence(t *testing.T, route string, before int, silence time.Duration, others int) {
	is := is.New(t)
	tp := newTestPlatform()
	stream := route == "stream" || route == "resume"
	service := map[bool]string{true: "llm", false: "api"}[stream]
	for i := range others + 1 {
		tp.publish(endpoint(fmt.Sprint(3+i), service))
	}
	first := ""
	tp.endpoints.respond = func(ctx context.Context, f *port.Forward, n int) (*port.Reply, error) {
		_ = f.Sending()
		if n == 1 {
			first = f.Endpoint
		}
		sounds := f.Endpoint != first // goes on without a pause
		if !sounds && before < 0 {
			select {
			case <-afterDelay(silence):
			case <-ctx.Done():
				return nil, port.ErrBroken
			}
		}
		after := 0
		_, _ = fmt.Sscan(f.After, &after) // empty at the start
		parts := []string{"a", "b", "c"}
		if stream {
			parts = events(after+1, 6)
		}
		body := &silentBody{Reader: &partsReader{parts}, ctx: ctx, before: before, silence: silence}
		if sounds {
			body.silence = 0
		}
		return &port.Reply{Status: http.StatusOK, Authentic: true, Stream: stream, Length: -1, Framing: port.FramingChunks, Header: http.Header{}, Body: body}, nil
	}
	g := tp.startHost(t, testOptions("h1"))
	time.Sleep(settleTime)
	r := sendRequest(t.Context(), g, "req", route)
	attempts := len(tp.endpoints.attempts("req"))
	t.Logf("%d attempts, status %d, aborted %t", attempts, r.status, r.aborted)
	is.Equal(r.status, http.StatusOK)
	is.True(!r.aborted)
	is.Equal(r.body.String(), map[bool]string{true: strings.Join(events(1, 6), ""), false: "abc"}[stream])
	if route == "order" || route == "stream" {
		is.Equal(attempts, 1)
	}
	is.True(attempts <= 2)
}
