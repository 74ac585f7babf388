package attempt

import (
	"sync"
	"time"
)

const (
	// meanGain and deviationGain are the weights of a new sample in the mean and in
	// the mean deviation. deviationFactor is the number of mean deviations added to
	// the mean. The values are those of TCP's retransmission timer.
	meanGain        = 1.0 / 8
	deviationGain   = 1.0 / 4
	deviationFactor = 4
)

// ResponseTimeEstimator estimates an upper bound of the response time of a service. It
// is safe for concurrent use.
//
// A fixed timeout fails for a service whose normal response time is as long as the
// timeout after which another endpoint is tried: every request would be sent twice
// until the retry budget is used up, and would fail from then on.
type ResponseTimeEstimator struct {
	mu        sync.Mutex
	observed  bool
	mean      float64 // seconds
	deviation float64
}

// Observe records the response time of a complete answer.
func (e *ResponseTimeEstimator) Observe(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	seconds := d.Seconds()
	if !e.observed {
		e.observed, e.mean, e.deviation = true, seconds, seconds/2
		return
	}
	diff := seconds - e.mean
	e.mean += meanGain * diff
	e.deviation += deviationGain * (max(diff, -diff) - e.deviation)
}

// UpperBound returns the upper bound, or zero if nothing was observed.
func (e *ResponseTimeEstimator) UpperBound() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration((e.mean + deviationFactor*e.deviation) * float64(time.Second))
}
