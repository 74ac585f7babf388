package attempt

import (
	"sync"
	"time"
)

const (
	// windowSteps is the number of counters that make up the sliding window.
	windowSteps = 40
	// usableBudgetRatio is the fraction of the budget that is used: each host counts
	// only its own requests, and a host that has just failed may have used its share.
	usableBudgetRatio = 0.7
)

// WindowBudget limits the retries of one service in any sliding window to a ratio of
// its new requests (first attempts) plus a slack that all hosts share. Unlike Budget it
// refuses retries that exceed the limit. It is safe for concurrent use.
type WindowBudget struct {
	mu       sync.Mutex
	window   time.Duration
	ratio    float64
	slack    float64
	hosts    int
	lastStep int64
	requests [windowSteps]int
	retries  [windowSteps]int
}

// NewWindowBudget returns a budget for windows of the given length. slack is a number
// of retries.
func NewWindowBudget(length time.Duration, ratio, slack float64) *WindowBudget {
	return &WindowBudget{window: length, ratio: ratio, slack: slack, hosts: 1}
}

// SetHosts sets the number of hosts that share the slack.
func (b *WindowBudget) SetHosts(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = max(n, 1)
}

// RecordRequest records a new request.
func (b *WindowBudget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.advance(now)]++
}

// AllowRetry records a retry if the budget allows it, and reports whether it does.
func (b *WindowBudget) AllowRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	step := b.advance(now)
	requests, retries := 0, 0
	for i := range b.requests {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	if float64(retries+1) > usableBudgetRatio*(b.ratio*float64(requests)+b.slack/float64(b.hosts)) {
		return false
	}
	b.retries[step]++
	return true
}

// advance clears the counters of steps that have left the window and returns the index
// of the current one.
func (b *WindowBudget) advance(now time.Time) int {
	step := now.UnixNano() / (b.window.Nanoseconds() / windowSteps)
	if step-b.lastStep >= windowSteps || step < b.lastStep {
		b.requests, b.retries = [windowSteps]int{}, [windowSteps]int{}
	} else {
		for s := b.lastStep + 1; s <= step; s++ {
			b.requests[s%windowSteps], b.retries[s%windowSteps] = 0, 0
		}
	}
	b.lastStep = step
	return int(step % windowSteps)
}
