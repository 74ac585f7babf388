package daemon

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadanotch/cicadanotch/intake"
)

// connectionCollector collects what connections of callers use as metrics.
type connectionCollector struct {
	usage                                  func() intake.Usage
	open, limit, held, heldLimit, givenWay *prometheus.Desc
}

// newConnectionCollector returns a collector whose metrics have names with a prefix.
func newConnectionCollector(prefix string, usage func() intake.Usage) *connectionCollector {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(prefix+name, help, labels, nil)
	}
	return &connectionCollector{
		usage:     usage,
		open:      desc("connections", "Open connections of callers, by what the host does for them (phase).", "phase"),
		limit:     desc("connections_limit", "Maximum number of open connections of callers."),
		held:      desc("connections_held_bytes", "Bytes that connections of callers and heads of their requests count for."),
		heldLimit: desc("connections_held_limit_bytes", "Maximum of what connections of callers and heads of their requests count for, in bytes."),
		givenWay:  desc("connections_given_way_total", "Connections of callers that were closed for others, by what was short (connections, memory).", "reason"),
	}
}

// Describe implements prometheus.Collector.
func (c *connectionCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.open, c.limit, c.held, c.heldLimit, c.givenWay} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c *connectionCollector) Collect(out chan<- prometheus.Metric) {
	u := c.usage()
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	for _, p := range intake.Phases() {
		gauge(c.open, float64(u.Open[p]), p.String())
	}
	gauge(c.limit, float64(u.Connections))
	gauge(c.held, float64(u.Held))
	gauge(c.heldLimit, float64(u.Memory))
	for _, r := range []intake.Reason{intake.ReasonConnections, intake.ReasonMemory} {
		out <- prometheus.MustNewConstMetric(c.givenWay, prometheus.CounterValue, float64(u.GivenWay[r]), string(r))
	}
}
