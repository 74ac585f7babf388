package tunnel

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// countedConn counts the bytes read from an endpoint.
type countedConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// TestEndlessAnswerFillsMemory guards against a helping host, or a caller, that stores what nobody reads: an endpoint that
// sends without end is read no further than the window and one frame. The tunnel stays alive meanwhile, and what is read
// afterwards is in order.
func TestEndlessAnswerFillsMemory(t *testing.T) {
	is := is.New(t)
	block := make([]byte, 256)
	for i := range block {
		block[i] = byte(i)
	}
	endpoint := serveEndpoint(t, func(conn net.Conn) {
		for {
			if _, err := conn.Write(block); err != nil {
				return
			}
		}
	})
	var read atomic.Int64
	b := newBed(t, bedConfig{timing: fastTiming, dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := direct(ctx, network, address)
		return countedConn{conn, &read}, err
	}})
	conn := b.dial(t, endpoint).(*Conn)
	time.Sleep(3 * time.Duration(fastTiming.maxSilentIntervals) * fastTiming.aliveInterval)
	most := int64(windowBytes + maxDataBytes)
	is.True(read.Load() >= windowBytes)
	is.True(read.Load() <= most)
	conn.link.mu.Lock()
	stored := cap(conn.link.inbound)
	conn.link.mu.Unlock()
	is.True(stored <= 2*windowBytes)

	got := make([]byte, 100*windowBytes)
	_, err := io.ReadFull(conn, got)
	is.NoErr(err)
	is.True(bytes.Equal(got, bytes.Repeat(block, len(got)/len(block))))
	is.True(read.Load() <= int64(len(got))+most)
}

// TestFullHostRefusesAtOnce guards against tunnels that wait for a place, or that take places beyond the bound.
func TestFullHostRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	var dials atomic.Int64
	endpoint := serveEndpoint(t, func(conn net.Conn) { _, _ = io.Copy(conn, conn) })
	b := newBed(t, bedConfig{opts: Options{MaxTunnels: 3}, timing: neverTicks, dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		dials.Add(1)
		return direct(ctx, network, address)
	}})
	conns := []net.Conn{b.dial(t, endpoint), b.dial(t, endpoint), b.dial(t, endpoint)}
	for range 5 {
		_, err := b.client().Dial(t.Context(), b.address, Target{"e-1", endpoint})
		is.True(errors.Is(err, ErrRefused))
		reason, ok := ReasonOf(err)
		is.True(ok)
		is.Equal(reason, ReasonFull)
	}
	is.Equal(dials.Load(), int64(3))
	is.Equal(b.Tunnels(), 3)
	is.NoErr(conns[1].Close())
	eventually(t, "a place is free", func() bool { return b.Tunnels() == 2 })
	echo(t, b.dial(t, endpoint))
	is.Equal(b.events.count(EventRefused+string(ReasonFull)), 5)
}

// echo checks that a connection carries bytes.
func echo(t testing.TB, conn net.Conn) {
	t.Helper()
	is := is.New(t)
	_, err := conn.Write([]byte("echo"))
	is.NoErr(err)
	got := make([]byte, 4)
	_, err = io.ReadFull(conn, got)
	is.NoErr(err)
	is.Equal(string(got), "echo")
}

// TestEventWaitsForTheNext guards against an event that is passed on only with what follows it: each event is sent after
// the one before it was received at the other end.
func TestEventWaitsForTheNext(t *testing.T) {
	is := is.New(t)
	next := make(chan int)
	endpoint := serveEndpoint(t, func(conn net.Conn) {
		for n := range next {
			if _, err := conn.Write(make([]byte, n)); err != nil {
				return
			}
		}
	})
	endpointConn := make(chan net.Conn, 1)
	b := newBed(t, bedConfig{timing: neverTicks, dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := direct(ctx, network, address)
		endpointConn <- conn
		return conn, err
	}})
	conn := b.dial(t, endpoint)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(patience)))
	for i := range 500 {
		n := 1 + i%300
		next <- n
		_, err := io.ReadFull(conn, make([]byte, n))
		is.NoErr(err)
	}
	is.True(noDelay(t, <-endpointConn))
	is.True(noDelay(t, conn.(*Conn).link.raw))
	close(next)
}

// noDelay reports whether a connection sends small writes at once.
func noDelay(t testing.TB, conn net.Conn) bool {
	t.Helper()
	is := is.New(t)
	raw, err := conn.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	value := 0
	err = raw.Control(func(fd uintptr) {
		value, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
		is.NoErr(err)
	})
	is.NoErr(err)
	return value != 0
}

// TestManyTunnelsMixBytes guards against bytes that are lost, repeated or exchanged between tunnels that run beside one
// another, with writes and reads of all sizes in both directions at once.
func TestManyTunnelsMixBytes(t *testing.T) {
	is := is.New(t)
	endpoint := serveEndpoint(t, func(conn net.Conn) { _, _ = io.Copy(conn, conn) })
	b := newBed(t, bedConfig{})
	var tunnels sync.WaitGroup
	for seed := range uint64(24) {
		conn := b.dial(t, endpoint)
		tunnels.Go(func() {
			r := rand.New(rand.NewPCG(seed, 7))
			sent := make([]byte, 200_000+r.IntN(200_000))
			for i := range sent {
				sent[i] = byte(r.Uint32())
			}
			go func() {
				w := rand.New(rand.NewPCG(seed, 8))
				for rest := sent; len(rest) > 0; {
					n := min(len(rest), 1+w.IntN(1+w.IntN(2*windowBytes)))
					written, err := conn.Write(rest[:n])
					is.NoErr(err)
					is.Equal(written, n)
					rest = rest[n:]
				}
			}()
			got := make([]byte, 0, len(sent))
			for len(got) < len(sent) {
				n, err := conn.Read(got[len(got):min(cap(got), len(got)+1+r.IntN(40_000))])
				is.NoErr(err)
				got = got[:len(got)+n]
			}
			is.Equal(sha256.Sum256(got), sha256.Sum256(sent))
		})
	}
	tunnels.Wait()
}

// TestDeadlines: a deadline ends a read or write that waits, and one that is set anew lets the next ones go on.
func TestDeadlines(t *testing.T) {
	is := is.New(t)
	endpoint := serveEndpoint(t, func(conn net.Conn) { _, _ = io.Copy(conn, conn) })
	b := newBed(t, bedConfig{})
	conn := b.dial(t, endpoint)
	one := make([]byte, 1)

	is.NoErr(conn.SetReadDeadline(time.Now().Add(-time.Second))) // in the past
	_, err := conn.Read(one)
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
	var timeout net.Error
	is.True(errors.As(err, &timeout) && timeout.Timeout())

	is.NoErr(conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))) // while a read waits
	_, err = conn.Read(one)
	is.True(errors.Is(err, os.ErrDeadlineExceeded))

	is.NoErr(conn.SetDeadline(time.Time{})) // set by another goroutine while a read waits
	time.AfterFunc(20*time.Millisecond, func() { _ = conn.SetReadDeadline(time.Now()) })
	_, err = conn.Read(one)
	is.True(errors.Is(err, os.ErrDeadlineExceeded))

	is.NoErr(conn.SetReadDeadline(time.Now().Add(time.Millisecond))) // replaced before it passes
	is.NoErr(conn.SetReadDeadline(time.Now().Add(patience)))
	echo(t, conn)

	is.NoErr(conn.SetDeadline(time.Now().Add(-time.Second)))
	_, err = conn.Write(one)
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
	is.NoErr(conn.SetDeadline(time.Time{}))
	echo(t, conn)
}

// TestDeadlineOfStuckWrite: a write deadline ends a write also while the connection to the helping host takes no bytes. The
// frame is then incomplete, so the tunnel is broken.
func TestDeadlineOfStuckWrite(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer far.Close()
	l := newLink(t.Context(), near, neverTicks, true)
	close(l.opened)
	l.start()
	conn := &Conn{link: l}
	defer time.AfterFunc(patience, func() { _ = far.Close() }).Stop() // ends a write that the deadline does not
	wrote := make(chan error, 1)
	go func() {
		_, err := conn.Write([]byte("x"))
		wrote <- err
	}()
	eventually(t, "the write has begun", func() bool { l.mu.Lock(); defer l.mu.Unlock(); return l.writing })
	is.NoErr(conn.SetWriteDeadline(time.Now().Add(20 * time.Millisecond)))
	is.True(<-wrote != nil)
	<-l.ctx.Done()
	_, err := conn.Read(make([]byte, 1))
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
}
