package publish_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/publish"
	"github.com/cicadanotch/cicadanotch/standin"
)

const serviceName = "assistant-llm"

func document(priority int) string {
	return fmt.Sprintf(`{"schema": 1, "service": %q, "kind": "model",
		"models": [{"name": "a", "version": "1"}],
		"placement": {"availability_zones": ["jos-a"], "machine_classes": ["l4"]},
		"latency": {"request_timeout": "30s"}, "priority": %d,
		"workspaces": [{"name": "bokkos", "weight": 1}]}`, serviceName, priority)
}

// TestPublishFaults guards against documents that are published twice or reported
// with a wrong outcome when appends or reads of the log fail.
func TestPublishFaults(t *testing.T) {
	for name, tc := range map[string]struct {
		faults  []standin.Fault
		limit   time.Duration
		want    error
		appends int
	}{
		"no fault":                  {limit: time.Minute, appends: 1},
		"reply lost":                {faults: []standin.Fault{{Point: standin.PointAppend, Action: standin.ActionLoseReply, ToCall: 1}}, limit: time.Minute, appends: 1},
		"append takes effect twice": {faults: []standin.Fault{{Point: standin.PointAppend, Action: standin.ActionRepeat}}, limit: time.Minute, appends: 2},
		"appends fail at first":     {faults: []standin.Fault{{Point: standin.PointAppend, Action: standin.ActionFail, ToCall: 2}}, limit: time.Minute, appends: 1},
		"rate limited":              {faults: []standin.Fault{{Point: standin.PointAppend, Action: standin.ActionRefuse, ToCall: 3}}, limit: time.Minute, appends: 1},
		"always rate limited":       {faults: []standin.Fault{{Point: standin.PointAppend, Action: standin.ActionRefuse}}, limit: time.Second, want: publish.ErrNotAppended},
		"never readable":            {faults: []standin.Fault{{Point: standin.PointRead, Action: standin.ActionFail}}, limit: time.Second, want: publish.ErrNotAppended},
		"reads fail for a while":    {faults: []standin.Fault{{Point: standin.PointRead, Action: standin.ActionFail, FromCall: 3, ToCall: 6}}, limit: time.Minute, appends: 1},
		"appends always fail":       {faults: []standin.Fault{{Point: standin.PointAppend, Action: standin.ActionFail}}, limit: time.Second, want: publish.ErrUncertain},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				log := standin.NewLog(standin.LogOptions{Faults: standin.NewFaults(tc.faults...)})
				ctx, cancel := context.WithTimeout(t.Context(), tc.limit)
				defer cancel()
				revision, err := publish.Publish(ctx, log, serviceName, 0, document(1))
				is.True(errors.Is(err, tc.want))
				appends, _ := log.Counts()
				is.Equal(appends, tc.appends)
				if tc.want == nil {
					is.Equal(revision, int64(1))
				}
			})
		})
	}
}

// TestRacingOperators guards against more than one of several concurrent changes of
// the same revision being accepted.
func TestRacingOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := standin.NewLog(standin.LogOptions{})
		const operators = 8
		revisions := make([]int64, operators)
		errs := make([]error, operators)
		var wg sync.WaitGroup
		for i := range operators {
			wg.Go(func() { revisions[i], errs[i] = publish.Publish(t.Context(), log, serviceName, 0, document(i)) })
		}
		wg.Wait()
		current, err := publish.Get(t.Context(), log, serviceName)
		is.NoErr(err)
		accepted := 0
		for i := range operators {
			var conflict *publish.Conflict
			if errors.As(errs[i], &conflict) {
				is.Equal(conflict.Accepted, current.Offset)
				continue
			}
			is.NoErr(errs[i])
			is.Equal(revisions[i], current.Offset)
			accepted++
		}
		is.Equal(accepted, 1)
	})
}

// TestPublishRefuses guards against an append of a document that is known to be
// rejected.
func TestPublishRefuses(t *testing.T) {
	is := is.New(t)
	log := standin.NewLog(standin.LogOptions{})
	_, err := publish.Publish(t.Context(), log, serviceName, 0, `{"schema": 2}`)
	is.True(errors.Is(err, publish.ErrInvalid))
	_, err = publish.Publish(t.Context(), log, "other", 0, document(1))
	is.True(errors.Is(err, publish.ErrInvalid))
	_, err = publish.Get(t.Context(), log, serviceName)
	is.True(errors.Is(err, publish.ErrNotFound))
	var conflict *publish.Conflict
	_, err = publish.Publish(t.Context(), log, serviceName, 7, document(1))
	is.True(errors.As(err, &conflict))
	appends, _ := log.Counts()
	is.Equal(appends, 0)
}
