package relay

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// maxGrace bounds how long a reply of the log may be late.
const maxGrace = 4 * time.Second

// patience is how long a reply of the log may be late. It grows while calls
// time out, so that a slow log still makes progress, and shrinks when replies
// come quickly. Safe for concurrent use.
type patience struct {
	mu    sync.Mutex
	grace time.Duration
}

func newPatience() *patience { return &patience{grace: replyGrace} }

func (p *patience) get() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.grace
}

// learn takes in how a call that was asked to wait went.
func (p *patience) learn(elapsed, wait time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	late := elapsed - wait
	switch {
	case err == nil:
		p.grace = min(max(2*late, replyGrace), maxGrace)
	case late >= p.grace || errors.Is(err, context.DeadlineExceeded):
		p.grace = min(2*p.grace, maxGrace)
	}
}
