package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"
)

const (
	// endAnswerBytes is the size of an answer that the kernel takes from the host at once, and that a caller with small
	// buffers has not taken before it reads.
	endAnswerBytes   = 150_000
	endBufferBytes   = 200_000 // of the host, for what is sent
	endReceiveBytes  = 8 << 10 // of the caller
	endReadDelay     = 100 * time.Millisecond
	endBodyRestBytes = 1 << 20
	endWaitTimeout   = 20 * time.Second
)

// sendBufferListener accepts connections with a send buffer that holds a whole answer.
type sendBufferListener struct{ net.Listener }

func (l sendBufferListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		err = conn.(*net.TCPConn).SetWriteBuffer(endBufferBytes)
	}
	return conn, err
}

// serveHandler returns a host that answers by handler, and its address.
func serveHandler(t *testing.T, handler http.HandlerFunc) (*host, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	h := &host{failed: make(chan struct{}, 1), logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}}
	h.serve(sendBufferListener{l}, handler)
	return h, l.Addr().String()
}

// serveEnds returns a host that answers each request with endAnswerBytes, and its address.
func serveEnds(t *testing.T) (*host, string) {
	t.Helper()
	return serveHandler(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last") != "" {
			w.Header().Set("Connection", "close")
		}
		_, _ = io.WriteString(w, strings.Repeat("x", endAnswerBytes)) // the test reads it
	})
}

// dialSlow opens a connection of a caller that takes few bytes before it reads.
func dialSlow(t *testing.T, address string, receiveBytes int) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) (err error) {
		controlErr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
		})
		if err == nil {
			err = controlErr
		}
		return err
	}}
	conn, err := dialer.DialContext(context.Background(), "tcp", address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() }) // the test may have closed it
	return conn
}

// TestWholeAnswerBeforeTheClose guards against a whole answer whose rest is lost because the host closes its connection
// with unread bytes, or because bytes arrive after that: both reset the connection.
func TestWholeAnswerBeforeTheClose(t *testing.T) {
	const head = "Host: x\r\n"
	behind := map[string]string{
		"nothing":            "",
		"half a head":        "GET / HTTP/1.1\r\nHo",
		"a whole request":    "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
		"the rest of a body": strings.Repeat("y", endBodyRestBytes),
	}
	for name, tc := range map[string]struct {
		request string
		status  int
		whole   bool // the answer has endAnswerBytes
	}{
		"the host ends it":           {"GET / HTTP/1.1\r\nLast: 1\r\n" + head + "\r\n", http.StatusOK, true},
		"the caller ends it":         {"GET / HTTP/1.1\r\nConnection: close\r\n" + head + "\r\n", http.StatusOK, true},
		"HTTP/1.0":                   {"GET / HTTP/1.0\r\n" + head + "\r\n", http.StatusOK, true},
		"a body that is not read":    {fmt.Sprintf("POST / HTTP/1.1\r\nContent-Length: %d\r\n%s\r\n", endBodyRestBytes, head), http.StatusOK, true},
		"bad head":                   {"GET / HTTP/1.1\r\nno field\r\n\r\n", http.StatusBadRequest, false},
		"unsupported coding":         {"GET / HTTP/1.1\r\n" + head + "Transfer-Encoding: x\r\n\r\n", http.StatusNotImplemented, false},
		"an unsupported expectation": {"GET / HTTP/1.1\r\n" + head + "Expect: x\r\n\r\n", http.StatusExpectationFailed, false},
		"head too long":              {"GET / HTTP/1.1\r\n" + head + "X: " + strings.Repeat("z", http.DefaultMaxHeaderBytes+8<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge, false},
	} {
		for what, more := range behind {
			if strings.HasPrefix(tc.request, "POST") && len(more) < endBodyRestBytes {
				continue // the host awaits the body
			}
			for _, delay := range []time.Duration{0, 20 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second} {
				if more == "" && delay > 0 {
					continue
				}
				t.Run(fmt.Sprintf("%s, then %s after %s", name, what, delay), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					_, address := serveEnds(t)
					conn := dialSlow(t, address, endReceiveBytes)
					request, later := tc.request, more
					if delay == 0 {
						request, later = request+more, ""
					}
					sent := make(chan struct{})
					go func() {
						defer close(sent)
						_, _ = io.WriteString(conn, request) // the host may answer before it has all
						time.Sleep(delay)
						_, _ = io.WriteString(conn, later)
					}()
					time.Sleep(delay + endReadDelay)
					resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
					is.NoErr(err)
					is.Equal(resp.StatusCode, tc.status)
					body, err := io.ReadAll(resp.Body)
					is.NoErr(err)
					is.True(!tc.whole || len(body) == endAnswerBytes)
					_ = conn.Close()
					<-sent
				})
			}
		}
	}
}

// TestWholeAnswerBeforeALaterEnd guards against the same on a kept connection that the host ends later, before the caller
// has taken the answer.
func TestWholeAnswerBeforeALaterEnd(t *testing.T) {
	const halfHead = "GET / HTTP/1.1\r\nHo"
	long := strings.Repeat("z", 64<<10) // more than the host reads at once
	for name, tc := range map[string]struct {
		behind string
		wait   time.Duration // before the caller reads
		ends   bool          // the process ends meanwhile
	}{
		"head that times out":                            {halfHead, headerTimeout + 200*time.Millisecond, false},
		"head that times out, with bytes unread":         {halfHead + long, headerTimeout + 200*time.Millisecond, false},
		"end of the process, nothing behind":             {"", 500 * time.Millisecond, true},
		"end of the process, half a head behind":         {halfHead, 500 * time.Millisecond, true},
		"end of the process, part of a long head behind": {halfHead + long, 500 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h, address := serveEnds(t)
			conn := dialSlow(t, address, endReceiveBytes)
			_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"+tc.behind)
			is.NoErr(err)
			time.Sleep(endReadDelay)
			closed := make(chan struct{})
			if tc.ends {
				h.answersUntil = time.Now().Add(endWaitTimeout)
				go func() {
					defer close(closed)
					h.closeServers()
				}()
			}
			time.Sleep(tc.wait)
			_, _ = io.WriteString(conn, "more") // the host may have ended the connection
			select {
			case <-closed:
				t.Fatal("the process ends before the caller has taken the answer")
			default:
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(len(body), endAnswerBytes)
			if tc.ends {
				<-closed
				is.True(time.Now().Before(h.answersUntil)) // it ends when the caller has the answer
			}
		})
	}
}
