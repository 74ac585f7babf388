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

// Location is the location of an IP address.
type Location struct {
	Region string
	Zone   string
}

// NetworkOptions configures delays and the link between regions.
type NetworkOptions struct {
	// ZoneDelay and RegionDelay are the one-way delays between availability zones and between
	// regions. ClientDelay is the one-way delay between a caller and any host. There is no delay
	// inside an availability zone.
	ZoneDelay   time.Duration
	RegionDelay time.Duration
	ClientDelay time.Duration
	// LinkBytesPerSecond is the rate limit of each direction between two regions; zero means no
	// limit.
	LinkBytesPerSecond float64
}

// Network adds delays, a limited link between regions and partitions to loopback connections. It
// counts the bytes that cross the link independently of the system.
type Network struct {
	opts NetworkOptions

	mu          sync.Mutex
	locations   map[string]Location
	conns       map[*netConn]bool
	partitioned map[[2]string]bool
	links       map[[2]string]*rate.Limiter

	linkBytes atomic.Int64
}

// NewNetwork returns a network in which no address has a location.
func NewNetwork(opts NetworkOptions) *Network {
	return &Network{
		opts:        opts,
		locations:   map[string]Location{},
		conns:       map[*netConn]bool{},
		partitioned: map[[2]string]bool{},
		links:       map[[2]string]*rate.Limiter{},
	}
}

// SetLocation sets the location of an IP address.
func (n *Network) SetLocation(ip string, location Location) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.locations[ip] = location
}

// LinkBytes returns the number of bytes that crossed between regions.
func (n *Network) LinkBytes() int64 { return n.linkBytes.Load() }

// SetPartitioned partitions two regions in both directions, or ends the partition. Connections open
// at the start of a partition stay stalled after its end.
func (n *Network) SetPartitioned(a, b string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[[2]string{a, b}] = partitioned
	n.partitioned[[2]string{b, a}] = partitioned
	if !partitioned {
		return
	}
	for c := range n.conns {
		if c.pair == [2]string{a, b} || c.pair == [2]string{b, a} {
			c.stalled.Store(true)
		}
	}
}

// StallConnections stalls the open connections to an address permanently; new connections work. It
// returns the number of connections stalled.
func (n *Network) StallConnections(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for c := range n.conns {
		if c.target == address && !c.stalled.Swap(true) {
			count++
		}
	}
	return count
}

// Dialer returns a dial function for a process at ip. The process of a caller has no location: its
// delay to every host is ClientDelay.
func (n *Network) Dialer(ip string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		delay, pair, partitioned := n.path(ip, address)
		if partitioned {
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

// path returns the delay from an IP address to a target, the pair of their regions, and whether
// they are partitioned.
func (n *Network) path(ip, address string) (delay time.Duration, pair [2]string, partitioned bool) {
	host, _, _ := net.SplitHostPort(address)
	n.mu.Lock()
	defer n.mu.Unlock()
	from, ok := n.locations[ip]
	to := n.locations[host]
	pair = [2]string{from.Region, to.Region}
	switch {
	case !ok:
		return n.opts.ClientDelay, pair, false
	case from.Region != to.Region:
		return n.opts.RegionDelay, pair, n.partitioned[pair]
	case from.Zone != to.Zone:
		return n.opts.ZoneDelay, pair, false
	}
	return 0, pair, false
}

func (n *Network) wrap(conn net.Conn, delay time.Duration, pair [2]string, target string) net.Conn {
	c := &netConn{Conn: conn, network: n, delay: delay, pair: pair, target: target, closed: make(chan struct{})}
	c.out = newDelayQueue(c)
	c.in = newDelayQueue(c)
	go c.pumpOut()
	go c.pumpIn()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c] = true
	return c
}

// limiter returns the rate limiter of one direction between regions, or nil if it is not limited.
func (n *Network) limiter(from, to string) *rate.Limiter {
	if from == "" || to == "" || from == to || n.opts.LinkBytesPerSecond == 0 {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	key := [2]string{from, to}
	if n.links[key] == nil {
		n.links[key] = rate.NewLimiter(rate.Limit(n.opts.LinkBytesPerSecond), linkBurstBytes)
	}
	return n.links[key]
}

const linkBurstBytes = 256 << 10

// netConn is a connection with a delay and a link limit, which can be stalled: it then stays open
// and transfers nothing.
type netConn struct {
	net.Conn
	network *Network
	delay   time.Duration
	pair    [2]string
	target  string
	stalled atomic.Bool
	closed  chan struct{}
	once    sync.Once
	out     *delayQueue
	in      *delayQueue
}

// delayQueue is a queue of segments, each of which can be read once the delay has passed.
type delayQueue struct {
	mu       sync.Mutex
	segments []segment
	err      error
	changed  chan struct{}
	deadline time.Time
	delay    time.Duration
}

type segment struct {
	due  time.Time
	data []byte
}

func newDelayQueue(c *netConn) *delayQueue {
	return &delayQueue{changed: make(chan struct{}), delay: c.delay}
}

func (q *delayQueue) wake() {
	close(q.changed)
	q.changed = make(chan struct{})
}

func (q *delayQueue) put(data []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.segments = append(q.segments, segment{time.Now().Add(q.delay), data})
	q.wake()
}

func (q *delayQueue) fail(err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.err == nil {
		q.err = err
	}
	q.wake()
}

func (q *delayQueue) setDeadline(t time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deadline = t
	q.wake()
}

// get waits until data is due and copies up to len(p) bytes of one segment.
func (q *delayQueue) get(p []byte) (int, error) {
	for {
		q.mu.Lock()
		now := time.Now()
		if !q.deadline.IsZero() && !now.Before(q.deadline) {
			q.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		}
		if len(q.segments) > 0 && !now.Before(q.segments[0].due) {
			n := copy(p, q.segments[0].data)
			q.segments[0].data = q.segments[0].data[n:]
			if len(q.segments[0].data) == 0 {
				q.segments = q.segments[1:]
			}
			q.mu.Unlock()
			return n, nil
		}
		if len(q.segments) == 0 && q.err != nil {
			q.mu.Unlock()
			return 0, q.err
		}
		wait := time.Hour
		if len(q.segments) > 0 {
			wait = q.segments[0].due.Sub(now)
		}
		if !q.deadline.IsZero() {
			wait = min(wait, q.deadline.Sub(now))
		}
		changed := q.changed
		q.mu.Unlock()
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

const pumpBufferBytes = 32 << 10

// pumpIn copies data from the socket to the queue of the reader.
func (c *netConn) pumpIn() {
	buf := make([]byte, pumpBufferBytes)
	for {
		n, err := c.Conn.Read(buf)
		if n > 0 && !c.stalled.Load() {
			c.crossLink(c.pair[1], c.pair[0], n)
			c.in.put(append([]byte(nil), buf[:n]...))
		}
		if err != nil {
			if !c.stalled.Load() {
				c.in.fail(err)
			}
			return
		}
	}
}

// pumpOut copies data from the queue of the writer to the socket.
func (c *netConn) pumpOut() {
	buf := make([]byte, pumpBufferBytes)
	for {
		n, err := c.out.get(buf)
		if err != nil {
			c.Conn.Close()
			return
		}
		if c.stalled.Load() {
			continue
		}
		c.crossLink(c.pair[0], c.pair[1], n)
		if _, err := c.Conn.Write(buf[:n]); err != nil {
			c.in.fail(err)
			return
		}
	}
}

// crossLink counts bytes sent between regions and waits for the link's rate limit.
func (c *netConn) crossLink(from, to string, n int) {
	if from == "" || to == "" || from == to {
		return
	}
	c.network.linkBytes.Add(int64(n))
	if limiter := c.network.limiter(from, to); limiter != nil {
		_ = limiter.WaitN(context.Background(), n) // cannot fail: n is at most pumpBufferBytes, below the burst
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
		c.out.fail(io.EOF) // pumpOut closes the socket after sending the queued data
		c.in.fail(net.ErrClosed)
		if c.stalled.Load() {
			c.Conn.Close()
		}
	})
	return nil
}

// SetDeadline implements net.Conn; writes never block.
func (c *netConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn.
func (c *netConn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(t)
	return nil
}

// SetWriteDeadline implements net.Conn; writes never block.
func (c *netConn) SetWriteDeadline(time.Time) error { return nil }
