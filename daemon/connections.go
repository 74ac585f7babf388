package daemon

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connections are the open connections of the host's servers, with the state of each.
//
// They end without http.Server.Shutdown: that closes idle connections on which a request has arrived, and a server that
// is shutting down reads a request and drops it. In both cases the caller gets no answer.
type connections struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState
	// ended is set by end and closed once there is no connection.
	ended  chan struct{}
	closed bool
}

// track is the ConnState of the servers.
func (c *connections) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.states, conn)
		c.signalEnd()
		return
	}
	if c.states == nil {
		c.states = map[net.Conn]http.ConnState{}
	}
	c.states[conn] = state
	if c.ended != nil {
		stopReading(conn, state)
	}
}

// signalEnd closes c.ended if there is no connection. The caller holds c.mu.
func (c *connections) signalEnd() {
	if c.ended != nil && !c.closed && len(c.states) == 0 {
		close(c.ended)
		c.closed = true
	}
}

// stopReading makes the server read what has arrived on a connection that awaits a request, and close it then.
func stopReading(conn net.Conn, state http.ConnState) {
	if state != http.StateNew && state != http.StateIdle {
		return
	}
	if c, ok := conn.(interface{ CloseRead() error }); ok {
		_ = c.CloseRead() // a failure means that the connection has ended
	}
}

// end lets the requests that have arrived be answered and ends all connections. It returns false if some have not ended
// within the timeout. No further connections may be accepted.
func (c *connections) end(timeout time.Duration) bool {
	c.mu.Lock()
	c.ended = make(chan struct{})
	for conn, state := range c.states {
		stopReading(conn, state)
	}
	c.signalEnd()
	c.mu.Unlock()
	select {
	case <-c.ended:
		return true
	case <-time.After(timeout):
		return false
	}
}
