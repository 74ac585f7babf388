package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLimitStatements(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(s int) time.Time { return now.Add(time.Duration(s) * time.Second) }
	type statement struct {
		perSecond float64
		at        int // seconds
		changed   bool
	}
	for name, tc := range map[string]struct {
		statements []statement
		limited    bool
	}{
		"none":                             {[]statement{{0, 1, false}}, false},
		"named":                            {[]statement{{2, 1, true}}, true},
		"named again":                      {[]statement{{2, 1, true}, {2, 2, false}}, true},
		"lifted":                           {[]statement{{2, 1, true}, {0, 2, true}}, false},
		"an older one of another host":     {[]statement{{2, 5, true}, {0, 4, false}}, true},
		"lifted, then an older one":        {[]statement{{2, 1, true}, {0, 5, true}, {2, 4, false}}, false},
		"lifted, then named anew":          {[]statement{{2, 1, true}, {0, 5, true}, {1, 6, true}}, true},
		"the same moment from two sources": {[]statement{{2, 1, true}, {1, 1, false}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := NewTable(2 * time.Second)
			table.Upsert(now, Endpoint{ID: "e", State: StateReady, Born: 1})
			for _, s := range tc.statements {
				is.Equal(table.State("e", LimitStatement{s.perSecond, at(s.at)}, true), s.changed)
			}
			is.Equal(!table.WithinLimit(at(10), "e"), tc.limited) // no part of the limit is given yet
		})
	}
}

func TestLimitIsTakenAtIntervals(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := NewTable(2 * time.Second)
	for _, id := range []string{"mine", "others"} {
		table.Upsert(now, Endpoint{ID: id, State: StateReady, Born: 1})
		table.State(id, LimitStatement{4, now}, true)
	}
	table.DivideLimits(now, func(id string, perSecond float64) time.Duration {
		if id == "others" {
			return 0
		}
		return time.Duration(float64(time.Second) / perSecond)
	})
	views := table.All()
	is.True(table.TakeFromLimit(now, "mine"))
	table.ReturnToLimit(now, "mine")
	is.True(table.TakeFromLimit(now, "mine"))
	is.True(!table.TakeFromLimit(now.Add(249*time.Millisecond), "mine"))
	is.Equal(table.NextWithinLimit(now.Add(50*time.Millisecond), views), 200*time.Millisecond)
	is.True(table.TakeFromLimit(now.Add(250*time.Millisecond), "mine"))
	is.True(!table.TakeFromLimit(now.Add(time.Hour), "others"))
	table.Upsert(now, Endpoint{ID: "others", State: StateReady, Born: 2}) // a new process has named none
	is.True(table.TakeFromLimit(now, "others"))
}

func TestLiftedLimitsAreForgotten(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := NewTable(2 * time.Second)
	table.Upsert(now, Endpoint{ID: "e", State: StateReady, Born: 1})
	table.State("e", LimitStatement{4, now}, true)
	table.State("e", LimitStatement{0, now.Add(time.Second)}, true)
	none := func(string, float64) time.Duration { return 0 }
	table.DivideLimits(now.Add(2*time.Second), none)
	is.Equal(len(table.HeardLimits()), 1) // told to the other hosts
	table.DivideLimits(now.Add(2*time.Second+liftedMemory), none)
	is.Equal(len(table.HeardLimits()), 0)
}
