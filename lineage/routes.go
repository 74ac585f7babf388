package lineage

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/catalog"
)

const (
	// maxPastRoutes bounds the routes of earlier configurations that Routes keeps.
	maxPastRoutes = 10_000
	// maxMoves bounds the configurations that Routes reports to other hosts.
	maxMoves = 16
)

// Routes holds which services may have begun a stream. A stream without a record began at the service that its id leads
// to, unless a configuration within RecordTTL led it elsewhere, be it one that only other hosts have had in force.
//
// Safe for concurrent use; no other lock is taken while its lock is held.
type Routes struct {
	mu sync.Mutex
	// first is the version of this process's first configuration, zero before; firstAt is when it was put in force.
	first   int64
	firstAt time.Time
	// blind is set while another configuration may have been in force right before the first one, as far as known.
	blind bool
	// past holds the routes that led elsewhere, until when.
	past []pastRoutes
	// droppedAt is when some of them were dropped before their time.
	droppedAt time.Time
	// replaced holds the versions that this process has put in force in place of another, and when.
	replaced map[int64]time.Time
	// moves holds the versions that have led streams to other services, and when, of all hosts.
	moves map[int64]time.Time
	// services holds the services that these have led streams to or from, as far as this process has made the move.
	services map[string]time.Time
	// early holds what was heard before the first configuration, by version: the report with the fewest moves.
	early map[int64]map[int64]int64
}

type pastRoutes struct {
	routes []catalog.Route
	until  time.Time
}

// NewRoutes returns the routes of a process that has no configuration yet.
func NewRoutes() *Routes {
	return &Routes{
		blind: true, replaced: map[int64]time.Time{}, moves: map[int64]time.Time{}, services: map[string]time.Time{},
		early: map[int64]map[int64]int64{},
	}
}

// Replaced records that a configuration was put in force in place of another, nil for none. It returns the services
// that streams no longer lead to, or now do.
func (r *Routes) Replaced(now time.Time, before, after *catalog.Snapshot) (services []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if before == nil {
		r.first, r.firstAt = after.Version, now
		delete(r.moves, after.Version)
		for version, moves := range r.early {
			r.compareFirst(version, moves)
		}
		r.early = nil
		return nil
	}
	r.forget(now)
	r.replaced[after.Version] = now
	routes, services := before.MovedRoutes(after)
	if len(routes) == 0 {
		return nil
	}
	r.past = append(r.past, pastRoutes{routes, now})
	r.moves[after.Version] = now
	for _, service := range services {
		r.services[service] = now
	}
	r.limit(now)
	return services
}

// limit drops the oldest routes beyond maxPastRoutes. Where streams began is not known then until RecordTTL has passed.
func (r *Routes) limit(now time.Time) {
	count := 0
	for i, p := range slices.Backward(r.past) {
		if count += len(p.routes); count > maxPastRoutes {
			r.past, r.droppedAt = slices.Clone(r.past[i+1:]), now
			return
		}
	}
}

// forget drops what no stream that is still continued can have begun under.
func (r *Routes) forget(now time.Time) {
	r.past = slices.DeleteFunc(r.past, func(p pastRoutes) bool { return now.Sub(p.until) >= RecordTTL })
	expired := func(_ int64, at time.Time) bool { return now.Sub(at) >= 2*RecordTTL }
	maps.DeleteFunc(r.replaced, expired)
	maps.DeleteFunc(r.moves, expired)
	maps.DeleteFunc(r.services, func(_ string, at time.Time) bool { return now.Sub(at) >= RecordTTL })
}

// Moves returns how many milliseconds ago configurations led streams to other services, by version: the latest
// maxMoves of RecordTTL. A process that does not know what was in force before its first configuration counts that.
func (r *Routes) Moves(now time.Time) map[int64]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	recent := map[int64]int64{}
	add := func(version int64, at time.Time) {
		if age := now.Sub(at); age < RecordTTL {
			recent[version] = age.Milliseconds()
		}
	}
	for version, at := range r.moves {
		add(version, at)
	}
	if r.blind && r.first > 0 {
		add(r.first, r.firstAt)
	}
	if len(recent) == 0 {
		return nil
	}
	var versions []int64
	for version := range recent {
		versions = append(versions, version)
	}
	slices.Sort(versions)
	for _, version := range versions[:max(len(versions)-maxMoves, 0)] {
		delete(recent, version)
	}
	return recent
}

// Heard takes over what another process has reported: the version in force there, and its Moves. It reports whether it
// tells of a move that this process has not made itself.
func (r *Routes) Heard(now time.Time, version int64, moves map[int64]int64) (unseen bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for moved, age := range moves {
		at := now.Add(-time.Duration(age) * time.Millisecond)
		if _, known := r.moves[moved]; known || moved == r.first || age >= RecordTTL.Milliseconds() {
			continue // what led to the first configuration is not known as long as this process is blind
		}
		if _, own := r.replaced[moved]; !own {
			r.moves[moved] = at
			unseen = true
		}
	}
	if r.first > 0 {
		r.compareFirst(version, moves)
	} else if other, ok := r.early[version]; !ok || len(moves) < len(other) {
		r.early[version] = moves
	}
	return unseen
}

// compareFirst ends the time in which this process is blind if another one tells that its first configuration leads
// streams to the same services as the one before.
func (r *Routes) compareFirst(version int64, moves map[int64]int64) {
	if _, moved := moves[r.first]; version >= r.first && !moved {
		r.blind = false
	}
}

// NobodyBefore records that no process has been before this one, so nothing was in force before its first configuration.
func (r *Routes) NobodyBefore() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blind = false
}

// HasMoved reports whether other hosts may take a service for one at which a stream that is still continued has not begun,
// or the other way round.
func (r *Routes) HasMoved(now time.Time, service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.services[service]
	return ok && now.Sub(at) < RecordTTL || r.moved(now)
}

// moved reports whether streams may have begun at services of which this process does not know.
func (r *Routes) moved(now time.Time) bool {
	if r.blind && now.Sub(r.firstAt) < RecordTTL || now.Sub(r.droppedAt) < RecordTTL {
		return true
	}
	for version, at := range r.moves {
		if _, own := r.replaced[version]; !own && now.Sub(at) < RecordTTL {
			return true
		}
	}
	return false
}

// Services returns the services that may have begun a stream, sorted. It is identified by its request's host name and
// path, and by the id of the request that began it, empty if that is not known. complete is false if there may be others.
func (r *Routes) Services(now time.Time, current *catalog.Route, host, path, stream string) (services []string, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	add := func(route *catalog.Route) {
		for _, s := range route.Services {
			if s.Weight > 0 && (stream == "" || s.Service == route.Service(stream)) {
				services = append(services, s.Service)
			}
		}
	}
	add(current)
	for _, p := range r.past {
		if now.Sub(p.until) >= RecordTTL {
			continue
		}
		for i := range p.routes {
			if p.routes[i].Matches(host, path) {
				add(&p.routes[i])
			}
		}
	}
	slices.Sort(services)
	return slices.Compact(services), !r.moved(now)
}
