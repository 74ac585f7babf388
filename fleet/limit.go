package fleet

import "time"

// LimitStatement is what an endpoint said, in an answer to any host, of the requests that it takes from all
// hosts together.
type LimitStatement struct {
	// PerSecond is zero if it named no limit.
	PerSecond float64
	// At is when the answer arrived.
	At time.Time
}

// limit is the last statement of an endpoint.
type limit struct {
	LimitStatement
}

// State applies a statement of an endpoint if it is newer than the last one. It reports whether the limit
// changed. An endpoint that never named a limit has no statement.
func (t *Table) State(id string, s LimitStatement) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.limits[id]
	if old == nil {
		if s.PerSecond > 0 {
			t.limits[id] = &limit{LimitStatement: s}
		}
		return s.PerSecond > 0
	}
	if !s.At.After(old.At) {
		return false
	}
	changed = old.PerSecond != s.PerSecond
	old.LimitStatement = s
	return changed
}
