package node

import (
	"context"
	"time"

	"github.com/cicadanotch/cicadanotch/port"
)

// beginMove begins the transfer of the current attempt's KV cache. The export
// stops the attempt; the request then waits until endMove, because the next
// attempt must not begin before the import.
func (a *Accepted) beginMove() (attemptID string, host port.Host, ok bool) {
	a.exec.mu.Lock()
	defer a.exec.mu.Unlock()
	if a.exec.current == nil || a.exec.transferDone != nil || !a.Request.Repeatable {
		return "", port.Host{}, false
	}
	a.exec.transferDone = make(chan struct{})
	return a.exec.current.id, a.exec.current.host, true
}

// endMove ends the transfer and lets the request continue as m specifies. If a failed
// export left the attempt running, endMove cancels it so that the request leaves
// the endpoint.
func (a *Accepted) endMove(m Move) {
	a.exec.mu.Lock()
	defer a.exec.mu.Unlock()
	a.exec.move = &m
	close(a.exec.transferDone)
	a.exec.transferDone = nil
	if a.exec.current != nil {
		a.exec.current.cancel(errAttemptMoved)
	}
}

// setMove sets where the first attempt of a request is made.
func (a *Accepted) setMove(m Move) {
	a.exec.mu.Lock()
	defer a.exec.mu.Unlock()
	a.exec.move = &m
}

// awaitMove reports whether the current attempt was stopped by a KV cache transfer or
// by the handoff of the request. It first waits for the end of the transfer or, in a
// handoff, of ctx.
func (a *Accepted) awaitMove(ctx context.Context) bool {
	if a.isFrozen() {
		<-ctx.Done()
		return true
	}
	a.exec.mu.Lock()
	done := a.exec.transferDone
	a.exec.mu.Unlock()
	if done == nil {
		return false
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
	return true
}

// tokenInterval returns the mean time between two chunks of the current attempt;
// zero before its first chunk.
func (a *Accepted) tokenInterval(now time.Time) time.Duration {
	a.exec.mu.Lock()
	r := a.exec.current
	a.exec.mu.Unlock()
	if r == nil || a.Answer.Len() <= r.firstIndex {
		return 0
	}
	return now.Sub(r.started) / time.Duration(a.Answer.Len()-r.firstIndex)
}
