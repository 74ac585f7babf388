package attempt_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/attempt"
	"github.com/cicadanotch/cicadanotch/port"
)

var start = time.Unix(1_800_000_000, 0)

type end struct {
	result   attempt.Result
	endpoint string
	next     int
}

func TestPlan(t *testing.T) {
	broken, lost := attempt.ResultBroken, attempt.ResultLost
	for name, tc := range map[string]struct {
		once     bool
		deadline time.Duration
		ends     []end
		want     attempt.Action
		reason   attempt.Stop
		free     bool
	}{
		"whole":                       {ends: []end{{attempt.ResultWhole, "a", 9}}, want: attempt.ActionStop, free: true},
		"invalid is not repeated":     {ends: []end{{attempt.ResultInvalid, "a", 0}}, want: attempt.ActionStop, reason: attempt.StopInvalid, free: true},
		"broken: same endpoint first": {ends: []end{{broken, "a", 3}}, want: attempt.ActionSame},
		"broken twice: elsewhere":     {ends: []end{{broken, "a", 3}, {broken, "a", 3}}, want: attempt.ActionElsewhere},
		"progress between: same":      {ends: []end{{broken, "a", 3}, {broken, "a", 5}}, want: attempt.ActionSame},
		"silent: same endpoint":       {ends: []end{{attempt.ResultSilent, "a", 3}}, want: attempt.ActionSame},
		"gap: same endpoint":          {ends: []end{{attempt.ResultGap, "a", 3}}, want: attempt.ActionSame},
		"lost: elsewhere":             {ends: []end{{lost, "a", 3}}, want: attempt.ActionElsewhere},
		"moved takes no budget":       {ends: []end{{attempt.ResultMoved, "a", 3}}, want: attempt.ActionElsewhere, free: true},
		"no progress: given up": {
			ends: []end{{lost, "a", 0}, {lost, "b", 0}, {lost, "c", 0}, {lost, "d", 0}, {lost, "e", 0}},
			want: attempt.ActionStop, reason: attempt.StopAttempts, free: true,
		},
		"progress: goes on": {
			ends: []end{{lost, "a", 1}, {lost, "b", 2}, {lost, "c", 3}, {lost, "d", 4}, {lost, "e", 5}},
			want: attempt.ActionElsewhere,
		},
		"not sent: goes on": {
			ends: []end{{attempt.ResultRefused, "a", 0}, {attempt.ResultRefused, "b", 0}, {attempt.ResultUnreachable, "c", 0}, {attempt.ResultRefused, "d", 0}, {attempt.ResultRefused, "e", 0}},
			want: attempt.ActionElsewhere,
		},
		"deadline":                       {deadline: time.Nanosecond, ends: []end{{lost, "a", 0}, {lost, "b", 0}}, want: attempt.ActionStop, reason: attempt.StopDeadline, free: true},
		"once: unreachable goes on":      {once: true, ends: []end{{attempt.ResultUnreachable, "a", 0}}, want: attempt.ActionElsewhere},
		"once: refused goes on":          {once: true, ends: []end{{attempt.ResultRefused, "a", 0}}, want: attempt.ActionElsewhere},
		"once: broken ends":              {once: true, ends: []end{{broken, "a", 0}}, want: attempt.ActionStop, reason: attempt.StopOnlyOnce, free: true},
		"once: lost ends":                {once: true, ends: []end{{lost, "a", 0}}, want: attempt.ActionStop, reason: attempt.StopOnlyOnce, free: true},
		"once: silent ends":              {once: true, ends: []end{{attempt.ResultSilent, "a", 0}}, want: attempt.ActionStop, reason: attempt.StopOnlyOnce, free: true},
		"once: moved after sending ends": {once: true, ends: []end{{attempt.ResultMoved, "a", 0}}, want: attempt.ActionStop, reason: attempt.StopOnlyOnce, free: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			deadline := start.Add(time.Minute)
			if tc.deadline > 0 {
				deadline = start.Add(tc.deadline)
			}
			p := attempt.NewPlan(!tc.once, deadline)
			var step attempt.Step
			for _, e := range tc.ends {
				step = p.After(start, e.result, e.endpoint, e.next)
			}
			is.Equal(step.Action, tc.want)
			is.Equal(step.Reason, tc.reason)
			is.Equal(step.Budgeted, !tc.free)
			last := tc.ends[len(tc.ends)-1].endpoint
			if step.Action != attempt.ActionStop {
				is.Equal(p.Tried()[last], step.Action == attempt.ActionElsewhere)
			}
		})
	}
}

func TestPlanWithoutEndpoints(t *testing.T) {
	is := is.New(t)
	p := attempt.NewPlan(true, start.Add(10*time.Second))
	p.After(start, attempt.ResultRefused, "a", 0)
	now := start
	rounds := 0
	var step attempt.Step
	for step.Action != attempt.ActionStop {
		step = p.NoEndpoint(now)
		is.Equal(len(p.Tried()), 0) // a may be tried again
		now = now.Add(step.Wait)
		rounds++
	}
	is.Equal(step.Reason, attempt.StopUnavailable)
	is.True(now.Before(start.Add(10 * time.Second))) // given up before the deadline, not after
	is.True(rounds < 30)                             // the delay grows
}

func TestSequencer(t *testing.T) {
	is := is.New(t)
	s := attempt.NewSequencer(0)
	s.Begin("one")
	for i, row := range []struct {
		begin string
		chunk port.Chunk
		want  attempt.Verdict
	}{
		{"", port.Chunk{AttemptID: "one", Index: 0}, attempt.VerdictAccept},
		{"", port.Chunk{AttemptID: "one", Index: 0}, attempt.VerdictRepeated},
		{"", port.Chunk{AttemptID: "else", Index: 1}, attempt.VerdictForeign},
		{"", port.Chunk{AttemptID: "one", Index: 2}, attempt.VerdictGap},
		{"", port.Chunk{AttemptID: "one", Index: 2, FinishReason: "stop"}, attempt.VerdictGap},
		{"two", port.Chunk{AttemptID: "one", Index: 1}, attempt.VerdictLate},
		{"", port.Chunk{AttemptID: "two", Index: 1}, attempt.VerdictAccept},
		{"", port.Chunk{AttemptID: "one", Index: 2, FinishReason: "stop"}, attempt.VerdictLate},
		{"", port.Chunk{AttemptID: "", Index: 2}, attempt.VerdictForeign},
		{"", port.Chunk{AttemptID: "two", Index: 0, FinishReason: "stop"}, attempt.VerdictRepeated},
		{"", port.Chunk{AttemptID: "two", Index: 2, FinishReason: "stop"}, attempt.VerdictFinish},
	} {
		if row.begin != "" {
			s.Begin(row.begin)
		}
		if got := s.Take(&row.chunk); got != row.want {
			t.Errorf("row %d: got %s, want %s", i, got, row.want)
		}
	}
	is.Equal(s.Next(), 2)
}

func TestBudget(t *testing.T) {
	is := is.New(t)
	b := attempt.NewBudget()
	atOnce := 0
	for b.Reserve(start) == 0 {
		atOnce++
	}
	is.Equal(atOnce, 64)
	b.Return() // the one that had to wait
	is.True(b.Reserve(start) > 0)
	b.Return()
	is.Equal(b.Reserve(start.Add(time.Second)), time.Duration(0)) // the floor's rate

	paced := attempt.NewBudget()
	now := start
	for range 1000 { // 100 fresh requests a second for 10 s, each tried again
		now = now.Add(10 * time.Millisecond)
		paced.Fresh(now)
		paced.Reserve(now)
	}
	wait := paced.Reserve(now)
	// 1,000 retries against 64 + 200 + 50 allowed: the rest is spread over
	// time at a fifth of the fresh rate and the floor.
	is.True(wait > 20*time.Second)
}
