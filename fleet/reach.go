package fleet

import "time"

// MayReceive reports whether an endpoint may receive requests: it is listed as ready and has not asked for time.
func (t *Table) MayReceive(now time.Time, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[id]
	return ok && e.State == StateReady && !now.Before(t.pausedUntil[id])
}
