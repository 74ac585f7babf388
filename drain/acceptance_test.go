package drain

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAcceptanceWhileStopping guards against a stopping host that accepts requests which it can't finish: it replays
// the latest requests of a route, and then the stop.
func TestAcceptanceWhileStopping(t *testing.T) {
	const (
		grace = 8 * time.Second
		ms    = time.Millisecond
	)
	stop := time.Unix(1_000_000, 0)
	repeat := func(n int, s Duration) []Duration {
		out := make([]Duration, 0, n)
		for i := range n {
			s.EndedAt = stop.Add(-time.Duration(n-i) * 100 * ms)
			out = append(out, s)
		}
		return out
	}
	stream := func(first, interval time.Duration) Duration {
		return Duration{Total: first + 20*interval, FirstEvent: first, Interval: interval}
	}
	for name, tc := range map[string]struct {
		before   []Duration
		events   int
		deadline time.Duration // of the request, from when it was whole
		// last is when, after the stop began, a request is accepted for the last time; negative for never.
		last time.Duration
	}{
		"steady calls":                        {repeat(100, Duration{Total: 200 * ms}), 0, 9 * time.Second, 7700 * ms},
		"calls that take seconds":             {repeat(100, Duration{Total: 4500 * ms}), 0, 9 * time.Second, 1250 * ms},
		"calls that take too long":            {repeat(100, Duration{Total: 6 * time.Second}), 0, 10 * time.Second, -1},
		"no calls before":                     {nil, 0, 9 * time.Second, -1},
		"no calls before, they surely end":    {nil, 0, 2 * time.Second, 6 * time.Second},
		"too few calls before":                {repeat(minSamples-1, Duration{Total: 10 * ms}), 0, 9 * time.Second, -1},
		"calls of long ago":                   {repeat(2000, Duration{Total: 200 * ms})[:500], 0, 9 * time.Second, -1},
		"one long call among few":             {append(repeat(9, Duration{Total: 100 * ms}), Duration{EndedAt: stop, Total: 2 * time.Second}), 0, 9 * time.Second, 5 * time.Second},
		"one long call among many":            {append(repeat(120, Duration{Total: 100 * ms}), Duration{EndedAt: stop, Total: 2 * time.Second}), 0, 9 * time.Second, 7850 * ms},
		"a surge, calls three times as slow":  {append(repeat(100, Duration{Total: 200 * ms}), repeat(12, Duration{Total: 600 * ms})...), 0, 9 * time.Second, 7100 * ms},
		"calls that got fast again":           {append(repeat(100, Duration{Total: 3 * time.Second}), repeat(maxSamples, Duration{Total: 200 * ms})...), 0, 9 * time.Second, 7700 * ms},
		"short streams":                       {repeat(100, stream(200*ms, 50*ms)), 11, 15 * time.Second, 6200 * ms},
		"a long stream after short ones":      {repeat(100, stream(200*ms, 50*ms)), 101, 15 * time.Second, 1700 * ms},
		"a stream that never fits":            {repeat(100, stream(200*ms, 50*ms)), 201, 15 * time.Second, -1},
		"slow on-time streams":                {repeat(100, stream(250*ms, 250*ms)), 22, 12 * time.Second, 1375 * ms},
		"streams without a stated size":       {repeat(100, stream(200*ms, 50*ms)), 0, 15 * time.Second, 6200 * ms},
		"streams of one event say little":     {repeat(100, Duration{Total: 100 * ms, FirstEvent: 100 * ms}), 50, 15 * time.Second, -1},
		"a long stream with a short deadline": {repeat(100, stream(200*ms, 50*ms)), 201, 3 * time.Second, 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var d Durations
			for _, s := range tc.before {
				d.Record(s)
			}
			ends := stop.Add(grace)
			last := time.Duration(-1)
			for at := time.Duration(0); at <= grace; at += 25 * ms {
				now := stop.Add(at)
				needs, known := d.Estimate(now, tc.events, nil)
				a := Arrival{Deadline: now.Add(tc.deadline), Needs: needs, Known: known, Repeatable: true}
				if !now.After(a.LastAcceptance(now, ends)) { // a stop that has just begun, at each time
					last = at
				}
			}
			is.Equal(last, tc.last)
		})
	}
}

// TestAcceptanceIsAPromise guards against a stopping host that accepts, from what others took, what it owes a whole answer.
func TestAcceptanceIsAPromise(t *testing.T) {
	const (
		ms    = time.Millisecond
		ends  = 7750 * ms
		never = time.Duration(-1)
	)
	began := time.Unix(1_000_000, 0)
	for name, tc := range map[string]struct {
		a Arrival
		// deadline of the request and the last time at which it is accepted, since the stop began.
		deadline, last time.Duration
	}{
		"it ends before the process":                     {Arrival{}, 7700 * ms, 7700 * ms},
		"it ends with the process":                       {Arrival{Repeatable: true}, ends, ends},
		"it may end later, nothing is known":             {Arrival{Repeatable: true}, ends + ms, never},
		"it may end later, others were short":            {Arrival{Needs: 100 * ms, Known: true, Repeatable: true}, ends + ms, historyPeriod},
		"it may end later, others took seconds":          {Arrival{Needs: 6 * time.Second, Known: true, Repeatable: true}, 12 * time.Second, 1750 * ms},
		"it may not be repeated, others were short":      {Arrival{Needs: 100 * ms, Known: true}, ends + ms, never},
		"it may not be repeated and ends before":         {Arrival{Needs: 100 * ms, Known: true}, 6 * time.Second, 6 * time.Second},
		"others took longer than its deadline allows it": {Arrival{Needs: 9 * time.Second, Known: true}, 5 * time.Second, 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tc.a.Deadline = began.Add(tc.deadline)
			last := tc.a.LastAcceptance(began, began.Add(ends))
			if tc.last == never {
				is.True(last.IsZero())
				return
			}
			is.Equal(last.Sub(began), tc.last)
		})
	}
}

// TestRequestsInProgressAreEvidence guards against an estimate that ignores requests which already take longer than it.
func TestRequestsInProgressAreEvidence(t *testing.T) {
	const ms = time.Millisecond
	now := time.Unix(1_000_000, 0)
	ages := func(n int, d Duration) []Duration {
		out := make([]Duration, n)
		for i := range out {
			out[i] = d
		}
		return out
	}
	call := func(age time.Duration) Duration { return Duration{Total: age, FirstEvent: age} }
	ended := Duration{EndedAt: now, Total: 1200 * ms, FirstEvent: 200 * ms, Interval: 100 * ms}
	for name, tc := range map[string]struct {
		samples, events int
		inProgress      []Duration
		known           bool
	}{
		"none":                                    {20, 0, nil, true},
		"too few have ended":                      {minSamples - 1, 0, ages(20, call(10*ms)), false},
		"they are as long as the others":          {20, 0, ages(20, call(1700*ms)), true},
		"one is longer, of few":                   {20, 0, ages(1, call(1900*ms)), false},
		"one is longer, of many":                  {100, 0, ages(1, call(1900*ms)), true},
		"some are longer, of many":                {100, 0, ages(4, call(1900*ms)), false},
		"streams without an event":                {20, 30, ages(3, call(350*ms)), false},
		"streams whose first event is due":        {20, 30, ages(3, call(250*ms)), true},
		"streams with slow events":                {20, 30, ages(3, Duration{Total: 900 * ms, FirstEvent: 200 * ms, Interval: 160 * ms}), false},
		"streams that are as fast as the others":  {20, 30, ages(3, Duration{Total: 9000 * ms, FirstEvent: 200 * ms, Interval: 110 * ms}), true},
		"one of many streams is without an event": {100, 30, ages(1, call(5000*ms)), true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var d Durations
			for range tc.samples {
				d.Record(ended)
			}
			_, known := d.Estimate(now, tc.events, tc.inProgress)
			is.Equal(known, tc.known)
		})
	}
}

// TestLastAttempt guards against further attempts that are not made though they would end in time, and against those of
// requests that a stopping host has not accepted by what earlier ones took.
func TestLastAttempt(t *testing.T) {
	const (
		ms    = time.Millisecond
		ends  = 7750 * ms
		never = time.Duration(-1)
	)
	began := time.Unix(1_000_000, 0)
	for name, tc := range map[string]struct {
		a Arrival
		// readAt, deadline and last are since the stop began.
		readAt, deadline, last time.Duration
	}{
		"read before the stop":              {Arrival{Needs: 100 * ms, Known: true, Repeatable: true}, -ms, 12 * time.Second, 7650 * ms},
		"read early":                        {Arrival{Needs: 100 * ms, Known: true, Repeatable: true}, historyPeriod, 12 * time.Second, 7650 * ms},
		"read late":                         {Arrival{Needs: 100 * ms, Known: true, Repeatable: true}, historyPeriod + ms, 12 * time.Second, historyPeriod},
		"read early, it ends before":        {Arrival{Needs: 100 * ms, Known: true, Repeatable: true}, 0, 7 * time.Second, 7 * time.Second},
		"read early, nothing is known":      {Arrival{Repeatable: true}, 0, 12 * time.Second, never},
		"read early, may not be repeated":   {Arrival{Needs: 100 * ms, Known: true}, 0, 12 * time.Second, never},
		"read early, it would end too late": {Arrival{Needs: 9 * time.Second, Known: true, Repeatable: true}, 0, 12 * time.Second, ends - 9*time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tc.a.Deadline = began.Add(tc.deadline)
			last := tc.a.LastAttempt(began.Add(tc.readAt), began, began.Add(ends))
			if tc.last == never {
				is.True(last.IsZero())
				return
			}
			is.Equal(last.Sub(began), tc.last)
		})
	}
}
