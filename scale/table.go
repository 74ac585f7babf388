package scale

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/cicadanotch/cicadanotch/node"
)

// The size that the system is designed for.
const (
	targetHosts     = 2400
	targetEndpoints = 10_000
	targetZones     = 28
	relaysPerZone   = 2
	// maxCores, maxHeapBytes and maxBytesPerSecond bound the resources that a host may
	// use for control: share of a core, bytes of heap, bytes per second.
	maxCores          = 0.023
	maxHeapBytes      = 32 << 20
	maxBytesPerSecond = 12 << 10
	// maxDelayMillis is the time within which a change must be in force.
	maxDelayMillis = 4000
	// listReadsPerSecond is the rate at which a relay reads the host list.
	listReadsPerSecond = float64(time.Second) / float64(node.DefaultPollInterval)
	// maxLogReadsPerSecond represents the several hundred calls per second that the
	// log can serve.
	maxLogReadsPerSecond = 500
)

// Table prints the results and their extrapolation to the target size.
func (r Report) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "entry hosts\tload\tcores/host\tlog B/s\tcloud B/s\tpeer B/s\tmessages/s\tlog reads/s in all\tlog appends/s in all\theap/host")
	for _, s := range r.Sizes {
		writeRow(t, s, "idle", s.Idle)
		writeRow(t, s, fmt.Sprintf("%.1f changes/s", s.Changes), s.Loaded)
	}
	fmt.Fprintln(t)
	fmt.Fprintln(t, "entry hosts\tpublish to in force everywhere, ms: p50\tp99\tmax")
	for _, s := range r.Sizes {
		fmt.Fprintf(t, "%d\t%.1f\t%.1f\t%.1f\n", s.Hosts, s.Delay.P50, s.Delay.P99, s.Delay.Max)
	}
	fmt.Fprintf(t, "\nmemory of a listed entry host\t%.0f B\nmemory of a listed endpoint\t%.0f B\n", r.EntryRowBytes, r.EndpointRowBytes)
	fmt.Fprintf(t, "\nat %d entry hosts, %d endpoints, %d availability zones\tvalue\tlimit\t\n", targetHosts, targetEndpoints, targetZones)
	for _, line := range r.Extrapolate() {
		fmt.Fprintf(t, "%s\t%.4g %s\t%.4g\t%s\n", line.Name, line.Value, line.Unit, line.Limit, line.verdict())
	}
	return t.Flush()
}

func writeRow(w io.Writer, s Size, load string, r Rates) {
	fmt.Fprintf(w, "%d\t%s\t%.4f\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%.1f\t%.0f\n", s.Hosts, load,
		r.Processor, r.LogBytes, r.CloudBytes, r.PeerBytes, r.Messages, r.LogReads, r.LogAppends, s.HeapBytes)
}

// Line is one figure at the target size.
type Line struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Limit is the maximum at the target size.
	Limit float64 `json:"limit"`
}

// Over reports whether the line is over its limit.
func (l Line) Over() bool { return l.Value > l.Limit }

func (l Line) verdict() string {
	if l.Over() {
		return "OVER THE LIMIT"
	}
	return "within"
}

// Extrapolate extrapolates linearly from the two largest sizes to the target. Smaller sizes
// are ignored, because most of their hosts are relays. The host list that a relay
// reads is computed from the number of rows, endpoints included.
func (r Report) Extrapolate() []Line {
	if len(r.Sizes) < 2 {
		return nil
	}
	a, b := r.Sizes[len(r.Sizes)-2], r.Sizes[len(r.Sizes)-1]
	at := func(value func(Size) float64, hosts float64) float64 {
		slope := (value(b) - value(a)) / float64(b.Hosts-a.Hosts)
		return max(value(a)+slope*(hosts-float64(a.Hosts)), 0)
	}
	relayList := (targetHosts*r.EntryWireBytes + targetEndpoints*r.EndpointWireBytes) * listReadsPerSecond
	peers := at(func(s Size) float64 { return s.Idle.PeerBytes }, targetHosts)
	logBytes := at(func(s Size) float64 { return s.Idle.LogBytes }, targetHosts)
	rows := targetHosts*r.EntryRowBytes + targetEndpoints*r.EndpointRowBytes
	reads := b.Idle.LogReads / float64(b.Zones*relaysPerZone) * targetZones * relaysPerZone
	return []Line{
		{"host list, a relay", relayList, "B/s", maxBytesPerSecond},
		{"peers, per host, idle", peers, "B/s", maxBytesPerSecond},
		{"log, per host, idle", logBytes, "B/s", maxBytesPerSecond},
		{"peers and log, per host, idle", peers + logBytes, "B/s", maxBytesPerSecond},
		{"processor, per host, idle", at(func(s Size) float64 { return s.Idle.Processor }, targetHosts), "cores", maxCores},
		{"memory of the host list, per host", rows, "B", maxHeapBytes},
		{"heap of a host at the largest size measured", b.HeapBytes, "B", maxHeapBytes},
		{"log reads, all relays", reads, "/s", maxLogReadsPerSecond},
		{"publish to in force, p99", at(func(s Size) float64 { return s.Delay.P99 }, targetHosts), "ms", maxDelayMillis},
	}
}
