package daemon

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/platform/platformtest"
)

// TestHeadThatEndsInside guards against a caller that gets a 200 with an empty or a short body, framed as whole, because the
// endpoint stopped inside the head of its answer and closed: at each byte of it, by FIN and by reset, for calls of both kinds
// and streams. Each request is cut at its first endpoint.
func TestHeadThatEndsInside(t *testing.T) {
	for _, route := range []string{"order", "get", "stream"} {
		for _, framing := range []platformtest.Framing{platformtest.Length, platformtest.Chunks, platformtest.Connection} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, reset %t", route, framing, reset), func(t *testing.T) {
					t.Parallel()
					testCutHeads(t, route, framing, reset)
				})
			}
		}
	}
}

func testCutHeads(t *testing.T, route string, framing platformtest.Framing, reset bool) {
	is := is.New(t)
	service, body, headers := "api", "complete", []string{}
	if route == "stream" {
		service, body, headers = "llm", completeStream, []string{platformtest.EventStream}
	}
	d := deploy(t)
	t.Cleanup(func() { d.cancel(); is.NoErr(<-d.done) })
	d.configure(1, "")
	var mu sync.Mutex
	keep, cut, headLength := 0, map[string]bool{}, 1 // bytes of the present request's head
	answer := func(r platformtest.RawRequest) platformtest.RawAnswer {
		mu.Lock()
		defer mu.Unlock()
		whole := r.Reply(framing, http.StatusOK, body, append(headers, r.Sealed())...)
		if !strings.HasPrefix(r.Attempt, "cut") || cut[r.Attempt] {
			return whole
		}
		cut[r.Attempt] = true
		headLength = strings.Index(whole.Text, "\r\n\r\n") + len("\r\n\r\n")
		whole.Reset = reset
		return whole.BrokenOff(len(whole.Text) - keep)
	}
	for i := range 2 {
		e := &platformtest.RawEndpoint{ID: fmt.Sprint("i-", i), Answer: answer}
		is.NoErr(e.Start())
		t.Cleanup(e.Close)
		d.store.Register(e.ID, e.Entry(service))
	}
	d.awaitReady(2)
	statuses := map[int]int{}
	for n := 1; n < headLength || n == 1; n++ {
		if n%2 == 0 { // the next request finds a kept connection
			d.request(fmt.Sprint("whole", n), "/"+route+"/1", "secret", route == "stream")
		}
		mu.Lock()
		keep = n
		mu.Unlock()
		a := d.request(fmt.Sprint("cut", n), "/"+route+"/1", "secret", route == "stream")
		statuses[a.Status]++
		switch {
		case a.Err != nil:
			t.Errorf("after %d bytes: %v", n, a.Err)
		case a.Status == http.StatusOK && (route == "order" || a.Body != body):
			t.Errorf("after %d bytes: got 200 with %q", n, a.Body)
		case a.Status != http.StatusOK && a.Status != http.StatusBadGateway && a.Status != http.StatusServiceUnavailable:
			t.Errorf("after %d bytes: got %d", n, a.Status)
		}
	}
	t.Logf("%d heads cut, statuses %v", len(cut), statuses)
	is.Equal(len(cut), headLength-1)
	is.True(route == "order" || statuses[http.StatusOK] > 0)
}
