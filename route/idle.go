package route

import "time"

// Idle returns an endpoint of a service that has no requests, for running a suspect
// request isolated. Endpoints of this process's region are preferred, and those in
// excluded are skipped. The key ranks the endpoints the same way in all processes, so that two
// suspect requests with different keys rarely get the same one.
func (t *Table) Idle(service string, key uint64, excluded map[string]bool, now time.Time) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g, ok := t.groups[service]
	if !ok {
		return "", false
	}
	var best *endpoint
	for _, e := range g.rows {
		if !e.idle(now) || excluded[e.row.Host.ID] || t.isUnreachable(e, now) {
			continue
		}
		if best == nil || e.preferredOver(best, key) {
			best = e
		}
	}
	if best == nil {
		return "", false
	}
	return best.row.Host.ID, true
}

func (e *endpoint) idle(now time.Time) bool {
	return !e.leaving && now.UnixNano() >= e.suspectUntil && e.inFlight == 0 && e.othersRunning <= 0
}

// preferredOver reports whether e is chosen before other for an isolated request.
func (e *endpoint) preferredOver(other *endpoint, key uint64) bool {
	if far := e.proximity == otherRegion; far != (other.proximity == otherRegion) {
		return !far
	}
	return rendezvous(key, e.hash) > rendezvous(key, other.hash)
}
