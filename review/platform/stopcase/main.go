// Command stopcase sends requests to a host after its planned stop has begun, through a cached address, and checks
// that none is cut that a worker runs.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cicadanotch/cicadanotch/platform/platformtest"
	"github.com/cicadanotch/cicadanotch/review/platform/casekit"
)

const (
	// grace is bounds.grace_s, lastRequest the time after SIGTERM up to which the rule excuses requests that a worker
	// is still at work on in the last sixth of grace.
	grace       = 8 * time.Second
	lastRequest = 3 * time.Second
	// cacheFactor is how many times the stated time some clients keep an address.
	cacheFactor = 3
	requests    = 12
)

// configuration has a route of orders, which take 4.5 s, and one of streams with a longest on-time pause of 300 ms.
const configuration = `{"version":1,"routes":[
 {"name":"order","hostname":"x.example","path_prefix":"/order/","kind":"non_idempotent","timeout_ms":10000,"target_latency_ms":6000,"service":"api","max_attempts":1},
 {"name":"stream","hostname":"x.example","path_prefix":"/stream/","kind":"streaming","timeout_ms":12000,"target_latency_ms":500,"target_gap_ms":300,"service":"llm","max_attempts":1,"session_affinity":true}],
 "services":[{"name":"api","health_path":"/health","max_connections":100},{"name":"llm","health_path":"/health","max_connections":300,"engine":{"slots":64,"kv_cache_tokens":600000,"stride":6}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"w","api_keys":["secret"],"priority":0}]}`

func main() {
	binary := flag.String("binary", "", "program of the deploy file")
	path := flag.String("record", "", "file of the record")
	flag.Parse()
	code, err := run(*binary, *path, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "stopcase:", err)
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
	for n := range 4 {
		w := &casekit.Worker{ID: fmt.Sprintf("i-api-%d", n), Service: "api", Zone: "jos-a", Version: "v1", Slots: 6, Work: 4500 * time.Millisecond, Record: record}
		if n >= 2 {
			w = &casekit.Worker{ID: fmt.Sprintf("i-llm-%d", n), Service: "llm", Zone: "jos-a", Version: "v1", Slots: 64, Gap: 250 * time.Millisecond, Stride: 6, Record: record}
		}
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
	return check(record, hosts, workers, trouble)
}

// outcome is a request and what became of it.
type outcome struct {
	request casekit.Request
	answer  casekit.Answer
}

func check(record *casekit.Record, hosts []*casekit.Host, workers []*casekit.Worker, trouble bool) (int, error) {
	stopping := hosts[0]
	resolved := time.Now()
	addresses := platformtest.Addresses(context.Background(), hosts[1].Directory, stopping.Region, stopping.Zone)
	record.Add("the clients resolve the name: %v", addresses)
	if !slices.Contains(addresses, stopping.Front) {
		return 0, fmt.Errorf("the address answer lacks the host: %v", addresses)
	}
	ttl, err := statedTTL(hosts[1].Directory)
	if err != nil {
		return 0, err
	}
	record.Add("stated ttl %v; some clients keep the answer until %v after it", ttl, cacheFactor*ttl)
	time.Sleep(50 * time.Millisecond)
	signalled := time.Now()
	if trouble {
		record.Add("SIGTERM to %s", stopping.Name)
		stopping.Signal(syscall.SIGTERM)
	}
	var (
		all      sync.WaitGroup
		mu       sync.Mutex
		outcomes []outcome
	)
	for n := range requests {
		all.Go(func() {
			q := casekit.Request{ID: fmt.Sprintf("order-%d", n), Path: "/order/1", Key: "secret", Body: "fan on", Deadline: 9 * time.Second}
			if n%2 == 1 {
				q = casekit.Request{ID: fmt.Sprintf("stream-%d", n), Path: "/stream/1", Key: "secret", Body: "question", Deadline: 12 * time.Second, Tokens: "600,132"}
			}
			time.Sleep(time.Until(signalled.Add(3600*time.Millisecond + time.Duration(n)*50*time.Millisecond)))
			if time.Since(resolved) > cacheFactor*ttl {
				return // no client would use the address any longer
			}
			record.Add("a client sends %s to %s", q.ID, stopping.Name)
			a := casekit.Send(casekit.NewConnection(), stopping.Front, q)
			record.Add("%s: status %d, whole %v, error %v", q.ID, a.Status, a.Whole(), a.Err)
			mu.Lock()
			defer mu.Unlock()
			outcomes = append(outcomes, outcome{q, a})
		})
	}
	all.Wait()
	if len(outcomes) < requests/2 {
		return 0, fmt.Errorf("only %d requests were sent in time", len(outcomes))
	}
	return judge(record, outcomes, workers, signalled, trouble), nil
}

// judge applies the rule LOST around a SIGTERM.
func judge(record *casekit.Record, outcomes []outcome, workers []*casekit.Worker, signalled time.Time, trouble bool) int {
	passedOn := map[string]bool{}
	for _, w := range workers {
		for _, r := range w.Runs() {
			passedOn[r.Attempt] = true
		}
	}
	broken, served, refused := 0, 0, 0
	for _, o := range outcomes {
		switch {
		case o.answer.Whole() && o.answer.Status == http.StatusOK:
			served++
			continue
		case o.answer.Whole():
			refused++
			continue
		case o.answer.TimedOut(), !passedOn[o.request.ID]:
			continue
		case o.answer.Sent.Before(signalled.Add(lastRequest)), o.answer.Ended.After(signalled.Add(grace + time.Second)):
			continue // excused
		}
		broken++
		record.Add("LOST: %s was sent %v after the SIGTERM and passed on to a worker; its connection ended %v after the SIGTERM without a complete answer",
			o.request.ID, o.answer.Sent.Sub(signalled).Round(time.Millisecond), o.answer.Ended.Sub(signalled).Round(time.Millisecond))
	}
	record.Add("trouble %v: %d requests, %d served, %d refused, %d lost", trouble, len(outcomes), served, refused, broken)
	if broken > 0 || !trouble && served < len(outcomes) {
		return casekit.Broken
	}
	return casekit.Held
}
