package gateway

import (
	"context"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cicadanotch/cicadanotch/port"
)

// maxSuspension is the difference between the two clocks of suspendedTime that is no suspension: they are read one after
// the other.
const maxSuspension = 100 * time.Millisecond

// suspendedTime returns for how long the machine has been suspended since it was started. The monotonic clock, which
// package time uses, does not count that time. It returns zero if the clocks cannot be read.
func suspendedTime() time.Duration {
	var monotonic, boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}

// held returns the token of heldToken. The caller holds s.mu.
func (s *leaderState) held(now time.Time) (int64, bool) {
	if s.wasSuspended() {
		return 0, false
	}
	return s.tenure.Held(now)
}

// wasSuspended reports whether the machine was suspended since this host took the leadership: the clock by which the
// lease is measured has stood still meanwhile. The caller holds s.mu.
func (s *leaderState) wasSuspended() bool {
	return s.suspended()-s.suspendedBefore > maxSuspension
}

// actContext returns the context of one call to the platform as leader. It ends no later than the lease, so that a
// call that waits for a connection is not sent after it. ok is false if this host is not the leader with the
// fencing token t any more.
func (g *Gateway) actContext(t port.Tenure) (ctx context.Context, cancel context.CancelFunc, ok bool) {
	s := g.leader
	s.mu.Lock()
	now := time.Now()
	token, held := s.held(now)
	remaining := s.tenure.Remaining(now)
	s.mu.Unlock()
	if !held || token != t.FencingToken {
		g.log.Warn().Str("event", "duty_too_late").Int64("fence", t.FencingToken).Msg("the lease ended before the call")
		return nil, nil, false
	}
	ctx, cancel = context.WithTimeout(g.context(), min(platformCallTimeout, remaining))
	return ctx, cancel, true
}
