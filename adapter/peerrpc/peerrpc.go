// Package peerrpc carries calls between entry hosts as JSON-RPC 2.0.
//
// Several calls share one connection to a peer. A call that follows a sequence,
// such as an answer or the log, is a long poll: it carries the position from which
// to continue, so that a broken connection loses nothing.
package peerrpc

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/cicadanotch/cicadanotch/port"
)

// methodHeartbeat is answered by every server.
const methodHeartbeat = "peer.heartbeat"

const (
	// replyTimeout bounds one write of a reply.
	replyTimeout = 10 * time.Second
	// maxCalls bounds the calls in progress on one connection. A peer has a long poll for each topic, and some calls for
	// each request that it forwards.
	maxCalls = 1024
	// acceptRetryDelay is how long Serve waits when the process is out of descriptors.
	acceptRetryDelay = 50 * time.Millisecond
)

// discardLog keeps package jsonrpc2 from writing to the standard logger: errors are
// returned to the calling code, and the end of a connection is not worth a log line.
var discardLog = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// Server answers the calls of peers. Register all methods before Serve.
type Server struct {
	handlers map[string]port.PeerHandler
	keys     *Keys

	mu    sync.Mutex
	conns map[*jsonrpc2.Conn]struct{}
	// closed is set by Close; connections accepted later are closed at once.
	closed bool
	admit  Admit
}

// Admit returns an accepted connection, or one in its place, to be served; nil if there is no room for it.
type Admit func(conn net.Conn) net.Conn

// MessageConn is a connection that accounts for what was read of a message.
type MessageConn interface {
	net.Conn
	// EndMessage states that a whole message was read.
	EndMessage()
}

// NewServer returns a server without methods.
func NewServer() *Server {
	return &Server{handlers: map[string]port.PeerHandler{}, conns: map[*jsonrpc2.Conn]struct{}{}}
}

// UseKeys makes the server accept only peers that present a certificate signed by
// the authority. Call it before Serve.
func (s *Server) UseKeys(keys *Keys) { s.keys = keys }

// UseAdmit sets which connections are served; without it all are. Call it before Serve.
func (s *Server) UseAdmit(admit Admit) { s.admit = admit }

// Handle registers the handler of a method.
func (s *Server) Handle(method string, h port.PeerHandler) { s.handlers[method] = h }

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	for {
		conn, err := l.Accept()
		switch {
		case err == nil:
			s.accept(ctx, conn)
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.ECONNABORTED):
			time.Sleep(acceptRetryDelay) // the process is out of descriptors, or the peer has left
		default:
			return errors.Wrap(err, "accept peer")
		}
	}
}

func (s *Server) accept(ctx context.Context, conn net.Conn) {
	if s.admit != nil {
		admitted := s.admit(conn)
		if admitted == nil {
			_ = conn.Close() // nothing was read
			return
		}
		conn = admitted
	}
	if s.keys == nil {
		s.serve(ctx, conn, conn)
		return
	}
	go s.serveTLS(ctx, conn)
}

// serveTLS performs the TLS handshake and then serves the peer under the names in
// its certificate.
func (s *Server) serveTLS(ctx context.Context, conn net.Conn) {
	tlsConn, err := s.keys.Accept(ctx, conn)
	if err != nil {
		return // no call was received on it
	}
	s.serve(port.WithPeerNames(ctx, tlsConn.ConnectionState().PeerCertificates[0].DNSNames), tlsConn, conn)
}

// serve serves the calls on a connection. raw is the accepted connection below it.
func (s *Server) serve(ctx context.Context, conn, raw net.Conn) {
	stream := codec{maxBytes: MaxMessageBytes}
	if m, ok := raw.(MessageConn); ok {
		stream.ended = m.EndMessage
	}
	handler := newCallLimiter(jsonrpc2.HandlerWithError(s.handle))
	c := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(boundedConn{conn}, stream), handler, discardLog)
	s.mu.Lock()
	closed := s.closed
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	if closed {
		_ = c.Close() // Close was called meanwhile
	}
	go func() {
		<-c.DisconnectNotify()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	}()
}

func (s *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	if req.Method == methodHeartbeat {
		return true, nil
	}
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

// callLimiter runs calls beside one another, and holds up the reading of further ones while there are maxCalls.
type callLimiter struct {
	handler jsonrpc2.Handler
	slots   chan struct{}
}

func newCallLimiter(h jsonrpc2.Handler) callLimiter {
	return callLimiter{h, make(chan struct{}, maxCalls)}
}

// Handle implements jsonrpc2.Handler.
func (l callLimiter) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	select {
	case l.slots <- struct{}{}:
	case <-conn.DisconnectNotify():
		return
	}
	go func() {
		defer func() { <-l.slots }()
		l.handler.Handle(ctx, conn, req)
	}()
}

// Close closes all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close() // may be closed already
	}
}
