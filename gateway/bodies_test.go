package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/body"
	"github.com/cicadanotch/cicadanotch/memory"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
)

// TestBodiesOfOneWorkspaceGiveWay guards against callers of one workspace whose bodies fill what the host may hold of bodies
// while they are read, so that those of others are refused.
func TestBodiesOfOneWorkspaceGiveWay(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const longest = 4 << 20
		is := is.New(t)
		tp := newTestPlatform()
		tp.publish(endpoint("1", "api"))
		g := tp.startHost(t, testOptions("h1"))
		time.Sleep(settleTime)
		open := func(remote string, revoke func()) *body.Room {
			return g.OpenBody(time.Now(), &port.Request{ID: "r", Host: "x", Path: "/order/1", Key: "unknown"}, remote, revoke)
		}
		var refused []*problem.Problem
		var waited time.Duration
		revoked := 0
		for range 105 {
			var b *body.Room
			b = open("10.0.0.1:99", func() { revoked++; go b.Release() })
			began := time.Now()
			if p := b.Reserve(t.Context(), longest); p != nil {
				refused = append(refused, p)
				waited = max(waited, time.Since(began))
			}
		}
		held, limit := g.account.Usage(memory.KindBody)
		is.True(held > limit/2 && held <= limit)
		is.True(len(refused) > 0)
		is.True(waited <= body.MaxWait)
		for _, p := range refused {
			is.Equal(p.Status, http.StatusServiceUnavailable)
			is.Equal(p.Run, problem.RunNot)
			is.True(p.RetryAfter > 0)
		}
		for n := range 3 { // of other callers
			b := open(fmt.Sprintf("10.0.0.%d:99", n+2), nil)
			is.True(b.Reserve(t.Context(), longest) == nil)
			is.True(b.Keep(longest) == nil)
		}
		small := open("10.0.0.1:99", nil) // beside long ones of the same caller
		began := time.Now()
		is.True(small.Reserve(t.Context(), 12_000) == nil)
		is.Equal(time.Since(began), time.Duration(0))
		is.Equal(strings.Count(tp.log(), `"event":"no_memory"`), len(refused))
	})
}
