package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/catalog"
)

const (
	// firstEventMargin is added to a stream's expected time to its first event before the endpoint
	// counts as unresponsive; firstEventFactor multiplies that expected time: the loads that it is
	// estimated from are a second old.
	firstEventMargin = 900 * time.Millisecond
	firstEventFactor = 3
	// gapFactor is the multiple of the route's longest pause between events after which a stream
	// counts as unresponsive. Callers disconnect after eight times that pause.
	gapFactor = 4
	// callTargetShare is the fraction of a call's objective after which another endpoint is tried,
	// so that the second attempt can still answer in time.
	callTargetShare = 0.6
	// watchdogRetryInterval is how long after an attempt could not be abandoned it is asked again whether another
	// one is allowed.
	watchdogRetryInterval = 200 * time.Millisecond
)

// watchdog cancels an attempt that receives nothing within a limit, if another attempt is allowed.
// A zero limit disables it.
type watchdog struct {
	cancel  context.CancelCauseFunc
	allowed func() bool

	mu    sync.Mutex
	timer *time.Timer
	// resets counts the calls of reset and stop.
	resets int
}

func startWatchdog(cancel context.CancelCauseFunc, limit time.Duration, allowed func() bool) *watchdog {
	d := &watchdog{cancel: cancel, allowed: allowed}
	d.reset(limit)
	return d
}

func (d *watchdog) reset(limit time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.resets++
	d.start(limit)
}

// start replaces the timer. The caller holds d.mu.
func (d *watchdog) start(limit time.Duration) {
	if d.timer != nil {
		d.timer.Stop()
	}
	if limit > 0 {
		resets := d.resets
		d.timer = time.AfterFunc(limit, func() { d.expire(resets) })
	}
}

// expire cancels the attempt, or tries so again later while no other attempt is allowed.
func (d *watchdog) expire(resets int) {
	if d.allowed() {
		d.cancel(errUnresponsive)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.resets == resets {
		d.start(watchdogRetryInterval)
	}
}

func (d *watchdog) stop() { d.reset(0) }

// headTimeout returns how long an attempt may take until the head of its answer, zero for no limit.
// Only attempts of requests that may run again are abandoned; for others the endpoint may still
// answer.
func (c *call) headTimeout(a *endpointAttempt) time.Duration {
	if c.sent+1 >= max(c.route.MaxAttempts, 1) {
		return 0
	}
	switch {
	case c.route.Kind == catalog.KindIdempotent:
		return max(time.Duration(callTargetShare*float64(c.route.Target)), c.g.answerTime(c.service.Name).Estimate())
	case c.route.Resumable:
		expected := time.Duration(a.choice.Terms.FirstToken() * float64(time.Millisecond))
		return firstEventFactor*expected + firstEventMargin
	}
	return 0
}

// gapTimeout returns how long a stream may pause between events, zero for no limit.
func (c *call) gapTimeout() time.Duration {
	if !c.route.Resumable || c.sent >= max(c.route.MaxAttempts, 1) {
		return 0
	}
	return gapFactor * c.route.MaxGap
}

// reserveRetry takes the next retry from the budget when an unresponsive attempt is about to be
// abandoned. Without a retry, or without another endpoint for the rest of a stream, the attempt continues to
// wait.
func (c *call) reserveRetry() bool {
	if c.streamSoftware() != nil && !c.canContinueElsewhere(time.Now()) {
		return false
	}
	if !c.g.budget(c.service.Name).AllowRetry(time.Now()) {
		return false
	}
	c.retryReserved.Store(true)
	return true
}

// takeRetry takes a retry from the budget, unless one is reserved.
func (c *call) takeRetry() bool {
	return c.retryReserved.Swap(false) || c.g.budget(c.service.Name).AllowRetry(time.Now())
}
