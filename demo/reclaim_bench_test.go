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

// BenchmarkHandoff hands queued and running requests from one entry host to
// another. Run it with -cpu 1 -benchtime 1000x: giver, taker and stand-ins
// then share one core.
func BenchmarkHandoff(b *testing.B) {
	is := is.New(b)
	b.ReportAllocs()
	p := small()
	p.Zones = p.Zones[:1]
	p.Zones[0].Entries = 2
	p.Engine.TokenInterval = time.Hour
	d := start(b, p)
	giver := d.Entries()[0].Node
	for i := range b.N {
		body, _ := chatBody(p, fmt.Sprint("Question ", i, strings.Repeat(" and more", 100)), 200)
		_, refused := giver.Accept(node.Call{API: port.APIChat, Body: []byte(body), Key: p.Workspaces[i%5].Key()})
		is.True(refused == nil) // the queue takes it
	}
	b.ResetTimer()
	giver.Drain(drain.ReasonReclaim, time.Now().Add(time.Minute))
	eventually(b, "all are handed over", func() bool {
		return metric(b, d, "cicadanotch_handoff_takes_total", string(drain.VerdictTaken)) >= float64(b.N)
	})
	b.StopTimer()
	const notice = 5 * time.Second
	b.ReportMetric(notice.Seconds()*float64(b.N)/b.Elapsed().Seconds(), "requests/5s")
	b.ReportMetric(total(b, d, "cicadanotch_handoff_bytes_total")/float64(b.N), "handed-B/op")
	b.ReportMetric(total(b, d, "cicadanotch_handoff_seconds")/float64(b.N)*1e3, "stopped-ms/op")
}

// total sums a counter without labels, or the sum of a histogram, over all entry hosts.
func total(b *testing.B, d *demo.Deployment, name string) float64 {
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

// longStreams starts n long streams and waits until each has some chunks.
func longStreams(b *testing.B, d *demo.Deployment, n, tokens int) (wait func()) {
	b.Helper()
	is := is.New(b)
	var group, begun sync.WaitGroup
	begun.Add(n)
	cl := newClient(d, d.Entries()[0].Host.CallerAddress)
	for i := range n {
		group.Go(func() {
			question := fmt.Sprint("Review ", i, strings.Repeat(fmt.Sprint(" datasheet line ", i), 300))
			body, want := chatBody(d.Profile, question, tokens)
			answer, err := cl.Generate(context.Background(), client.Generate{Body: []byte(body), OnChunk: func(index int, _ string) {
				if index == 10 {
					begun.Done()
				}
			}})
			is.NoErr(err)
			is.Equal(answer.Text, want)
		})
	}
	begun.Wait()
	return group.Wait
}

// reclaimedTokens takes one engine with streams away and returns the tokens
// computed again for each.
func reclaimedTokens(b *testing.B, recompute bool) float64 {
	b.Helper()
	const streams = 8
	p := small()
	p.Zones = p.Zones[:1]
	p.Zones[0].Engines = 1
	p.Engine.TokenInterval = 10 * time.Millisecond
	d := start(b, p)
	wait := longStreams(b, d, streams, 400)
	old := engineIn(d, p.Zones[0].Zone)
	if recompute {
		old.Faults.Add(standin.Fault{Point: standin.PointExport, Action: standin.ActionFail})
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
	d.Cloud.AddNotice(old.Host.ID, port.NoticeReclaim, deadline)
	time.Sleep(time.Until(deadline))
	kill(d, []string{old.Host.ID})
	wait()
	_, after := d.Ledger.Tokens()
	return float64(after-before) / streams
}

// BenchmarkReclaimedStream prints the tokens computed again for a stream whose
// endpoint is taken away, against computing every stream again.
func BenchmarkReclaimedStream(b *testing.B) {
	b.ReportAllocs()
	for range b.N {
		moved, recomputed := reclaimedTokens(b, false), reclaimedTokens(b, true)
		b.ReportMetric(moved, "recomputed-tokens/stream")
		b.ReportMetric(recomputed, "always-recompute-tokens/stream")
		b.ReportMetric(moved/recomputed, "part")
	}
}

// shortQuestions returns the 95th percentile of the first token's time of
// short questions under long streams, with or without an engine taken away.
func shortQuestions(b *testing.B, wave bool) time.Duration {
	b.Helper()
	is := is.New(b)
	p := small()
	p.Zones = p.Zones[:1]
	p.Zones[0].Engines = 4
	p.Engine.TokenInterval = 10 * time.Millisecond
	d := start(b, p)
	wait := longStreams(b, d, 24, 500)
	deadline := time.Now().Add(1500 * time.Millisecond)
	if wave {
		d.Cloud.AddNotice(engineIn(d, p.Zones[0].Zone).Host.ID, port.NoticeReclaim, deadline)
		defer kill(d, []string{engineIn(d, p.Zones[0].Zone).Host.ID})
	}
	cl := newClient(d, d.Entries()[0].Host.CallerAddress)
	var mu sync.Mutex
	var first []time.Duration
	var group sync.WaitGroup
	for i := range 150 {
		group.Go(func() {
			body, _ := chatBody(p, fmt.Sprint("Short ", i), 3)
			began := time.Now()
			_, err := cl.Generate(context.Background(), client.Generate{Body: []byte(body), OnChunk: func(index int, _ string) {
				if index == 0 {
					mu.Lock()
					defer mu.Unlock()
					first = append(first, time.Since(began))
				}
			}})
			is.NoErr(err)
		})
		time.Sleep(10 * time.Millisecond)
	}
	group.Wait()
	wait()
	slices.Sort(first)
	return first[len(first)*95/100]
}

// BenchmarkShortQuestionsInWave prints what a wave adds to the first token's
// 95th percentile of short questions.
func BenchmarkShortQuestionsInWave(b *testing.B) {
	b.ReportAllocs()
	for range b.N {
		quiet, wave := shortQuestions(b, false), shortQuestions(b, true)
		b.ReportMetric(quiet.Seconds()*1e3, "quiet-p95-ms")
		b.ReportMetric(wave.Seconds()*1e3, "wave-p95-ms")
		b.ReportMetric((wave-quiet).Seconds()*1e3, "added-p95-ms")
	}
}
