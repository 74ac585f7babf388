package drain

import (
	"slices"
	"time"
)

const (
	// maxSamples is how many of the latest requests of a route are kept, maxSampleAge how long.
	maxSamples   = 128
	maxSampleAge = time.Minute
	// minSamples is the least number of samples that say anything about the next request.
	minSamples = 8
	// longQuantile is the part of the samples that the estimate covers. With fewer than 1/(1-longQuantile)
	// samples it is the longest of them.
	longQuantile = 0.98
	// durationFactor allows for a request that takes longer than those before it.
	durationFactor = 1.5
	// maxPause is how long a sound endpoint may fall silent in the middle of a stream.
	maxPause = time.Second
)

// Duration is how long a request took.
type Duration struct {
	// EndedAt is when it ended.
	EndedAt time.Time
	// Total is the time from the complete request to the end of its answer.
	Total time.Duration
	// FirstEvent is the time to the first event of a stream, Interval the mean time between its events. Interval
	// is zero if the answer is no stream or has one event only.
	FirstEvent time.Duration
	Interval   time.Duration
}

// Durations holds how long the latest requests of one route took.
type Durations struct {
	samples []Duration
	next    int
}

// Record adds a request that has ended.
func (d *Durations) Record(sample Duration) {
	if len(d.samples) < maxSamples {
		d.samples = append(d.samples, sample)
		return
	}
	d.samples[d.next] = sample
	d.next = (d.next + 1) % maxSamples
}

// Stale reports whether no sample says anything about the next request any longer.
func (d *Durations) Stale(now time.Time) bool {
	return !slices.ContainsFunc(d.samples, func(s Duration) bool { return now.Sub(s.EndedAt) <= maxSampleAge })
}

// Samples returns how many samples say something about the next request.
func (d *Durations) Samples(now time.Time) int {
	n := 0
	for _, s := range d.samples {
		if now.Sub(s.EndedAt) <= maxSampleAge {
			n++
		}
	}
	return n
}

// Estimate returns how long a further request takes at most, by what the latest ones took. events is the number
// of events that its stream may have, zero if that is not known. It returns false if too few requests are known.
func (d *Durations) Estimate(now time.Time, events int) (time.Duration, bool) {
	recent := slices.DeleteFunc(slices.Clone(d.samples), func(s Duration) bool { return now.Sub(s.EndedAt) > maxSampleAge })
	if events <= 0 {
		total, ok := longDuration(recent, func(s Duration) time.Duration { return s.Total })
		return factored(total), ok
	}
	streams := slices.DeleteFunc(recent, func(s Duration) bool { return s.Interval <= 0 })
	first, ok := longDuration(streams, func(s Duration) time.Duration { return s.FirstEvent })
	interval, _ := longDuration(streams, func(s Duration) time.Duration { return s.Interval })
	return factored(first) + time.Duration(events-1)*interval + maxPause, ok
}

func factored(d time.Duration) time.Duration { return time.Duration(durationFactor * float64(d)) }

// longDuration returns the longQuantile of a part of the samples, and false if there are fewer than minSamples.
func longDuration(samples []Duration, part func(Duration) time.Duration) (time.Duration, bool) {
	if len(samples) < minSamples {
		return 0, false
	}
	values := make([]time.Duration, 0, len(samples))
	for _, s := range samples {
		values = append(values, part(s))
	}
	slices.Sort(values)
	return values[min(int(longQuantile*float64(len(values))), len(values)-1)], true
}

// Arrival is a request that reaches a host which is stopping.
type Arrival struct {
	// Deadline is when the request ends at the latest, answered or not: that of the caller or of the route.
	Deadline time.Time
	// Needs is the estimate of how long it takes, and Known is set if there is one.
	Needs time.Duration
	Known bool
}

// LastAcceptance returns until when the request must have been read completely so that it ends before the process
// does. The zero time means that nothing shows that it ever would.
func (a Arrival) LastAcceptance(processEnds time.Time) time.Time {
	switch {
	case !a.Deadline.After(processEnds):
		return a.Deadline
	case !a.Known:
		return time.Time{}
	}
	return processEnds.Add(-a.Needs)
}
