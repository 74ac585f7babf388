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
	// historyPeriod is how long after the beginning of its stop a host accepts requests by how long the latest ones took.
	// Requests that are sent later than 3 s after the signal are owed a complete answer; the signal may reach the process
	// late.
	historyPeriod = 2900 * time.Millisecond
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
// of events that its stream may have, zero if that is not known. inProgress is how long those have taken until now that
// have not ended. It returns false if too few requests are known, or if those in progress take longer than the others let
// expect: how much longer is not known.
func (d *Durations) Estimate(now time.Time, events int, inProgress []Duration) (time.Duration, bool) {
	recent := slices.DeleteFunc(slices.Clone(d.samples), func(s Duration) bool { return now.Sub(s.EndedAt) > maxSampleAge })
	if events <= 0 {
		return longDuration(recent, inProgress, func(s Duration) time.Duration { return s.Total })
	}
	streams := slices.DeleteFunc(recent, func(s Duration) bool { return s.Interval <= 0 })
	first, ok := longDuration(streams, inProgress, func(s Duration) time.Duration { return s.FirstEvent })
	interval, steady := longDuration(streams, inProgress, func(s Duration) time.Duration { return s.Interval })
	interval = time.Duration(float64(interval) / durationFactor) // maxPause allows for what takes longer
	return first + time.Duration(events-1)*interval + maxPause, ok && steady
}

// longDuration returns durationFactor times the longQuantile of a part of the samples. It returns false if there are fewer
// than minSamples, or if the longQuantile with the requests in progress is longer already.
func longDuration(samples, inProgress []Duration, part func(Duration) time.Duration) (time.Duration, bool) {
	if len(samples) < minSamples {
		return 0, false
	}
	values := make([]time.Duration, 0, len(samples)+len(inProgress))
	for _, s := range samples {
		values = append(values, part(s))
	}
	long := time.Duration(durationFactor * float64(quantile(values)))
	for _, s := range inProgress {
		if d := part(s); d > long {
			values = append(values, d)
		}
	}
	return long, quantile(values) <= long
}

// quantile sorts values and returns their longQuantile.
func quantile(values []time.Duration) time.Duration {
	slices.Sort(values)
	return values[min(int(longQuantile*float64(len(values))), len(values)-1)]
}

// Arrival is a request that reaches a host which is stopping.
type Arrival struct {
	// Deadline is when the request ends at the latest, answered or not: that of the caller or of the route.
	Deadline time.Time
	// Needs is the estimate of how long it takes, and Known is set if there is one.
	Needs time.Duration
	Known bool
	// Repeatable is set if its caller may send it again when its answer is lost.
	Repeatable bool
}

// LastAcceptance returns until when a request that reaches a host after its stop began must have been read completely so
// that the host accepts it: it ends before the process does. The zero time means that it never accepts it.
//
// Acceptance is a promise of a complete answer. A deadline before the end of the process always keeps it. What earlier
// requests took does not, so that it only counts for a while, and for requests that may be repeated.
func (a Arrival) LastAcceptance(began, processEnds time.Time) time.Time {
	if !a.Deadline.After(processEnds) {
		return a.Deadline
	}
	if !a.Known || !a.Repeatable {
		return time.Time{}
	}
	last, byEstimate := began.Add(historyPeriod), processEnds.Add(-a.Needs)
	if byEstimate.Before(last) {
		return byEstimate
	}
	return last
}

// LastAttempt returns until when a further attempt may begin of a request that was read completely at a time. What earlier
// requests took counts until the end for those that were accepted by it, or before the stop.
func (a Arrival) LastAttempt(readAt, began, processEnds time.Time) time.Time {
	if a.Deadline.After(processEnds) && a.Known && a.Repeatable && !readAt.After(began.Add(historyPeriod)) {
		return processEnds.Add(-a.Needs)
	}
	return a.LastAcceptance(began, processEnds)
}
