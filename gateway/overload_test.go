package gateway

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/overload"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
)

// TestCallsThatCannotEndInTimeAreRefusedAtOnce replays a burst of calls, each of whose callers leaves after a
// second, on two endpoints that work off a small part of it by then.
func TestCallsThatCannotEndInTimeAreRefusedAtOnce(t *testing.T) {
	t.Parallel()
	const burst = 1500
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp := newTestPlatform()
		tp.publish(endpoint("1", "api"), endpoint("2", "api"))
		tp.endpoints.respond = func(ctx context.Context, f *port.Forward, _ int) (*port.Reply, error) {
			reply := completeReply(f, 200, "ok")
			select {
			case <-time.After(900 * time.Millisecond):
				return reply, nil
			case <-ctx.Done():
				return nil, errors.Wrap(port.ErrBroken, "closed")
			}
		}
		g := tp.startHost(t, testOptions("h1"))
		time.Sleep(3 * time.Second)
		start := time.Now()
		var mu sync.Mutex
		refused, delays := 0, map[time.Duration]int{}
		var group sync.WaitGroup
		for n := range burst {
			group.Go(func() {
				out := &recorder{}
				g.Serve(t.Context(), time.Now(), &port.Request{
					ID: fmt.Sprint("q", n), Method: "POST", Host: "x", Path: "/order/1", Target: "/order/1", Key: "key",
					CallerTimeout: time.Second,
				}, out)
				mu.Lock()
				defer mu.Unlock()
				if out.problem == nil || out.problem.Type != problem.TypeOverloaded {
					return
				}
				refused++
				delays[out.problem.RetryAfter]++
				is.Equal(time.Since(start), time.Duration(0)) // at once
				is.Equal(out.problem.Run, problem.RunNot)
				is.True(out.problem.RetryAfter >= overload.MinRetryAfter && out.problem.RetryAfter <= overload.MaxRetryAfter)
				is.Equal(len(tp.endpoints.attempts(fmt.Sprint("q", n))), 0)
			})
		}
		group.Wait()
		is.True(refused > 0)
		is.True(refused < burst)
		is.True(strings.Contains(tp.log(), `"reason":"deadline"`))
	})
}
