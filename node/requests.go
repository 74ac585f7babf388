package node

import (
	"context"
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/answer"
	"github.com/cicadanotch/cicadanotch/problem"
	"github.com/cicadanotch/cicadanotch/request"
)

const (
	// detachedTimeout is how long a generate request continues without a reader.
	detachedTimeout = 30 * time.Second
	// endedRequestTTL is how long an ended request is retained, so that callers can
	// attach to it.
	endedRequestTTL = 120 * time.Second
)

// Accepted is an accepted request that this host owns or relays.
type Accepted struct {
	Request *request.Request
	Answer  *answer.Buffer
	guard   problem.Guard
	exec    execution
	cancel  context.CancelFunc
	// relayFailed is closed when the answer of a request that another host owns can no
	// longer be relayed; nil on requests that this host owns.
	relayFailed chan struct{}

	mu           sync.Mutex
	handoffState handoffState
	readers      int
	lastRead     time.Time
	endedAt      time.Time
	// ownerMissingSince is when the owner of the claim that this request waits for
	// was first missing from the platform's host list; zero while it is listed.
	ownerMissingSince time.Time
}

// AddReader counts a reader of the answer; the caller calls leave when it stops
// reading.
func (a *Accepted) AddReader() (leave func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers++
	return a.leave
}

func (a *Accepted) leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers--
	a.lastRead = time.Now()
}

// requestTable holds the accepted requests by their ids.
type requestTable struct {
	mu   sync.Mutex
	rows map[request.ID]*Accepted
}

func newRequestTable() *requestTable { return &requestTable{rows: map[request.ID]*Accepted{}} }

// add adds a request. If the id is present already, it returns the known request
// and false.
func (t *requestTable) add(a *Accepted) (*Accepted, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.rows[a.Request.ID]; ok {
		return known, false
	}
	t.rows[a.Request.ID] = a
	return a, true
}

func (t *requestTable) get(id request.ID) (*Accepted, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.rows[id]
	return a, ok
}

func (t *requestTable) has(id request.ID) bool {
	_, ok := t.get(id)
	return ok
}

// drop removes a request that this host does not own, unless another request has
// been added under its id.
func (t *requestTable) drop(a *Accepted) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rows[a.Request.ID] == a {
		delete(t.rows, a.Request.ID)
	}
}

func (t *requestTable) all() []*Accepted {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*Accepted, 0, len(t.rows))
	for _, a := range t.rows {
		out = append(out, a)
	}
	return out
}

func (t *requestTable) remove(id request.ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.rows, id)
}

// detached reports whether the answer has had no reader for longer than
// detachedTimeout.
func (a *Accepted) detached(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.readers == 0 && now.Sub(a.lastRead) > detachedTimeout
}

// expireRequests stops detached generate requests and removes requests that ended
// more than endedRequestTTL ago.
func (n *Node) expireRequests() {
	now := time.Now()
	for _, a := range n.requests.all() {
		a.mu.Lock()
		expired := !a.endedAt.IsZero() && now.Sub(a.endedAt) > endedRequestTTL
		a.mu.Unlock()
		switch {
		case expired:
			n.requests.remove(a.Request.ID)
		case a.detached(now) && a.Request.Kind == request.KindGenerate:
			a.stopRun()
		}
	}
}

func (a *Accepted) markEnded() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endedAt = time.Now()
}

// recordEnd records the end of a request in metrics and log.
func (n *Node) recordEnd(a *Accepted) {
	a.markEnded()
	result := "whole"
	if end := a.Answer.End(); end != nil && end.Problem != nil {
		result = string(end.Problem.Type)
	}
	n.metrics.ended.WithLabelValues(a.Request.Service, result).Inc()
	n.log.Info().Str("request", a.Request.ID.String()).Str("service", a.Request.Service).
		Str("workspace", a.Request.Workspace).Str("end", result).Msg("request ended")
}
