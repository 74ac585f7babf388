package admit

import (
	"container/heap"
	"time"
)

// workspace is the accounting state of one workspace in a queue.
type workspace struct {
	name    string
	limits  Limits
	queued  int
	running int
	// arrivals counts all requests, refused ones included.
	arrivals    int64
	rateBucket  bucket
	spendBucket bucket
	// flows holds one flow for each priority that the workspace has used.
	flows []*flow
}

func (w *workspace) blocked() bool {
	return w.limits.MaxConcurrent > 0 && w.running >= w.limits.MaxConcurrent
}

// priorityClass is the state shared by all flows of one priority.
type priorityClass struct {
	priority int
	// virtualTime is the virtual start time of the flow served last.
	virtualTime float64
	queued      int
	// totalWeight is the summed weight of the workspaces with queued requests.
	totalWeight float64
}

func (q *Queue) classFor(priority int) *priorityClass {
	for _, c := range q.classes {
		if c.priority == priority {
			return c
		}
	}
	c := &priorityClass{priority: priority}
	q.classes = append(q.classes, c)
	return c
}

// flow returns the workspace's flow at a priority, or nil if there is none.
func (w *workspace) flow(priority int) *flow {
	for _, f := range w.flows {
		if f.class.priority == priority {
			return f
		}
	}
	return nil
}

// flow holds the queued requests of one workspace at one priority.
type flow struct {
	workspace *workspace
	class     *priorityClass
	// virtualStart is the virtual time at which the flow's next request starts.
	virtualStart float64
	entries      entryHeap
	// index is the position in the queue's ready heap, -1 when absent.
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
		f = &flow{workspace: w, class: q.classFor(e.Priority), index: -1}
		w.flows = append(w.flows, f)
	}
	if len(f.entries) == 0 {
		f.virtualStart = max(f.virtualStart, f.class.virtualTime)
		f.class.totalWeight += w.limits.Weight
	}
	e.flow = f
	heap.Push(&f.entries, e)
	f.class.queued++
	q.queued++
	w.queued++
	q.updateReadyFlow(f)
}

// entryRemoved updates the counts after an entry was removed from a flow.
func (q *Queue) entryRemoved(f *flow) {
	q.queued--
	f.class.queued--
	f.workspace.queued--
	if len(f.entries) == 0 {
		f.class.totalWeight -= f.workspace.limits.Weight
	}
}

// updateReady adds, moves or removes each flow of a workspace in the ready heap.
func (q *Queue) updateReady(w *workspace) {
	for _, f := range w.flows {
		q.updateReadyFlow(f)
	}
}

func (q *Queue) updateReadyFlow(f *flow) {
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

// entryHeap orders the entries of a flow by deadline, then by arrival.
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

// bucket is a token bucket. Rate and burst are passed in, so that a change of
// limits takes effect at once. A rate of 0 means no limit.
type bucket struct {
	used      float64
	updatedAt time.Time
}

// refill reduces used by what the rate has allowed since the last update.
func (b *bucket) refill(now time.Time, rate float64) {
	if !b.updatedAt.IsZero() {
		b.used = max(b.used-now.Sub(b.updatedAt).Seconds()*rate, 0)
	}
	b.updatedAt = now
}

// wait returns the time until the bucket allows one more unit; 0 if it does now.
func (b *bucket) wait(now time.Time, rate, burst float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	b.refill(now, rate)
	if b.used <= burst+epsilon {
		return 0
	}
	return time.Duration((b.used-burst)/rate*float64(time.Second)) + time.Nanosecond
}

func (b *bucket) take(now time.Time, amount, rate, burst float64) {
	if rate <= 0 {
		return
	}
	b.refill(now, rate)
	b.used = max(b.used+amount, 0)
}

// requestBurst is how many requests may arrive at once: one second's worth.
func requestBurst(l Limits) float64 { return max(l.RequestsPerSecond-1, 0) }

// epsilon absorbs rounding errors in the used amount of a bucket.
const epsilon = 1e-9

// spendBurstRatio is the fraction of SpendPerHour that may be spent at once. Over
// any hour a workspace spends at most 1+spendBurstRatio times its limit.
const spendBurstRatio = 0.1

func spendBurst(l Limits) float64 { return l.SpendPerHour * spendBurstRatio }
