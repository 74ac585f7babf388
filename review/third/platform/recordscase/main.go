// Command recordscase kills eight of nine hosts while a service has two software versions: clients take their streams up again
// at the host that is left.
package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/review/second/platform/bed"
)

const (
	sendInterval = 50 * time.Millisecond
	// beginTime is how long streams begin before the kill, afterTime how long new ones begin after it.
	beginTime = 5 * time.Second
	afterTime = 6 * time.Second
	// restartDelay is the time from the kill to the start of the next processes.
	restartDelay = 500 * time.Millisecond
	// A client whose stream is refused tries again, each time after what Retry-After says at most.
	tries      = 3
	triesDelay = 500 * time.Millisecond
	minTakenUp = 12
)

const configuration = `{"version":3,"routes":[
 {"name":"chat","hostname":"x.example","path_prefix":"/chat/","kind":"streaming","timeout_ms":15000,"target_latency_ms":500,"target_gap_ms":300,"priority":0,"service":"llm","max_attempts":2,"public":false,"session_affinity":true,"resumable":true}],
 "services":[{"name":"llm","health_path":"/health","max_connections":370,"engine":{"slots":64,"kv_cache_tokens":685000,"kv_token_bytes":327680,"link_mbps":350000.0,"moves":false,"stride":6,"handle_s":5.0}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"w","api_keys":["secret"],"priority":0}]}`

// streams counts what became of streams.
type streams struct {
	c    *bed.Case
	left *bed.Host

	all                          sync.WaitGroup
	mu                           sync.Mutex
	broken                       bool
	sequence                     int
	sent, began, takenUp, wentOn int
}

func main() {
	c := bed.New()
	c.AddEngines("llm", "v1", "v1", "v1", "v2", "v2", "v2") // a release is under way
	c.Store.Put("keyed.op", "config", []byte(configuration))
	for range 3 {
		for _, zone := range []string{"a", "b", "c"} {
			c.AddHost(zone, "a", "b", "c")
		}
	}
	time.Sleep(8 * time.Second) // all hosts are in touch
	left, others := c.Hosts[0], c.Hosts[1:]
	s := &streams{c: c, left: left}
	ctx, leave := context.WithCancel(context.Background())
	for until := time.Now().Add(beginTime); time.Now().Before(until); time.Sleep(sendInterval) {
		n := s.next()
		s.all.Go(func() { s.begin(ctx, others[n%len(others)], n) })
	}
	s.mu.Lock()
	s.broken = true
	s.mu.Unlock()
	if bed.Trouble() {
		c.Add("all hosts but %s are killed", left.Name)
		var killed sync.WaitGroup
		for _, h := range others {
			killed.Go(h.Kill)
		}
		killed.Wait()
		time.AfterFunc(restartDelay, func() {
			for _, h := range others {
				c.Must(h.Start())
			}
			c.Add("they start again")
		})
	}
	leave() // without the kill the clients lose their connections
	for until := time.Now().Add(afterTime); time.Now().Before(until); time.Sleep(sendInterval) {
		n := s.next()
		s.all.Go(func() { s.beginAtLeft(n) })
	}
	s.all.Wait()
	c.Say("of %d new streams at the host that is left %d began; of %d streams that clients took up again there %d went on", s.sent, s.began, s.takenUp, s.wentOn)
	switch {
	case s.takenUp < minTakenUp || s.sent == 0:
		c.Say("too few streams for the rule")
		c.End(bed.Unable)
	case float64(s.wentOn)/float64(s.takenUp) < float64(s.began)/float64(s.sent)/2:
		c.Say("LOST is broken")
		c.End(bed.Broken)
	}
	c.Say("LOST held")
	c.End(bed.Held)
}

func (s *streams) next() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return s.sequence
}

// begin begins a stream at a host, and takes it up again at the host that is left if it breaks off.
func (s *streams) begin(ctx context.Context, h *bed.Host, n int) {
	id := fmt.Sprintf("%016x", n)
	s.c.Add("client sends %s to %s", id, h.Name)
	a := bed.GetStream(ctx, h.Front, id, "", 0)
	s.c.Add("client got for %s: %v", id, a)
	s.mu.Lock()
	broken := s.broken
	s.mu.Unlock()
	if a.Last == 0 || a.Whole || !broken {
		return
	}
	again := bed.Answer{}
	for try := range tries {
		if try > 0 {
			time.Sleep(triesDelay)
		}
		next := fmt.Sprintf("%016x", n+(try+1)<<32)
		s.c.Add("client takes %s up as %s after event %d at %s", id, next, a.Last, s.left.Name)
		again = bed.GetStream(context.Background(), s.left.Front, next, id, a.Last)
		s.c.Add("client got for %s: %v", next, again)
		if again.Last > a.Last {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.takenUp++
	if again.Last > a.Last {
		s.wentOn++
	}
}

func (s *streams) beginAtLeft(n int) {
	id := fmt.Sprintf("%016x", n)
	a := bed.GetStream(context.Background(), s.left.Front, id, "", 0)
	s.c.Add("client got for %s, a new stream at %s: %v", id, s.left.Name, a)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	if a.Last > 0 {
		s.began++
	}
}
