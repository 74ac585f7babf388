// Command refusedcase shows that hosts that the store serves accept a withdrawn key for too long while the store turns three
// of nine hosts away.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadanotch/cicadanotch/platform/platformtest"
	"github.com/cicadanotch/cicadanotch/rendezvous"
	"github.com/cicadanotch/cicadanotch/review/third/platform/bed"
)

const (
	// rounds is how often the store turns the hosts away, for refusedTime each, with quietTime after it.
	rounds      = 5
	refusedTime = 9 * time.Second
	quietTime   = 5 * time.Second
	// changeDelay is the time from the begin of a round to the withdrawal of a key.
	changeDelay = 100 * time.Millisecond
	// applyTime is config_apply_ms of the sites.
	applyTime = 3 * time.Second
	// watchTime is how long after the withdrawal requests with the key are sent, one each watchInterval to each host.
	watchTime     = 5 * time.Second
	watchInterval = 25 * time.Millisecond
	// refusedHosts are a third of all.
	refusedHosts = 3
)

// configuration has a route of repeatable requests and a workspace with a lasting key and one more.
const configuration = `{"version":%d,"routes":[
 {"name":"get","hostname":"x.example","path_prefix":"/get/","kind":"idempotent","timeout_ms":2000,"target_latency_ms":300,"service":"api","max_attempts":2}],
 "services":[{"name":"api","health_path":"/health","max_connections":110}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"w","api_keys":["lasting"%s],"priority":0}]}`

func main() {
	os.Exit(run(os.Getenv("TROUBLE") != "0", os.Args[1]))
}

func run(trouble bool, folder string) int {
	b, err := bed.New(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer b.Close()
	version := 1
	configure := func(key string) time.Time {
		if key != "" {
			key = `,"` + key + `"`
		}
		b.Store.Put("keyed.op", "config", fmt.Appendf(nil, configuration, version, key))
		version += 3
		return time.Now()
	}
	configure("key-0")
	for n := range 3 {
		e := platformtest.NewEndpoint(fmt.Sprintf("i-%d", n), nil)
		b.Store.Register(e.ID, e.Entry("api", []string{"a", "b", "k"}[n], "ready"))
	}
	if err := b.Start([]bed.Zone{{Name: "a", Region: "r", Hosts: 3}, {Name: "b", Region: "r", Hosts: 3}, {Name: "k", Region: "s", Hosts: 3}}); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if err := b.AwaitReady(20 * time.Second); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	time.Sleep(8 * time.Second) // the hosts know one another
	turnedAway := refused(b.Hosts)
	broken, checked := 0, 0
	for round := range rounds {
		key := fmt.Sprintf("key-%d", round)
		if round > 0 {
			configure(key)
			time.Sleep(quietTime)
		}
		if !accepts(b, key) {
			b.Note("round %d: the key is not in force before the withdrawal", round)
			return 2
		}
		late, sent := play(b, round, key, trouble, turnedAway, func() time.Time { return configure("") })
		broken += late
		checked += sent
	}
	b.Note("result: %d of %d requests were run with a withdrawn key, sent more than %v after the acknowledgement", broken, checked, applyTime)
	fmt.Printf("%d of %d requests were run with a key withdrawn more than %v before they were sent\n", broken, checked, applyTime)
	switch {
	case checked == 0:
		return 2
	case broken > 0:
		return 1
	}
	return 0
}

// refused returns the hosts that the store turns away: the first ones of region r in the order in which they read for others.
func refused(hosts []*bed.Host) []*bed.Host {
	var names []string
	for _, h := range hosts {
		if h.Region == "r" {
			names = append(names, h.Name)
		}
	}
	first := rendezvous.Rank("relay/region/r", names)[:refusedHosts]
	return slices.DeleteFunc(slices.Clone(hosts), func(h *bed.Host) bool { return !slices.Contains(first, h.Name) })
}

func accepts(b *bed.Bed, key string) bool {
	client := bed.Client(2 * time.Second)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		n := 0
		for _, h := range b.Hosts {
			if platformtest.SendRequestWith(context.Background(), client, h.Front, fmt.Sprintf("probe-%s-%d", h.Name, time.Now().UnixNano()), "/get/probe", key, false).Status == http.StatusOK {
				n++
			}
		}
		if n == len(b.Hosts) {
			return true
		}
	}
	return false
}

// play plays one round. It returns how many requests broke the rule, and how many were sent after the bound.
func play(b *bed.Bed, round int, key string, trouble bool, turnedAway []*bed.Host, withdraw func() time.Time) (broken, checked int) {
	began := time.Now()
	for _, h := range turnedAway {
		if trouble {
			h.StoreLink.Refuse(true)
			b.Note("round %d: the store turns %s away", round, h.Name)
		}
	}
	time.Sleep(changeDelay)
	acknowledged := withdraw()
	b.Note("round %d: %s is withdrawn, acknowledged", round, key)
	var late, sent atomic.Int64
	var all sync.WaitGroup
	for _, h := range b.Hosts {
		if slices.Contains(turnedAway, h) {
			continue // it is not in touch
		}
		all.Go(func() {
			client := bed.Client(2 * time.Second)
			last := time.Time{}
			for n := 0; time.Since(acknowledged) < watchTime; n++ {
				at := time.Now()
				a := platformtest.SendRequestWith(context.Background(), client, h.Front, fmt.Sprintf("r%d-%s-%d", round, h.Name, n), "/get/item", key, false)
				after := at.Sub(acknowledged)
				if after > applyTime {
					sent.Add(1)
				}
				if a.Status == http.StatusOK {
					last = at
					if after > applyTime {
						late.Add(1)
						b.Note("BROKEN: request r%d-%s-%d, sent %.3f s after the acknowledgement, was run: 200 %q", round, h.Name, n, after.Seconds(), a.Body)
					}
				}
				time.Sleep(watchInterval)
			}
			if !last.IsZero() {
				b.Note("round %d: %s last ran a request sent %.3f s after the acknowledgement", round, h.Name, last.Sub(acknowledged).Seconds())
			}
		})
	}
	all.Wait()
	time.Sleep(time.Until(began.Add(refusedTime)))
	for _, h := range turnedAway {
		h.StoreLink.Refuse(false)
	}
	return int(late.Load()), int(sent.Load())
}
