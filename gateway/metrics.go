package gateway

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/cicadanotch/cicadanotch/memory"
	"github.com/cicadanotch/cicadanotch/port"
)

// latencyBuckets are in seconds; they cover the objectives of 0.2 to 1 s and the deadlines of up to
// 15 s.
var latencyBuckets = []float64{.01, .03, .1, .2, .3, .5, .6, .8, 1, 1.5, 2, 3, 5, 10, 15}

// metrics are labelled by kinds and reasons only, so that the number of series does not grow with
// routes, workspaces or endpoints.
type metrics struct {
	registry      *prometheus.Registry
	requests      *prometheus.CounterVec
	refusals      *prometheus.CounterVec
	overloads     *prometheus.CounterVec
	attempts      *prometheus.CounterVec
	firstEvent    *prometheus.HistogramVec
	answers       *prometheus.HistogramVec
	stateChanges  *prometheus.CounterVec
	storeCalls    *prometheus.HistogramVec
	feedReads     *prometheus.HistogramVec
	version       prometheus.Gauge
	hosts         prometheus.Gauge
	fencingToken  prometheus.Gauge
	leaderCalls   *prometheus.CounterVec
	moves         *prometheus.CounterVec
	answerEndings *prometheus.CounterVec
	continuations *prometheus.CounterVec
	endless       prometheus.Counter
	noMemory      *prometheus.CounterVec
	garbage       prometheus.Counter
	probes        *prometheus.CounterVec
	deaths        prometheus.Counter
	tunnels       *prometheus.CounterVec
	lostEnds      *prometheus.CounterVec
	cutOff        prometheus.Gauge
	reachRounds   *prometheus.CounterVec

	rolloutChanges     *prometheus.CounterVec
	rolloutAnswers     *prometheus.CounterVec
	rolloutWithheld    prometheus.Counter
	rolloutWaits       prometheus.Counter
	limitShares        prometheus.Gauge
	limitsGranted      prometheus.Gauge
	refusedWithinLimit prometheus.Counter
	limitTakes         *prometheus.CounterVec
	headerFaults       prometheus.Counter
	riskyRejections    prometheus.Counter
}

// Descriptions of the metrics of speedCollector.
var (
	endpointPaceDesc = prometheus.NewDesc("cicadanotch_gateway_endpoint_pace",
		"Time of work at an endpoint as a factor of its service's, as learnt.", []string{"service", "endpoint"}, nil)
	endpointKneeDesc = prometheus.NewDesc("cicadanotch_gateway_endpoint_knee",
		"Fraction of an endpoint's slots that it takes without notable slowing, as learnt.", []string{"service", "endpoint"}, nil)
	statementsDesc = prometheus.NewDesc("cicadanotch_gateway_statement_pairs",
		"Endpoints' statements of their time of work that were compared with the next request's time, by their age below a bound in seconds.", []string{"service", "below"}, nil)
	statementCorrelationDesc = prometheus.NewDesc("cicadanotch_gateway_statement_correlation",
		"Correlation of endpoints' statements of their time of work with the next request's time, by their age below a bound in seconds.", []string{"service", "below"}, nil)
)

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cicadanotch_gateway_requests_total",
			Help: "Requests ended, by route kind and result.",
		}, []string{"kind", "result"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cicadanotch_gateway_refusals_total",
			Help: "Requests answered by the host itself, by problem type.",
		}, []string{"type"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cicadanotch_gateway_attempts_total",
			Help: "Attempts at endpoints, by outcome.",
		}, []string{"outcome"}),
		firstEvent: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cicadanotch_gateway_first_event_seconds",
			Help: "Time from arrival to the first event of a stream.", Buckets: latencyBuckets,
		}, []string{"kind"}),
		answers: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cicadanotch_gateway_answer_seconds",
			Help: "Time from arrival to the end of a whole answer.", Buckets: latencyBuckets,
		}, []string{"kind"}),
		stateChanges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cicadanotch_gateway_beliefs_total",
			Help: "Changes of what the host believes, by subject.",
		}, []string{"subject"}),
		storeCalls: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cicadanotch_gateway_store_seconds",
			Help: "Calls to the platform's store, by call and result.", Buckets: latencyBuckets,
		}, []string{"call", "result"}),
		feedReads: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cicadanotch_gateway_feed_read_seconds",
			Help: "Reads of topics, with the time waited for records, by topic, source (store or relay) and result.", Buckets: latencyBuckets,
		}, []string{"topic", "source", "result"}),
		version: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cicadanotch_gateway_configuration_version",
			Help: "Version of the configuration in force.",
		}),
		hosts: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cicadanotch_gateway_hosts",
			Help: "Hosts believed alive, this one included.",
		}),
		fencingToken: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cicadanotch_gateway_duty_fence",
			Help: "Fencing number under which the host holds the duties; 0 when it does not.",
		}),
		leaderCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cicadanotch_gateway_duty_calls_total",
			Help: "Calls to the platform under the duties, by call and result.",
		}, []string{"call", "result"}),
		moves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cicadanotch_gateway_moves_total",
			Help: "Streams on leaving endpoints, by what became of them.",
		}, []string{"result"}),
	}
	m.answerEndings = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cicadanotch_gateway_answer_endings_total",
		Help: "Answers of endpoints by framing (length, chunks, connection) and by how they ended (whole, in-event, no-event, error).",
	}, []string{"framing", "ending"})
	m.continuations = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cicadanotch_gateway_continuations_total",
		Help: "Streams continued by an endpoint, by way (attempt, move, request of the caller) and by its software version against that which began the stream (same, other, unknown; moved: the route no longer leads to its service).",
	}, []string{"way", "software"})
	m.endless = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "cicadanotch_gateway_endless_answers_total",
		Help: "Answers of endpoints and replies to commands that were given up because they exceeded what they may have.",
	})
	m.noMemory = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cicadanotch_gateway_no_memory_total",
		Help: "Bodies of requests that were refused, and answers that were given up, because there was no room for them, by kind (body, small-body, answer).",
	}, []string{"kind"})
	m.garbage = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "cicadanotch_gateway_garbage_answers_total",
		Help: "Answers of endpoints that were given up because of bytes in them that are no answer.",
	})
	m.probes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cicadanotch_gateway_probes_total",
		Help: "Probes of endpoints after a connection broke, by result (listening, refused: the process has ended, unknown).",
	}, []string{"result"})
	m.deaths = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "cicadanotch_gateway_endpoint_deaths_total",
		Help: "Records of this host that an endpoint ended while it had requests there, two for each endpoint at the most.",
	})
	m.cutOff = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "cicadanotch_gateway_cut_off",
		Help: "Services from whose endpoints the host counts as cut off.",
	})
	m.reachRounds = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cicadanotch_gateway_reach_rounds_total",
		Help: "Rounds of probes that tell whether the host is cut off from a service, by result (opened: at least one connection, none).",
	}, []string{"result"})
	m.tunnels = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cicadanotch_gateway_tunnels_total",
		Help: "Connections to endpoints that this host carries for others, by event (opened, ended, left, broke, unusable, refused-REASON), and those that another host failed to carry for it (failed).",
	}, []string{"event"})
	m.lostEnds = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cicadanotch_gateway_lost_ends_total",
		Help: "Connections of callers that were closed before the caller did so, after their last answer, by reason (timeout, bytes, count, process).",
	}, []string{"reason"})
	m.rolloutChanges = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cicadanotch_gateway_rollout_changes_total",
		Help: "Changes of roll-outs that this host decided as the leader, by state.",
	}, []string{"state"})
	m.rolloutAnswers = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cicadanotch_gateway_rollout_answers_total",
		Help: "Answers during roll-outs, by version (target, other) and result (good, failed).",
	}, []string{"version", "result"})
	m.rolloutWithheld = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "cicadanotch_gateway_rollout_withheld_total",
		Help: "Requests that were not sent to a chosen endpoint after all, because its version had no permission any more.",
	})
	m.rolloutWaits = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "cicadanotch_gateway_rollout_late_seconds_total",
		Help: "Seconds that completed roll-outs took beyond their deadline, because requests ran at the old version.",
	})
	m.overloads = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cicadanotch_gateway_overload_refusals_total",
		Help: "Requests refused for lack of room, by reason (deadline, objective).",
	}, []string{"reason"})
	m.limitShares = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "cicadanotch_gateway_limit_shares",
		Help: "Shares of limits that the host holds, summed over workspaces; 1 is one whole limit.",
	})
	m.limitsGranted = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "cicadanotch_gateway_limits_granted_ratio",
		Help: "On the grantor: the part that is granted of the limit of which least is.",
	})
	m.refusedWithinLimit = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "cicadanotch_gateway_refused_within_share_total",
		Help: "Requests refused by a limit though the host was asked for less than its share.",
	})
	m.limitTakes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cicadanotch_gateway_limit_takes_total",
		Help: "Units of a limit that requests asked for, by whose bucket (own, relay, standby, other) and result (taken, refused, no-share, unanswered).",
	}, []string{"bucket", "result"})
	m.riskyRejections = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "cicadanotch_gateway_risky_rejections_total",
		Help: "Rejections for lack of room by endpoints that bear few of them.",
	})
	m.headerFaults = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "cicadanotch_gateway_header_faults_total",
		Help: "Answers of endpoints with a header that could not be used as sent.",
	})
	m.registry.MustRegister(m.lostEnds, m.headerFaults, m.riskyRejections, m.tunnels, m.cutOff, m.reachRounds, m.limitShares, m.limitsGranted, m.refusedWithinLimit, m.limitTakes, m.overloads, m.rolloutChanges, m.rolloutAnswers, m.rolloutWithheld, m.rolloutWaits, m.probes, m.deaths, m.answerEndings, m.continuations, m.endless, m.noMemory, m.garbage, m.requests, m.refusals, m.attempts, m.firstEvent, m.answers, m.stateChanges, m.storeCalls,
		m.feedReads, m.version, m.hosts, m.fencingToken, m.leaderCalls, m.moves, collectors.NewGoCollector())
	return m
}

// watchMemory registers what is held of each kind.
func (m *metrics) watchMemory(g *Gateway) {
	for _, k := range []memory.Kind{memory.KindBody, memory.KindSmallBody, memory.KindAnswer} {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name:        "cicadanotch_gateway_memory_held_bytes",
			Help:        "Bytes held of bodies of requests and of answers that are not forwarded yet, by kind.",
			ConstLabels: prometheus.Labels{"kind": k.String()},
		}, func() float64 {
			held, _ := g.account.Usage(k)
			return float64(held)
		}))
	}
}

// watchFeeds registers the age of what the host knows of each topic.
func (m *metrics) watchFeeds(g *Gateway) {
	for _, topic := range []port.Topic{port.TopicConfiguration, port.TopicEndpoints, port.TopicHosts} {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name:        "cicadanotch_gateway_feed_age_seconds",
			Help:        "Time since the store held nothing of a topic that the host does not know; 0 before the first read.",
			ConstLabels: prometheus.Labels{"topic": string(topic)},
		}, func() float64 {
			asOf := g.feedAsOf(topic).Load()
			if asOf == 0 {
				return 0
			}
			return time.Since(time.Unix(0, asOf)).Seconds()
		}))
	}
}

// Register adds metrics of the process. Call it before Start.
func (g *Gateway) Register(c prometheus.Collector) { g.metrics.registry.MustRegister(c) }

// MetricsHandler serves the metrics.
func (g *Gateway) MetricsHandler() http.Handler {
	return promhttp.HandlerFor(g.metrics.registry, promhttp.HandlerOpts{})
}
