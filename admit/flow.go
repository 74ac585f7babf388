package admit

import (
	"container/heap"
	"time"
)

// workspace is the account of one workspace in a queue.
type workspace struct {
	name    string
	limits  Limits
	queued  int
	running int
	// arrivals counts all requests, the refused ones too.
	arrivals int64
	rate     bucket
	spend    bucket
	// flows are its queues, one for each priority used.
	flows []*flow
}

func (w *workspace) blocked() bool {
	return w.limits.MaxConcurrent > 0 && w.running >= w.limits.MaxConcurrent
}

// level is what the flows of one priority have in common.
type level struct {
	priority int
	// virtual is the virtual time: the start of the flow served last.
	virtual float64
	queued  int
	// weights is the sum over the workspaces that have requests waiting.
	weights float64
}

func (q *Queue) level(priority int) *level {
	for _, l := range q.levels {
		if l.priority == priority {
			return l
		}
	}
	l := &level{priority: priority}
	q.levels = append(q.levels, l)
	return l
}

// flow returns the workspace's queue at a priority; nil when there is none.
func (w *workspace) flow(priority int) *flow {
	for _, f := range w.flows {
		if f.level.priority == priority {
			return f
		}
	}
	return nil
}

// flow holds the waiting requests of one workspace at one priority.
type flow struct {
	workspace *workspace
	level     *level
	// start is the virtual time at which the next request starts.
	start   float64
	entries entryHeap
	// index is the place in the queue's ready heap, -1 when absent.
	index int
}

func (q *Queue) workspace(name string) *workspace {
	w, ok := q.workspaces[name]
	if !ok {
		w = &workspace{name: name, limits: Limits{Weight: 1}}
		q.workspaces[name] = w
	}
	return w
}

func (q *Queue) push(e *Entry, w *workspace) {
	f := w.flow(e.Priority)
	if f == nil {
		f = &flow{workspace: w, level: q.level(e.Priority), index: -1}
		w.flows = append(w.flows, f)
	}
	if len(f.entries) == 0 {
		f.start = max(f.start, f.level.virtual)
		f.level.weights += w.limits.Weight
	}
	e.flow = f
	heap.Push(&f.entries, e)
	f.level.queued++
	q.queued++
	w.queued++
	q.settleFlow(f)
}

// removed books that one entry left a flow.
func (q *Queue) removed(f *flow) {
	q.queued--
	f.level.queued--
	f.workspace.queued--
	if len(f.entries) == 0 {
		f.level.weights -= f.workspace.limits.Weight
	}
}

// settle puts each flow of a workspace at its place in the ready heap.
func (q *Queue) settle(w *workspace) {
	for _, f := range w.flows {
		q.settleFlow(f)
	}
}

func (q *Queue) settleFlow(f *flow) {
	ready := len(f.entries) > 0 && !f.workspace.blocked()
	switch {
	case ready && f.index >= 0:
		q.ready.fix(f)
	case ready:
		q.ready.push(f)
	case f.index >= 0:
		q.ready.remove(f)
	}
}

// entryHeap orders the entries of a flow by deadline, then arrival.
type entryHeap []*Entry

func (e *Entry) before(o *Entry) bool {
	if !e.Deadline.Equal(o.Deadline) {
		return e.Deadline.Before(o.Deadline)
	}
	return e.sequence < o.sequence
}

// Len implements heap.Interface.
func (h entryHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h entryHeap) Less(i, j int) bool { return h[i].before(h[j]) }

// Swap implements heap.Interface.
func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *entryHeap) Push(x any) {
	e := x.(*Entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *entryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}

// bucket is a token bucket; rate and burst are passed in, so that a change of
// limits takes effect at once. A rate of 0 means no limit.
type bucket struct {
	used float64
	at   time.Time
}

// drain lets used flow off at the rate.
func (b *bucket) drain(now time.Time, rate float64) {
	if !b.at.IsZero() {
		b.used = max(b.used-now.Sub(b.at).Seconds()*rate, 0)
	}
	b.at = now
}

// wait returns how long it takes until one unit fits; 0 when it does.
func (b *bucket) wait(now time.Time, rate, burst float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	b.drain(now, rate)
	if b.used <= burst+epsilon {
		return 0
	}
	return time.Duration((b.used-burst)/rate*float64(time.Second)) + time.Nanosecond
}

func (b *bucket) take(now time.Time, amount, rate, burst float64) {
	if rate <= 0 {
		return
	}
	b.drain(now, rate)
	b.used = max(b.used+amount, 0)
}

// rateBurst is how many requests may come at once: one second's worth.
func rateBurst(l Limits) float64 { return max(l.RequestsPerSecond-1, 0) }

// epsilon absorbs rounding of a bucket's level.
const epsilon = 1e-9

// spendBurstShare is the part of an hour's spend that may go at once: over
// any hour a workspace spends at most 1+spendBurstShare times its limit.
const spendBurstShare = 0.1

func spendBurst(l Limits) float64 { return l.SpendPerHour * spendBurstShare }
