package tunnel

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// TestEndpointWorksForCallerThatLeft guards against an endpoint that stays at work after its caller has left, whatever the
// helping host does at that moment. No keep-alives are sent, so only the close itself can end the endpoint's connection.
func TestEndpointWorksForCallerThatLeft(t *testing.T) {
	flood := func(conn net.Conn) {
		for {
			if _, err := conn.Write(make([]byte, 1000)); err != nil {
				return
			}
		}
	}
	for name, tc := range map[string]struct {
		endpoint func(conn net.Conn)
		before   func(is *is.I, conn net.Conn)
	}{
		"endpoint silent": {func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }, func(is *is.I, conn net.Conn) {
			_, err := conn.Write([]byte("GET"))
			is.NoErr(err)
		}},
		"answer being written, nobody reads": {flood, func(is *is.I, conn net.Conn) {
			_, err := io.ReadFull(conn, make([]byte, 10))
			is.NoErr(err)
		}},
		"answer being read": {flood, func(is *is.I, conn net.Conn) {
			_, err := io.CopyN(io.Discard, conn, 10*windowBytes)
			is.NoErr(err)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ended := make(chan struct{})
			endpoint := serveEndpoint(t, func(conn net.Conn) {
				tc.endpoint(conn)
				close(ended)
			})
			b := newBed(t, bedConfig{timing: neverTicks})
			conn := b.dial(t, endpoint)
			tc.before(is, conn)
			is.NoErr(conn.Close())
			select {
			case <-ended:
			case <-time.After(patience):
				t.Fatal("the endpoint's connection is still open")
			}
			eventually(t, "the caller has left", func() bool { return b.events.count(EventLeft) == 1 && b.Tunnels() == 0 })
			_, err := conn.Read(make([]byte, 1))
			is.True(errors.Is(err, net.ErrClosed))
			_, err = conn.Write(make([]byte, 1))
			is.True(errors.Is(err, net.ErrClosed))
		})
	}
}

// stuckConn is a connection whose writes block until it is closed, as to an endpoint that does not read.
type stuckConn struct {
	net.Conn
	closeOnce sync.Once
	writing   chan struct{}
	closed    chan struct{}
}

func newStuckConn(conn net.Conn) *stuckConn {
	return &stuckConn{Conn: conn, writing: make(chan struct{}, 1), closed: make(chan struct{})}
}

func (c *stuckConn) Write([]byte) (int, error) {
	select {
	case c.writing <- struct{}{}:
	default:
	}
	<-c.closed
	return 0, net.ErrClosed
}

func (c *stuckConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// TestCallerLeavesWhileRequestIsStuck guards against a helping host that does not notice that the caller has left while it
// writes to an endpoint that does not read.
func TestCallerLeavesWhileRequestIsStuck(t *testing.T) {
	is := is.New(t)
	endpoint := serveEndpoint(t, func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	stuck := make(chan *stuckConn, 1)
	b := newBed(t, bedConfig{timing: neverTicks, dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := direct(ctx, network, address)
		is.NoErr(err)
		s := newStuckConn(conn)
		stuck <- s
		return s, nil
	}})
	conn := b.dial(t, endpoint)
	type result struct {
		n   int
		err error
	}
	wrote := make(chan result, 1)
	go func() {
		n, err := conn.Write(make([]byte, 4*windowBytes))
		wrote <- result{n, err}
	}()
	l := conn.(*Conn).link
	eventually(t, "the window is full", func() bool { l.mu.Lock(); defer l.mu.Unlock(); return l.credit == 0 && !l.writing })
	is.NoErr(conn.SetWriteDeadline(time.Now().Add(50 * time.Millisecond)))
	got := <-wrote
	is.True(errors.Is(got.err, os.ErrDeadlineExceeded))
	is.Equal(got.n, windowBytes) // no more than the window is under way
	s := <-stuck
	<-s.writing
	is.NoErr(conn.Close())
	select {
	case <-s.closed:
	case <-time.After(patience):
		t.Fatal("the endpoint's connection is still open")
	}
}

// TestCallerLeavesDuringDial: the helping host gives up the opening of a connection that nobody waits for.
func TestCallerLeavesDuringDial(t *testing.T) {
	is := is.New(t)
	dialing, gaveUp := make(chan struct{}), make(chan struct{})
	b := newBed(t, bedConfig{timing: neverTicks, opts: Options{DialTimeout: time.Hour}, dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		close(dialing)
		<-ctx.Done()
		close(gaveUp)
		return nil, ctx.Err()
	}})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-dialing
		cancel()
	}()
	conn, err := b.client().Dial(ctx, b.address, Target{"e-1", "127.0.0.1:1"})
	is.True(conn == nil)
	is.True(errors.Is(err, context.Canceled))
	select {
	case <-gaveUp:
	case <-time.After(patience):
		t.Fatal("the connection is still being opened")
	}
	eventually(t, "the caller has left", func() bool { return b.events.count(EventLeft) == 1 })
}

// TestDialContextBoundsOnlyTheOpening guards against a tunnel that ends with the context of its opening.
func TestDialContextBoundsOnlyTheOpening(t *testing.T) {
	is := is.New(t)
	endpoint := serveEndpoint(t, func(conn net.Conn) { _, _ = io.Copy(conn, conn) })
	b := newBed(t, bedConfig{})
	ctx, cancel := context.WithCancel(t.Context())
	conn, err := b.client().Dial(ctx, b.address, Target{"e-1", endpoint})
	is.NoErr(err)
	defer conn.Close()
	cancel()
	_, err = conn.Write([]byte("x"))
	is.NoErr(err)
	_, err = io.ReadFull(conn, make([]byte, 1))
	is.NoErr(err)
}

// TestClosedTunnelsLeaveNothing guards against goroutines and descriptors that outlive their tunnels, closed at any moment:
// with unread bytes, while a read or write waits, after the endpoint's end.
func TestClosedTunnelsLeaveNothing(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	endpoint := serveEndpoint(t, func(conn net.Conn) {
		b := make([]byte, 1)
		if _, err := io.ReadFull(conn, b); err != nil {
			return
		}
		for i := 0; b[0] == 'f' || i < 10; i++ { // f: without end
			if _, err := conn.Write(make([]byte, 5000)); err != nil {
				return
			}
		}
		if b[0] == 'w' { // w: waits, does not read
			<-release
		}
	})
	b := newBed(t, bedConfig{})
	client := b.client()
	before, files := runtime.NumGoroutine(), openFiles(t)
	r := rand.New(rand.NewPCG(1, 2))
	var callers sync.WaitGroup
	for i := range 300 {
		mode, read := "fwe"[r.IntN(3)], r.IntN(3*windowBytes)
		callers.Go(func() {
			conn, err := client.Dial(t.Context(), b.address, Target{"e-1", endpoint})
			if err != nil {
				reason, refused := ReasonOf(err)
				is.True(refused && reason == ReasonFull)
				return
			}
			_, err = conn.Write([]byte{mode})
			is.NoErr(err)
			var waiting sync.WaitGroup
			waiting.Go(func() { _, _ = io.Copy(io.Discard, io.LimitReader(conn, int64(read))) }) // ends with the connection
			if i%3 == 0 {
				waiting.Go(func() { _, _ = conn.Write(make([]byte, 4*windowBytes)) }) // ends with the connection
			}
			time.Sleep(time.Duration(read) * 100)
			is.NoErr(conn.Close())
			waiting.Wait()
		})
		if i%50 == 49 {
			callers.Wait()
		}
	}
	eventually(t, "no tunnels", func() bool { return b.Tunnels() == 0 })
	close(release)
	eventually(t, "goroutines as before", func() bool { return runtime.NumGoroutine() <= before })
	eventually(t, "descriptors as before", func() bool { return openFiles(t) <= files })
}

// openFiles returns the number of descriptors of the process.
func openFiles(t testing.TB) int {
	t.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	is.New(t).NoErr(err)
	return len(entries)
}

// TestReadAfterClose guards against a connection that can still be read after Close, because the endpoint had ended it before.
func TestReadAfterClose(t *testing.T) {
	is := is.New(t)
	endpoint := serveEndpoint(t, func(conn net.Conn) {
		_, err := conn.Write([]byte("answer"))
		is.NoErr(err)
	})
	b := newBed(t, bedConfig{})
	conn := b.dial(t, endpoint)
	<-conn.(*Conn).link.ctx.Done()
	_, err := io.ReadFull(conn, make([]byte, 2))
	is.NoErr(err)
	is.NoErr(conn.Close())
	_, err = conn.Read(make([]byte, 1))
	is.True(errors.Is(err, net.ErrClosed))
	_, err = conn.Write(make([]byte, 1))
	is.True(errors.Is(err, net.ErrClosed))
	is.NoErr(conn.Close())
}
