package demo_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/client"
	"github.com/cicadanotch/cicadanotch/demo"
	"github.com/cicadanotch/cicadanotch/drain"
	"github.com/cicadanotch/cicadanotch/node"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/standin"
)

// BenchmarkHandoff hands queued and running requests from one entry host to another. Run it
// with -cpu 1 -benchtime 1000x, so that sender, receiver and stand-ins share one core.
func BenchmarkHandoff(b *testing.B) {
	is := is.New(b)
	b.ReportAllocs()
	p := smallProfile()
	p.Zones = p.Zones[:1]
	p.Zones[0].Entries = 2
	p.Engine.TokenInterval = time.Hour
	d := start(b, p)
	sender := d.Entries()[0].Node
	for i := range b.N {
		body, _ := chatBody(p, fmt.Sprint("Question ", i, strings.Repeat(" and more", 100)), 200)
		_, refused := sender.Accept(node.Call{API: port.APIChat, Body: []byte(body), Key: p.Workspaces[i%5].Key()})
		is.True(refused == nil) // the queue accepts it
	}
	b.ResetTimer()
	sender.Drain(drain.ReasonReclaim, time.Now().Add(time.Minute))
	eventually(b, "all are handed over", func() bool {
		return labeledMetricTotal(b, d, "cicadanotch_handoff_takes_total", string(drain.VerdictAccepted)) >= float64(b.N)
	})
	b.StopTimer()
	const notice = 5 * time.Second
	b.ReportMetric(notice.Seconds()*float64(b.N)/b.Elapsed().Seconds(), "requests/5s")
	b.ReportMetric(metricTotal(b, d, "cicadanotch_handoff_bytes_total")/float64(b.N), "handed-B/op")
	b.ReportMetric(metricTotal(b, d, "cicadanotch_handoff_seconds")/float64(b.N)*1e3, "stopped-ms/op")
}

// metricTotal sums a counter without labels, or the sum of a histogram, over all entry hosts.
func metricTotal(b *testing.B, d *demo.Deployment, name string) float64 {
	b.Helper()
	is := is.New(b)
	sum := 0.0
	for _, e := range d.Entries() {
		families, err := e.Node.Registry().Gather()
		is.NoErr(err)
		for _, f := range families {
			if f.GetName() == name {
				m := f.GetMetric()[0]
				sum += m.GetCounter().GetValue() + m.GetHistogram().GetSampleSum()
			}
		}
	}
	return sum
}

// startLongStreams starts n long streams and waits until each has sent more than ten
// chunks. The returned function waits for their ends.
func startLongStreams(b *testing.B, d *demo.Deployment, n, tokens int) (wait func()) {
	b.Helper()
	is := is.New(b)
	var group, started sync.WaitGroup
	started.Add(n)
	cl := newClient(d, d.Entries()[0].Host.CallerAddress)
	for i := range n {
		group.Go(func() {
			question := fmt.Sprint("Review ", i, strings.Repeat(fmt.Sprint(" datasheet line ", i), 300))
			body, want := chatBody(d.Profile, question, tokens)
			answer, err := cl.Generate(context.Background(), client.Generate{Body: []byte(body), OnChunk: func(index int, _ string) {
				if index == 10 {
					started.Done()
				}
			}})
			is.NoErr(err)
			is.Equal(answer.Text, want)
		})
	}
	started.Wait()
	return group.Wait
}

// recomputedTokensPerStream reclaims an engine that runs streams and returns the recomputed
// tokens per stream. With recompute, KV caches cannot be exported.
func recomputedTokensPerStream(b *testing.B, recompute bool) float64 {
	b.Helper()
	const streams = 8
	p := smallProfile()
	p.Zones = p.Zones[:1]
	p.Zones[0].Engines = 1
	p.Engine.TokenInterval = 10 * time.Millisecond
	d := start(b, p)
	wait := startLongStreams(b, d, streams, 400)
	reclaimed := engineIn(d, p.Zones[0].Zone)
	if recompute {
		reclaimed.Faults.Add(standin.Fault{Point: standin.PointExport, Action: standin.ActionFail})
	}
	for i := range 2 {
		if _, err := d.AddEndpoint(p.Zones[0], p.ModelService, fmt.Sprint("survivor-", i)); err != nil {
			b.Fatal(err)
		}
	}
	entry := d.Entries()[0].Node
	eventually(b, "the survivors are known", func() bool { return len(entry.State().Hosts) >= 5 })
	_, before := d.Ledger.Tokens()
	deadline := time.Now().Add(2 * time.Second)
	d.Cloud.AddNotice(reclaimed.Host.ID, port.NoticeReclaim, deadline)
	time.Sleep(time.Until(deadline))
	kill(d, []string{reclaimed.Host.ID})
	wait()
	_, after := d.Ledger.Tokens()
	return float64(after-before) / streams
}

// BenchmarkReclaimedStream reports the tokens recomputed for a stream whose endpoint is
// reclaimed, and those when the KV cache of every stream is recomputed.
func BenchmarkReclaimedStream(b *testing.B) {
	b.ReportAllocs()
	for range b.N {
		moved, recomputed := recomputedTokensPerStream(b, false), recomputedTokensPerStream(b, true)
		b.ReportMetric(moved, "recomputed-tokens/stream")
		b.ReportMetric(recomputed, "always-recompute-tokens/stream")
		b.ReportMetric(moved/recomputed, "part")
	}
}

// shortQuestionP95 returns the 95th percentile of the time to the first token of short
// questions beside long streams, with or without the reclaim of an engine.
func shortQuestionP95(b *testing.B, reclaim bool) time.Duration {
	b.Helper()
	is := is.New(b)
	p := smallProfile()
	p.Zones = p.Zones[:1]
	p.Zones[0].Engines = 4
	p.Engine.TokenInterval = 10 * time.Millisecond
	d := start(b, p)
	wait := startLongStreams(b, d, 24, 500)
	deadline := time.Now().Add(1500 * time.Millisecond)
	if reclaim {
		d.Cloud.AddNotice(engineIn(d, p.Zones[0].Zone).Host.ID, port.NoticeReclaim, deadline)
		defer kill(d, []string{engineIn(d, p.Zones[0].Zone).Host.ID})
	}
	cl := newClient(d, d.Entries()[0].Host.CallerAddress)
	var mu sync.Mutex
	var firstTokens []time.Duration
	var group sync.WaitGroup
	for i := range 150 {
		group.Go(func() {
			body, _ := chatBody(p, fmt.Sprint("Short ", i), 3)
			startedAt := time.Now()
			_, err := cl.Generate(context.Background(), client.Generate{Body: []byte(body), OnChunk: func(index int, _ string) {
				if index == 0 {
					mu.Lock()
					defer mu.Unlock()
					firstTokens = append(firstTokens, time.Since(startedAt))
				}
			}})
			is.NoErr(err)
		})
		time.Sleep(10 * time.Millisecond)
	}
	group.Wait()
	wait()
	slices.Sort(firstTokens)
	return firstTokens[len(firstTokens)*95/100]
}

// BenchmarkShortQuestionsInWave reports what a reclaim adds to the 95th percentile of the
// time to the first token of short questions.
func BenchmarkShortQuestionsInWave(b *testing.B) {
	b.ReportAllocs()
	for range b.N {
		baseline, reclaim := shortQuestionP95(b, false), shortQuestionP95(b, true)
		b.ReportMetric(baseline.Seconds()*1e3, "quiet-p95-ms")
		b.ReportMetric(reclaim.Seconds()*1e3, "wave-p95-ms")
		b.ReportMetric((reclaim-baseline).Seconds()*1e3, "added-p95-ms")
	}
}
