// Package admit implements admission control for the endpoints of one service: it
// decides which request starts next and refuses requests on arrival that cannot
// start in time.
//
// Requests are ordered by priority, then by weighted fair queueing over workspaces
// in virtual time, so that a workspace with many requests does not delay one with
// few, then by deadline. Limits of a workspace on rate, concurrency and spend apply
// in addition.
//
// The package does no I/O and reads no clock: time is passed in, and the caller
// starts the entries that Next returns. A Queue has one lock and makes no calls
// to other components while holding it.
package admit

import (
	"container/heap"
	"sync"
	"time"
)

const (
	// maxQueued is the number of waiting requests in one queue from which further ones are
	// refused.
	maxQueued = 20_000
	// serviceTimeWeight is the weight of a new sample in the mean service time.
	serviceTimeWeight = 0.1
	// minRetryAfter and maxRetryAfter bound the retry delay sent to refused callers.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// Limits are the limits of one workspace. Zero means no limit, except for Weight,
// where zero means 1.
type Limits struct {
	// Weight is the relative share under contention.
	Weight float64
	// MaxConcurrent is the maximum number of requests that run at once.
	MaxConcurrent int
	// RequestsPerSecond is the maximum rate of accepted requests.
	RequestsPerSecond float64
	// SpendPerHour is the maximum rate of spend, in the deployment's currency per hour.
	// A burst of spendBurstRatio of it is allowed in addition.
	SpendPerHour float64
}

// Item describes a request to Enqueue.
type Item struct {
	Workspace string
	// Priority orders requests; the highest value starts first.
	Priority int
	// Cost is the work of the request, in any unit used by all requests of the
	// queue; zero means 1.
	Cost float64
	// Spend is the expected spend of the request.
	Spend float64
	// Deadline is the time by which the request must be complete. StartBy is the latest
	// time at which it is still worth starting: Enqueue refuses the request if it is
	// expected to start later. Once queued it stays, also past StartBy, until it starts
	// or the caller removes it. Zero means that the request may wait without limit.
	Deadline time.Time
	StartBy  time.Time
	// Value is opaque to this package.
	Value any
}

// Reason is the cause of a refusal.
type Reason string

// Reasons of refusals.
const (
	// ReasonOverload means that the queue cannot start the request in time or is
	// full.
	ReasonOverload Reason = "overload"
	// ReasonRate, ReasonConcurrency and ReasonSpend mean that a limit of the
	// workspace is reached.
	ReasonRate        Reason = "rate"
	ReasonConcurrency Reason = "concurrency"
	ReasonSpend       Reason = "spend"
)

// Refusal is the decision not to queue a request.
type Refusal struct {
	Reason Reason
	// Wait is the expected queueing time. It is longer than the request may wait, unless
	// the refusal is for a full queue. It is zero for the rate and spend limits.
	Wait time.Duration
	// RetryAfter is the delay after which the caller should retry.
	RetryAfter time.Duration
}

// Entry is an Item that Enqueue has accepted: a request that is queued, started or ended.
type Entry struct {
	Item
	flow      *flow
	sequence  uint64
	index     int
	queuedAt  time.Time
	startedAt time.Time
	state     state
}

type state int

const (
	stateQueued state = iota
	stateStarted
	stateDone
)

// Queue is the admission queue of one service. It is safe for concurrent use.
type Queue struct {
	mu         sync.Mutex
	slots      int
	running    int
	queued     int
	workspaces map[string]*workspace
	// ready holds the flows whose first entry may start when a slot is free. A flow is
	// the queue of one workspace at one priority.
	ready flowHeap
	// classes has one element for each priority in use; it is scanned linearly
	// because there are only a few.
	classes  []*priorityClass
	sequence uint64
	// meanServiceTime is the moving average of the time a request holds a slot. It is 0
	// until a request has ended; until then every expected wait is 0.
	meanServiceTime time.Duration
	// nextRetryAt is the earliest time at which the next refused caller is asked to
	// retry. retryAfter advances it, so that refused callers return no faster than
	// slots become free.
	nextRetryAt time.Time
	refused     map[Reason]int64
}

// NewQueue returns an empty queue without slots.
func NewQueue() *Queue {
	return &Queue{
		workspaces: map[string]*workspace{},
		refused:    map[Reason]int64{},
	}
}

// SetSlots sets the number of requests that may run at once.
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
			f.class.totalWeight += l.Weight - w.limits.Weight
		}
	}
	w.limits = l
	q.updateReady(w)
}

// Enqueue queues a request or refuses it. The caller then calls Next to start the
// requests that may run.
func (q *Queue) Enqueue(now time.Time, item Item) (*Entry, *Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := q.workspace(item.Workspace)
	w.arrivals++
	if r := q.refuse(now, w, item); r != nil {
		q.refused[r.Reason]++
		return nil, r
	}
	w.rateBucket.take(now, 1, w.limits.RequestsPerSecond, requestBurst(w.limits))
	if item.Cost <= 0 {
		item.Cost = 1
	}
	q.sequence++
	e := &Entry{Item: item, sequence: q.sequence, queuedAt: now}
	q.push(e, w)
	return e, nil
}

// refuse returns the refusal of an item, or nil if the item may be queued.
func (q *Queue) refuse(now time.Time, w *workspace, item Item) *Refusal {
	if wait := w.rateBucket.wait(now, w.limits.RequestsPerSecond, requestBurst(w.limits)); wait > 0 {
		return &Refusal{Reason: ReasonRate, RetryAfter: clampRetryAfter(wait)}
	}
	if wait := w.spendBucket.wait(now, w.limits.SpendPerHour/time.Hour.Seconds(), spendBurst(w.limits)); wait > 0 {
		return &Refusal{Reason: ReasonSpend, RetryAfter: clampRetryAfter(wait)}
	}
	if item.StartBy.IsZero() {
		if q.queued < maxQueued {
			return nil
		}
		wait := q.expectedWait(w, item.Priority)
		return &Refusal{Reason: ReasonOverload, Wait: wait, RetryAfter: q.retryAfter(now, wait)}
	}
	maxWait := item.StartBy.Sub(now)
	if wait := q.concurrencyWait(w); wait > maxWait {
		return &Refusal{Reason: ReasonConcurrency, Wait: wait, RetryAfter: clampRetryAfter(wait - maxWait)}
	}
	wait := q.expectedWait(w, item.Priority)
	if wait > maxWait || q.queued >= maxQueued {
		return &Refusal{Reason: ReasonOverload, Wait: wait, RetryAfter: q.retryAfter(now, wait-maxWait)}
	}
	return nil
}

// concurrencyWait returns the expected wait caused by the workspace's concurrency limit.
func (q *Queue) concurrencyWait(w *workspace) time.Duration {
	limit := w.limits.MaxConcurrent
	mustEnd := w.queued + w.running + 1 - limit // requests of w that end before one more starts
	if limit <= 0 || mustEnd <= 0 {
		return 0
	}
	return time.Duration(float64(q.meanServiceTime) * float64(mustEnd) / float64(limit))
}

// expectedWait returns the expected time until one more request of w starts. It is the
// shorter of two waits: behind all requests queued at the priority, and behind the
// workspace's own requests if they get only its weighted share of the slots. Requests
// of higher priorities come first in both.
func (q *Queue) expectedWait(w *workspace, priority int) time.Duration {
	if q.slots == 0 {
		return 0 // the time until a slot is added is unknown; the caller enforces StartBy
	}
	higherQueued, sameQueued := 0, 0 // at higher priorities and at this one
	ownQueued, totalWeight := 0, w.limits.Weight
	for _, c := range q.classes {
		if c.priority > priority {
			higherQueued += c.queued
		}
		if c.priority == priority {
			sameQueued, totalWeight = c.queued, c.totalWeight
		}
	}
	if f := w.flow(priority); f != nil && len(f.entries) > 0 {
		ownQueued = len(f.entries)
	} else {
		totalWeight += w.limits.Weight
	}
	inverseShare := totalWeight / w.limits.Weight
	ahead := min(float64(sameQueued), float64(ownQueued+1)*inverseShare-1) + float64(higherQueued)
	mustEnd := ahead + 1 - float64(q.slots-q.running) // requests that end before this one starts
	return time.Duration(max(mustEnd, 0) * float64(q.meanServiceTime) / float64(q.slots))
}

// retryAfter returns the delay after which a refused caller should retry, at least
// minDelay within the bounds of clampRetryAfter. Each call advances nextRetryAt by the
// mean time between two slots that become free, which spreads the refused callers.
func (q *Queue) retryAfter(now time.Time, minDelay time.Duration) time.Duration {
	earliest := now.Add(max(minDelay, minRetryAfter))
	if q.nextRetryAt.Before(earliest) {
		q.nextRetryAt = earliest
	}
	after := clampRetryAfter(q.nextRetryAt.Sub(now))
	q.nextRetryAt = q.nextRetryAt.Add(q.meanServiceTime / time.Duration(max(q.slots, 1)))
	return after
}

func clampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// Next marks the next request as started and returns it, or nil if none may start
// now. After any other call that changes the queue, the caller must call Next until
// it returns nil.
func (q *Queue) Next(now time.Time) *Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.running >= q.slots || len(q.ready) == 0 {
		return nil
	}
	f := q.ready[0].flow
	e := heap.Pop(&f.entries).(*Entry)
	f.class.virtualTime = max(f.class.virtualTime, f.virtualStart)
	f.virtualStart += e.Cost / f.workspace.limits.Weight
	e.state, e.startedAt = stateStarted, now
	q.running++
	w := f.workspace
	q.entryRemoved(f)
	w.running++
	w.spendBucket.take(now, e.Spend, w.limits.SpendPerHour/time.Hour.Seconds(), spendBurst(w.limits))
	q.updateReady(w)
	return e
}

// Remove removes a waiting request from the queue. It returns false if the request
// has already started or was removed.
func (q *Queue) Remove(e *Entry) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if e.state != stateQueued {
		return false
	}
	e.state = stateDone
	heap.Remove(&e.flow.entries, e.index)
	q.entryRemoved(e.flow)
	q.updateReadyFlow(e.flow)
	return true
}

// Done ends a started request: it releases the slot and replaces the expected spend
// by the actual one. Further calls for the same entry have no effect.
func (q *Queue) Done(now time.Time, e *Entry, spent float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if e.state != stateStarted {
		return
	}
	e.state = stateDone
	q.running--
	q.observeServiceTime(now.Sub(e.startedAt))
	w := e.flow.workspace
	wasBlocked := w.blocked()
	w.running--
	w.spendBucket.take(now, spent-e.Spend, w.limits.SpendPerHour/time.Hour.Seconds(), spendBurst(w.limits))
	if wasBlocked {
		q.updateReady(w)
	}
}

func (q *Queue) observeServiceTime(d time.Duration) {
	if q.meanServiceTime == 0 {
		q.meanServiceTime = d
		return
	}
	q.meanServiceTime += time.Duration(serviceTimeWeight * float64(d-q.meanServiceTime))
}

// MeanServiceTime returns the mean time that a request holds a slot; zero until a
// request has ended.
func (q *Queue) MeanServiceTime() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.meanServiceTime
}

// Arrivals returns the number of requests of each workspace, refused ones
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

// RetryAfter returns the delay after which the caller of an abandoned request should
// retry. Like a refusal for overload, each call advances the time at which the next
// caller is asked to retry.
func (q *Queue) RetryAfter(now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.retryAfter(now, 0)
}

// WaitTime returns the time that a started request spent in the queue.
func (e *Entry) WaitTime() time.Duration { return e.startedAt.Sub(e.queuedAt) }
