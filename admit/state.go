package admit

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// State is the debug view of one queue.
type State struct {
	Slots           int              `json:"slots"`
	Running         int              `json:"running"`
	Queued          int              `json:"queued"`
	MeanServiceTime string           `json:"service_time"`
	Refused         map[Reason]int64 `json:"refused"`
	Workspaces      []WorkspaceState `json:"workspaces"`
}

// WorkspaceState is the debug view of one workspace in a queue.
type WorkspaceState struct {
	Name    string  `json:"name"`
	Weight  float64 `json:"weight"`
	Queued  int     `json:"queued"`
	Running int     `json:"running"`
	// SpendUsed is the used fraction of the spend burst, without unit; 1 when all of it is
	// used.
	SpendUsed float64 `json:"spend_used"`
}

// State returns the debug view of the queue, with workspaces sorted by name. It refills the
// spend buckets up to now.
func (q *Queue) State(now time.Time) State {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := State{
		Slots:           q.slots,
		Running:         q.running,
		Queued:          q.queued,
		MeanServiceTime: q.meanServiceTime.String(),
		Refused:         maps.Clone(q.refused),
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
		w.spendBucket.refill(now, w.limits.SpendPerHour/time.Hour.Seconds())
		out.SpendUsed = w.spendBucket.used / burst
	}
	return out
}

// Table holds the queue of each service. Its methods acquire no lock of a queue. It is safe
// for concurrent use.
type Table struct {
	queues sync.Map
}

// Queue returns the queue of a service and creates it on first use.
func (t *Table) Queue(service string) *Queue {
	q, ok := t.queues.Load(service)
	if !ok {
		q, _ = t.queues.LoadOrStore(service, NewQueue())
	}
	return q.(*Queue)
}
