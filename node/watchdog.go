package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cicadanotch/cicadanotch/config"
	"github.com/cicadanotch/cicadanotch/port"
)

const (
	// The timeout between two chunks is the larger of minBetweenTimeout and
	// betweenTargetFactor times the target between tokens.
	minBetweenTimeout   = time.Second
	betweenTargetFactor = 25
	// The timeout to the first chunk is the larger of minFirstTimeout and
	// firstTargetFactor times the first-token target, plus the prefill time at
	// minPrefillTokensPerSecond.
	minFirstTimeout           = 5 * time.Second
	firstTargetFactor         = 8
	minPrefillTokensPerSecond = 1000
	// maxTimeoutDoublings bounds the doublings of the first-chunk timeout over
	// the attempts of one request.
	maxTimeoutDoublings = 4
	// probeTimeout bounds one probe on a new connection.
	probeTimeout = time.Second
)

// progressTimeouts bound the time that a connection may go without a chunk.
type progressTimeouts struct {
	first   time.Duration
	between time.Duration
}

func progressTimeoutsFor(doc *config.Document, promptTokens, stalledBefore int) progressTimeouts {
	timeouts := progressTimeouts{first: minFirstTimeout, between: minBetweenTimeout}
	if doc != nil {
		timeouts.first = max(timeouts.first, firstTargetFactor*doc.Latency.FirstToken.Std())
		timeouts.between = max(timeouts.between, betweenTargetFactor*doc.Latency.BetweenTokens.Std())
	}
	timeouts.first += time.Duration(promptTokens) * time.Second / minPrefillTokensPerSecond
	timeouts.first <<= min(stalledBefore, maxTimeoutDoublings)
	return timeouts
}

// watchdog detects a stalled connection. On a timeout it probes the endpoint on
// a new connection: if the probe is answered, the old connection has failed,
// otherwise the endpoint has.
type watchdog struct {
	node   *Node
	ctx    context.Context
	host   port.Host
	cancel context.CancelCauseFunc
	// timeout is a duration and lastProgress a time since the Unix epoch, both in
	// nanoseconds.
	timeout      atomic.Int64
	lastProgress atomic.Int64
	timer        *time.Timer
	ready        chan struct{}
}

func (n *Node) startWatchdog(ctx context.Context, r *runningAttempt, first time.Duration) *watchdog {
	w := &watchdog{node: n, ctx: ctx, host: r.host, cancel: r.cancel, ready: make(chan struct{})}
	w.timeout.Store(int64(first))
	w.lastProgress.Store(time.Now().UnixNano())
	w.timer = time.AfterFunc(first, w.onTimer)
	close(w.ready)
	return w
}

// progress records that data arrived and sets the timeout that applies from now
// on.
func (w *watchdog) progress(timeout time.Duration) {
	w.lastProgress.Store(time.Now().UnixNano())
	if w.timeout.Swap(int64(timeout)) != int64(timeout) {
		w.timer.Reset(timeout)
	}
}

func (w *watchdog) stop() { w.timer.Stop() }

// onTimer runs when the timer fires.
func (w *watchdog) onTimer() {
	<-w.ready
	last := w.lastProgress.Load()
	idle := time.Since(time.Unix(0, last))
	if timeout := time.Duration(w.timeout.Load()); idle < timeout {
		w.timer.Reset(timeout - idle)
		return
	}
	if w.ctx.Err() != nil {
		return
	}
	err := w.node.probeEndpoint(w.ctx, w.host)
	switch {
	case w.lastProgress.Load() != last:
		w.timer.Reset(time.Duration(w.timeout.Load()))
	case err == nil:
		w.node.metrics.stalled.WithLabelValues(w.host.Service).Inc()
		w.cancel(errStalled)
	default:
		w.cancel(errUnresponsive)
	}
}

// probeEndpoint probes an endpoint on a new connection.
func (n *Node) probeEndpoint(ctx context.Context, host port.Host) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if doc := n.documentOf(host.Service); doc != nil && doc.Kind == config.KindPlain {
		return n.ports.Services.Probe(ctx, host.EndpointAddress)
	}
	return n.ports.Engine.Probe(ctx, host.EndpointAddress)
}

// stillRuns reports whether an endpoint answers and is still the process that
// last reported its load.
func (n *Node) stillRuns(ctx context.Context, host port.Host) bool {
	before := n.endpoints.routes.Incarnation(host.ID)
	if n.probeEndpoint(ctx, host) != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	report, err := n.loadOf(ctx, host)
	return err == nil && (before == "" || report.Incarnation == before)
}
