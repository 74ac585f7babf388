package standin

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Place is where an IP address stands.
type Place struct {
	Region string
	Zone   string
}

// NetworkOptions sets distances and the link between regions.
type NetworkOptions struct {
	// ZoneDelay and RegionDelay are one way; ClientDelay is between a caller
	// and any host. Inside a zone there is no delay.
	ZoneDelay   time.Duration
	RegionDelay time.Duration
	ClientDelay time.Duration
	// LinkBytesPerSecond limits each direction between regions; zero means
	// no limit.
	LinkBytesPerSecond float64
}

// Network adds distances, the regions' link and cuts to loopback connections.
// It is the stand-ins' own account of bytes across the link.
type Network struct {
	opts NetworkOptions

	mu     sync.Mutex
	places map[string]Place
	conns  map[*netConn]bool
	cut    map[[2]string]bool
	links  map[[2]string]*rate.Limiter

	linkBytes atomic.Int64
}

// NewNetwork returns a network without places.
func NewNetwork(opts NetworkOptions) *Network {
	return &Network{
		opts:   opts,
		places: map[string]Place{},
		conns:  map[*netConn]bool{},
		cut:    map[[2]string]bool{},
		links:  map[[2]string]*rate.Limiter{},
	}
}

// SetPlace tells where an IP address stands.
func (n *Network) SetPlace(ip string, p Place) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.places[ip] = p
}

// LinkBytes returns the bytes that crossed between regions.
func (n *Network) LinkBytes() int64 { return n.linkBytes.Load() }

// Cut parts two regions in both directions, or joins them again.
func (n *Network) Cut(a, b string, parted bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}] = parted
	n.cut[[2]string{b, a}] = parted
	if !parted {
		return
	}
	for c := range n.conns {
		if c.pair == [2]string{a, b} || c.pair == [2]string{b, a} {
			c.silent.Store(true)
		}
	}
}

// Silence makes the open connections to an address silent for good; new ones
// work. It returns how many there were.
func (n *Network) Silence(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for c := range n.conns {
		if c.target == address && !c.silent.Swap(true) {
			count++
		}
	}
	return count
}

// Dialer returns a dial function for a process at ip. A caller's process has
// no place: it stands at ClientDelay from all.
func (n *Network) Dialer(ip string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		delay, pair, parted := n.path(ip, address)
		if parted {
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
		}
		if !sleep(ctx, delay) {
			return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
		}
		dialer := net.Dialer{Timeout: 2 * time.Second}
		if ip != "" {
			dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(ip)}
		}
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return n.wrap(conn, delay, pair, address), nil
	}
}

func (n *Network) path(ip, address string) (delay time.Duration, pair [2]string, parted bool) {
	host, _, _ := net.SplitHostPort(address)
	n.mu.Lock()
	defer n.mu.Unlock()
	from, ok := n.places[ip]
	to := n.places[host]
	pair = [2]string{from.Region, to.Region}
	switch {
	case !ok:
		return n.opts.ClientDelay, pair, false
	case from.Region != to.Region:
		return n.opts.RegionDelay, pair, n.cut[pair]
	case from.Zone != to.Zone:
		return n.opts.ZoneDelay, pair, false
	}
	return 0, pair, false
}

func (n *Network) wrap(conn net.Conn, delay time.Duration, pair [2]string, target string) net.Conn {
	c := &netConn{Conn: conn, network: n, delay: delay, pair: pair, target: target, closed: make(chan struct{})}
	c.out = newDelayLine(c)
	c.in = newDelayLine(c)
	go c.pumpOut()
	go c.pumpIn()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c] = true
	return c
}

// limiter returns the limiter of one direction between regions, or nil.
func (n *Network) limiter(from, to string) *rate.Limiter {
	if from == "" || to == "" || from == to || n.opts.LinkBytesPerSecond == 0 {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	key := [2]string{from, to}
	if n.links[key] == nil {
		n.links[key] = rate.NewLimiter(rate.Limit(n.opts.LinkBytesPerSecond), linkBurst)
	}
	return n.links[key]
}

const linkBurst = 256 << 10

// netConn is a connection with delay, link limit and silence.
type netConn struct {
	net.Conn
	network *Network
	delay   time.Duration
	pair    [2]string
	target  string
	silent  atomic.Bool
	closed  chan struct{}
	once    sync.Once
	out     *delayLine
	in      *delayLine
}

// delayLine is a queue of pieces that become due after the delay.
type delayLine struct {
	mu       sync.Mutex
	pieces   []piece
	err      error
	changed  chan struct{}
	deadline time.Time
	delay    time.Duration
}

type piece struct {
	due  time.Time
	data []byte
}

func newDelayLine(c *netConn) *delayLine {
	return &delayLine{changed: make(chan struct{}), delay: c.delay}
}

func (l *delayLine) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *delayLine) put(data []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pieces = append(l.pieces, piece{time.Now().Add(l.delay), data})
	l.wake()
}

func (l *delayLine) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err == nil {
		l.err = err
	}
	l.wake()
}

func (l *delayLine) setDeadline(t time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deadline = t
	l.wake()
}

// get waits for data that is due and copies up to len(p) bytes of it.
func (l *delayLine) get(p []byte) (int, error) {
	for {
		l.mu.Lock()
		now := time.Now()
		if !l.deadline.IsZero() && !now.Before(l.deadline) {
			l.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		}
		if len(l.pieces) > 0 && !now.Before(l.pieces[0].due) {
			n := copy(p, l.pieces[0].data)
			l.pieces[0].data = l.pieces[0].data[n:]
			if len(l.pieces[0].data) == 0 {
				l.pieces = l.pieces[1:]
			}
			l.mu.Unlock()
			return n, nil
		}
		if len(l.pieces) == 0 && l.err != nil {
			l.mu.Unlock()
			return 0, l.err
		}
		wait := time.Hour
		if len(l.pieces) > 0 {
			wait = l.pieces[0].due.Sub(now)
		}
		if !l.deadline.IsZero() {
			wait = min(wait, l.deadline.Sub(now))
		}
		changed := l.changed
		l.mu.Unlock()
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

const pumpBuffer = 32 << 10

// pumpIn moves bytes from the socket to the reader's line.
func (c *netConn) pumpIn() {
	buf := make([]byte, pumpBuffer)
	for {
		n, err := c.Conn.Read(buf)
		if n > 0 && !c.silent.Load() {
			c.cross(c.pair[1], c.pair[0], n)
			c.in.put(append([]byte(nil), buf[:n]...))
		}
		if err != nil {
			if !c.silent.Load() {
				c.in.fail(err)
			}
			return
		}
	}
}

// pumpOut moves bytes from the writer's line to the socket.
func (c *netConn) pumpOut() {
	buf := make([]byte, pumpBuffer)
	for {
		n, err := c.out.get(buf)
		if err != nil {
			c.Conn.Close()
			return
		}
		if c.silent.Load() {
			continue
		}
		c.cross(c.pair[0], c.pair[1], n)
		if _, err := c.Conn.Write(buf[:n]); err != nil {
			c.in.fail(err)
			return
		}
	}
}

// cross books bytes between regions and waits for the link.
func (c *netConn) cross(from, to string, n int) {
	if from == "" || to == "" || from == to {
		return
	}
	c.network.linkBytes.Add(int64(n))
	if limiter := c.network.limiter(from, to); limiter != nil {
		_ = limiter.WaitN(context.Background(), n) // n is below the burst
	}
}

// Read implements net.Conn.
func (c *netConn) Read(p []byte) (int, error) { return c.in.get(p) }

// Write implements net.Conn.
func (c *netConn) Write(p []byte) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	c.out.put(append([]byte(nil), p...))
	return len(p), nil
}

// Close implements net.Conn.
func (c *netConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
		c.out.fail(io.EOF) // closes the socket once what was written is out
		c.in.fail(net.ErrClosed)
		if c.silent.Load() {
			c.Conn.Close()
		}
	})
	return nil
}

// SetDeadline implements net.Conn; writes never wait.
func (c *netConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn.
func (c *netConn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(t)
	return nil
}

// SetWriteDeadline implements net.Conn; writes never wait.
func (c *netConn) SetWriteDeadline(time.Time) error { return nil }
