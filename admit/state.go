package admit

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// State is the dump of one queue.
type State struct {
	Slots       int              `json:"slots"`
	Running     int              `json:"running"`
	Queued      int              `json:"queued"`
	ServiceTime string           `json:"service_time"`
	Refused     map[Reason]int64 `json:"refused"`
	Workspaces  []WorkspaceState `json:"workspaces"`
}

// WorkspaceState is one row of a queue's dump.
type WorkspaceState struct {
	Name    string  `json:"name"`
	Weight  float64 `json:"weight"`
	Queued  int     `json:"queued"`
	Running int     `json:"running"`
	// SpendUsed is the part of the spend allowance in use, 1 for all of it.
	SpendUsed float64 `json:"spend_used"`
}

// State returns the dump of the queue, workspaces in order of their names.
func (q *Queue) State(now time.Time) State {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := State{
		Slots:       q.slots,
		Running:     q.running,
		Queued:      q.queued,
		ServiceTime: q.service.String(),
		Refused:     maps.Clone(q.refused),
	}
	for _, w := range q.workspaces {
		s.Workspaces = append(s.Workspaces, w.state(now))
	}
	slices.SortFunc(s.Workspaces, func(a, b WorkspaceState) int { return cmp.Compare(a.Name, b.Name) })
	return s
}

func (w *workspace) state(now time.Time) WorkspaceState {
	out := WorkspaceState{Name: w.name, Weight: w.limits.Weight, Queued: w.queued, Running: w.running}
	if burst := spendBurst(w.limits); burst > 0 {
		w.spend.drain(now, w.limits.SpendPerHour/time.Hour.Seconds())
		out.SpendUsed = w.spend.used / burst
	}
	return out
}

// Table holds the queue of each service. Its lock is not held while a queue's
// is taken.
type Table struct {
	queues sync.Map
}

// Queue returns the queue of a service, made on first use.
func (t *Table) Queue(service string) *Queue {
	q, ok := t.queues.Load(service)
	if !ok {
		q, _ = t.queues.LoadOrStore(service, NewQueue())
	}
	return q.(*Queue)
}
