package jsonhttp

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// MaxConnAge bounds how long the connections of a Pool accept new calls. It limits
// how long new calls use a connection that has failed without notice.
const MaxConnAge = 2 * time.Minute

// Pool holds the connections to many addresses. Each address has its own transport,
// which is replaced when it reaches MaxConnAge and when Reset is called. Calls in
// progress continue, and their connections are closed when they end. Safe for
// concurrent use.
type Pool struct {
	dial DialFunc
	// now returns the current time; tests replace it.
	now func() time.Time

	mu      sync.Mutex
	entries map[string]*poolEntry
}

type poolEntry struct {
	client    *http.Client
	transport *http.Transport
	createdAt time.Time
}

// NewPool returns a pool that dials with dial; nil dials directly.
func NewPool(dial DialFunc) *Pool {
	return &Pool{dial: dial, now: time.Now, entries: map[string]*poolEntry{}}
}

// Client returns the client for an address, such as "10.0.0.1:80".
func (p *Pool) Client(address string) *http.Client {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if entry, ok := p.entries[address]; ok && now.Sub(entry.createdAt) < MaxConnAge {
		return entry.client
	}
	for other, entry := range p.entries {
		if now.Sub(entry.createdAt) >= MaxConnAge {
			p.remove(other)
		}
	}
	transport := NewTransport(p.dial)
	entry := &poolEntry{client: NewClient(transport), transport: transport, createdAt: now}
	p.entries[address] = entry
	return entry.client
}

// Reset makes further calls to an address use new connections.
func (p *Pool) Reset(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remove(address)
}

// remove removes a transport and closes its idle connections. No later call uses the
// transport, and after CloseIdleConnections it retains no connection when a call in
// progress ends; see http.Transport. The caller holds p.mu.
func (p *Pool) remove(address string) {
	if entry, ok := p.entries[address]; ok {
		delete(p.entries, address)
		entry.transport.CloseIdleConnections()
	}
}

// SendTrace records whether a call got an open connection.
type SendTrace struct{ connected atomic.Bool }

// Connected reports whether the call got an open connection, so that bytes may have
// been sent.
func (t *SendTrace) Connected() bool { return t.connected.Load() }

// TraceSend returns a context for one call and its trace. sending, which may be nil,
// is called once the call has a connection, before the first byte is sent.
func TraceSend(ctx context.Context, sending func()) (context.Context, *SendTrace) {
	t := &SendTrace{}
	hooks := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		if !t.connected.Swap(true) && sending != nil {
			sending()
		}
	}}
	return httptrace.WithClientTrace(ctx, hooks), t
}
