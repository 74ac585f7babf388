package callerhttp

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"github.com/uptrace/bunrouter"
)

// TestAbortedAnswerIsNotComplete guards against an aborted answer that looks complete to its caller, in each framing.
func TestAbortedAnswerIsNotComplete(t *testing.T) {
	for name, tc := range map[string]struct{ protocol, header string }{
		"HTTP 1.1":               {"HTTP/1.1", ""},
		"HTTP 1.1, to be closed": {"HTTP/1.1", "Connection: close\r\n"},
		"HTTP 1.0":               {"HTTP/1.0", ""},
		"HTTP 1.0, kept open":    {"HTTP/1.0", "Connection: keep-alive\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const part = "id: 0\ndata: x\n\n"
			read := make(chan struct{})
			router := bunrouter.New(bunrouter.WithMiddleware(checkHeaders))
			router.GET("/", func(w http.ResponseWriter, r bunrouter.Request) error {
				o := &eventWriter{w: w, control: http.NewResponseController(w), buf: []byte(part), writeTimeout: testBodyTimeout}
				is.NoErr(o.send())
				<-read
				abort(w, r.Request)
				return nil
			})
			server := httptest.NewServer(router)
			defer server.Close()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			is.NoErr(err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "GET / %s\r\nHost: x\r\n%s\r\n", tc.protocol, tc.header)
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			body := make([]byte, len(part))
			_, err = io.ReadFull(resp.Body, body)
			is.NoErr(err)
			is.Equal(string(body), part)
			close(read)
			rest, err := io.ReadAll(resp.Body)
			is.True(err != nil) // the answer must not look complete
			is.Equal(len(rest), 0)
		})
	}
}
