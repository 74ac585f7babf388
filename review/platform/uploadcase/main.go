// Command uploadcase stops a host as planned. Callers that hold its address still send requests, and some of them
// need seconds for the body. It checks that no answer is cut which a worker is writing.
package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cicadanotch/cicadanotch/platform/platformtest"
	"github.com/cicadanotch/cicadanotch/review/platform/casekit"
)

const (
	settleTime = 3 * time.Second
	// firstSend is when after the signal the first request is sent. The rule excuses requests that were sent up to
	// 3 s after it; callers may use an address for three times its ttl of 1.5 s.
	firstSend = 3100 * time.Millisecond
	// sendInterval is the time between two pairs of requests.
	sendInterval = 100 * time.Millisecond
	pairs        = 6
	// uploadTime is how long a caller with a slow link needs for a body of bodyBytes.
	uploadTime = 2600 * time.Millisecond
	bodyBytes  = 12_000
	// events are sent by a worker with a pause of eventGap before each.
	events   = 45
	eventGap = 60 * time.Millisecond
	deadline = 15 * time.Second
	grace    = 8 * time.Second
)

func main() {
	binary := flag.String("binary", "", "program of the deploy file")
	path := flag.String("record", "", "file of the record")
	flag.Parse()
	record, err := casekit.NewRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(casekit.CannotRun)
	}
	code := run(*binary, record, os.Getenv("TROUBLE") != "0")
	record.Close()
	os.Exit(code)
}

// result is what a caller saw of one request.
type result struct {
	id     string
	slow   bool
	status int
	events int
	err    error
}

func run(binary string, record *casekit.Record, trouble bool) int {
	store, cloud := platformtest.NewStore(), platformtest.NewCloud()
	defer store.Close()
	defer cloud.Close()
	dir, err := casekit.Dir()
	if err != nil {
		return fail(record, err)
	}
	defer os.RemoveAll(dir)
	hosts, err := casekit.NewHosts(dir, binary, store.Address(), cloud.Address(), "jos-a", "jos-a", "jos-b")
	if err != nil {
		return fail(record, err)
	}
	store.Put("keyed.op", "config", []byte(casekit.ReportConfiguration))
	var workers []*casekit.Worker
	for n := range 3 {
		w := &casekit.Worker{ID: fmt.Sprintf("llm-%d", n+1), Service: "llm", Zone: "jos-a", Version: "v1", Slots: 64, Gap: eventGap, Stride: 1, Record: record}
		if err := w.Start(); err != nil {
			return fail(record, err)
		}
		defer w.Stop()
		workers = append(workers, w)
		store.Register(w.ID, w.Entry("ready", 1))
	}
	for _, h := range hosts {
		if err := h.Start(); err != nil {
			return fail(record, err)
		}
		defer h.Stop()
	}
	if !casekit.AwaitReady(hosts, 10*time.Second) {
		return fail(record, fmt.Errorf("hosts are not ready: %s", hosts[0].LogTail()))
	}
	time.Sleep(settleTime)
	leaving := hosts[0]
	addresses := platformtest.Addresses(context.Background(), hosts[1].Directory, "plateau", "jos-a")
	record.Add("the directory of %s names %s", hosts[1].Name, strings.Join(addresses, ", "))
	if !slices.Contains(addresses, leaving.Front) {
		return fail(record, fmt.Errorf("the directory does not name the host"))
	}
	began := time.Now()
	if trouble {
		leaving.Signal(syscall.SIGTERM)
		record.Add("SIGTERM to %s", leaving.Name)
		kill := time.AfterFunc(grace, func() { leaving.Signal(syscall.SIGKILL) })
		defer kill.Stop()
	}
	time.Sleep(firstSend - time.Since(began))
	results := make(chan result, 2*pairs)
	var all sync.WaitGroup
	for n := range pairs {
		for _, slow := range []bool{false, true} {
			id := fmt.Sprintf("quick-%d", n)
			if slow {
				id = fmt.Sprintf("slow-%d", n)
			}
			all.Go(func() { results <- send(record, leaving.Front, id, slow) })
		}
		time.Sleep(sendInterval)
	}
	all.Wait()
	close(results)
	return judge(record, began, workers, results)
}

// send sends a request. A slow caller needs uploadTime for the body.
func send(record *casekit.Record, front, id string, slow bool) result {
	r := result{id: id, slow: slow}
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		r.err = err
		record.Add("%s: not connected: %v", id, err)
		return r
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadline)) // a TCP connection supports deadlines
	record.Add("%s: the head is sent", id)
	_, err = fmt.Fprintf(conn, "POST /report/%s HTTP/1.1\r\nHost: x.example\r\nAttempt-Id: %s\r\nApi-Key: secret\r\nDeadline-Ms: %d\r\nToken-Usage: 3000,%d\r\nContent-Length: %d\r\n\r\n",
		id, id, deadline.Milliseconds(), events, bodyBytes)
	const steps = 20
	for range steps {
		if err == nil {
			_, err = conn.Write(make([]byte, bodyBytes/steps))
		}
		if slow {
			time.Sleep(uploadTime / steps)
		}
	}
	record.Add("%s: the last byte is sent, error %v", id, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		r.err = err
		record.Add("%s: no answer: %v", id, err)
		return r
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	r.status, r.err = resp.StatusCode, err
	r.events, _ = platformtest.StreamEvents(string(body))
	record.Add("%s: status %d, %d of %d events, error %v", id, r.status, r.events, events, err)
	return r
}

// judge counts the requests that a worker ran and whose connection ended without a complete answer.
func judge(record *casekit.Record, began time.Time, workers []*casekit.Worker, results <-chan result) int {
	ran := map[string]casekit.Run{}
	for _, w := range workers {
		for _, r := range w.Runs() {
			ran[r.Attempt] = r
		}
	}
	cut, quick := 0, 0
	for r := range results {
		run, ok := ran[r.id]
		if !ok || r.err == nil {
			continue
		}
		record.Add("cut: %s, begun by a worker %v after the signal, ended after %d events: %v", r.id, run.At.Sub(began).Round(time.Millisecond), r.events, r.err)
		cut++
		if !r.slow {
			quick++
		}
	}
	record.Add("%d answers were cut that a worker was writing, %d of them to callers without a slow link; the rule allows none", cut, quick)
	if cut > 0 {
		return casekit.Broken
	}
	return casekit.Held
}

func fail(record *casekit.Record, err error) int {
	record.Add("cannot run: %v", err)
	return casekit.CannotRun
}
