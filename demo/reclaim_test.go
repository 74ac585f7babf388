package demo_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/client"
	"github.com/cicadanotch/cicadanotch/demo"
	"github.com/cicadanotch/cicadanotch/port"
)

// tally is the callers' own account.
type tally struct {
	mu       sync.Mutex
	whole    int
	attached int
	ordered  []string
	failures []string
}

func (c *tally) add(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// ask sends one streamed question and checks its answer.
func (c *tally) ask(cl *client.Client, p demo.Profile, question string, tokens int, onChunk func(index int)) {
	body, want := chatBody(p, question, tokens)
	got := ""
	answer, err := cl.Generate(context.Background(), client.Generate{
		Body: []byte(body),
		OnChunk: func(index int, text string) {
			got += text
			onChunk(index)
		},
	})
	c.add(func() {
		switch {
		case err != nil:
			c.failures = append(c.failures, fmt.Sprintf("%s: %v", question, err))
		case got != want || answer.Text != want:
			c.failures = append(c.failures, fmt.Sprintf("%s: got %d chunks, want %d", question, answer.Chunks, tokens))
		default:
			c.whole++
			c.attached += answer.Streams - 1
		}
	})
}

func (c *tally) order(cl *client.Client, p demo.Profile, body string) {
	resp, err := cl.Call(context.Background(), client.Call{Service: p.PlainService, Method: http.MethodPost, Path: p.OrderPath, Body: []byte(body)})
	c.add(func() {
		c.ordered = append(c.ordered, body)
		if err != nil || resp.Status != http.StatusOK {
			c.failures = append(c.failures, fmt.Sprintf("%s: status %d: %v", body, resp.Status, err))
		}
	})
}

// load runs callers until stop is closed, and waits for their last answers.
func (c *tally) load(d *demo.Deployment, callers int, stop <-chan struct{}) {
	var seeds []string
	for _, e := range d.Entries() {
		seeds = append(seeds, e.Host.CallerAddress)
	}
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			cl := newClient(d, append(seeds[i%len(seeds):len(seeds):len(seeds)], seeds...)...)
			for round := 0; ; round++ {
				select {
				case <-stop:
					return
				default:
				}
				name := fmt.Sprintf("caller %d question %d", i, round)
				c.ask(cl, d.Profile, name, 20+140*(i%3), func(int) {})
				if i%4 == 0 {
					c.order(cl, d.Profile, name)
				}
			}
		})
	}
	group.Wait()
}

func wave() demo.Profile {
	p := small()
	p.Zones[0].Entries, p.Zones[1].Entries = 2, 2
	p.Engine.TokenInterval = 10 * time.Millisecond
	p.AddressLifetime = 200 * time.Millisecond
	return p
}

// announce tells of the end of hosts at a deadline.
func announce(d *demo.Deployment, kind port.NoticeKind, deadline time.Time, hosts ...string) {
	for _, h := range hosts {
		d.Cloud.AddNotice(h, kind, deadline)
	}
}

// TestZoneGoesUnderLoad takes an availability zone with its entry hosts and
// engines away on a notice, one endpoint by a planned stop, and stops one entry
// host more by a signal, all under load. The callers count.
func TestZoneGoesUnderLoad(t *testing.T) {
	is := is.New(t)
	p := wave()
	d := start(t, p)
	zone := p.Zones[0].Zone
	counts := &tally{}
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		counts.load(d, 24, stop)
	}()
	enough := func(n int) func() bool {
		return func() bool {
			counts.mu.Lock()
			defer counts.mu.Unlock()
			return counts.whole >= n || len(counts.failures) > 0
		}
	}
	eventually(t, "the load runs", enough(40))

	// A planned stop of one endpoint: no new work, what runs ends by itself.
	planned := engineIn(d, p.Zones[1].Zone)
	announce(d, port.NoticeMaintenance, time.Now().Add(time.Hour), planned.Host.ID)
	eventually(t, "all entry hosts know of the planned stop", func() bool {
		return !slices.ContainsFunc(d.Entries(), func(e *demo.EntryHost) bool { return !listedLeaving(e, planned.Host.ID) })
	})
	time.Sleep(time.Second) // what was chosen before has been sent by then
	begun := planned.Faults.Calls("generate")

	// One stream at the zone outlasts the notice: its caller will be cut off.
	first := make(chan struct{})
	longDone := make(chan struct{})
	go func() {
		defer close(longDone)
		counts.ask(newClient(d, entryIn(d, zone).Host.CallerAddress), p, "A long review", 500, func(index int) {
			if index == 0 {
				close(first)
			}
		})
	}()
	<-first
	// More of them run through hosts that stay, some at the zone's engines: these
	// have to move.
	outside := streamsOutside(d, p, counts, zone)

	// The zone goes, with its entry hosts, on a second and a half of notice.
	var gone []string
	deadline := time.Now().Add(1500 * time.Millisecond)
	for _, e := range d.Entries() {
		if e.Host.Zone == zone {
			gone = append(gone, e.Host.ID)
		}
	}
	for _, e := range d.Endpoints() {
		if e.Host.Zone == zone {
			gone = append(gone, e.Host.ID)
		}
	}
	announce(d, port.NoticeReclaim, deadline, gone...)
	time.Sleep(time.Until(deadline))
	kill(d, gone)

	// One entry host more stops by a signal.
	signals := make(chan struct{}, 1)
	ended := make(chan error, 1)
	last := entryIn(d, p.Zones[1].Zone)
	go func() { ended <- last.Node.Supervise(context.Background(), signals) }()
	signals <- struct{}{}
	is.NoErr(<-ended)

	counts.mu.Lock()
	before := counts.whole
	counts.mu.Unlock()
	eventually(t, "the load goes on", enough(before+40))
	close(stop)
	<-done
	<-longDone
	outside.Wait()

	is.Equal(counts.failures, nil) // every accepted request whole
	executions := d.Ledger.Executions()
	for _, body := range counts.ordered {
		is.Equal(executions[body], 1) // every order once
	}
	is.True(len(counts.ordered) > 0)
	is.True(counts.attached > 0) // callers were cut by the reclaim and attached again
	is.Equal(planned.Faults.Calls("generate"), begun)
	is.Equal(planned.Engine.Load().Running, 0)
	is.True(metric(t, d, "cicadanotch_handoff_takes_total", "taken") > 0)
	is.True(metric(t, d, "cicadanotch_streams_moved_total", "moved") > 0)
	t.Logf("%d answers whole, %d attached again, %d orders", counts.whole, counts.attached, len(counts.ordered))
}

// outsideStreams is enough for the choice of endpoints to use every zone.
const outsideStreams = 16

// streamsOutside starts streams that outlast a notice through the entry hosts
// outside a zone, and returns when all of them run.
func streamsOutside(d *demo.Deployment, p demo.Profile, counts *tally, zone string) *sync.WaitGroup {
	var ended, running sync.WaitGroup
	var outside []*demo.EntryHost
	for _, e := range d.Entries() {
		if e.Host.Zone != zone {
			outside = append(outside, e)
		}
	}
	for i := range outsideStreams {
		running.Add(1)
		begun := sync.OnceFunc(running.Done)
		ended.Go(func() {
			defer begun()
			cl := newClient(d, outside[i%len(outside)].Host.CallerAddress)
			counts.ask(cl, p, fmt.Sprintf("A long review outside %d", i), 500, func(int) { begun() })
		})
	}
	running.Wait()
	return &ended
}

// metric sums a counter over all entry hosts and over the rows that have a
// label of that value.
func metric(t testing.TB, d *demo.Deployment, name, value string) float64 {
	t.Helper()
	is := is.New(t)
	sum := 0.0
	for _, e := range d.Entries() {
		families, err := e.Node.Registry().Gather()
		is.NoErr(err)
		for _, f := range families {
			for _, m := range f.GetMetric() {
				for _, l := range m.GetLabel() {
					if f.GetName() == name && l.GetValue() == value {
						sum += m.GetCounter().GetValue()
					}
				}
			}
		}
	}
	return sum
}

// listedLeaving reports whether an entry host has seen a host listed as
// leaving.
func listedLeaving(e *demo.EntryHost, host string) bool {
	return slices.ContainsFunc(e.Node.State().Hosts, func(h port.Host) bool {
		return h.ID == host && h.State == port.HostLeaving
	})
}

func engineIn(d *demo.Deployment, zone string) *demo.EndpointHost {
	for _, e := range d.Endpoints() {
		if e.Host.Zone == zone && e.Engine != nil {
			return e
		}
	}
	return nil
}

func entryIn(d *demo.Deployment, zone string) *demo.EntryHost {
	for _, e := range d.Entries() {
		if e.Host.Zone == zone {
			return e
		}
	}
	return nil
}

// kill ends hosts as the cloud does at a deadline.
func kill(d *demo.Deployment, hosts []string) {
	named := strings.Join(hosts, " ") + " "
	for _, e := range d.Entries() {
		if strings.Contains(named, e.Host.ID+" ") {
			_ = e.Node.Stop() // its errors are those of connections that are cut
			d.Cloud.RemoveHost(e.Host.ID)
		}
	}
	for _, e := range d.Endpoints() {
		if strings.Contains(named, e.Host.ID+" ") {
			e.Kill()
			d.Cloud.RemoveHost(e.Host.ID)
		}
	}
}
