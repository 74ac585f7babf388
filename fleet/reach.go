package fleet

import "time"

// MayReceive reports whether an endpoint may receive requests: it is listed as ready and has not asked for time.
func (t *Table) MayReceive(now time.Time, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[id]
	return ok && e.State == StateReady && !now.Before(t.pausedUntil[id])
}

// ClearSuspicion makes no endpoint of a service suspect: what failed told of the host's own paths to them.
func (t *Table) ClearSuspicion(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		if e.Service == service {
			e.consecutiveFailures, e.SuspectUntil = 0, time.Time{}
		}
	}
}
