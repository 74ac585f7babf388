package demo_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/client"
	"github.com/cicadanotch/cicadanotch/demo"
	"github.com/cicadanotch/cicadanotch/drain"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/request"
	"github.com/cicadanotch/cicadanotch/standin"
)

// owner returns the entry host that owns a request with the given epoch or a later one,
// or nil.
func owner(d *demo.Deployment, id request.ID, epoch int64) *demo.EntryHost {
	for _, e := range d.Entries() {
		for _, r := range e.Node.State().Requests {
			if r.ID == id.String() && r.State == drain.StateRunning && r.Epoch >= epoch {
				return e
			}
		}
	}
	return nil
}

// reclaimAndAwaitOwner announces the reclaim of an entry host and waits until another one
// owns the request.
func reclaimAndAwaitOwner(t *testing.T, d *demo.Deployment, from *demo.EntryHost, id request.ID, epoch int64) *demo.EntryHost {
	t.Helper()
	d.Cloud.AddNotice(from.Host.ID, port.NoticeReclaim, time.Now().Add(time.Minute))
	var to *demo.EntryHost
	eventually(t, "another host owns the request", func() bool {
		to = owner(d, id, epoch)
		return to != nil && to != from
	})
	return to
}

// TestReceiverIsReclaimedWithLogDown hands a stream over twice while the platform's log
// fails: the receiver of the first handoff is reclaimed too. Both hosts are killed before
// their notices expire. The caller must resume the stream at a host that never had the
// request.
func TestReceiverIsReclaimedWithLogDown(t *testing.T) {
	is := is.New(t)
	p := reclaimProfile()
	d := start(t, p)
	d.LogFaults.Add(standin.Fault{Point: standin.PointAppend, Action: standin.ActionFail})
	d.LogFaults.Add(standin.Fault{Point: standin.PointRead, Action: standin.ActionFail})

	sender := d.Entries()[0]
	id := request.NewID()
	body, want := chatBody(p, "A season summary, please.", 300)
	streaming := make(chan struct{})
	type result struct {
		answer client.Answer
		err    error
	}
	answered := make(chan result, 1)
	go func() {
		answer, err := newClient(d, sender.Host.CallerAddress).Generate(context.Background(), client.Generate{
			ID: id, Body: []byte(body),
			OnChunk: func(index int, _ string) {
				if index == 5 {
					close(streaming)
				}
			},
		})
		answered <- result{answer, err}
	}()
	<-streaming
	sender = owner(d, id, 0)
	receiver := reclaimAndAwaitOwner(t, d, sender, id, 1)
	is.Equal(receiver.Host.Region, sender.Host.Region) // hosts of the same region come first

	// Only the workspace of the request can read it, at any host.
	remote := entryIn(d, p.Zones[2].Zone)
	path := "http://" + remote.Host.CallerAddress + "/v1/requests/" + id.String()
	resp, _ := do(t, "GET", path, p.Workspaces[1].Key(), "")
	is.Equal(resp.StatusCode, http.StatusNotFound)
	resp, _ = do(t, "GET", path, "no key of anybody", "")
	is.Equal(resp.StatusCode, http.StatusNotFound)

	kill(d, []string{sender.Host.ID})
	secondReceiver := reclaimAndAwaitOwner(t, d, receiver, id, 2)
	kill(d, []string{receiver.Host.ID})
	is.True(secondReceiver != sender)

	got := <-answered
	is.NoErr(got.err)
	is.Equal(got.answer.Text, want)
	is.True(got.answer.Streams > 1)
	_, recomputed := d.Ledger.Tokens()
	is.Equal(recomputed, 0) // each receiver continued from the transferred KV cache

	// A later caller gets the complete answer at any host.
	resp, text := do(t, "GET", path, p.Workspaces[0].Key(), "")
	is.Equal(resp.StatusCode, http.StatusOK)
	answerText, done := events(t, text)
	is.True(done)
	is.Equal(answerText, want)
}

// TestNonIdempotentUnderNotice reclaims an entry host while a non-idempotent request runs at the
// plain service, and sends it another one after the notice: each must run exactly once.
func TestNonIdempotentUnderNotice(t *testing.T) {
	is := is.New(t)
	p := reclaimProfile()
	d := start(t, p)
	for _, e := range d.Endpoints() {
		if e.Service != nil {
			e.Faults.Add(standin.Fault{Point: standin.PointCall, Action: standin.ActionDelay, Delay: 700 * time.Millisecond})
		}
	}
	sender := d.Entries()[0]
	type result struct {
		response client.Response
		err      error
	}
	send := func(body string) <-chan result {
		out := make(chan result, 1)
		go func() {
			cl := newClient(d, sender.Host.CallerAddress)
			resp, err := cl.Call(context.Background(), client.Call{Service: p.PlainService, Method: http.MethodPost, Path: p.OrderPath, Body: []byte(body)})
			out <- result{resp, err}
		}()
		return out
	}
	firstResult := send("fan 1 on")
	eventually(t, "the request is sent to an endpoint", func() bool {
		for _, e := range d.Endpoints() {
			if e.Service != nil && e.Faults.Calls(standin.PointCall) > 0 {
				return true
			}
		}
		return false
	})
	d.Cloud.AddNotice(sender.Host.ID, port.NoticeReclaim, time.Now().Add(time.Minute))
	eventually(t, "the notice is known", func() bool { return sender.Node.State().Stop.Phase == drain.PhaseHandingOver })
	resp, text := do(t, "POST", "http://"+sender.Host.CallerAddress+"/services/"+p.PlainService+p.OrderPath, p.Workspaces[0].Key(), "fan 2 on")
	is.Equal(resp.StatusCode, http.StatusOK)
	is.True(strings.Contains(text, "run"))
	got := <-firstResult
	is.NoErr(got.err)
	is.Equal(got.response.Status, http.StatusOK)
	is.Equal(d.Ledger.Executions()["fan 1 on"], 1)
	is.Equal(d.Ledger.Executions()["fan 2 on"], 1)
}
