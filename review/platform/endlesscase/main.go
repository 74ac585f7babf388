// Command endlesscase lets a worker that leaves answer the calls to copy its runs with bytes without end, and checks
// that no host loses orders at sound workers: the platform kills a process that exceeds its memory limit.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cicadanotch/cicadanotch/platform/platformtest"
	"github.com/cicadanotch/cicadanotch/review/platform/casekit"
)

const (
	// memoryLimit is limits.memory_mb of the settings.
	memoryLimit = 284 << 20
	// engines is the number of model workers; one of them leaves, as many as scale_in takes away.
	engines = 7
	// streams is the number of streams that clients send to each host, orderClients that of the clients that send
	// it orders one after another, each on a kept connection.
	streams      = 100
	orderClients = 4
	deadline     = 20 * time.Second
	// lostOrders is how many requests the rule allows to be lost.
	lostOrders = 3
)

// configuration has a route of streams that can't be resumed, at engines that copy runs. Streams last 15 s with pauses
// of 250 ms, which is on time.
const configuration = `{"version":1,"routes":[
 {"name":"stream","hostname":"x.example","path_prefix":"/stream/","kind":"streaming","timeout_ms":20000,"target_latency_ms":1000,"target_gap_ms":300,"service":"llm","max_attempts":1,"session_affinity":true},
 {"name":"order","hostname":"x.example","path_prefix":"/order/","kind":"non_idempotent","timeout_ms":4000,"target_latency_ms":300,"service":"api","max_attempts":1}],
 "services":[{"name":"api","health_path":"/health","max_connections":110},{"name":"llm","health_path":"/health","max_connections":370,"engine":{"slots":64,"kv_cache_tokens":685000,"kv_token_bytes":327680,"link_mbps":350000,"stride":6,"moves":true,"handle_s":4}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"w","api_keys":["secret"],"priority":0}]}`

func main() {
	binary := flag.String("binary", "", "program of the deploy file")
	path := flag.String("record", "", "file of the record")
	flag.Parse()
	code, err := run(*binary, *path, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "endlesscase:", err)
		code = casekit.CannotRun
	}
	os.Exit(code)
}

// noRoom answers that the run can't be copied.
func noRoom(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusServiceUnavailable) }

// endless sends a body without end until the caller closes the connection.
func endless(rw http.ResponseWriter, _ *http.Request) {
	block := make([]byte, 64<<10)
	for i := range block {
		block[i] = 'x'
	}
	for {
		if _, err := rw.Write(block); err != nil {
			return
		}
	}
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
	workers, err := startWorkers(record, store, trouble)
	for _, w := range workers {
		defer w.Stop()
	}
	if err != nil {
		return 0, err
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
	time.Sleep(5 * time.Second)
	t := &traffic{record: record, done: make(chan struct{})}
	t.start(hosts)
	watched := watch(record, hosts, t.done)
	time.Sleep(4 * time.Second)
	leaving := workers[0]
	record.Add("worker %s is listed as draining", leaving.ID)
	store.Register(leaving.ID, leaving.Entry("draining", 2))
	t.streams.Wait()
	close(t.done)
	t.orders.Wait()
	killed := <-watched
	return t.judge(workers, killed, trouble), nil
}

// startWorkers starts the workers and registers them. The first one leaves later.
func startWorkers(record *casekit.Record, store *platformtest.Store, trouble bool) ([]*casekit.Worker, error) {
	var workers []*casekit.Worker
	for n := range engines + 3 {
		w := &casekit.Worker{ID: fmt.Sprintf("i-llm-%d", n), Service: "llm", Zone: "jos-a", Version: "v1", Slots: 64, Gap: 250 * time.Millisecond, Stride: 6, Record: record, Move: noRoom}
		if n == 0 && trouble {
			w.Move = endless
		}
		if n >= engines {
			w = &casekit.Worker{ID: fmt.Sprintf("i-api-%d", n), Service: "api", Zone: "jos-a", Version: "v1", Slots: 6, Work: 220 * time.Millisecond, Record: record}
		}
		if err := w.Start(); err != nil {
			return workers, err
		}
		store.Register(w.ID, w.Entry("ready", 1))
		workers = append(workers, w)
	}
	return workers, nil
}

// traffic is what the clients send.
type traffic struct {
	record          *casekit.Record
	done            chan struct{} // closed when no more orders are to be sent
	streams, orders sync.WaitGroup

	mu                            sync.Mutex
	served, sent                  int
	ordersServed, ordersSent      int
	closed                        []string // orders whose connection was closed without an answer
	closedStreams, refusedStreams int
}

func (t *traffic) start(hosts []*casekit.Host) {
	for _, h := range hosts {
		for n := range streams {
			t.streams.Go(func() {
				time.Sleep(time.Duration(n) * 20 * time.Millisecond)
				t.stream(h, n)
			})
		}
		for n := range orderClients {
			t.orders.Go(func() { t.order(h, n) })
		}
	}
}

func (t *traffic) stream(h *casekit.Host, n int) {
	q := casekit.Request{ID: fmt.Sprintf("stream-%s-%d", h.Name, n), Path: "/stream/1", Key: "secret", Body: "question", Deadline: deadline, Tokens: "600,360"}
	a := casekit.Send(casekit.NewConnection(), h.Front, q)
	t.record.Add("%s: status %d, whole %v, error %v", q.ID, a.Status, a.Whole(), a.Err)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	switch {
	case a.Whole() && a.Status == http.StatusOK:
		t.served++
	case a.Whole():
		t.refusedStreams++
	default:
		t.closedStreams++
	}
}

// order sends orders one after another on one connection, until the host closes it without an answer.
func (t *traffic) order(h *casekit.Host, n int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for i := 0; ; i++ {
		select {
		case <-t.done:
			return
		case <-time.After(30 * time.Millisecond):
		}
		q := casekit.Request{ID: fmt.Sprintf("order-%s-%d-%d", h.Name, n, i), Path: "/order/1", Key: "secret", Body: "fan on", Deadline: 4 * time.Second}
		t.record.Add("a client sends %s", q.ID)
		a := casekit.Send(client, h.Front, q)
		t.record.Add("%s: status %d, whole %v, error %v", q.ID, a.Status, a.Whole(), a.Err)
		t.mu.Lock()
		t.ordersSent++
		if a.Whole() && a.Status == http.StatusOK {
			t.ordersServed++
		}
		if !a.Whole() {
			t.closed = append(t.closed, q.ID)
		}
		t.mu.Unlock()
		if !a.Whole() {
			return
		}
	}
}

// judge applies the rule LOST: a process that ends by itself counts as running all the while, and the workers of the
// orders are sound.
func (t *traffic) judge(workers []*casekit.Worker, killed int, trouble bool) int {
	passedOn := map[string]bool{}
	for _, w := range workers[engines:] {
		for _, r := range w.Runs() {
			passedOn[r.Attempt] = true
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	lost := 0
	for _, id := range t.closed {
		if passedOn[id] {
			lost++
			t.record.Add("LOST: %s was passed on to a sound worker, and its kept connection was closed without an answer", id)
		}
	}
	t.record.Add("trouble %v: %d processes over %d MB; orders: %d sent, %d served, %d lost; streams: %d sent, %d served, %d refused, %d cut",
		trouble, killed, memoryLimit>>20, t.ordersSent, t.ordersServed, lost, t.sent, t.served, t.refusedStreams, t.closedStreams)
	if lost > lostOrders || killed > 0 && !trouble || !trouble && t.served < t.sent {
		return casekit.Broken
	}
	return casekit.Held
}

// watch kills, as the platform does, the processes that exceed their memory limit, and returns their number once done
// is closed. It records the largest size of each.
func watch(record *casekit.Record, hosts []*casekit.Host, done chan struct{}) chan int {
	result := make(chan int, 1)
	go func() {
		killed, peak := map[string]bool{}, map[string]int64{}
		tick := time.NewTicker(5 * time.Millisecond)
		defer tick.Stop()
		for running := true; running; {
			select {
			case <-done:
				running = false
			case <-tick.C:
			}
			for _, h := range hosts {
				size, ok := h.PeakMemory()
				if !ok || killed[h.Name] {
					continue
				}
				peak[h.Name] = max(peak[h.Name], size)
				if size > memoryLimit {
					killed[h.Name] = true
					record.Add("%s holds %d MB, its limit is %d MB: killed", h.Name, size>>20, memoryLimit>>20)
					h.Signal(syscall.SIGKILL)
				}
			}
		}
		for _, h := range hosts {
			record.Add("%s: at most %d MB", h.Name, peak[h.Name]>>20)
		}
		result <- len(killed)
	}()
	return result
}
