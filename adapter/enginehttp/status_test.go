package enginehttp

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

// TestStatusesThatAreNone guards against an answer whose status is none, such as 000, that is taken for the refusal of an invalid
// request (incident 0022).
func TestStatusesThatAreNone(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			t.Cleanup(func() { _ = l.Close() })
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return // the listener was closed
				}
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" X\r\nContent-Length: 5\r\n\r\nhello")
			}()
			_, err = New(nil).Generate(t.Context(), l.Addr().String(), port.GenerateRequest{AttemptID: "a", Body: []byte("{}")})
			is.True(errors.Is(err, port.ErrEndpointBroken))
		})
	}
}
