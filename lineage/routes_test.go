package lineage

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/catalog"
)

// routed returns a configuration of which one resumable route leads to services with the given weights.
func routed(version int64, weights map[string]float64) *catalog.Snapshot {
	r := catalog.Route{Host: "x", PathPrefix: "/chat/", Resumable: true}
	for _, service := range []string{"one", "two"} {
		if weights[service] > 0 {
			r.Services = append(r.Services, catalog.WeightedService{Service: service, Weight: weights[service]})
		}
	}
	return (&catalog.Snapshot{Version: version, Routes: []catalog.Route{r}}).BuildIndexes()
}

func TestServicesThatMayHaveBegunAStream(t *testing.T) {
	one, two, split := map[string]float64{"one": 1}, map[string]float64{"two": 1}, map[string]float64{"one": 1, "two": 1}
	after := func(d time.Duration) time.Time { return start.Add(d) }
	for name, tc := range map[string]struct {
		play     func(r *Routes) *catalog.Snapshot
		stream   string
		services []string
		complete bool
	}{
		"one service": {func(r *Routes) *catalog.Snapshot {
			r.NobodyBefore()
			s := routed(1, one)
			r.Replaced(start, nil, s)
			return s
		}, "s", []string{"one"}, true},
		"the request that began it is not known": {func(r *Routes) *catalog.Snapshot {
			r.NobodyBefore()
			s := routed(1, split)
			r.Replaced(start, nil, s)
			return s
		}, "", []string{"one", "two"}, true},
		"led elsewhere before": {func(r *Routes) *catalog.Snapshot {
			r.NobodyBefore()
			a, b := routed(1, one), routed(2, two)
			r.Replaced(start, nil, a)
			r.Replaced(after(50*time.Second), a, b)
			return b
		}, "s", []string{"one", "two"}, true},
		"led elsewhere long ago": {func(r *Routes) *catalog.Snapshot {
			r.NobodyBefore()
			a, b := routed(1, one), routed(2, two)
			r.Replaced(start, nil, a)
			r.Replaced(after(10*time.Second), a, b)
			return b
		}, "s", []string{"two"}, true},
		"what was in force before is not known": {func(r *Routes) *catalog.Snapshot {
			s := routed(2, one)
			r.Replaced(after(50*time.Second), nil, s)
			return s
		}, "s", []string{"one"}, false},
		"another process knows": {func(r *Routes) *catalog.Snapshot {
			s := routed(2, one)
			r.Heard(after(50*time.Second), 2, nil)
			r.Replaced(after(50*time.Second), nil, s)
			return s
		}, "s", []string{"one"}, true},
		"another process has an older configuration": {func(r *Routes) *catalog.Snapshot {
			s := routed(2, one)
			r.Replaced(after(50*time.Second), nil, s)
			r.Heard(after(51*time.Second), 1, nil)
			return s
		}, "s", []string{"one"}, false},
		"another process does not know either": {func(r *Routes) *catalog.Snapshot {
			s := routed(2, one)
			r.Replaced(after(50*time.Second), nil, s)
			r.Heard(after(51*time.Second), 2, map[int64]int64{2: 900})
			return s
		}, "s", []string{"one"}, false},
		"a version that only others had in force": {func(r *Routes) *catalog.Snapshot {
			r.NobodyBefore()
			a, c := routed(1, one), routed(3, one)
			r.Replaced(start, nil, a)
			r.Replaced(after(50*time.Second), a, c)
			r.Heard(after(51*time.Second), 3, map[int64]int64{2: 2000, 3: 900})
			return c
		}, "s", []string{"one"}, false},
		"too many routes to keep": {func(r *Routes) *catalog.Snapshot {
			r.NobodyBefore()
			before := routed(1, one)
			r.Replaced(start, nil, before)
			const routes = 1000
			for version := int64(2); version < 3+maxPastRoutes/routes; version++ {
				next := routed(version, []map[string]float64{one, two}[version%2])
				for n := range routes {
					next.Routes = append(next.Routes, next.Routes[0])
					next.Routes[n+1].PathPrefix = fmt.Sprint("/more", n)
				}
				next.BuildIndexes()
				r.Replaced(after(55*time.Second), before, next)
				before = next
			}
			return before
		}, "s", []string{"one", "two"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := NewRoutes()
			s := tc.play(r)
			services, complete := r.Services(after(60*time.Second), &s.Routes[0], "x", "/chat/1", tc.stream)
			is.Equal(services, tc.services)
			is.Equal(complete, tc.complete)
			is.True(len(r.past) <= maxPastRoutes)
		})
	}
}

// TestMovesAreReportedForAWhile: a process reports when its configurations led streams elsewhere, and no more than others
// need.
func TestMovesAreReportedForAWhile(t *testing.T) {
	is := is.New(t)
	r := NewRoutes()
	r.NobodyBefore()
	before := routed(1, map[string]float64{"one": 1})
	r.Replaced(start, nil, before)
	is.Equal(len(r.Moves(start)), 0)
	for n := range int64(2 * maxMoves) {
		next := routed(n+2, map[string]float64{"one": 1, "two": float64(n + 1)})
		services := r.Replaced(start, before, next)
		is.Equal(services, []string{"one", "two"})
		before = next
	}
	moves := r.Moves(start.Add(time.Second))
	is.Equal(len(moves), maxMoves)
	is.Equal(moves[2*maxMoves+1], int64(1000)) // the latest
	is.True(r.HasMoved(start, "two"))
	is.True(!r.HasMoved(start, "other"))
	is.Equal(len(r.Moves(start.Add(RecordTTL))), 0)
	is.True(!r.HasMoved(start.Add(RecordTTL), "two"))
	is.Equal(len(r.Replaced(start, before, routed(99, map[string]float64{"one": 1, "two": 2 * maxMoves}))), 0) // unchanged
}

func TestHeardMovesAreTold(t *testing.T) {
	for name, tc := range map[string]struct {
		moves  map[int64]int64
		unseen bool
	}{
		"none":                      {nil, false},
		"of a version unknown here": {map[int64]int64{2: 100}, true},
		"of the first version":      {map[int64]int64{1: 100}, false},
		"long ago":                  {map[int64]int64{2: RecordTTL.Milliseconds()}, false},
		"of a version of its own":   {map[int64]int64{3: 100}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := NewRoutes()
			r.NobodyBefore()
			a, c := routed(1, map[string]float64{"one": 1}), routed(3, map[string]float64{"two": 1})
			r.Replaced(start, nil, a)
			r.Replaced(start, a, c)
			is.Equal(r.Heard(start, 3, tc.moves), tc.unseen)
			is.Equal(r.Heard(start, 3, tc.moves), false) // once
			is.Equal(r.HasMoved(start, "any"), tc.unseen)
		})
	}
}
