package node

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/config"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
	"github.com/cicadanotch/cicadanotch/publish"
	"github.com/cicadanotch/cicadanotch/standin"
)

// stalledServices do not answer their first call.
type stalledServices struct {
	mu    sync.Mutex
	calls int
}

// Call implements port.ServiceCaller.
func (s *stalledServices) Call(ctx context.Context, _ string, r port.ServiceRequest) (port.ServiceResponse, error) {
	r.OnSend()
	s.mu.Lock()
	s.calls++
	first := s.calls == 1
	s.mu.Unlock()
	if first {
		<-ctx.Done()
		return port.ServiceResponse{}, port.ErrEndpointBroken
	}
	return port.ServiceResponse{Status: 200, Body: []byte("read")}, nil
}

// Probe implements port.ServiceCaller.
func (s *stalledServices) Probe(context.Context, string) error { return nil }

// Load implements port.ServiceCaller.
func (s *stalledServices) Load(context.Context, string) (port.LoadReport, error) {
	return port.LoadReport{}, nil
}

const plainDocument = `{"schema": 1, "service": "store", "kind": "plain",
	"routes": [{"method": "GET", "path": "/readings", "repeatable": true}, {"method": "POST", "path": "/orders"}],
	"placement": {"availability_zones": ["jos-a"], "machine_classes": ["l4"]},
	"latency": {"request_timeout": "20s"}, "workspaces": [{"name": "bokkos", "weight": 1}], "idempotency_window": "24h"}`

// TestSilentPlainService guards against requests that wait for their deadline on
// a stalled connection. A repeatable call must be retried; a non-idempotent call
// must not, and its outcome is unknown.
func TestSilentPlainService(t *testing.T) {
	for name, tc := range map[string]struct {
		method, path string
		calls        int
		run          problem.Run // empty for a complete answer
	}{
		"repeatable":     {"GET", "/readings", 2, ""},
		"non-idempotent": {"POST", "/orders", 1, problem.RunUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				log := standin.NewLog(standin.LogOptions{})
				_, err := publish.Publish(t.Context(), log, "store", 0, plainDocument)
				is.NoErr(err)
				services := &stalledServices{}
				n := New(Settings{
					Host: "entry", Region: "plateau", Zone: "jos-a", CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
					PollInterval: config.Duration(time.Second), LoadInterval: config.Duration(time.Second),
				}, Ports{
					Log: log, Services: services, Engine: fakeEngine{}, Peers: &fakePeers{},
					Cloud: &fakeCloud{hosts: []port.Host{
						{ID: "plain", Role: port.RoleEndpoint, Region: "plateau", Zone: "jos-a", Service: "store", State: port.HostLive, EndpointAddress: "plain"},
						{ID: "entry", Role: port.RoleEntry, Region: "plateau", Zone: "jos-a", State: port.HostLive},
					}},
				})
				n.Start()
				t.Cleanup(func() { _ = n.Stop() })
				time.Sleep(3 * time.Second)
				a, p := n.Accept(Call{Workspace: "bokkos", Service: "store", Method: tc.method, Path: tc.path, Body: []byte("b")})
				is.True(p == nil)
				begun := time.Now()
				for a.Answer.End() == nil {
					time.Sleep(10 * time.Millisecond)
				}
				end := a.Answer.End()
				is.Equal(services.calls, tc.calls)
				if tc.run == "" {
					is.Equal(string(end.Response.Body), "read")
					is.True(time.Since(begun) < 10*time.Second) // did not wait for the deadline
					return
				}
				is.Equal(end.Problem.Run, tc.run)
				is.Equal(end.Problem.Type, problem.TypeOutcomeUnknown)
			})
		})
	}
}
