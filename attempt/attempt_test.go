package attempt_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/attempt"
	"github.com/cicadanotch/cicadanotch/port"
)

var start = time.Unix(1_800_000_000, 0)

type outcome struct {
	result   attempt.Result
	endpoint string
	next     int
}

func TestPlan(t *testing.T) {
	broken, lost := attempt.ResultBroken, attempt.ResultLost
	for name, tc := range map[string]struct {
		nonRepeatable bool
		deadline      time.Duration
		outcomes      []outcome
		want          attempt.Action
		reason        attempt.Stop
		unbudgeted    bool
	}{
		"completed":                          {outcomes: []outcome{{attempt.ResultComplete, "a", 9}}, want: attempt.ActionStop, unbudgeted: true},
		"invalid: not retried":               {outcomes: []outcome{{attempt.ResultInvalid, "a", 0}}, want: attempt.ActionStop, reason: attempt.StopInvalid, unbudgeted: true},
		"broken: same endpoint first":        {outcomes: []outcome{{broken, "a", 3}}, want: attempt.ActionRetrySame},
		"broken twice: other endpoint":       {outcomes: []outcome{{broken, "a", 3}, {broken, "a", 3}}, want: attempt.ActionRetryOther},
		"progress in between: same endpoint": {outcomes: []outcome{{broken, "a", 3}, {broken, "a", 5}}, want: attempt.ActionRetrySame},
		"stalled: same endpoint":             {outcomes: []outcome{{attempt.ResultStalled, "a", 3}}, want: attempt.ActionRetrySame},
		"gap: same endpoint":                 {outcomes: []outcome{{attempt.ResultGap, "a", 3}}, want: attempt.ActionRetrySame},
		"lost: other endpoint":               {outcomes: []outcome{{lost, "a", 3}}, want: attempt.ActionRetryOther},
		"moved: not budgeted":                {outcomes: []outcome{{attempt.ResultMoved, "a", 3}}, want: attempt.ActionRetryOther, unbudgeted: true},
		"no progress: stops": {
			outcomes: []outcome{{lost, "a", 0}, {lost, "b", 0}, {lost, "c", 0}, {lost, "d", 0}, {lost, "e", 0}},
			want:     attempt.ActionStop, reason: attempt.StopAttempts, unbudgeted: true,
		},
		"progress: continues": {
			outcomes: []outcome{{lost, "a", 1}, {lost, "b", 2}, {lost, "c", 3}, {lost, "d", 4}, {lost, "e", 5}},
			want:     attempt.ActionRetryOther,
		},
		"not run: continues": {
			outcomes: []outcome{{attempt.ResultRefused, "a", 0}, {attempt.ResultRefused, "b", 0}, {attempt.ResultUnreachable, "c", 0}, {attempt.ResultRefused, "d", 0}, {attempt.ResultRefused, "e", 0}},
			want:     attempt.ActionRetryOther,
		},
		"deadline":                                  {deadline: time.Nanosecond, outcomes: []outcome{{lost, "a", 0}, {lost, "b", 0}}, want: attempt.ActionStop, reason: attempt.StopDeadline, unbudgeted: true},
		"non-repeatable: unreachable continues":     {nonRepeatable: true, outcomes: []outcome{{attempt.ResultUnreachable, "a", 0}}, want: attempt.ActionRetryOther},
		"non-repeatable: refused continues":         {nonRepeatable: true, outcomes: []outcome{{attempt.ResultRefused, "a", 0}}, want: attempt.ActionRetryOther},
		"non-repeatable: broken stops":              {nonRepeatable: true, outcomes: []outcome{{broken, "a", 0}}, want: attempt.ActionStop, reason: attempt.StopNotRepeatable, unbudgeted: true},
		"non-repeatable: lost stops":                {nonRepeatable: true, outcomes: []outcome{{lost, "a", 0}}, want: attempt.ActionStop, reason: attempt.StopNotRepeatable, unbudgeted: true},
		"non-repeatable: stalled stops":             {nonRepeatable: true, outcomes: []outcome{{attempt.ResultStalled, "a", 0}}, want: attempt.ActionStop, reason: attempt.StopNotRepeatable, unbudgeted: true},
		"non-repeatable: moved after sending stops": {nonRepeatable: true, outcomes: []outcome{{attempt.ResultMoved, "a", 0}}, want: attempt.ActionStop, reason: attempt.StopNotRepeatable, unbudgeted: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			deadline := start.Add(time.Minute)
			if tc.deadline > 0 {
				deadline = start.Add(tc.deadline)
			}
			p := attempt.NewPlan(!tc.nonRepeatable, deadline)
			var step attempt.Step
			for _, o := range tc.outcomes {
				step = p.AfterAttempt(start, o.result, o.endpoint, o.next)
			}
			is.Equal(step.Action, tc.want)
			is.Equal(step.Reason, tc.reason)
			is.Equal(step.Budgeted, !tc.unbudgeted)
			last := tc.outcomes[len(tc.outcomes)-1].endpoint
			if step.Action != attempt.ActionStop {
				is.Equal(p.Excluded()[last], step.Action == attempt.ActionRetryOther)
			}
		})
	}
}

func TestPlanWithoutEndpoints(t *testing.T) {
	is := is.New(t)
	p := attempt.NewPlan(true, start.Add(10*time.Second))
	p.AfterAttempt(start, attempt.ResultRefused, "a", 0)
	now := start
	rounds := 0
	var step attempt.Step
	for step.Action != attempt.ActionStop {
		step = p.NoEndpoint(now)
		is.Equal(len(p.Excluded()), 0) // endpoint a may be tried again
		now = now.Add(step.Wait)
		rounds++
	}
	is.Equal(step.Reason, attempt.StopUnavailable)
	is.True(now.Before(start.Add(10 * time.Second))) // stops before the deadline
	is.True(rounds < 30)                             // the backoff grows
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
		{"", port.Chunk{AttemptID: "one", Index: 0}, attempt.VerdictDuplicate},
		{"", port.Chunk{AttemptID: "else", Index: 1}, attempt.VerdictUnknownAttempt},
		{"", port.Chunk{AttemptID: "one", Index: 2}, attempt.VerdictGap},
		{"", port.Chunk{AttemptID: "one", Index: 2, FinishReason: "stop"}, attempt.VerdictGap},
		{"two", port.Chunk{AttemptID: "one", Index: 1}, attempt.VerdictStale},
		{"", port.Chunk{AttemptID: "two", Index: 1}, attempt.VerdictAccept},
		{"", port.Chunk{AttemptID: "one", Index: 2, FinishReason: "stop"}, attempt.VerdictStale},
		{"", port.Chunk{AttemptID: "", Index: 2}, attempt.VerdictUnknownAttempt},
		{"", port.Chunk{AttemptID: "two", Index: 0, FinishReason: "stop"}, attempt.VerdictDuplicate},
		{"", port.Chunk{AttemptID: "two", Index: 2, FinishReason: "stop"}, attempt.VerdictFinish},
	} {
		if row.begin != "" {
			s.Begin(row.begin)
		}
		if got := s.Accept(&row.chunk); got != row.want {
			t.Errorf("row %d: got %s, want %s", i, got, row.want)
		}
	}
	is.Equal(s.Next(), 2)
}

func TestBudget(t *testing.T) {
	is := is.New(t)
	b := attempt.NewBudget()
	burst := 0
	for b.Reserve(start) == 0 {
		burst++
	}
	is.Equal(burst, 64)
	b.Return() // the reservation that had to wait
	is.True(b.Reserve(start) > 0)
	b.Return()
	is.Equal(b.Reserve(start.Add(time.Second)), time.Duration(0)) // refilled at the minimum rate

	paced := attempt.NewBudget()
	now := start
	for range 1000 { // 100 new requests per second for 10 s, each retried once
		now = now.Add(10 * time.Millisecond)
		paced.RecordRequest(now)
		paced.Reserve(now)
	}
	wait := paced.Reserve(now)
	// 1,000 retries against 64 + 200 + 50 allowed (burst, a fifth of the new requests,
	// minimum rate); the rest is paced at a fifth of the new-request rate plus the
	// minimum rate.
	is.True(wait > 20*time.Second)
}
