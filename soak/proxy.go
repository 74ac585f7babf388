package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy forwards TCP connections to one address and injects faults into them.
type proxy struct {
	listener net.Listener
	target   string
	// delay is the time between a read and the forwarding of its bytes, in nanoseconds.
	// dropUp and dropDown discard the bytes to the target and from it; the connections
	// stay open.
	delay    atomic.Int64
	dropUp   atomic.Bool
	dropDown atomic.Bool

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
			return // the listener is closed
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close() // the target does not listen
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[t] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.forward(t, c, &p.dropUp) })
	both.Go(func() { p.forward(c, t, &p.dropDown) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, t)
	p.mu.Unlock()
	_, _ = c.Close(), t.Close()
}

// forward copies one direction until either end closes or resets its connection.
func (p *proxy) forward(to, from net.Conn, drop *atomic.Bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		time.Sleep(time.Duration(p.delay.Load()))
		if n > 0 && !drop.Load() {
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err == io.EOF {
			if t, ok := to.(*net.TCPConn); ok && !drop.Load() {
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

// reset closes a connection so that its peer sees a TCP reset.
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

// clearFaults ends all faults. If bytes could be dropped, it resets all connections: their
// streams are incomplete, so that their ends would reset them eventually.
func (p *proxy) clearFaults() {
	p.delay.Store(0)
	if p.dropUp.Swap(false) || p.dropDown.Load() {
		p.dropDown.Store(false)
		p.resetAll()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetAll()
}
