package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy passes the bytes of connections on to one address, with faults.
type proxy struct {
	listener net.Listener
	target   string
	// delay is added to each piece of bytes, in nanoseconds; silent connections
	// pass nothing on, up or down only where one way is cut.
	delay      atomic.Int64
	silentUp   atomic.Bool
	silentDown atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close() // nothing listens there
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[t] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pass(t, c, &p.silentUp) })
	both.Go(func() { p.pass(c, t, &p.silentDown) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, t)
	p.mu.Unlock()
	_, _ = c.Close(), t.Close()
}

// pass copies one way until an end closes or resets.
func (p *proxy) pass(to, from net.Conn, silent *atomic.Bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		time.Sleep(time.Duration(p.delay.Load()))
		if n > 0 && !silent.Load() {
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err == io.EOF {
			if t, ok := to.(*net.TCPConn); ok && !silent.Load() {
				_ = t.CloseWrite()
			}
			return
		}
		if err != nil {
			break
		}
	}
	reset(to)
	reset(from)
}

// reset ends a connection so that its other end sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// resetAll resets all connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// heal ends all faults. Connections that were silent have lost bytes: they are
// reset, as their ends would do in the end.
func (p *proxy) heal() {
	p.delay.Store(0)
	if p.silentUp.Swap(false) || p.silentDown.Load() {
		p.silentDown.Store(false)
		p.resetAll()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetAll()
}
