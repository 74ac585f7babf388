package servicehttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
)

// serveRaw accepts connections and answers the first request on each with handle.
func serveRaw(t *testing.T, handle func(r *bufio.Reader, w *net.TCPConn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return // the listener was closed
			}
			go func() {
				defer conn.Close()
				handle(bufio.NewReader(conn), conn.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// TestResetWhileCallIsSentLooksComplete guards against a part of an answer that is taken for all of it (incident 0022): the
// service answers early and without a length, and resets the connection while the call is still being written. The write gets the
// error then, and the read only the end of the connection. A service may also answer early and end: that answer is complete.
func TestResetWhileCallIsSentLooksComplete(t *testing.T) {
	const attempts = 60
	for name, tc := range map[string]struct{ nonIdempotent, reset bool }{
		"reset":                 {false, true},
		"reset, not idempotent": {true, true},
		"end":                   {false, false},
		"end, not idempotent":   {true, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := serveRaw(t, func(r *bufio.Reader, w *net.TCPConn) {
				if _, err := io.CopyN(io.Discard, r, 100<<10); err != nil {
					return
				}
				_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n\r\nhello") // a failed write shows in the answer
				if tc.reset {
					_, _ = io.CopyN(io.Discard, r, 1<<20) // the answer arrives before the reset
					_ = w.SetLinger(0)
					return
				}
				_ = w.CloseWrite()
				<-t.Context().Done()
			})
			c, complete := New(nil), 0
			for range attempts {
				resp, err := c.Call(t.Context(), address, port.ServiceRequest{
					AttemptID: "a", Method: http.MethodPost, Path: "/", Body: make([]byte, 32<<20), NonIdempotent: tc.nonIdempotent,
				})
				switch {
				case err == nil:
					complete++
					is.Equal(string(resp.Body), "hello")
				default:
					is.True(errors.Is(err, port.ErrEndpointBroken))
				}
			}
			t.Logf("%d of %d looked complete", complete, attempts)
			if tc.reset {
				is.Equal(complete, 0)
			} else {
				is.Equal(complete, attempts)
			}
		})
	}
}
