package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// The target is judged by cumulative sums of log-likelihood ratios: for each kind of bad answer, over each
// route and over all routes, the hypothesis that the target's answers are bad as often as those of the other
// versions at the same moment against the hypothesis that they are bad badFactors times as often. A sum never
// falls below zero, so that a version that turns bad later is found as soon as one that was bad from the start.
//
// An excursion of a sum begins with a bad answer, and reaches a threshold h with a probability of at most exp(-h)
// if the version is good. The threshold of the k-th excursion is ln(falseRollBacks x sums x k²), so that over all sums
// and excursions a good version is rolled back with a probability of at most π²/6 / falseRollBacks = 0.0083.

const (
	// falseRollBacks is the inverse of the probability, before the factor π²/6, of rolling back a good version.
	falseRollBacks = 200.0
	// suspicion is the part of a threshold from which the fraction does not rise.
	suspicion = 0.5
	// baseRate is the rate of bad answers that is assumed of a good version at least.
	baseRate = 0.006
	// rateMargin is by how much the rate of the other versions is raised, because bad answers come in
	// groups.
	rateMargin = 1.5
	// maxBaseRate is the rate of bad answers of the other versions from which nothing is concluded.
	maxBaseRate = 0.5
	// maxBadRate bounds the rate that the alternative assumes.
	maxBadRate = 0.85
	// minTimed is the number of times of other versions that a comparison of times needs, minRecent that of
	// answers in the short window for it to count.
	minTimed  = 12
	minRecent = 40
)

// badFactors are the rates of bad answers of a bad version, as multiples of the base rate.
var badFactors = []float64{2.5, 10}

// The rate of the other versions is the highest of those over two windows, so that neither an outage that has
// just begun nor one that has just ended is blamed on the target.
const (
	shortWindow = time.Second
	longWindow  = 5 * time.Second
)

// window holds counts that decay over time.
type window struct {
	counts Counts
	at     time.Time
}

func (w *window) add(now time.Time, c Counts, length time.Duration) {
	if !w.at.IsZero() {
		w.counts = Counts{}.Plus(w.counts, math.Exp(-max(now.Sub(w.at), 0).Seconds()/length.Seconds()))
	}
	w.counts, w.at = w.counts.Plus(c, 1), now
}

// track is the judgement of one kind of requests.
type track struct {
	short, long        window
	failures, slowness sums
}

// sums are the cumulative sums of one kind of bad answer, one for each of badFactors.
type sums struct {
	score []float64
	// answers and bad are those of the target since the order, expected the bad ones of a good version among
	// them, baseline the base rate last used.
	answers, bad, expected, baseline float64
}

func newTrack() *track {
	return &track{failures: sums{score: make([]float64, len(badFactors))}, slowness: sums{score: make([]float64, len(badFactors))}}
}

// add takes in a batch of answers. Those of the other versions come first: they are the measure.
func (t *track) add(now time.Time, target, others Counts) {
	if others.Answers > 0 || others.timed() > 0 {
		t.short.add(now, others, shortWindow)
		t.long.add(now, others, longWindow)
	}
	if target.Answers > 0 {
		base := max(baseOf(t.short.counts.Answers, t.short.counts.Failed, minRecent), baseOf(t.long.counts.Answers, t.long.counts.Failed, 0))
		t.failures.add(target.Answers, target.Failed, base)
	}
	median, ok := t.long.counts.median()
	if timed := target.timed(); timed > 0 && ok && t.long.counts.timed() >= minTimed {
		from := median + slowBuckets
		short, long := t.short.counts, t.long.counts
		base := max(baseOf(short.timed(), short.slow(from), minRecent), baseOf(long.timed(), long.slow(from), 0))
		t.slowness.add(timed, target.slow(from), base)
	}
}

// baseOf returns an upper estimate of the rate of bad answers; zero with fewer than atLeast answers.
func baseOf(answers, bad, atLeast float64) float64 {
	if answers < atLeast {
		return 0
	}
	if answers < 1 {
		return baseRate
	}
	return max(baseRate, rateMargin*(bad+math.Sqrt(bad)+0.5)/answers)
}

func (s *sums) add(answers, bad, base float64) {
	s.answers, s.bad, s.baseline = s.answers+answers, s.bad+bad, base
	s.expected += answers * base
	if base >= maxBaseRate {
		return
	}
	for i, factor := range badFactors {
		p := min(factor*base, maxBadRate)
		s.score[i] = max(0, s.score[i]+bad*math.Log(p/base)+max(answers-bad, 0)*math.Log((1-p)/(1-base)))
	}
}

// evidence returns the highest sum as a part of the threshold; total is the number of all sums.
func (s *sums) evidence(total int) float64 {
	threshold := math.Log(falseRollBacks*float64(total)) + 2*math.Log(1+s.expected)
	return slices.Max(s.score) / threshold
}

// judge holds the judgements of all routes.
type judge struct {
	tracks map[string]*track // by route; "" for all routes
}

func (j *judge) track(key string) *track {
	if j.tracks[key] == nil {
		j.tracks[key] = newTrack()
	}
	return j.tracks[key]
}

// paceSuffix marks the track of how fast the streams of a route go on.
const paceSuffix = " after the first event"

func (j *judge) add(now time.Time, e Evidence) {
	var target, others Counts
	for route, row := range e {
		j.track(route).add(now, row.Target, row.Others)
		if row.TargetPace.timed()+row.OthersPace.timed() > 0 {
			j.track(route+paceSuffix).add(now, row.TargetPace, row.OthersPace)
		}
		target, others = target.Plus(row.Target, 1), others.Plus(row.Others, 1)
	}
	// Over all routes only failures are compared: the times of routes differ.
	target.Times, others.Times = [Buckets]float64{}, [Buckets]float64{}
	j.track("").add(now, target, others)
}

// Finding is the strongest evidence against the target.
type Finding struct {
	// Evidence is the log-likelihood ratio as a part of that at which the target is bad.
	Evidence float64
	// What says what was compared, with the figures.
	What string
}

// bad reports whether the target is bad, suspect whether it must get no more requests than it does.
func (f Finding) bad() bool     { return f.Evidence >= 1 }
func (f Finding) suspect() bool { return f.Evidence >= suspicion }

// String returns the finding with the figures that decide.
func (f Finding) String() string {
	if f.What == "" {
		return "nothing speaks against the target"
	}
	return fmt.Sprintf("%s, evidence %.2f of 1", f.What, f.Evidence)
}

// worst returns the strongest evidence against the target.
func (j *judge) worst() Finding {
	var worst Finding
	kinds := []string{"failed", "were slow"}
	total := len(j.tracks) * len(kinds) * len(badFactors)
	for _, key := range slices.Sorted(maps.Keys(j.tracks)) {
		t := j.tracks[key]
		for i, s := range []*sums{&t.failures, &t.slowness} {
			evidence := s.evidence(total)
			if evidence <= worst.Evidence {
				continue
			}
			where := "on route " + key
			if key == "" {
				where = "on all routes"
			}
			worst = Finding{evidence, fmt.Sprintf("%.0f of %.0f answers of the target %s %s, of other versions at most 1 in %.0f",
				s.bad, s.answers, kinds[i], where, 1/s.baseline)}
		}
	}
	return worst
}
