// Package admit decides which request may start next at the endpoints of one
// service, and refuses on arrival what cannot start in time.
//
// Order: priority first; then weighted fairness over workspaces by virtual
// time, so that a workspace with many requests does not delay one with few;
// then the deadline. The limits of a workspace on rate, concurrency and spend
// hold beside that.
//
// The package does no I/O and reads no clock: time is passed in, and the
// caller tells the entries that Next returns that they may start. A Queue has
// one lock and calls nothing while it is held.
package admit

import (
	"container/heap"
	"sync"
	"time"
)

const (
	// maxQueued bounds the requests that wait in one queue.
	maxQueued = 20_000
	// smoothing is the weight of a new sample in the mean service time.
	smoothing = 0.1
	// minRetryAfter and maxRetryAfter bound the advice to refused callers.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// Limits are what one workspace may use. Zero means no limit but for Weight,
// where zero means 1.
type Limits struct {
	// Weight is the share under contention.
	Weight float64
	// MaxConcurrent is the number of requests that run at once.
	MaxConcurrent int
	// RequestsPerSecond is the rate of accepted requests.
	RequestsPerSecond float64
	// SpendPerHour is in the deployment's currency.
	SpendPerHour float64
}

// Item is one request that wants to start.
type Item struct {
	Workspace string
	Priority  int
	// Cost is the work of the request, in any unit that is the same for all
	// requests of the queue; zero means 1.
	Cost float64
	// Spend is what the request is expected to spend.
	Spend float64
	// Deadline is when the request must have ended. StartBy is the latest
	// time at which starting still makes sense.
	Deadline time.Time
	StartBy  time.Time
	// Value belongs to the caller.
	Value any
}

// Reason tells why a request is refused.
type Reason string

// Reasons of refusals.
const (
	// ReasonOverload: the queue cannot start it in time.
	ReasonOverload Reason = "overload"
	// ReasonRate, ReasonConcurrency and ReasonSpend: a limit of the workspace.
	ReasonRate        Reason = "rate"
	ReasonConcurrency Reason = "concurrency"
	ReasonSpend       Reason = "spend"
)

// Refusal is the decision not to take a request.
type Refusal struct {
	Reason Reason
	// Wait is the expected wait that was too long; zero for limits.
	Wait time.Duration
	// RetryAfter is when the caller should come back.
	RetryAfter time.Duration
}

// Entry is one queued or started request.
type Entry struct {
	Item
	flow     *flow
	sequence uint64
	index    int
	queuedAt time.Time
	started  time.Time
	state    state
}

type state int

const (
	stateQueued state = iota
	stateStarted
	stateOver
)

// Queue is the queue of one service. Safe for concurrent use.
type Queue struct {
	mu         sync.Mutex
	slots      int
	running    int
	queued     int
	workspaces map[string]*workspace
	// ready holds the flows whose head may start when a slot is free.
	ready flowHeap
	// levels are the priorities in use, a handful.
	levels   []*level
	sequence uint64
	// service is the mean time that a request holds a slot.
	service time.Duration
	// retryAt is when the next refused caller is asked to come back, so that
	// refused callers return no faster than slots get free.
	retryAt time.Time
	refused map[Reason]int64
}

// NewQueue returns an empty queue without slots.
func NewQueue() *Queue {
	return &Queue{
		workspaces: map[string]*workspace{},
		refused:    map[Reason]int64{},
	}
}

// SetSlots sets how many requests may run at once.
func (q *Queue) SetSlots(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slots = max(n, 0)
}

// SetLimits sets the limits of a workspace.
func (q *Queue) SetLimits(name string, l Limits) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := q.workspace(name)
	if l.Weight <= 0 {
		l.Weight = 1
	}
	if l == w.limits {
		return
	}
	for _, f := range w.flows {
		if len(f.entries) > 0 {
			f.level.weights += l.Weight - w.limits.Weight
		}
	}
	w.limits = l
	q.settle(w)
}

// Arrive queues a request or refuses it. After it the caller takes from Next
// what may start.
func (q *Queue) Arrive(now time.Time, item Item) (*Entry, *Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := q.workspace(item.Workspace)
	w.arrivals++
	if r := q.refuse(now, w, item); r != nil {
		q.refused[r.Reason]++
		return nil, r
	}
	w.rate.take(now, 1, w.limits.RequestsPerSecond, rateBurst(w.limits))
	if item.Cost <= 0 {
		item.Cost = 1
	}
	q.sequence++
	e := &Entry{Item: item, sequence: q.sequence, queuedAt: now}
	q.push(e, w)
	return e, nil
}

func (q *Queue) refuse(now time.Time, w *workspace, item Item) *Refusal {
	if wait := w.rate.wait(now, w.limits.RequestsPerSecond, rateBurst(w.limits)); wait > 0 {
		return &Refusal{Reason: ReasonRate, RetryAfter: clampRetry(wait)}
	}
	if wait := w.spend.wait(now, w.limits.SpendPerHour/time.Hour.Seconds(), spendBurst(w.limits)); wait > 0 {
		return &Refusal{Reason: ReasonSpend, RetryAfter: clampRetry(wait)}
	}
	if item.StartBy.IsZero() {
		return nil
	}
	patience := item.StartBy.Sub(now)
	if wait := q.concurrencyWait(w); wait > patience {
		return &Refusal{Reason: ReasonConcurrency, Wait: wait, RetryAfter: clampRetry(wait - patience)}
	}
	wait := q.expectedWait(w, item.Priority)
	if wait > patience || q.queued >= maxQueued {
		return &Refusal{Reason: ReasonOverload, Wait: wait, RetryAfter: q.retryAfter(now, wait-patience)}
	}
	return nil
}

// concurrencyWait is the expected wait for the workspace's own concurrency.
func (q *Queue) concurrencyWait(w *workspace) time.Duration {
	limit := w.limits.MaxConcurrent
	ahead := w.queued + w.running + 1 - limit
	if limit <= 0 || ahead <= 0 {
		return 0
	}
	return time.Duration(float64(q.service) * float64(ahead) / float64(limit))
}

// expectedWait is the expected time until one more request of w starts: the
// shorter of the wait behind everything queued and the wait behind its own
// requests at its weighted share.
func (q *Queue) expectedWait(w *workspace, priority int) time.Duration {
	if q.slots == 0 {
		return 0 // how long none lasts is unknown: StartBy bounds the wait
	}
	above, same := 0, 0
	own, weights := 0, w.limits.Weight
	for _, l := range q.levels {
		if l.priority > priority {
			above += l.queued
		}
		if l.priority == priority {
			same, weights = l.queued, l.weights
		}
	}
	if f := w.flow(priority); f != nil && len(f.entries) > 0 {
		own = len(f.entries)
	} else {
		weights += w.limits.Weight
	}
	inverse := weights / w.limits.Weight
	ahead := min(float64(same), float64(own+1)*inverse-1) + float64(above)
	turns := ahead + 1 - float64(q.slots-q.running)
	return time.Duration(max(turns, 0) * float64(q.service) / float64(q.slots))
}

// retryAfter spreads refused callers over the time at which slots get free.
func (q *Queue) retryAfter(now time.Time, short time.Duration) time.Duration {
	earliest := now.Add(max(short, minRetryAfter))
	if q.retryAt.Before(earliest) {
		q.retryAt = earliest
	}
	after := clampRetry(q.retryAt.Sub(now))
	q.retryAt = q.retryAt.Add(q.service / time.Duration(max(q.slots, 1)))
	return after
}

func clampRetry(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// Next starts the next request, if one may start now; nil otherwise. The
// caller calls it until nil after every other call that changes the queue.
func (q *Queue) Next(now time.Time) *Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.running >= q.slots || len(q.ready) == 0 {
		return nil
	}
	f := q.ready[0].flow
	e := heap.Pop(&f.entries).(*Entry)
	f.level.virtual = max(f.level.virtual, f.start)
	f.start += e.Cost / f.workspace.limits.Weight
	e.state, e.started = stateStarted, now
	q.running++
	w := f.workspace
	q.removed(f)
	w.running++
	w.spend.take(now, e.Spend, w.limits.SpendPerHour/time.Hour.Seconds(), spendBurst(w.limits))
	q.settle(w)
	return e
}

// Leave takes a request that still waits out of the queue. It reports false
// when the request was started before.
func (q *Queue) Leave(e *Entry) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if e.state != stateQueued {
		return false
	}
	e.state = stateOver
	heap.Remove(&e.flow.entries, e.index)
	q.removed(e.flow)
	q.settleFlow(e.flow)
	return true
}

// Done ends a started request: it gives back its slot and books what it
// spent.
func (q *Queue) Done(now time.Time, e *Entry, spent float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if e.state != stateStarted {
		return
	}
	e.state = stateOver
	q.running--
	q.sample(now.Sub(e.started))
	w := e.flow.workspace
	wasBlocked := w.blocked()
	w.running--
	w.spend.take(now, spent-e.Spend, w.limits.SpendPerHour/time.Hour.Seconds(), spendBurst(w.limits))
	if wasBlocked {
		q.settle(w)
	}
}

func (q *Queue) sample(d time.Duration) {
	if q.service == 0 {
		q.service = d
		return
	}
	q.service += time.Duration(smoothing * float64(d-q.service))
}

// ServiceTime returns the mean time that a request holds a slot; zero until
// one has ended.
func (q *Queue) ServiceTime() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.service
}

// Arrivals returns how many requests of each workspace have come, refused ones
// included.
func (q *Queue) Arrivals() map[string]int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make(map[string]int64, len(q.workspaces))
	for name, w := range q.workspaces {
		out[name] = w.arrivals
	}
	return out
}

// RetryAfter returns when the caller of a request that was given up should
// come back.
func (q *Queue) RetryAfter(now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.retryAfter(now, 0)
}

// Waited returns how long a started request waited in the queue.
func (e *Entry) Waited() time.Duration { return e.started.Sub(e.queuedAt) }
