package replay

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadanotch/cicadanotch/quarantine"
	"github.com/cicadanotch/cicadanotch/route"
)

const (
	// deathRetryDelay delays the retry of a request whose engine died, so that the death is first
	// recorded with all requests that ran there.
	deathRetryDelay = 50 * time.Millisecond
	// maxIsolationWait bounds the wait of a suspect request for an idle endpoint to run isolated.
	maxIsolationWait = 2 * time.Second
)

// fingerprintOf returns the hash that identifies repeats of the same request.
func fingerprintOf(e *Event) uint64 {
	return xxhash.Sum64String(e.Workspace + "\x00" + e.Prompt)
}

// deathKey identifies the death of one engine process.
type deathKey struct {
	engine     string
	generation int
}

// recordDeath records the death of an engine, once, with the requests of this entry host that ran
// there, and sends it to the other entry hosts.
func (e *entry) recordDeath(a *attempt) {
	key := deathKey{a.engine.host.ID, a.generation}
	if e.recordedDeaths[key] {
		return
	}
	e.recordedDeaths[key] = true
	d := quarantine.Death{
		Endpoint:    a.engine.host.ID,
		Incarnation: incarnation(a.engine.host.ID, a.generation),
		Zone:        a.engine.host.Zone,
		At:          e.sim.clock.time(),
		Announced:   e.rows[a.engine.host.ID].Leaving,
		Running:     e.fingerprintsAt(a),
	}
	e.suspects.Add(d.At, d)
	for _, other := range e.sim.entries {
		if other != e {
			e.sim.send(e.host, other.host, 0, func() { other.suspects.Add(e.sim.clock.time(), d) })
		}
	}
}

func incarnation(engine string, generation int) string {
	return engine + "/" + strconv.Itoa(generation)
}

// fingerprintsAt returns the fingerprints of this entry host's requests at an attempt's engine,
// that of the attempt included.
func (e *entry) fingerprintsAt(a *attempt) []uint64 {
	out := []uint64{a.request.fingerprint}
	for c := range e.running {
		if c.current != nil && c.current.engine == a.engine && c.current.generation == a.generation {
			out = append(out, c.fingerprint)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// applyVerdict returns the endpoints excluded for a request: those it already excludes, those
// reserved for isolated requests, and those that its quarantine verdict rules out. ok is false when
// the request is quarantined and must not run; wait is set when it should be retried later.
func (e *entry) applyVerdict(c *call) (excluded map[string]bool, wait, ok bool) {
	excluded = map[string]bool{}
	for id := range c.excluded {
		excluded[id] = true
	}
	for id := range e.isolated {
		excluded[id] = true
	}
	j := e.suspects.Judge(e.sim.clock.time(), c.fingerprint, nil)
	switch j.Verdict {
	case quarantine.VerdictQuarantine:
		return nil, false, false
	case quarantine.VerdictIsolate:
		excluded, idle := e.isolate(c, excluded)
		return excluded, !idle && e.sim.clock.now-c.suspectSince < maxIsolationWait, true
	case quarantine.VerdictSeparate:
		if excluded, idle := e.isolate(c, excluded); idle {
			return excluded, false, true
		}
		for other := range e.running {
			if other.current != nil && slices.Contains(j.CoRunning, other.fingerprint) {
				excluded[other.current.engine.host.ID] = true
			}
		}
	}
	return excluded, false, true
}

// isolate reserves one idle endpoint for a suspect request and excludes all others for it. It
// returns false if none is idle.
func (e *entry) isolate(c *call, excluded map[string]bool) (map[string]bool, bool) {
	if c.suspectSince == 0 {
		c.suspectSince = e.sim.clock.now
	}
	service := e.sim.trace.Header.Service
	idle, ok := e.chooser.Table().Idle(service, c.fingerprint, excluded, e.sim.clock.time())
	if !ok {
		return excluded, false
	}
	for id := range e.rows {
		if id != idle {
			excluded[id] = true
		}
	}
	c.isolatedAt = idle
	e.isolated[idle] = true
	return excluded, true
}

// endIsolation releases the endpoint reserved for an isolated request.
func (e *entry) endIsolation(c *call) {
	if c.isolatedAt != "" {
		delete(e.isolated, c.isolatedAt)
		c.isolatedAt = ""
	}
}

// chooseExcluding asks the policy for an endpoint that is not in excluded.
func (e *entry) chooseExcluding(c *call, excluded map[string]bool) (route.Choice, error) {
	saved := c.excluded
	c.excluded = excluded
	choice, err := e.policy.choose(e, c)
	c.excluded = saved
	return choice, err
}
