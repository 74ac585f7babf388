package endpointhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
)

// TestStatusesThatAreNone guards against an answer whose status is none, such as 000 (incident 0022): as an interim answer it was
// skipped, so that the request waited until its deadline, or got what follows on the connection. 101 is the answer to an
// upgrade, which no request asks for.
func TestStatusesThatAreNone(t *testing.T) {
	for status, valid := range map[string]bool{
		"000": false, "001": false, "099": false, "101": false, "600": false, "999": false, "200": true, "299": true, "500": true, "599": true,
	} {
		for name, then := range map[string]string{
			"alone": "Content-Length: 5\r\n\r\nhello", "a sound answer follows": "Content-Length: 5\r\n\r\nhello" + response("a", "other"),
			"without a body, a sound answer follows": "\r\n" + response("a", "other"),
		} {
			if valid && !strings.HasPrefix(then, "Content-Length") {
				continue // the answer that follows is its body
			}
			t.Run(status+", "+name, func(t *testing.T) {
				is := is.New(t)
				address := serve(t, func(_ string, r *bufio.Reader, w net.Conn) {
					request(r)
					_, _ = io.WriteString(w, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 "+status+" X\r\nSeal: s\r\nId: a\r\n"+then)
					_, _ = io.Copy(io.Discard, r) // until the pool closes the connection
				})
				p := New(codec{}, nil)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				reply, err := p.Forward(ctx, forward(address, "a"))
				is.NoErr(ctx.Err()) // told at once
				if !valid {
					is.True(errors.Is(err, port.ErrBroken))
					return
				}
				is.NoErr(err)
				body, err := io.ReadAll(reply.Body)
				is.NoErr(err)
				is.Equal(string(body), "hello")
				is.NoErr(reply.Body.Close())
			})
		}
	}
}
