package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
)

func TestDecide(t *testing.T) {
	first := requestState{SentAttempts: 1, MaxAttempts: 2, Remaining: time.Second}
	with := func(change func(*requestState)) requestState {
		s := first
		change(&s)
		return s
	}
	idempotent := with(func(s *requestState) { s.Idempotent = true })
	resumable := with(func(s *requestState) { s.Resumable = true })
	started := with(func(s *requestState) { s.Resumable, s.Started = true, true })
	for name, tc := range map[string]struct {
		outcome outcome
		s       requestState
		budget  bool
		want    step
	}{
		"complete":            {outcomeComplete, first, true, stepDone},
		"caller disconnected": {outcomeCanceled, idempotent, true, stepStop},
		"deadline passed":     {outcomeExpired, idempotent, true, stepExpire},
		"process ends":        {outcomeProcessEnds, idempotent, true, stepEnd},
		"moved, budget spent": {outcomeMoved, started, false, stepResume},
		"unsent non-idempotent request is retried":   {outcomeUnsent, first, false, stepRetry},
		"unsent too often":                           {outcomeUnsent, with(func(s *requestState) { s.UnsentAttempts = maxUnsentAttempts }), true, stepRefuse},
		"unsent, no time":                            {outcomeUnsent, with(func(s *requestState) { s.Remaining = 0 }), true, stepRefuse},
		"unsent while a stream is resumed":           {outcomeUnsent, started, true, stepResume},
		"unsent too often while a stream is resumed": {outcomeUnsent, with(func(s *requestState) { s.Started, s.UnsentAttempts = true, maxUnsentAttempts }), true, stepFail},
		"declined non-idempotent request is retried": {outcomeDeclined, first, true, stepRetry},
		"a moved stream whose target is unreachable": {outcomeUnsent, with(func(s *requestState) { s.Started, s.MayHaveRun = true, true }), true, stepFail},
		"a moved stream whose copy is gone":          {outcomeDeclined, with(func(s *requestState) { s.Started, s.MayHaveRun = true, true }), true, stepFail},
		"declined after a lost attempt":              {outcomeDeclined, with(func(s *requestState) { s.MayHaveRun = true }), true, stepFail},
		"declined, budget spent":                     {outcomeDeclined, first, false, stepRefuse},
		"declined, attempts spent":                   {outcomeDeclined, with(func(s *requestState) { s.SentAttempts = 2 }), true, stepRefuse},
		"broken non-idempotent request":              {outcomeBroken, first, true, stepFail},
		"unresponsive, non-idempotent request":       {outcomeUnresponsive, first, true, stepFail},
		"broken idempotent call":                     {outcomeBroken, idempotent, true, stepRetry},
		"broken idempotent call, partly forwarded":   {outcomeBroken, with(func(s *requestState) { s.Idempotent, s.Started = true, true }), true, stepFail},
		"broken idempotent call, budget spent":       {outcomeBroken, idempotent, false, stepFail},
		"broken resumable stream before its start":   {outcomeBroken, resumable, true, stepRetry},
		"broken resumable stream":                    {outcomeBroken, started, true, stepResume},
		"unresponsive, resumable stream":             {outcomeUnresponsive, started, true, stepResume},
		"broken resumable stream, attempts spent":    {outcomeBroken, with(func(s *requestState) { s.Resumable, s.Started, s.SentAttempts = true, true, 2 }), true, stepFail},
		"failed non-idempotent request is forwarded": {outcomeFailed, first, true, stepForwardFailure},
		"failed resumable stream is forwarded":       {outcomeFailed, resumable, true, stepForwardFailure},
		"failed idempotent call":                     {outcomeFailed, idempotent, true, stepRetry},
		"failed idempotent call, budget spent":       {outcomeFailed, idempotent, false, stepForwardFailure},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(decide(tc.outcome, tc.s, func() bool { return tc.budget }), tc.want)
		})
	}
}

// TestDecideAsksBudgetLast guards against budget loss: a retry that is not made must not take from
// the budget.
func TestDecideAsksBudgetLast(t *testing.T) {
	for _, o := range []outcome{outcomeComplete, outcomeCanceled, outcomeExpired, outcomeProcessEnds, outcomeMoved, outcomeUnsent, outcomeDeclined, outcomeBroken, outcomeUnresponsive, outcomeFailed} {
		decide(o, requestState{Idempotent: true, SentAttempts: 2, MaxAttempts: 2, Remaining: time.Second}, func() bool {
			t.Errorf("%s: took a retry from the budget with no attempt left", o)
			return true
		})
	}
}

func TestEvents(t *testing.T) {
	const two = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for name, tc := range map[string]struct {
		in        string
		complete  int
		lastKnown string
		out       string
		last      string
		garbage   bool
	}{
		"complete events":               {two, len(two), "", two, "2", false},
		"half an event":                 {two + "id: 3\nda", len(two), "", two, "2", false},
		"half the first":                {"id: 1\nda", 0, "", "", "", false},
		"carriage returns":              {"id: 1\r\ndata: a\r\n\r\n", 18, "", "id: 1\r\ndata: a\r\n\r\n", "1", false},
		"one line of an event with LF":  {"id: 1\r\ndata: a\n\r\n", 17, "", "id: 1\r\ndata: a\n\r\n", "1", false},
		"an event already forwarded":    {two, len(two), "1", "id: 2\ndata: b\n\n", "2", false},
		"only events already forwarded": {two, len(two), "7", "", "7", false},
		"one among others":              {two + "id: 2\ndata: b\n\n: x\nid: 3\ndata: c\n\n", len(two) + 34, "", two + ": x\nid: 3\ndata: c\n\n", "3", false},
		"an id that goes back":          {two + "id: 1\ndata: a\n\n: x\nid: 3\ndata: c\n\n", len(two), "", two, "2", true},
		"one below that known":          {two + "id: 1\ndata: a\n\nid: 8\n\n", len(two), "7", "", "7", true},
		"ids are numbers, not text":     {"id: 10\ndata: a\n\n", 16, "9", "id: 10\ndata: a\n\n", "10", false},
		"ids of any length":             {"id: 18446744073709551616\n\n", 26, "18446744073709551615", "id: 18446744073709551616\n\n", "18446744073709551616", false},
		"zeros before an id":            {"id: 010\n\nid: 09\n\n", 9, "0009", "id: 010\n\n", "010", true},
		"zeros before the same id":      {"id: 010\n\nid: 10\n\n", 17, "0009", "id: 010\n\n", "010", false},
		"zero again":                    {"id: 0\n\n", 7, "0", "", "0", false},
		"no ids":                        {"data: a\n\n", 0, "", "", "", true},
		"an event, then one without id": {two + "data: a\n\n", len(two), "", two, "2", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var splitter eventSplitter
			found, err := splitter.add([]byte(tc.in))
			is.Equal(err != nil, tc.garbage)
			is.True(err == nil || errors.Is(err, port.ErrGarbage) && errors.Is(err, port.ErrBroken))
			is.Equal(len(joinEvents(found)), tc.complete)
			c := &call{lastID: []byte(tc.lastKnown)}
			if len(found) > 0 {
				is.Equal(string(c.dropDuplicates(found)), tc.out)
			}
			is.Equal(string(c.lastID), tc.last)
		})
	}
}
