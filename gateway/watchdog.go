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
	// counts as unresponsive, but not before soundSilence: a sound endpoint may fall silent for a second or so.
	gapFactor    = 4
	soundSilence = 1500 * time.Millisecond
	// Callers disconnect after a pause of minCallerGap, or of callerTargetFactor times the objective or callerGapFactor
	// times the route's longest pause where that is longer.
	minCallerGap       = 2 * time.Second
	callerTargetFactor = 4
	callerGapFactor    = 8
	// takeUpTime is how long before callers disconnect a stream must go on at another endpoint, so that its next event
	// still comes in time.
	takeUpTime = 300 * time.Millisecond
	// roomTimeout bounds the question whether another endpoint has room for a stream.
	roomTimeout = 150 * time.Millisecond
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
	return max(gapFactor*c.route.MaxGap, soundSilence)
}

// callerGap returns the pause between events after which callers disconnect.
func (c *call) callerGap() time.Duration {
	return max(minCallerGap, callerTargetFactor*c.route.Target, callerGapFactor*c.route.MaxGap)
}

// isPreempted reports whether the endpoint is silent on this stream only, and has gone on with others of this host: it
// has taken the stream's memory for them. That lasts longer than a silence of the endpoint, but callers wait for
// callerGap at most.
func (c *call) isPreempted(now time.Time) bool {
	c.mu.Lock()
	lastAt := c.progress.lastAt
	c.mu.Unlock()
	if now.Sub(lastAt) >= c.callerGap()-takeUpTime {
		return false
	}
	others := c.g.fleet.ProgressedAt(c.endpointID())
	return others.After(lastAt.Add(c.route.MaxGap)) && now.Sub(others) < soundSilence
}

// hasRoomElsewhere asks the endpoints at which the stream would go on whether they have room: if none has, the stream is cut
// when its attempt is abandoned. Without a health path, or while the host is cut off from the service, they can't be
// asked.
func (c *call) hasRoomElsewhere() bool {
	if c.service.HealthPath == "" || c.g.reach.table.CutOff(c.service.Name) {
		return true
	}
	tried := map[string]bool{c.endpointID(): true}
	for range maxMoveTargets {
		target, ok := c.chooseMoveTarget(tried)
		if !ok {
			return false
		}
		c.g.fleet.ReturnToLimit(time.Now(), target.ID)
		ctx, cancel := context.WithTimeout(c.g.context(), roomTimeout)
		hasRoom := c.g.ports.Endpoints.HasRoom(ctx, target.Address, c.service.HealthPath)
		cancel()
		if hasRoom {
			return true
		}
		tried[target.ID] = true
	}
	return false
}

// reserveRetry takes the next retry from the budget when an unresponsive attempt is about to be
// abandoned. Without a retry, or without another endpoint with room for the rest of a stream, the attempt continues to
// wait, and so does a stream that its endpoint has preempted.
func (c *call) reserveRetry() bool {
	c.recordSilence(time.Now())
	if now := time.Now(); c.progressEvents() == 0 && !c.mayAttemptAgain(now) {
		return false
	} else if !c.canContinueElsewhere(now) || c.streamSoftware() != nil && (c.isPreempted(now) || !c.hasRoomElsewhere()) {
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
