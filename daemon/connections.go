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
	// ended is closed once there is no connection, after end has set it. closesIdle is set when connections that await
	// a request are closed.
	ended      chan struct{}
	closed     bool
	closesIdle bool
	// lingering are those that the servers have closed and the callers have not.
	lingering lingering
}

// track is the ConnState of the servers.
func (c *connections) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	setState(conn, state)
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.states, conn)
		c.signalEnd()
		return
	}
	if c.states == nil {
		c.states = map[net.Conn]http.ConnState{}
	}
	c.states[conn] = state
	if c.closesIdle {
		closeIdle(conn, state)
	}
}

// signalEnd closes c.ended if there is no connection. The caller holds c.mu.
func (c *connections) signalEnd() {
	if c.ended != nil && !c.closed && len(c.states) == 0 {
		close(c.ended)
		c.closed = true
	}
}

// closeIdle closes a connection that awaits a request. Where half of a head has come, the server would answer the end of
// its input with 400, after which callers do not try again.
func closeIdle(conn net.Conn, state http.ConnState) {
	if state == http.StateNew || state == http.StateIdle {
		_ = conn.Close() // a failure means that it has ended
	}
}

// end lets the requests that have arrived, or arrive within readTimeout, be answered and ends all connections. It returns
// false if some have not ended within the timeout. No further connections may be accepted.
func (c *connections) end(readTimeout, timeout time.Duration) bool {
	c.mu.Lock()
	c.ended = make(chan struct{})
	c.signalEnd()
	c.mu.Unlock()
	if c.wait(readTimeout) {
		return true
	}
	c.mu.Lock()
	c.closesIdle = true
	for conn, state := range c.states {
		closeIdle(conn, state)
	}
	c.mu.Unlock()
	return c.wait(timeout - readTimeout)
}

func (c *connections) wait(timeout time.Duration) bool {
	select {
	case <-c.ended:
		return true
	case <-time.After(timeout):
		return false
	}
}
