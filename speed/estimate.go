package speed

import (
	"math"
	"slices"
)

// usualTime returns the median over the endpoints of the factor of the expected times that answers take at
// the lowest load observed.
func usualTime(all map[string]cells) float64 {
	var times []float64
	for _, c := range all {
		for _, at := range c {
			if at.heavier(retryWeight / 2) {
				times = append(times, at.mean())
				break
			}
		}
	}
	if len(times) == 0 {
		return 0
	}
	return math.Exp(median(times))
}

// residuals returns an endpoint's observations less the mean of the other endpoints at the same level.
// Where these have few observations, their mean at the level below counts too.
func residuals(c, sums cells) cells {
	var others cell
	for i := range sums {
		others = others.plus(sums[i].minus(c[i]))
	}
	if !others.heavier(1) {
		return cells{} // nothing to compare it with
	}
	curve := others.mean()
	var out cells
	for i := range c {
		o := sums[i].minus(c[i])
		curve = (max(o.weight, 0)*safeMean(o) + curveWeight*curve) / (max(o.weight, 0) + curveWeight)
		out[i] = c[i].less(curve)
	}
	return out
}

func safeMean(c cell) float64 {
	if !c.heavier(1e-6) {
		return 0
	}
	return c.mean()
}

// findKnee returns the level from which an endpoint's work takes longer by kneeFactor than below it, zero
// if there is none. known is the level found before: it is kept while some observations confirm it.
func findKnee(rest cells, known int, variance float64) int {
	best, bestScore := 0, 0.0
	for at := 1; at < levels; at++ {
		below, beyond := belowKnee(rest, at), cell{}
		for _, c := range rest[at:] {
			beyond = beyond.plus(c)
		}
		needed := foundKneeWeight
		if known == at {
			needed = keptKneeWeight
		}
		if !below.heavier(minBelowKneeWeight) || !beyond.heavier(needed) {
			continue
		}
		step := beyond.mean() - below.mean()
		if step < math.Log(kneeFactor) {
			continue
		}
		score := step * step * below.weight * beyond.weight / (below.weight + beyond.weight)
		if known != at && score < minKneeScore*variance {
			continue
		}
		if score > bestScore {
			best, bestScore = at, score
		}
	}
	return best
}

// belowKnee sums the observations below a knee's level; zero means no knee.
func belowKnee(rest cells, knee int) cell {
	if knee == 0 {
		knee = levels
	}
	var sum cell
	for _, c := range rest[:knee] {
		sum = sum.plus(c)
	}
	return sum
}

// shrunk returns the pace that observations show whose times have a variance. The fewer they are and the less
// they differ from the others, the nearer it is to one.
func shrunk(c cell, variance float64) float64 {
	if !c.heavier(1e-3) {
		return 1
	}
	mean := c.mean()
	chance := (2*variance/c.weight + minDifference*minDifference) / max(mean*mean, 1e-9)
	known := c.weight / (c.weight + max(variance/paceVariance, minPriorWeight))
	return min(max(math.Exp(mean*max(1-chance, 0)*known), minPace), maxPace)
}

// medianOf returns the median of the means of endpoints with enough observations.
func medianOf(paces map[string]cell) float64 {
	var means []float64
	for _, c := range paces {
		if c.heavier(retryWeight / 2) {
			means = append(means, c.mean())
		}
	}
	if len(means) == 0 {
		return 0
	}
	return median(means)
}

func median(values []float64) float64 {
	slices.Sort(values)
	n := len(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}
