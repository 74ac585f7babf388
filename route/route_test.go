package route_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/prefix"
	"github.com/cicadanotch/cicadanotch/route"
)

var (
	start = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)
	here  = route.Place{Region: "r1", Zone: "r1-a"}
)

const service = "chat"

func row(id, region, zone string, slot int) route.Row {
	return route.Row{Slot: slot, Host: port.Host{ID: id, Service: service, Region: region, Zone: zone, PricePerHour: 1}}
}

// zoneRows returns n endpoints in the own zone: e0, e1 and so on.
func zoneRows(n int) []route.Row {
	var rows []route.Row
	for i := range n {
		rows = append(rows, row("e"+strconv.Itoa(i), here.Region, here.Zone, i))
	}
	return rows
}

func question() route.Query {
	return route.Query{Service: service, Prefix: 77, PromptTokens: 1000, AnswerTokens: 50, Target: 800 * time.Millisecond}
}

func table(rows ...route.Row) *route.Table {
	t := route.NewTable(here, route.DefaultOptions())
	t.Update(rows)
	return t
}

func TestWhoMayBeChosen(t *testing.T) {
	far := row("far", "r2", "r2-a", 1)
	for name, tc := range map[string]struct {
		change func(*route.Table, *route.Query, []route.Row)
		want   string
		err    error
	}{
		"all may":      {func(*route.Table, *route.Query, []route.Row) {}, "near", nil},
		"no service":   {func(_ *route.Table, q *route.Query, _ []route.Row) { q.Service = "none" }, "", route.ErrNoEndpoint},
		"leaving":      {func(_ *route.Table, _ *route.Query, rows []route.Row) { rows[0].Leaving = true }, "far", nil},
		"suspect":      {func(t *route.Table, _ *route.Query, _ []route.Row) { t.Suspect("near", start.Add(time.Second)) }, "far", nil},
		"suspect once": {func(t *route.Table, _ *route.Query, _ []route.Row) { t.Suspect("near", start) }, "near", nil},
		"excluded":     {func(_ *route.Table, q *route.Query, _ []route.Row) { q.Excluded = map[string]bool{"near": true} }, "far", nil},
		"none left": {func(_ *route.Table, q *route.Query, _ []route.Row) {
			q.Excluded = map[string]bool{"near": true, "far": true}
		}, "", route.ErrNoEndpoint},
		"local wait breaks the target": {func(t *route.Table, _ *route.Query, _ []route.Row) {
			t.Report("near", port.LoadReport{At: start, WaitingTokens: 40_000})
		}, "far", nil},
		"local wait within the target": {func(t *route.Table, _ *route.Query, _ []route.Row) {
			t.Report("near", port.LoadReport{At: start, WaitingTokens: 4_000})
		}, "near", nil},
		"too many bytes for the link": {func(t *route.Table, q *route.Query, _ []route.Row) {
			t.Report("near", port.LoadReport{At: start, WaitingTokens: 40_000})
			q.Bytes = 1 << 30
		}, "near", nil},
		"spend does not allow the link": {func(t *route.Table, q *route.Query, _ []route.Row) {
			t.Report("near", port.LoadReport{At: start, WaitingTokens: 40_000})
			q.Bytes, q.LinkBytesPerHour = 10_000, 3600
		}, "near", nil},
		"no near one and no budget": {func(_ *route.Table, q *route.Query, rows []route.Row) {
			rows[0].Leaving = true
			q.Bytes = 1 << 30
		}, "", route.ErrLinkBudget},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rows := []route.Row{row("near", here.Region, here.Zone, 0), far}
			table := table(rows...)
			q := question()
			tc.change(table, &q, rows)
			table.Update(rows)
			got, err := table.Choose(&q, start)
			is.Equal(err, tc.err)
			is.Equal(got.Host.ID, tc.want)
			is.Equal(got.Spilled, tc.want == "far")
		})
	}
}

func TestScoreTerms(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(*route.Table, *prefix.Held, []route.Row)
		want   string
	}{
		"cache wins over an idle one": {func(t *route.Table, h *prefix.Held, _ []route.Row) {
			h.Blocks[1], h.Confidence[1] = 15, 1
			t.Report("e1", port.LoadReport{At: start, Running: 2})
		}, "e1"},
		"a long queue wins over cache": {func(t *route.Table, h *prefix.Held, _ []route.Row) {
			h.Blocks[1], h.Confidence[1] = 15, 1
			t.Report("e1", port.LoadReport{At: start, Running: 2, WaitingTokens: 8000})
		}, "e0"},
		"cache without confidence": {func(t *route.Table, h *prefix.Held, _ []route.Row) {
			h.Blocks[1], h.Confidence[1] = 15, 0.1
			h.Blocks[0], h.Confidence[0] = 8, 1
		}, "e0"},
		"full batch": {func(t *route.Table, _ *prefix.Held, _ []route.Row) {
			t.Report("e0", port.LoadReport{At: start, Running: 16})
		}, "e1"},
		"dearer":          {func(_ *route.Table, _ *prefix.Held, rows []route.Row) { rows[1].Host.PricePerHour = 3 }, "e0"},
		"reclaim is near": {func(_ *route.Table, _ *prefix.Held, rows []route.Row) { rows[0].Deadline = start.Add(time.Second) }, "e1"},
		"reclaim is later": {func(_ *route.Table, _ *prefix.Held, rows []route.Row) {
			rows[0].Deadline = start.Add(time.Hour)
			rows[1].Host.PricePerHour = 3
		}, "e0"},
		"other zone": {func(_ *route.Table, _ *prefix.Held, rows []route.Row) { rows[0].Host.Zone = "r1-b" }, "e1"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rows := zoneRows(2)
			opts := route.DefaultOptions()
			opts.CopyWeight, opts.HomeWeight = 0, 0 // the home is not what is under test
			table := route.NewTable(here, opts)
			var held prefix.Held
			table.Update(rows)
			tc.change(table, &held, rows)
			table.Update(rows)
			q := question()
			q.Held = &held
			got, err := table.Choose(&q, start)
			is.NoErr(err)
			is.Equal(got.Host.ID, tc.want)
		})
	}
}

func TestHomeIsTheSameInEachProcess(t *testing.T) {
	is := is.New(t)
	homes := map[string]bool{}
	for prefix := range uint64(64) {
		q := question()
		q.Prefix = prefix*977 + 1
		home := ""
		for seed := range uint64(5) {
			opts := route.DefaultOptions()
			opts.Seed = seed * 31
			table := route.NewTable(here, opts)
			table.Update(zoneRows(8))
			for i := range 8 { // enough load for all to be active
				table.Report("e"+strconv.Itoa(i), port.LoadReport{At: start, Running: 8})
			}
			got, err := table.Choose(&q, start)
			is.NoErr(err)
			is.True(home == "" || home == got.Host.ID)
			home = got.Host.ID
		}
		homes[home] = true
	}
	is.Equal(len(homes), 8) // 64 prefixes spread over all endpoints
}

func TestHotHomeSpillsToTheSecond(t *testing.T) {
	is := is.New(t)
	table := table(zoneRows(8)...)
	counts := map[string]int{}
	for range 24 {
		q := question()
		got, err := table.Choose(&q, start)
		is.NoErr(err)
		counts[got.Host.ID]++
	}
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	is.True(len(counts) > 1)
	is.True(most < 16) // a batch is never overbooked while others are idle
}

func TestTwoProcessesDoNotHerd(t *testing.T) {
	is := is.New(t)
	const processes, endpoints, requests = 4, 16, 8
	counts := map[string]int{}
	for p := range processes {
		opts := route.DefaultOptions()
		opts.Seed = uint64(p) * 7919
		table := route.NewTable(here, opts)
		table.Update(zoneRows(endpoints))
		for i := range endpoints { // the same stale word on all
			table.Report("e"+strconv.Itoa(i), port.LoadReport{At: start, Running: 1})
		}
		for range requests {
			q := question()
			q.Prefix = 0
			got, err := table.Choose(&q, start)
			is.NoErr(err)
			counts[got.Host.ID]++
		}
	}
	for id, n := range counts {
		if n > processes+2 { // fair would be processes*requests/endpoints = 2
			t.Errorf("%s got %d of %d requests", id, n, processes*requests)
		}
	}
}

func TestBookings(t *testing.T) {
	is := is.New(t)
	table := table(zoneRows(1)...)
	q := question()
	first, err := table.Choose(&q, start)
	is.NoErr(err)
	second, err := table.Choose(&q, start)
	is.NoErr(err)
	is.True(second.Terms.Queue > first.Terms.Queue) // counted at once

	loads := table.Loads(start)
	is.Equal(loads[0].InFlight, 2)
	is.Equal(loads[0].Prefill, 2000)
	table.Started(first.Booking, start.Add(time.Second))
	table.Started(first.Booking, start.Add(time.Second))
	is.Equal(table.Loads(start)[0].Prefill, 1000)
	table.Release(second.Booking)
	table.Release(second.Booking) // a second release is nothing
	table.Release(first.Booking)
	loads = table.Loads(start)
	is.Equal(loads[0].InFlight, 0)
	is.Equal(loads[0].Prefill, 0)

	third, err := table.Choose(&q, start)
	is.NoErr(err)
	table.Release(first.Booking) // an old booking does not end a new one
	is.Equal(table.Loads(start)[0].InFlight, 1)
	table.Update(nil)
	table.Release(third.Booking) // its endpoint is gone
	_, err = table.Choose(&q, start)
	is.Equal(err, route.ErrNoEndpoint)
}

func TestOwnRequestsAreNotCountedTwice(t *testing.T) {
	is := is.New(t)
	table := table(zoneRows(1)...)
	q := question()
	_, err := table.Choose(&q, start)
	is.NoErr(err)
	table.Report("e0", port.LoadReport{At: start.Add(time.Millisecond), Running: 3, WaitingTokens: 1500})
	load := table.Loads(start)[0]
	is.Equal(load.Others, 2)
	is.Equal(load.OthersPrefill, 500.0)
	table.Report("e0", port.LoadReport{At: start, Running: 9}) // older than the last
	is.Equal(table.Loads(start)[0].Others, 2)
}

func TestExplainShowsTheChoice(t *testing.T) {
	is := is.New(t)
	table := table(zoneRows(3)...)
	q := question()
	got, err := table.Choose(&q, start)
	is.NoErr(err)
	shown := table.Explain()
	is.Equal(len(shown), 1)
	is.Equal(len(shown[0].Candidates), 3)
	first := shown[0].Candidates[0]
	is.True(first.Chosen)
	is.Equal(first.Endpoint, got.Host.ID)
	is.Equal(first.Terms, got.Terms)
	is.Equal(first.Score, got.Terms.Score())
	for range 40 {
		_, err := table.Choose(&q, start)
		is.NoErr(err)
	}
	is.Equal(len(table.Explain()), 16)
}
