package tunnel

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/adapter/jsonhttp"
	"github.com/cicadanotch/cicadanotch/adapter/peerrpc"
)

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithKeys makes the client use mutual TLS, as peerrpc.WithKeys does.
func WithKeys(keys *peerrpc.Keys, hostAt func(address string) (host string, ok bool)) ClientOption {
	return func(c *Client) { c.dialer.Keys, c.dialer.HostAt = keys, hostAt }
}

// Client opens tunnels through other hosts. Safe for concurrent use.
type Client struct {
	dialer peerrpc.Dialer
	timing timing
}

// NewClient returns a client that dials with dial; nil dials directly.
func NewClient(dial jsonhttp.DialFunc, opts ...ClientOption) *Client {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	c := &Client{dialer: peerrpc.Dialer{Dial: dial}, timing: defaultTiming}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Dial opens a tunnel to a target through the tunnel port of another host, via. It returns
// when that host has connected to the target; until then nothing was sent to the target.
// ctx bounds only the opening.
//
// Errors of the connection that wrap ErrRefused state that no byte was passed on. Read
// returns io.EOF only if the target has ended the connection.
func (c *Client) Dial(ctx context.Context, via string, t Target) (net.Conn, error) {
	address, err := t.check()
	if err != nil {
		return nil, err
	}
	raw, err := c.dialer.Open(ctx, via)
	if err != nil {
		return nil, errors.Wrapf(err, "dial tunnel port %s", via)
	}
	l := newLink(context.Background(), raw, c.timing, true)
	stop := context.AfterFunc(ctx, func() { l.fail(ctx.Err()) })
	l.start()
	_ = l.writeFrame(frame(frameOpen, encodeOpen(t))) // the link ends if it fails
	select {
	case <-l.opened:
	case <-l.ctx.Done():
	}
	switch inTime := stop(); {
	case inTime && l.isOpened():
		return &Conn{link: l, remote: net.TCPAddrFromAddrPort(address)}, nil
	case !inTime:
		l.fail(ctx.Err())
	}
	return nil, errors.Wrapf(l.failure(), "tunnel through %s to %s", via, t.Address)
}

// Conn is a connection to an endpoint through another host.
type Conn struct {
	link   *link
	remote net.Addr

	// writeMu is held by a Write, scratch holds its frame.
	writeMu sync.Mutex
	scratch []byte
}

// Tunnel reports that the connection goes through another host: it is for one request.
func (c *Conn) Tunnel() bool { return true }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) { return c.link.receive(p) }

// Write implements net.Conn. It returns when the bytes were sent to the helping host.
func (c *Conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	written := 0
	for len(p) > 0 {
		n := min(len(p), maxDataBytes)
		if cap(c.scratch) < headerBytes+n {
			c.scratch = make([]byte, headerBytes+n)
		}
		b := c.scratch[:headerBytes+n]
		copy(b[headerBytes:], p[:n])
		sent, err := c.link.send(b)
		written += sent
		if err != nil {
			return written, err
		}
		p = p[n:]
	}
	return written, nil
}

// Close implements net.Conn. The helping host closes its connection to the endpoint when it
// learns of it. Unread bytes are dropped.
func (c *Conn) Close() error {
	c.link.abandon()
	return nil
}

// LocalAddr implements net.Conn: the address of the connection to the helping host.
func (c *Conn) LocalAddr() net.Addr { return c.link.raw.LocalAddr() }

// RemoteAddr implements net.Conn: the endpoint's address.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	c.link.setDeadline(&c.link.readDeadline, t)
	c.link.setDeadline(&c.link.writeDeadline, t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.link.setDeadline(&c.link.readDeadline, t)
	return nil
}

// SetWriteDeadline implements net.Conn. A write that the deadline cuts ends the tunnel.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.link.setDeadline(&c.link.writeDeadline, t)
	return nil
}
