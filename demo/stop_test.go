package demo_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/client"
	"github.com/cicadanotch/cicadanotch/demo"
	"github.com/cicadanotch/cicadanotch/drain"
	"github.com/cicadanotch/cicadanotch/standin"
)

// chatBody returns the body of a chat call and the text of its answer.
func chatBody(p demo.Profile, question string, tokens int) (body, want string) {
	body = fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, p.Model, tokens, question)
	return body, strings.Join(standin.ExpectedAnswer(p.Model, "user\n"+question+"\n", tokens), "")
}

func newClient(d *demo.Deployment, seeds ...string) *client.Client {
	return client.New(client.Options{
		Seeds: seeds, Service: d.Profile.ModelService, Key: d.Profile.Workspaces[0].Key(), Pause: 20 * time.Millisecond,
	})
}

// eventually waits until ok holds; the test's own limit ends it otherwise.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), startLimit)
	defer cancel()
	for !ok() {
		select {
		case <-ctx.Done():
			t.Fatalf("never: %s", what)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// named reports whether an entry host answers that another may be used.
func named(in *demo.EntryHost, host string, service string) bool {
	for _, a := range in.Node.Addresses(service, "").Addresses {
		if a.Host == host {
			return true
		}
	}
	return false
}

func TestPlannedStopCutsNothing(t *testing.T) {
	is := is.New(t)
	p := small()
	p.Engine.TokenInterval = 10 * time.Millisecond
	p.AddressLifetime = 50 * time.Millisecond
	d := start(t, p)
	leaving, other := d.Entries()[0], d.Entries()[1]

	signals := make(chan struct{}, 2)
	ended := make(chan error, 1)
	go func() { ended <- leaving.Node.Supervise(context.Background(), signals) }()

	body, want := chatBody(p, "How warm is store 9?", 250)
	first := make(chan struct{})
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
					close(first)
				}
			},
		})
		answered <- result{answer, err}
	}()
	<-first

	signals <- struct{}{}
	eventually(t, "the others learn of the stop", func() bool { return !named(other, leaving.Host.ID, p.ModelService) })
	eventually(t, "the stop refuses new requests", func() bool { return leaving.Node.State().Stop.Phase == drain.PhaseWaiting })
	stop := leaving.Node.State().Stop
	is.Equal(stop.Open, 1)
	is.Equal(len(stop.WaitsFor), 1)
	is.Equal(len(stop.Unaware), 0)
	resp, text := do(t, "POST", "http://"+leaving.Host.CallerAddress+"/v1/chat/completions", p.Workspaces[0].Key(), body)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(strings.Contains(text, `"run":"not-run"`))

	signals <- struct{}{} // a second signal cuts nothing either
	got := <-answered
	is.NoErr(got.err)
	is.Equal(got.answer.Text, want)
	is.Equal(got.answer.Streams, 1) // one connection from the first byte to the last
	is.NoErr(<-ended)
}
