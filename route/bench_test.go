package route_test

import (
	"testing"
	"time"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/prefix"
	"github.com/cicadanotch/cicadanotch/route"
)

const benchEndpoints = 64

func benchTable() (*route.Table, route.Query) {
	rows := zoneRows(benchEndpoints)
	t := newTable(rows...)
	var cached prefix.CachedPrefix
	for i := range rows {
		t.Report(rows[i].Host.ID, port.LoadReport{At: start, Running: i % 7, WaitingTokens: i * 50, MaxRunning: 16})
		cached.Blocks[i], cached.Confidence[i] = uint16(i%9), 1
	}
	q := newQuery()
	q.Cached = &cached
	return t, q
}

func chooseAll(t *route.Table, q *route.Query, n int) {
	for range n {
		c, err := t.Choose(q, start)
		if err != nil {
			panic(err)
		}
		t.Release(c.Booking)
	}
}

func BenchmarkChoose64(b *testing.B) {
	t, q := benchTable()
	chooseAll(t, &q, 32) // lets the buffers grow, so that the loop does not allocate
	b.ReportAllocs()
	for b.Loop() {
		chooseAll(t, &q, 1)
	}
}

// naiveChoose is the baseline: maps by id and a new map of scores per request.
func naiveChoose(hosts []port.Host, reports map[string]port.LoadReport, cached map[string]int, q *route.Query) string {
	scores := map[string]float64{}
	for _, h := range hosts {
		r := reports[h.ID]
		scores[h.ID] = float64(r.WaitingTokens+q.PromptTokens-cached[h.ID]*prefix.BlockTokens)/8 + float64(r.Running)
	}
	best := ""
	for id, s := range scores {
		if best == "" || s < scores[best] || (s == scores[best] && id < best) {
			best = id
		}
	}
	return best
}

func naiveInput(t *route.Table, q *route.Query) ([]port.Host, map[string]port.LoadReport, map[string]int) {
	reports, cached := map[string]port.LoadReport{}, map[string]int{}
	hosts := t.All()
	for i, h := range hosts {
		reports[h.ID] = port.LoadReport{Running: i % 7, WaitingTokens: i * 50}
		cached[h.ID] = int(q.Cached.Blocks[i])
	}
	return hosts, reports, cached
}

func BenchmarkChoose64Naive(b *testing.B) {
	t, q := benchTable()
	hosts, reports, cached := naiveInput(t, &q)
	b.ReportAllocs()
	for b.Loop() {
		naiveChoose(hosts, reports, cached, &q)
	}
}

// BenchmarkChoose64Ratio alternates both and reports how many times longer the naive
// choice takes.
func BenchmarkChoose64Ratio(b *testing.B) {
	t, q := benchTable()
	hosts, reports, cached := naiveInput(t, &q)
	var ours, naive time.Duration
	for b.Loop() {
		at := time.Now()
		chooseAll(t, &q, 100)
		ours += time.Since(at)
		at = time.Now()
		for range 100 {
			naiveChoose(hosts, reports, cached, &q)
		}
		naive += time.Since(at)
	}
	b.ReportMetric(float64(naive)/float64(ours), "naive/choose")
}
