// Command bodycase sends requests with the longest bodies that the configuration allows, at the rate of a burst, and
// ends the hosts whose memory exceeds their limit, as the platform does.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cicadanotch/cicadanotch/platform/platformtest"
	"github.com/cicadanotch/cicadanotch/review/platform/casekit"
)

const (
	settleTime = 3 * time.Second
	// maxMemory is limits.memory_mb of the settings.
	maxMemory     = 284 << 20
	checkInterval = 10 * time.Millisecond
	restartDelay  = 300 * time.Millisecond
	// maxBody is max_body_bytes of the configuration, usualBody the mean of such requests on the data sheet.
	maxBody   = 4 << 20
	usualBody = 12_000
	// A machine of the data sheet gets 21 requests a second; a burst of 1.7 times that lasts 3 s.
	requests     = 105
	sendInterval = 28 * time.Millisecond
	uploadTime   = 6 * time.Second
	uploadSteps  = 64
	deadline     = 15 * time.Second
	// rounds is the number of bursts, roundPause the time from the end of one to the next.
	rounds     = 3
	roundPause = 2 * time.Second
	// The rule counts machines whose processes end maxEnds times, and allows fewer than maxMachines.
	maxEnds, maxMachines = 3, 2
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
	for n := range 3 {
		w := &casekit.Worker{ID: fmt.Sprintf("llm-%d", n+1), Service: "llm", Zone: "jos-a", Version: "v1", Slots: 64, Gap: 20 * time.Millisecond, Stride: 1, Record: record}
		if err := w.Start(); err != nil {
			return fail(record, err)
		}
		defer w.Stop()
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
	body := usualBody
	if trouble {
		body = maxBody
	}
	used := hosts[:maxMachines]
	stop := make(chan struct{})
	ends := make([]int, len(used))
	var watching sync.WaitGroup
	for n, h := range used {
		watching.Go(func() { ends[n] = watch(record, h, stop) })
	}
	for round := range rounds {
		record.Add("round %d: %d requests to each of %d hosts, %d bytes each", round+1, requests, len(used), body)
		burst(record, used, round, body)
		time.Sleep(roundPause)
	}
	close(stop)
	watching.Wait()
	machines := 0
	for n, h := range used {
		peak, _ := h.PeakMemory()
		record.Add("%s: ended %d times over its memory limit of %d MB; the present process has used up to %d MB", h.Name, ends[n], maxMemory>>20, peak>>20)
		if ends[n] >= maxEnds {
			machines++
		}
	}
	record.Add("processes of %d hosts ended %d times or more; the rule allows %d host", machines, maxEnds, maxMachines-1)
	if machines >= maxMachines {
		return casekit.Broken
	}
	return casekit.Held
}

// watch ends the process of a host when its memory exceeds the limit, and starts it again. It returns how often.
func watch(record *casekit.Record, h *casekit.Host, stop <-chan struct{}) int {
	ends := 0
	for {
		select {
		case <-stop:
			return ends
		case <-time.After(checkInterval):
		}
		peak, ok := h.PeakMemory()
		if !ok || peak <= maxMemory {
			continue
		}
		h.Signal(syscall.SIGKILL)
		<-h.Ended()
		ends++
		record.Add("%s used %d MB and was killed", h.Name, peak>>20)
		time.Sleep(restartDelay)
		if err := h.Start(); err != nil {
			record.Add("%s did not start again: %v", h.Name, err)
			return ends
		}
	}
}

// burst sends the requests of a round and waits for their answers.
func burst(record *casekit.Record, hosts []*casekit.Host, round, body int) {
	var all sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[string]int{}
	for n := range requests {
		for at, h := range hosts {
			id := fmt.Sprintf("r%d-h%d-%d", round+1, at+1, n)
			all.Go(func() {
				outcome := send(h.Front, id, body)
				record.Add("%s: %s", id, outcome)
				mu.Lock()
				defer mu.Unlock()
				outcomes[outcome]++
			})
		}
		time.Sleep(sendInterval)
	}
	all.Wait()
	record.Add("round %d: %v", round+1, outcomes)
}

// send sends a request and returns what became of it.
func send(front, id string, body int) string {
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return "not connected"
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadline)) // a TCP connection supports deadlines
	_, err = fmt.Fprintf(conn, "POST /report/%s HTTP/1.1\r\nHost: x.example\r\nAttempt-Id: %s\r\nApi-Key: secret\r\nDeadline-Ms: %d\r\nToken-Usage: 3000,10\r\nContent-Length: %d\r\n\r\n",
		id, id, deadline.Milliseconds(), body)
	for left := body; left > 0 && err == nil; {
		n := min(left, max(body/uploadSteps, 1))
		_, err = conn.Write(make([]byte, n))
		if left -= n; left > 0 {
			time.Sleep(uploadTime / uploadSteps)
		}
	}
	if err != nil {
		return "connection lost while the body was sent"
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "connection lost after the body was sent"
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "answer cut"
	}
	return "status " + strconv.Itoa(resp.StatusCode)
}

func fail(record *casekit.Record, err error) int {
	record.Add("cannot run: %v", err)
	return casekit.CannotRun
}
