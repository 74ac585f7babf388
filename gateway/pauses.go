package gateway

import (
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/drain"
)

// pauseTable holds when the process did not run.
type pauseTable struct {
	mu     sync.Mutex
	pauses drain.Pauses
}

func (t *pauseTable) tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pauses.Tick(now)
}

func (t *pauseTable) earliestSending(now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pauses.EarliestSending(now)
}
