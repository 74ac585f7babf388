package servicehttp

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
)

// TestStatusesThatAreNone guards against an answer whose status is none, such as 000, that is passed on to a caller
// (incident 0022).
func TestStatusesThatAreNone(t *testing.T) {
	for status, valid := range map[string]bool{
		"000": false, "001": false, "099": false, "101": false, "600": false, "999": false, "200": true, "299": true, "500": true, "599": true,
	} {
		for _, nonIdempotent := range []bool{false, true} {
			t.Run(fmt.Sprint(status, nonIdempotent), func(t *testing.T) {
				is := is.New(t)
				address := serveRaw(t, func(r *bufio.Reader, w *net.TCPConn) {
					_, _ = http.ReadRequest(r)
					_, _ = io.WriteString(w, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 "+status+" X\r\nAttempt-Id: a\r\nContent-Length: 5\r\n\r\nhello")
					_, _ = io.Copy(io.Discard, r) // until the client closes
				})
				resp, err := New(nil).Call(t.Context(), address, port.ServiceRequest{AttemptID: "a", Method: http.MethodGet, Path: "/", NonIdempotent: nonIdempotent})
				if valid {
					is.NoErr(err)
					is.Equal(fmt.Sprint(resp.Status), status)
					return
				}
				is.True(errors.Is(err, port.ErrEndpointBroken))
			})
		}
	}
}
