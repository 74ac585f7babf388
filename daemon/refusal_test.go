package daemon

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/platform/platformtest"
)

// TestRefusalWrittenAgain guards against an endpoint that writes an earlier refusal once more on a kept connection: callers
// are told that a request did not run which did (REFUSED), or it runs at a second endpoint (TWICE).
func TestRefusalWrittenAgain(t *testing.T) {
	isPromise := func(status int) bool { return slices.Contains([]int{408, 421, 429, 503}, status) }
	for _, count := range []int{1, 2} { // endpoints of a service
		for _, moment := range []platformtest.Moment{platformtest.Glued, platformtest.AtOnce, platformtest.AtOnceInTwo, platformtest.BeforeNext, platformtest.BeforeNextInTwo, platformtest.BeforeNextButOne} {
			for _, withID := range []bool{true, false} {
				t.Run(fmt.Sprint(string(moment), ", with id: ", withID, ", endpoints: ", count), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					d := deploy(t)
					t.Cleanup(func() { d.cancel(); is.NoErr(<-d.done) })
					d.configure(1, "")
					refuses := func(attempt string) bool { return strings.Contains(attempt, "full") }
					var endpoints []*platformtest.RepeatingEndpoint
					for _, service := range []string{"api", "llm"} {
						for n := range count {
							e := &platformtest.RepeatingEndpoint{ID: fmt.Sprint(service, n), WithID: withID, Moment: moment, Refuses: refuses}
							is.NoErr(e.Start())
							t.Cleanup(e.Close)
							d.store.Register(e.ID, e.Entry(service))
							endpoints = append(endpoints, e)
						}
					}
					d.awaitReady(2 * count)
					answers := map[string]platformtest.Answer{}
					idempotent := func(id string) bool { return strings.HasPrefix(id, "get") || strings.HasPrefix(id, "stream") }
					for _, route := range []string{"order", "get", "stream"} {
						for n := range 16 {
							id := fmt.Sprint(route, n)
							if n%4 < 2 { // two refusals in a row: the next answer is a refusal itself
								id += "-full"
							}
							answers[id] = d.request(id, "/"+route+"/1", "secret", route == "stream")
						}
					}
					ran, copies, carried := map[string]int{}, 0, 0
					for _, e := range endpoints {
						r := e.Record()
						for _, id := range r.Runs {
							ran[id]++
						}
						copies += r.Copies
						carried += r.Carried
					}
					served := 0
					for id, a := range answers {
						if isPromise(a.Status) && ran[id] > 0 && !idempotent(id) {
							t.Errorf("%s was answered %d and has run", id, a.Status)
						}
						if ran[id] > 1 && !idempotent(id) {
							t.Errorf("%s ran %d times", id, ran[id])
						}
						if a.Status == http.StatusOK {
							served++
							want := "ran " + id
							if strings.HasPrefix(id, "stream") {
								want = completeStream
							}
							is.Equal(a.Body, want)
						}
					}
					is.True(served > 0)
					is.True(served >= len(answers)/3 || !withID) // a copy without an id leaves open whose it is
					is.Equal(carried, 0)                         // no connection is used again that brought a refusal
					is.True(copies > 0 || moment == platformtest.Glued || moment == platformtest.AtOnce || moment == platformtest.AtOnceInTwo)
				})
			}
		}
	}
}
