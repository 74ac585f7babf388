package placement

import (
	"slices"
)

// Pace is how fast the engines of a service start answers: the time to the first token after x tokens
// of prefill work, its own and that ahead of it, is about FirstMS + x*TokenMS, in milliseconds.
type Pace struct {
	FirstMS float64 `json:"f"`
	TokenMS float64 `json:"t"`
}

const (
	// paceSamples is the number of recent first tokens that a pace is estimated from, minPaceSamples
	// the least number.
	paceSamples    = 96
	minPaceSamples = 24
	// paceInterval is the number of samples between two estimates.
	paceInterval = 8
	// shortWork and longWork, in tokens, divide the samples: the short ones show FirstMS, the long ones
	// TokenMS.
	shortWork = 1_200
	longWork  = 2_000
	// paceQuantile is the quantile of the samples that is taken. Work of other hosts that is not known
	// yet makes a sample slower, and never faster, so the faster ones show the pace.
	paceQuantile = 0.2
	// minTokenMS and maxTokenMS bound the estimate of TokenMS, maxFirstMS that of FirstMS.
	minTokenMS = 0.004
	maxTokenMS = 0.1
	maxFirstMS = 200.0
)

// defaultPace is assumed before anything is known of a service. An engine that also generates
// prefills 66 tokens per millisecond.
var defaultPace = Pace{FirstMS: 0, TokenMS: 1 / 66.0}

// paceEstimate estimates the pace of one service from the first tokens that this host has seen.
type paceEstimate struct {
	work, waitedMS []float64 // rings of the latest samples
	next           int
	pace           Pace
	known          bool // pace is estimated from this host's samples
}

// observe adds a sample: a first token that came waitedMS after the request was sent, without the
// network round trip, and work tokens of prefill.
func (e *paceEstimate) observe(work, waitedMS float64) {
	if len(e.work) < paceSamples {
		e.work, e.waitedMS = append(e.work, work), append(e.waitedMS, waitedMS)
	} else {
		at := e.next % paceSamples
		e.work[at], e.waitedMS[at] = work, waitedMS
	}
	e.next++
	if len(e.work) >= minPaceSamples && e.next%paceInterval == 0 {
		e.update()
	}
}

// update estimates FirstMS from the short samples with the present TokenMS, then TokenMS from the long
// ones with that FirstMS.
func (e *paceEstimate) update() {
	if e.pace.TokenMS == 0 {
		e.pace = defaultPace
	}
	var first, token []float64
	for i, work := range e.work {
		if work <= shortWork {
			first = append(first, e.waitedMS[i]-work*e.pace.TokenMS)
		}
	}
	if len(first) >= minPaceSamples/4 {
		e.pace.FirstMS = min(max(quantile(first, paceQuantile), 0), maxFirstMS)
	}
	for i, work := range e.work {
		if work >= longWork {
			token = append(token, (e.waitedMS[i]-e.pace.FirstMS)/work)
		}
	}
	if len(token) >= minPaceSamples/4 {
		e.pace.TokenMS = min(max(quantile(token, paceQuantile), minTokenMS), maxTokenMS)
		e.known = true
	}
}

// quantile returns the q-quantile of values, which it sorts.
func quantile(values []float64, q float64) float64 {
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}

// MedianPace returns the pace whose TokenMS is the median of those given, defaultPace without any.
func MedianPace(paces []Pace) Pace {
	if len(paces) == 0 {
		return defaultPace
	}
	sorted := slices.SortedFunc(slices.Values(paces), func(a, b Pace) int {
		switch {
		case a.TokenMS < b.TokenMS:
			return -1
		case a.TokenMS > b.TokenMS:
			return 1
		}
		return 0
	})
	return sorted[len(sorted)/2]
}

// Paces returns this host's own estimates by service.
func (t *Table) Paces() map[string]Pace {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]Pace{}
	for service, e := range t.paces {
		if e.known {
			out[service] = e.pace
		}
	}
	return out
}

// SetPeerPaces replaces the paces that apply to a service until this host has an estimate of its own.
func (t *Table) SetPeerPaces(paces map[string]Pace) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peerPaces = paces
}

// PaceOf returns the pace of a service's engines as far as it is known.
func (t *Table) PaceOf(service string) Pace {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pace(service)
}

// pace returns the pace of a service's engines.
func (t *Table) pace(service string) Pace {
	if e, ok := t.paces[service]; ok && e.known {
		return e.pace
	}
	if p, ok := t.peerPaces[service]; ok {
		return p
	}
	return defaultPace
}
