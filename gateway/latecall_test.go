package gateway

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/port"
)

// slowLeaderAPI takes a while for each call and notes those made, or still waiting, while their host does not hold the
// leadership.
type slowLeaderAPI struct {
	g           atomic.Pointer[Gateway]
	takes       time.Duration
	calls, late atomic.Int64
}

func (a *slowLeaderAPI) call(ctx context.Context, t port.Tenure) error {
	a.calls.Add(1)
	err := error(nil)
	select {
	case <-afterDelay(a.takes):
	case <-ctx.Done():
		err = port.ErrLeaderAPIUnavailable
	}
	// The end of the lease itself is not late.
	if token, held := a.g.Load().leader.heldToken(time.Now().Add(-time.Millisecond)); !held || token != t.FencingToken {
		a.late.Add(1)
	}
	return err
}

func (a *slowLeaderAPI) ReportUsage(ctx context.Context, t port.Tenure, _ int64, _ map[string]int) error {
	return a.call(ctx, t)
}

func (a *slowLeaderAPI) OrderCapacity(ctx context.Context, t port.Tenure, _ port.CapacityOrder) error {
	return a.call(ctx, t)
}

// TestNoCallAfterTheLease guards against a leader that goes on with a row of orders, or that has one waiting for a
// connection, after its lease has ended meanwhile: another host may have taken over.
func TestNoCallAfterTheLease(t *testing.T) {
	t.Parallel()
	for _, takes := range []time.Duration{50 * time.Millisecond, 400 * time.Millisecond, 1400 * time.Millisecond, time.Minute} {
		t.Run(fmt.Sprint(takes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tp := newTestPlatform()
				scaled := scaledConfiguration()
				for i := range 8 {
					service := scaled.Services["llm"]
					service.Name = fmt.Sprint("llm", i)
					scaled.Services[service.Name] = service
					for n := range 3 {
						e := endpoint(fmt.Sprint(i, "-", n), service.Name)
						tp.store.put(port.TopicEndpoints, e.ID, e)
					}
				}
				tp.store.put(port.TopicConfiguration, configurationKey, scaled)
				opts := testOptions("h1")
				opts.OrdersCapacity = true
				api := &slowLeaderAPI{takes: takes}
				g := tp.startHostWith(t, opts, nil, api, api.g.Store)
				time.Sleep(20 * time.Second)
				is.True(api.calls.Load() > 4)
				is.Equal(api.late.Load(), int64(0))
				is.True(g.Ready())
			})
		})
	}
}
