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
	// reclaimNotice is how long before its end a host gets its notice.
	reclaimNotice = 5 * time.Second
	// noWorkDelay is when a leaving endpoint must get no new work any more.
	noWorkDelay = 3 * time.Second
	logOutage   = 2 * time.Second
	// regionsParted is how long the regions lose each other.
	regionsParted = 2 * time.Second
)

// scene is one fault that happens at a time after the start of the load. Its
// promise is judged by what it returns and by the callers' tally.
type scene struct {
	at   time.Duration
	name string
	run  func(ctx context.Context, r *runner) error
}

// scenes returns the faults of a run, in order of time.
func scenes() []scene {
	return []scene{
		{1 * time.Second, "operators race to change the model service's document", raceOperators},
		{2 * time.Second, "an availability zone's endpoints are reclaimed in 5 s", reclaimZone},
		{4 * time.Second, "the regions lose each other for 2 s", partRegions},
		{8 * time.Second, "an entry host is reclaimed in 5 s", reclaimEntry},
		{9 * time.Second, "open connections to an engine go silent", silenceEngine},
		{10 * time.Second, "the log is down for 2 s", failLog},
		{13 * time.Second, "a request that kills its engine is sent again and again", sendKiller},
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
	// shown and broken collect what scenes found, by promise.
	shown  map[string]int
	broken map[string][]string
}

// note books one trial of a promise and what broke it; empty for nothing.
func (r *runner) note(promise, broken string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shown[promise]++
	if broken != "" {
		r.broken[promise] = append(r.broken[promise], broken)
	}
}

// reclaimZone takes all endpoints of the second zone and ends them when their
// notice runs out.
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
		before[i] = e.newWork()
	}
	if !wait(ctx, time.Until(deadline)) {
		return ctx.Err()
	}
	for i, e := range leaving {
		e.Kill()
		r.deployment.Cloud.RemoveHost(e.Host.ID)
		broken := ""
		if n := e.newWork() - before[i]; n > 0 {
			broken = fmt.Sprintf("%s got %d requests", e.Host.ID, n)
		}
		r.note(promiseLeaving, broken)
	}
	r.note(promiseReclaim, "")
	return nil
}

// newWork returns how many requests an endpoint was sent.
func (e *EndpointHost) newWork() int {
	return e.Faults.Calls(standin.PointGenerate) + e.Faults.Calls(standin.PointCall)
}

// reclaimEntry takes the first zone's last entry host.
func reclaimEntry(ctx context.Context, r *runner) error {
	return r.reclaimEntries(ctx, r.entry(2))
}

// reclaimZoneEntries takes all entry hosts of the last zone at once.
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

// reclaimEntries gives entry hosts their notice and ends them when it runs out.
func (r *runner) reclaimEntries(ctx context.Context, leaving ...*EntryHost) error {
	deadline := time.Now().Add(reclaimNotice)
	for _, e := range leaving {
		r.deployment.Cloud.AddNotice(e.Host.ID, port.NoticeReclaim, deadline)
	}
	if !wait(ctx, time.Until(deadline)) {
		return ctx.Err()
	}
	for _, e := range leaving {
		r.note(promiseReclaim, "")
		if err := e.Node.Stop(); err != nil {
			return err
		}
		r.deployment.Cloud.RemoveHost(e.Host.ID)
	}
	return nil
}

// partRegions cuts the first region off from the last for a while.
func partRegions(ctx context.Context, r *runner) error {
	zones := r.deployment.Profile.Zones
	first, last := zones[0].Region, zones[len(zones)-1].Region
	r.deployment.Network.SetPartitioned(first, last, true)
	wait(ctx, regionsParted)
	r.deployment.Network.SetPartitioned(first, last, false)
	r.note(promiseWhole, "")
	return ctx.Err()
}

// entry returns the i-th entry host of the first zone, or the last one.
func (r *runner) entry(i int) *EntryHost {
	entries := r.deployment.Entries()
	return entries[min(i, r.deployment.Profile.Zones[0].Entries-1)]
}

// silenceEngine makes the open connections to the first engine that has any
// silent; new connections work.
func silenceEngine(_ context.Context, r *runner) error {
	for _, e := range r.deployment.Endpoints() {
		if e.Engine != nil && e.Engine.Load().Running > 0 && r.deployment.Network.StallConnections(e.Host.EndpointAddress) > 0 {
			r.note(promiseWhole, "")
			return nil
		}
	}
	return fmt.Errorf("no engine had an open connection")
}

// failLog takes the log down for a while.
func failLog(ctx context.Context, r *runner) error {
	r.deployment.failLogFor(logOutage)
	wait(ctx, logOutage)
	// The reply to the next append is lost after it took effect.
	next := r.deployment.LogFaults.Calls(standin.PointAppend) + 1
	r.deployment.LogFaults.Add(standin.Fault{Point: standin.PointAppend, Action: standin.ActionLoseReply, FromCall: next, ToCall: next})
	r.note(promiseOnce, "")
	r.note(promiseNotRun, "")
	return ctx.Err()
}

// killerTries is how often the caller sends the request that kills engines.
const killerTries = 6

// mostKilled is how many engines one request may take down: the second death
// on another endpoint puts it in quarantine.
const mostKilled = 2

// sendKiller sends a request that kills its engine again and again.
func sendKiller(ctx context.Context, r *runner) error {
	before := r.deployment.crashed()
	for range killerTries {
		r.load.killer(ctx)
	}
	broken := ""
	if n := r.deployment.crashed() - before; n > mostKilled {
		broken = fmt.Sprintf("it took %d engines down", n)
	}
	r.note(promiseKiller, broken)
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
