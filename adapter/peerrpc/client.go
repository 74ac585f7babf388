package peerrpc

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/cicadanotch/cicadanotch/adapter/jsonhttp"
	"github.com/cicadanotch/cicadanotch/port"
)

// Timing of connections to peers.
const (
	dialTimeout = 2 * time.Second
	// A connection with calls in progress on which nothing has arrived for
	// heartbeatInterval is sent a heartbeat. It is closed when nothing has
	// arrived for unresponsiveTimeout.
	heartbeatInterval   = time.Second
	unresponsiveTimeout = 3 * time.Second
	// maxConnAge is how long a connection accepts new calls. After that it is
	// closed once the calls in progress on it have ended.
	maxConnAge = 10 * time.Minute
)

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithKeys makes the client use mutual TLS. hostAt returns the id of the host
// that is listed at an address; the client does not connect to an unlisted address.
func WithKeys(keys *Keys, hostAt func(address string) (host string, ok bool)) ClientOption {
	return func(c *Client) { c.dialer.Keys, c.dialer.HostAt = keys, hostAt }
}

// Client calls peers over one shared connection to each. Safe for concurrent use.
type Client struct {
	dialer Dialer

	mu    sync.Mutex
	conns map[string]*connection
}

var _ port.Peers = (*Client)(nil)

// connection is one connection to a peer. Client.mu guards calls and retired.
type connection struct {
	raw    *trackedConn
	rpc    *jsonrpc2.Conn
	opened time.Time
	// calls counts the calls in progress.
	calls int
	// retired is set when the connection accepts no new calls.
	retired bool
}

// NewClient returns a client that dials with dial; nil dials directly.
func NewClient(dial jsonhttp.DialFunc, opts ...ClientOption) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	c := &Client{dialer: Dialer{Dial: dial}, conns: map[string]*connection{}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Call implements port.Peers. A call that times out closes its connection only if
// nothing arrived on it during the call, because other calls share it.
func (c *Client) Call(ctx context.Context, address, method string, params, result any) error {
	conn, err := c.connect(ctx, address)
	if err != nil {
		return errors.Wrap(port.ErrPeerUnreachable, err.Error())
	}
	defer c.release(conn)
	start := time.Now()
	timedOutSilent := func() bool { return errors.Is(ctx.Err(), context.DeadlineExceeded) && !conn.raw.readSince(start) }
	// Without this a call would wait beyond ctx while its request cannot be written.
	stop := context.AfterFunc(ctx, func() {
		if timedOutSilent() {
			c.remove(address, conn)
		}
	})
	defer stop()
	err = conn.rpc.Call(ctx, method, params, result)
	var refused *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refused):
		return errors.Wrap(port.ErrPeerRefused, refused.Message)
	case ctx.Err() == nil, timedOutSilent():
		c.remove(address, conn)
	}
	return errors.Wrap(port.ErrPeerBroken, err.Error())
}

// connect returns a connection and counts one call in progress on it.
func (c *Client) connect(ctx context.Context, address string) (*connection, error) {
	if conn := c.acquire(address); conn != nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := c.dialer.Open(ctx, address)
	if err != nil {
		return nil, err
	}
	return c.add(address, raw), nil
}

// acquire returns the connection to an address and counts one call in progress on
// it; nil when there is no connection.
func (c *Client) acquire(address string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, ok := c.conns[address]
	if !ok {
		return nil
	}
	conn.calls++
	return conn
}

// release ends a call on a connection. The last one closes a retired connection.
func (c *Client) release(conn *connection) {
	c.mu.Lock()
	conn.calls--
	unused := conn.retired && conn.calls == 0
	c.mu.Unlock()
	if unused {
		_ = conn.rpc.Close() // may be closed already
	}
}

// add registers a new connection and counts one call in progress on it. If another
// call has registered one meanwhile, that one is returned and raw is closed.
func (c *Client) add(address string, raw net.Conn) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	if existing, ok := c.conns[address]; ok {
		_ = raw.Close() // no call was sent on it
		existing.calls++
		return existing
	}
	refuse := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this side only calls"}
	})
	conn := &connection{raw: &trackedConn{Conn: raw}, opened: time.Now(), calls: 1}
	conn.raw.lastRead.Store(conn.opened.UnixNano())
	conn.rpc = jsonrpc2.NewConn(context.Background(), newStream(conn.raw), refuse, discardLog)
	c.conns[address] = conn
	go c.watch(address, conn)
	return conn
}

// watch closes a connection that is unresponsive while calls are in progress, and
// retires it at maxConnAge. It returns when the connection has ended.
func (c *Client) watch(address string, conn *connection) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-conn.rpc.DisconnectNotify():
			c.remove(address, conn)
			return
		case <-ticker.C:
		}
		now := time.Now()
		switch {
		case !c.hasCalls(conn) || conn.raw.readSince(now.Add(-heartbeatInterval)):
		case !conn.raw.readSince(now.Add(-unresponsiveTimeout)):
			c.remove(address, conn)
		default:
			go heartbeat(conn)
		}
		if now.Sub(conn.opened) > maxConnAge {
			c.retire(address, conn)
		}
	}
}

// heartbeat makes a responsive peer send a reply. trackedConn records its arrival.
func heartbeat(conn *connection) {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatInterval)
	defer cancel()
	_ = conn.rpc.Call(ctx, methodHeartbeat, nil, nil) // watch checks the time of the last read, not this result
}

func (c *Client) hasCalls(conn *connection) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return conn.calls > 0
}

// retire makes new calls open another connection. The calls in progress on this one
// continue.
func (c *Client) retire(address string, conn *connection) {
	c.mu.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	conn.retired = true
	unused := conn.calls == 0
	c.mu.Unlock()
	if unused {
		_ = conn.rpc.Close() // may be closed already
	}
}

// remove closes a connection and removes it, so that the next call opens a new one.
func (c *Client) remove(address string, conn *connection) {
	c.mu.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	_ = conn.rpc.Close() // may be closed already
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	conns := c.conns
	c.conns = map[string]*connection{}
	c.mu.Unlock()
	for _, conn := range conns {
		_ = conn.rpc.Close() // may be closed already
	}
}
