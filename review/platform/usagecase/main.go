// Usagecase plays a drill of the store, which returns from a copy some seconds old, right after the leader has reported
// the usage of a window. The leader is killed as the drill begins, and the next one soon after it has taken over. It
// checks that the platform accepts no two reports of one window with different counts.
package main

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cicadanotch/cicadanotch/platform/platformtest"
	"github.com/cicadanotch/cicadanotch/review/platform/casekit"
)

const (
	daemonPath = "target/cicadanotchd"
	key        = "secret"

	// usageWindow is bounds.usage_window_s.
	usageWindow = 5 * time.Second
	// copyBeforeEnd is how long before the end of the window the copy is taken.
	copyBeforeEnd = time.Second
	// storeAway is how long the store is away, restartDelay how long a killed process is.
	storeAway    = 500 * time.Millisecond
	restartDelay = 500 * time.Millisecond
	// secondKill is how long after its takeover the next leader is killed.
	secondKill = 500 * time.Millisecond
	// maxRounds bounds the windows that are tried.
	maxRounds    = 3
	readyTimeout = 15 * time.Second
)

const configuration = `{"version":1,"routes":[
 {"name":"order","hostname":"x.example","path_prefix":"/order/","kind":"non_idempotent","timeout_ms":2000,"target_latency_ms":300,"service":"api","max_attempts":1}],
 "services":[{"name":"api","health_path":"/health","max_connections":110}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"w","api_keys":["secret"],"priority":0}]}`

func main() {
	code, err := run(os.Args[1])
	if err != nil {
		fmt.Println("cannot run:", err)
	}
	os.Exit(code)
}

// system is the hosts and the stand-ins around them.
type system struct {
	record  *casekit.Record
	store   *platformtest.Store
	cloud   *platformtest.Cloud
	proxies []*casekit.Proxy
	hosts   []*casekit.Host
}

func run(recordPath string) (int, error) {
	trouble, drill := os.Getenv("TROUBLE") != "0", os.Getenv("DRILL") != "0"
	record, err := casekit.NewRecord(recordPath)
	if err != nil {
		return casekit.CannotRun, err
	}
	defer record.Close()
	dir, err := casekit.Dir()
	if err != nil {
		return casekit.CannotRun, err
	}
	defer os.RemoveAll(dir)
	s := &system{record: record, store: platformtest.NewStore(), cloud: platformtest.NewCloud()}
	defer s.store.Close()
	defer s.cloud.Close()
	if err := s.startWorkers(); err != nil {
		return casekit.CannotRun, err
	}
	if err := s.startHosts(dir); err != nil {
		return casekit.CannotRun, err
	}
	defer s.stopHosts()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	s.startClients(&clients, stop)

	time.Sleep(2 * usageWindow)
	for round := range maxRounds {
		if err := s.play(trouble, trouble && drill); err != nil {
			return casekit.CannotRun, err
		}
		if s.conflicts() > 0 || !trouble && round > 0 {
			break
		}
	}
	close(stop)
	clients.Wait()
	for _, c := range s.cloud.Calls() {
		record.Add("accepted: window %d, counts %s, from %s with fencing token %d", c.Window, c.Counts, c.Leader, c.FencingToken)
	}
	n := s.conflicts()
	text := fmt.Sprintf("reports accepted %d, windows with different counts %d (allowed 0)", len(s.cloud.Calls()), n)
	record.Add("%s", text)
	fmt.Println(text)
	if n > 0 {
		return casekit.Broken, nil
	}
	return casekit.Held, nil
}

func (s *system) startWorkers() error {
	for n, zone := range []string{"jos-a", "jos-b", "kad-a"} {
		w := &casekit.Worker{ID: fmt.Sprintf("i-%d", n+1), Service: "api", Zone: zone, Version: "v1", Slots: 6, Work: 30 * time.Millisecond, Record: s.record}
		if err := w.Start(); err != nil {
			return err
		}
		s.store.Register(w.ID, w.Entry("ready", 1))
	}
	s.store.Put("keyed.op", "config", []byte(configuration))
	return nil
}

func (s *system) startHosts(dir string) error {
	zones := []string{"jos-a", "jos-a", "jos-b", "kad-a"}
	for range zones {
		p, err := casekit.NewProxy(s.store.Address())
		if err != nil {
			return err
		}
		s.proxies = append(s.proxies, p)
	}
	hosts, err := casekit.NewHostsBehind(dir, daemonPath, func(n int) string { return s.proxies[n].Address() }, s.cloud.Address(), zones...)
	if err != nil {
		return err
	}
	s.hosts = hosts
	for _, h := range hosts {
		if err := h.Start(); err != nil {
			return err
		}
	}
	if !casekit.AwaitReady(hosts, readyTimeout) {
		return fmt.Errorf("a host is not ready")
	}
	return nil
}

func (s *system) stopHosts() {
	for _, h := range s.hosts {
		h.Stop()
	}
	for _, p := range s.proxies {
		p.Close()
	}
}

// startClients sends about 60 orders a second to all hosts.
func (s *system) startClients(clients *sync.WaitGroup, stop chan struct{}) {
	for c := range 4 {
		clients.Go(func() {
			for n := 1; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(35 * time.Millisecond):
				}
				h := s.hosts[rand.IntN(len(s.hosts))]
				id := fmt.Sprintf("order-%d-%d", c, n)
				a := casekit.Send(casekit.NewConnection(), h.Front, casekit.Request{ID: id, Path: "/order/x", Key: key, Body: "b", Deadline: 2 * time.Second})
				s.record.Add("client sent %s to %s: status %d, error %v", id, h.Name, a.Status, a.Err)
			}
		})
	}
}

// play lets the next window be reported, and plays the drill and the kills around that report.
func (s *system) play(kills, drill bool) error {
	window := time.Now().Add(2*copyBeforeEnd).UnixNano() / int64(usageWindow)
	end := time.Unix(0, (window+1)*int64(usageWindow))
	time.Sleep(time.Until(end.Add(-copyBeforeEnd)))
	s.store.Copy()
	s.record.Add("the store is copied, %v before the end of window %d", time.Until(end).Round(time.Millisecond), window)
	reporter := ""
	for deadline := end.Add(12 * time.Second); reporter == "" && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		for _, c := range s.cloud.Calls() {
			if c.Window == window {
				reporter = c.Leader
				s.record.Add("%s has reported window %d, %v after its end: %s", c.Leader, window, time.Since(end).Round(time.Millisecond), c.Counts)
			}
		}
	}
	if reporter == "" {
		s.record.Add("window %d was not reported", window)
		return nil
	}
	if !kills {
		time.Sleep(time.Until(end.Add(12 * time.Second)))
		return nil
	}
	first := s.host(reporter)
	if drill {
		s.record.Add("the store is away")
		s.setStoreDown(true)
	}
	s.record.Add("%s is killed", first.Name)
	first.Signal(syscall.SIGKILL)
	<-first.Ended()
	time.Sleep(storeAway)
	if drill {
		s.store.Restore()
		s.setStoreDown(false)
		s.record.Add("the store is back from its copy")
	}
	taken := s.takeovers()
	for len(taken) == 0 { // the connection may have ended with the drill
		taken = s.takeovers()
	}
	s.record.Add("takeovers in the copy: %v", taken)
	if err := first.Start(); err != nil {
		return err
	}
	second, err := s.awaitTakeover(taken, end.Add(9*time.Second))
	if err != nil || second == nil {
		s.record.Add("nobody has taken the leadership in time: %v", err)
		time.Sleep(time.Until(end.Add(12 * time.Second)))
		return err
	}
	if os.Getenv("KILLS") == "1" {
		time.Sleep(time.Until(end.Add(13 * time.Second)))
		s.record.Add("takeovers: %v", s.takeovers())
		return nil
	}
	time.Sleep(secondKill)
	s.record.Add("%s, which took the leadership, is killed", second.Name)
	second.Signal(syscall.SIGKILL)
	<-second.Ended()
	time.Sleep(restartDelay)
	if err := second.Start(); err != nil {
		return err
	}
	time.Sleep(time.Until(end.Add(13 * time.Second)))
	s.record.Add("takeovers: %v", s.takeovers())
	return nil
}

func (s *system) host(name string) *casekit.Host {
	for _, h := range s.hosts {
		if h.Name == name {
			return h
		}
	}
	return s.hosts[0]
}

func (s *system) setStoreDown(down bool) {
	for _, p := range s.proxies {
		p.SetDown(down)
	}
}

// takeovers returns the hosts that have written a record of a takeover to the store, in order.
func (s *system) takeovers() []string {
	resp, err := http.Get("http://" + s.store.Address() + "/v1/log-read?topic=duties&part=0&from=0")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	const pageHeader, recordHeader = 16, 4
	if err != nil || len(raw) < pageHeader {
		return nil
	}
	var out []string
	for rest := raw[pageHeader:]; len(rest) >= recordHeader; {
		n := recordHeader + int(binary.BigEndian.Uint32(rest))
		var r struct {
			Taker string `json:"taker"`
		}
		if n <= len(rest) && json.Unmarshal(rest[recordHeader:n], &r) == nil && r.Taker != "" {
			out = append(out, r.Taker)
		}
		rest = rest[min(n, len(rest)):]
	}
	return out
}

// awaitTakeover returns the host that writes to the store next that it takes the leadership, nil if none does in time.
func (s *system) awaitTakeover(before []string, deadline time.Time) (*casekit.Host, error) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	for ctx.Err() == nil {
		if now := s.takeovers(); len(now) > len(before) {
			s.record.Add("%s takes the leadership", now[len(now)-1])
			return s.host(now[len(now)-1]), nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, nil
}

// conflicts returns the number of windows of which reports with different counts were accepted.
func (s *system) conflicts() int {
	counts := map[int64]map[string]bool{}
	for _, c := range s.cloud.Calls() {
		if counts[c.Window] == nil {
			counts[c.Window] = map[string]bool{}
		}
		counts[c.Window][c.Counts] = true
	}
	n := 0
	for _, c := range counts {
		if len(c) > 1 {
			n++
		}
	}
	return n
}
