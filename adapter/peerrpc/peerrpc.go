// Package peerrpc carries calls between entry hosts as JSON-RPC 2.0.
//
// Several calls share one connection to a peer. A call that needs to follow
// something, such as an answer or the log, is a long poll: it carries the
// place from which to go on, so that a broken connection loses nothing.
package peerrpc

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/cicadanotch/cicadanotch/adapter/jsonhttp"
	"github.com/cicadanotch/cicadanotch/port"
)

const dialTimeout = 2 * time.Second

// Server answers the calls of peers. Register all methods before Serve.
type Server struct {
	handlers map[string]port.PeerHandler

	mu    sync.Mutex
	conns map[*jsonrpc2.Conn]struct{}
}

// NewServer returns a server without methods.
func NewServer() *Server {
	return &Server{handlers: map[string]port.PeerHandler{}, conns: map[*jsonrpc2.Conn]struct{}{}}
}

// Handle registers the handler of a method.
func (s *Server) Handle(method string, h port.PeerHandler) { s.handlers[method] = h }

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept peer")
		}
		s.open(ctx, conn)
	}
}

func (s *Server) open(ctx context.Context, conn net.Conn) {
	c := jsonrpc2.NewConn(ctx, newStream(conn), jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.handle)))
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	go func() {
		<-c.DisconnectNotify()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	}()
}

func newStream(conn net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(conn, jsonrpc2.VSCodeObjectCodec{})
}

func (s *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	h, ok := s.handlers[req.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + req.Method}
	}
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	return h(ctx, params)
}

// Close ends all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close() // already closed is closed
	}
}

// Client calls peers, with one connection to each. Safe for concurrent use.
type Client struct {
	dial jsonhttp.DialFunc

	mu    sync.Mutex
	conns map[string]*jsonrpc2.Conn
}

var _ port.Peers = (*Client)(nil)

// NewClient returns a client that dials with dial; nil dials directly.
func NewClient(dial jsonhttp.DialFunc) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Client{dial: dial, conns: map[string]*jsonrpc2.Conn{}}
}

// Call implements port.Peers.
func (c *Client) Call(ctx context.Context, address, method string, params, result any) error {
	conn, err := c.connect(ctx, address)
	if err != nil {
		return errors.Wrap(port.ErrPeerUnreachable, err.Error())
	}
	err = conn.Call(ctx, method, params, result)
	var refused *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refused):
		return errors.Wrap(port.ErrPeerRefused, refused.Message)
	}
	c.drop(address, conn)
	return errors.Wrap(port.ErrPeerBroken, err.Error())
}

func (c *Client) connect(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	conn, ok := c.conns[address]
	c.mu.Unlock()
	if ok {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return c.keep(address, raw), nil
}

// keep books a new connection, or takes the one that came first.
func (c *Client) keep(address string, raw net.Conn) *jsonrpc2.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.conns[address]; ok {
		_ = raw.Close() // nothing was sent on it
		return known
	}
	refuse := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this side only calls"}
	})
	conn := jsonrpc2.NewConn(context.Background(), newStream(raw), refuse)
	c.conns[address] = conn
	go func() {
		<-conn.DisconnectNotify()
		c.drop(address, conn)
	}()
	return conn
}

// drop closes a connection, so that the next call opens a new one.
func (c *Client) drop(address string, conn *jsonrpc2.Conn) {
	c.mu.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	_ = conn.Close() // already closed is closed
}

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	conns := c.conns
	c.conns = map[string]*jsonrpc2.Conn{}
	c.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close() // already closed is closed
	}
}
