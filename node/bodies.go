package node

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadanotch/cicadanotch/body"
	"github.com/cicadanotch/cicadanotch/memory"
)

// noMemoryLogInterval is the interval of log messages on bodies without room.
const noMemoryLogInterval = time.Second

// bodyMetrics are the metrics of bodies of requests.
type bodyMetrics struct {
	noMemory *prometheus.CounterVec
	// loggedAt is the time of the last log message, in Unix nanoseconds.
	loggedAt atomic.Int64
}

func newBodyMetrics(r prometheus.Registerer, account *memory.Account) *bodyMetrics {
	m := &bodyMetrics{noMemory: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cicadanotch_no_memory_total", Help: "Requests refused because there was no room for their bodies, by kind: body, small-body.",
	}, []string{"kind"})}
	r.MustRegister(m.noMemory, heldCollector{account})
	return m
}

// heldCollector collects what is held of bodies of requests as a metric.
type heldCollector struct{ account *memory.Account }

var heldDesc = prometheus.NewDesc("cicadanotch_memory_held_bytes", "Bytes held of bodies of requests, by kind.", []string{"kind"}, nil)

// Describe implements prometheus.Collector.
func (heldCollector) Describe(out chan<- *prometheus.Desc) { out <- heldDesc }

// Collect implements prometheus.Collector.
func (c heldCollector) Collect(out chan<- prometheus.Metric) {
	for _, k := range []memory.Kind{memory.KindBody, memory.KindSmallBody} {
		held, _ := c.account.Usage(k)
		out <- prometheus.MustNewConstMetric(heldDesc, prometheus.GaugeValue, float64(held), k.String())
	}
}

// OpenBody returns the room for the body of a request that has arrived; Release must be called when it was answered. owner is
// for whom it counts. revoke is called if the body is to be given up before it is read; it must not block.
func (n *Node) OpenBody(owner string, revoke func()) *body.Room {
	return &body.Room{
		Account: n.account, Owner: owner, Deadline: time.Now().Add(maxBodyRequest), Revoke: revoke,
		Record: func(kind memory.Kind, bytes int64, waited time.Duration) {
			n.bodies.noMemory.WithLabelValues(kind.String()).Inc()
			now, last := time.Now().UnixNano(), n.bodies.loggedAt.Load()
			if now-last < int64(noMemoryLogInterval) || !n.bodies.loggedAt.CompareAndSwap(last, now) {
				return
			}
			held, limit := n.account.Usage(kind)
			n.log.Warn().Str("owner", owner).Str("kind", kind.String()).Int64("bytes", bytes).Int64("held", held).Int64("limit", limit).
				Dur("waited", waited).Msg("no room for a body")
		},
	}
}

// maxBodyRequest is the time within which a request with a body is taken to end, for how long its body may wait for room.
const maxBodyRequest = time.Minute
