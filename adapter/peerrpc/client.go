package peerrpc

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/cicadanotch/cicadanotch/adapter/jsonhttp"
	"github.com/cicadanotch/cicadanotch/port"
)

// Times of connections to peers.
const (
	dialTimeout = 2 * time.Second
	// heartbeatAfter is the silence after which a connection with calls on
	// it is asked for a sign of life, silentAfter that after which it is
	// closed.
	heartbeatAfter = time.Second
	silentAfter    = 3 * time.Second
	// maxAge is how long a connection takes new calls; it is closed when
	// the calls on it have ended.
	maxAge = 10 * time.Minute
)

// ClientOption changes a client.
type ClientOption func(*Client)

// WithKeys makes the client use mutual TLS. hostAt returns the id of the host
// that is listed at an address; a connection to an unlisted address is refused.
func WithKeys(keys *Keys, hostAt func(address string) (host string, ok bool)) ClientOption {
	return func(c *Client) { c.keys, c.hostAt = keys, hostAt }
}

// Client calls peers over one connection to each. Safe for concurrent use.
type Client struct {
	dial   jsonhttp.DialFunc
	keys   *Keys
	hostAt func(address string) (string, bool)

	mu    sync.Mutex
	conns map[string]*connection
}

var _ port.Peers = (*Client)(nil)

// connection is one connection to a peer. Its counts are under the client's
// lock.
type connection struct {
	raw    *watchedConn
	rpc    *jsonrpc2.Conn
	opened time.Time
	calls  int
	// retired connections take no new calls.
	retired bool
}

// NewClient returns a client that dials with dial; nil dials directly.
func NewClient(dial jsonhttp.DialFunc, opts ...ClientOption) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	c := &Client{dial: dial, conns: map[string]*connection{}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Call implements port.Peers. A call that ends without an answer closes its
// connection only if the connection was silent all the while: others share it.
func (c *Client) Call(ctx context.Context, address, method string, params, result any) error {
	conn, err := c.connect(ctx, address)
	if err != nil {
		return errors.Wrap(port.ErrPeerUnreachable, err.Error())
	}
	defer c.leave(conn)
	start := time.Now()
	err = conn.rpc.Call(ctx, method, params, result)
	var refused *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refused):
		return errors.Wrap(port.ErrPeerRefused, refused.Message)
	case ctx.Err() == nil, errors.Is(ctx.Err(), context.DeadlineExceeded) && !conn.raw.readSince(start):
		c.drop(address, conn)
	}
	return errors.Wrap(port.ErrPeerBroken, err.Error())
}

// connect returns a connection with one call booked on it.
func (c *Client) connect(ctx context.Context, address string) (*connection, error) {
	if conn := c.enter(address); conn != nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := c.open(ctx, address)
	if err != nil {
		return nil, err
	}
	return c.keep(address, raw), nil
}

// open dials and, with keys, proves both sides.
func (c *Client) open(ctx context.Context, address string) (net.Conn, error) {
	config, err := c.tlsConfig(address)
	if err != nil {
		return nil, err
	}
	raw, err := c.dial(ctx, "tcp", address)
	if err != nil || config == nil {
		return raw, err
	}
	secured := tls.Client(raw, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = raw.Close() // nothing was sent on it
		return nil, errors.Wrap(err, "handshake")
	}
	return secured, nil
}

// tlsConfig returns nil when the client has no keys.
func (c *Client) tlsConfig(address string) (*tls.Config, error) {
	if c.keys == nil {
		return nil, nil
	}
	host, ok := c.hostAt(address)
	if !ok {
		return nil, errors.Errorf("no host is listed at %s", address)
	}
	return c.keys.client(host), nil
}

// enter books a call on the connection to an address, if there is one.
func (c *Client) enter(address string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, ok := c.conns[address]
	if !ok {
		return nil
	}
	conn.calls++
	return conn
}

// leave ends a call; the last one closes a retired connection.
func (c *Client) leave(conn *connection) {
	c.mu.Lock()
	conn.calls--
	ended := conn.retired && conn.calls == 0
	c.mu.Unlock()
	if ended {
		_ = conn.rpc.Close() // already closed is closed
	}
}

// keep books a new connection, or takes the one that came first.
func (c *Client) keep(address string, raw net.Conn) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.conns[address]; ok {
		_ = raw.Close() // nothing was sent on it
		known.calls++
		return known
	}
	refuse := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this side only calls"}
	})
	conn := &connection{raw: &watchedConn{Conn: raw}, opened: time.Now(), calls: 1}
	conn.raw.lastRead.Store(conn.opened.UnixNano())
	conn.rpc = jsonrpc2.NewConn(context.Background(), newStream(conn.raw), refuse, quiet)
	c.conns[address] = conn
	go c.watch(address, conn)
	return conn
}

// watch closes a connection that went silent under calls and retires an old
// one; it returns when the connection has ended.
func (c *Client) watch(address string, conn *connection) {
	ticker := time.NewTicker(heartbeatAfter)
	defer ticker.Stop()
	for {
		select {
		case <-conn.rpc.DisconnectNotify():
			c.drop(address, conn)
			return
		case <-ticker.C:
		}
		now := time.Now()
		switch {
		case !c.busy(conn) || conn.raw.readSince(now.Add(-heartbeatAfter)):
		case !conn.raw.readSince(now.Add(-silentAfter)):
			c.drop(address, conn)
		default:
			go heartbeat(conn)
		}
		if now.Sub(conn.opened) > maxAge {
			c.retire(address, conn)
		}
	}
}

// heartbeat asks for a sign of life; what arrives is noted by the connection.
func heartbeat(conn *connection) {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatAfter)
	defer cancel()
	_ = conn.rpc.Call(ctx, methodHeartbeat, nil, nil) // the silence counts, not this call
}

func (c *Client) busy(conn *connection) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return conn.calls > 0
}

// retire lets the calls on a connection end; new ones open another.
func (c *Client) retire(address string, conn *connection) {
	c.mu.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	conn.retired = true
	idle := conn.calls == 0
	c.mu.Unlock()
	if idle {
		_ = conn.rpc.Close() // already closed is closed
	}
}

// drop closes a connection, so that the next call opens a new one.
func (c *Client) drop(address string, conn *connection) {
	c.mu.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	_ = conn.rpc.Close() // already closed is closed
}

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	conns := c.conns
	c.conns = map[string]*connection{}
	c.mu.Unlock()
	for _, conn := range conns {
		_ = conn.rpc.Close() // already closed is closed
	}
}
