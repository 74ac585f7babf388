package tunnel

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// path is the network between two hosts. Faults are injected into its connections.
type path struct {
	address string
	// allow bounds the bytes that go from the helping host to the caller, negative for no bound.
	allow atomic.Int64

	mu     sync.Mutex
	frozen bool
	thawed *sync.Cond
	conns  []*net.TCPConn
}

func newPath(t testing.TB, to string) *path {
	t.Helper()
	p := &path{}
	p.thawed = sync.NewCond(&p.mu)
	p.allow.Store(-1)
	l := listen(t)
	p.address = l.Addr().String()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", to)
			if err != nil {
				_ = conn.Close()
				continue
			}
			p.mu.Lock()
			p.conns = append(p.conns, conn.(*net.TCPConn), far.(*net.TCPConn))
			p.mu.Unlock()
			go p.carry(far, conn, nil)
			go p.carry(conn, far, &p.allow)
		}
	}()
	t.Cleanup(func() { p.thaw(); p.reset() })
	return p
}

// carry passes bytes on, at most allow of them if that is not negative, and then closes both ends.
func (p *path) carry(to, from net.Conn, allow *atomic.Int64) {
	defer to.Close()
	defer from.Close()
	b := make([]byte, 4<<10)
	for {
		n, err := from.Read(b)
		p.mu.Lock()
		for p.frozen {
			p.thawed.Wait()
		}
		p.mu.Unlock()
		if allow != nil && allow.Load() >= 0 {
			n = min(n, int(allow.Load()))
			allow.Add(int64(-n))
			if allow.Load() == 0 {
				err = io.EOF
			}
		}
		if _, writeErr := to.Write(b[:n]); writeErr != nil || err != nil {
			return
		}
	}
}

// freeze stops all bytes without closing a connection, as a cut or a frozen host does.
func (p *path) freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = true
}

func (p *path) thaw() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = false
	p.thawed.Broadcast()
}

// reset resets all connections.
func (p *path) reset() {
	p.each(func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() })
}

// finish closes all connections cleanly.
func (p *path) finish() {
	p.each(func(c *net.TCPConn) { _ = c.CloseWrite() })
}

func (p *path) each(f func(*net.TCPConn)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		f(c)
	}
}

// dialThrough opens a tunnel whose first connection goes along a path.
func (b *bed) dialThrough(t testing.TB, p *path, address string) net.Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	conn, err := b.client().Dial(ctx, p.address, Target{Endpoint: "e-1", Address: address})
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// readAll reads to the end or for as long as patience.
func readAll(t testing.TB, conn net.Conn) ([]byte, error) {
	t.Helper()
	is.New(t).NoErr(conn.SetReadDeadline(time.Now().Add(patience)))
	return io.ReadAll(conn)
}

// neverTicks sends no keep-alives, so that only what happens on the connections ends a tunnel.
var neverTicks = timing{aliveInterval: time.Hour, maxSilentIntervals: 1, openTimeout: patience, lingerTimeout: patience}
