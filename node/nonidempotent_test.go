package node

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/attempt"
	"github.com/cicadanotch/cicadanotch/claim"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
	"github.com/cicadanotch/cicadanotch/publish"
	"github.com/cicadanotch/cicadanotch/record"
	"github.com/cicadanotch/cicadanotch/standin"
)

// ran returns how often a call with the given body ran.
func (s *fakeServices) ran(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[body]
}

func (s *fakeServices) setLookup(path, body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lookups[path] = port.ServiceResponse{Status: 200, Body: []byte(body)}
}

// send sends a non-idempotent request to a node and returns without waiting for the
// answer.
func (c *cluster) send(node int, key, body string) *Accepted {
	c.t.Helper()
	a, p := c.nodes[node].Accept(Call{
		Service: testService, Workspace: "bokkos", Method: "POST", Path: testRoute, Body: []byte(body), IdempotencyKey: key,
	})
	if p != nil {
		c.t.Fatal(p)
	}
	return a
}

// awaitEnd waits for the end of a request and returns "200 <body>" or the run and type of
// the problem.
func (c *cluster) awaitEnd(a *Accepted) string {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), 2*time.Minute)
	defer cancel()
	_, end, err := a.Answer.Next(ctx, 0)
	if err != nil {
		c.t.Fatal("the request did not end within 2 minutes")
	}
	if end.Problem != nil {
		return string(end.Problem.Run) + " " + string(end.Problem.Type)
	}
	return fmt.Sprint(end.Response.Status, " ", string(end.Response.Body))
}

const (
	ranOnce        = "200 run 1 of fan on"
	unknownOutcome = "unknown outcome-unknown"
	notRunNoLog    = "not-run log-unavailable"
)

// TestOrderCrashPoints kills the owner or makes the log unavailable between any two
// steps of a non-idempotent request and sends a duplicate to the same or to another
// host. The call must run at most once, and a request whose outcome is lost must end as
// unknown.
func TestOrderCrashPoints(t *testing.T) {
	type want struct{ first, second string }
	for name, tc := range map[string]struct {
		// fault is injected before the first request.
		fault *standin.Fault
		// claimDelay is how late appends of claims take effect.
		claimDelay time.Duration
		// before and after run around the effect of the endpoint's first call.
		before, after func(c *cluster) error
		// between runs after the end of the first request, if it ends, and before the
		// second.
		between func(c *cluster)
		// ownerKilled is set when the owner is killed, so that its caller gets no answer.
		ownerKilled bool
		// sameHost is set when the duplicate goes to the host of the first request.
		sameHost bool
		want     want
		runs     int
	}{
		"no fault, same host":  {sameHost: true, want: want{ranOnce, ranOnce}, runs: 1},
		"no fault, other host": {want: want{ranOnce, ranOnce}, runs: 1},
		"all replies lost": {
			fault: &standin.Fault{Point: standin.PointAppend, Action: standin.ActionLoseReply},
			want:  want{ranOnce, ranOnce}, runs: 1,
		},
		"claim appended twice": {
			fault: &standin.Fault{Point: standin.PointAppend, Action: standin.ActionRepeat},
			want:  want{ranOnce, ranOnce}, runs: 1,
		},
		"claim rate limited for a while": {
			fault: &standin.Fault{Point: standin.PointAppend, Action: standin.ActionRefuse, ToCall: 4},
			want:  want{ranOnce, ranOnce}, runs: 1,
		},
		"log down before the claim, back before the second": {
			fault:   &standin.Fault{Point: standin.PointAppend, Action: standin.ActionFail},
			between: func(c *cluster) { c.faults.Remove(standin.PointAppend) },
			want:    want{notRunNoLog, ranOnce}, runs: 1,
		},
		"log down before the claim, same host": {
			fault:    &standin.Fault{Point: standin.PointAppend, Action: standin.ActionFail},
			between:  func(c *cluster) { c.faults.Remove(standin.PointAppend) },
			sameHost: true,
			want:     want{notRunNoLog, ranOnce}, runs: 1,
		},
		"log stays down": {
			fault: &standin.Fault{Point: standin.PointAppend, Action: standin.ActionFail},
			want:  want{notRunNoLog, notRunNoLog}, runs: 0,
		},
		"claim appended, no reply and no read until later": {
			fault: &standin.Fault{Point: standin.PointRead, Action: standin.ActionFail},
			between: func(c *cluster) {
				c.faults.Remove(standin.PointRead)
				c.faults.Remove(standin.PointAppend)
			},
			want: want{notRunNoLog, ranOnce}, runs: 1,
		},
		"claim appended after the deadline": {
			claimDelay: 25 * time.Second,
			between:    func(c *cluster) { c.claimLog.claimDelay.Store(0); time.Sleep(time.Second) },
			want:       want{notRunNoLog, ranOnce}, runs: 1,
		},
		"owner killed before the send": {
			before:      func(c *cluster) error { c.kill(0); return port.ErrEndpointUnreachable },
			ownerKilled: true,
			between:     func(c *cluster) { c.cloud.remove("entry-0") },
			want:        want{"", unknownOutcome}, runs: 0,
		},
		"owner killed after the call ran": {
			after:       func(c *cluster) error { c.kill(0); return port.ErrEndpointBroken },
			ownerKilled: true,
			between:     func(c *cluster) { c.cloud.remove("entry-0") },
			want:        want{"", unknownOutcome}, runs: 1,
		},
		"owner killed after the call ran, still listed": {
			after:       func(c *cluster) error { c.kill(0); return port.ErrEndpointBroken },
			ownerKilled: true,
			want:        want{"", unknownOutcome}, runs: 1,
		},
		"owner restarts after the call ran": {
			after:       func(c *cluster) error { c.kill(0); return port.ErrEndpointBroken },
			ownerKilled: true,
			between:     func(c *cluster) { c.restart(0); time.Sleep(3 * time.Second) },
			sameHost:    true,
			want:        want{"", unknownOutcome}, runs: 1,
		},
		"owner killed, the service can look the call up": {
			after: func(c *cluster) error {
				c.services.setLookup("/lookup/bokkos:k:key-1", "run 1 of fan on")
				c.kill(0)
				return port.ErrEndpointBroken
			},
			ownerKilled: true,
			between:     func(c *cluster) { c.cloud.remove("entry-0") },
			want:        want{"", ranOnce}, runs: 1,
		},
		"answer lost, the service can look the call up": {
			after: func(c *cluster) error {
				c.services.setLookup("/lookup/bokkos:k:key-1", "run 1 of fan on")
				return port.ErrEndpointBroken
			},
			want: want{ranOnce, ranOnce}, runs: 1,
		},
		"answer lost": {
			after: func(*cluster) error { return port.ErrEndpointBroken },
			want:  want{unknownOutcome, unknownOutcome}, runs: 1,
		},
		"endpoint unreachable at first": {
			before: func(*cluster) error { return port.ErrEndpointUnreachable },
			want:   want{ranOnce, ranOnce}, runs: 1,
		},
		"log down after the call ran, owner alive": {
			after: func(c *cluster) error {
				c.faults.Add(standin.Fault{Point: standin.PointAppend, Action: standin.ActionFail})
				return nil
			},
			want: want{ranOnce, ranOnce}, runs: 1,
		},
		"log down after the call ran, owner killed": {
			after: func(c *cluster) error {
				c.faults.Add(standin.Fault{Point: standin.PointAppend, Action: standin.ActionFail})
				return nil
			},
			between: func(c *cluster) { c.kill(0); c.cloud.remove("entry-0") },
			want:    want{ranOnce, unknownOutcome}, runs: 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, 2)
				c.claimLog.claimDelay.Store(int64(tc.claimDelay))
				if tc.fault != nil {
					fault := *tc.fault
					base := c.faults.Calls(fault.Point)
					if fault.ToCall > 0 {
						fault.FromCall, fault.ToCall = base+1, base+fault.ToCall
					}
					c.faults.Add(fault)
					time.Sleep(2 * tailPollTimeout) // reads in progress end
				}
				first := true
				c.services.before = func(port.ServiceRequest) error {
					if first && tc.before != nil {
						first = false
						return tc.before(c)
					}
					return nil
				}
				c.services.after = func(port.ServiceRequest) error {
					if first && tc.after != nil {
						first = false
						return tc.after(c)
					}
					return nil
				}
				a := c.send(0, "key-1", "fan on")
				if tc.ownerKilled {
					time.Sleep(time.Second)
				} else {
					is.Equal(c.awaitEnd(a), tc.want.first)
				}
				if tc.between != nil {
					tc.between(c)
				}
				second := 1
				if tc.sameHost {
					second = 0
				}
				is.Equal(c.awaitEnd(c.send(second, "key-1", "fan on")), tc.want.second)
				is.Equal(c.services.ran("fan on"), tc.runs)
			})
		})
	}
}

// TestOrdersAtOnce sends the same non-idempotent request twice to each of three hosts at
// the same time: it must run once. Another request under the same key must be refused.
func TestOrdersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3)
		var all []*Accepted
		for i := range 6 {
			all = append(all, c.send(i%3, "key-1", "fan on"))
		}
		for _, a := range all {
			is.Equal(c.awaitEnd(a), ranOnce)
		}
		is.Equal(c.services.ran("fan on"), 1)
		is.Equal(c.awaitEnd(c.send(1, "key-1", "fan off")), "not-run "+string(problem.TypeConflict))
		is.Equal(c.services.ran("fan off"), 0)
	})
}

// TestDuplicateDuringOwnersCall sends a duplicate while the call of the first request
// runs and kills the owner before it answers. The duplicate must end as unknown soon
// after the owner is no longer listed.
func TestDuplicateDuringOwnersCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 2)
		c.services.after = func(port.ServiceRequest) error {
			time.Sleep(5 * time.Second)
			c.kill(0)
			c.cloud.remove("entry-0")
			return port.ErrEndpointBroken
		}
		c.send(0, "key-1", "fan on")
		time.Sleep(time.Second)
		began := time.Now()
		is.Equal(c.awaitEnd(c.send(1, "key-1", "fan on")), unknownOutcome)
		is.True(time.Since(began) < 15*time.Second) // ended by the owner's absence, not by the deadline
		is.Equal(c.services.ran("fan on"), 1)
	})
}

// TestEndpointsThatHonourKeys checks that a call is sent again under the same key if the
// endpoints run a key only once: by its owner after a lost answer, and by another host
// after the owner was killed.
func TestEndpointsThatHonourKeys(t *testing.T) {
	for name, killOwner := range map[string]bool{"answer lost": false, "owner killed": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, 2)
				current, err := publish.Get(t.Context(), c.log, testService)
				is.NoErr(err)
				text := strings.Replace(testDocument(), `"kind"`, `"endpoints": {"honours_idempotency_keys": true}, "kind"`, 1)
				_, err = publish.Publish(t.Context(), c.log, testService, current.Offset, text)
				is.NoErr(err)
				time.Sleep(time.Second)
				var mu sync.Mutex
				keys := map[string]int{}
				c.services.after = func(r port.ServiceRequest) error {
					mu.Lock()
					defer mu.Unlock()
					keys[r.IdempotencyKey]++
					if keys[r.IdempotencyKey] > 1 {
						return nil
					}
					if killOwner {
						c.kill(0)
						c.cloud.remove("entry-0")
					}
					return port.ErrEndpointBroken
				}
				a := c.send(0, "key-1", "fan on")
				if killOwner {
					time.Sleep(time.Second)
				} else {
					is.Equal(c.awaitEnd(a), "200 run 2 of fan on") // the fake runs it again, an endpoint that honours keys would not
				}
				is.Equal(c.awaitEnd(c.send(1, "key-1", "fan on")), "200 run 2 of fan on")
				mu.Lock()
				defer mu.Unlock()
				is.Equal(keys, map[string]int{"bokkos:k:key-1": 2}) // every send carried the same key
			})
		})
	}
}

// TestPausedOwner resumes an owner that was paused for dispatchTimeout after its claim.
// It must not send the call and must abandon the claim.
func TestPausedOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 2)
		n := c.nodes[0]
		a := c.send(1, "key-0", "warm up")
		c.awaitEnd(a)
		call := &nonIdempotentCall{node: n, accepted: &Accepted{Request: a.Request, Answer: a.Answer}, digest: 1}
		call.key = claim.Key{Service: testService, Workspace: "bokkos", Key: "k:key-1"}
		call.permit = claim.Permit{ClaimID: "paused", Began: time.Now(), DispatchTimeout: dispatchTimeout, Deadline: time.Now().Add(time.Hour)}
		e, err := record.New(record.KindClaim, "entry-0", claim.Claim{Key: call.key, Digest: 1, Owner: "entry-0", Incarnation: n.incarnation})
		is.NoErr(err)
		e.ID = "paused"
		is.NoErr(n.append(t.Context(), classClaim, e))
		time.Sleep(dispatchTimeout)
		call.step(t.Context())
		is.Equal(c.services.ran("fan on"), 0)
		time.Sleep(time.Second)
		_, known, _ := n.claims.Get(call.key)
		is.True(!known) // the key is free again
	})
}

// TestExpiredPermitBlamesNoEndpoint: an attempt whose permit expired before it was sent says nothing
// about the endpoint, which is neither probed nor recorded as dead.
func TestExpiredPermitBlamesNoEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 1)
		a := c.send(0, "key-0", "warm up")
		c.awaitEnd(a)
		unreachable := port.Host{ID: "gone", Service: testService, EndpointAddress: "127.0.0.1:2"}
		before := time.Now()
		result := c.nodes[0].resultOf(t.Context(), a, &runningAttempt{host: unreachable}, errDispatchTimeout, nil)
		is.Equal(result, attempt.ResultUnreachable)
		is.Equal(time.Since(before), time.Duration(0)) // no probe
	})
}
