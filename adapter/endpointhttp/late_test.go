package endpointhttp

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestLateCopyOfAnswer guards against a response that an endpoint sends a second time on a connection that is in use
// again: the next request must not get it, not even if it is the same request sent again.
func TestLateCopyOfAnswer(t *testing.T) {
	chunked := func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nSeal: s\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, len(body), body)
	}
	for name, tc := range map[string]struct {
		ids    [3]string // of the requests sent one after another; the endpoint answers the third one late copies first
		method string    // of the third request
		copies string
		err    bool
	}{
		"of the request before": {[3]string{"a", "b", "c"}, "POST", response("b", "copy"), false},
		"of one before that":    {[3]string{"a", "b", "c"}, "POST", response("a", "copy"), false},
		"of both":               {[3]string{"a", "b", "c"}, "POST", response("a", "copy") + response("b", "copy"), false},
		"in chunks":             {[3]string{"a", "b", "c"}, "POST", chunked("b", "copy"), false},
		"of an earlier attempt of the same request":     {[3]string{"a", "c", "c"}, "POST", response("c", "copy"), false},
		"of an earlier attempt with another in between": {[3]string{"c", "b", "c"}, "POST", response("c", "copy"), false},
		"of an earlier attempt, in chunks":              {[3]string{"a", "c", "c"}, "POST", chunked("c", "copy"), false},
		"that is a refusal of an earlier attempt": {
			[3]string{"a", "c", "c"}, "POST", strings.Replace(response("c", "copy"), "200 OK", "503 Service Unavailable", 1), false,
		},
		"without an id":                         {[3]string{"a", "b", "c"}, "POST", strings.Replace(response("b", "copy"), "Id: b\r\n", "", 1), true},
		"before the response to another method": {[3]string{"a", "b", "c"}, "HEAD", response("b", "copy"), true},
		"cut off":                               {[3]string{"a", "b", "c"}, "POST", response("b", "copy")[:len(response("b", "copy"))-2], true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var address string
			handle := func(_ string, r *bufio.Reader, w net.Conn) {
				for n := 1; ; n++ {
					id := request(r)
					if id == "" {
						return
					}
					if n == 3 {
						_, _ = io.WriteString(w, tc.copies)
					}
					_, _ = io.WriteString(w, response(id, "own"))
				}
			}
			address = serve(t, handle, handle, handle)
			p := New(codec{}, nil)
			for n, id := range tc.ids {
				f := forward(address, id)
				if n == 2 {
					f.Method = tc.method
				}
				body, err := get(t, p, f)
				if n == 2 && tc.err {
					is.True(err != nil)
					return
				}
				is.NoErr(err)
				is.Equal(body, "own")
			}
		})
	}
}
