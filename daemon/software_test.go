package daemon

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/platform/platformtest"
)

// TestCallerContinuesAtOneSoftwareVersion guards, over real connections, against events of two software versions
// over a caller's requests (incident 0004): the endpoint breaks each stream off, and the caller continues it.
func TestCallerContinuesAtOneSoftwareVersion(t *testing.T) {
	is := is.New(t)
	behaviour := func(attempt string, _ int) platformtest.Behaviour {
		if strings.HasPrefix(attempt, "cut") {
			return platformtest.Disconnect
		}
		return platformtest.Serve
	}
	endpoints := []*platformtest.Endpoint{platformtest.NewEndpoint("i-1", behaviour), platformtest.NewEndpoint("i-2", behaviour)}
	d := deploy(t)
	t.Cleanup(func() { d.cancel(); is.NoErr(<-d.done) })
	d.configure(1, "")
	for n, e := range endpoints {
		t.Cleanup(e.Close)
		e.SetSoftware(fmt.Sprint("v", n))
		d.store.Register(e.ID, e.Entry("llm", "a", "ready"))
	}
	d.awaitReady(2)
	for n := range 10 {
		origin := fmt.Sprint("cut", n)
		first := platformtest.SendRequest(d.front, origin, "/stream/1", "secret", true)
		is.True(first.Err != nil) // no other endpoint of the version
		events, software := platformtest.StreamEvents(first.Body)
		is.Equal(len(software), 1)
		rest := platformtest.Send(t.Context(), http.DefaultClient, d.front, platformtest.Request{
			ID: fmt.Sprint("rest", n), Path: "/stream/1", Key: "secret", Stream: true, Origin: origin, After: fmt.Sprint(events),
		})
		is.NoErr(rest.Err)
		is.Equal(first.Body+rest.Body, platformtest.CompleteStream(software[0], 0))
		is.Equal(strings.Split(rest.Seal, ".")[0], strings.Split(first.Seal, ".")[0]) // the only endpoint of its version
	}
}
