package demo

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/standin"
)

const (
	// reclaimNotice is the time between the notice of a reclaim and the end of the host.
	reclaimNotice = 5 * time.Second
	// noWorkDelay is the time after the notice from which a leaving endpoint must get
	// no new requests.
	noWorkDelay = 3 * time.Second
	logOutage   = 2 * time.Second
	// partitionDuration is how long the network between the regions is cut.
	partitionDuration = 2 * time.Second
)

// scenario is one fault, injected at a delay after the start of the load. Its promise is
// checked by the trials that it records and by the tally of the callers.
type scenario struct {
	delay time.Duration
	name  string
	run   func(ctx context.Context, r *runner) error
}

// scenarios returns the faults of a run, ordered by delay.
func scenarios() []scenario {
	return []scenario{
		{1 * time.Second, "operators race to change the model service's document", raceOperators},
		{2 * time.Second, "an availability zone's endpoints are reclaimed in 5 s", reclaimZone},
		{4 * time.Second, "the regions lose each other for 2 s", partitionRegions},
		{8 * time.Second, "an entry host is reclaimed in 5 s", reclaimEntry},
		{9 * time.Second, "open connections to an engine go silent", stallEngineConnections},
		{10 * time.Second, "the log is down for 2 s", failLog},
		{13 * time.Second, "a request that kills its engine is sent again and again", repeatCrashingRequest},
		{14 * time.Second, "an entry host is stopped as planned", stopEntry},
		{15 * time.Second, "all entry hosts of an availability zone are reclaimed in 5 s", reclaimZoneEntries},
	}
}

// runner is the state of one run.
type runner struct {
	deployment *Deployment
	load       *load
	tally      *Tally
	progress   func(text string)

	mu sync.Mutex
	// trials counts the trials of each promise, breaches describes its breaches.
	trials   map[string]int
	breaches map[string][]string
}

// recordTrial records one trial of a promise and a description of its breach; empty if
// the promise held.
func (r *runner) recordTrial(promise, breach string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trials[promise]++
	if breach != "" {
		r.breaches[promise] = append(r.breaches[promise], breach)
	}
}

// reclaimZone reclaims all endpoints of the second availability zone and ends them when
// their notice expires.
func reclaimZone(ctx context.Context, r *runner) error {
	zone := r.deployment.Profile.Zones[1].Zone
	var leaving []*EndpointHost
	deadline := time.Now().Add(reclaimNotice)
	for _, e := range r.deployment.Endpoints() {
		if e.Host.Zone == zone {
			leaving = append(leaving, e)
			r.deployment.Cloud.AddNotice(e.Host.ID, port.NoticeReclaim, deadline)
		}
	}
	if !wait(ctx, noWorkDelay) {
		return ctx.Err()
	}
	before := make([]int, len(leaving))
	for i, e := range leaving {
		before[i] = e.requestsSent()
	}
	if !wait(ctx, time.Until(deadline)) {
		return ctx.Err()
	}
	for i, e := range leaving {
		e.Kill()
		r.deployment.Cloud.RemoveHost(e.Host.ID)
		breach := ""
		if n := e.requestsSent() - before[i]; n > 0 {
			breach = fmt.Sprintf("%s got %d requests", e.Host.ID, n)
		}
		r.recordTrial(promiseLeaving, breach)
	}
	r.recordTrial(promiseReclaim, "")
	return nil
}

// requestsSent returns how many requests were sent to the endpoint.
func (e *EndpointHost) requestsSent() int {
	return e.Faults.Calls(standin.PointGenerate) + e.Faults.Calls(standin.PointCall)
}

// reclaimEntry reclaims the last entry host of the first availability zone.
func reclaimEntry(ctx context.Context, r *runner) error {
	return r.reclaimEntries(ctx, r.entry(2))
}

// reclaimZoneEntries reclaims all entry hosts of the last availability zone at once.
func reclaimZoneEntries(ctx context.Context, r *runner) error {
	zones := r.deployment.Profile.Zones
	var leaving []*EntryHost
	for _, e := range r.deployment.Entries() {
		if e.Host.Zone == zones[len(zones)-1].Zone {
			leaving = append(leaving, e)
		}
	}
	return r.reclaimEntries(ctx, leaving...)
}

// reclaimEntries announces the reclaim of entry hosts and ends them when their notice
// expires.
func (r *runner) reclaimEntries(ctx context.Context, leaving ...*EntryHost) error {
	deadline := time.Now().Add(reclaimNotice)
	for _, e := range leaving {
		r.deployment.Cloud.AddNotice(e.Host.ID, port.NoticeReclaim, deadline)
	}
	if !wait(ctx, time.Until(deadline)) {
		return ctx.Err()
	}
	for _, e := range leaving {
		r.recordTrial(promiseReclaim, "")
		if err := e.Node.Stop(); err != nil {
			return err
		}
		r.deployment.Cloud.RemoveHost(e.Host.ID)
	}
	return nil
}

// partitionRegions cuts the network between the first and the last region for
// partitionDuration.
func partitionRegions(ctx context.Context, r *runner) error {
	zones := r.deployment.Profile.Zones
	first, last := zones[0].Region, zones[len(zones)-1].Region
	r.deployment.Network.SetPartitioned(first, last, true)
	wait(ctx, partitionDuration)
	r.deployment.Network.SetPartitioned(first, last, false)
	r.recordTrial(promiseCompleteAnswer, "")
	return ctx.Err()
}

// entry returns the i-th entry host of the first availability zone, or its last one if it has
// fewer.
func (r *runner) entry(i int) *EntryHost {
	entries := r.deployment.Entries()
	return entries[min(i, r.deployment.Profile.Zones[0].Entries-1)]
}

// stallEngineConnections stalls the open connections to the first engine that has any;
// new connections work.
func stallEngineConnections(_ context.Context, r *runner) error {
	for _, e := range r.deployment.Endpoints() {
		if e.Engine != nil && e.Engine.Load().Running > 0 && r.deployment.Network.StallConnections(e.Host.EndpointAddress) > 0 {
			r.recordTrial(promiseCompleteAnswer, "")
			return nil
		}
	}
	return fmt.Errorf("no engine had an open connection")
}

// failLog makes the log fail for logOutage, then loses the reply to one append.
func failLog(ctx context.Context, r *runner) error {
	r.deployment.failLogFor(logOutage)
	wait(ctx, logOutage)
	// The next append takes effect, but its reply is lost.
	next := r.deployment.LogFaults.Calls(standin.PointAppend) + 1
	r.deployment.LogFaults.Add(standin.Fault{Point: standin.PointAppend, Action: standin.ActionLoseReply, FromCall: next, ToCall: next})
	r.recordTrial(promiseAtMostOnce, "")
	r.recordTrial(promiseNotRun, "")
	return ctx.Err()
}

// crashingSends is how often the caller sends the request that crashes engines.
const crashingSends = 6

// maxCrashedEngines is how many engines one request may crash: the second crash, on
// another endpoint, puts it in quarantine.
const maxCrashedEngines = 2

// repeatCrashingRequest repeatedly sends a request that crashes its engine.
func repeatCrashingRequest(ctx context.Context, r *runner) error {
	before := r.deployment.crashed()
	for range crashingSends {
		r.load.sendCrashing(ctx)
	}
	breach := ""
	if n := r.deployment.crashed() - before; n > maxCrashedEngines {
		breach = fmt.Sprintf("it took %d engines down", n)
	}
	r.recordTrial(promiseQuarantine, breach)
	return ctx.Err()
}

func (d *Deployment) crashed() int {
	n := 0
	for _, e := range d.Endpoints() {
		if e.Engine != nil && e.Engine.Crashed() {
			n++
		}
	}
	return n
}

func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
