package fleet

import (
	"maps"
	"time"
)

// LimitStatement is what an endpoint said, in an answer to any host, of the requests that it takes from all
// hosts together.
type LimitStatement struct {
	// PerSecond is zero if it named no limit.
	PerSecond float64
	// At is when the answer arrived.
	At time.Time
}

// limit is the last statement of an endpoint, and this host's part of the limit.
type limit struct {
	LimitStatement
	// heard is set if the answer came to this host, and not set if another host told it.
	heard bool
	// interval is the least time between two requests of this host; zero if it may send none.
	interval time.Duration
	nextAt   time.Time
}

// liftedMemory is how long it is remembered that a limit was lifted, so that older statements of other hosts
// do not bring it back.
const liftedMemory = 30 * time.Second

// State applies a statement of a listed endpoint if it is newer than the last one. It reports whether the
// limit changed. An endpoint that never named a limit has no statement.
func (t *Table) State(id string, s LimitStatement, heard bool) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.limits[id]
	if t.entries[id] == nil || old == nil && s.PerSecond == 0 {
		return false
	}
	if old == nil {
		t.limits[id] = &limit{LimitStatement: s, heard: heard}
		return true
	}
	if !s.At.After(old.At) {
		return false
	}
	changed = old.PerSecond != s.PerSecond
	old.LimitStatement, old.heard = s, heard
	return changed
}

// HeardLimits returns the statements that endpoints made to this host.
func (t *Table) HeardLimits() map[string]LimitStatement {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out map[string]LimitStatement
	for id, l := range t.limits {
		if l.heard {
			if out == nil {
				out = map[string]LimitStatement{}
			}
			out[id] = l.LimitStatement
		}
	}
	return out
}

// DivideLimits sets this host's part of each limit: interval returns the least time between two requests,
// zero if this host may send none.
func (t *Table) DivideLimits(now time.Time, interval func(id string, perSecond float64) time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.limits, func(id string, l *limit) bool {
		return t.entries[id] == nil || l.PerSecond == 0 && now.Sub(l.At) > liftedMemory
	})
	for id, l := range t.limits {
		l.interval = 0
		if l.PerSecond > 0 {
			l.interval = interval(id, l.PerSecond)
		}
	}
}

// WithinLimit reports whether this host may send an endpoint a request now.
func (t *Table) WithinLimit(now time.Time, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.withinLimit(now, id)
}

// withinLimit is WithinLimit. The caller holds the lock.
func (t *Table) withinLimit(now time.Time, id string) bool {
	l := t.limits[id]
	return l == nil || l.PerSecond == 0 || l.interval > 0 && !now.Before(l.nextAt)
}

// TakeFromLimit counts a request that is about to be sent to an endpoint. It reports false if this host may
// send none now.
func (t *Table) TakeFromLimit(now time.Time, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.withinLimit(now, id) {
		return false
	}
	if l := t.limits[id]; l != nil {
		l.nextAt = now.Add(l.interval)
	}
	return true
}

// ReturnToLimit takes back TakeFromLimit for a request that was not sent.
func (t *Table) ReturnToLimit(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.limits[id]; l != nil {
		l.nextAt = now
	}
}

// NextWithinLimit returns the time until the first of the endpoints takes a request again, from this host or, if
// this host may send none, from another; zero if none has a limit.
func (t *Table) NextWithinLimit(now time.Time, views []View) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := time.Duration(0)
	for _, v := range views {
		l := t.limits[v.ID]
		if l == nil || l.PerSecond == 0 {
			continue
		}
		left := l.nextAt.Sub(now)
		if l.interval == 0 {
			left = time.Duration(float64(time.Second) / l.PerSecond)
		}
		if left > 0 && (first == 0 || left < first) {
			first = left
		}
	}
	return first
}
