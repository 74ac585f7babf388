package node

import "github.com/prometheus/client_golang/prometheus"

// handoffMetrics are the metrics of request handoffs and of stream moves
// between endpoints.
type handoffMetrics struct {
	offers   *prometheus.CounterVec
	received *prometheus.CounterVec
	seconds  prometheus.Histogram
	bytes    prometheus.Counter
	moves    *prometheus.CounterVec
}

func newHandoffMetrics(r prometheus.Registerer) *handoffMetrics {
	m := &handoffMetrics{
		offers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cicadanotch_handoff_offers_total", Help: "Requests offered to peers, by what came of the offer.",
		}, []string{"event"}),
		received: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cicadanotch_handoff_takes_total", Help: "Requests offered by peers, by the verdict of this host.",
		}, []string{"verdict"}),
		seconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "cicadanotch_handoff_seconds", Help: "Time from the stop of a request's run to its new owner.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}),
		bytes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cicadanotch_handoff_bytes_total", Help: "Bytes of requests offered by peers.",
		}),
		moves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cicadanotch_streams_moved_total", Help: "Streams moved off endpoints that go away, by way and result.",
		}, []string{"choice", "result"}),
	}
	r.MustRegister(m.offers, m.received, m.seconds, m.bytes, m.moves)
	return m
}
