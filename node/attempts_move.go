package node

import (
	"context"
	"time"

	"github.com/cicadanotch/cicadanotch/port"
)

// beginMove holds the request after the end of its current attempt until
// endMove: a KV export stops the attempt, and the next must not begin before
// the import.
func (a *Accepted) beginMove() (attemptID string, host port.Host, ok bool) {
	a.work.mu.Lock()
	defer a.work.mu.Unlock()
	if a.work.current == nil || a.work.moving != nil || !a.Request.Repeatable {
		return "", port.Host{}, false
	}
	a.work.moving = make(chan struct{})
	return a.work.current.id, a.work.current.host, true
}

// endMove lets the request go on as m says. An attempt that a failed export
// left running is ended, so that the request leaves the endpoint.
func (a *Accepted) endMove(m Move) {
	a.work.mu.Lock()
	defer a.work.mu.Unlock()
	a.work.move = &m
	close(a.work.moving)
	a.work.moving = nil
	if a.work.current != nil {
		a.work.current.cancel(errMoved)
	}
}

// setMove sets where the first attempt of a request goes.
func (a *Accepted) setMove(m Move) {
	a.work.mu.Lock()
	defer a.work.mu.Unlock()
	a.work.move = &m
}

// awaitMove waits for the end of a transfer that ended the current attempt,
// and for the end of ctx when the request is handed over. It reports whether
// the attempt was ended by one of the two.
func (a *Accepted) awaitMove(ctx context.Context) bool {
	if a.isFrozen() {
		<-ctx.Done()
		return true
	}
	a.work.mu.Lock()
	moving := a.work.moving
	a.work.mu.Unlock()
	if moving == nil {
		return false
	}
	select {
	case <-moving:
	case <-ctx.Done():
	}
	return true
}

// tokenInterval returns the time between two chunks of the current attempt so
// far; zero before its first.
func (a *Accepted) tokenInterval(now time.Time) time.Duration {
	a.work.mu.Lock()
	r := a.work.current
	a.work.mu.Unlock()
	if r == nil || a.Answer.Len() <= r.from {
		return 0
	}
	return now.Sub(r.started) / time.Duration(a.Answer.Len()-r.from)
}
