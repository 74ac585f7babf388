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

// TestLongAnswerInProgressIsNotAbandoned guards against a long answer that is cut because it takes longer than the
// time after which another endpoint would be tried.
func TestLongAnswerInProgressIsNotAbandoned(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp := newTestPlatform()
		tp.publish(endpoint("1", "api"), endpoint("2", "api"))
		parts := slices.Repeat([]string{strings.Repeat("x", readBufferBytes)}, 2*maxBufferedBytes/readBufferBytes)
		tp.endpoints.respond = func(ctx context.Context, f *port.Forward, _ int) (*port.Reply, error) {
			reply := streamReply(ctx, f, io.EOF, 5*time.Millisecond, parts...)
			reply.Stream = false
			return reply, nil
		}
		g := tp.startHost(t, testOptions("h1"))
		time.Sleep(settleTime)
		r := sendRequest(t.Context(), g, "req", "get")
		is.Equal(len(tp.endpoints.attempts("req")), 1)
		is.Equal(r.body.Len(), 2*maxBufferedBytes)
		is.True(!r.aborted)
	})
}
