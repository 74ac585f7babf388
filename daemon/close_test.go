package daemon

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"
)

// TestAnswerInProgressAtTheEnd guards against an answer that is cut because its handler has not returned, or its last
// bytes are not written, when the process closes its servers.
func TestAnswerInProgressAtTheEnd(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	h := &host{failed: make(chan struct{}, 1), logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}}
	began, closed := make(chan struct{}), make(chan struct{})
	body := strings.Repeat("x", 1<<10) // less than the buffer of the server
	h.serve(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(began)
		for { // until the listener is closed
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				break
			}
			_ = c.Close()
			time.Sleep(time.Millisecond)
		}
		_, _ = io.WriteString(w, body) // the test reads it
	}))
	got := make(chan string, 1)
	go func() {
		resp, err := http.Get("http://" + l.Addr().String())
		if err != nil {
			got <- err.Error()
			return
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body) // a cut answer is shorter
		got <- string(b)
	}()
	<-began
	go func() {
		h.closeServers()
		close(closed)
	}()
	is.Equal(<-got, body)
	<-closed
	is.NoErr(h.group.Wait())
}

// gatedListener accepts connections that hand what they have read to the server only while the gate is open.
type gatedListener struct {
	net.Listener
	gate sync.RWMutex // locked while the gate is closed
}

type gatedConn struct {
	*net.TCPConn
	gate *sync.RWMutex
}

func (l *gatedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedConn{conn.(*net.TCPConn), &l.gate}, nil
}

func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.gate.RLock()
	defer c.gate.RUnlock()
	return n, err
}

// TestRequestsThatCrossTheEnd guards against a kept connection that is closed without an answer although a request had
// reached the host before: the caller cannot know whether it was run.
func TestRequestsThatCrossTheEnd(t *testing.T) {
	const (
		connections = 50
		arrival     = 50 * time.Millisecond // of requests, over loopback
	)
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	gated := &gatedListener{Listener: l}
	h := &host{failed: make(chan struct{}, 1), logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}}
	h.serve(gated, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last") != "" {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	kept, readers := make([]net.Conn, connections), make([]*bufio.Reader, connections)
	for n := range kept {
		kept[n], err = net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		defer kept[n].Close()
		_, err = io.WriteString(kept[n], "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		is.NoErr(err)
		readers[n] = bufio.NewReader(kept[n])
		resp, err := http.ReadResponse(readers[n], nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	time.Sleep(arrival) // until the connections are idle
	gated.gate.Lock()
	for _, conn := range kept {
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\nLast: 1\r\n\r\n")
		is.NoErr(err)
	}
	time.Sleep(arrival)
	closed := make(chan struct{})
	go func() {
		h.closeServers()
		close(closed)
	}()
	time.Sleep(closeTimeout / 4) // it has begun
	gated.gate.Unlock()
	for n := range kept {
		resp, err := http.ReadResponse(readers[n], nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.True(resp.Close)
	}
	<-closed
	is.NoErr(h.group.Wait())
}

// TestHeadCutByTheEnd guards against a caller that is told that its request is wrong, which it does not send again, because
// the process ended when half of the head had come.
func TestHeadCutByTheEnd(t *testing.T) {
	for name, before := range map[string]string{"new connection": "", "kept connection": "GET / HTTP/1.1\r\nHost: x\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			h := &host{failed: make(chan struct{}, 1), logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}}
			h.serve(l, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			conn, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			defer conn.Close()
			_, err = io.WriteString(conn, before)
			is.NoErr(err)
			reader := bufio.NewReader(conn)
			if before != "" {
				_, err := http.ReadResponse(reader, nil)
				is.NoErr(err)
			}
			_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHo")
			is.NoErr(err)
			time.Sleep(50 * time.Millisecond) // until it has arrived
			h.closeServers()
			rest, _ := io.ReadAll(reader) // ends with the connection
			is.Equal(string(rest), "")
			is.NoErr(h.group.Wait())
		})
	}
}
