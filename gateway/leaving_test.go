package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestLeavingAwaitsRequestsBeingRead guards against a request that is cut because it is still being read, and so not
// in progress yet, when a leaving host finds nothing in progress; and against one that begins after that.
func TestLeavingAwaitsRequestsBeingRead(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp := newTestPlatform()
		tp.publish(endpoint("1", "api"))
		g := tp.startHost(t, testOptions("h1"))
		time.Sleep(settleTime)
		is.True(g.BeginRequest())
		left := make(chan struct{})
		go func() {
			g.Leave(context.Background())
			close(left)
		}()
		time.Sleep(g.opts.GracePeriod - time.Second)
		select {
		case <-left:
			t.Fatal("left while a request was being read")
		default:
		}
		is.True(g.BeginRequest())
		g.EndRequest()
		g.EndRequest()
		<-left
		is.True(!g.BeginRequest())
		is.Equal(StoppingProblem().Status, 503)
	})
}

// TestLeavingEndsWithTheGracePeriod: a request that is never read to its end does not keep the process.
func TestLeavingEndsWithTheGracePeriod(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp := newTestPlatform()
		g := tp.startHost(t, testOptions("h1"))
		is.True(g.BeginRequest())
		began := time.Now()
		g.Leave(context.Background())
		is.True(time.Since(began) <= g.opts.GracePeriod)
		is.True(!g.BeginRequest())
	})
}

// TestLeavingAwaitsAnswersBeingTaken guards against an answer that is cut because its process ends early, with nothing in
// progress, before the caller has taken it.
func TestLeavingAwaitsAnswersBeingTaken(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct{ taken, left time.Duration }{ // before the end of the grace period
		"taken":       {2 * time.Second, 2 * time.Second},
		"never taken": {0, leaveMargin},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tp := newTestPlatform()
				g := tp.startHost(t, testOptions("h1"))
				end := time.Now().Add(g.opts.GracePeriod)
				g.untaken = func() int {
					if time.Until(end) > tc.taken {
						return 1
					}
					return 0
				}
				g.Leave(context.Background())
				is.True(time.Until(end) <= tc.left)
				is.True(time.Until(end) > tc.left-2*leaveCheckInterval)
				is.Equal(g.EndsAt(), end.Add(-leaveMargin))
			})
		})
	}
}
