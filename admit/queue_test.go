package admit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/admit"
)

var start = time.Unix(1_800_000_000, 0)

func item(workspace string, priority int, deadline time.Duration) admit.Item {
	return admit.Item{Workspace: workspace, Priority: priority, Deadline: start.Add(deadline), Value: workspace}
}

// order starts all waiting requests, one at a time, and returns them in order.
func order(q *admit.Queue) []string {
	var out []string
	for e := q.Next(start); e != nil; e = q.Next(start) {
		out = append(out, fmt.Sprintf("%v %d %v", e.Value, e.Priority, e.Deadline.Sub(start)))
		q.Done(start, e, 0)
	}
	return out
}

func TestOrder(t *testing.T) {
	for name, tc := range map[string]struct {
		items   []admit.Item
		weights map[string]float64
		want    []string
	}{
		"priority before arrival": {
			items: []admit.Item{item("a", 1, 9), item("a", 5, 9)},
			want:  []string{"a 5 9ns", "a 1 9ns"},
		},
		"deadline within a workspace": {
			items: []admit.Item{item("a", 1, 9), item("a", 1, 3)},
			want:  []string{"a 1 3ns", "a 1 9ns"},
		},
		"workspaces take turns": {
			items: []admit.Item{item("a", 1, 1), item("a", 1, 2), item("a", 1, 3), item("b", 1, 9)},
			want:  []string{"a 1 1ns", "b 1 9ns", "a 1 2ns", "a 1 3ns"},
		},
		"weights": {
			items:   []admit.Item{item("a", 1, 1), item("a", 1, 2), item("a", 1, 3), item("b", 1, 4), item("b", 1, 5)},
			weights: map[string]float64{"a": 2},
			want:    []string{"a 1 1ns", "b 1 4ns", "a 1 2ns", "a 1 3ns", "b 1 5ns"},
		},
		"priority before fairness": {
			items: []admit.Item{item("b", 1, 9), item("a", 2, 9), item("a", 2, 9)},
			want:  []string{"a 2 9ns", "a 2 9ns", "b 1 9ns"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := admit.NewQueue()
			for w, weight := range tc.weights {
				q.SetLimits(w, admit.Limits{Weight: weight})
			}
			for _, i := range tc.items {
				_, refused := q.Enqueue(start, i)
				is.True(refused == nil)
			}
			is.True(q.Next(start) == nil) // no slots are set
			q.SetSlots(1)
			is.Equal(order(q), tc.want)
		})
	}
}

// run starts requests until none may start.
func run(q *admit.Queue, now time.Time) []*admit.Entry {
	var out []*admit.Entry
	for e := q.Next(now); e != nil; e = q.Next(now) {
		out = append(out, e)
	}
	return out
}

func TestLimits(t *testing.T) {
	limited := admit.Limits{Weight: 1}
	for name, tc := range map[string]struct {
		limits  func() admit.Limits
		count   int
		spent   float64
		refused admit.Reason
		after   time.Duration
		started int
	}{
		"none":        {limits: func() admit.Limits { return limited }, count: 9, started: 9},
		"rate":        {limits: func() admit.Limits { l := limited; l.RequestsPerSecond = 4; return l }, count: 5, refused: admit.ReasonRate, after: time.Second, started: 4},
		"low rate":    {limits: func() admit.Limits { l := limited; l.RequestsPerSecond = 0.25; return l }, count: 2, refused: admit.ReasonRate, after: 4 * time.Second, started: 1},
		"concurrency": {limits: func() admit.Limits { l := limited; l.MaxConcurrent = 3; return l }, count: 9, started: 3},
		"spend":       {limits: func() admit.Limits { l := limited; l.SpendPerHour = 36; return l }, count: 5, spent: 1, refused: admit.ReasonSpend, after: 40 * time.Second, started: 4},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := admit.NewQueue()
			q.SetSlots(100)
			q.SetLimits("a", tc.limits())
			var last *admit.Refusal
			started := 0
			for range tc.count {
				i := item("a", 1, time.Minute)
				i.Spend = tc.spent
				_, last = q.Enqueue(start, i)
				started += len(run(q, start))
			}
			is.Equal(started, tc.started)
			if tc.refused == "" {
				is.True(last == nil)
				return
			}
			is.Equal(last.Reason, tc.refused)
			is.Equal(last.RetryAfter.Round(time.Second), tc.after)
			_, again := q.Enqueue(start.Add(last.RetryAfter), item("a", 1, time.Minute))
			is.True(again == nil) // accepted after the advised delay
			_, other := q.Enqueue(start, item("b", 1, time.Minute))
			is.True(other == nil) // other workspaces are not affected
		})
	}
}

func TestConcurrencySlotIsPassedOn(t *testing.T) {
	is := is.New(t)
	q := admit.NewQueue()
	q.SetSlots(10)
	q.SetLimits("a", admit.Limits{MaxConcurrent: 1})
	for range 3 {
		q.Enqueue(start, item("a", 1, time.Minute))
	}
	first := run(q, start)
	is.Equal(len(first), 1)
	q.Done(start, first[0], 0)
	q.Done(start, first[0], 0) // a second call has no effect
	is.Equal(len(run(q, start)), 1)
	is.Equal(q.State(start).Running, 1)
}

func TestRefuseWhatCannotStartInTime(t *testing.T) {
	is := is.New(t)
	q := admit.NewQueue()
	q.SetSlots(2)
	i := item("big", 1, time.Minute)
	_, _ = q.Enqueue(start, i)
	e := q.Next(start)
	q.Done(start.Add(time.Second), e, 0) // one request takes a second
	now := start.Add(time.Second)
	i.StartBy = now.Add(5 * time.Second)
	var refused []*admit.Refusal
	for range 20 {
		if _, r := q.Enqueue(now, i); r != nil {
			refused = append(refused, r)
		}
		run(q, now)
	}
	is.Equal(len(refused), 20-2-10) // two run, ten wait at most 5 s
	is.Equal(refused[0].Reason, admit.ReasonOverload)
	last := refused[0].RetryAfter
	for _, r := range refused[1:] {
		is.Equal(r.RetryAfter-last, 500*time.Millisecond) // retries are spread one slot apart
		last = r.RetryAfter
	}
	small := item("small", 1, time.Minute)
	small.StartBy = now.Add(time.Second)
	_, r := q.Enqueue(now, small)
	is.True(r == nil) // starts in time at its fair share
}

func TestRemove(t *testing.T) {
	is := is.New(t)
	q := admit.NewQueue()
	a, _ := q.Enqueue(start, item("a", 1, 1))
	b, _ := q.Enqueue(start, item("a", 1, 2))
	is.True(q.Remove(a))
	is.True(!q.Remove(a))
	q.SetSlots(2)
	is.Equal(run(q, start), []*admit.Entry{b})
	is.True(!q.Remove(b)) // already started
	is.Equal(q.State(start).Queued, 0)
}

// TestBurstDoesNotDelaySmallWorkspace guards against a large workspace delaying a small
// one: in simulated time the large one sends more than the slots can serve, and the
// small one's p95 wait must stay below the first-token target of 0.8 s.
func TestBurstDoesNotDelaySmallWorkspace(t *testing.T) {
	is := is.New(t)
	const slots, service, target = 32, 2 * time.Second, 800 * time.Millisecond
	q := admit.NewQueue()
	q.SetSlots(slots)
	q.SetLimits("large", admit.Limits{Weight: 4})
	rng := rand.New(rand.NewPCG(1, 2))
	type end struct {
		at time.Time
		e  *admit.Entry
	}
	var running []end
	var waits []time.Duration
	refused := 0
	const step = 10 * time.Millisecond
	for now := start; now.Before(start.Add(60 * time.Second)); now = now.Add(step) {
		running = slices.DeleteFunc(running, func(r end) bool {
			if r.at.After(now) {
				return false
			}
			q.Done(now, r.e, 0)
			return true
		})
		enqueue := func(name string, chance float64) {
			if rng.Float64() >= chance {
				return
			}
			i := admit.Item{Workspace: name, Deadline: now.Add(30 * time.Second), StartBy: now.Add(28 * time.Second)}
			if _, r := q.Enqueue(now, i); r != nil && name == "small" {
				refused++
			}
		}
		enqueue("large", 0.4) // 40 requests per second against a capacity of 16
		enqueue("small", 0.02)
		for _, e := range run(q, now) {
			if e.Workspace == "small" {
				waits = append(waits, e.WaitTime())
			}
			serviceTime := time.Duration((0.5 + rng.Float64()) * float64(service))
			running = append(running, end{now.Add(serviceTime), e})
		}
	}
	slices.Sort(waits)
	is.Equal(refused, 0)
	is.True(len(waits) > 100)
	is.True(waits[len(waits)*95/100] < target) // p95 wait of the small workspace
}

// BenchmarkPushPop measures one arrival, start and end of a request with 1,000
// workspaces that all have requests waiting. The naive variant scans all workspaces.
func BenchmarkPushPop(b *testing.B) {
	const workspaces = 1000
	names := make([]string, workspaces)
	q := admit.NewQueue()
	q.SetSlots(1)
	for i := range names {
		names[i] = fmt.Sprintf("workspace-%d", i)
		for range 2 {
			q.Enqueue(start, item(names[i], 1, time.Minute))
		}
	}
	b.Run("queue", func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			it := admit.Item{Workspace: names[i%workspaces], Priority: 1, Deadline: start, StartBy: start.Add(time.Hour)}
			q.Enqueue(start, it)
			q.Done(start, q.Next(start), 0)
		}
	})
	b.Run("naive", func(b *testing.B) {
		b.ReportAllocs()
		type row struct {
			at    float64
			items []admit.Item
		}
		rows := map[string]*row{}
		for _, n := range names {
			rows[n] = &row{items: make([]admit.Item, 2, 8)}
		}
		for i := range b.N {
			w := rows[names[i%workspaces]]
			w.items = append(w.items, admit.Item{Workspace: names[i%workspaces]})
			var best *row
			for _, r := range rows {
				if len(r.items) > 0 && (best == nil || r.at < best.at) {
					best = r
				}
			}
			best.at++
			best.items = best.items[:len(best.items)-1]
		}
	})
}

// TestQueueIsBounded: the bound holds for requests without a latest start, too.
func TestQueueIsBounded(t *testing.T) {
	is := is.New(t)
	q := admit.NewQueue()
	refused := 0
	for range 21_000 {
		_, r := q.Enqueue(start, item("w", 1, time.Hour))
		if r != nil {
			is.Equal(r.Reason, admit.ReasonOverload)
			is.True(r.RetryAfter > 0)
			refused++
		}
	}
	is.Equal(refused, 1_000)
	is.Equal(q.State(start).Queued, 20_000)
}
