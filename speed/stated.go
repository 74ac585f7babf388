package speed

import (
	"math"
	"time"
)

// ageBounds divide statements by their age at the time when the next request was sent.
var ageBounds = [...]time.Duration{50 * time.Millisecond, 150 * time.Millisecond, 400 * time.Millisecond, time.Second, 3 * time.Second}

const (
	// minStatements is the number of statements from which their worth at an age is known;
	// maxStatements bounds their weight, so that it follows changes.
	minStatements = 40.0
	maxStatements = 2000.0
	// minCorrelation is the correlation of a statement with the next request's time below which it is not
	// used.
	minCorrelation = 0.3
	// statementWeight is the weight of a statement in the mean of the endpoint's statements.
	statementWeight = 0.05
)

// statement is the last that an endpoint stated of its time of work: deviation is the logarithm of the
// figure against the mean of those before.
type statement struct {
	at              time.Time
	deviation, mean float64
}

// regression holds the moments of pairs of a statement's deviation and that of the next request's time.
type regression struct{ n, x, y, xx, yy, xy float64 }

func (r *regression) add(x, y float64) {
	if r.n >= maxStatements {
		keep := (maxStatements - 1) / maxStatements
		*r = regression{r.n * keep, r.x * keep, r.y * keep, r.xx * keep, r.yy * keep, r.xy * keep}
	}
	*r = regression{r.n + 1, r.x + x, r.y + y, r.xx + x*x, r.yy + y*y, r.xy + x*y}
}

// fit returns the correlation of the pairs and the slope of y over x, zero if either does not vary.
func (r *regression) fit() (correlation, slope float64) {
	if r.n < 2 {
		return 0, 0
	}
	xx, yy, xy := r.xx-r.x*r.x/r.n, r.yy-r.y*r.y/r.n, r.xy-r.x*r.y/r.n
	if xx < 1e-9 || yy < 1e-9 {
		return 0, 0
	}
	return xy / math.Sqrt(xx*yy), xy / xx
}

func ageIndex(age time.Duration) int {
	for i, bound := range ageBounds {
		if age < bound {
			return i
		}
	}
	return len(ageBounds)
}

// State records that an endpoint stated its time of work, in per cent of the usual.
func (t *Table) State(now time.Time, name, id string, percent float64) {
	if !(percent > 0) || math.IsInf(percent, 0) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	s.statedAt = now
	r := s.row(id)
	x := math.Log(percent / 100)
	if r.statement.at.IsZero() {
		r.statement.mean = x
	}
	r.statement.mean += statementWeight * (x - r.statement.mean)
	r.statement.at, r.statement.deviation = now, x-r.statement.mean
}

// Stated reports whether endpoints of a service state their time of work: seen, as far as this host has seen
// itself, known, also as other hosts have told.
func (t *Table) Stated(now time.Time, name string) (seen, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.services[name]
	if !ok {
		return false, false
	}
	seen = !s.statedAt.IsZero() && now.Sub(s.statedAt) < statementTTL
	return seen, seen || (!s.toldAt.IsZero() && now.Sub(s.toldAt) < statementTTL)
}

// learnStatement compares the endpoint's last statement before a request was sent with the time that the
// request took, as the logarithm of its factor of the expected.
func (s *service) learnStatement(sentAt time.Time, r *row, y float64) {
	if age := sentAt.Sub(r.statement.at); !r.statement.at.IsZero() && age >= 0 && age < statementTTL {
		s.ages[ageIndex(age)].add(r.statement.deviation, y)
	}
}

// statedFactor returns the factor by which an endpoint's last statement changes its expected time: as far
// as statements of that age have shown to be true.
func (s *service) statedFactor(now time.Time, r *row) float64 {
	if r.statement.at.IsZero() {
		return 1
	}
	age := &s.ages[ageIndex(now.Sub(r.statement.at))]
	correlation, slope := age.fit()
	if age.n < minStatements || correlation < minCorrelation {
		return 1
	}
	return math.Exp(min(max(slope, 0), 1) * r.statement.deviation)
}

// Age is how far statements of an age agree with the times of the requests that follow.
type Age struct {
	// Below bounds the age; zero for the oldest.
	Below       time.Duration `json:"below_ns"`
	Count       int           `json:"n"`
	Correlation float64       `json:"correlation"`
	Slope       float64       `json:"slope"`
}

// Ages returns, for each service whose endpoints state their time of work, how far that is true, by age.
func (t *Table) Ages() map[string][]Age {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string][]Age{}
	for name, s := range t.services {
		if s.statedAt.IsZero() {
			continue
		}
		for i := range s.ages {
			a := Age{Count: int(s.ages[i].n)}
			if i < len(ageBounds) {
				a.Below = ageBounds[i]
			}
			a.Correlation, a.Slope = s.ages[i].fit()
			out[name] = append(out[name], a)
		}
	}
	return out
}
