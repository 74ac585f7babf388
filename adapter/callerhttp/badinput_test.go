package callerhttp

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/answer"
	"github.com/cicadanotch/cicadanotch/node"
	"github.com/cicadanotch/cicadanotch/problem"
)

// testBodyTimeout replaces bodyTimeout and writeTimeout in tests.
const testBodyTimeout = 100 * time.Millisecond

func newTestServer(t *testing.T) *httptest.Server {
	t.Helper()
	n := node.New(node.Settings{Host: "h", MaxBodyBytes: 1 << 10}, node.Ports{})
	server := httptest.NewServer(newHandler(n, testBodyTimeout))
	t.Cleanup(server.Close)
	return server
}

// TestBadBytes sends malformed and incomplete requests byte for byte. Each must get
// a problem document in time, and the server must keep serving.
func TestBadBytes(t *testing.T) {
	const post = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
	server := newTestServer(t)
	for name, tc := range map[string]struct {
		bytes  string
		status int
		kind   problem.Type
	}{
		"slow sender":         {post + "Content-Length: 100\r\n\r\n{", http.StatusRequestTimeout, problem.TypeTimeout},
		"slow chunks":         {post + "Transfer-Encoding: chunked\r\n\r\n5\r\n{", http.StatusRequestTimeout, problem.TypeTimeout},
		"bad chunk":           {post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", http.StatusBadRequest, problem.TypeBadRequest},
		"huge body":           {post + "Content-Length: 1025\r\n\r\n" + strings.Repeat("a", 1025), http.StatusRequestEntityTooLarge, problem.TypeTooLarge},
		"broken JSON":         {post + "Content-Length: 1\r\n\r\n{", http.StatusBadRequest, problem.TypeBadRequest},
		"no body":             {post + "Content-Length: 0\r\n\r\n", http.StatusBadRequest, problem.TypeBadRequest},
		"not an object":       {post + "Content-Length: 2\r\n\r\n[]", http.StatusBadRequest, problem.TypeBadRequest},
		"large header":        {post + "X: " + strings.Repeat("a", 20<<10) + "\r\nContent-Length: 0\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge, problem.TypeTooLarge},
		"many header lines":   {post + strings.Repeat("X: a\r\n", 200) + "Content-Length: 0\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge, problem.TypeTooLarge},
		"two keys":            {post + "Authorization: Bearer a\r\nAuthorization: Bearer b\r\nContent-Length: 0\r\n\r\n", http.StatusBadRequest, problem.TypeBadRequest},
		"two request ids":     {post + "Request-Id: a\r\nRequest-Id: b\r\nContent-Length: 0\r\n\r\n", http.StatusBadRequest, problem.TypeBadRequest},
		"bad request id":      {post + "Request-Id: a\r\nContent-Length: 0\r\n\r\n", http.StatusBadRequest, problem.TypeBadRequest},
		"unknown method":      {"BREW /v1/chat/completions HTTP/1.1\r\nHost: x\r\n\r\n", http.StatusNotFound, problem.TypeNotFound},
		"unknown request":     {"GET /v1/requests/00112233445566778899aabbccddeeff HTTP/1.1\r\nHost: x\r\n\r\n", http.StatusNotFound, problem.TypeNotFound},
		"models, unknown key": {"GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer a\r\n\r\n", http.StatusUnauthorized, problem.TypeUnauthorized},
		"path out of bounds":  {"GET /services/../../etc/passwd HTTP/1.1\r\nHost: x\r\n\r\n", http.StatusNotFound, problem.TypeNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			is.NoErr(err)
			defer conn.Close()
			_, err = io.WriteString(conn, tc.bytes)
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			defer resp.Body.Close()
			is.Equal(resp.StatusCode, tc.status)
			is.Equal(resp.Header.Get("Content-Type"), problem.ContentType)
			var doc problem.Problem
			is.NoErr(json.NewDecoder(resp.Body).Decode(&doc))
			is.Equal(doc.Type, tc.kind)
		})
	}
	resp, err := http.Get(server.URL + "/v1/addresses")
	is.New(t).NoErr(err) // the server still answers
	resp.Body.Close()
}

// TestHalfRequest closes connections in the middle of a request. The server must
// keep serving others.
func TestHalfRequest(t *testing.T) {
	is := is.New(t)
	server := newTestServer(t)
	for _, partial := range []string{"", "P", "POST /v1/chat/completions HTTP/1.1\r\n", "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{"} {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		is.NoErr(err)
		_, err = io.WriteString(conn, partial)
		is.NoErr(err)
		is.NoErr(conn.Close())
	}
	resp, err := http.Get(server.URL + "/v1/addresses")
	is.NoErr(err)
	resp.Body.Close()
}

// TestCallerThatTakesNothing writes a long answer to a caller that never reads.
// Without a write deadline the handler would block once the socket buffers are
// full, and would never return.
func TestCallerThatTakesNothing(t *testing.T) {
	is := is.New(t)
	buffer := answer.NewBuffer()
	text := strings.Repeat("a", 64<<10)
	ended := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		o := &eventWriter{w: w, control: http.NewResponseController(w), answer: buffer, encoder: newEventEncoder(chatRequest("chat")), writeTimeout: testBodyTimeout}
		o.run(r.Context(), 0)
		close(ended)
	}))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	is.NoErr(err)
	for i := range 512 { // 32 MiB, far more than the socket buffers hold
		is.NoErr(buffer.Append(answer.Chunk{Index: i, Text: text}))
	}
	<-ended // the connection is still open, so the write deadline ended the handler
}
