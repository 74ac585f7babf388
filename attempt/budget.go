package attempt

import (
	"sync"
	"time"
)

// Parameters of a retry budget.
const (
	// retryRatio is the number of retries allowed per new request.
	retryRatio = 0.2
	// minRetriesPerSecond is always allowed: without it a service that receives no new
	// requests could not recover.
	minRetriesPerSecond = 5.0
	// maxRetryBurst is how many retries may be sent at once. It covers the requests
	// of a few endpoints that fail together.
	maxRetryBurst = 64.0
	// requestRateWindow is the window for estimating the rate of new requests.
	requestRateWindow = 10 * time.Second
)

// Budget limits the retries of one service to a fraction of its new requests (first
// attempts) plus a minimum rate, with a bounded burst, so that a loss of endpoints does not
// cause a retry storm. A retry that exceeds the budget is delayed, not refused; the caller
// abandons it if the delay would exceed the deadline of the request. Budget is safe for
// concurrent use.
type Budget struct {
	mu          sync.Mutex
	tokens      float64
	requestRate float64
	updatedAt   time.Time
}

// NewBudget returns a budget with the full burst available.
func NewBudget() *Budget { return &Budget{tokens: maxRetryBurst} }

// RecordRequest records a new request.
func (b *Budget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.tokens = min(b.tokens+retryRatio, maxRetryBurst)
	b.requestRate += 1 / requestRateWindow.Seconds()
}

// Reserve reserves one retry and returns the delay before it may be sent. The delay is an
// estimate, based on the present rate of new requests.
func (b *Budget) Reserve(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.tokens--
	if b.tokens >= 0 {
		return 0
	}
	perSecond := minRetriesPerSecond + retryRatio*b.requestRate
	return time.Duration(-b.tokens / perSecond * float64(time.Second))
}

// Return cancels a reservation that was not used. It takes no time: the next call of another
// method accounts for the time that has passed.
func (b *Budget) Return() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+1, maxRetryBurst)
}

// advance adds tokens at the minimum rate for the elapsed time, and reduces the rate of new
// requests by the fraction of requestRateWindow that has elapsed, to no less than zero.
func (b *Budget) advance(now time.Time) {
	elapsed := max(now.Sub(b.updatedAt).Seconds(), 0)
	if b.updatedAt.IsZero() {
		elapsed = 0
	}
	b.updatedAt = now
	b.tokens = min(b.tokens+minRetriesPerSecond*elapsed, maxRetryBurst)
	b.requestRate = max(b.requestRate-b.requestRate*elapsed/requestRateWindow.Seconds(), 0)
}
