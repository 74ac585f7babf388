package prefix

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadanotch/cicadanotch/port"
)

const (
	// reorderTimeout is how long an event waits for missing earlier ones.
	reorderTimeout = time.Second
	// maxWaitingEvents bounds the number of waiting events.
	maxWaitingEvents = 64
	// gapWindowEvents is the number of events against which a gap is weighed: a gap
	// of as many events halves the confidence.
	gapWindowEvents = 64.0
)

type waitingEvent struct {
	event port.CacheEvent
	since time.Time
}

// reorderBuffer restores the order of an endpoint's cache events.
type reorderBuffer struct {
	// lastSequence is the sequence number of the last event returned by next; zero before
	// the first.
	lastSequence int64
	waiting      []waitingEvent
}

// add inserts an event, unless an equal one waits. It reports false for one that is too
// late: next has returned an event of the same or a later sequence number.
func (r *reorderBuffer) add(e port.CacheEvent, now time.Time) bool {
	if e.Sequence <= r.lastSequence {
		return false
	}
	i, known := slices.BinarySearchFunc(r.waiting, e.Sequence, func(w waitingEvent, seq int64) int {
		return int(w.event.Sequence - seq)
	})
	if !known {
		r.waiting = slices.Insert(r.waiting, i, waitingEvent{e, now})
	}
	return true
}

// next returns the next event in order and how many events before it are missing. If
// earlier events are missing, it returns an event only after reorderTimeout or when more
// than maxWaitingEvents wait.
func (r *reorderBuffer) next(now time.Time) (e port.CacheEvent, missing int64, ok bool) {
	if len(r.waiting) == 0 {
		return e, 0, false
	}
	first := r.waiting[0]
	if r.lastSequence > 0 { // before the first event, none is known to be missing
		missing = first.event.Sequence - r.lastSequence - 1
	}
	if missing > 0 && now.Sub(first.since) < reorderTimeout && len(r.waiting) <= maxWaitingEvents {
		return e, 0, false
	}
	r.waiting = slices.Delete(r.waiting, 0, 1)
	r.lastSequence = first.event.Sequence
	return first.event, missing, true
}

// identityHash returns a hash of a process and its models. It is never zero, which stands
// for an unknown identity.
func identityHash(incarnation string, models []string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(incarnation) // xxhash never returns an error
	for _, m := range models {
		_, _ = d.WriteString("\x00" + m)
	}
	return d.Sum64() | 1
}
