package route

import "time"

// Idle returns an endpoint of a service without requests, to run a suspect
// alone at; the region's own come first. Requests with different keys get
// different ones in all processes, so that two suspects do not meet. Endpoints
// in taken are left out.
func (t *Table) Idle(service string, key uint64, taken map[string]bool, now time.Time) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g, ok := t.groups[service]
	if !ok {
		return "", false
	}
	var best *endpoint
	for _, e := range g.rows {
		if !e.idle(now) || taken[e.row.Host.ID] || t.isCutOff(e, now) {
			continue
		}
		if best == nil || e.idlerThan(best, key) {
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

func (e *endpoint) idlerThan(o *endpoint, key uint64) bool {
	if far := e.near == otherRegion; far != (o.near == otherRegion) {
		return !far
	}
	return rendezvous(key, e.hash) > rendezvous(key, o.hash)
}
