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

// ResponseTimeEstimator estimates the response time that most answers of a service do
// not exceed: the mean plus deviationFactor mean deviations. It is safe for concurrent
// use.
//
// The timeout after which another endpoint is tried must not be fixed. A service whose
// normal response time is as long as a fixed timeout would have every request sent
// twice until the retry budget is used up, and its requests would fail from then on.
type ResponseTimeEstimator struct {
	mu         sync.Mutex
	hasSamples bool
	mean       float64 // seconds
	deviation  float64 // mean deviation, seconds
}

// Observe records the response time of a complete answer.
func (e *ResponseTimeEstimator) Observe(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	seconds := d.Seconds()
	if !e.hasSamples {
		e.hasSamples, e.mean, e.deviation = true, seconds, seconds/2
		return
	}
	diff := seconds - e.mean
	e.mean += meanGain * diff
	e.deviation += deviationGain * (max(diff, -diff) - e.deviation)
}

// Mean returns the moving average of the response times, or zero if nothing was observed.
func (e *ResponseTimeEstimator) Mean() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(e.mean * float64(time.Second))
}

// Estimate returns the estimate, or zero if nothing was observed. A response may take
// longer.
func (e *ResponseTimeEstimator) Estimate() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration((e.mean + deviationFactor*e.deviation) * float64(time.Second))
}
