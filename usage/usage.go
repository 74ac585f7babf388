// Package usage counts the requests of each workspace that started to run, per time
// window, and sums the counts of all hosts.
//
// Hosts may fail before they report their counts, and the wall clocks of hosts may jump.
// Therefore every report of a host contains its counts of the most recent windows, the
// sums retain the highest count reported by each incarnation of a host, and windows
// follow a clock that is not affected by jumps.
//
// The package does no I/O and reads no system clock: times are passed in, to Clock too.
package usage

import (
	"maps"
	"sync"
	"time"
)

// Counts maps a workspace to its number of requests.
type Counts map[string]int

// retainedWindows is the number of windows that a host retains: the current one, the two
// whose report may still be due (10 s after the end of a window of 5 s), and two more.
const retainedWindows = 5

// Counter counts the requests on one host. It is safe for concurrent use; no other lock
// is acquired while its lock is held.
type Counter struct {
	length time.Duration

	mu      sync.Mutex
	windows map[int64]Counts
}

// NewCounter returns a counter for windows of the given length.
func NewCounter(length time.Duration) *Counter {
	return &Counter{length: length, windows: map[int64]Counts{}}
}

// WindowIndex returns the index of the window that contains a wall-clock time.
func WindowIndex(wall time.Time, length time.Duration) int64 {
	return wall.UnixNano() / length.Nanoseconds()
}

// Count counts a request of a workspace that starts at a wall-clock time.
func (c *Counter) Count(wall time.Time, workspace string) {
	index := WindowIndex(wall, c.length)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.windows[index] == nil {
		c.windows[index] = Counts{}
		for old := range c.windows {
			if old <= index-retainedWindows {
				delete(c.windows, old)
			}
		}
	}
	c.windows[index][workspace]++
}

// Recent returns a copy of the retained counts by window index.
func (c *Counter) Recent() map[int64]Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[int64]Counts, len(c.windows))
	for index, counts := range c.windows {
		out[index] = maps.Clone(counts)
	}
	return out
}

// Sums holds the counts reported by all incarnations of all hosts. It is not safe for
// concurrent use.
type Sums struct {
	windows map[int64]map[string]Counts // by window index and incarnation
}

// NewSums returns empty sums.
func NewSums() *Sums { return &Sums{windows: map[int64]map[string]Counts{}} }

// Merge merges the counts reported by an incarnation. A lower count than one reported
// before is ignored, because reports may arrive late or twice.
func (s *Sums) Merge(incarnation string, windows map[int64]Counts) {
	for index, counts := range windows {
		if s.windows[index] == nil {
			s.windows[index] = map[string]Counts{}
		}
		reported := s.windows[index][incarnation]
		if reported == nil {
			reported = Counts{}
			s.windows[index][incarnation] = reported
		}
		for workspace, n := range counts {
			reported[workspace] = max(reported[workspace], n)
		}
	}
}

// Total returns the sum of the counts of a window over all incarnations.
func (s *Sums) Total(index int64) Counts {
	out := Counts{}
	for _, counts := range s.windows[index] {
		for workspace, n := range counts {
			out[workspace] += n
		}
	}
	return out
}

// RemoveBefore removes the windows before the one with the given index.
func (s *Sums) RemoveBefore(before int64) {
	for index := range s.windows {
		if index < before {
			delete(s.windows, index)
		}
	}
}

// Clock derives wall-clock time from the monotonic clock, so that jumps of the system's
// wall clock do not affect it. It is safe for concurrent use.
type Clock struct {
	origin time.Time
}

// NewClock returns a clock set to now, which must have a monotonic clock reading.
func NewClock(now time.Time) *Clock { return &Clock{origin: now} }

// Wall returns the wall-clock time at now, which must have a monotonic clock reading.
func (c *Clock) Wall(now time.Time) time.Time {
	return c.origin.Round(0).Add(now.Sub(c.origin))
}
