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

func (g *adaptiveGrace) get() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.grace
}

// observe adjusts the grace period by the duration and error of a call that asked
// the log to wait.
func (g *adaptiveGrace) observe(elapsed, wait time.Duration, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	late := elapsed - wait
	switch {
	case err == nil:
		g.grace = min(max(2*late, replyGrace), maxReplyGrace)
	case late >= g.grace || errors.Is(err, context.DeadlineExceeded):
		g.grace = min(2*g.grace, maxReplyGrace)
	}
}
