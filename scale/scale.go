// Package scale measures what many entry hosts cost together. It runs them in
// one process on loopback over stand-ins of the log and the cloud API, and
// draws the slopes out to the size that the system is designed for.
//
// Processor time is that of the whole process, stand-ins included, divided by
// the entry hosts: an upper bound for each.
package scale

import (
	"cmp"
	"context"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
)

// Options set how long is measured.
type Options struct {
	// Settle is the time given to a deployment before it is measured.
	Settle time.Duration
	// Window is how long each rate is measured.
	Window time.Duration
	// Publishes is how many changes are timed one by one.
	Publishes int
	// ChangesPerSecond is the load of the loaded window.
	ChangesPerSecond float64
}

// DefaultOptions measure 24,000 changes a day a hundred times over.
func DefaultOptions() Options {
	return Options{
		Settle:           8 * time.Second,
		Window:           6 * time.Second,
		Publishes:        10,
		ChangesPerSecond: changesPerDay * loadFactor / secondsPerDay,
	}
}

const (
	changesPerDay = 24_000
	loadFactor    = 100
	secondsPerDay = 86_400
)

// Rates are what one entry host costs in a second.
type Rates struct {
	// Processor is the share of one core.
	Processor float64 `json:"processor_cores"`
	LogBytes  float64 `json:"log_bytes"`
	// CloudBytes are those of the host list and the notices.
	CloudBytes float64 `json:"cloud_bytes"`
	// PeerBytes count both ends of the connections between entry hosts.
	PeerBytes float64 `json:"peer_bytes"`
	// Messages are the pieces written to and read from connections.
	Messages float64 `json:"messages"`
	// LogReads and LogAppends are those of all entry hosts together.
	LogReads   float64 `json:"log_reads_in_all"`
	LogAppends float64 `json:"log_appends_in_all"`
}

// Bytes returns all bytes of one host in a second.
func (r Rates) Bytes() float64 { return r.LogBytes + r.CloudBytes + r.PeerBytes }

// Delay is the time from publishing to in force everywhere, in milliseconds.
type Delay struct {
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// Size is what was measured with a number of entry hosts.
type Size struct {
	Hosts  int   `json:"hosts"`
	Zones  int   `json:"availability_zones"`
	Idle   Rates `json:"idle"`
	Loaded Rates `json:"loaded"`
	// Changes is how many changes a second the loaded window reached.
	Changes float64 `json:"changes_per_second"`
	Delay   Delay   `json:"publish_to_in_force"`
	// HeapBytes is the heap of one entry host, with its share of the stand-ins.
	HeapBytes float64 `json:"heap_bytes"`
}

// Report holds all sizes that were measured.
type Report struct {
	Sizes []Size `json:"sizes"`
	// EntryRowBytes and EndpointRowBytes are the memory of one row of the
	// platform's list in an entry host's tables.
	EntryRowBytes    float64 `json:"entry_row_bytes"`
	EndpointRowBytes float64 `json:"endpoint_row_bytes"`
	// EntryWireBytes and EndpointWireBytes are a row's bytes as the cloud API
	// sends it.
	EntryWireBytes    float64 `json:"entry_wire_bytes"`
	EndpointWireBytes float64 `json:"endpoint_wire_bytes"`
}

// Measure runs a deployment of each size and measures it.
func Measure(ctx context.Context, sizes []int, opts Options) (Report, error) {
	report := Report{
		EntryRowBytes: entryRowBytes(), EndpointRowBytes: endpointRowBytes(),
		EntryWireBytes: wireBytes(port.RoleEntry), EndpointWireBytes: wireBytes(port.RoleEndpoint),
	}
	for _, n := range sizes {
		size, err := measure(ctx, n, opts)
		if err != nil {
			return report, errors.Wrapf(err, "%d entry hosts", n)
		}
		report.Sizes = append(report.Sizes, size)
	}
	slices.SortFunc(report.Sizes, func(a, b Size) int { return cmp.Compare(a.Hosts, b.Hosts) })
	return report, nil
}

func measure(ctx context.Context, n int, opts Options) (Size, error) {
	before := heap()
	d, err := start(n)
	if err != nil {
		return Size{}, err
	}
	defer d.stop()
	if err := d.publishFirst(ctx); err != nil {
		return Size{}, err
	}
	pause(ctx, opts.Settle)
	size := Size{Hosts: n, Zones: len(zonePlaces)}
	size.Idle = d.window(func() { pause(ctx, opts.Window) })
	size.Delay, err = d.delays(ctx, opts.Publishes)
	if err != nil {
		return size, err
	}
	size.Loaded = d.window(func() { size.Changes, err = d.load(ctx, opts) })
	size.HeapBytes = (heap() - before) / float64(n)
	return size, errors.Wrap(err, "load")
}

func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// processor returns the processor time that the process has used.
func processor() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // fails for a wrong argument only
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// delayLimit bounds one change's way to all hosts.
const delayLimit = time.Minute

// delays times changes one by one.
func (d *deployment) delays(ctx context.Context, count int) (Delay, error) {
	h := hdrhistogram.New(1, delayLimit.Microseconds(), 3)
	for range count {
		took, err := d.publishAndWait(ctx)
		if err != nil {
			return Delay{}, err
		}
		_ = h.RecordValue(took.Microseconds()) // bounded by delayLimit
	}
	const perMillisecond = 1000
	return Delay{
		P50: float64(h.ValueAtQuantile(50)) / perMillisecond,
		P99: float64(h.ValueAtQuantile(99)) / perMillisecond,
		Max: float64(h.Max()) / perMillisecond,
	}, nil
}

// load publishes at a steady rate for the window; it returns the rate reached.
func (d *deployment) load(ctx context.Context, opts Options) (float64, error) {
	start := time.Now()
	ticker := time.NewTicker(time.Duration(float64(time.Second) / opts.ChangesPerSecond))
	defer ticker.Stop()
	count := 0
	for time.Since(start) < opts.Window && ctx.Err() == nil {
		<-ticker.C
		if _, err := d.publish(ctx); err != nil {
			return 0, err
		}
		count++
	}
	return float64(count) / time.Since(start).Seconds(), nil
}
