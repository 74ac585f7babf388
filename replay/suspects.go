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
	// deathGrace is the time until a death is booked with all that ran there
	// and its requests are tried again.
	deathGrace = 50 * time.Millisecond
	// isolateWait bounds the wait for an idle endpoint to try a suspect at.
	isolateWait = 2 * time.Second
)

// fingerprintOf returns the hash by which a request is known again.
func fingerprintOf(e *Event) uint64 {
	return xxhash.Sum64String(e.Workspace + "\x00" + e.Prompt)
}

// deathOf names one death of one engine.
type deathOf struct {
	engine string
	life   int
}

// died books the death of an engine with what this entry host had there, once,
// and tells the other entry hosts.
func (e *entry) died(a *attempt) {
	key := deathOf{a.engine.host.ID, a.life}
	if e.booked[key] {
		return
	}
	e.booked[key] = true
	d := quarantine.Death{
		Endpoint:    a.engine.host.ID,
		Incarnation: incarnation(a.engine.host.ID, a.life),
		Zone:        a.engine.host.Zone,
		At:          e.world.clock.time(),
		Announced:   e.rows[a.engine.host.ID].Leaving,
		Running:     e.runningAt(a),
	}
	e.suspects.Add(d.At, d)
	for _, other := range e.world.entries {
		if other != e {
			e.world.send(e.host, other.host, 0, func() { other.suspects.Add(e.world.clock.time(), d) })
		}
	}
}

func incarnation(engine string, life int) string { return engine + "/" + strconv.Itoa(life) }

// runningAt returns the fingerprints of the requests at an attempt's engine.
func (e *entry) runningAt(a *attempt) []uint64 {
	out := []uint64{a.request.fingerprint}
	for c := range e.running {
		if c.current != nil && c.current.engine == a.engine && c.current.life == a.life {
			out = append(out, c.fingerprint)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// place adds to a request's excluded endpoints those that the verdict on it
// keeps it from; ok is false when it may not run at all, and wait is set when
// it should be tried again later.
func (e *entry) place(c *call) (excluded map[string]bool, wait, ok bool) {
	excluded = map[string]bool{}
	for id := range c.excluded {
		excluded[id] = true
	}
	for id := range e.isolated {
		excluded[id] = true
	}
	j := e.suspects.Judge(e.world.clock.time(), c.fingerprint)
	switch j.Verdict {
	case quarantine.VerdictQuarantine:
		return nil, false, false
	case quarantine.VerdictIsolate:
		excluded, idle := e.alone(c, excluded)
		return excluded, !idle && e.world.clock.now-c.suspectSince < isolateWait, true
	case quarantine.VerdictSeparate:
		if excluded, idle := e.alone(c, excluded); idle {
			return excluded, false, true
		}
		for other := range e.running {
			if other.current != nil && slices.Contains(j.Company, other.fingerprint) {
				excluded[other.current.engine.host.ID] = true
			}
		}
	}
	return excluded, false, true
}

// alone leaves one idle endpoint to a suspect and keeps it free of others; it
// reports false when none is idle.
func (e *entry) alone(c *call, excluded map[string]bool) (map[string]bool, bool) {
	if c.suspectSince == 0 {
		c.suspectSince = e.world.clock.now
	}
	service := e.world.trace.Header.Service
	idle, ok := e.chooser.Table().Idle(service, c.fingerprint, excluded, e.world.clock.time())
	if !ok {
		return excluded, false
	}
	for id := range e.rows {
		if id != idle {
			excluded[id] = true
		}
	}
	c.aloneAt = idle
	e.isolated[idle] = true
	return excluded, true
}

// leaveAlone frees the endpoint that a suspect had for itself.
func (e *entry) leaveAlone(c *call) {
	if c.aloneAt != "" {
		delete(e.isolated, c.aloneAt)
		c.aloneAt = ""
	}
}

// chooseAt asks the policy for an endpoint that is not excluded.
func (e *entry) chooseAt(c *call, excluded map[string]bool) (route.Choice, error) {
	kept := c.excluded
	c.excluded = excluded
	choice, err := e.policy.choose(e, c)
	c.excluded = kept
	return choice, err
}
