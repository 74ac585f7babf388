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
	local = route.Location{Region: "r1", Zone: "r1-a"}
)

const service = "chat"

func row(id, region, zone string, slot int) route.Row {
	return route.Row{Slot: slot, Host: port.Host{ID: id, Service: service, Region: region, Zone: zone, PricePerHour: 1}}
}

// zoneRows returns n endpoints in the local zone, named e0, e1 and so on.
func zoneRows(n int) []route.Row {
	var rows []route.Row
	for i := range n {
		rows = append(rows, row("e"+strconv.Itoa(i), local.Region, local.Zone, i))
	}
	return rows
}

func newQuery() route.Query {
	return route.Query{Service: service, AffinityKey: 77, PromptTokens: 1000, AnswerTokens: 50, Target: 800 * time.Millisecond}
}

func newTable(rows ...route.Row) *route.Table {
	t := route.NewTable(local, route.DefaultOptions())
	t.Update(rows)
	return t
}

func TestEligibleEndpoints(t *testing.T) {
	farRow := row("far", "r2", "r2-a", 1)
	for name, tc := range map[string]struct {
		change func(*route.Table, *route.Query, []route.Row)
		want   string
		err    error
	}{
		"all allowed":       {func(*route.Table, *route.Query, []route.Row) {}, "near", nil},
		"unknown service":   {func(_ *route.Table, q *route.Query, _ []route.Row) { q.Service = "none" }, "", route.ErrNoEndpoint},
		"leaving":           {func(_ *route.Table, _ *route.Query, rows []route.Row) { rows[0].Leaving = true }, "far", nil},
		"suspect":           {func(t *route.Table, _ *route.Query, _ []route.Row) { t.Suspect("near", start.Add(time.Second)) }, "far", nil},
		"no longer suspect": {func(t *route.Table, _ *route.Query, _ []route.Row) { t.Suspect("near", start) }, "near", nil},
		"excluded":          {func(_ *route.Table, q *route.Query, _ []route.Row) { q.Excluded = map[string]bool{"near": true} }, "far", nil},
		"all excluded": {func(_ *route.Table, q *route.Query, _ []route.Row) {
			q.Excluded = map[string]bool{"near": true, "far": true}
		}, "", route.ErrNoEndpoint},
		"local wait exceeds the target": {func(t *route.Table, _ *route.Query, _ []route.Row) {
			t.Report("near", port.LoadReport{At: start, WaitingTokens: 40_000})
		}, "far", nil},
		"local wait within the target": {func(t *route.Table, _ *route.Query, _ []route.Row) {
			t.Report("near", port.LoadReport{At: start, WaitingTokens: 4_000})
		}, "near", nil},
		"too many bytes for the link": {func(t *route.Table, q *route.Query, _ []route.Row) {
			t.Report("near", port.LoadReport{At: start, WaitingTokens: 40_000})
			q.Bytes = 1 << 30
		}, "near", nil},
		"service byte limit is used up": {func(t *route.Table, q *route.Query, _ []route.Row) {
			t.Report("near", port.LoadReport{At: start, WaitingTokens: 40_000})
			q.Bytes, q.LinkBytesPerHour = 10_000, 3600
		}, "near", nil},
		"no near endpoint and no link budget": {func(_ *route.Table, q *route.Query, rows []route.Row) {
			rows[0].Leaving = true
			q.Bytes = 1 << 30
		}, "", route.ErrLinkBudget},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rows := []route.Row{row("near", local.Region, local.Zone, 0), farRow}
			table := newTable(rows...)
			q := newQuery()
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
		change func(*route.Table, *prefix.CachedPrefix, []route.Row)
		want   string
	}{
		"cache outweighs an idle endpoint": {func(t *route.Table, c *prefix.CachedPrefix, _ []route.Row) {
			c.Blocks[1], c.Confidence[1] = 15, 1
			t.Report("e1", port.LoadReport{At: start, Running: 2})
		}, "e1"},
		"a long queue outweighs the cache": {func(t *route.Table, c *prefix.CachedPrefix, _ []route.Row) {
			c.Blocks[1], c.Confidence[1] = 15, 1
			t.Report("e1", port.LoadReport{At: start, Running: 2, WaitingTokens: 8000})
		}, "e0"},
		"cache without confidence": {func(t *route.Table, c *prefix.CachedPrefix, _ []route.Row) {
			c.Blocks[1], c.Confidence[1] = 15, 0.1
			c.Blocks[0], c.Confidence[0] = 8, 1
		}, "e0"},
		"full batch": {func(t *route.Table, _ *prefix.CachedPrefix, _ []route.Row) {
			t.Report("e0", port.LoadReport{At: start, Running: 16})
		}, "e1"},
		"higher price": {func(_ *route.Table, _ *prefix.CachedPrefix, rows []route.Row) { rows[1].Host.PricePerHour = 3 }, "e0"},
		"reclaim is imminent": {func(_ *route.Table, _ *prefix.CachedPrefix, rows []route.Row) {
			rows[0].Deadline = start.Add(time.Second)
		}, "e1"},
		"reclaim is later": {func(_ *route.Table, _ *prefix.CachedPrefix, rows []route.Row) {
			rows[0].Deadline = start.Add(time.Hour)
			rows[1].Host.PricePerHour = 3
		}, "e0"},
		"other zone": {func(_ *route.Table, _ *prefix.CachedPrefix, rows []route.Row) { rows[0].Host.Zone = "r1-b" }, "e1"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rows := zoneRows(2)
			opts := route.DefaultOptions()
			opts.CopyWeight, opts.AffinityWeight = 0, 0 // affinity is not under test
			table := route.NewTable(local, opts)
			var cached prefix.CachedPrefix
			table.Update(rows)
			tc.change(table, &cached, rows)
			table.Update(rows)
			q := newQuery()
			q.Cached = &cached
			got, err := table.Choose(&q, start)
			is.NoErr(err)
			is.Equal(got.Host.ID, tc.want)
		})
	}
}

// TestAffinityIsTheSameInEachProcess guards against processes that prefill equal
// prefixes at different endpoints: with equal views, all must choose the same one.
func TestAffinityIsTheSameInEachProcess(t *testing.T) {
	is := is.New(t)
	endpoints := map[string]bool{}
	for i := range uint64(64) {
		q := newQuery()
		q.AffinityKey = i*977 + 1
		endpoint := ""
		for seed := range uint64(5) {
			opts := route.DefaultOptions()
			opts.Seed = seed * 31
			table := route.NewTable(local, opts)
			table.Update(zoneRows(8))
			for i := range 8 { // enough load to make all endpoints active
				table.Report("e"+strconv.Itoa(i), port.LoadReport{At: start, Running: 8})
			}
			got, err := table.Choose(&q, start)
			is.NoErr(err)
			is.True(endpoint == "" || endpoint == got.Host.ID)
			endpoint = got.Host.ID
		}
		endpoints[endpoint] = true
	}
	is.Equal(len(endpoints), 8) // 64 prefixes spread over all 8 endpoints
}

// TestHotPrefixUsesFurtherEndpoints guards against overloading the endpoint with
// affinity for a hot prefix: further requests must go to other endpoints.
func TestHotPrefixUsesFurtherEndpoints(t *testing.T) {
	is := is.New(t)
	table := newTable(zoneRows(8)...)
	counts := map[string]int{}
	for range 24 {
		q := newQuery()
		got, err := table.Choose(&q, start)
		is.NoErr(err)
		counts[got.Host.ID]++
	}
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	is.True(len(counts) > 1)
	is.True(most < 16) // a batch of 16 is never overbooked while other endpoints are idle
}

// TestProcessesWithEqualReportsSpread guards against processes with the same stale
// reports all choosing the same endpoint.
func TestProcessesWithEqualReportsSpread(t *testing.T) {
	is := is.New(t)
	const processes, endpoints, requests = 4, 16, 8
	counts := map[string]int{}
	for p := range processes {
		opts := route.DefaultOptions()
		opts.Seed = uint64(p) * 7919
		table := route.NewTable(local, opts)
		table.Update(zoneRows(endpoints))
		for i := range endpoints { // the same stale report for each endpoint
			table.Report("e"+strconv.Itoa(i), port.LoadReport{At: start, Running: 1})
		}
		for range requests {
			q := newQuery()
			q.AffinityKey = 0
			got, err := table.Choose(&q, start)
			is.NoErr(err)
			counts[got.Host.ID]++
		}
	}
	for id, n := range counts {
		if n > processes+2 { // an even spread is processes*requests/endpoints = 2
			t.Errorf("%s got %d of %d requests", id, n, processes*requests)
		}
	}
}

func TestBookings(t *testing.T) {
	is := is.New(t)
	table := newTable(zoneRows(1)...)
	q := newQuery()
	first, err := table.Choose(&q, start)
	is.NoErr(err)
	second, err := table.Choose(&q, start)
	is.NoErr(err)
	is.True(second.Terms.Queue > first.Terms.Queue) // the first request counts as soon as it is booked

	loads := table.Loads(start)
	is.Equal(loads[0].InFlight, 2)
	is.Equal(loads[0].Prefill, 2000)
	table.RecordFirstToken(first.Booking, start.Add(time.Second))
	table.RecordFirstToken(first.Booking, start.Add(time.Second))
	is.Equal(table.Loads(start)[0].Prefill, 1000)
	table.Release(second.Booking)
	table.Release(second.Booking) // a second release has no effect
	table.Release(first.Booking)
	loads = table.Loads(start)
	is.Equal(loads[0].InFlight, 0)
	is.Equal(loads[0].Prefill, 0)

	third, err := table.Choose(&q, start)
	is.NoErr(err)
	table.Release(first.Booking) // a stale booking does not release a new one at the same index
	is.Equal(table.Loads(start)[0].InFlight, 1)
	table.Update(nil)
	table.Release(third.Booking) // its endpoint has been removed
	_, err = table.Choose(&q, start)
	is.Equal(err, route.ErrNoEndpoint)
}

// TestOwnRequestsAreNotCountedTwice guards against adding this process's requests to a
// report that already includes them.
func TestOwnRequestsAreNotCountedTwice(t *testing.T) {
	is := is.New(t)
	table := newTable(zoneRows(1)...)
	q := newQuery()
	_, err := table.Choose(&q, start)
	is.NoErr(err)
	table.Report("e0", port.LoadReport{At: start.Add(time.Millisecond), Running: 3, WaitingTokens: 1500})
	load := table.Loads(start)[0]
	is.Equal(load.Others, 2)
	is.Equal(load.OthersPrefill, 500.0)
	table.Report("e0", port.LoadReport{At: start, Running: 9}) // older than the last report, so ignored
	is.Equal(table.Loads(start)[0].Others, 2)
}

func TestExplainShowsTheChoice(t *testing.T) {
	is := is.New(t)
	table := newTable(zoneRows(3)...)
	q := newQuery()
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
