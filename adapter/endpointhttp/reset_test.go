package endpointhttp

import (
	"bufio"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/adapter/tunnel"
	"github.com/cicadanotch/cicadanotch/port"
)

// TestResetWhileBodyIsSentLooksComplete guards against a response without a length that a reset broke off and that looks complete,
// because the write of the request's body got the error and the read only io.EOF. An endpoint may answer and end before it has
// read the body: that response is complete.
func TestResetWhileBodyIsSentLooksComplete(t *testing.T) {
	for name, tc := range map[string]struct{ reset, tunnel bool }{
		"reset": {true, false}, "end": {false, false}, "reset, through another host": {true, true}, "end, through another host": {false, true},
	} {
		reset := tc.reset
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const attempts = 100
			handle := func(_ string, r *bufio.Reader, w net.Conn) {
				_, err := io.CopyN(io.Discard, r, 100<<10)
				is.NoErr(err)
				_, err = io.WriteString(w, "HTTP/1.1 200 OK\r\nSeal: s\r\nId: a\r\n\r\nhello")
				is.NoErr(err)
				if reset {
					_, err = io.CopyN(io.Discard, r, 1<<20) // the answer arrives before the reset
					is.NoErr(err)
					is.NoErr(w.(*net.TCPConn).SetLinger(0))
					return
				}
				is.NoErr(w.(*net.TCPConn).CloseWrite())
				<-t.Context().Done()
			}
			script := make([]func(string, *bufio.Reader, net.Conn), attempts)
			for i := range script {
				script[i] = handle
			}
			address := serve(t, script...)
			p := New(codec{}, nil)
			if tc.tunnel {
				p, _, _ = tunnelPool(t, func(tunnel.Target) tunnel.Reason { return "" })
			}
			f := forward(address, "a")
			f.Body = make([]byte, 32<<20)
			for range attempts {
				body, err := get(t, p, f)
				if reset {
					is.True(errors.Is(err, port.ErrBroken))
					continue
				}
				is.NoErr(err)
				is.Equal(body, "hello")
			}
		})
	}
}
