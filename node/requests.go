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
	// detachedLimit is how long a request goes on without a reader.
	detachedLimit = 30 * time.Second
	// endedKept is how long an ended request can be attached to.
	endedKept = 120 * time.Second
)

// Accepted is a request in the hands of this host.
type Accepted struct {
	Request *request.Request
	Answer  *answer.Buffer
	guard   problem.Guard
	work    work
	cancel  context.CancelFunc
	// passing is closed when the answer, which another host owns, cannot be
	// passed on any more; nil on requests of this host.
	passing chan struct{}

	mu       sync.Mutex
	hand     handed
	readers  int
	lastRead time.Time
	endedAt  time.Time
	// ownerMissed is since when the owner of the order that this one repeats
	// is missing.
	ownerMissed time.Time
}

// Enter counts a reader of the answer; the result ends it.
func (a *Accepted) Enter() (leave func()) {
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

// requestTable holds the accepted requests by id.
type requestTable struct {
	mu   sync.Mutex
	rows map[request.ID]*Accepted
}

func newRequestTable() *requestTable { return &requestTable{rows: map[request.ID]*Accepted{}} }

// add books a request; it returns the one already booked under the id, if any.
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

func (t *requestTable) knows(id request.ID) bool {
	_, ok := t.get(id)
	return ok
}

// drop takes a request out that this host did not take over.
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

// detached reports whether nobody has read the answer for long.
func (a *Accepted) detached(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.readers == 0 && now.Sub(a.lastRead) > detachedLimit
}

// expireRequests cancels requests that nobody reads and drops old ones.
func (n *Node) expireRequests() {
	now := time.Now()
	for _, a := range n.requests.all() {
		a.mu.Lock()
		expired := !a.endedAt.IsZero() && now.Sub(a.endedAt) > endedKept
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

func (n *Node) ended(a *Accepted) {
	a.markEnded()
	result := "whole"
	if end := a.Answer.Ended(); end != nil && end.Problem != nil {
		result = string(end.Problem.Type)
	}
	n.metrics.ended.WithLabelValues(a.Request.Service, result).Inc()
	n.log.Info().Str("request", a.Request.ID.String()).Str("service", a.Request.Service).
		Str("workspace", a.Request.Workspace).Str("end", result).Msg("request ended")
}
