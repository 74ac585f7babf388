// Command ordercase restarts three workers one after the other under the ids that they had, with a newer software
// version, while the store is down, and checks that no stream is joined from two versions.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/platform/platformtest"
	"github.com/cicadanotch/cicadanotch/review/platform/casekit"
)

const (
	engines = 18
	// restarted is the number of workers that start again: a share of 0.17.
	restarted = 3
	// downTime is how long a worker is away, restartGap the time between two restarts, storeDown that for which the
	// store is down.
	downTime   = 300 * time.Millisecond
	restartGap = time.Second
	storeDown  = 4500 * time.Millisecond
	// clients send streams one after another to each host.
	clients  = 280
	deadline = 12 * time.Second
	// joinedStreams is how many the rule allows.
	joinedStreams = 2
)

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
		fmt.Fprintln(os.Stderr, "ordercase:", err)
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
	link, err := casekit.NewProxy(store.Address())
	if err != nil {
		return 0, err
	}
	defer link.Close()
	hosts, err := casekit.NewHosts(dir, binary, link.Address(), cloud.Address(), "jos-a", "jos-a", "jos-a")
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
	time.Sleep(5 * time.Second)
	t := &traffic{record: record, done: make(chan struct{})}
	for _, h := range hosts {
		for n := range clients {
			t.clients.Go(func() { t.client(h, n) })
		}
	}
	time.Sleep(6 * time.Second)
	if trouble {
		if err := disturb(record, store, link, workers[:restarted]); err != nil {
			return 0, err
		}
	}
	time.Sleep(6 * time.Second)
	close(t.done)
	t.clients.Wait()
	return t.judge(trouble), nil
}

// disturb restarts the workers while the store is down. Their new entries are written when it is back.
func disturb(record *casekit.Record, store *platformtest.Store, link *casekit.Proxy, workers []*casekit.Worker) error {
	record.Add("the store is down for all hosts")
	link.SetDown(true)
	back := time.Now().Add(storeDown)
	time.Sleep(restartGap)
	for _, w := range workers {
		record.Add("worker %s ends", w.ID)
		if err := w.Restart(downTime, "v2"); err != nil {
			return err
		}
		record.Add("worker %s is back with version v2", w.ID)
		time.Sleep(restartGap - downTime)
	}
	time.Sleep(time.Until(back))
	link.SetDown(false)
	for _, w := range workers {
		store.Register(w.ID, w.Entry("ready", 1))
	}
	record.Add("the store is back, and the workers are listed with version v2")
	return nil
}

// traffic is what the clients send.
type traffic struct {
	record  *casekit.Record
	done    chan struct{}
	clients sync.WaitGroup

	mu           sync.Mutex
	sent, served int
	joined       []string
}

// client sends streams one after another. It begins at a time of its own, so that streams are in all stages.
func (t *traffic) client(h *casekit.Host, n int) {
	time.Sleep(time.Duration(n) * 10 * time.Millisecond)
	for i := 0; ; i++ {
		select {
		case <-t.done:
			return
		default:
		}
		q := casekit.Request{ID: fmt.Sprintf("query-%s-%d-%d", h.Name, n, i), Path: "/query/1", Key: "secret", Body: "question", Deadline: deadline, Tokens: "600,180"}
		a := casekit.Send(casekit.NewConnection(), h.Front, q)
		versions := versionsOf(a.Body)
		t.record.Add("%s: status %d, whole %v, events of %s, error %v", q.ID, a.Status, a.Whole(), strings.Join(versions, " then "), a.Err)
		t.mu.Lock()
		t.sent++
		if a.Whole() && a.Status == http.StatusOK {
			t.served++
		}
		if len(versions) > 1 {
			t.joined = append(t.joined, q.ID)
		}
		t.mu.Unlock()
	}
}

// versionsOf returns the software versions that wrote the events of a stream, in the order of the events.
func versionsOf(body string) []string {
	var out []string
	for event := range strings.SplitSeq(body, "\n\n") {
		at := strings.LastIndex(event, " ")
		if at < 0 {
			continue
		}
		if version := event[at+1:]; len(out) == 0 || out[len(out)-1] != version {
			out = append(out, version)
		}
	}
	return out
}

// judge applies the rule ORDER of two software versions.
func (t *traffic) judge(trouble bool) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range t.joined {
		t.record.Add("ORDER: %s holds events from workers of two software versions", id)
	}
	t.record.Add("trouble %v: %d streams, %d served, %d joined from two versions", trouble, t.sent, t.served, len(t.joined))
	if len(t.joined) > joinedStreams || !trouble && t.served < t.sent {
		return casekit.Broken
	}
	return casekit.Held
}
