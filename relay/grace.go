package relay

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// maxReplyGrace is the maximum grace period for replies of the log.
const maxReplyGrace = 4 * time.Second

// adaptiveGrace is the grace period for replies of the log: how long a call may
// take beyond the wait that it asked for. It grows while calls time out, so that
// reads from a slow log still make progress, and shrinks when replies are
// prompt. It is safe for concurrent use.
type adaptiveGrace struct {
	mu    sync.Mutex
	grace time.Duration
}

func newAdaptiveGrace() *adaptiveGrace { return &adaptiveGrace{grace: replyGrace} }

func (p *adaptiveGrace) get() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.grace
}

// observe adjusts the grace period by the duration and error of a call that asked
// the log to wait.
func (p *adaptiveGrace) observe(elapsed, wait time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	late := elapsed - wait
	switch {
	case err == nil:
		p.grace = min(max(2*late, replyGrace), maxReplyGrace)
	case late >= p.grace || errors.Is(err, context.DeadlineExceeded):
		p.grace = min(2*p.grace, maxReplyGrace)
	}
}
