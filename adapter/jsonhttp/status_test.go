package jsonhttp

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestStatusesThatAreNone guards against a reply whose status is none, such as 000, that is taken for a success since it is below
// 300 (incident 0022).
func TestStatusesThatAreNone(t *testing.T) {
	for status, valid := range map[string]bool{"000": false, "099": false, "101": false, "600": false, "200": true, "599": true} {
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
				_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" X\r\nContent-Length: 1\r\n\r\n1")
			}()
			var out int
			got, err := Call(t.Context(), NewClient(NewTransport(nil)), http.MethodGet, "http://"+l.Addr().String(), MaxResultBytes, nil, &out)
			is.Equal(err == nil, valid)
			if valid {
				is.Equal(fmt.Sprint(got), status)
			} else {
				is.Equal(out, 0)
			}
		})
	}
}
