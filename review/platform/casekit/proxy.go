package casekit

import (
	"io"
	"net"
	"sync"
)

// Proxy forwards connections to an address. While it is down it resets them.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	down  bool
	conns map[net.Conn]bool
}

// NewProxy starts a proxy on a free loopback port.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Address returns the proxy's ip:port.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close ends the proxy.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.SetDown(true)
}

// SetDown resets all connections, and new ones at once, until it is called with false.
func (p *Proxy) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	if down {
		for c := range p.conns {
			reset(c)
		}
	}
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(c net.Conn) {
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(c)
		return
	}
	p.mu.Lock()
	if p.down {
		reset(c)
	}
	p.conns[c], p.conns[t] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { _, _ = io.Copy(t, c); _ = t.Close() })
	both.Go(func() { _, _ = io.Copy(c, t); _ = c.Close() })
	both.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	delete(p.conns, t)
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
