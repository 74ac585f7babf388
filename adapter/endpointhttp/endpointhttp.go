// Package endpointhttp sends requests to endpoints over HTTP/1.1. It pools the
// connections itself, because the code that forwards requests needs what
// http.Transport does not expose: whether a byte was sent, whether a response belongs
// to the request just sent, and whether bytes follow a response.
//
// Invariant: a connection carries one request at a time. It is reused only after a
// response that was complete, that belonged to the request, and that was not followed
// by further bytes. The checks see only bytes that have arrived, so a late response to
// an earlier request may still come after them. It is recognized by its request id
// and skipped. A request that is sent again bears the same id, so it is not sent on a
// connection that has carried it before. A response that states that the request did not
// run must bear its id, also on a new connection: callers repeat what did not run.
package endpointhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/adapter/jsonhttp"
	"github.com/cicadanotch/cicadanotch/port"
)

// Codec translates between the types of package port and the headers on the wire.
type Codec interface {
	// WriteHead writes the request line and headers of a request, including the
	// length of the body and the terminating empty line.
	WriteHead(w *bufio.Writer, f *port.Forward) error
	// ReadHead decodes the head of a response. echoed is the request id in the
	// response, empty if there is none. reply.Body is not set.
	ReadHead(status int, h http.Header, length int64) (reply *port.Reply, echoed string)
}

const (
	// dialTimeout bounds the opening of a connection. A round trip between
	// regions takes 60 ms, and a lost SYN is retransmitted after 1 s.
	dialTimeout = 1300 * time.Millisecond
	// unstatedIdleTime is how long an idle connection is pooled if the endpoint does not
	// state its idle timeout. Endpoints close idle connections after a while, and a
	// request sent at that moment is lost.
	unstatedIdleTime = 4 * time.Second
	// maxIdleTime bounds how long an idle connection is pooled whatever the endpoint
	// states: the longer it is idle, the likelier has it ended without notice.
	maxIdleTime = 12 * time.Second
	// keepAliveMargin is subtracted from the idle timeout that an endpoint
	// states, so that the pool closes the connection first.
	keepAliveMargin = 500 * time.Millisecond
	// The read buffer holds an event of a stream, the write buffer the head of a
	// request.
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
	// maxHeadBytes bounds the head of a response with the interim responses before it. Callers may send
	// heads of 16 KB.
	maxHeadBytes = 64 << 10
	// maxStaleResponses bounds the stale responses, late ones to earlier requests, that
	// are skipped before a connection is closed, maxStaleResponseBytes the body that is
	// read of each.
	maxStaleResponses     = 2
	maxStaleResponseBytes = 256 << 10
	// maxCarriedIDs bounds the request ids that are remembered of a connection. A request is sent again
	// within its deadline, before a connection has carried many others.
	maxCarriedIDs = 32
	// maxInlineBodyBytes is the size up to which a body is written before the
	// response is read. A longer body is written while the response is read, because
	// an endpoint may respond before it has read the body. The size is below the
	// smallest TCP window of a link, so the write does not wait for the endpoint.
	maxInlineBodyBytes = 8 << 10
	// sweepInterval is the minimum time between two sweeps of expired idle
	// connections.
	sweepInterval = time.Second
)

// Pool holds the connections to all endpoints. Safe for concurrent use.
type Pool struct {
	codec Codec
	dial  jsonhttp.DialFunc
	// DialVia opens the connections of requests that go through another host. Set it before the first request; without
	// it such requests are not sent.
	DialVia DialViaFunc

	mu        sync.Mutex
	byAddress map[string]*addressConns
	lastSweep time.Time
	stats     Stats
}

// Stats holds the counters of a Pool. Dials counts the attempts to open a connection,
// failed ones included. Reused counts the idle connections taken from the pool, those
// included that are then found unusable and closed. StaleResponses counts late
// responses to earlier requests, UnexpectedBytes the responses after which further
// bytes had already been read.
type Stats struct {
	Dials, Reused, StaleResponses, UnexpectedBytes int64
}

// addressConns holds the connections to one address.
type addressConns struct {
	idle []*conn
	// open counts all connections, those in use and those being dialed included.
	open int
}

// New returns a pool that dials with dial; nil dials directly.
func New(codec Codec, dial jsonhttp.DialFunc) *Pool {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &Pool{codec: codec, dial: dial, byAddress: map[string]*addressConns{}}
}

// Stats returns the current counters.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

type conn struct {
	net.Conn
	pool    *Pool
	address string
	reader  *bufio.Reader
	// received is what reader reads from.
	received *boundedReader
	writer   *bufio.Writer
	// idleDeadline is the time from which the idle connection must not be used,
	// because the endpoint may close it.
	idleDeadline time.Time
	// wasPooled is set when the connection is returned to the pool for the first time;
	// each request after that reuses the connection.
	wasPooled bool
	// carried holds the ids of the last requests that were sent on it, the oldest first.
	carried   []string
	closeOnce sync.Once
}

// hasCarried reports whether a request with the id was sent on the connection: a late copy of its
// response could not be told from the response to the same request sent again.
func (c *conn) hasCarried(id string) bool { return id != "" && slices.Contains(c.carried, id) }

// carry records that a request with the id is about to be sent on the connection.
func (c *conn) carry(id string) {
	if len(c.carried) >= maxCarriedIDs {
		c.carried = slices.Delete(c.carried, 0, 1)
	}
	c.carried = append(c.carried, id)
}

// close closes the connection and subtracts it from those open to its address.
func (c *conn) close() {
	c.closeOnce.Do(func() {
		_ = c.Conn.Close() // the connection is discarded, so the error does not matter
		c.pool.mu.Lock()
		defer c.pool.mu.Unlock()
		if ac := c.pool.byAddress[c.address]; ac != nil {
			ac.open--
			if ac.open == 0 && len(ac.idle) == 0 {
				delete(c.pool.byAddress, c.address)
			}
		}
	})
}

// get returns a reusable idle connection or opens a new one.
func (p *Pool) get(ctx context.Context, f *port.Forward) (*conn, error) {
	p.sweep()
	for f.Via == "" {
		c := p.takeIdle(f.Address)
		if c == nil {
			break
		}
		if c.reusable() && !c.hasCarried(f.ID) {
			return c, nil
		}
		c.close()
	}
	if !p.reserve(f.Address, f.MaxConnections) {
		return nil, port.ErrTooManyConnections
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := p.open(ctx, f)
	if err != nil {
		p.unreserve(f.Address)
		return nil, err
	}
	received := &boundedReader{Reader: raw}
	return &conn{
		Conn: raw, pool: p, address: f.Address, received: received,
		reader: bufio.NewReaderSize(received, readBufferBytes), writer: bufio.NewWriterSize(raw, writeBufferBytes),
	}, nil
}

// takeIdle removes the last used idle connection from the pool and returns it; nil if
// there is none that has not expired. The connection may still be unusable.
func (p *Pool) takeIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	ac := p.byAddress[address]
	for ac != nil && len(ac.idle) > 0 {
		c := ac.idle[len(ac.idle)-1]
		ac.idle = ac.idle[:len(ac.idle)-1]
		if time.Now().Before(c.idleDeadline) {
			p.stats.Reused++
			return c
		}
		go c.close() // close locks p.mu, which is held here
	}
	return nil
}

// reserve counts a connection as open before it is dialed. It returns false, and counts
// nothing, if maxOpen connections are open already; a maxOpen of zero means no bound.
func (p *Pool) reserve(address string, maxOpen int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	ac := p.byAddress[address]
	if ac == nil {
		ac = &addressConns{}
		p.byAddress[address] = ac
	}
	if maxOpen > 0 && ac.open >= maxOpen {
		return false
	}
	ac.open++
	p.stats.Dials++
	return true
}

// unreserve undoes reserve after a failed dial.
func (p *Pool) unreserve(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ac := p.byAddress[address]; ac != nil {
		ac.open--
	}
}

// put returns a connection to the pool for up to idleTime, but at most maxIdleTime. It
// closes the connection instead if idleTime is not positive, if bytes follow the response
// or if the connection goes through another host.
func (p *Pool) put(c *conn, idleTime time.Duration) {
	if idleTime <= 0 || c.reader.Buffered() > 0 || c.isTunnel() {
		if c.reader.Buffered() > 0 {
			p.updateStats(func(s *Stats) { s.UnexpectedBytes++ })
		}
		c.close()
		return
	}
	c.wasPooled = true
	c.idleDeadline = time.Now().Add(min(idleTime, maxIdleTime))
	p.mu.Lock()
	defer p.mu.Unlock()
	ac := p.byAddress[c.address]
	ac.idle = append(ac.idle, c)
}

func (p *Pool) updateStats(f func(*Stats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.stats)
}

// sweep closes the expired idle connections, at most once in sweepInterval.
func (p *Pool) sweep() {
	now := time.Now()
	p.mu.Lock()
	if now.Sub(p.lastSweep) < sweepInterval {
		p.mu.Unlock()
		return
	}
	p.lastSweep = now
	var expired []*conn
	for _, ac := range p.byAddress {
		retained := ac.idle[:0]
		for _, c := range ac.idle {
			if now.Before(c.idleDeadline) {
				retained = append(retained, c)
			} else {
				expired = append(expired, c)
			}
		}
		ac.idle = retained
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.close()
	}
}

// CloseIdle closes the idle connections to an address whose endpoint was removed.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	var idle []*conn
	if ac := p.byAddress[address]; ac != nil {
		idle, ac.idle = ac.idle, nil
	}
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// Forward implements port.Endpoints.
func (p *Pool) Forward(ctx context.Context, f *port.Forward) (*port.Reply, error) {
	c, err := p.get(ctx, f)
	if err != nil {
		return nil, err
	}
	cancelClose := context.AfterFunc(ctx, c.close)
	if f.Sending != nil {
		if err := f.Sending(); err != nil {
			if cancelClose() {
				p.put(c, unstatedIdleTime)
			}
			return nil, errors.Wrapf(port.ErrNotSent, "%s: %v", f.Address, err)
		}
	}
	ex := &exchange{conn: c, cancelClose: cancelClose}
	reply, err := ex.roundTrip(f)
	if err != nil {
		cancelClose()
		c.close()
		if errors.Is(err, port.ErrEndless) {
			return nil, errors.Wrapf(port.ErrEndless, "%s: more than %d bytes of head", f.Address, maxHeadBytes)
		}
		if errors.Is(err, port.ErrHelperBroken) || errors.Is(err, port.ErrNotSent) {
			return nil, errors.Wrapf(err, "%s through %s", f.Address, f.Via)
		}
		if provesNothingSent(err) {
			return nil, errors.Wrapf(port.ErrNotSent, "%s: %v", f.Address, err)
		}
		return nil, errors.Wrapf(port.ErrBroken, "%s: %v", f.Address, err)
	}
	return reply, nil
}

// exchange is one request and its response on a connection.
type exchange struct {
	conn *conn
	// cancelClose stops the end of the request's context from closing the connection. It
	// returns false if the context has ended already.
	cancelClose func() bool
	// written is closed when the body has been written or writing it failed; nil
	// when the body was written inline.
	written  chan struct{}
	writeErr error
	idleTime time.Duration
	method   string
	// untilEnd is set if the response ends with the connection.
	untilEnd bool
}

func (ex *exchange) roundTrip(f *port.Forward) (*port.Reply, error) {
	ex.method = f.Method
	if err := ex.send(f); err != nil {
		return nil, errors.Wrap(err, "send")
	}
	for stale := 0; ; stale++ {
		reply, echoed, err := ex.readHead()
		if err != nil {
			return nil, err
		}
		promise := reply.Declined || reply.Misdirected
		if echoed == f.ID || (echoed == "" && !ex.conn.wasPooled && !promise) {
			reply.Body = &responseBody{exchange: ex, ReadCloser: reply.Body}
			return reply, nil
		}
		if echoed == "" {
			return nil, errors.Errorf("response without a request id, reused connection %t, not run %t", ex.conn.wasPooled, promise)
		}
		// A stale response: it answers an earlier request on this connection.
		ex.conn.pool.updateStats(func(s *Stats) { s.StaleResponses++ })
		if stale >= maxStaleResponses {
			return nil, errors.New("too many late responses to earlier requests")
		}
		n, err := io.Copy(io.Discard, io.LimitReader(reply.Body, maxStaleResponseBytes+1))
		if err != nil || n > maxStaleResponseBytes || ex.idleTime <= 0 {
			return nil, errors.Errorf("late response to an earlier request could not be skipped: %v", err)
		}
	}
}

func (ex *exchange) send(f *port.Forward) error {
	c := ex.conn
	c.carry(f.ID)
	if err := ex.conn.pool.codec.WriteHead(c.writer, f); err != nil {
		return err
	}
	if len(f.Body) <= maxInlineBodyBytes {
		if _, err := c.writer.Write(f.Body); err != nil {
			return err
		}
		return c.writer.Flush()
	}
	ex.written = make(chan struct{})
	go func() {
		defer close(ex.written)
		_, ex.writeErr = c.writer.Write(f.Body)
		if ex.writeErr == nil {
			ex.writeErr = c.writer.Flush()
		}
	}()
	return nil
}

// readHead reads the head of one response and skips interim (1xx) responses. It returns port.ErrEndless if they
// exceed maxHeadBytes.
func (ex *exchange) readHead() (*port.Reply, string, error) {
	ex.conn.received.bounded, ex.conn.received.remaining = true, maxHeadBytes
	defer func() { ex.conn.received.bounded = false }()
	for {
		resp, err := http.ReadResponse(ex.conn.reader, &http.Request{Method: ex.method})
		if err != nil && ex.conn.received.remaining <= 0 {
			return nil, "", errors.Wrap(port.ErrEndless, "read head") // err may tell only where the head was cut
		}
		if err != nil {
			return nil, "", errors.Wrap(err, "read head")
		}
		if err := checkHead(resp); err != nil {
			return nil, "", err
		}
		if err := jsonhttp.CheckStatus(resp.StatusCode); err != nil {
			return nil, "", err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		reply, echoed := ex.conn.pool.codec.ReadHead(resp.StatusCode, resp.Header, resp.ContentLength)
		ex.idleTime = allowedIdleTime(resp)
		reply.Body, reply.Framing = resp.Body, framing(resp)
		ex.untilEnd = reply.Framing == port.FramingConnection
		return reply, echoed, nil
	}
}
