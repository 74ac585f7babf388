package daemon

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"
)

// TestAnswerInProgressAtTheEnd guards against an answer that is cut because its handler has not returned, or its last
// bytes are not written, when the process closes its servers.
func TestAnswerInProgressAtTheEnd(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	h := &host{failed: make(chan struct{}, 1), logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}}
	began, closed := make(chan struct{}), make(chan struct{})
	body := strings.Repeat("x", 1<<10) // less than the buffer of the server
	h.serve(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(began)
		for { // until the listener is closed
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				break
			}
			_ = c.Close()
			time.Sleep(time.Millisecond)
		}
		_, _ = io.WriteString(w, body) // the test reads it
	}))
	got := make(chan string, 1)
	go func() {
		resp, err := http.Get("http://" + l.Addr().String())
		if err != nil {
			got <- err.Error()
			return
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body) // a cut answer is shorter
		got <- string(b)
	}()
	<-began
	go func() {
		h.closeServers()
		close(closed)
	}()
	is.Equal(<-got, body)
	<-closed
	is.NoErr(h.group.Wait())
}
