package attempt

import (
	"sync"
	"time"
)

// Limits of a retry budget.
const (
	// retryShare is how many retries each fresh request pays for.
	retryShare = 0.2
	// retryFloor is the rate of retries, per second, that is always allowed:
	// without it a service without fresh requests could not recover.
	retryFloor = 5.0
	// retryBurst is how many retries may go out at once: the requests of a
	// few endpoints that died together.
	retryBurst = 64.0
	// freshWindow is the time over which the rate of fresh requests is taken.
	freshWindow = 10 * time.Second
)

// Budget paces the retries of one service to a share of its fresh requests,
// so that a loss of endpoints makes no storm. A retry that exceeds the budget
// is delayed, not refused: the caller gives it up only when the delay does not
// fit its deadline. Safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
	rate   float64
	at     time.Time
}

// NewBudget returns a budget with its whole burst.
func NewBudget() *Budget { return &Budget{tokens: retryBurst} }

// Fresh books one request that is no retry.
func (b *Budget) Fresh(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.tokens = min(b.tokens+retryShare, retryBurst)
	b.rate += 1 / freshWindow.Seconds()
}

// Reserve takes one retry and returns how long it must wait.
func (b *Budget) Reserve(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.tokens--
	if b.tokens >= 0 {
		return 0
	}
	perSecond := retryFloor + retryShare*b.rate
	return time.Duration(-b.tokens / perSecond * float64(time.Second))
}

// Return gives back a reservation that was not used.
func (b *Budget) Return() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+1, retryBurst)
}

// advance adds the floor's tokens and lets the rate of fresh requests decay.
func (b *Budget) advance(now time.Time) {
	passed := max(now.Sub(b.at).Seconds(), 0)
	if b.at.IsZero() {
		passed = 0
	}
	b.at = now
	b.tokens = min(b.tokens+retryFloor*passed, retryBurst)
	b.rate = max(b.rate-b.rate*passed/freshWindow.Seconds(), 0)
}
