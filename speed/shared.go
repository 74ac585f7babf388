package speed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Observation is what a host tells the others of one endpoint: for each level of load the weight of its
// observations, in tenths, and the mean logarithm of their times, in hundredths. Levels at the end
// without observations are left out.
type Observation []int

// Observations are those of one host, by service and endpoint.
type Observations map[string]map[string]Observation

const (
	// maxToldEndpoints bounds the endpoints of a service that a host tells of, so that a report stays
	// short: at most some 30 bytes each.
	maxToldEndpoints = 48
	// minToldWeight is the weight of the observations from which an endpoint is told of.
	minToldWeight = 0.3
	// maxToldWeight and maxToldLog bound what is taken from another host.
	maxToldWeight = 10_000
	maxToldLog    = 2_000
	// toldTolerance is how far the pace of an endpoint may be from the service's mean that is not told
	// when only notable ones are.
	toldTolerance = 0.15
)

// Own returns this host's observations of a service, those of the largest weight first if they are too
// many. With notable set, only of endpoints that differ from the service's mean.
func (t *Table) Own(now time.Time, name string, notable bool) map[string]Observation {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.services[name]
	if !ok {
		return nil
	}
	s.update(now)
	ids := make([]string, 0, len(s.rows))
	weights := map[string]float64{}
	for id, r := range s.rows {
		weights[id] = r.ownNow(now).weight()
		e := r.estimate
		if weights[id] < minToldWeight || (notable && e.Knee == 0 && math.Abs(math.Log(e.Pace)) < toldTolerance) {
			continue
		}
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Or(-cmp.Compare(weights[a], weights[b]), cmp.Compare(a, b)) })
	out := map[string]Observation{}
	for _, id := range ids[:min(len(ids), maxToldEndpoints)] {
		r := s.rows[id]
		out[id] = encode(r.ownNow(now))
	}
	return out
}

func encode(c cells) Observation {
	var o Observation
	for i := range c {
		w := int(math.Round(c[i].weight * 10))
		if w == 0 {
			continue
		}
		for len(o) < 2*i {
			o = append(o, 0)
		}
		o = append(o, w, int(math.Round(c[i].mean()*100)))
	}
	return o
}

// decode returns what an observation states; figures out of bounds are left out.
func decode(o Observation) cells {
	var c cells
	for i := range c {
		if len(o) < 2*i+2 {
			break
		}
		w, mean := o[2*i], o[2*i+1]
		if w > 0 && w <= maxToldWeight && mean >= -maxToldLog && mean <= maxToldLog {
			c[i] = cell{float64(w) / 10, float64(w) / 10 * float64(mean) / 100}
		}
	}
	return c
}

// SetPeers replaces the observations of the other hosts. A service that they tell of is one whose endpoints
// state their time of work.
func (t *Table) SetPeers(now time.Time, told []Observations) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.services {
		s.peers, s.peersAt = map[string]cells{}, now
	}
	for _, observations := range told {
		for name, endpoints := range observations {
			s := t.service(name)
			s.peersAt, s.toldAt = now, now
			for id, o := range endpoints {
				s.peers[id] = s.peers[id].plus(decode(o))
			}
		}
	}
}

// Absorb adds observations to this host's own: those of a host that it takes over from.
func (t *Table) Absorb(now time.Time, told Observations) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, endpoints := range told {
		s := t.service(name)
		for id, o := range endpoints {
			r := s.row(id)
			r.own, r.ownAt = r.ownNow(now).plus(decode(o)), now
		}
	}
}

// Row is one endpoint in the state dump and the metrics.
type Row struct {
	Service  string  `json:"service"`
	Endpoint string  `json:"endpoint"`
	Pace     float64 `json:"pace"`
	// Knee is a fraction of the endpoint's slots.
	Knee   float64 `json:"knee,omitempty"`
	Weight float64 `json:"weight"`
}

// Rows returns the estimates of all endpoints, ordered by service and endpoint.
func (t *Table) Rows(now time.Time) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Row
	for name, s := range t.services {
		s.update(now)
		for id, c := range s.observations(now) {
			e := s.estimates[id]
			out = append(out, Row{name, id, e.Pace, e.Knee, c.weight()})
		}
	}
	slices.SortFunc(out, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return out
}

// notableChange is the factor of a pace from which a change is told by Changes.
const notableChange = 1.5

// Change is a notable change of what an endpoint takes well.
type Change struct {
	Service, Endpoint string
	Before, Now       Estimate
}

// Changes returns the notable changes since the last call.
func (t *Table) Changes(now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Change
	for name, s := range t.services {
		s.update(now)
		for id, r := range s.rows {
			factor := r.estimate.Pace / r.told.Pace
			if r.estimate.Knee != r.told.Knee || factor > notableChange || factor < 1/notableChange {
				out = append(out, Change{name, id, r.told, r.estimate})
				r.told = r.estimate
			}
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}

// Mode states for which services the speed of endpoints is learnt.
type Mode string

// Modes.
const (
	// ModeAuto is for engines, by their pace only, and for services whose endpoints state their time of work.
	ModeAuto Mode = "auto"
	ModeOn   Mode = "on"
	ModeOff  Mode = "off"
)

// ParseMode returns the mode of a name; ok is false if there is none.
func ParseMode(name string) (m Mode, ok bool) {
	switch m = Mode(name); m {
	case ModeAuto, ModeOn, ModeOff:
		return m, true
	}
	return "", false
}
