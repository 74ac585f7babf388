package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestWatchdogAsksAgain guards against an attempt that is never abandoned because no other one was allowed at the
// moment at which it became unresponsive.
func TestWatchdogAsksAgain(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancelCause(t.Context())
		defer cancel(nil)
		asked := 0
		wd := startWatchdog(cancel, time.Second, func() bool { asked++; return asked > 2 })
		defer wd.stop()
		time.Sleep(time.Second + watchdogRetryInterval)
		synctest.Wait()
		is.NoErr(ctx.Err())
		time.Sleep(watchdogRetryInterval)
		synctest.Wait()
		is.Equal(context.Cause(ctx), errUnresponsive)
	})
}

// TestStoppedWatchdogStaysStopped guards against an attempt that is abandoned after it has made progress.
func TestStoppedWatchdogStaysStopped(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancelCause(t.Context())
		defer cancel(nil)
		started := make(chan *watchdog, 1)
		started <- startWatchdog(cancel, time.Second, func() bool {
			(<-started).stop()
			return false
		})
		time.Sleep(time.Minute)
		synctest.Wait()
		is.NoErr(ctx.Err())
	})
}
