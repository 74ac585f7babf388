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

	"github.com/cicadanotch/cicadanotch/fleet"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/rollout"
)

// end makes a host believe that the order to move a service to version 2 has ended.
func (s *rolloutState) end(service string, state rollout.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := rollout.Order{Service: service, Target: "v2", Duration: orderDuration}
	s.held[service] = &heldRollout{order: o, evidence: rollout.Evidence{}, record: rollout.Record{Order: o, State: state, Others: []string{"v1"}}}
}

// TestStreamsOfARolledBackVersion: a stream that began at a version does not go on there after it was rolled back,
// neither in a further attempt nor by a move, and none goes on at the other version.
func TestStreamsOfARolledBackVersion(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		route  string
		leaves bool // the endpoint leaves, otherwise it breaks the stream off
		state  rollout.State
		goesOn bool
	}{
		"broken off, rolled back":   {"resume", false, rollout.StateRolledBack, false},
		"broken off, completed":     {"resume", false, rollout.StateCompleted, true},
		"moved, rolled back":        {"stream", true, rollout.StateRolledBack, false},
		"moved, completed":          {"stream", true, rollout.StateCompleted, true},
		"resumed, rolled back":      {"resume", true, rollout.StateRolledBack, false},
		"broken off, not resumable": {"stream", false, rollout.StateRolledBack, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tp := newTestPlatform()
				tp.publishSoftware("21", "22")
				moves := 0
				tp.endpoints.move = func(string, port.StreamMove) (string, error) {
					moves++
					return "handle", nil
				}
				tp.endpoints.respond = func(ctx context.Context, f *port.Forward, n int) (*port.Reply, error) {
					if err := f.Sending(); err != nil {
						return nil, port.ErrNotSent
					}
					again := *f
					again.Sending = func() error { return nil }
					end, last := io.EOF, 15
					if n == 1 && !tc.leaves {
						end, last = port.ErrBroken, 6
					}
					return streamReply(ctx, &again, end, 150*time.Millisecond, events(position(f)+1, last)...), nil
				}
				g := tp.startHost(t, testOptions("h1"))
				time.Sleep(settleTime)
				time.AfterFunc(400*time.Millisecond, func() {
					tp.publishSoftware("11", "12")
					g.rollouts.end("llm", tc.state)
				})
				if tc.leaves {
					time.AfterFunc(600*time.Millisecond, func() {
						for _, f := range tp.endpoints.attempts("req") {
							e := softwareEndpoint(f.Endpoint)
							e.State, e.Leaving, e.Leaves = fleet.StateDraining, true, 800*time.Millisecond
							tp.store.put(port.TopicEndpoints, e.ID, e)
						}
					})
				}
				r := sendRequest(t.Context(), g, "req", tc.route)
				sent := tp.endpoints.attempts("req")
				for _, f := range sent {
					is.Equal(softwareOf(f), "v2")
				}
				is.Equal(len(sent) > 1 || moves > 0, tc.goesOn)
				if tc.goesOn && tc.route == "resume" {
					is.Equal(r.body.String(), strings.Join(events(1, 15), ""))
				}
			})
		})
	}
}

// TestEndedOrdersExclude guards against requests to a version after its order has ended, a service without any
// endpoint because of it, and a later version that is not served.
func TestEndedOrdersExclude(t *testing.T) {
	h := func(state rollout.State, others ...string) *heldRollout {
		o := rollout.Order{Service: "s", Target: "v2", Duration: orderDuration}
		return &heldRollout{order: o, record: rollout.Record{Order: o, State: state, Others: others}}
	}
	for name, tc := range map[string]struct {
		held    *heldRollout
		version string
		want    bool
	}{
		"rolled back, target":                     {h(rollout.StateRolledBack, "v1"), "v2", true},
		"rolled back, old":                        {h(rollout.StateRolledBack, "v1"), "v1", false},
		"rolled back, target was the only one":    {h(rollout.StateRolledBack), "v2", false},
		"completed, target":                       {h(rollout.StateCompleted, "v1"), "v2", false},
		"completed, old":                          {h(rollout.StateCompleted, "v1"), "v1", true},
		"completed, a later one":                  {h(rollout.StateCompleted, "v1"), "v3", false},
		"serving, target (decided by permission)": {h(rollout.StateServing, "v1"), "v2", false},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(tc.held.excludes(tc.version), tc.want) })
	}
}

// TestCanaryIsConcentrated: a fraction of requests goes to as many endpoints as it asks for, the same at all hosts.
func TestCanaryIsConcentrated(t *testing.T) {
	is := is.New(t)
	views := make([]fleet.View, 60)
	for i := range views {
		views[i].ID = string(rune('a'+i/10)) + string(rune('0'+i%10))
	}
	few := concentrate("s/v2", views, 0.065)
	is.Equal(len(few), 4)
	ids := func(views []fleet.View) []string {
		var out []string
		for _, v := range views {
			out = append(out, v.ID)
		}
		slices.Sort(out)
		return out
	}
	is.Equal(ids(concentrate("s/v2", append(views[30:60:60], views[:30]...), 0.065)), ids(few))
	is.Equal(len(concentrate("s/v2", views[:6], 0.065)), 1)
	is.Equal(len(concentrate("s/v2", views, 1)), 60)
}
