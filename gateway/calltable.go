package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// callTable holds the requests in progress.
type callTable struct {
	mu            sync.Mutex
	calls         map[*call]struct{}
	lastArrivedAt time.Time
	// opened is the number of requests that are being read or answered; calls holds those of them that were
	// admitted. No further ones are opened once closed is set.
	opened int
	closed bool
}

func (t *callTable) open() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.opened++
	t.lastArrivedAt = time.Now()
	return true
}

func (t *callTable) done() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.opened--
}

// idle reports whether no request is being read or answered.
func (t *callTable) idle() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.opened == 0 && len(t.calls) == 0
}

// close makes the table refuse further requests.
func (t *callTable) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
}

// closeIfIdle closes the table if no request is being read or answered, and reports whether it is closed.
func (t *callTable) closeIfIdle() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = t.closed || t.opened == 0 && len(t.calls) == 0
	return t.closed
}

func (t *callTable) add(c *call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls[c] = struct{}{}
	t.lastArrivedAt = c.arrived
}

func (t *callTable) remove(c *call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.calls, c)
}

func (t *callTable) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.calls)
}

func (t *callTable) lastArrival() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastArrivedAt
}

// all returns the requests in progress.
func (t *callTable) all() []*call {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Keys(t.calls))
}

// atEndpoint returns the requests in progress at an endpoint.
func (t *callTable) atEndpoint(endpoint string) []*call {
	all := t.all()
	out := all[:0]
	for _, c := range all {
		if c.endpointID() == endpoint {
			out = append(out, c)
		}
	}
	return out
}
