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

func choose(t *testing.T, table *route.Table, q route.Query, at time.Time) route.Choice {
	t.Helper()
	is := is.New(t)
	got, err := table.Choose(&q, at)
	is.NoErr(err)
	return got
}

// TestCrossingForACache guards against sending a request to another region for its
// cache although that saves too little, exceeds a byte limit, or the region may be
// unreachable. The prompt is cached only in the other region.
func TestCrossingForACache(t *testing.T) {
	const slotFar = 1
	for name, tc := range map[string]struct {
		change func(*route.Table, *route.Query, *prefix.CachedPrefix)
		want   string
	}{
		"saves much": {func(*route.Table, *route.Query, *prefix.CachedPrefix) {}, "far"},
		"saves little": {func(_ *route.Table, _ *route.Query, c *prefix.CachedPrefix) {
			c.Blocks[slotFar] = 1
		}, "near"},
		"near endpoint has it cached too": {func(_ *route.Table, _ *route.Query, c *prefix.CachedPrefix) {
			c.Blocks[0], c.Confidence[0] = c.Blocks[slotFar], 1
		}, "near"},
		"service byte limit is used up": {func(_ *route.Table, q *route.Query, _ *prefix.CachedPrefix) {
			q.Bytes, q.LinkBytesPerHour = 20_000, 3600
		}, "near"},
		"other processes share the byte limit": {func(t *route.Table, q *route.Query, _ *prefix.CachedPrefix) {
			t.SetProcessCounts(5, 20)
			q.Bytes, q.LinkBytesPerHour = 2000, 3600*2000 // within the limit, but above the share of one of 20 processes
		}, "near"},
		"the region failed before": {func(t *route.Table, _ *route.Query, _ *prefix.CachedPrefix) {
			t.Suspect("far-2", start.Add(time.Second))
		}, "near"},
		"the region failed long ago": {func(t *route.Table, _ *route.Query, _ *prefix.CachedPrefix) {
			t.Suspect("far-2", start.Add(-time.Minute))
		}, "far"},
		"a near endpoint failed before": {func(t *route.Table, _ *route.Query, _ *prefix.CachedPrefix) {
			t.Suspect("near-2", start.Add(time.Second))
		}, "far"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := newTable(
				row("near", local.Region, local.Zone, 0), row("far", "r2", "r2-a", slotFar),
				row("near-2", local.Region, local.Zone, 2), row("far-2", "r2", "r2-a", 3),
			)
			cached := prefix.CachedPrefix{}
			cached.Blocks[slotFar], cached.Confidence[slotFar] = 15, 1
			q := newQuery()
			q.Cached = &cached
			tc.change(table, &q, &cached)
			got := choose(t, table, q, start)
			is.Equal(got.Spilled, tc.want == "far")
		})
	}
}

// TestLightLoadUsesFewEndpoints guards against spreading a light load over all
// endpoints, which would cache each prefix on many of them. It sends 8 requests to 16
// idle endpoints.
func TestLightLoadUsesFewEndpoints(t *testing.T) {
	is := is.New(t)
	table := newTable(zoneRows(16)...)
	used := map[string]bool{}
	for i := range 8 {
		q := newQuery()
		q.AffinityKey = uint64(i)*7919 + 1
		got := choose(t, table, q, start.Add(time.Duration(i)*time.Second))
		table.RecordFirstToken(got.Booking, start.Add(time.Duration(i)*time.Second+200*time.Millisecond))
		used[got.Host.ID] = true
	}
	is.True(len(used) <= 4) // one endpoint would do: 8 requests are half of its batch of 16
}

func TestCheapestIsActiveFirst(t *testing.T) {
	is := is.New(t)
	rows := zoneRows(8)
	rows[5].Host.PricePerHour = 0.5
	table := newTable(rows...)
	is.Equal(choose(t, table, newQuery(), start).Host.ID, "e5")
	rows[5].Host.PricePerHour, rows[2].Host.PricePerHour = 1, 0.5 // another endpoint becomes the cheapest
	table.Update(rows)
	q := newQuery()
	q.AffinityKey++
	is.Equal(choose(t, table, q, start.Add(time.Minute)).Host.ID, "e2")
}

// TestPeersCountSinceTheReport guards against ignoring what peers sent since the last
// load report. Requests are booked after a report without load: with 5 processes the
// estimated queue is longer than with one, until a report includes the requests.
func TestPeersCountSinceTheReport(t *testing.T) {
	is := is.New(t)
	queue := map[int]float64{}
	for _, peers := range []int{1, 5} {
		table := newTable(zoneRows(1)...)
		table.SetProcessCounts(peers, peers)
		table.Report("e0", port.LoadReport{At: start})
		choose(t, table, newQuery(), start.Add(time.Second))
		queue[peers] = choose(t, table, newQuery(), start.Add(time.Second)).Terms.Queue
		table.Report("e0", port.LoadReport{At: start.Add(2 * time.Second), WaitingTokens: 2000})
		after := choose(t, table, newQuery(), start.Add(2*time.Second)).Terms.Queue
		is.True(after < 2.01*queue[1]) // the report includes both requests, so nothing is added for peers
	}
	is.True(queue[5] > queue[1])
}

// TestPrefillRateIsEstimated guards against an estimate that stays at the assumed
// prefill rate although first tokens take four times longer.
func TestPrefillRateIsEstimated(t *testing.T) {
	is := is.New(t)
	table := newTable(zoneRows(1)...)
	at := start
	first := choose(t, table, newQuery(), at)
	table.Release(first.Booking)
	for range 60 {
		c := choose(t, table, newQuery(), at)
		at = at.Add(500 * time.Millisecond) // at the assumed rate 1,000 tokens take 125 ms
		table.RecordFirstToken(c.Booking, at)
		table.Release(c.Booking)
	}
	later := choose(t, table, newQuery(), at)
	is.True(later.Terms.Prefill > 3*first.Terms.Prefill)
	is.True(later.Terms.Prefill < 4.5*first.Terms.Prefill)
}

func TestChooserBooksAndCorrects(t *testing.T) {
	is := is.New(t)
	c := route.NewChooser(local, route.DefaultOptions())
	rows := zoneRows(3)
	c.Update(rows)
	blocks := []uint64{1, 2, 3, 4}
	q := route.Query{Service: service, PromptTokens: 4 * prefix.BlockTokens, AnswerTokens: 10}
	first, err := c.Choose(q, blocks, start)
	is.NoErr(err)
	is.Equal(first.CachedTokens, 0)
	second, err := c.Choose(q, blocks, start)
	is.NoErr(err)
	is.Equal(second.Host.ID, first.Host.ID) // the prompt counts as cached from the moment it is sent
	is.Equal(second.CachedTokens, 4*prefix.BlockTokens)

	c.Release(&second, blocks, route.Outcome{Usage: &port.Usage{CachedTokens: 0}})
	is.True(c.Index(service).Confidence(first.Host.ID) < 1)
	c.Release(&first, blocks, route.Outcome{}) // ended without a token
	third, err := c.Choose(q, blocks, start)
	is.NoErr(err)
	is.Equal(third.CachedTokens, 0)

	host := third.Host
	c.Report(host, port.LoadReport{At: start, Incarnation: "a"})
	c.Report(host, port.LoadReport{At: start, Incarnation: "b"})
	is.Equal(c.PrefixStats()[service].Drops, int64(1))
	c.Update(nil)
	_, err = c.Choose(q, blocks, start)
	is.Equal(err, route.ErrNoEndpoint)
	is.Equal(c.PrefixStats()[service].Blocks, 0)
}

func TestManyEndpointsBeyondTheIndex(t *testing.T) {
	is := is.New(t)
	c := route.NewChooser(local, route.DefaultOptions())
	rows := zoneRows(prefix.MaxEndpoints + 6)
	c.Update(rows)
	c.Update(rows) // slots are unchanged by a second update
	for i := range rows {
		c.Table().Suspect("e"+strconv.Itoa(i), start.Add(time.Hour))
		q := route.Query{Service: service, PromptTokens: 1000}
		_, err := c.Choose(q, []uint64{uint64(i)}, start)
		is.Equal(err == nil, i < len(rows)-1) // endpoints without a slot in the index are chosen too
	}
}

// TestStaleReportsUseMoreEndpoints guards against overloading a few endpoints when
// their load reports are old: new prompts must spread over more endpoints than with fresh reports.
func TestStaleReportsUseMoreEndpoints(t *testing.T) {
	is := is.New(t)
	used := map[time.Duration]int{}
	for _, age := range []time.Duration{0, 4 * time.Second} {
		table := newTable(zoneRows(16)...)
		for i := range 16 {
			table.Report("e"+strconv.Itoa(i), port.LoadReport{At: start, Running: 2})
		}
		chosen := map[string]bool{}
		for i := range 40 {
			q := newQuery()
			q.AffinityKey = uint64(i)*7919 + 1
			got := choose(t, table, q, start.Add(age))
			table.Release(got.Booking)
			chosen[got.Host.ID] = true
		}
		used[age] = len(chosen)
	}
	is.True(used[4*time.Second] > used[0])
}

func TestIdle(t *testing.T) {
	for name, tc := range map[string]struct {
		change   func(*route.Table, []route.Row)
		excluded map[string]bool
		want     string
	}{
		"own region first":     {func(*route.Table, []route.Row) {}, nil, "near"},
		"near one is busy":     {func(t *route.Table, _ []route.Row) { t.Report("near", port.LoadReport{At: start, Running: 1}) }, nil, "far"},
		"near one is excluded": {func(*route.Table, []route.Row) {}, map[string]bool{"near": true}, "far"},
		"near one is leaving":  {func(_ *route.Table, rows []route.Row) { rows[0].Leaving = true }, nil, "far"},
		"near one is suspect":  {func(t *route.Table, _ []route.Row) { t.Suspect("near", start.Add(time.Second)) }, nil, "far"},
		"regions are partitioned": {func(t *route.Table, rows []route.Row) {
			rows[0].Leaving = true
			t.Suspect("far", start.Add(-time.Second))
		}, nil, ""},
		"none": {func(*route.Table, []route.Row) {}, map[string]bool{"near": true, "far": true}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rows := []route.Row{row("near", local.Region, local.Zone, 0), row("far", "r2", "r2-a", 1)}
			table := newTable(rows...)
			tc.change(table, rows)
			table.Update(rows)
			got, ok := table.Idle(service, 1, tc.excluded, start)
			is.Equal(got, tc.want)
			is.Equal(ok, tc.want != "")
		})
	}
}

// TestSuspectRequestsGetDifferentEndpoints guards against two processes running
// different suspect requests at the same idle endpoint, where they would not be
// isolated.
func TestSuspectRequestsGetDifferentEndpoints(t *testing.T) {
	is := is.New(t)
	first, second := newTable(zoneRows(16)...), newTable(zoneRows(16)...)
	shared := 0
	for key := range uint64(32) {
		a, _ := first.Idle(service, key*977, nil, start)
		b, _ := second.Idle(service, key*977+1, nil, start)
		again, _ := second.Idle(service, key*977, nil, start)
		is.Equal(a, again) // the same key gets the same endpoint in each process
		if a == b {
			shared++
		}
	}
	is.True(shared < 8) // 2 of 32 would be expected by chance
}
