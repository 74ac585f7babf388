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
		worker := tr.pickWorker()
		if worker == nil {
			return "no worker available", nil
		}
		return tr.injectLinkFault(worker.ID, worker.link, tr.recordFaultTime)
	}},
	{"store", failStoreCalls},
	{"store away", isolateStore},
	{"drain", drainWorker},
	{"drain", drainWorker},
	{"worker dies", killWorker},
	{"configuration", func(tr *testRun) (string, func()) { tr.publishConfig(); return "", nil }},
	{"configuration", func(tr *testRun) (string, func()) { tr.publishConfig(); return "", nil }},
}

// FaultKinds returns the names of all kinds of faults.
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
		kinds = slices.DeleteFunc(slices.Clone(faults), func(f fault) bool { return !slices.Contains(tr.opts.FaultKinds, f.name) })
	}
	for time.Now().Before(until) && ctx.Err() == nil {
		f := kinds[tr.rng.IntN(len(kinds))]
		what, undo := f.inject(tr)
		duration := minFaultDuration + time.Duration(tr.rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
		tr.recordFault(fmt.Sprintf("%s %s", f.name, what))
		if undo != nil {
			tr.clients.Go(func() { time.Sleep(duration); undo() })
		}
		time.Sleep(time.Duration(tr.rng.Int64N(int64(maxFaultInterval))))
	}
}

func (tr *testRun) recordFault(line string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.faults = append(tr.faults, fmt.Sprintf("%6.3f s %s", time.Since(tr.startedAt).Seconds(), line))
}

func (tr *testRun) recordFaultTime() {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.workerFaultTimes = append(tr.workerFaultTimes, time.Now())
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
	current := h.incarnation()
	h.signal(syscall.SIGTERM)
	time.AfterFunc(gracePeriod, func() {
		if h.incarnation() == current {
			h.signal(syscall.SIGKILL)
		}
	})
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

// failStoreCalls makes the next calls to the store fail, from whichever host they come.
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

// pickWorker returns a serving worker whose service has at least one other, or nil.
func (tr *testRun) pickWorker() *worker {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	count := map[string]int{}
	var all []*worker
	for _, worker := range tr.workers {
		if !worker.removed && worker.drainedAt.IsZero() {
			count[worker.service]++
			all = append(all, worker)
		}
	}
	at := tr.rng.IntN(max(len(all), 1))
	for i := range all {
		if worker := all[(at+i)%len(all)]; count[worker.service] > 1 {
			return worker
		}
	}
	return nil
}

// drainWorker lists a worker as draining; the returned function adds a replacement.
func drainWorker(tr *testRun) (string, func()) {
	worker := tr.pickWorker()
	if worker == nil {
		return "no worker available", nil
	}
	tr.store.Register(worker.ID, worker.Entry(worker.service, worker.zone, "draining"))
	tr.mu.Lock()
	worker.drainedAt = time.Now()
	tr.mu.Unlock()
	// The worker serves beyond drainTimeout, so that late requests to it are recorded.
	const removalDelay = drainTimeout + faultRecoveryWindow
	time.AfterFunc(removalDelay, func() { tr.removeWorker(worker) })
	return worker.ID, tr.replaceWorker(worker)
}

func killWorker(tr *testRun) (string, func()) {
	worker := tr.pickWorker()
	if worker == nil {
		return "no worker available", nil
	}
	tr.recordFaultTime()
	worker.link.close()
	// The platform removes the entry after three missed heartbeats.
	const removalDelay = 3600 * time.Millisecond
	time.AfterFunc(removalDelay, func() { tr.removeWorker(worker) })
	tr.mu.Lock()
	worker.removed = true
	tr.mu.Unlock()
	return worker.ID, tr.replaceWorker(worker)
}

func (tr *testRun) removeWorker(worker *worker) {
	tr.store.Deregister(worker.ID)
	worker.link.close()
	tr.mu.Lock()
	worker.removed = true
	tr.mu.Unlock()
}

func (tr *testRun) replaceWorker(worker *worker) func() {
	return func() {
		if err := tr.addWorker(worker.service, worker.zone); err != nil {
			tr.recordFault("add replacement worker: " + err.Error())
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
	for _, worker := range tr.workers {
		worker.link.clearFaults()
	}
}
