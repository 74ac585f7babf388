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

// callerCounts holds what the callers observed.
type callerCounts struct {
	mu         sync.Mutex
	complete   int
	resumed    int
	sentBodies []string
	failures   []string
}

func (c *callerCounts) locked(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// sendQuestion sends a streamed chat call and checks its answer.
func (c *callerCounts) sendQuestion(cl *client.Client, p demo.Profile, question string, tokens int, onChunk func(index int)) {
	body, want := chatBody(p, question, tokens)
	got := ""
	answer, err := cl.Generate(context.Background(), client.Generate{
		Body: []byte(body),
		OnChunk: func(index int, text string) {
			got += text
			onChunk(index)
		},
	})
	c.locked(func() {
		switch {
		case err != nil:
			c.failures = append(c.failures, fmt.Sprintf("%s: %v", question, err))
		case got != want || answer.Text != want:
			c.failures = append(c.failures, fmt.Sprintf("%s: got %d chunks, want %d", question, answer.Chunks, tokens))
		default:
			c.complete++
			c.resumed += answer.Streams - 1
		}
	})
}

func (c *callerCounts) sendNonIdempotent(cl *client.Client, p demo.Profile, body string) {
	resp, err := cl.Call(context.Background(), client.Call{Service: p.PlainService, Method: http.MethodPost, Path: p.OrderPath, Body: []byte(body)})
	c.locked(func() {
		c.sentBodies = append(c.sentBodies, body)
		if err != nil || resp.Status != http.StatusOK {
			c.failures = append(c.failures, fmt.Sprintf("%s: status %d: %v", body, resp.Status, err))
		}
	})
}

// runCallers runs callers until stop is closed and waits for their last answers.
func (c *callerCounts) runCallers(d *demo.Deployment, callers int, stop <-chan struct{}) {
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
				c.sendQuestion(cl, d.Profile, name, 20+140*(i%3), func(int) {})
				if i%4 == 0 {
					c.sendNonIdempotent(cl, d.Profile, name)
				}
			}
		})
	}
	group.Wait()
}

func reclaimProfile() demo.Profile {
	p := smallProfile()
	p.Zones[0].Entries, p.Zones[1].Entries = 2, 2
	p.Engine.TokenInterval = 10 * time.Millisecond
	p.AddressTTL = 200 * time.Millisecond
	return p
}

// announce adds a notice of the kind and deadline for each host.
func announce(d *demo.Deployment, kind port.NoticeKind, deadline time.Time, hosts ...string) {
	for _, h := range hosts {
		d.Cloud.AddNotice(h, kind, deadline)
	}
}

// TestZoneReclaimUnderLoad reclaims an availability zone with its entry hosts and engines under
// load; one more endpoint gets a planned stop and one more entry host a stop signal. It
// guards against lost or mixed answers and repeated executions, from what the callers
// observe.
func TestZoneReclaimUnderLoad(t *testing.T) {
	is := is.New(t)
	p := reclaimProfile()
	d := start(t, p)
	zone := p.Zones[0].Zone
	counts := &callerCounts{}
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		counts.runCallers(d, 24, stop)
	}()
	enough := func(n int) func() bool {
		return func() bool {
			counts.mu.Lock()
			defer counts.mu.Unlock()
			return counts.complete >= n || len(counts.failures) > 0
		}
	}
	eventually(t, "the load runs", enough(40))

	// A planned stop of one endpoint: it gets no new requests and completes the running ones.
	planned := engineIn(d, p.Zones[1].Zone)
	announce(d, port.NoticeMaintenance, time.Now().Add(time.Hour), planned.Host.ID)
	eventually(t, "all entry hosts know of the planned stop", func() bool {
		return !slices.ContainsFunc(d.Entries(), func(e *demo.EntryHost) bool { return !hasSeenLeaving(e, planned.Host.ID) })
	})
	time.Sleep(time.Second) // requests that were already routed to it have been sent by then
	callsBefore := planned.Faults.Calls("generate")

	// One stream through an entry host of the zone outlasts the notice, so the connection
	// of its caller will be cut.
	firstChunk := make(chan struct{})
	longDone := make(chan struct{})
	go func() {
		defer close(longDone)
		counts.sendQuestion(newClient(d, entryIn(d, zone).Host.CallerAddress), p, "A long review", 500, func(index int) {
			if index == 0 {
				close(firstChunk)
			}
		})
	}()
	<-firstChunk
	// More such streams run through entry hosts of other zones, some of them on the zone's
	// engines: these have to be moved.
	outside := startStreamsOutside(d, p, counts, zone)

	// The zone is reclaimed, entry hosts included, with a notice of 1.5 s.
	var reclaimed []string
	deadline := time.Now().Add(1500 * time.Millisecond)
	for _, e := range d.Entries() {
		if e.Host.Zone == zone {
			reclaimed = append(reclaimed, e.Host.ID)
		}
	}
	for _, e := range d.Endpoints() {
		if e.Host.Zone == zone {
			reclaimed = append(reclaimed, e.Host.ID)
		}
	}
	announce(d, port.NoticeReclaim, deadline, reclaimed...)
	time.Sleep(time.Until(deadline))
	kill(d, reclaimed)

	// One more entry host stops by a signal.
	signals := make(chan struct{}, 1)
	ended := make(chan error, 1)
	last := entryIn(d, p.Zones[1].Zone)
	go func() { ended <- last.Node.Supervise(context.Background(), signals) }()
	signals <- struct{}{}
	is.NoErr(<-ended)

	counts.mu.Lock()
	before := counts.complete
	counts.mu.Unlock()
	eventually(t, "the load goes on", enough(before+40))
	close(stop)
	<-done
	<-longDone
	outside.Wait()

	is.Equal(counts.failures, nil) // every accepted request has a complete answer
	executions := d.Ledger.Executions()
	for _, body := range counts.sentBodies {
		is.Equal(executions[body], 1) // every non-idempotent request ran once
	}
	is.True(len(counts.sentBodies) > 0)
	is.True(counts.resumed > 0) // connections cut by the reclaim were resumed
	is.Equal(planned.Faults.Calls("generate"), callsBefore)
	is.Equal(planned.Engine.Load().Running, 0)
	is.True(labeledMetricTotal(t, d, "cicadanotch_handoff_takes_total", "taken") > 0)
	is.True(labeledMetricTotal(t, d, "cicadanotch_streams_moved_total", "moved") > 0)
	t.Logf("%d complete answers, %d resumed, %d non-idempotent requests", counts.complete, counts.resumed, len(counts.sentBodies))
}

// outsideStreams is large enough for the choice of endpoints to use every zone.
const outsideStreams = 16

// startStreamsOutside starts streams that outlast a notice, through the entry hosts outside
// an availability zone, and returns when all of them run. The result waits for their ends.
func startStreamsOutside(d *demo.Deployment, p demo.Profile, counts *callerCounts, zone string) *sync.WaitGroup {
	var ended, running sync.WaitGroup
	var outside []*demo.EntryHost
	for _, e := range d.Entries() {
		if e.Host.Zone != zone {
			outside = append(outside, e)
		}
	}
	for i := range outsideStreams {
		running.Add(1)
		started := sync.OnceFunc(running.Done)
		ended.Go(func() {
			defer started()
			cl := newClient(d, outside[i%len(outside)].Host.CallerAddress)
			counts.sendQuestion(cl, p, fmt.Sprintf("A long review outside %d", i), 500, func(int) { started() })
		})
	}
	running.Wait()
	return &ended
}

// labeledMetricTotal sums a counter over all entry hosts and over the rows that have a
// label of that value.
func labeledMetricTotal(t testing.TB, d *demo.Deployment, name, value string) float64 {
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

// hasSeenLeaving reports whether an entry host has seen a host listed as leaving.
func hasSeenLeaving(e *demo.EntryHost, host string) bool {
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
	ids := strings.Join(hosts, " ") + " "
	for _, e := range d.Entries() {
		if strings.Contains(ids, e.Host.ID+" ") {
			_ = e.Node.Stop() // its errors are those of the cut connections
			d.Cloud.RemoveHost(e.Host.ID)
		}
	}
	for _, e := range d.Endpoints() {
		if strings.Contains(ids, e.Host.ID+" ") {
			e.Kill()
			d.Cloud.RemoveHost(e.Host.ID)
		}
	}
}
