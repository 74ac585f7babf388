package prefix

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadanotch/cicadanotch/port"
)

const (
	// reorderWait is how long an event waits for those before it.
	reorderWait = time.Second
	// reorderLimit bounds the events that wait.
	reorderLimit = 64
	// gapWindow is the number of events over which a gap counts.
	gapWindow = 64.0
)

type waitingEvent struct {
	event port.CacheEvent
	since time.Time
}

// reorder puts an endpoint's cache events back in order.
type reorder struct {
	// after is the sequence of the last event handed on; zero before the
	// first.
	after   int64
	waiting []waitingEvent
}

// add takes an event; false means that its turn is over.
func (r *reorder) add(e port.CacheEvent, now time.Time) bool {
	if e.Sequence <= r.after {
		return false
	}
	at, known := slices.BinarySearchFunc(r.waiting, e.Sequence, func(w waitingEvent, seq int64) int {
		return int(w.event.Sequence - seq)
	})
	if !known {
		r.waiting = slices.Insert(r.waiting, at, waitingEvent{e, now})
	}
	return true
}

// next returns the next event in order and how many before it are missing. An
// event whose predecessors do not come is handed on after reorderWait.
func (r *reorder) next(now time.Time) (e port.CacheEvent, missed int64, ok bool) {
	if len(r.waiting) == 0 {
		return e, 0, false
	}
	first := r.waiting[0]
	if r.after > 0 { // before the first event nothing is known to be missing
		missed = first.event.Sequence - r.after - 1
	}
	if missed > 0 && now.Sub(first.since) < reorderWait && len(r.waiting) <= reorderLimit {
		return e, 0, false
	}
	r.waiting = slices.Delete(r.waiting, 0, 1)
	r.after = first.event.Sequence
	return first.event, missed, true
}

// identify returns a hash of a process and its models; never zero.
func identify(incarnation string, models []string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(incarnation) // never fails; see xxhash
	for _, m := range models {
		_, _ = d.WriteString("\x00" + m)
	}
	return d.Sum64() | 1
}
