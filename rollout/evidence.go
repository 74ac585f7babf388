package rollout

import (
	"math"
	"time"
)

// Buckets is the number of classes that answers are sorted into by their time against the time expected for
// their work. Each class is wider than the one before by a factor of √2.
const Buckets = 20

const (
	// bucketsPerDoubling is the number of classes within a factor of two, expectedBucket the class of an
	// answer that took as long as expected.
	bucketsPerDoubling = 2
	expectedBucket     = 8
	// slowBuckets is how many classes above the median of the other versions an answer is slow: a factor
	// of 2.4 at least.
	slowBuckets = 3
)

// Counts counts the answers to one kind of request.
type Counts struct {
	// Answers are those that could have failed, Failed those that did.
	Answers float64 `json:"n,omitempty"`
	Failed  float64 `json:"f,omitempty"`
	// Times counts answers by the class of their time, see Bucket.
	Times [Buckets]float64 `json:"t"`
}

// Bucket returns the class of an answer that took a time where expected was expected. Both are positive.
func Bucket(took, expected time.Duration) int {
	ratio := float64(max(took, 1)) / float64(max(expected, 1))
	return min(max(expectedBucket+int(math.Round(bucketsPerDoubling*math.Log2(ratio))), 0), Buckets-1)
}

// Plus returns the sum of counts, with those of other multiplied by factor.
func (c Counts) Plus(other Counts, factor float64) Counts {
	c.Answers += factor * other.Answers
	c.Failed += factor * other.Failed
	for i := range c.Times {
		c.Times[i] += factor * other.Times[i]
	}
	return c
}

// timed returns the number of answers with a time.
func (c Counts) timed() float64 {
	sum := 0.0
	for _, n := range c.Times {
		sum += n
	}
	return sum
}

// slow returns the number of answers in the class from and above.
func (c Counts) slow(from int) float64 {
	sum := 0.0
	for i := max(from, 0); i < Buckets; i++ {
		sum += c.Times[i]
	}
	return sum
}

// median returns the class of the median time; false if there is none.
func (c Counts) median() (int, bool) {
	total, sum := c.timed(), 0.0
	for i, n := range c.Times {
		if sum += n; total > 0 && 2*sum >= total {
			return i, true
		}
	}
	return 0, false
}

// Row is the evidence of one route.
type Row struct {
	// Target counts the answers of the target's endpoints, Others those of endpoints of other versions.
	Target Counts `json:"g"`
	Others Counts `json:"o"`
	// Pace counts, in Times only, how fast streams went on after their first event.
	TargetPace Counts `json:"gp"`
	OthersPace Counts `json:"op"`
	// Longest is the longest time that an answer of another version has taken.
	Longest time.Duration `json:"l,omitempty"`
}

// Evidence is what endpoints answered, by route.
type Evidence map[string]Row

// Since returns what has been added to earlier counts. Counts of a process that has begun anew are taken
// whole.
func (e Evidence) Since(earlier Evidence) Evidence {
	out := Evidence{}
	for route, row := range e {
		old := earlier[route]
		if row.Target.Answers < old.Target.Answers || row.Others.Answers < old.Others.Answers {
			old = Row{}
		}
		out[route] = Row{
			Target: row.Target.Plus(old.Target, -1), Others: row.Others.Plus(old.Others, -1),
			TargetPace: row.TargetPace.Plus(old.TargetPace, -1), OthersPace: row.OthersPace.Plus(old.OthersPace, -1),
			Longest: row.Longest,
		}
	}
	return out
}
