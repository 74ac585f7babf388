// Package scale measures the resources that entry hosts use, by their number. It
// runs them in one process on loopback with stand-ins for the log and the cloud
// API, and extrapolates linearly to the size that the system is designed for.
//
// Processor time is that of the whole process, stand-ins included, divided by
// the number of entry hosts: an upper bound for each.
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

// Options configure a measurement.
type Options struct {
	// SettleDelay is the time between the start of a deployment and its measurement.
	SettleDelay time.Duration
	// Window is the time over which each rate is measured.
	Window time.Duration
	// Publishes is the number of changes that are timed one by one.
	Publishes int
	// ChangesPerSecond is the rate of changes in the loaded window.
	ChangesPerSecond float64
}

// DefaultOptions returns the default options; their load is 100 times 24,000 changes a day.
func DefaultOptions() Options {
	return Options{
		SettleDelay:      8 * time.Second,
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

// Rates are the resources that one entry host uses per second.
type Rates struct {
	// Processor is the share of one core.
	Processor float64 `json:"processor_cores"`
	LogBytes  float64 `json:"log_bytes"`
	// CloudBytes counts the host list and the notices.
	CloudBytes float64 `json:"cloud_bytes"`
	// PeerBytes counts both ends of the connections between entry hosts.
	PeerBytes float64 `json:"peer_bytes"`
	// Messages counts the reads and writes of connections.
	Messages float64 `json:"messages"`
	// LogReads and LogAppends are totals of all entry hosts.
	LogReads   float64 `json:"log_reads_in_all"`
	LogAppends float64 `json:"log_appends_in_all"`
}

// Bytes returns the total bytes of one entry host per second.
func (r Rates) Bytes() float64 { return r.LogBytes + r.CloudBytes + r.PeerBytes }

// Delay is the time from the publication of a change until it is in force on all entry
// hosts, in milliseconds.
type Delay struct {
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// Size holds the results for one number of entry hosts.
type Size struct {
	Hosts  int   `json:"hosts"`
	Zones  int   `json:"availability_zones"`
	Idle   Rates `json:"idle"`
	Loaded Rates `json:"loaded"`
	// Changes is the number of changes per second in the loaded window.
	Changes float64 `json:"changes_per_second"`
	Delay   Delay   `json:"publish_to_in_force"`
	// HeapBytes is the heap of one entry host, with its share of the stand-ins.
	HeapBytes float64 `json:"heap_bytes"`
}

// Report holds the results for all sizes.
type Report struct {
	Sizes []Size `json:"sizes"`
	// EntryRowBytes and EndpointRowBytes are the memory of one row of the platform's
	// host list in an entry host's tables.
	EntryRowBytes    float64 `json:"entry_row_bytes"`
	EndpointRowBytes float64 `json:"endpoint_row_bytes"`
	// EntryWireBytes and EndpointWireBytes are the size of a row as sent by the
	// cloud API.
	EntryWireBytes    float64 `json:"entry_wire_bytes"`
	EndpointWireBytes float64 `json:"endpoint_wire_bytes"`
}

// Measure runs a deployment of each size and measures it.
func Measure(ctx context.Context, sizes []int, opts Options) (Report, error) {
	report := Report{
		EntryRowBytes: entryRowBytes(), EndpointRowBytes: endpointRowBytes(),
		EntryWireBytes: encodedRowBytes(port.RoleEntry), EndpointWireBytes: encodedRowBytes(port.RoleEndpoint),
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
	before := heapBytes()
	d, err := start(n)
	if err != nil {
		return Size{}, err
	}
	defer d.stop()
	if err := d.publishEachService(ctx); err != nil {
		return Size{}, err
	}
	sleep(ctx, opts.SettleDelay)
	size := Size{Hosts: n, Zones: len(zoneLocations)}
	size.Idle = d.measureRates(func() { sleep(ctx, opts.Window) })
	size.Delay, err = d.delays(ctx, opts.Publishes)
	if err != nil {
		return size, err
	}
	size.Loaded = d.measureRates(func() { size.Changes, err = d.load(ctx, opts) })
	size.HeapBytes = (heapBytes() - before) / float64(n)
	return size, errors.Wrap(err, "load")
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// processorTime returns the processor time used by the process so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // fails only for an invalid argument
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// inForceTimeout bounds the time until a change is in force on all entry hosts.
const inForceTimeout = time.Minute

// delays publishes changes one by one and returns their delays.
func (d *deployment) delays(ctx context.Context, count int) (Delay, error) {
	h := hdrhistogram.New(1, inForceTimeout.Microseconds(), 3)
	for range count {
		took, err := d.publishAndWait(ctx)
		if err != nil {
			return Delay{}, err
		}
		_ = h.RecordValue(took.Microseconds()) // in range, since inForceTimeout bounds it
	}
	const perMillisecond = 1000
	return Delay{
		P50: float64(h.ValueAtQuantile(50)) / perMillisecond,
		P99: float64(h.ValueAtQuantile(99)) / perMillisecond,
		Max: float64(h.Max()) / perMillisecond,
	}, nil
}

// load publishes changes at a constant rate for the window and returns the actual
// rate.
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
