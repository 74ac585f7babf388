package usage

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const length = 5 * time.Second

func TestCounterKeepsLastWindows(t *testing.T) {
	is := is.New(t)
	c := NewCounter(length)
	for k := range int64(10) {
		c.Count(time.Unix(k*5, 0), "w")
	}
	recent := c.Recent()
	is.Equal(len(recent), retainedWindows)
	is.Equal(recent[9]["w"], 1)
}

// TestSumsSurviveRestarts guards against lost or doubled counts when a host fails after
// reporting part of its counts, restarts with a new incarnation, and old reports arrive
// late or twice.
func TestSumsSurviveRestarts(t *testing.T) {
	is := is.New(t)
	s := NewSums()
	s.Merge("a/1", map[int64]Counts{7: {"w": 3}})
	s.Merge("a/1", map[int64]Counts{7: {"w": 9, "v": 1}})
	s.Merge("a/1", map[int64]Counts{7: {"w": 3}}) // late
	s.Merge("a/2", map[int64]Counts{7: {"w": 2}, 8: {"w": 4}})
	is.Equal(s.Total(7), Counts{"w": 11, "v": 1})
	is.Equal(s.Total(8), Counts{"w": 4})
	s.RemoveBefore(8)
	is.Equal(len(s.Total(7)), 0)
}

// TestClockIgnoresJumps guards against counting in wrong windows when the system's wall
// clock jumps by seconds and back.
func TestClockIgnoresJumps(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	c := NewClock(start)
	is.Equal(c.Wall(start.Add(3*time.Second)), start.Round(0).Add(3*time.Second))
	jumped := start.Add(4 * time.Second).Round(0).Add(2400 * time.Millisecond) // without monotonic reading
	is.True(!c.Wall(start.Add(4 * time.Second)).Equal(jumped))
	is.Equal(c.Wall(start.Add(4*time.Second)), start.Round(0).Add(4*time.Second))
}
