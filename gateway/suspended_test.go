package gateway

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestGracePeriodOfASuspendedMachine guards against a leaving host that goes on beyond its grace period, which the platform
// counts, because the machine was suspended and its steady clock stood still: before the host noticed SIGTERM, or after.
func TestGracePeriodOfASuspendedMachine(t *testing.T) {
	const suspension = 3 * time.Second
	for name, tc := range map[string]struct {
		before, after bool
		want          time.Duration // by the steady clock
	}{
		"not suspended":           {false, false, 8*time.Second - leaveMargin},
		"when SIGTERM was sent":   {true, false, 5*time.Second - leaveMargin},
		"a second after it":       {false, true, 5*time.Second - leaveMargin},
		"then and a second later": {true, true, 2*time.Second - leaveMargin},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tp := newTestPlatform()
				o := testOptions("h1")
				o.GracePeriod = 8 * time.Second
				var suspended atomic.Int64
				g := tp.startHostWith(t, o, nil, tp.leaderAPI, func(g *Gateway) {
					g.pauses.measure(func() time.Duration { return time.Duration(suspended.Load()) })
				})
				time.Sleep(2 * time.Second)
				is.True(g.calls.open()) // a request that doesn't end
				defer g.calls.done()
				if tc.before {
					suspended.Add(int64(suspension))
				}
				if tc.after {
					time.AfterFunc(time.Second, func() { suspended.Add(int64(suspension)) })
				}
				began := time.Now()
				g.Leave(t.Context())
				took := time.Since(began)
				is.True(took >= tc.want-loadInterval) // the last sign that it ran before
				is.True(took <= tc.want+2*leaveCheckInterval)
			})
		})
	}
}
