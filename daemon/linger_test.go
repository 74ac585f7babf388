package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// TestLingerEndsWithoutTheCaller guards against connections that callers hold after their last answer for good: one that
// sends nothing and one that sends without end.
func TestLingerEndsWithoutTheCaller(t *testing.T) {
	const sendInterval = 100 * time.Millisecond
	for name, tc := range map[string]struct {
		sendBytes int // each sendInterval
		reason    string
		after     time.Duration
	}{
		"sends nothing":          {0, lingerEndTimeout, lingerTimeout},
		"sends a little":         {1, lingerEndTimeout, lingerTimeout},
		"sends more than a body": {maxLingerBytes, lingerEndBytes, sendInterval},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				reports := make(chan lingerReport, 1)
				l := &lingering{report: func(r lingerReport) { reports <- r }}
				near, far := net.Pipe()
				conn := &lingerConn{halfCloser: opaqueConn{far}, lingering: l}
				began := time.Now()
				is.NoErr(conn.Close())
				is.True(errors.Is(conn.Close(), net.ErrClosed))
				for tc.sendBytes > 0 {
					time.Sleep(sendInterval)
					if _, err := near.Write(make([]byte, tc.sendBytes)); err != nil {
						break // the connection was closed
					}
				}
				r := <-reports
				is.Equal(r.reason, tc.reason)
				is.Equal(r.untaken, -1) // the pipe does not tell it
				is.True(time.Since(began) >= tc.after && time.Since(began) <= tc.after+sendInterval)
				synctest.Wait()
				is.Equal(l.conns.Len(), 0)
			})
		})
	}
}

// opaqueConn is a connection that tells nothing of its queues.
type opaqueConn struct{ net.Conn }

func (c opaqueConn) CloseWrite() error                     { return nil }
func (c opaqueConn) SetLinger(int) error                   { return nil }
func (c opaqueConn) SyscallConn() (syscall.RawConn, error) { return nil, errors.New("no descriptor") }

// TestLingeringConnectionsAreBounded guards against descriptors that run out: the oldest connections give way.
func TestLingeringConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var reports []lingerReport
		l := &lingering{report: func(r lingerReport) { reports = append(reports, r) }}
		ends := make([]net.Conn, maxLingering+1)
		for n := range ends {
			near, far := net.Pipe()
			ends[n] = near
			is.NoErr((&lingerConn{halfCloser: opaqueConn{far}, lingering: l}).Close())
			synctest.Wait()
		}
		is.Equal(len(reports), 1)
		is.Equal(reports[0].reason, lingerEndCount)
		is.Equal(l.conns.Len(), maxLingering)
		_, err := ends[0].Read(make([]byte, 1))
		is.Equal(err, io.EOF) // the oldest was closed
		is.Equal(l.untaken(), maxLingering)
		l.closeAll()
		is.Equal(l.conns.Len(), 0)
		is.Equal(len(reports), 1+maxLingering)
	})
}

// TestBrokenAnswerStaysBroken guards against an aborted answer that looks complete since its connection ends in order, also
// if bytes are unread.
func TestBrokenAnswerStaysBroken(t *testing.T) {
	for name, tc := range map[string]struct {
		length string // of the answer; empty for chunks
		behind string
	}{
		"length":               {"10", ""},
		"chunks":               {"", ""},
		"length, bytes behind": {"10", strings.Repeat("z", 64<<10)},
		"chunks, bytes behind": {"", strings.Repeat("z", 64<<10)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h, address := serveHandler(t, func(w http.ResponseWriter, _ *http.Request) {
				if tc.length != "" {
					w.Header().Set("Content-Length", tc.length)
				}
				_, _ = io.WriteString(w, "part") // the test reads it
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			})
			conn, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n%s", tc.behind)
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			body, err := io.ReadAll(resp.Body)
			is.True(err != nil)
			is.Equal(string(body), "part")
			_ = conn.Close()
			h.closeServers()
		})
	}
}

// TestIdleConnectionEndsAtOnce guards against connections that linger though their callers have taken everything and have
// sent nothing.
func TestIdleConnectionEndsAtOnce(t *testing.T) {
	is := is.New(t)
	h, address := serveHandler(t, func(http.ResponseWriter, *http.Request) {})
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	is.NoErr(err)
	_, err = http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	h.closeServers()
	h.connections.lingering.mu.Lock()
	defer h.connections.lingering.mu.Unlock()
	is.Equal(h.connections.lingering.conns.Len(), 0)
}
