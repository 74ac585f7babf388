package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_800_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func ready(id string, born int64) Endpoint {
	return Endpoint{ID: id, Service: "llm", Address: "10.0.0.1:80", Zone: "a", State: StateReady, Born: born}
}

func draining(id string, born int64) Endpoint {
	e := ready(id, born)
	e.State = StateDraining
	return e
}

// step is one update of the table.
type step func(*Table)

func upsert(d time.Duration, e Endpoint) step { return func(t *Table) { t.Upsert(at(d), e) } }
func remove(d time.Duration, id string) step {
	return func(t *Table) { t.Remove(at(d), id) }
}
func returned(d time.Duration) step { return func(t *Table) { t.RegistryReturned(at(d)) } }
func expire(d time.Duration) step   { return func(t *Table) { t.Expire(at(d)) } }
func replace(d time.Duration, all ...Endpoint) step {
	return func(t *Table) { t.Replace(at(d), all) }
}

func leaving(d time.Duration, id string) step { return func(t *Table) { t.Leaving(at(d), id) } }
func pause(d time.Duration, id string, length time.Duration) step {
	return func(t *Table) { t.Pause(at(d), id, length) }
}

func TestUsable(t *testing.T) {
	const recovery = 2 * time.Second
	for name, tc := range map[string]struct {
		steps  []step
		usable bool
	}{
		"listed":                                {[]step{upsert(0, ready("x", 1))}, true},
		"draining":                              {[]step{upsert(0, ready("x", 1)), upsert(1, draining("x", 1))}, false},
		"an older entry after draining":         {[]step{upsert(0, draining("x", 1)), upsert(1, ready("x", 1))}, false},
		"a later incarnation":                   {[]step{upsert(0, draining("x", 1)), upsert(1, ready("x", 2))}, true},
		"removed while draining, older entry":   {[]step{upsert(0, draining("x", 1)), remove(1, "x"), upsert(2, ready("x", 1))}, false},
		"removed":                               {[]step{upsert(0, ready("x", 1)), remove(1, "x")}, false},
		"removed, then listed again":            {[]step{upsert(0, ready("x", 1)), remove(1, "x"), upsert(2, ready("x", 1))}, true},
		"expired in an outage":                  {[]step{upsert(0, ready("x", 1)), returned(time.Second), remove(time.Second, "x")}, true},
		"expired and listed again":              {[]step{upsert(0, ready("x", 1)), returned(time.Second), remove(time.Second, "x"), upsert(2*time.Second, ready("x", 1)), expire(9 * time.Second)}, true},
		"expired and not listed again in time":  {[]step{upsert(0, ready("x", 1)), returned(time.Second), remove(time.Second, "x"), expire(3 * time.Second)}, false},
		"removed long after the recovery":       {[]step{upsert(0, ready("x", 1)), returned(time.Second), remove(4*time.Second, "x")}, false},
		"missing from a complete listing":       {[]step{upsert(0, ready("x", 1)), replace(time.Second, ready("y", 1))}, false},
		"missing during the recovery":           {[]step{upsert(0, ready("x", 1)), returned(time.Second), replace(time.Second, ready("y", 1))}, true},
		"announced leaving":                     {[]step{upsert(0, ready("x", 1)), leaving(1, "x")}, false},
		"announced leaving, listed as ready":    {[]step{upsert(0, ready("x", 1)), leaving(1, "x"), upsert(2, ready("x", 1))}, false},
		"announced leaving, removed, listed":    {[]step{upsert(0, ready("x", 1)), leaving(1, "x"), remove(2, "x"), upsert(3, ready("x", 1))}, false},
		"announced leaving, later incarnation":  {[]step{upsert(0, ready("x", 1)), leaving(1, "x"), upsert(2, ready("x", 2))}, true},
		"paused":                                {[]step{upsert(0, ready("x", 1)), pause(-time.Second, "x", 2*time.Second)}, false},
		"paused, listed again":                  {[]step{upsert(0, ready("x", 1)), pause(-time.Second, "x", 2*time.Second), upsert(0, ready("x", 2))}, false},
		"paused, then for less":                 {[]step{upsert(0, ready("x", 1)), pause(-time.Second, "x", 2*time.Second), pause(-time.Second, "x", time.Millisecond)}, false},
		"paused in the past":                    {[]step{upsert(0, ready("x", 1)), pause(-2*time.Second, "x", 2*time.Second)}, true},
		"draining, missing during the recovery": {[]step{upsert(0, draining("x", 1)), returned(time.Second), replace(time.Second)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable(recovery)
			for _, s := range tc.steps {
				s(table)
			}
			found := false
			for _, v := range table.Usable(at(0), "llm") {
				found = found || v.ID == "x"
			}
			is.New(t).Equal(found, tc.usable)
		})
	}
}

func TestLeavesAtKeepsTheEarliest(t *testing.T) {
	is := is.New(t)
	table := NewTable(time.Second)
	e := draining("x", 1)
	e.Leaves, e.Leaving = 2*time.Second, true
	table.Upsert(at(0), e)
	e.Leaves = 5 * time.Second
	table.Upsert(at(time.Second), e)
	v, ok := table.Get("x")
	is.True(ok)
	is.Equal(v.LeavesAt, at(2*time.Second))
}

// TestSuspicion guards against requests that are sent again and again to an endpoint
// that has crashed or become unresponsive: it is suspect for longer after each
// consecutive failure, until it answers.
func TestSuspicion(t *testing.T) {
	is := is.New(t)
	table := NewTable(time.Second)
	table.Upsert(at(0), ready("x", 1))
	is.Equal(table.Failed(at(0), "x"), minSuspectTime)
	is.True(table.Failed(at(time.Millisecond), "x") < minSuspectTime) // the rest of the same time
	is.Equal(table.Failed(at(time.Second), "x"), 2*minSuspectTime)
	for i := range 20 {
		is.True(table.Failed(at(time.Duration(i+2)*time.Minute), "x") <= maxSuspectTime)
	}
	table.Answered(at(time.Hour), "x", false)
	is.Equal(table.Failed(at(2*time.Hour), "x"), minSuspectTime)
	is.Equal(table.Failed(at(0), "unknown"), time.Duration(0))
}

// TestFailureShare guards against an endpoint that fails a fraction of its requests while
// its entry says ready: the share rises with the failures and decays after they end.
func TestFailureShare(t *testing.T) {
	is := is.New(t)
	table := NewTable(time.Second)
	table.Upsert(at(0), ready("x", 1))
	is.Equal(table.FailureShare(at(0), "x"), 0.0)
	for i := range 20 {
		table.Answered(at(time.Duration(i)*50*time.Millisecond), "x", i%2 == 0)
	}
	share := table.FailureShare(at(time.Second), "x")
	is.True(share > 0.3 && share < 0.5)
	is.Equal(table.FailureShare(at(time.Minute), "x"), 0.0)
}
