package fleet

import "time"

// Progressed records that an endpoint has sent an event of a stream to this host.
func (t *Table) Progressed(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[id]; ok {
		e.progressedAt = now
	}
}

// ProgressedAt returns when an endpoint last sent an event of any stream to this host; the zero time for never.
func (t *Table) ProgressedAt(id string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[id]; ok {
		return e.progressedAt
	}
	return time.Time{}
}
