package attempt

import (
	"sync"
	"time"
)

const (
	// meanWeight and deviationWeight are the weights of a new answer, and
	// deviations how many mean deviations beyond the mean an answer may take: the
	// figures of TCP's retransmission timer.
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviations      = 4
)

// Patience estimates how long answers of a service take at most. Safe for
// concurrent use.
//
// Load pattern: a service whose usual answers take as long as the fixed time after
// which another endpoint would be asked. Every request would be sent twice, until
// the budget is empty, and given up from then on.
type Patience struct {
	mu        sync.Mutex
	observed  bool
	mean      float64 // seconds
	deviation float64
}

// Observe takes the time of a whole answer.
func (p *Patience) Observe(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := took.Seconds()
	if !p.observed {
		p.observed, p.mean, p.deviation = true, s, s/2
		return
	}
	off := s - p.mean
	p.mean += meanWeight * off
	p.deviation += deviationWeight * (max(off, -off) - p.deviation)
}

// Most returns how long an answer takes at most, zero until one was observed.
func (p *Patience) Most() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration((p.mean + deviations*p.deviation) * float64(time.Second))
}
