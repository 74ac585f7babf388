package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cicadanotch/cicadanotch/config"
	"github.com/cicadanotch/cicadanotch/port"
)

const (
	// minBetween and betweenTargets bound the time between two chunks: the
	// larger of the time and of that many targets.
	minBetween     = time.Second
	betweenTargets = 25
	// minFirst, firstTargets and slowPrefill bound the time to the first
	// chunk: the larger of the time and of that many targets, and the prefill
	// at that many tokens per second.
	minFirst     = 5 * time.Second
	firstTargets = 8
	slowPrefill  = 1000
	// maxPatienceDoublings bounds the growth of the time to the first chunk
	// over the attempts of one request.
	maxPatienceDoublings = 4
	// probeTimeout bounds one probe on a new connection.
	probeTimeout = time.Second
)

// progressLimits are how long a connection may be silent.
type progressLimits struct {
	first   time.Duration
	between time.Duration
}

func limitsFor(doc *config.Document, promptTokens, silentBefore int) progressLimits {
	l := progressLimits{first: minFirst, between: minBetween}
	if doc != nil {
		l.first = max(l.first, firstTargets*doc.Latency.FirstToken.Std())
		l.between = max(l.between, betweenTargets*doc.Latency.BetweenTokens.Std())
	}
	l.first += time.Duration(promptTokens) * time.Second / slowPrefill
	l.first <<= min(silentBefore, maxPatienceDoublings)
	return l
}

// watchdog judges one connection: silent beyond its limit, it probes the
// endpoint on a new connection. If that answers the old one is at fault,
// otherwise the endpoint.
type watchdog struct {
	node   *Node
	ctx    context.Context
	host   port.Host
	cancel context.CancelCauseFunc
	// limit and last are in nanoseconds; last since the epoch.
	limit atomic.Int64
	last  atomic.Int64
	timer *time.Timer
	ready chan struct{}
}

func (n *Node) watch(ctx context.Context, r *running, first time.Duration) *watchdog {
	w := &watchdog{node: n, ctx: ctx, host: r.host, cancel: r.cancel, ready: make(chan struct{})}
	w.limit.Store(int64(first))
	w.last.Store(time.Now().UnixNano())
	w.timer = time.AfterFunc(first, w.due)
	close(w.ready)
	return w
}

// progress notes that something came; from now on limit holds.
func (w *watchdog) progress(limit time.Duration) {
	w.last.Store(time.Now().UnixNano())
	if w.limit.Swap(int64(limit)) != int64(limit) {
		w.timer.Reset(limit)
	}
}

func (w *watchdog) stop() { w.timer.Stop() }

// due runs when the timer does.
func (w *watchdog) due() {
	<-w.ready
	last := w.last.Load()
	idle := time.Since(time.Unix(0, last))
	if limit := time.Duration(w.limit.Load()); idle < limit {
		w.timer.Reset(limit - idle)
		return
	}
	if w.ctx.Err() != nil {
		return
	}
	err := w.node.answers(w.ctx, w.host)
	switch {
	case w.last.Load() != last:
		w.timer.Reset(time.Duration(w.limit.Load()))
	case err == nil:
		w.node.metrics.silent.WithLabelValues(w.host.Service).Inc()
		w.cancel(errSilent)
	default:
		w.cancel(errLost)
	}
}

// answers probes an endpoint on a new connection.
func (n *Node) answers(ctx context.Context, host port.Host) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if doc := n.documentOf(host.Service); doc != nil && doc.Kind == config.KindPlain {
		return n.ports.Services.Probe(ctx, host.EndpointAddress)
	}
	return n.ports.Engine.Probe(ctx, host.EndpointAddress)
}

// stillRuns reports whether an endpoint answers and is the process that it was
// when it last reported its load.
func (n *Node) stillRuns(ctx context.Context, host port.Host) bool {
	before := n.endpoints.routes.Incarnation(host.ID)
	if n.answers(ctx, host) != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	report, err := n.loadOf(ctx, host)
	return err == nil && (before == "" || report.Incarnation == before)
}
