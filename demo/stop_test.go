package demo_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/client"
	"github.com/cicadanotch/cicadanotch/config"
	"github.com/cicadanotch/cicadanotch/demo"
	"github.com/cicadanotch/cicadanotch/drain"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/record"
	"github.com/cicadanotch/cicadanotch/request"
	"github.com/cicadanotch/cicadanotch/standin"
)

// chatBody returns the body of a chat call and the text of its answer.
func chatBody(p demo.Profile, question string, tokens int) (body, want string) {
	body = fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, p.Model, tokens, question)
	return body, strings.Join(standin.ExpectedAnswer(p.Model, "user\n"+question+"\n", tokens), "")
}

func newClient(d *demo.Deployment, seeds ...string) *client.Client {
	return client.New(client.Options{
		Seeds: seeds, Service: d.Profile.ModelService, Key: d.Profile.Workspaces[0].Key(), RetryDelay: 20 * time.Millisecond,
	})
}

// eventually waits until ok holds and fails the test after startTimeout.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	for !ok() {
		select {
		case <-ctx.Done():
			t.Fatalf("timed out before: %s", what)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// listsAddress reports whether the address answer of an entry host contains a host.
func listsAddress(in *demo.EntryHost, host string, service string) bool {
	for _, a := range in.Node.Addresses(service, "", "").Addresses {
		if a.Host == host {
			return true
		}
	}
	return false
}

// TestPlannedStopInterruptsNothing stops an entry host while it streams an answer. It guards
// against a stop that cuts the stream: the answer must be completed on its connection, also
// after a second signal, while others no longer list the host and new requests are refused.
func TestPlannedStopInterruptsNothing(t *testing.T) {
	is := is.New(t)
	p := smallProfile()
	p.Engine.TokenInterval = 10 * time.Millisecond
	p.AddressTTL = 50 * time.Millisecond
	d := start(t, p)
	leaving, other := d.Entries()[0], d.Entries()[1]

	signals := make(chan struct{}, 2)
	ended := make(chan error, 1)
	go func() { ended <- leaving.Node.Supervise(context.Background(), signals) }()

	body, want := chatBody(p, "How warm is store 9?", 250)
	firstChunk := make(chan struct{})
	type result struct {
		answer client.Answer
		err    error
	}
	answered := make(chan result, 1)
	go func() {
		answer, err := newClient(d, leaving.Host.CallerAddress).Generate(context.Background(), client.Generate{
			Body: []byte(body),
			OnChunk: func(index int, _ string) {
				if index == 0 {
					close(firstChunk)
				}
			},
		})
		answered <- result{answer, err}
	}()
	<-firstChunk

	signals <- struct{}{}
	eventually(t, "the other entry host no longer lists the stopping one", func() bool { return !listsAddress(other, leaving.Host.ID, p.ModelService) })
	eventually(t, "the stop refuses new requests", func() bool { return leaving.Node.State().Stop.Phase == drain.PhaseWaiting })
	stop := leaving.Node.State().Stop
	is.Equal(stop.Open, 1)
	is.Equal(len(stop.WaitsFor), 1)
	is.Equal(len(stop.Unconfirmed), 0)
	resp, text := do(t, "POST", "http://"+leaving.Host.CallerAddress+"/v1/chat/completions", p.Workspaces[0].Key(), body)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(strings.Contains(text, `"run":"not-run"`))

	signals <- struct{}{} // a second signal must not cut the stream either
	got := <-answered
	is.NoErr(got.err)
	is.Equal(got.answer.Text, want)
	is.Equal(got.answer.Streams, 1) // one connection from the first byte to the last
	is.NoErr(<-ended)
}

// publishRevision publishes the next revision of the plain service's document.
func publishRevision(t *testing.T, d *demo.Deployment, change func(*config.Document)) {
	t.Helper()
	is := is.New(t)
	doc := d.Profile.PlainDocument()
	change(&doc)
	text, err := json.Marshal(doc)
	is.NoErr(err)
	base := d.Entries()[0].Node.State().Documents[doc.Service].Offset
	e, err := record.New(record.KindDocument, "operator", config.Change{Service: doc.Service, Base: base, Text: string(text)})
	is.NoErr(err)
	data, err := e.Encode()
	is.NoErr(err)
	_, err = d.Log.Append(t.Context(), data)
	is.NoErr(err)
}

// TestMaintenanceDates publishes a maintenance window of an entry host and withdraws it: the
// host must refuse new requests, and serve again after the withdrawal.
func TestMaintenanceDates(t *testing.T) {
	p := smallProfile()
	p.AddressTTL = 50 * time.Millisecond
	d := start(t, p)
	leaving, other := d.Entries()[0], d.Entries()[1]
	listed := func() bool { return listsAddress(other, leaving.Host.ID, p.ModelService) }
	phase := func() drain.Phase { return leaving.Node.State().Stop.Phase }
	soon := time.Now().Add(time.Minute)
	publishRevision(t, d, func(doc *config.Document) {
		doc.Maintenance = []config.Maintenance{{Host: leaving.Host.ID, Starts: soon, Ends: soon.Add(time.Hour)}}
	})
	eventually(t, "the host leaves the answers", func() bool { return !listed() })
	eventually(t, "new requests are refused", func() bool { return phase() == drain.PhaseWaiting })
	publishRevision(t, d, func(doc *config.Document) { doc.Maintenance = nil })
	eventually(t, "the host serves again", func() bool { return phase() == drain.PhaseServing })
	eventually(t, "the host is back in the answers", listed)
}

// TestAddressesWhenAllLeave announces maintenance of every entry host: callers must still get
// their addresses, since the hosts still serve.
func TestAddressesWhenAllLeave(t *testing.T) {
	is := is.New(t)
	p := smallProfile()
	d := start(t, p)
	for _, e := range d.Entries() {
		d.Cloud.AddNotice(e.Host.ID, port.NoticeMaintenance, time.Now().Add(time.Hour))
	}
	for _, e := range d.Entries() {
		eventually(t, "all notices are known", func() bool {
			return !slices.ContainsFunc(e.Node.State().Hosts, func(h port.Host) bool {
				return h.Role == port.RoleEntry && h.State != port.HostLeaving
			})
		})
		is.True(len(e.Node.Addresses(p.ModelService, "", "").Addresses) > 0)
	}
	body, want := chatBody(p, "Anyone there?", 5)
	answer, err := newClient(d, d.Entries()[0].Host.CallerAddress).Generate(t.Context(), client.Generate{Body: []byte(body)})
	is.NoErr(err)
	is.Equal(answer.Text, want)
}

// TestReceiverKilledUnannounced kills the receiver of a stream while its sender still runs: the
// caller's connection must continue.
func TestReceiverKilledUnannounced(t *testing.T) {
	is := is.New(t)
	p := reclaimProfile()
	d := start(t, p)
	id := request.NewID()
	body, want := chatBody(p, "How are the fans?", 250)
	firstChunk := make(chan struct{})
	answered := make(chan client.Answer, 1)
	go func() {
		answer, err := newClient(d, d.Entries()[0].Host.CallerAddress).Generate(context.Background(), client.Generate{
			ID: id, Body: []byte(body),
			OnChunk: func(index int, _ string) {
				if index == 0 {
					close(firstChunk)
				}
			},
		})
		is.NoErr(err)
		answered <- answer
	}()
	<-firstChunk
	sender := owner(d, id, 0)
	kill(d, []string{reclaimAndAwaitOwner(t, d, sender, id, 1).Host.ID})
	answer := <-answered
	is.Equal(answer.Text, want)
	is.Equal(answer.Streams, 1)
}
