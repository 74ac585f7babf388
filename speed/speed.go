// Package speed learns what each endpoint of a service takes well, from the times that its answers took.
//
// Load pattern: the endpoints of one service share machines with others, so that some are slower than
// others, some slow down long before their slots are in use, and both change within seconds. A host
// sees a given endpoint every few seconds only, so observations of several hosts are added up.
//
// Two things are learnt apart: the pace, the time of work as a factor of the service's, and the knee, the
// requests in progress beyond which work takes notably longer. An endpoint is compared with the other
// endpoints of its service at the same load and time, so when all slow down at once, none is blamed.
// What is not seen again is forgotten: the estimate returns to the service's mean.
//
// The package does no I/O and reads no clock.
package speed

import (
	"math"
	"sync"
	"time"
)

const (
	// levels is the number of parts of an endpoint's slots that are told apart by load.
	levels = 4
	// observationDecay is the time in which the weight of an observation falls to 1/e. Observations of
	// endpoints that get few requests, because they are slow or have a knee, last sparseDecay.
	observationDecay = 4 * time.Second
	sparseDecay      = 20 * time.Second
	// paceVariance is the variance of the logarithm of the paces of a service's endpoints that is assumed.
	paceVariance = 0.08
	// minPriorWeight is the least weight, in observations, of the assumption that an endpoint is like the others.
	minPriorWeight = 2.0
	// minDifference is the logarithm of a pace below which an endpoint is like the others. Pooled observations
	// are many, and a small difference on which all hosts agree would send all of them to one endpoint.
	minDifference = 0.23
	// changeRun is the number of observations in a row that are all slower, or all faster, than the
	// endpoint's own by changeFactor and changeDeviations standard deviations, after which the endpoint has changed: what was observed before then
	// keeps changeKept of its weight.
	changeRun    = 5
	changeFactor = 1.6
	changeKept   = 0.2

	changeDeviations = 1.2
	// sizeDecay is the time in which the weight of an observation falls to 1/e in the comparison of sizes
	// of work, sizeWeight the weight, in observations, of the assumption that the size makes no difference.
	sizeDecay  = 20 * time.Second
	sizeWeight = 10.0
	// usualVariance is the variance of the logarithm of the time of equal work at one endpoint that is assumed
	// until varianceWeight observations have shown it; maxVarianceWeight bounds their weight.
	usualVariance     = 0.16
	varianceWeight    = 10.0
	maxVarianceWeight = 300.0
	// curveWeight is the weight, in observations, of the assumption that the service's time does not grow
	// from one level of load to the next.
	curveWeight = 8.0
	// minPace and maxPace bound the pace; maxSampleFactor bounds a single observation against what was
	// expected of the endpoint.
	minPace         = 0.4
	maxPace         = 8.0
	maxSampleFactor = 8.0
	// kneeFactor is how much longer work takes beyond a knee. foundKneeWeight and keptKneeWeight are the
	// observations beyond it that make it known, and below which it is forgotten; minBelowKneeWeight are
	// those below it.
	kneeFactor         = 1.6
	foundKneeWeight    = 5.0
	keptKneeWeight     = 0.5
	minBelowKneeWeight = 1.0
	// minKneeScore is the least square of a new knee's step against that expected by chance.
	minKneeScore = 8.0
	// slowPace is the pace from which an endpoint is slow. It is due to be tried again when fewer than
	// retryWeight observations of it are left.
	slowPace    = 1.3
	retryWeight = 4.0
	// estimateInterval is the least time between two estimates of a service.
	estimateInterval = 100 * time.Millisecond
	// forgetTime is how long an endpoint is kept that nothing is observed of.
	forgetTime = time.Minute
	// statementTTL is how long after an endpoint's statement of its time of work the service counts as one
	// whose endpoints state it.
	statementTTL = time.Minute
)

// Sample is one observation of an endpoint.
type Sample struct {
	// ExpectedMS is how long the work takes at the service's usual pace, TookMS how long it took, in
	// milliseconds.
	ExpectedMS, TookMS float64
	// InProgress is the number of other requests there when it was sent, Slots how many run at once.
	InProgress, Slots int
}

// Estimate is what an endpoint takes well. The zero value means that nothing is known.
type Estimate struct {
	// Pace is the time of work there as a factor of the service's.
	Pace float64
	// Knee is the fraction of its slots that it takes without notable slowing; zero where no knee below
	// its slots is known.
	Knee float64
	// UnitMS is the time of a sample whose ExpectedMS is one at the service's usual pace, in milliseconds.
	UnitMS float64
	// Retry is set when the endpoint was slow and is to be tried again.
	Retry bool
}

// Known reports whether anything is known.
func (e Estimate) Known() bool { return e.Pace > 0 }

// Takes returns how many requests at once an endpoint with that many slots takes well; zero slots are
// unknown.
func (e Estimate) Takes(slots int) int {
	if e.Knee == 0 || slots == 0 {
		return slots
	}
	return max(int(math.Ceil(e.Knee*float64(slots))), 1)
}

// cell sums observations at one level of load: their number and the logarithms of their times, as
// factors of the expected, both decayed.
type cell struct{ weight, sum float64 }

func (c cell) plus(o cell) cell          { return cell{c.weight + o.weight, c.sum + o.sum} }
func (c cell) minus(o cell) cell         { return cell{c.weight - o.weight, c.sum - o.sum} }
func (c cell) scaled(f float64) cell     { return cell{c.weight * f, c.sum * f} }
func (c cell) mean() float64             { return c.sum / c.weight }
func (c cell) less(mean float64) cell    { return cell{c.weight, c.sum - c.weight*mean} }
func (c cell) heavier(than float64) bool { return c.weight > than }

type cells [levels]cell

func (c cells) plus(o cells) cells {
	for i := range c {
		c[i] = c[i].plus(o[i])
	}
	return c
}

func (c cells) scaled(f float64) cells {
	for i := range c {
		c[i] = c[i].scaled(f)
	}
	return c
}

func (c cells) weight() float64 {
	sum := 0.0
	for i := range c {
		sum += c[i].weight
	}
	return sum
}

// decay returns the factor by which weights fall from one time to another.
func decay(from, to time.Time, constant time.Duration) float64 {
	return math.Exp(-max(to.Sub(from).Seconds(), 0) / constant.Seconds())
}

// ownNow returns a row's own observations with their weight as of now.
func (r *row) ownNow(now time.Time) cells {
	constant := observationDecay
	if r.estimate.Pace > slowPace || r.knee > 0 {
		constant = sparseDecay
	}
	return r.own.scaled(decay(r.ownAt, now, constant))
}

// row is what is kept of one endpoint.
type row struct {
	own   cells
	ownAt time.Time
	// run counts the latest observations that were all slower than those before, negative: faster.
	run int
	// knee is the level at which the known knee begins, zero if none is known.
	knee      int
	estimate  Estimate
	told      Estimate // as of the last Changes
	statement statement
}

// service is what is kept of one service.
type service struct {
	rows map[string]*row
	// peers sums the observations of other hosts, as of peersAt.
	peers   map[string]cells
	peersAt time.Time
	// estimates holds those of all endpoints as of estimatedAt. It is replaced, not changed.
	estimates   map[string]Estimate
	estimatedAt time.Time
	unitMS      float64 // see Estimate.UnitMS
	// statedAt is when an endpoint last stated its time of work to this host, toldAt when another host
	// last told of the service.
	statedAt, toldAt time.Time
	ages             [len(ageBounds) + 1]regression
	// squares sums the squares of learnVariance.
	squares cell
	// sizes sums this host's observations by size of work, as of sizesAt.
	sizes   [12]cell
	sizesAt time.Time
}

// Table holds the observations and estimates of all services. Safe for concurrent use; no other lock is
// taken while its lock is held.
type Table struct {
	mu       sync.Mutex
	services map[string]*service
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{services: map[string]*service{}} }

func (t *Table) service(name string) *service {
	s, ok := t.services[name]
	if !ok {
		s = &service{rows: map[string]*row{}, peers: map[string]cells{}}
		t.services[name] = s
	}
	return s
}

func (s *service) row(id string) *row {
	r, ok := s.rows[id]
	if !ok {
		r = &row{estimate: Estimate{Pace: 1}, told: Estimate{Pace: 1}}
		s.rows[id] = r
	}
	return r
}

// level returns the level of load that a number of requests in progress belongs to; ok is false if all
// slots are in use, because the time then shows the wait for a slot.
func level(inProgress, slots int) (int, bool) {
	slots = max(slots, 1)
	return max(inProgress, 0) * levels / slots, inProgress < slots
}

// Observe records an observation of an endpoint.
func (t *Table) Observe(now time.Time, name, id string, sample Sample) {
	at, ok := level(sample.InProgress, sample.Slots)
	if !ok || sample.TookMS <= 0 || sample.ExpectedMS <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	r := s.row(id)
	s.update(now)
	y := math.Log(sample.TookMS / sample.ExpectedMS)
	if e := r.estimate; e.UnitMS > 0 {
		usual := math.Log(e.UnitMS * e.Pace)
		y = min(max(y, usual-math.Log(maxSampleFactor)), usual+math.Log(maxSampleFactor))
		s.learnVariance(y - usual)
		s.learnStatement(now.Add(-time.Duration(sample.TookMS*float64(time.Millisecond))), r, y-usual)
	}
	y = s.levelled(now, y, sample.ExpectedMS)
	r.own, r.ownAt = r.ownNow(now), now
	if r.changed(y, at, s.variance()) {
		r.own = r.own.scaled(changeKept)
	}
	r.own[at] = r.own[at].plus(cell{1, y})
}

// changed reports whether an observation is the last of changeRun that show that the endpoint has changed.
func (r *row) changed(y float64, at int, variance float64) bool {
	if !r.own[at].heavier(1) {
		return false
	}
	far := max(math.Log(changeFactor), changeDeviations*math.Sqrt(variance))
	switch rest := y - r.own[at].mean(); {
	case rest > far:
		r.run = max(r.run, 0) + 1
	case rest < -far:
		r.run = min(r.run, 0) - 1
	default:
		r.run = 0
	}
	if r.run < changeRun && r.run > -changeRun {
		return false
	}
	r.run = 0
	return true
}

// learnVariance adds the difference of the logarithm of a time from its expected one.
func (s *service) learnVariance(rest float64) {
	if s.squares.heavier(maxVarianceWeight) {
		s.squares = s.squares.scaled(1 - 1/maxVarianceWeight)
	}
	s.squares = s.squares.plus(cell{1, rest * rest})
}

// variance returns that of the logarithm of the time of equal work at one endpoint.
func (s *service) variance() float64 {
	return (s.squares.sum + varianceWeight*usualVariance) / (s.squares.weight + varianceWeight)
}

// levelled takes from the logarithm of a time's factor by how much more work of that size usually takes than
// expected, against work of all sizes, so that an endpoint with longer work than others is not taken for
// a slow one.
func (s *service) levelled(now time.Time, y, expectedMS float64) float64 {
	factor := decay(s.sizesAt, now, sizeDecay)
	s.sizesAt = now
	var all cell
	for i := range s.sizes {
		s.sizes[i] = s.sizes[i].scaled(factor)
		all = all.plus(s.sizes[i])
	}
	size := &s.sizes[min(max(int(math.Log2(expectedMS)), 0), len(s.sizes)-1)]
	out := y
	if all.heavier(retryWeight / 2) {
		out -= (safeMean(*size) - all.mean()) * size.weight / (size.weight + sizeWeight)
	}
	*size = size.plus(cell{1, y})
	return out
}

// Estimates returns the estimate of each endpoint of a service that anything is known of, and that of any
// other. The map must not be changed.
func (t *Table) Estimates(now time.Time, name string) (known map[string]Estimate, other Estimate) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.services[name]
	if !ok {
		return nil, Estimate{Pace: 1}
	}
	s.update(now)
	return s.estimates, Estimate{Pace: 1, UnitMS: s.unitMS}
}

// Remove forgets an endpoint that is gone: a later incarnation begins at the service's mean.
func (t *Table) Remove(name, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.services[name]; ok {
		delete(s.rows, id)
		delete(s.peers, id)
		s.estimatedAt = time.Time{}
	}
}

// update estimates all endpoints of a service anew unless that was done within estimateInterval.
func (s *service) update(now time.Time) {
	if !s.estimatedAt.IsZero() && now.Sub(s.estimatedAt) < estimateInterval {
		return
	}
	s.estimatedAt = now
	all := s.observations(now)
	var sums cells
	for _, c := range all {
		sums = sums.plus(c)
	}
	s.unitMS = usualTime(all)
	variance := s.variance()
	estimates := make(map[string]Estimate, len(all))
	paces := make(map[string]cell, len(all))
	for id, c := range all {
		rest := residuals(c, sums)
		r := s.row(id)
		r.knee = findKnee(rest, r.knee, variance)
		paces[id] = belowKnee(rest, r.knee)
	}
	middle := medianOf(paces)
	for id, c := range all {
		r := s.row(id)
		e := Estimate{Pace: shrunk(paces[id].less(middle), variance), UnitMS: s.unitMS}
		e.Knee = float64(r.knee) / levels
		e.Retry = e.Pace > slowPace && c.weight() < retryWeight
		e.Pace = min(max(e.Pace*s.statedFactor(now, r), minPace), maxPace)
		r.estimate, estimates[id] = e, e
	}
	s.estimates = estimates
}

// observations returns the sums of own and others' observations by endpoint, as of now, and forgets
// endpoints that nothing was observed of for forgetTime.
func (s *service) observations(now time.Time) map[string]cells {
	out := make(map[string]cells, len(s.rows))
	factor := decay(s.peersAt, now, observationDecay)
	for id, c := range s.peers {
		out[id] = c.scaled(factor)
	}
	for id, r := range s.rows {
		if now.Sub(r.ownAt) > forgetTime && out[id].weight() == 0 && now.Sub(r.statement.at) > forgetTime {
			delete(s.rows, id)
			continue
		}
		out[id] = out[id].plus(r.ownNow(now))
	}
	return out
}
