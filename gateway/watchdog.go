package gateway

import (
	"context"
	"time"

	"github.com/cicadanotch/cicadanotch/catalog"
)

const (
	// firstSlack is what is added to a stream's expected time to its first
	// event before the endpoint counts as silent, and firstTimes how often the
	// expected time may pass: the loads that it is worked out from are a second
	// old.
	firstSlack = 900 * time.Millisecond
	firstTimes = 3
	// gapTimes is how many of the route's longest pauses make a stream silent.
	// Callers leave after eight.
	gapTimes = 4
	// callShare is the part of a call's objective after which another endpoint
	// is tried, so that the second can still answer on time.
	callShare = 0.6
)

// watchdog cancels an attempt on which nothing comes, if another one is allowed. A
// zero limit never does.
type watchdog struct {
	timer   *time.Timer
	cancel  context.CancelCauseFunc
	allowed func() bool
}

func watch(cancel context.CancelCauseFunc, limit time.Duration, allowed func() bool) *watchdog {
	d := &watchdog{cancel: cancel, allowed: allowed}
	d.reset(limit)
	return d
}

func (d *watchdog) reset(limit time.Duration) {
	switch {
	case limit <= 0 && d.timer != nil:
		d.timer.Stop()
	case limit <= 0:
	case d.timer == nil:
		d.timer = time.AfterFunc(limit, func() {
			if d.allowed() {
				d.cancel(errSilent)
			}
		})
	default:
		d.timer.Reset(limit)
	}
}

func (d *watchdog) stop() {
	if d.timer != nil {
		d.timer.Stop()
	}
}

// headLimit is how long an attempt may take to the head of its answer. Only
// requests that may run again are given up for silence: to the others the
// endpoint may still answer.
func (c *call) headLimit(t *try) time.Duration {
	if c.sent+1 >= max(c.route.MaxAttempts, 1) {
		return 0
	}
	switch {
	case c.route.Kind == catalog.KindIdempotent:
		return max(time.Duration(callShare*float64(c.route.Target)), c.g.patience(c.service.Name).Most())
	case c.route.Resumable:
		expected := time.Duration(t.choice.Terms.FirstToken() * float64(time.Millisecond))
		return firstTimes*expected + firstSlack
	}
	return 0
}

// gapLimit is how long a stream may pause between events.
func (c *call) gapLimit() time.Duration {
	if !c.route.Resumable || c.sent >= max(c.route.MaxAttempts, 1) {
		return 0
	}
	return gapTimes * c.route.MaxGap
}

// payRetry takes the retry that follows when an attempt is given up for silence. An
// attempt that may not be repeated is waited for.
func (c *call) payRetry() bool {
	if !c.g.budget(c.service.Name).Retry(time.Now()) {
		return false
	}
	c.paid.Store(true)
	return true
}

// mayRetry takes a retry from the budget, unless it is paid.
func (c *call) mayRetry() bool {
	return c.paid.Swap(false) || c.g.budget(c.service.Name).Retry(time.Now())
}
