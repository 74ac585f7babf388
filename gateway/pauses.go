package gateway

import (
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/drain"
)

// pauseTable holds when the process did not run. Its times count those in which the machine was suspended, which the
// steady clock leaves out, and don't follow the time of day, which may jump.
type pauseTable struct {
	// suspended is suspendedTime, before what it returned when the process started.
	suspended func() time.Duration
	before    time.Duration
	mu        sync.Mutex
	pauses    drain.Pauses
}

// measure sets the function that returns for how long the machine has been suspended. Call it before the host starts.
func (t *pauseTable) measure(suspended func() time.Duration) {
	t.suspended, t.before = suspended, suspended()
}

// counted returns a time of the steady clock, together with the time in which the machine was suspended since the process
// started.
func (t *pauseTable) counted(now time.Time) time.Time {
	if d := t.suspended() - t.before; d > maxSuspension {
		return now.Add(d)
	}
	return now
}

func (t *pauseTable) tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pauses.Tick(t.counted(now))
}

// earliestSending returns, as counted does, when a signal that is noticed now may have been sent.
func (t *pauseTable) earliestSending(now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pauses.EarliestSending(t.counted(now))
}
