package tunnel

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/adapter/jsonhttp"
	"github.com/cicadanotch/cicadanotch/adapter/peerrpc"
)

const (
	// defaultMaxTunnels, defaultDialTimeout and defaultIdleTimeout are used for Options
	// that are zero. A lost SYN is retransmitted after 1 s.
	defaultMaxTunnels  = 256
	defaultDialTimeout = 1300 * time.Millisecond
	defaultIdleTimeout = 10 * time.Minute
	// spareConns is used for Options without SpareConns.
	spareConns = 64
	// acceptRetryDelay is how long Serve waits when the process is out of descriptors.
	acceptRetryDelay = 50 * time.Millisecond
)

// Events that Options.Event is called with. A refusal is EventRefused with its reason, such
// as "refused-full".
const (
	EventOpened   = "opened"
	EventEnded    = "ended"
	EventLeft     = "left"
	EventBroke    = "broke"
	EventUnusable = "unusable"
	EventRefused  = "refused-"
)

// Options configures a Server. Zero values stand for defaults.
type Options struct {
	// MaxTunnels bounds the open tunnels.
	MaxTunnels int
	// SpareConns bounds the connections beyond MaxTunnels that are being opened, refused or ended.
	SpareConns int
	// DialTimeout bounds the opening of a connection to an endpoint.
	DialTimeout time.Duration
	// IdleTimeout bounds how long no byte is passed on in a tunnel.
	IdleTimeout time.Duration
	// Keys make the server accept only hosts that present a certificate signed by the
	// authority; nil for connections without TLS.
	Keys *peerrpc.Keys
	// Logger receives a line for each tunnel; nil for none.
	Logger *log.Logger
	// Event is called with the Event constants; nil for none.
	Event func(event string)
}

// Server carries the connections of other hosts to endpoints.
type Server struct {
	dial   jsonhttp.DialFunc
	gate   Gate
	opts   Options
	timing timing

	mu sync.Mutex
	// conns holds all connections, tunnels counts the open tunnels among them.
	conns   map[net.Conn]struct{}
	tunnels int
	closed  bool
	running sync.WaitGroup
}

// NewServer returns a server that opens connections to endpoints with dial, which must not
// use a tunnel itself.
func NewServer(dial jsonhttp.DialFunc, gate Gate, opts Options) *Server {
	if opts.MaxTunnels <= 0 {
		opts.MaxTunnels = defaultMaxTunnels
	}
	if opts.SpareConns <= 0 {
		opts.SpareConns = spareConns
	}
	if opts.DialTimeout <= 0 {
		opts.DialTimeout = defaultDialTimeout
	}
	if opts.IdleTimeout <= 0 {
		opts.IdleTimeout = defaultIdleTimeout
	}
	if opts.Logger == nil {
		opts.Logger = &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}
	}
	if opts.Event == nil {
		opts.Event = func(string) {}
	}
	return &Server{dial: dial, gate: gate, opts: opts, timing: defaultTiming, conns: map[net.Conn]struct{}{}}
}

// Tunnels returns the number of open tunnels.
func (s *Server) Tunnels() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tunnels
}

// Serve accepts connections until the listener is closed. The end of ctx ends the tunnels.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	for {
		conn, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.ECONNABORTED):
			s.opts.Logger.Warn().Str("event", "tunnel_accept").Err(err).Msg("")
			time.Sleep(acceptRetryDelay)
		case err != nil:
			return errors.Wrap(err, "accept tunnel")
		case s.add(conn):
			go func() {
				defer s.remove(conn)
				s.serve(ctx, conn)
			}()
		default:
			s.unusable(conn, errors.Errorf("more than %d connections", s.opts.MaxTunnels+s.opts.SpareConns))
			_ = conn.Close() // nothing was received on it
		}
	}
}

// add counts a connection. It returns false if there are too many or after Close.
func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= s.opts.MaxTunnels+s.opts.SpareConns {
		return false
	}
	s.conns[conn] = struct{}{}
	s.running.Add(1)
	return true
}

// remove closes a connection and ends its counting.
func (s *Server) remove(conn net.Conn) {
	_ = conn.Close() // closed already, except after a failed opening
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	s.running.Done()
}

// Close ends all tunnels and waits until their connections are closed. Connections accepted
// later are closed at once.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close() // may be closed already
	}
	s.mu.Unlock()
	s.running.Wait()
}

// serve opens and carries one tunnel.
func (s *Server) serve(ctx context.Context, conn net.Conn) {
	raw := conn
	if s.opts.Keys != nil {
		tlsConn, err := s.opts.Keys.Accept(ctx, conn)
		if err != nil {
			s.unusable(conn, err)
			return
		}
		raw = tlsConn
	}
	l := newLink(ctx, raw, s.timing, false)
	l.maxIdle = s.opts.IdleTimeout
	target, err := l.readOpen()
	if err != nil {
		s.unusable(conn, err)
		l.fail(err)
		return
	}
	l.start()
	t := &passage{server: s, link: l, target: target, start: time.Now()}
	t.run()
}

// readOpen reads the first frame of a caller.
func (l *link) readOpen() (Target, error) {
	if err := l.raw.SetReadDeadline(time.Now().Add(l.timing.openTimeout)); err != nil {
		return Target{}, errors.Wrap(err, "read first frame")
	}
	t, length, err := readHeader(l.reader)
	if err != nil {
		return Target{}, errors.Wrap(err, "read first frame")
	}
	if t != frameOpen {
		return Target{}, errors.Wrapf(ErrInvalidFrame, "first frame of type %d, expected %d", t, frameOpen)
	}
	payload, err := readPayload(l.reader, length)
	if err != nil {
		return Target{}, errors.Wrap(err, "read first frame")
	}
	target, err := decodeOpen(payload)
	if err != nil {
		return Target{}, err
	}
	return target, errors.Wrap(l.raw.SetReadDeadline(time.Time{}), "read first frame")
}

// unusable reports a connection that was closed because it carried no request to open a
// tunnel.
func (s *Server) unusable(conn net.Conn, err error) {
	s.opts.Event(EventUnusable)
	s.opts.Logger.Warn().Str("event", "tunnel_unusable").Str("from", conn.RemoteAddr().String()).Err(err).Msg("")
}

// reserve counts a tunnel as open. It returns ReasonFull if there are too many.
func (s *Server) reserve() Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tunnels >= s.opts.MaxTunnels {
		return ReasonFull
	}
	s.tunnels++
	return ""
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tunnels--
}

// ask asks the Gate. A reason that cannot be stated becomes ReasonRefused.
func (s *Server) ask(t Target) Reason {
	reason := s.gate(t)
	if _, err := checkReason([]byte(reason)); reason != "" && err != nil {
		return ReasonRefused
	}
	return reason
}

// connect opens the connection to a target, or returns why not.
func (s *Server) connect(ctx context.Context, t Target) (net.Conn, Reason, error) {
	if _, err := t.check(); err != nil {
		return nil, ReasonInvalid, err
	}
	if reason := s.ask(t); reason != "" {
		return nil, reason, nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.DialTimeout)
	defer cancel()
	conn, err := s.dial(ctx, "tcp", t.Address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, ReasonNotListening, err
	case err != nil:
		return nil, ReasonUnreachable, err
	}
	return conn, "", nil
}
