package drain

import "time"

const (
	// maxTickGap is the longest time between two ticks of a process that has run all the while.
	maxTickGap = 350 * time.Millisecond
	// wakeTime is how long after its wake a process may notice a signal that was sent before.
	wakeTime = 100 * time.Millisecond
)

// Pauses holds when the process did not run. The system gives a process that was frozen the signals sent meanwhile only
// when it runs again, and counts its grace period from their sending.
type Pauses struct {
	tickedAt time.Time
	from, to time.Time
}

// Tick records that the process runs. It must be called several times within maxTickGap.
func (p *Pauses) Tick(now time.Time) {
	if !p.tickedAt.IsZero() && now.Sub(p.tickedAt) > maxTickGap {
		p.from, p.to = p.tickedAt, now
	}
	p.tickedAt = now
}

// EarliestSending returns the earliest time at which a signal that is noticed now may have been sent.
func (p *Pauses) EarliestSending(now time.Time) time.Time {
	switch {
	case !p.tickedAt.IsZero() && now.Sub(p.tickedAt) > maxTickGap:
		return p.tickedAt
	case !p.to.IsZero() && now.Sub(p.to) <= wakeTime:
		return p.from
	}
	return now
}
