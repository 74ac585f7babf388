package endpointhttp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/port"
)

// codec is a minimal Codec.
type codec struct{}

func (codec) WriteHead(w *bufio.Writer, f *port.Forward) error {
	_, err := fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: x\r\nId: %s\r\nContent-Length: %d\r\n\r\n", f.Method, f.Target, f.ID, len(f.Body))
	return err
}

func (codec) ReadHead(status int, h http.Header, length int64) (*port.Reply, string) {
	return &port.Reply{Status: status, Header: h, Length: length, Authentic: h.Get("Seal") != ""}, h.Get("Id")
}

// serve starts an endpoint. Each function of script serves one connection, in order:
// it reads requests and writes the bytes of the responses.
func serve(t *testing.T, script ...func(id string, r *bufio.Reader, w net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for _, handle := range script {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle("", bufio.NewReader(c), c)
			}()
		}
	}()
	return l.Addr().String()
}

// request reads one request and returns its id.
func request(r *bufio.Reader) string {
	req, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, req.Body) // a truncated request fails the test at the sender
	return req.Header.Get("Id")
}

// chunkedResponse answers a request with a chunked body, as sent on the wire.
func chunkedResponse(wire string) func(r *bufio.Reader, w net.Conn) {
	return func(r *bufio.Reader, w net.Conn) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nSeal: s\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n%s", request(r), wire)
	}
}

func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nSeal: s\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func forward(address, id string) *port.Forward {
	return &port.Forward{Request: &port.Request{ID: id, Method: "POST", Target: "/x"}, Address: address}
}

// get sends a request and reads the response.
func get(t *testing.T, p *Pool, f *port.Forward) (string, error) {
	t.Helper()
	reply, err := p.Forward(t.Context(), f)
	if err != nil {
		return "", err
	}
	defer reply.Body.Close()
	b, err := io.ReadAll(reply.Body)
	return string(b), err
}

func TestAnswers(t *testing.T) {
	long := strings.Repeat("x", 64<<10)
	for name, tc := range map[string]struct {
		handle func(r *bufio.Reader, w net.Conn)
		body   string
		err    error
	}{
		"complete": {func(r *bufio.Reader, w net.Conn) { _, _ = io.WriteString(w, response(request(r), "hello")) }, "hello", nil},
		"a late response before it": {func(r *bufio.Reader, w net.Conn) {
			_, _ = io.WriteString(w, response("another", "not yours")+response(request(r), "hello"))
		}, "hello", nil},
		"an interim response before it": {func(r *bufio.Reader, w net.Conn) {
			_, _ = io.WriteString(w, "HTTP/1.1 103 Early Hints\r\n\r\n"+response(request(r), "hello"))
		}, "hello", nil},
		"only responses to others": {func(r *bufio.Reader, w net.Conn) {
			request(r)
			_, _ = io.WriteString(w, strings.Repeat(response("another", "not yours"), 5))
		}, "", port.ErrBroken},
		"truncated": {func(r *bufio.Reader, w net.Conn) {
			_, _ = io.WriteString(w, strings.Replace(response(request(r), "hello"), "Content-Length: 5", "Content-Length: 50", 1))
		}, "", port.ErrBroken},
		"no response": {func(r *bufio.Reader, _ net.Conn) { request(r) }, "", port.ErrBroken},
		"not HTTP": {func(r *bufio.Reader, w net.Conn) {
			request(r)
			_, _ = io.WriteString(w, "what?\r\n\r\n")
		}, "", port.ErrBroken},
		"without a length, to the end of the connection": {func(r *bufio.Reader, w net.Conn) {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nhello", request(r))
		}, "hello", nil},
		"without a length, reset": {func(r *bufio.Reader, w net.Conn) {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nhello", request(r))
			_ = w.(*net.TCPConn).SetLinger(0)
		}, "", port.ErrBroken},
		"chunked, without the last chunk": {func(r *bufio.Reader, w net.Conn) {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", request(r))
		}, "", port.ErrBroken},
		"chunked, garbage for the length of a chunk":        {chunkedResponse("5\r\nhello\r\nno chunk\r\n\r\n"), "", port.ErrBroken},
		"chunked, an event for the length of a chunk":       {chunkedResponse("5\r\nhello\r\nid: 1\r\n\r\n0\r\n\r\n"), "", port.ErrBroken},
		"chunked, the length of a chunk below zero":         {chunkedResponse("5\r\nhello\r\n-5\r\nhello\r\n0\r\n\r\n"), "", port.ErrBroken},
		"chunked, the length of a chunk beyond all numbers": {chunkedResponse("5\r\nhello\r\nffffffffffffffffff\r\nhello\r\n0\r\n\r\n"), "", port.ErrBroken},
		"chunked, the length of a chunk without an end":     {chunkedResponse("5\r\nhello\r\n" + strings.Repeat("0", 64<<10)), "", port.ErrBroken},
		"chunked, a chunk longer than stated":               {chunkedResponse("5\r\nhello, you\r\n0\r\n\r\n"), "", port.ErrBroken},
		"chunked, a blank line for the length of a chunk":   {chunkedResponse("5\r\nhello\r\n\r\n0\r\n\r\n"), "", port.ErrBroken},
		"chunked, garbage for trailers":                     {chunkedResponse("5\r\nhello\r\n0\r\nno trailer\r\n\r\n"), "", port.ErrBroken},
		"chunked, a head of a response for trailers":        {chunkedResponse("5\r\nhello\r\n0\r\nHTTP/1.1 200 OK\r\nId: me\r\n\r\n"), "", port.ErrBroken},
		"chunked, trailers without an end":                  {chunkedResponse("5\r\nhello\r\n0\r\n" + strings.Repeat("X-Trailer: x\r\n", 64<<10)), "", port.ErrBroken},
		"chunked, trailers":                                 {chunkedResponse("5\r\nhello\r\n0\r\nX-Trailer: x\r\n\r\n"), "hello", nil},
		"chunked, an extension of a chunk":                  {chunkedResponse("5;x=y\r\nhello\r\n0\r\n\r\n"), "hello", nil},
		"a length that is no number": {func(r *bufio.Reader, w net.Conn) {
			_, _ = io.WriteString(w, strings.Replace(response(request(r), "hello"), "Content-Length: 5", "Content-Length: five", 1))
		}, "", port.ErrBroken},
		"two lengths": {func(r *bufio.Reader, w net.Conn) {
			_, _ = io.WriteString(w, strings.Replace(response(request(r), "hello"), "Content-Length: 5", "Content-Length: 5\r\nContent-Length: 4", 1))
		}, "", port.ErrBroken},
		"a stated length, more behind it": {func(r *bufio.Reader, w net.Conn) {
			_, _ = io.WriteString(w, response(request(r), "hello")+"no answer\n\n")
		}, "hello", nil},
		"long": {func(r *bufio.Reader, w net.Conn) { _, _ = io.WriteString(w, response(request(r), long)) }, long, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := serve(t, func(_ string, r *bufio.Reader, w net.Conn) { tc.handle(r, w) })
			body, err := get(t, New(codec{}, nil), forward(address, "me"))
			if tc.err != nil {
				is.True(errors.Is(err, tc.err))
				return
			}
			is.NoErr(err)
			is.Equal(body, tc.body)
		})
	}
}

// TestKeptConnections guards against the reuse of a connection that carries bytes of
// another response, or that the endpoint is about to close: the next request would
// get a wrong response or be lost.
func TestKeptConnections(t *testing.T) {
	for name, tc := range map[string]struct {
		first  func(r *bufio.Reader, w net.Conn)
		reused bool
	}{
		"complete":                    {func(r *bufio.Reader, w net.Conn) { _, _ = io.WriteString(w, response(request(r), "a")) }, true},
		"chunked":                     {chunkedResponse("1\r\na\r\n0\r\n\r\n"), true},
		"chunked, bytes after it":     {chunkedResponse("1\r\na\r\n0\r\n\r\njunk"), false},
		"chunked, an event after it":  {chunkedResponse("1\r\na\r\n0\r\n\r\nid: 1\ndata: x\n\n"), false},
		"chunked, a blank line after": {chunkedResponse("1\r\na\r\n0\r\n\r\n\r\n"), false},
		"bytes after it":              {func(r *bufio.Reader, w net.Conn) { _, _ = io.WriteString(w, response(request(r), "a")+"junk") }, false},
		"a second response": {func(r *bufio.Reader, w net.Conn) {
			id := request(r)
			_, _ = io.WriteString(w, response(id, "a")+response(id, "b"))
		}, false},
		"Connection: close": {func(r *bufio.Reader, w net.Conn) {
			_, _ = io.WriteString(w, strings.Replace(response(request(r), "a"), "Seal", "Connection: close\r\nSeal", 1))
		}, false},
		"keep-alive timeout of 0 s": {func(r *bufio.Reader, w net.Conn) {
			_, _ = io.WriteString(w, strings.Replace(response(request(r), "a"), "Seal", "Keep-Alive: timeout=0\r\nSeal", 1))
		}, false},
		"invalid keep-alive timeout": {func(r *bufio.Reader, w net.Conn) {
			_, _ = io.WriteString(w, strings.Replace(response(request(r), "a"), "Seal", "Keep-Alive: timeout=soon\r\nSeal", 1))
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := serve(t,
				func(_ string, r *bufio.Reader, w net.Conn) {
					tc.first(r, w)
					_, _ = io.WriteString(w, response(request(r), "same"))
					request(r)
				},
				func(_ string, r *bufio.Reader, w net.Conn) { _, _ = io.WriteString(w, response(request(r), "other")) })
			p := New(codec{}, nil)
			body, err := get(t, p, forward(address, "one"))
			is.NoErr(err)
			is.Equal(body, "a")
			body, err = get(t, p, forward(address, "two"))
			is.NoErr(err)
			is.Equal(body == "same", tc.reused)
		})
	}
}

// TestClosedWhileIdle guards against a request sent on an idle connection that the
// endpoint has closed: whether such a request ran would be unknown.
func TestClosedWhileIdle(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	address := serve(t,
		func(_ string, r *bufio.Reader, w net.Conn) {
			_, _ = io.WriteString(w, response(request(r), "a"))
			_ = w.Close()
			close(closed)
		},
		func(_ string, r *bufio.Reader, w net.Conn) { _, _ = io.WriteString(w, response(request(r), "b")) })
	p := New(codec{}, nil)
	_, err := get(t, p, forward(address, "one"))
	is.NoErr(err)
	<-closed
	for p.idleReusable(address) { // the close has not arrived yet
		time.Sleep(time.Millisecond)
	}
	body, err := get(t, p, forward(address, "two"))
	is.NoErr(err)
	is.Equal(body, "b")
}

// idleReusable reports whether the first idle connection to an address is reusable.
func (p *Pool) idleReusable(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	ac := p.byAddress[address]
	return ac != nil && len(ac.idle) > 0 && ac.idle[0].reusable()
}

// TestEarlyAnswer guards against reuse after an endpoint has responded without reading
// a long body and left the connection open: it would read the next request as the
// rest of that body.
func TestEarlyAnswer(t *testing.T) {
	is := is.New(t)
	address := serve(t,
		func(_ string, r *bufio.Reader, w net.Conn) {
			for { // read the head only
				line, err := r.ReadString('\n')
				if err != nil || line == "\r\n" {
					break
				}
			}
			_, _ = io.WriteString(w, response("one", "early"))
			_, _ = io.Copy(io.Discard, r) // until the client closes
		},
		func(_ string, r *bufio.Reader, w net.Conn) { _, _ = io.WriteString(w, response(request(r), "b")) })
	p := New(codec{}, nil)
	f := forward(address, "one")
	f.Body = make([]byte, 16<<20)
	body, err := get(t, p, f)
	is.NoErr(err)
	is.Equal(body, "early")
	body, err = get(t, p, forward(address, "two"))
	is.NoErr(err)
	is.Equal(body, "b")
}

func TestNotSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close())
	f := forward(address, "one")
	f.Sending = func() error { t.Error("nothing is sent without a connection"); return nil }
	_, err = New(codec{}, nil).Forward(t.Context(), f)
	is.True(errors.Is(err, port.ErrNotSent))
}

// TestShareOfConnections checks that a host opens no more connections to an endpoint
// than MaxConnections, and that closing an unread response frees its connection.
func TestShareOfConnections(t *testing.T) {
	is := is.New(t)
	stall := func(_ string, r *bufio.Reader, w net.Conn) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 9\r\n\r\n", request(r))
		_, _ = io.Copy(io.Discard, r)
	}
	address := serve(t, stall, stall)
	p := New(codec{}, nil)
	f := forward(address, "one")
	f.MaxConnections = 1
	reply, err := p.Forward(t.Context(), f)
	is.NoErr(err)
	_, err = p.Forward(t.Context(), f)
	is.True(errors.Is(err, port.ErrTooManyConnections))
	is.NoErr(reply.Body.Close())
	reply, err = p.Forward(t.Context(), f)
	is.NoErr(err)
	is.NoErr(reply.Body.Close())
}

// TestCallerLeaves checks that the end of the context closes the connection. Otherwise
// the endpoint would continue to work for a caller that has disconnected.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	disconnected := make(chan struct{})
	address := serve(t, func(_ string, r *bufio.Reader, _ net.Conn) {
		request(r)
		_, _ = io.Copy(io.Discard, r)
		close(disconnected)
	})
	ctx, cancel := context.WithCancel(t.Context())
	f := forward(address, "one")
	f.Sending = func() error { time.AfterFunc(5*time.Millisecond, cancel); return nil }
	_, err := New(codec{}, nil).Forward(ctx, f)
	is.True(errors.Is(err, port.ErrBroken))
	<-disconnected
}

// TestProbe guards against taking an endpoint whose process has ended for one that broke a connection.
func TestProbe(t *testing.T) {
	is := is.New(t)
	p := New(codec{}, nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(p.Probe(t.Context(), l.Addr().String()))
	is.NoErr(l.Close())
	is.True(errors.Is(p.Probe(t.Context(), l.Addr().String()), port.ErrNotListening))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	err = p.Probe(ctx, l.Addr().String())
	is.True(err != nil && !errors.Is(err, port.ErrNotListening)) // not known
}
