package node

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	accepted      *prometheus.CounterVec
	ended         *prometheus.CounterVec
	attempts      *prometheus.CounterVec
	droppedChunks *prometheus.CounterVec
	firstToken    prometheus.Histogram
	refused       *prometheus.CounterVec
	queueWait     *prometheus.HistogramVec
	retryWait     *prometheus.HistogramVec
	stalled       *prometheus.CounterVec
	deaths        prometheus.Counter
	quarantined   *prometheus.CounterVec
	foldErrors    prometheus.Counter
	logOffset     prometheus.Gauge
	staleness     prometheus.Gauge
	appends       *prometheus.CounterVec
	appended      prometheus.Counter
	// checkpointBytes counts the bytes of checkpoints that this process appended
	// to the log.
	checkpointBytes prometheus.Counter
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		accepted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cicadanotch_requests_accepted_total", Help: "Requests accepted, by service and workspace.",
		}, []string{"service", "workspace"}),
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cicadanotch_requests_ended_total", Help: "Requests ended, by service and end: whole, or the problem type.",
		}, []string{"service", "end"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cicadanotch_attempts_total", Help: "Attempts at endpoints, by service and result.",
		}, []string{"service", "result"}),
		droppedChunks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cicadanotch_chunks_dropped_total", Help: "Chunks dropped, by reason: late, foreign, repeated, gap.",
		}, []string{"reason"}),
		firstToken: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "cicadanotch_first_token_seconds", Help: "Time from acceptance to the first token.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 12),
		}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cicadanotch_requests_refused_total", Help: "Requests refused on arrival, by service and reason.",
		}, []string{"service", "reason"}),
		queueWait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cicadanotch_queue_wait_seconds", Help: "Time that started requests waited in the queue.",
			Buckets: prometheus.ExponentialBuckets(0.001, 4, 8),
		}, []string{"service"}),
		retryWait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cicadanotch_retry_wait_seconds", Help: "Delay before attempts, from backoff and the retry budget.",
			Buckets: prometheus.ExponentialBuckets(0.01, 4, 6),
		}, []string{"service"}),
		stalled: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cicadanotch_connections_silent_total", Help: "Connections closed as silent while the endpoint answered on a new one.",
		}, []string{"service"}),
		deaths: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cicadanotch_endpoint_deaths_total", Help: "Deaths of endpoints that this host saw first.",
		}),
		quarantined: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cicadanotch_requests_quarantined_total", Help: "Requests refused because endpoints died running them.",
		}, []string{"service"}),
		foldErrors: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cicadanotch_log_records_skipped_total", Help: "Log records skipped: malformed or of an unknown kind or version.",
		}),
		logOffset: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cicadanotch_log_offset", Help: "Offset of the next log record to fold.",
		}),
		staleness: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cicadanotch_log_staleness_seconds", Help: "Time since the process last stood at the end of the log.",
		}),
		appends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cicadanotch_log_appends_total", Help: "Appends tried, by result: ok, unavailable, limited.",
		}, []string{"result"}),
		appended: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cicadanotch_log_records_appended_total", Help: "Records whose append was confirmed; one append carries several.",
		}),
	}
	m.checkpointBytes = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "cicadanotch_checkpoint_bytes_total", Help: "Bytes of checkpoints that this process appended to the log.",
	})
	r.MustRegister(m.checkpointBytes, m.staleness, m.appends, m.appended)
	r.MustRegister(m.refused, m.queueWait, m.retryWait, m.stalled, m.deaths, m.quarantined)
	r.MustRegister(m.accepted, m.ended, m.attempts, m.droppedChunks, m.firstToken, m.foldErrors, m.logOffset)
	return m
}
