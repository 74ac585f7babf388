package soak

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"

	"github.com/cicadanotch/cicadanotch/platform/platformtest"
)

// fault is one kind of fault. inject starts it and returns a description and a function
// that ends it; the function is nil when nothing has to be undone.
type fault struct {
	name   string
	inject func(tr *testRun) (what string, undo func())
}

// Bounds of the duration of a fault and of the time between two faults.
const (
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	// maxFaultInterval is shorter than most faults, so that they overlap.
	maxFaultInterval = 1500 * time.Millisecond
)

// linkFaults are the faults of a link.
var linkFaults = []struct {
	name   string
	inject func(p *proxy)
}{
	{"delayed", func(p *proxy) { p.delay.Store(int64(120 * time.Millisecond)) }},
	{"reset", (*proxy).resetAll},
	{"silent", func(p *proxy) { p.dropUp.Store(true); p.dropDown.Store(true) }},
	{"silent one way", func(p *proxy) { p.dropDown.Store(true) }},
}

// faults lists all kinds. The probability of a kind is proportional to its number of
// entries.
var faults = []fault{
	{"kill", signalHost(syscall.SIGKILL)},
	{"terminate", terminateHost},
	{"terminate", terminateHost},
	{"pause", pauseHost},
	{"reload", signalHost(syscall.SIGHUP)},
	{"kill all", killAllHosts},
	{"link to the store", func(tr *testRun) (string, func()) {
		h := tr.hosts[tr.rng.IntN(len(tr.hosts))]
		return tr.injectLinkFault(h.Name, h.store, h.recordFaultTime)
	}},
	{"link to the cloud", func(tr *testRun) (string, func()) {
		h := tr.hosts[tr.rng.IntN(len(tr.hosts))]
		return tr.injectLinkFault(h.Name, h.cloud, func() {})
	}},
	{"link to a worker", func(tr *testRun) (string, func()) {
		e := tr.pickEndpoint()
		if e == nil {
			return "no endpoint available", nil
		}
		return tr.injectLinkFault(e.ID, e.link, tr.recordEndpointFault)
	}},
	{"store", failStoreCalls},
	{"store away", isolateStore},
	{"drain", drainEndpoint},
	{"drain", drainEndpoint},
	{"worker dies", killEndpoint},
	{"configuration", func(tr *testRun) (string, func()) { tr.publishConfig(); return "", nil }},
	{"configuration", func(tr *testRun) (string, func()) { tr.publishConfig(); return "", nil }},
}

// drills are further kinds, injected only in runs that name them: seeds of other runs keep their faults.
var drills = []fault{{"store restored", restoreStore}, {kindLethalRequests, sendLethalRequests}}

// FaultKinds returns the names of all kinds of faults except drills.
func FaultKinds() []string {
	var out []string
	for _, f := range faults {
		if !slices.Contains(out, f.name) {
			out = append(out, f.name)
		}
	}
	return out
}

// injectFaults injects faults at random intervals until FaultPhase is over.
func (tr *testRun) injectFaults(ctx context.Context) {
	until := time.Now().Add(tr.opts.FaultPhase)
	kinds := faults
	if len(tr.opts.FaultKinds) > 0 {
		kinds = slices.DeleteFunc(slices.Concat(faults, drills), func(f fault) bool { return !slices.Contains(tr.opts.FaultKinds, f.name) })
	}
	for time.Now().Before(until) && ctx.Err() == nil && len(kinds) > 0 {
		f := kinds[tr.rng.IntN(len(kinds))]
		what, undo := f.inject(tr)
		duration := minFaultDuration + time.Duration(tr.rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
		tr.recordFault(fmt.Sprintf("%s %s", f.name, what))
		if undo != nil {
			tr.tasks.Go(func() { time.Sleep(duration); undo() })
		}
		time.Sleep(time.Duration(tr.rng.Int64N(int64(maxFaultInterval))))
	}
}

func (tr *testRun) recordFault(line string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.faults = append(tr.faults, fmt.Sprintf("%6.3f s %s", time.Since(tr.startedAt).Seconds(), line))
}

func (tr *testRun) recordEndpointFault() {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.endpointFaultTimes = append(tr.endpointFaultTimes, time.Now())
}

func (tr *testRun) injectLinkFault(name string, p *proxy, recordFaultTime func()) (string, func()) {
	f := linkFaults[tr.rng.IntN(len(linkFaults))]
	recordFaultTime()
	f.inject(p)
	return name + " " + f.name, func() { p.clearFaults(); recordFaultTime() }
}

func signalHost(s syscall.Signal) func(tr *testRun) (string, func()) {
	return func(tr *testRun) (string, func()) {
		h := tr.hosts[tr.rng.IntN(len(tr.hosts))]
		h.signal(s)
		return h.Name, nil
	}
}

// terminateHost sends SIGTERM to a process and kills it after the grace period.
func terminateHost(tr *testRun) (string, func()) {
	h := tr.hosts[tr.rng.IntN(len(tr.hosts))]
	h.terminate()
	return h.Name, nil
}

func pauseHost(tr *testRun) (string, func()) {
	h := tr.hosts[tr.rng.IntN(len(tr.hosts))]
	h.signal(syscall.SIGSTOP)
	return h.Name, func() { h.signal(syscall.SIGCONT) }
}

func killAllHosts(tr *testRun) (string, func()) {
	for _, h := range tr.hosts {
		h.signal(syscall.SIGKILL)
	}
	return "", nil
}

// failStoreCalls makes the next calls to the store fail, whichever host sends them.
func failStoreCalls(tr *testRun) (string, func()) {
	kinds := []platformtest.Fault{platformtest.Refuse, platformtest.TooMany, platformtest.Reset, platformtest.LoseReply, platformtest.Garbage}
	calls := 1 + tr.rng.IntN(12)
	for range calls {
		tr.store.Inject(kinds[tr.rng.IntN(len(kinds))])
	}
	for _, h := range tr.hosts {
		h.recordFaultTime()
	}
	return fmt.Sprintf("fails %d calls", calls), nil
}

// isolateStore drops all bytes between the hosts and the store.
func isolateStore(tr *testRun) (string, func()) {
	for _, h := range tr.hosts {
		h.recordFaultTime()
		h.store.dropUp.Store(true)
		h.store.dropDown.Store(true)
	}
	return "", func() {
		for _, h := range tr.hosts {
			h.store.clearFaults()
			h.recordFaultTime()
		}
	}
}

// restoreStore copies the store. In the end the store is away for a moment and returns from that copy.
func restoreStore(tr *testRun) (string, func()) {
	const away = 300 * time.Millisecond
	tr.store.Copy()
	return "", func() {
		_, undo := isolateStore(tr)
		time.Sleep(away)
		tr.store.Restore()
		undo()
	}
}

// pickEndpoint returns a serving endpoint whose service has at least one other, or nil.
func (tr *testRun) pickEndpoint() *endpoint {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	count := map[string]int{}
	var all []*endpoint
	for _, e := range tr.endpoints {
		if !e.removed && e.drainedAt.IsZero() {
			count[e.service]++
			all = append(all, e)
		}
	}
	at := tr.rng.IntN(max(len(all), 1))
	for i := range all {
		if e := all[(at+i)%len(all)]; count[e.service] > 1 {
			return e
		}
	}
	return nil
}

// drainEndpoint lists an endpoint as draining; the returned function adds a replacement.
func drainEndpoint(tr *testRun) (string, func()) {
	e := tr.pickEndpoint()
	if e == nil {
		return "no endpoint available", nil
	}
	tr.store.Register(e.ID, e.Entry(e.service, e.zone, "draining"))
	tr.mu.Lock()
	e.drainedAt = time.Now()
	tr.mu.Unlock()
	// The endpoint serves beyond drainTimeout, so that late requests to it are recorded.
	const removalDelay = drainTimeout + faultRecoveryWindow
	time.AfterFunc(removalDelay, func() { tr.removeEndpoint(e) })
	return e.ID, tr.replaceEndpoint(e)
}

// killEndpoint closes the link of an endpoint; the returned function adds a replacement.
func killEndpoint(tr *testRun) (string, func()) {
	e := tr.pickEndpoint()
	if e == nil {
		return "no endpoint available", nil
	}
	tr.recordEndpointFault()
	e.link.close()
	// The platform removes the entry after three missed heartbeats.
	const removalDelay = 3600 * time.Millisecond
	time.AfterFunc(removalDelay, func() { tr.removeEndpoint(e) })
	tr.mu.Lock()
	e.removed = true
	tr.mu.Unlock()
	return e.ID, tr.replaceEndpoint(e)
}

func (tr *testRun) removeEndpoint(e *endpoint) {
	tr.store.Deregister(e.ID)
	e.link.close()
	tr.mu.Lock()
	e.removed = true
	tr.mu.Unlock()
}

func (tr *testRun) replaceEndpoint(e *endpoint) func() {
	return func() {
		if err := tr.addEndpoint(e.service, e.zone); err != nil {
			tr.recordFault("add replacement endpoint: " + err.Error())
		}
	}
}

// clearFaults ends the faults of all links and continues paused processes.
func (tr *testRun) clearFaults() {
	for _, h := range tr.hosts {
		h.store.clearFaults()
		h.cloud.clearFaults()
		if h.isPaused() {
			h.signal(syscall.SIGCONT)
		}
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, e := range tr.endpoints {
		e.link.clearFaults()
	}
}
