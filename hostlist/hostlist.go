// Package hostlist distributes the platform's host list incrementally. A Feed assigns
// sequence numbers to the changes of the list that one process reads. A View is a copy of
// the list that requests the changes after the sequence number that it has reached.
//
// Invariant: a view that has reached a sequence number of a feed has the rows that the
// feed had at that sequence number. A view that switches feeds, or that has fallen
// behind the removals that the feed retains, starts over with all rows.
package hostlist

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/port"
)

// maxRemovals is how many removed rows a feed retains.
const maxRemovals = 4096

// Position is the position that a view has reached in a feed.
type Position struct {
	// Feed is the name of the feed; empty before the first delta.
	Feed string `json:"feed"`
	// Sequence is the number of the last change that the view has applied.
	Sequence uint64 `json:"number"`
}

// Delta holds the changes after a position.
type Delta struct {
	// To is the position of a view that has applied the delta.
	To Position `json:"to"`
	// All is set when Rows is the complete list.
	All  bool        `json:"all,omitempty"`
	Rows []port.Host `json:"rows,omitempty"`
	// Removed holds the ids of rows that are no longer listed.
	Removed []string `json:"gone,omitempty"`
	// ReadAt is when the feed last read the list; zero means never.
	ReadAt time.Time `json:"read_at"`
}

type sequencedRow struct {
	row      port.Host
	sequence uint64
}

type removal struct {
	id       string
	sequence uint64
}

// Feed assigns sequence numbers to the changes of the list. Safe for concurrent use.
type Feed struct {
	name string

	mu       sync.Mutex
	sequence uint64
	rows     map[string]sequencedRow
	removals []removal
	// prunedTo is the sequence number of the last removal that is no longer
	// retained.
	prunedTo uint64
	readAt   time.Time
}

// NewFeed returns a feed without rows. The name must be unique to the process, so that a
// view detects a restart by it.
func NewFeed(name string) *Feed { return &Feed{name: name, rows: map[string]sequencedRow{}} }

// Update replaces the list by the one read at now.
func (f *Feed) Update(now time.Time, hosts []port.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readAt = now
	listed := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		listed[h.ID] = true
		if current, ok := f.rows[h.ID]; !ok || current.row != h {
			f.sequence++
			f.rows[h.ID] = sequencedRow{h, f.sequence}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(f.rows)) {
		if !listed[id] {
			f.sequence++
			delete(f.rows, id)
			f.removals = append(f.removals, removal{id, f.sequence})
		}
	}
	if over := len(f.removals) - maxRemovals; over > 0 {
		f.prunedTo = f.removals[over-1].sequence
		f.removals = slices.Delete(f.removals, 0, over)
	}
}

// Since returns the changes after a position. It returns the complete list for a
// position of another feed, before prunedTo or beyond the last change.
func (f *Feed) Since(p Position) Delta {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := Delta{To: Position{f.name, f.sequence}, ReadAt: f.readAt}
	d.All = p.Feed != f.name || p.Sequence < f.prunedTo || p.Sequence > f.sequence
	after := p.Sequence
	if d.All {
		after = 0
	}
	for _, r := range f.rows {
		if r.sequence > after {
			d.Rows = append(d.Rows, r.row)
		}
	}
	sortRows(d.Rows)
	for _, removed := range f.removals {
		if !d.All && removed.sequence > after {
			d.Removed = append(d.Removed, removed.id)
		}
	}
	return d
}

func sortRows(rows []port.Host) {
	slices.SortFunc(rows, func(a, b port.Host) int { return cmp.Compare(a.ID, b.ID) })
}

// View is a copy of the list of a feed. Not safe for concurrent use.
type View struct {
	position Position
	rows     map[string]port.Host
	list     []port.Host
}

// NewView returns a view without rows.
func NewView() *View { return &View{rows: map[string]port.Host{}} }

// Position returns the position that the view has reached.
func (v *View) Position() Position { return v.position }

// Apply applies a delta that was made for the view's position. It returns the complete
// list, which the caller must not modify, and whether it changed.
func (v *View) Apply(d Delta) (list []port.Host, changed bool) {
	v.position = d.To
	if !d.All && len(d.Rows) == 0 && len(d.Removed) == 0 {
		return v.list, false
	}
	if d.All {
		clear(v.rows)
	}
	for _, id := range d.Removed {
		delete(v.rows, id)
	}
	for _, h := range d.Rows {
		v.rows[h.ID] = h
	}
	v.list = slices.Collect(maps.Values(v.rows))
	sortRows(v.list)
	return v.list, true
}
