package jsonhttp

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// MaxConnAge is how long connections of a Pool take new calls. A connection
// that has gone silent unnoticed is left behind after this time at the latest.
const MaxConnAge = 2 * time.Minute

// Pool holds the connections to many addresses. Each address has a transport
// of its own, which is replaced when it reaches MaxConnAge and when Reset is
// called: calls in progress go on, and their connections are closed when they
// end. Safe for concurrent use.
type Pool struct {
	dial DialFunc
	// now is the clock.
	now func() time.Time

	mu   sync.Mutex
	rows map[string]*pooled
}

type pooled struct {
	client    *http.Client
	transport *http.Transport
	since     time.Time
}

// NewPool returns a pool that dials with dial; nil dials directly.
func NewPool(dial DialFunc) *Pool {
	return &Pool{dial: dial, now: time.Now, rows: map[string]*pooled{}}
}

// Client returns the client for an address, such as "10.0.0.1:80".
func (p *Pool) Client(address string) *http.Client {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if row, ok := p.rows[address]; ok && now.Sub(row.since) < MaxConnAge {
		return row.client
	}
	for known, row := range p.rows {
		if now.Sub(row.since) >= MaxConnAge {
			p.retire(known)
		}
	}
	transport := NewTransport(p.dial)
	row := &pooled{client: &http.Client{Transport: transport}, transport: transport, since: now}
	p.rows[address] = row
	return row.client
}

// Reset keeps the open connections to an address from further calls.
func (p *Pool) Reset(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retire(address)
}

// retire forgets a transport. No call uses it from now on, so it keeps no
// idle connection again; see http.Transport.CloseIdleConnections.
func (p *Pool) retire(address string) {
	if row, ok := p.rows[address]; ok {
		delete(p.rows, address)
		row.transport.CloseIdleConnections()
	}
}

// SendTrace notes whether a call had an open connection.
type SendTrace struct{ connected atomic.Bool }

// Connected reports whether a connection was open, so that bytes may have been
// sent on it.
func (t *SendTrace) Connected() bool { return t.connected.Load() }

// TraceSend returns a context for one call. sending, which may be nil, is
// called when a connection is open, before the first byte goes out.
func TraceSend(ctx context.Context, sending func()) (context.Context, *SendTrace) {
	t := &SendTrace{}
	hooks := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		if !t.connected.Swap(true) && sending != nil {
			sending()
		}
	}}
	return httptrace.WithClientTrace(ctx, hooks), t
}
