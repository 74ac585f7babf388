package tunnel

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// TestBrokenTunnelLooksComplete guards against an answer that broke off on its way and looks as if the endpoint had ended
// it: only the endpoint's own clean end is io.EOF. What arrived before is read in each case.
func TestBrokenTunnelLooksComplete(t *testing.T) {
	for name, tc := range map[string]struct {
		// end ends the connection once the caller has read the answer so far.
		end  func(endpoint *net.TCPConn, p *path, b *bed)
		want error
	}{
		"endpoint ends":           {func(e *net.TCPConn, _ *path, _ *bed) { _ = e.Close() }, nil},
		"endpoint ends its half":  {func(e *net.TCPConn, _ *path, _ *bed) { _ = e.CloseWrite() }, nil},
		"endpoint resets":         {func(e *net.TCPConn, _ *path, _ *bed) { _ = e.SetLinger(0); _ = e.Close() }, ErrEndpointBroke},
		"helping host stops":      {func(_ *net.TCPConn, _ *path, b *bed) { b.Close() }, errAny},
		"tunnel resets":           {func(_ *net.TCPConn, p *path, _ *bed) { p.reset() }, errAny},
		"tunnel ends cleanly":     {func(_ *net.TCPConn, p *path, _ *bed) { p.finish() }, io.ErrUnexpectedEOF},
		"tunnel ends, endpoint":   {func(e *net.TCPConn, p *path, _ *bed) { p.finish(); _ = e.Close() }, io.ErrUnexpectedEOF},
		"tunnel goes silent":      {func(_ *net.TCPConn, p *path, _ *bed) { p.freeze() }, ErrSilent},
		"silent, endpoint ends":   {func(e *net.TCPConn, p *path, _ *bed) { p.freeze(); _ = e.Close() }, ErrSilent},
		"silent, endpoint resets": {func(e *net.TCPConn, p *path, _ *bed) { p.freeze(); _ = e.SetLinger(0); _ = e.Close() }, ErrSilent},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			endpoints := make(chan *net.TCPConn, 1)
			hold := make(chan struct{})
			t.Cleanup(func() { close(hold) })
			endpoint := serveEndpoint(t, func(conn net.Conn) {
				_, err := io.ReadFull(conn, make([]byte, 3))
				is.NoErr(err)
				_, err = conn.Write([]byte("answer"))
				is.NoErr(err)
				endpoints <- conn.(*net.TCPConn)
				<-hold
			})
			b := newBed(t, bedConfig{timing: fastTiming})
			p := newPath(t, b.address)
			conn := b.dialThrough(t, p, endpoint)
			_, err := conn.Write([]byte("GET"))
			is.NoErr(err)
			got := make([]byte, 6)
			_, err = io.ReadFull(conn, got)
			is.NoErr(err)
			is.Equal(string(got), "answer")

			tc.end(<-endpoints, p, b)
			rest, err := readAll(t, conn)
			is.Equal(len(rest), 0)
			is.Equal(err == nil, tc.want == nil) // io.ReadAll returns nil for io.EOF
			is.True(!errors.Is(err, os.ErrDeadlineExceeded))
			is.True(!errors.Is(err, ErrRefused)) // bytes were passed on
			if tc.want != errAny {
				is.True(errors.Is(err, tc.want))
			}
			eventually(t, "tunnel is gone", func() bool { return b.Tunnels() == 0 })
		})
	}
}

// errAny stands for any error but io.EOF.
var errAny = errors.New("any error")

// TestEveryCutLooksBroken guards against a cut that happens to fall where a frame ends: whichever byte is the last to
// arrive, the answer is complete only with the frame that states the end.
func TestEveryCutLooksBroken(t *testing.T) {
	answer := strings.Repeat("0123456789", 3)
	stated := 2*headerBytes + len(answer) + headerBytes // opened, data, end
	for cut := headerBytes; cut <= stated; cut++ {
		is := is.New(t)
		endpoint := serveEndpoint(t, func(conn net.Conn) {
			_, _ = io.ReadFull(conn, make([]byte, 1)) // fails if the tunnel was cut before
			_, _ = conn.Write([]byte(answer))
		})
		b := newBed(t, bedConfig{timing: neverTicks})
		p := newPath(t, b.address)
		p.allow.Store(int64(cut))
		conn := b.dialThrough(t, p, endpoint)
		_, _ = conn.Write([]byte("x")) // fails if the tunnel was cut before
		got, err := readAll(t, conn)
		is.True(strings.HasPrefix(answer, string(got)))
		is.Equal(len(got), max(0, min(len(answer), cut-2*headerBytes)))
		is.Equal(err == nil, cut == stated)
		is.NoErr(conn.Close())
	}
}

// TestLastFrameIsNotLostToReset guards against a helping host that closes a tunnel with unread bytes of the caller, which
// resets it and takes the end of the answer with it.
func TestLastFrameIsNotLostToReset(t *testing.T) {
	is := is.New(t)
	answer := strings.Repeat("a", 3*windowBytes)
	hold := make(chan struct{})
	defer close(hold)
	endpoint := serveEndpoint(t, func(conn net.Conn) {
		_, err := io.ReadFull(conn, make([]byte, 1))
		is.NoErr(err)
		_, err = io.WriteString(conn, answer)
		is.NoErr(err)
		is.NoErr(conn.(*net.TCPConn).CloseWrite())
		_, _ = io.Copy(io.Discard, io.LimitReader(conn, windowBytes)) // ends with the connection
		<-hold                                                        // a close with unread bytes may reset the connection before its end arrives
	})
	b := newBed(t, bedConfig{timing: fastTiming})
	for range 20 {
		conn := b.dial(t, endpoint)
		wrote := make(chan error)
		go func() {
			var err error
			for err == nil {
				_, err = conn.Write(make([]byte, 1000))
			}
			wrote <- err
		}()
		got, err := readAll(t, conn)
		is.NoErr(err)
		is.Equal(len(got), len(answer))
		err = <-wrote
		is.True(errors.Is(err, ErrEndpointEnded))
		is.NoErr(conn.Close())
	}
}

// TestSilentEndpointLooksBroken guards against an endpoint that thinks for long and is taken for a broken tunnel.
func TestSilentEndpointLooksBroken(t *testing.T) {
	is := is.New(t)
	silence := 3 * time.Duration(fastTiming.maxSilentIntervals) * fastTiming.aliveInterval
	endpoint := serveEndpoint(t, func(conn net.Conn) {
		time.Sleep(silence)
		_, err := conn.Write([]byte("at last"))
		is.NoErr(err)
	})
	b := newBed(t, bedConfig{timing: fastTiming})
	got, err := readAll(t, b.dial(t, endpoint))
	is.NoErr(err)
	is.Equal(string(got), "at last")
}

// TestSilentPathKeepsEndpoint guards against a helping host that keeps the endpoint at work for a caller that was cut off.
func TestSilentPathKeepsEndpoint(t *testing.T) {
	is := is.New(t)
	ended := make(chan error, 1)
	endpoint := serveEndpoint(t, func(conn net.Conn) {
		_, err := io.Copy(io.Discard, conn)
		ended <- err
	})
	b := newBed(t, bedConfig{timing: fastTiming})
	p := newPath(t, b.address)
	conn := b.dialThrough(t, p, endpoint)
	_, err := conn.Write([]byte("x"))
	is.NoErr(err)
	p.freeze()
	select {
	case <-ended:
	case <-time.After(patience):
		t.Fatal("the endpoint's connection is still open")
	}
	eventually(t, "reported as broken", func() bool { return b.events.count(EventBroke) == 1 })
}

// TestFrozenWriterWaitsForever guards against a write that never returns because the helping host no longer reads.
func TestFrozenWriterWaitsForever(t *testing.T) {
	is := is.New(t)
	endpoint := serveEndpoint(t, func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	b := newBed(t, bedConfig{timing: fastTiming})
	p := newPath(t, b.address)
	conn := b.dialThrough(t, p, endpoint)
	p.freeze()
	var err error
	for err == nil {
		_, err = conn.Write(make([]byte, 1000))
	}
	is.True(errors.Is(err, ErrSilent))
}

// TestThawedHostBreaksTunnels guards against a host that was frozen itself and takes the time for silence of the others:
// only intervals in which it ran count.
func TestThawedHostBreaksTunnels(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer far.Close()
	l := newLink(t.Context(), near, timing{aliveInterval: time.Hour, maxSilentIntervals: 6}, true)
	l.ticker = time.NewTimer(time.Hour)
	l.sent.Store(true)
	for range 6 {
		l.tick()
		l.sent.Store(true) // nobody reads keep-alives here
	}
	is.NoErr(l.failure())
	l.heard.Store(true)
	l.tick()
	is.NoErr(l.failure())
	for range 7 {
		l.sent.Store(true)
		l.tick()
	}
	is.True(errors.Is(l.failure(), ErrSilent))
}

// TestKeepAliveComesBeforeOpening guards against a caller that a busy or frozen machine stops before it asks for its tunnel, and
// that sends a keep-alive first: the helping host takes that for garbage and closes the connection.
func TestKeepAliveComesBeforeOpening(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer far.Close()
	defer time.AfterFunc(patience, func() { _ = far.Close() }).Stop() // ends a read of frames that do not come
	l := newLink(t.Context(), near, timing{aliveInterval: time.Hour, maxSilentIntervals: 6}, true)
	l.ticker = time.NewTimer(time.Hour)
	opening := open("e-1", "127.0.0.1:1")
	go func() {
		for range 3 {
			l.tick()
		}
		_ = l.writeFrame(opening) // fails if the test has ended
		l.tick()                  // in the interval of the opening
		l.tick()
	}()
	got := make([]byte, len(opening)+len(aliveFrame))
	_, err := io.ReadFull(far, got)
	is.NoErr(err)
	is.Equal(got, append(opening, aliveFrame...))
	is.NoErr(l.failure())
}

// errorOnceConn is a connection that breaks once creditBytes were written: the kernel reports that to the first call, here a
// write, and a read returns io.EOF then.
type errorOnceConn struct {
	net.Conn
	err     error
	written int
	ended   chan struct{}
}

func (c *errorOnceConn) Write(p []byte) (int, error) {
	if c.written < creditBytes {
		c.written += len(p)
		return c.Conn.Write(p)
	}
	close(c.ended)
	return 0, &net.OpError{Op: "write", Err: os.NewSyscallError("write", c.err)}
}

func (c *errorOnceConn) Read([]byte) (int, error) {
	<-c.ended
	return 0, io.EOF
}

// TestResetThatAWriteReportsLooksComplete guards against an endpoint's connection that was reset and is taken for ended, because
// a write got the error and the read only io.EOF. A write after a clean end fails too, in its own way.
func TestResetThatAWriteReportsLooksComplete(t *testing.T) {
	for name, tc := range map[string]struct{ write, want error }{
		"reset":                    {syscall.ECONNRESET, ErrEndpointBroke},
		"no answer to probes":      {syscall.ETIMEDOUT, ErrEndpointBroke},
		"machine is not reachable": {syscall.EHOSTUNREACH, ErrEndpointBroke},
		"ended before":             {syscall.EPIPE, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			endpoint := serveEndpoint(t, func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
			b := newBed(t, bedConfig{timing: neverTicks, dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := direct(ctx, network, address)
				return &errorOnceConn{Conn: conn, err: tc.write, ended: make(chan struct{})}, err
			}})
			conn := b.dial(t, endpoint)
			_, err := conn.Write(make([]byte, creditBytes)) // its credit tells that it was passed on
			is.NoErr(err)
			l := conn.(*Conn).link
			eventually(t, "passed on", func() bool { l.mu.Lock(); defer l.mu.Unlock(); return l.passed })
			_, err = conn.Write([]byte("more"))
			is.NoErr(err)
			_, err = readAll(t, conn)
			is.True(errors.Is(err, tc.want))
		})
	}
}

// refusedWriteConn is a connection that the other end has closed with a statement: a write fails, what was sent before can be
// read.
type refusedWriteConn struct {
	bytesConn
	once   sync.Once
	failed chan struct{}
}

func (c *refusedWriteConn) Write([]byte) (int, error) {
	c.once.Do(func() { close(c.failed) })
	return 0, syscall.EPIPE
}

func (c *refusedWriteConn) Read(p []byte) (int, error) {
	<-c.failed
	time.Sleep(20 * time.Millisecond) // the writer goes on first
	return c.bytesConn.Read(p)
}

func (c *refusedWriteConn) SetReadDeadline(time.Time) error { return nil }

// TestFailedWriteHidesStatement guards against a write that fails first and hides what the other end stated before it closed the
// tunnel: that nothing was sent, or the end of the answer.
func TestFailedWriteHidesStatement(t *testing.T) {
	for name, tc := range map[string]struct {
		stated []byte
		want   error
	}{
		"refusal": {frame(frameRefused, []byte("paused")), ErrRefused},
		"end":     {append(frame(frameData, []byte("answer")), frame(frameEnd, nil)...), nil},
		"nothing": {nil, io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newLink(t.Context(), &refusedWriteConn{bytesConn: bytesConn{Reader: bytes.NewReader(tc.stated)}, failed: make(chan struct{})}, neverTicks, true)
			close(l.opened)
			l.start()
			conn := &Conn{link: l}
			_, err := conn.Write([]byte("GET"))
			is.True(err != nil)
			_, err = readAll(t, conn)
			is.True(errors.Is(err, tc.want))
		})
	}
}
