// Command pausecase stops a host while it serves streams, some of which their worker preempts for a moment, and checks
// that the host cuts none of them.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cicadanotch/cicadanotch/platform/platformtest"
	"github.com/cicadanotch/cicadanotch/review/platform/casekit"
)

const (
	engines = 3
	streams = 30
	// preempted is the number of streams that the worker preempts, pause how long they make no progress: less than the 2.4 s after which clients abandon a
	// stream of this route (2 s, four times the objective, eight times the pause).
	preempted = 3
	pause     = 1900 * time.Millisecond
	// grace is bounds.grace_s.
	grace    = 8 * time.Second
	deadline = 12 * time.Second
)

// configuration has the route of the site's questions: at most two attempts, which may be resumed.
const configuration = `{"version":1,"routes":[
 {"name":"query","hostname":"x.example","path_prefix":"/query/","kind":"streaming","timeout_ms":12000,"target_latency_ms":500,"target_gap_ms":300,"service":"llm","max_attempts":2,"resumable":true,"session_affinity":true}],
 "services":[{"name":"llm","health_path":"/health","max_connections":370,"engine":{"slots":64,"kv_cache_tokens":685000,"stride":6}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"w","api_keys":["secret"],"priority":0}]}`

func main() {
	binary := flag.String("binary", "", "program of the deploy file")
	path := flag.String("record", "", "file of the record")
	flag.Parse()
	code, err := run(*binary, *path, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "pausecase:", err)
		code = casekit.CannotRun
	}
	os.Exit(code)
}

func run(binary, path string, trouble bool) (int, error) {
	record, err := casekit.NewRecord(path)
	if err != nil {
		return 0, err
	}
	defer record.Close()
	dir, err := casekit.Dir()
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	store, cloud := platformtest.NewStore(), platformtest.NewCloud()
	defer store.Close()
	defer cloud.Close()
	store.Put("keyed.op", "config", []byte(configuration))
	var workers []*casekit.Worker
	for n := range engines {
		w := &casekit.Worker{ID: fmt.Sprintf("i-llm-%d", n), Service: "llm", Zone: "jos-a", Version: "v1", Slots: 64, Gap: 100 * time.Millisecond, Stride: 6, Record: record}
		if err := w.Start(); err != nil {
			return 0, err
		}
		defer w.Stop()
		store.Register(w.ID, w.Entry("ready", 1))
		workers = append(workers, w)
	}
	hosts, err := casekit.NewHosts(dir, binary, store.Address(), cloud.Address(), "jos-a", "jos-a", "jos-a")
	if err != nil {
		return 0, err
	}
	for _, h := range hosts {
		if err := h.Start(); err != nil {
			return 0, err
		}
		defer h.Stop()
	}
	if !casekit.AwaitReady(hosts, 20*time.Second) {
		return 0, fmt.Errorf("a host is not ready")
	}
	time.Sleep(6 * time.Second)
	stopping := hosts[0]
	answers := make([]casekit.Answer, streams)
	var all sync.WaitGroup
	for n := range streams {
		all.Go(func() {
			time.Sleep(time.Duration(n) * 20 * time.Millisecond)
			q := casekit.Request{ID: fmt.Sprintf("query-%d", n), Path: "/query/1", Key: "secret", Body: "question", Deadline: deadline, Tokens: "600,240"}
			record.Add("a client sends %s", q.ID)
			answers[n] = casekit.Send(casekit.NewConnection(), stopping.Front, q)
			a := answers[n]
			record.Add("%s: status %d, whole %v, %d events, error %v", q.ID, a.Status, a.Whole(), strings.Count(a.Body, "\n\n"), a.Err)
		})
	}
	time.Sleep(1200 * time.Millisecond)
	signalled := time.Now()
	if trouble {
		record.Add("SIGTERM to %s", stopping.Name)
		stopping.Signal(syscall.SIGTERM)
		record.Add("worker %s preempts %v for %v; the other workers are full", workers[0].ID, workers[0].Preempt(preempted, pause), pause)
	}
	for _, w := range workers[1:] {
		w.SetFull()
	}
	all.Wait()
	return judge(record, answers, signalled, trouble), nil
}

// judge applies the rule LOST around a SIGTERM. All streams were sent before it and would have ended in time.
func judge(record *casekit.Record, answers []casekit.Answer, signalled time.Time, trouble bool) int {
	served, lost := 0, 0
	for n, a := range answers {
		switch {
		case a.Whole() && a.Status == http.StatusOK:
			served++
		case a.Status == http.StatusOK && !a.TimedOut() && a.Ended.Before(signalled.Add(grace+time.Second)):
			lost++
			record.Add("LOST: query-%d was cut %v after the SIGTERM, %v after it was sent", n, a.Ended.Sub(signalled).Round(time.Millisecond), a.Ended.Sub(a.Sent).Round(time.Millisecond))
		}
	}
	record.Add("trouble %v: %d streams, %d served, %d cut", trouble, len(answers), served, lost)
	if trouble && lost > 0 || !trouble && served < len(answers) {
		return casekit.Broken
	}
	return casekit.Held
}
