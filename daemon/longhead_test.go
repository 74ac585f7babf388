package daemon

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/phuslu/log"
)

// TestHeadsWithoutEnd guards against heads of requests that never end and are held by the megabyte, on each of the many
// connections that a host accepts: they are refused once they are longer than any configuration allows.
func TestHeadsWithoutEnd(t *testing.T) {
	for name, text := range map[string]string{"one line": strings.Repeat("x", 4096), "lines": strings.Repeat("X-H: x\r\n", 512)} {
		for _, callers := range []int{1, 4, 16} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				h := &host{logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, failed: make(chan struct{}, 1)}
				l := make(pipeListener, callers)
				h.serve(l, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("a request was served, want a refusal") }))
				var taken atomic.Int64
				var all sync.WaitGroup
				for range callers {
					near, far := net.Pipe()
					l <- far
					all.Go(func() { // until the host closes the connection
						n, err := io.WriteString(near, "GET / HTTP/1.1\r\nHost: x\r\nX-Long: ")
						for taken.Add(int64(n)); err == nil; taken.Add(int64(n)) {
							n, err = io.WriteString(near, text)
						}
					})
					all.Go(func() {
						defer near.Close()
						resp, err := http.ReadResponse(bufio.NewReader(near), nil)
						if err != nil {
							t.Errorf("got no answer: %v", err)
							return
						}
						is.Equal(resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
					})
				}
				all.Wait()
				t.Logf("%d bytes taken of each", taken.Load()/int64(callers))
				is.True(taken.Load() <= int64(callers)*(maxHeadBytes+16<<10))
				close(l)
				is.NoErr(h.group.Wait())
			})
		}
	}
}
