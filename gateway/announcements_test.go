package gateway

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/fleet"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
)

// TestEndpointAnnouncesLeaving: after an answer that says that its endpoint leaves, no further
// request is sent there, also while the registry still lists the endpoint as ready and while the
// store is out of reach. A later incarnation is used again.
func TestEndpointAnnouncesLeaving(t *testing.T) {
	t.Parallel()
	for name, storeDown := range map[string]bool{"in touch with the store": false, "without the store": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tp := newTestPlatform()
				tp.publish(endpoint("1", "api"), endpoint("2", "api"))
				leaving := ""
				tp.endpoints.respond = func(_ context.Context, f *port.Forward, _ int) (*port.Reply, error) {
					if leaving == "" {
						leaving = f.Endpoint
					}
					r := completeReply(f, 200, "ok")
					r.Leaving = f.Endpoint == leaving
					return r, nil
				}
				g := tp.startHost(t, testOptions("h1"))
				time.Sleep(settleTime)
				if storeDown {
					tp.store.setFail(func(string, port.Topic) error { return port.ErrStoreUnavailable })
				}
				is.Equal(sendRequest(t.Context(), g, "first", "get").status, 200)
				stillReady := endpoint(leaving, "api")
				stillReady.Slots++ // the entry changes, but not the incarnation
				tp.store.put(port.TopicEndpoints, leaving, stillReady)
				for i := range 50 {
					id := fmt.Sprint("r", i)
					is.Equal(sendRequest(t.Context(), g, id, "get").status, 200)
					is.True(tp.endpoints.attempts(id)[0].Endpoint != leaving)
					time.Sleep(100 * time.Millisecond)
				}
				tp.store.setFail(nil)
				again := endpoint(leaving, "api")
				again.Born++
				tp.store.put(port.TopicEndpoints, leaving, again)
				time.Sleep(settleTime)
				view, ok := g.fleet.Get(leaving)
				is.True(ok)
				is.Equal(view.State, fleet.StateReady)
			})
		})
	}
}

// TestEndpointAsksForTime: an endpoint that answers 503 with a time gets nothing until that has
// passed; when all endpoints have asked for time, callers are refused at once and are told when the
// first one takes requests again.
func TestEndpointAsksForTime(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp := newTestPlatform()
		tp.publish(endpoint("1", "api"), endpoint("2", "api"))
		asks := map[string]time.Duration{"1": 4 * time.Second, "2": 2 * time.Second}
		asked := map[string]time.Time{}
		tp.endpoints.respond = func(_ context.Context, f *port.Forward, _ int) (*port.Reply, error) {
			if at, ok := asked[f.Endpoint]; ok && time.Now().Before(at.Add(asks[f.Endpoint])) {
				t.Errorf("endpoint %s got a request %s after it asked for %s", f.Endpoint, time.Since(at), asks[f.Endpoint])
			}
			if _, ok := asked[f.Endpoint]; ok {
				return completeReply(f, 200, "ok"), nil
			}
			asked[f.Endpoint] = time.Now()
			r := declinedReply(f)
			r.RetryAfter = asks[f.Endpoint]
			return r, nil
		}
		g := tp.startHost(t, testOptions("h1"))
		time.Sleep(settleTime)
		is.Equal(sendRequest(t.Context(), g, "first", "order").status, 503) // both endpoints decline
		is.Equal(len(asked), 2)
		for i := range 20 {
			began := time.Now()
			r := sendRequest(t.Context(), g, fmt.Sprint("refused", i), "order")
			is.Equal(time.Since(began), time.Duration(0))
			is.Equal(r.problem.Run, problem.RunNot)
			is.Equal(r.problem.RetryAfter, asked["2"].Add(asks["2"]).Sub(began))
			time.Sleep(90 * time.Millisecond)
		}
		time.Sleep(300 * time.Millisecond)
		is.Equal(sendRequest(t.Context(), g, "later", "order").status, 200)
		is.Equal(tp.endpoints.attempts("later")[0].Endpoint, "2")
	})
}

// TestPauseDuringConnect: a request whose connection opens after its endpoint has asked for time is
// not sent there.
func TestPauseDuringConnect(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp := newTestPlatform()
		tp.publish(endpoint("1", "api"), endpoint("2", "api"))
		var g *Gateway
		first := ""
		tp.endpoints.respond = func(_ context.Context, f *port.Forward, n int) (*port.Reply, error) {
			if n == 1 {
				first = f.Endpoint
				time.Sleep(800 * time.Millisecond)
				g.fleet.Pause(time.Now(), f.Endpoint, 3*time.Second)
			}
			if err := f.Sending(); err != nil {
				return nil, errors.Wrap(port.ErrNotSent, err.Error())
			}
			return &port.Reply{Status: http.StatusNoContent, Authentic: true, Header: http.Header{}, Body: http.NoBody}, nil
		}
		g = tp.startHost(t, testOptions("h1"))
		time.Sleep(settleTime)
		is.Equal(sendRequest(t.Context(), g, "req", "order").status, http.StatusNoContent)
		attempts := tp.endpoints.attempts("req")
		is.Equal(len(attempts), 2)
		is.True(attempts[1].Endpoint != first)
		view, _ := g.fleet.Get(first)
		is.True(view.SuspectUntil.IsZero()) // it is reachable
	})
}
