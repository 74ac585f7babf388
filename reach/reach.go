// Package reach decides whether a host is cut off from the endpoints of a service: whether requests that fail tell of the
// endpoints or of the host's own path to them. It also chooses the hosts that carry requests meanwhile.
//
// Load pattern: a host loses its paths to all endpoints at once and keeps those to its callers, the store and the
// other hosts. Its connections hang, are reset, or live on while new ones are refused. What fails on the way is no
// evidence by itself: endpoints crash, restart, fall silent and lose packets, several at a time. So failures only
// start a round of probes, which opens connections to several endpoints of the service in different availability zones;
// the round decides. If all endpoints of a service are down, the host takes itself for cut off; its requests then fail
// at the host that carries them, as they would have failed here.
//
// Endpoints that have just started may be reached while the paths to all others are lost, and some endpoints are always
// gone. So the host counts as cut off if hardly any probe of a round opens a connection, and as connected again after
// rounds in which at least half did. An endpoint that answers on a connection opened before proves nothing: such
// connections may live on.
package reach

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// failureWindow is how long a failure at an endpoint counts, minFailed at how many endpoints of a service requests
	// must have failed within it before a round of probes is due.
	failureWindow = time.Second
	minFailed     = 2
	// probesPerRound is the number of endpoints probed in a round. At least minProbes must fail, as far as the service
	// has as many: one may just have ended. The host is cut off if at most one in probesPerRound is reached.
	probesPerRound = 4
	minProbes      = 2
	// minRoundInterval is the least time between two rounds of a service that is reached. It doubles up to
	// maxRoundInterval with each round that opened a connection, and returns to its least value after a time without one.
	minRoundInterval = 500 * time.Millisecond
	maxRoundInterval = 4 * time.Second
	// cutRoundInterval is the time between two rounds while the host is cut off, probesWhileCut the number of endpoints
	// probed in each: many hosts may be cut off for long. roundsToEnd is the number of successive rounds in which at
	// least half of the probes open a connection, after which the host is no longer cut off.
	cutRoundInterval = 400 * time.Millisecond
	probesWhileCut   = 3
	roundsToEnd      = 2
)

// Candidate is an endpoint that may be probed.
type Candidate struct {
	ID      string
	Address string
	Service string
	Zone    string
}

// Table holds what a host has observed of its paths to the endpoints of each service. Safe for concurrent use; no other
// lock is taken while its lock is held.
type Table struct {
	mu       sync.Mutex
	rng      *rand.Rand
	services map[string]*state
}

// state is the state of the paths to one service.
type state struct {
	// failed holds when a request last failed at an endpoint, by id, since a probe last opened a connection.
	failed map[string]time.Time
	// round is set while a round of probes is under way, endedAt is when the last one ended.
	round   bool
	endedAt time.Time
	// interval is the least time between rounds while the service is reached.
	interval time.Duration
	// suspected is set if the host was found to be cut off from another service.
	suspected bool
	cutOff    bool
	since     time.Time
	// good counts the successive rounds of a host that is cut off in which at least half of the probes opened a
	// connection.
	good int
}

// NewTable returns the table of a host that counts as connected. rng chooses the endpoints that are probed.
func NewTable(rng *rand.Rand) *Table { return &Table{rng: rng, services: map[string]*state{}} }

// CutOff reports whether the host counts as cut off from all endpoints of a service.
func (t *Table) CutOff(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[service]
	return s != nil && s.cutOff
}

// Lost returns the services that the host counts as cut off from, sorted.
func (t *Table) Lost() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for name, s := range t.services {
		if s.cutOff {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// service returns the state of a service. The caller holds the lock.
func (t *Table) service(name string) *state {
	s := t.services[name]
	if s == nil {
		s = &state{failed: map[string]time.Time{}, interval: minRoundInterval}
		t.services[name] = s
	}
	return s
}

// RecordFailure records that a connection to an endpoint could not be opened, broke, or brought nothing within its
// time.
func (t *Table) RecordFailure(now time.Time, service, endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.service(service).failed[endpoint] = now
}

// BeginRound returns the endpoints of a service to probe now, none if no round is due. A round that was begun must be
// ended with EndRound. all holds the candidates of all services.
func (t *Table) BeginRound(now time.Time, all []Candidate) []Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	byService := map[string][]Candidate{}
	for _, c := range all {
		byService[c.Service] = append(byService[c.Service], c)
	}
	for name, candidates := range byService {
		s := t.services[name]
		if s == nil || !s.due(now, len(candidates)) {
			continue
		}
		n := probesPerRound
		if s.cutOff {
			n = probesWhileCut
		}
		s.round, s.suspected = true, false
		return spread(t.rng, candidates, s.failed, n)
	}
	for name, s := range t.services { // a service that is no longer listed is not probed
		if len(byService[name]) == 0 && !s.round {
			delete(t.services, name)
		}
	}
	return nil
}

// Pending reports whether a round may become due without a further failure.
func (t *Table) Pending(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.services {
		if s.cutOff || s.suspected {
			return true
		}
		for _, at := range s.failed {
			if now.Sub(at) <= failureWindow {
				return true
			}
		}
	}
	return false
}

// Sample returns endpoints at which a request may check whether the host reaches any, of different availability zones.
func (t *Table) Sample(all []Candidate) []Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	return spread(t.rng, all, nil, probesPerRound)
}

// due reports whether a round is due for a service with a number of endpoints.
func (s *state) due(now time.Time, endpoints int) bool {
	sinceRound := now.Sub(s.endedAt)
	switch {
	case s.round:
		return false
	case s.cutOff:
		return sinceRound >= cutRoundInterval
	}
	for id, at := range s.failed {
		if now.Sub(at) > failureWindow {
			delete(s.failed, id)
		}
	}
	if sinceRound > 2*maxRoundInterval {
		s.interval = minRoundInterval
	}
	return s.suspected || len(s.failed) >= min(minFailed, endpoints) && sinceRound >= s.interval
}

// EndRound applies the result of a round of a service: how many endpoints were probed of those that it has, and to how
// many a connection was opened. changed is set if the host is cut off now and was not, or the other way round; after is
// the time that the state before has lasted, zero if it was the first.
func (t *Table) EndRound(now time.Time, service string, endpoints, probed, opened int) (changed bool, after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(service)
	s.round, s.endedAt = false, now
	cutOff := s.cutOff
	switch {
	case s.cutOff && 2*opened >= probed:
		s.good++
		cutOff = s.good < roundsToEnd
	case s.cutOff:
		s.good = 0
	case probesPerRound*opened <= probed && probed-opened >= min(minProbes, endpoints):
		cutOff = true
	default:
		clear(s.failed)
		s.interval = min(2*s.interval, maxRoundInterval)
	}
	if cutOff == s.cutOff {
		return false, 0
	}
	s.good = 0
	clear(s.failed)
	if !s.since.IsZero() {
		after = now.Sub(s.since)
	}
	s.cutOff, s.since, s.interval = cutOff, now, minRoundInterval
	for name, other := range t.services {
		if cutOff && name != service {
			other.suspected = true
		}
	}
	return true, after
}

// spread returns up to n of the candidates, at random, of as many availability zones as possible, and those at which
// nothing has failed first: they can disprove that the host is cut off.
func spread(rng *rand.Rand, all []Candidate, failed map[string]time.Time, n int) []Candidate {
	rest := slices.Clone(all)
	rng.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	used := map[string]int{}
	cost := func(c Candidate) int {
		cost := 2 * used[c.Zone]
		if _, bad := failed[c.ID]; bad {
			cost++
		}
		return cost
	}
	var out []Candidate
	for len(out) < n && len(rest) > 0 {
		best := slices.MinFunc(rest, func(a, b Candidate) int { return cmp.Compare(cost(a), cost(b)) })
		used[best.Zone]++
		out = append(out, best)
		rest = slices.DeleteFunc(rest, func(c Candidate) bool { return c.ID == best.ID })
	}
	return out
}
