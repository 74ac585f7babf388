package gateway

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/memory"
	"github.com/cicadanotch/cicadanotch/port"
)

// stallingBody sends a part of an event and then nothing until its context ends.
type stallingBody struct {
	ctx  context.Context
	left int
}

func (b *stallingBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		<-b.ctx.Done()
		return 0, port.ErrBroken
	}
	n := min(len(p), b.left)
	copy(p, strings.Repeat("x", n))
	b.left -= n
	return n, nil
}

func (b *stallingBody) Close() error { return nil }

// TestEventsOfOneEndpointGiveWay guards against an endpoint whose unfinished events fill what the host may hold of answers,
// so that streams of other endpoints are cut: the endpoint's own are given up, and it is suspect.
func TestEventsOfOneEndpointGiveWay(t *testing.T) {
	t.Parallel()
	for _, faulty := range []int{1, 4, 16} {
		t.Run(fmt.Sprint(faulty), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const (
					heldBytes = 200 << 10
					streams   = 160
				)
				is := is.New(t)
				tp := newTestPlatform()
				g := tp.startHost(t, testOptions("h1"))
				for n := range streams {
					c := &call{g: g, req: &port.Request{ID: fmt.Sprint("s", n)}, out: &countingResponder{}}
					a := &endpointAttempt{}
					a.view.ID = fmt.Sprint("faulty-", n%faulty)
					ctx, cancel := context.WithCancelCause(t.Context())
					a.cancel = cancel
					go func() {
						_, _ = c.forwardStream(a, endlessReply(&port.Forward{Sending: func() error { return nil }}, &stallingBody{ctx, heldBytes}, true), &watchdog{})
					}()
				}
				synctest.Wait()
				held, limit := g.account.Usage(memory.KindAnswer)
				is.True(held > limit/2 && held <= limit)
				share := limit / int64(faulty+2) // even, and as large for one that may come
				for range share / heldBytes {    // events of a sound endpoint that has not finished them
					c := &call{g: g, req: &port.Request{ID: "sound"}, out: &countingResponder{}}
					answer := heldAnswer{c: c, a: &endpointAttempt{}}
					answer.a.view.ID = "sound"
					is.True(answer.grow(heldBytes))
				}
				synctest.Wait()
				held, limit = g.account.Usage(memory.KindAnswer)
				is.True(held <= limit)
			})
		})
	}
}
