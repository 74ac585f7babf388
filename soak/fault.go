package soak

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"

	"github.com/cicadanotch/cicadanotch/platform/platformtest"
)

// fault is one kind of trouble. It strikes and returns what ends it, nil where it
// ends by itself.
type fault struct {
	name   string
	strike func(w *world) (what string, heal func())
}

// struck bounds how long a fault lasts.
const (
	struckLeast = 300 * time.Millisecond
	struckMost  = 4 * time.Second
	// pauseMost bounds the time between two faults; shorter than most faults, so
	// that they overlap.
	pauseMost = 1500 * time.Millisecond
)

// linkFaults are what happens to a link.
var linkFaults = []struct {
	name   string
	strike func(p *proxy)
}{
	{"delayed", func(p *proxy) { p.delay.Store(int64(120 * time.Millisecond)) }},
	{"reset", (*proxy).resetAll},
	{"silent", func(p *proxy) { p.silentUp.Store(true); p.silentDown.Store(true) }},
	{"silent one way", func(p *proxy) { p.silentDown.Store(true) }},
}

// faults are all kinds; each is as likely as its entries are many.
var faults = []fault{
	{"kill", signalHost(syscall.SIGKILL)},
	{"terminate", terminate},
	{"terminate", terminate},
	{"pause", pause},
	{"reload", signalHost(syscall.SIGHUP)},
	{"kill all", killAll},
	{"link to the store", func(w *world) (string, func()) {
		h := w.hosts[w.rng.IntN(len(w.hosts))]
		return w.strikeLink(h.Name, h.store, h.harm)
	}},
	{"link to the cloud", func(w *world) (string, func()) {
		h := w.hosts[w.rng.IntN(len(w.hosts))]
		return w.strikeLink(h.Name, h.cloud, func() {})
	}},
	{"link to a worker", func(w *world) (string, func()) {
		worker := w.pick()
		if worker == nil {
			return "none left", nil
		}
		return w.strikeLink(worker.ID, worker.link, w.harm)
	}},
	{"store", storeFaults},
	{"store away", storeAway},
	{"drain", drain},
	{"drain", drain},
	{"worker dies", workerDies},
	{"configuration", func(w *world) (string, func()) { w.configure(); return "", nil }},
	{"configuration", func(w *world) (string, func()) { w.configure(); return "", nil }},
}

// Kinds returns the names of all faults.
func Kinds() []string {
	var out []string
	for _, f := range faults {
		if !slices.Contains(out, f.name) {
			out = append(out, f.name)
		}
	}
	return out
}

// play lets faults come until the run's time is over.
func (w *world) play(ctx context.Context) {
	until := time.Now().Add(w.opts.Length)
	kinds := faults
	if len(w.opts.Kinds) > 0 {
		kinds = slices.DeleteFunc(slices.Clone(faults), func(f fault) bool { return !slices.Contains(w.opts.Kinds, f.name) })
	}
	for time.Now().Before(until) && ctx.Err() == nil {
		f := kinds[w.rng.IntN(len(kinds))]
		what, heal := f.strike(w)
		lasts := struckLeast + time.Duration(w.rng.Int64N(int64(struckMost-struckLeast)))
		w.note(fmt.Sprintf("%s %s", f.name, what))
		if heal != nil {
			w.clients.Go(func() { time.Sleep(lasts); heal() })
		}
		time.Sleep(time.Duration(w.rng.Int64N(int64(pauseMost))))
	}
}

func (w *world) note(line string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, fmt.Sprintf("%6.3f s %s", time.Since(w.began).Seconds(), line))
}

func (w *world) harm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.harms = append(w.harms, time.Now())
}

func (w *world) strikeLink(name string, p *proxy, harm func()) (string, func()) {
	f := linkFaults[w.rng.IntN(len(linkFaults))]
	harm()
	f.strike(p)
	return name + " " + f.name, func() { p.heal(); harm() }
}

func signalHost(s syscall.Signal) func(w *world) (string, func()) {
	return func(w *world) (string, func()) {
		h := w.hosts[w.rng.IntN(len(w.hosts))]
		h.signal(s)
		return h.Name, nil
	}
}

// terminate asks a process to end and kills it after the grace time.
func terminate(w *world) (string, func()) {
	h := w.hosts[w.rng.IntN(len(w.hosts))]
	life := h.incarnation()
	h.signal(syscall.SIGTERM)
	time.AfterFunc(graceTime, func() {
		if h.incarnation() == life {
			h.signal(syscall.SIGKILL)
		}
	})
	return h.Name, nil
}

func pause(w *world) (string, func()) {
	h := w.hosts[w.rng.IntN(len(w.hosts))]
	h.signal(syscall.SIGSTOP)
	return h.Name, func() { h.signal(syscall.SIGCONT) }
}

func killAll(w *world) (string, func()) {
	for _, h := range w.hosts {
		h.signal(syscall.SIGKILL)
	}
	return "", nil
}

// storeFaults makes some calls fail, whoever makes them.
func storeFaults(w *world) (string, func()) {
	kinds := []platformtest.Fault{platformtest.Refuse, platformtest.TooMany, platformtest.Reset, platformtest.LoseReply, platformtest.Garbage}
	calls := 1 + w.rng.IntN(12)
	for range calls {
		w.store.Inject(kinds[w.rng.IntN(len(kinds))])
	}
	for _, h := range w.hosts {
		h.harm()
	}
	return fmt.Sprintf("fails %d calls", calls), nil
}

func storeAway(w *world) (string, func()) {
	for _, h := range w.hosts {
		h.harm()
		h.store.silentUp.Store(true)
		h.store.silentDown.Store(true)
	}
	return "", func() {
		for _, h := range w.hosts {
			h.store.heal()
			h.harm()
		}
	}
}

// pick returns a worker that serves and whose service has another.
func (w *world) pick() *worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := map[string]int{}
	var all []*worker
	for _, worker := range w.workers {
		if !worker.gone && worker.drained.IsZero() {
			count[worker.service]++
			all = append(all, worker)
		}
	}
	at := w.rng.IntN(max(len(all), 1))
	for i := range all {
		if worker := all[(at+i)%len(all)]; count[worker.service] > 1 {
			return worker
		}
	}
	return nil
}

// drain lets a worker leave; another comes.
func drain(w *world) (string, func()) {
	worker := w.pick()
	if worker == nil {
		return "none left", nil
	}
	w.store.Register(worker.ID, worker.Entry(worker.service, worker.zone, "draining"))
	w.mu.Lock()
	worker.drained = time.Now()
	w.mu.Unlock()
	// It goes on for a while after the time in which it must be left alone.
	const lingers = drainTime + contactTime
	time.AfterFunc(lingers, func() { w.remove(worker) })
	return worker.ID, w.replace(worker)
}

func workerDies(w *world) (string, func()) {
	worker := w.pick()
	if worker == nil {
		return "none left", nil
	}
	w.harm()
	worker.link.close()
	// The platform drops its entry after three heartbeats.
	const silence = 3600 * time.Millisecond
	time.AfterFunc(silence, func() { w.remove(worker) })
	w.mu.Lock()
	worker.gone = true
	w.mu.Unlock()
	return worker.ID, w.replace(worker)
}

func (w *world) remove(worker *worker) {
	w.store.Deregister(worker.ID)
	worker.link.close()
	w.mu.Lock()
	worker.gone = true
	w.mu.Unlock()
}

func (w *world) replace(worker *worker) func() {
	return func() {
		if err := w.addWorker(worker.service, worker.zone); err != nil {
			w.note("no replacement: " + err.Error())
		}
	}
}

// heal ends all faults.
func (w *world) heal() {
	for _, h := range w.hosts {
		h.store.heal()
		h.cloud.heal()
		if h.isPaused() {
			h.signal(syscall.SIGCONT)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, worker := range w.workers {
		worker.link.heal()
	}
}
