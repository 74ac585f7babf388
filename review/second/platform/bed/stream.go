package bed

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Answer is what a client got.
type Answer struct {
	Status int
	// Last is the id of the last whole event, Whole is set if the stream has ended as complete.
	Last  int
	Whole bool
	// Wrote are the services and versions that wrote its events, in order.
	Wrote  []string
	Detail string
}

func (a Answer) String() string {
	if a.Status == http.StatusOK {
		return fmt.Sprintf("200, up to event %d, whole %t, written by %s", a.Last, a.Whole, strings.Join(a.Wrote, ", "))
	}
	return fmt.Sprintf("%d %s", a.Status, a.Detail)
}

// GetStream requests a stream and reads it. origin and after are those of a stream that is taken up.
func GetStream(ctx context.Context, front, id, origin string, after int) Answer {
	headers := map[string]string{"Model": "m", "Deadline-Ms": "14000", "Token-Usage": "300,720", "Prompt-Prefix": "5c1e07a2:100," + id + ":200"}
	if origin != "" {
		headers["Resumes"], headers["Last-Event-Id"] = origin, strconv.Itoa(after)
	}
	req, err := Request(front, "/chat/1", id, headers)
	if err != nil {
		return Answer{Detail: err.Error()}
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 16 * time.Second}
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return Answer{Detail: err.Error()}
	}
	defer resp.Body.Close()
	a := Answer{Status: resp.StatusCode, Last: after}
	lines := bufio.NewScanner(resp.Body)
	for event := after; lines.Scan(); {
		text := lines.Text()
		switch name, value, _ := strings.Cut(text, ": "); {
		case resp.StatusCode != http.StatusOK:
			a.Detail += text
		case name == "id":
			event, _ = strconv.Atoi(value)
		case name == "data" && !slices.Contains(a.Wrote, value):
			a.Wrote = append(a.Wrote, value)
		case text == "":
			a.Last = event
		}
	}
	a.Whole = lines.Err() == nil
	return a
}

// minTakenUp is the least number of streams taken up from which the rule LOST counts them.
const minTakenUp = 12

// Streams sends streams to the hosts of a case in turn, and takes those up at the other hosts that break off at the first
// host once Break was called. What the other hosts did decides whether LOST is broken.
type Streams struct {
	Case *Case
	// Interval is the time between two new streams.
	Interval time.Duration

	requests sync.WaitGroup
	mu       sync.Mutex
	broken   bool
	sequence int
	// cancels break off the connections to the first host.
	cancels []context.CancelFunc
	// New streams at the other hosts, and streams taken up there.
	sent, began, takenUp, wentOn int
}

// Send sends new streams for some time, none of them to the first host after Break.
func (s *Streams) Send(d time.Duration) {
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(s.Interval) {
		s.mu.Lock()
		s.sequence++
		id, hosts := s.sequence, s.Case.Hosts
		if s.broken {
			hosts = hosts[1:]
		}
		s.mu.Unlock()
		s.requests.Go(func() { s.one(hosts[id%len(hosts)], id) })
	}
}

// Break states that streams at the first host break off from now on. With reset the clients' connections to it are lost.
func (s *Streams) Break(reset bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = true
	if reset {
		for _, cancel := range s.cancels {
			cancel()
		}
	}
}

func (s *Streams) one(h *Host, n int) {
	c, first := s.Case, s.Case.Hosts[0]
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if h == first {
		s.mu.Lock()
		s.cancels = append(s.cancels, cancel)
		s.mu.Unlock()
	}
	id := fmt.Sprintf("%016x", n)
	c.Add("client sends %s to %s", id, h.Name)
	a := GetStream(ctx, h.Front, id, "", 0)
	c.Add("client got for %s: %v", id, a)
	s.mu.Lock()
	broken := s.broken
	if h != first {
		s.sent++
		if a.Last > 0 {
			s.began++
		}
	}
	s.mu.Unlock()
	if h != first || a.Last == 0 || a.Whole || !broken {
		return
	}
	sound := c.Hosts[1:]
	other, next := sound[rand.IntN(len(sound))], fmt.Sprintf("%016x", n+1<<32)
	c.Add("client takes %s up as %s after event %d at %s", id, next, a.Last, other.Name)
	again := GetStream(context.Background(), other.Front, next, id, a.Last)
	c.Add("client got for %s: %v", next, again)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.takenUp++
	if again.Last > a.Last {
		s.wentOn++
	}
}

// Judge waits for all streams and ends the case.
func (s *Streams) Judge() {
	s.requests.Wait()
	c := s.Case
	c.Say("of %d new streams %d began; of %d streams that clients took up again %d went on, at hosts that nothing happened to", s.sent, s.began, s.takenUp, s.wentOn)
	switch {
	case s.takenUp < minTakenUp || s.sent == 0:
		c.Say("too few streams for the rule")
		c.End(Unable)
	case float64(s.wentOn)/float64(s.takenUp) < float64(s.began)/float64(s.sent)/2:
		c.Say("LOST is broken")
		c.End(Broken)
	}
	c.Say("LOST held")
	c.End(Held)
}

// AddEngines starts engines of a service, of these software versions. Each stream of theirs takes 12 s.
func (c *Case) AddEngines(service string, versions ...string) {
	for n, version := range versions {
		id := fmt.Sprintf("i-%s-%d", service, n)
		e := &Engine{ID: id, Service: service, Zone: "a", Version: version, Events: 120, Interval: 100 * time.Millisecond, Slots: 64}
		e.Ran = func(attempt string, after int) { c.Add("%s (%s) runs %s after event %d", id, version, attempt, after) }
		c.Must(e.Start())
		c.Store.Register(id, e.Entry())
	}
}
