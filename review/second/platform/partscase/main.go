// Command partscase sends prompts of many short parts to two hosts, and ends their processes when these exceed the memory of
// their machines, as the platform does.
package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadanotch/cicadanotch/review/second/platform/bed"
)

const (
	// The deployment: engines and their cache as on the sheet of the users' first site.
	engines   = 18
	hostCount = 2
	// memoryMB is the memory of a machine, restartDelay the time until the platform starts the next process.
	memoryMB     = 284
	restartDelay = 500 * time.Millisecond
	// manyParts is the number of parts of a prompt, each of one token. The head has maxHeadBytes at most.
	manyParts    = 1440
	maxHeadBytes = 16384
	// sendInterval is the time between two requests to a host. All hosts together stay below the limit of the workspace,
	// tokensPerSecond.
	sendInterval    = 8 * time.Millisecond
	tokensPerSecond = 375568
	answerTokens    = 8
	// runTime bounds the case. The rule is broken when the processes of two machines have ended endsEach times.
	runTime  = 90 * time.Second
	endsEach = 3
)

const configuration = `{"version":3,"routes":[
 {"name":"chat","hostname":"x.example","path_prefix":"/chat/","kind":"streaming","timeout_ms":12000,"target_latency_ms":500,"target_gap_ms":300,"priority":0,"service":"llm","max_attempts":2,"public":false,"session_affinity":true,"resumable":true}],
 "services":[{"name":"llm","health_path":"/health","max_connections":370,"engine":{"slots":64,"kv_cache_tokens":685000,"kv_token_bytes":327680,"link_mbps":350000.0,"moves":false,"stride":6,"handle_s":5.0}}],
 "limits":{"max_header_bytes":%d,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"w","api_keys":["secret"],"priority":0,"unit":"token_count","plain_tokens":200,"rate_per_s":%d,"burst":%d}]}`

// prompt returns the list of the parts of the n-th prompt, and its length in tokens. The parts of no two prompts are alike. With
// few set it has as many tokens in three parts.
func prompt(n int64, few bool) (parts string, tokens int) {
	if few {
		return fmt.Sprintf("%08x:%d,%08x:%d,%08x:%d", n<<2, manyParts/2, n<<2|1, manyParts/4, n<<2|2, manyParts/4), manyParts
	}
	var b strings.Builder
	for i := range manyParts {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%08x:1", n<<12|int64(i))
	}
	return b.String(), manyParts
}

// tally counts the requests of one host.
type tally struct{ sent, served, refused, failed atomic.Int64 }

func (t *tally) String() string {
	return fmt.Sprintf("sent %d, whole answers %d, refused %d, failed %d", t.sent.Load(), t.served.Load(), t.refused.Load(), t.failed.Load())
}

func main() {
	c := bed.New()
	c.Store.Put("keyed.op", "config", fmt.Appendf(nil, configuration, maxHeadBytes, tokensPerSecond, tokensPerSecond))
	var all []*bed.Engine
	for n := range engines {
		e := &bed.Engine{ID: fmt.Sprintf("i-%d", n), Service: "llm", Zone: "a", Version: "v1", Events: 2, Interval: 5 * time.Millisecond, Slots: 64}
		c.Must(e.Start())
		c.Store.Register(e.ID, e.Entry())
		all = append(all, e)
	}
	for range hostCount {
		c.AddHost("a", "a")
	}
	time.Sleep(4 * time.Second) // the hosts know one another
	var (
		tallies  = make([]tally, hostCount)
		ends     = make([]atomic.Int64, hostCount)
		sequence atomic.Int64
		over     = make(chan struct{})
		running  sync.WaitGroup
	)
	for i, h := range c.Hosts {
		running.Go(func() { send(c, h.Front, &sequence, &tallies[i], over) })
		running.Go(func() { watch(c, h, &ends[i], over) })
	}
	verdict := bed.Held
	until := time.Now().Add(runTime)
	for time.Now().Before(until) && verdict == bed.Held {
		time.Sleep(time.Second)
		verdict = bed.Broken
		for i, h := range c.Hosts {
			c.Add("%s: %v, %.0f MB, ended %d times", h.Name, &tallies[i], h.MemoryMB(), ends[i].Load())
			if ends[i].Load() < endsEach {
				verdict = bed.Held
			}
		}
	}
	close(over)
	runs := int64(0)
	for _, e := range all {
		runs += e.Runs()
	}
	for i, h := range c.Hosts {
		c.Say("%s: %v; its processes exceeded %d MB and were ended %d times", h.Name, &tallies[i], memoryMB, ends[i].Load())
		if tallies[i].served.Load() == 0 {
			verdict = bed.Unable
		}
	}
	c.Say("the engines ran %d requests; verdict %d", runs, verdict)
	c.End(verdict)
}

// send sends requests to a host at even intervals.
func send(c *bed.Case, front string, sequence *atomic.Int64, t *tally, over chan struct{}) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 5 * time.Second}
	tick := time.NewTicker(sendInterval)
	defer tick.Stop()
	slots := make(chan struct{}, 64)
	for {
		select {
		case <-over:
			return
		case <-tick.C:
		}
		select {
		case slots <- struct{}{}:
		default:
			continue // the host does not answer
		}
		go func() {
			defer func() { <-slots }()
			one(c, client, front, sequence.Add(1), t)
		}()
	}
}

func one(c *bed.Case, client *http.Client, front string, n int64, t *tally) {
	parts, tokens := prompt(n, !bed.Trouble())
	headers := map[string]string{
		"Model": "m", "Deadline-Ms": "5000", "Token-Usage": fmt.Sprintf("%d,%d", tokens, answerTokens), "Prompt-Prefix": parts,
	}
	id := fmt.Sprintf("%016x", n)
	req, err := bed.Request(front, "/chat/1", id, headers)
	if err != nil {
		return
	}
	if n == 1 {
		var head strings.Builder
		_ = req.Write(&head) // to a buffer it cannot fail
		c.Say("a request has a head of %d bytes, below the limit of %d, and %d tokens", strings.Index(head.String(), "\r\n\r\n")+4, maxHeadBytes, tokens+answerTokens)
	}
	t.sent.Add(1)
	resp, err := client.Do(req)
	if err != nil {
		t.failed.Add(1)
		return
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	switch {
	case err != nil:
		t.failed.Add(1)
	case resp.StatusCode == http.StatusOK:
		t.served.Add(1)
	default:
		t.refused.Add(1)
	}
	if n <= 5 {
		c.Add("request %s to %s: %d, error %v", id, front, resp.StatusCode, err)
	}
}

// watch ends a process that exceeds the memory of its machine, and starts the next.
func watch(c *bed.Case, h *bed.Host, ends *atomic.Int64, over chan struct{}) {
	for {
		select {
		case <-over:
			return
		case <-time.After(100 * time.Millisecond):
		}
		mb := h.MemoryMB()
		if mb <= memoryMB {
			continue
		}
		c.Say("%s holds %.0f MB, above the %d MB of its machine: the platform ends it", h.Name, mb, memoryMB)
		h.Kill()
		ends.Add(1)
		time.Sleep(restartDelay)
		c.Must(h.Start())
		c.AwaitReady(h)
	}
}
