package node

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/config"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
	"github.com/cicadanotch/cicadanotch/publish"
	"github.com/cicadanotch/cicadanotch/quarantine"
	"github.com/cicadanotch/cicadanotch/standin"
)

// act is the behaviour of an engine in one attempt.
type act string

const (
	actComplete    act = "whole"
	actUnreachable act = "unreachable"
	actDecline     act = "decline"
	actRefuse      act = "refuse"
	actBreak       act = "break"
	// actBreakAfterChunk sends one chunk, then breaks the connection.
	actBreakAfterChunk act = "break-mid"
	// actStall sends one chunk, then nothing.
	actStall act = "silent"
	// actNoChunk accepts the request and sends nothing.
	actNoChunk act = "mute"
	// actSlow completes the answer after slowAnswer.
	actSlow act = "slow"
)

const slowAnswer = 2 * time.Second

// scriptedEngine follows a script: one act for each attempt, the last repeated.
type scriptedEngine struct {
	fakeEngine
	acts []act
	// unresponsive is set when probes are not answered.
	unresponsive bool

	mu        sync.Mutex
	addresses []string
	cancelled int
}

func (e *scriptedEngine) next(address string) act {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := min(len(e.addresses), len(e.acts)-1)
	e.addresses = append(e.addresses, address)
	return e.acts[at]
}

// Generate implements port.Engine.
func (e *scriptedEngine) Generate(ctx context.Context, address string, r port.GenerateRequest) (port.Stream, error) {
	current := e.next(address)
	if current == actUnreachable {
		return nil, port.ErrEndpointUnreachable
	}
	r.OnSend()
	switch current {
	case actDecline:
		return nil, port.ErrDeclined
	case actRefuse:
		return nil, port.ErrEndpointRefused
	case actBreak:
		return nil, port.ErrEndpointBroken
	case actNoChunk:
		<-ctx.Done()
		return nil, port.ErrEndpointBroken
	}
	return &scriptedStream{ctx: ctx, act: current, id: r.AttemptID, index: r.ResumeIndex}, nil
}

// Probe implements port.Engine.
func (e *scriptedEngine) Probe(context.Context, string) error {
	if e.unresponsive {
		return port.ErrEndpointUnreachable
	}
	return nil
}

// Cancel implements port.Engine.
func (e *scriptedEngine) Cancel(context.Context, string, string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled++
	return nil
}

// scriptedStream returns one chunk and then behaves as its act says.
type scriptedStream struct {
	ctx   context.Context
	act   act
	id    string
	index int
	sent  bool
}

// Recv implements port.Stream.
func (s *scriptedStream) Recv() (port.Chunk, error) {
	c := port.Chunk{AttemptID: s.id, Index: s.index, Text: fmt.Sprint(s.index)}
	if !s.sent {
		s.sent = true
		s.index++
		return c, nil
	}
	switch s.act {
	case actComplete, actSlow:
		if s.act == actSlow {
			pause(s.ctx, slowAnswer)
		}
		c.FinishReason = "stop"
		s.act = ""
		return c, nil
	case actBreakAfterChunk:
		return c, port.ErrEndpointBroken
	case actStall:
		<-s.ctx.Done()
		return c, port.ErrEndpointBroken
	}
	return c, io.EOF
}

// Close implements port.Stream.
func (s *scriptedStream) Close() error { return nil }

const modelDocument = `{"schema": 1, "service": "llm", "kind": "model", "models": [{"name": "m", "version": "1"}],
	"placement": {"availability_zones": ["jos-a"], "machine_classes": ["l4"]},
	"latency": {"request_timeout": "20s"}, "workspaces": [{"name": "bokkos", "weight": 1%s}]}`

// startModel starts one node with three endpoints that share one engine. Tests run it
// in a synctest bubble.
func startModel(t *testing.T, engine port.Engine, limits string) *Node {
	t.Helper()
	return startModels(t, engine, limits, 1)[0]
}

// startModels starts several nodes with three endpoints that share one engine.
func startModels(t *testing.T, engine port.Engine, limits string, size int) []*Node {
	t.Helper()
	is := is.New(t)
	log := standin.NewLog(standin.LogOptions{})
	_, err := publish.Publish(t.Context(), log, "llm", 0, fmt.Sprintf(modelDocument, limits))
	is.NoErr(err)
	cloud := &fakeCloud{}
	for i := range 3 {
		id := fmt.Sprintf("engine-%d", i)
		cloud.hosts = append(cloud.hosts, port.Host{ID: id, Role: port.RoleEndpoint, Region: "plateau", Zone: "jos-a", Service: "llm", State: port.HostLive, EndpointAddress: id})
	}
	peers := &fakePeers{nodes: map[string]*Node{}}
	var nodes []*Node
	for i := range size {
		id := fmt.Sprintf("entry-%d", i)
		cloud.hosts = append(cloud.hosts, port.Host{ID: id, Role: port.RoleEntry, Region: "plateau", Zone: "jos-a", State: port.HostLive, PeerAddress: id})
		n := New(Settings{
			Host: id, Region: "plateau", Zone: "jos-a", CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
			PollInterval: config.Duration(time.Second), LoadInterval: config.Duration(time.Second),
		}, Ports{Log: log, Cloud: cloud, Services: newFakeServices(), Peers: peers, Engine: engine})
		peers.set(id, n)
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		n.Start()
		t.Cleanup(func() { _ = n.Stop() })
	}
	time.Sleep(3 * time.Second)
	synctest.Wait()
	return nodes
}

func modelCall(prompt string) Call {
	return Call{Workspace: "bokkos", API: port.APICompletion, Body: fmt.Appendf(nil, `{"model":"m","prompt":%q}`, prompt)}
}

// TestAttempts checks the answer, the number of attempts and the final problem for each
// kind of failed attempt. A failed request must end before its deadline and must not
// be reported as not run when it may have run.
func TestAttempts(t *testing.T) {
	for name, tc := range map[string]struct {
		acts         []act
		unresponsive bool
		// text is the complete answer; empty if the request fails.
		text string
		kind problem.Type
		run  problem.Run
		// attempts is the number of attempts that reached the port; 0 if not checked.
		attempts  int
		cancelled int
	}{
		"complete":                {acts: []act{actComplete}, text: "0", attempts: 1},
		"declined, then complete": {acts: []act{actDecline, actComplete}, text: "0", attempts: 2},
		"broken, then complete":   {acts: []act{actBreak, actComplete}, text: "0", attempts: 2, cancelled: 1},
		"broken in the stream":    {acts: []act{actBreakAfterChunk, actBreakAfterChunk, actComplete}, text: "012", attempts: 3, cancelled: 2},
		"stalled in the stream":   {acts: []act{actStall, actComplete}, text: "01", attempts: 2, cancelled: 1},
		"stalled from the start":  {acts: []act{actNoChunk, actComplete}, text: "0", attempts: 2, cancelled: 1},
		"unresponsive engine":     {acts: []act{actStall, actComplete}, unresponsive: true, text: "01", attempts: 2, cancelled: 1},
		"all unreachable":         {acts: []act{actUnreachable}, kind: problem.TypeUnavailable, run: problem.RunNot},
		"all decline":             {acts: []act{actDecline}, kind: problem.TypeUnavailable, run: problem.RunNot},
		"refused, not declined":   {acts: []act{actRefuse}, kind: problem.TypeUnavailable, run: problem.RunUnknown},
		"one broke, rest decline": {acts: []act{actBreak, actDecline}, kind: problem.TypeUnavailable, run: problem.RunUnknown, cancelled: 1},
		"all break":               {acts: []act{actBreak}, kind: problem.TypeUnavailable, run: problem.RunUnknown, attempts: 5, cancelled: 5},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				engine := &scriptedEngine{acts: tc.acts, unresponsive: tc.unresponsive}
				n := startModel(t, engine, "")
				a, refused := n.Accept(modelCall("a"))
				is.True(refused == nil)
				began := time.Now()
				for a.Answer.End() == nil {
					time.Sleep(10 * time.Millisecond)
				}
				took := time.Since(began)
				synctest.Wait()
				end := a.Answer.End()
				if tc.text != "" {
					is.True(end.Problem == nil)
					is.Equal(a.Answer.Text(), tc.text)
				} else {
					is.Equal(end.Problem.Type, tc.kind)
					is.Equal(end.Problem.Run, tc.run)
					is.True(end.Problem.RetryAfter > 0)
					is.True(took < 20*time.Second) // well before the deadline
				}
				if tc.attempts > 0 {
					is.Equal(len(engine.addresses), tc.attempts)
				}
				is.Equal(engine.cancelled, tc.cancelled)
			})
		})
	}
}

// TestRetryEndpoint checks which endpoint the next attempt uses: the same one after one
// failed connection; another one after two, or if the endpoint is gone or declined.
func TestRetryEndpoint(t *testing.T) {
	for name, tc := range map[string]struct {
		acts         []act
		unresponsive bool
		// same says for each attempt after the first whether it used the endpoint of
		// the previous one.
		same []bool
	}{
		"the connection broke":   {acts: []act{actBreakAfterChunk, actComplete}, same: []bool{true}},
		"it broke twice":         {acts: []act{actBreak, actBreak, actComplete}, same: []bool{true, false}},
		"the connection stalled": {acts: []act{actStall, actComplete}, same: []bool{true}},
		"the endpoint is gone":   {acts: []act{actBreakAfterChunk, actComplete}, unresponsive: true, same: []bool{false}},
		"the endpoint declined":  {acts: []act{actDecline, actComplete}, same: []bool{false}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				engine := &scriptedEngine{acts: tc.acts, unresponsive: tc.unresponsive}
				n := startModel(t, engine, "")
				a, refused := n.Accept(modelCall("a"))
				is.True(refused == nil)
				for a.Answer.End() == nil {
					time.Sleep(10 * time.Millisecond)
				}
				var same []bool
				for i := 1; i < len(engine.addresses); i++ {
					same = append(same, engine.addresses[i] == engine.addresses[i-1])
				}
				is.Equal(same, tc.same)
			})
		})
	}
}

// TestCoRunningRequestsRetryInParallel retries twelve requests that ran at an endpoint
// when it died, more than there are endpoints. Separating them must not make one wait
// for the end of another.
func TestCoRunningRequestsRetryInParallel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := startModel(t, &scriptedEngine{acts: []act{actSlow}}, "")
		d := quarantine.Death{Endpoint: "gone", Zone: "jos-a", At: time.Now()}
		var calls []Call
		for i := range 12 {
			call := modelCall(fmt.Sprint(i))
			req, p := n.plan(call, &problem.Guard{})
			is.True(p == nil)
			d.Running = append(d.Running, req.Fingerprint)
			calls = append(calls, call)
		}
		n.quarantine.Add(time.Now(), d)
		began := time.Now()
		for _, call := range calls {
			_, p := n.Accept(call)
			is.True(p == nil)
		}
		time.Sleep(slowAnswer + time.Millisecond)
		synctest.Wait()
		for _, a := range n.requests.all() {
			end := a.Answer.End()
			is.True(end != nil) // all ran in parallel
			is.Equal(end.FinishReason, "stop")
		}
		is.Equal(time.Since(began), slowAnswer+time.Millisecond)
	})
}

// TestLimitsOnArrival sends more calls than the rate limit of a workspace or the slots of
// the endpoints allow. Beyond the rate limit calls must be refused as not run; without a
// free slot they must wait.
func TestLimitsOnArrival(t *testing.T) {
	for name, tc := range map[string]struct {
		limits string
		sent   int
		want   int
		kind   problem.Type
	}{
		"rate":  {`, "requests_per_second": 3`, 5, 3, problem.TypeLimit},
		"slots": {``, 60, 48, ""}, // three endpoints with 16 slots each; the rest waits
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := startModel(t, &scriptedEngine{acts: []act{actNoChunk}}, tc.limits)
				var refusals []*problem.Problem
				for i := range tc.sent {
					if _, p := n.Accept(modelCall(fmt.Sprint(i))); p != nil {
						refusals = append(refusals, p)
					}
				}
				synctest.Wait()
				is.Equal(n.State().Queues["llm"].Running, tc.want)
				for _, p := range refusals {
					is.Equal(p.Type, tc.kind)
					is.Equal(p.Run, problem.RunNot)
					is.True(p.RetryAfter > 0)
				}
				is.Equal(len(refusals) > 0, tc.kind != "")
			})
		})
	}
}

// TestHostsShareALimit sends a workspace's full rate to each of three hosts. Once they
// have received each other's usage reports, they must accept that rate in total, not
// three times.
func TestHostsShareALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const perSecond, seconds, settle = 10, 12, 4
		nodes := startModels(t, &scriptedEngine{acts: []act{actComplete}}, `, "requests_per_second": 10`, 3)
		accepted := 0
		for i := range seconds * perSecond {
			for _, n := range nodes {
				_, p := n.Accept(modelCall(fmt.Sprint(i)))
				if p == nil && i >= settle*perSecond {
					accepted++
				}
			}
			time.Sleep(time.Second / perSecond)
		}
		const allowed = perSecond * (seconds - settle)
		is.True(accepted <= allowed*5/4) // not three times the limit
		is.True(accepted >= allowed*3/4) // and not far below it
	})
}

// TestWaitingRequestGetsItsAnswerInTime fills all slots with requests that never end. A
// queued request must fail, as not run, when it can no longer start in time.
func TestWaitingRequestGetsItsAnswerInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := startModel(t, &scriptedEngine{acts: []act{actNoChunk}}, "")
		var all []*Accepted
		for i := range 49 {
			a, p := n.Accept(modelCall(fmt.Sprint(i)))
			is.True(p == nil)
			all = append(all, a)
		}
		synctest.Wait()
		waiting := all[slices.IndexFunc(all, func(a *Accepted) bool { _, _, runs := a.Running(); return !runs })]
		for waiting.Answer.End() == nil {
			time.Sleep(10 * time.Millisecond)
		}
		end := waiting.Answer.End()
		is.Equal(end.Problem.Type, problem.TypeOverloaded)
		is.Equal(end.Problem.Run, problem.RunNot)
		is.True(end.Problem.RetryAfter > 0)
	})
}
