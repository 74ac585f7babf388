// Package hostlist passes the platform's host list on as the rows that
// changed. A Feed numbers the changes of the list that one process reads; a
// View follows a feed by the number up to which it has the rows.
//
// Invariant: a view that has followed a feed to its number holds the rows that
// the feed held at that number. A view that changes feeds, or that is behind
// what the feed remembers, starts with all rows.
package hostlist

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/port"
)

// goneLimit is how many rows that are gone a feed remembers.
const goneLimit = 4096

// Place is how far a view has followed a feed.
type Place struct {
	// Feed names the feed; empty for none.
	Feed string `json:"feed"`
	// Number is the last change that the view has.
	Number uint64 `json:"number"`
}

// Delta is what changed after a place.
type Delta struct {
	// To is the place that the view reaches by it.
	To Place `json:"to"`
	// All is set when Rows are the whole list.
	All  bool        `json:"all,omitempty"`
	Rows []port.Host `json:"rows,omitempty"`
	// Gone are the ids of rows that are no longer listed.
	Gone []string `json:"gone,omitempty"`
	// ReadAt is when the feed last read the list; zero means never.
	ReadAt time.Time `json:"read_at"`
}

type numbered struct {
	row    port.Host
	number uint64
}

type gone struct {
	id     string
	number uint64
}

// Feed numbers the changes of the list. Safe for concurrent use.
type Feed struct {
	name string

	mu     sync.Mutex
	number uint64
	rows   map[string]numbered
	gone   []gone
	// forgotten is the number of the last gone row that was forgotten.
	forgotten uint64
	readAt    time.Time
}

// NewFeed returns a feed without rows. The name is unique to the process.
func NewFeed(name string) *Feed { return &Feed{name: name, rows: map[string]numbered{}} }

// Update takes in the list as it was read at a time.
func (f *Feed) Update(now time.Time, hosts []port.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readAt = now
	listed := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		listed[h.ID] = true
		if known, ok := f.rows[h.ID]; !ok || known.row != h {
			f.number++
			f.rows[h.ID] = numbered{h, f.number}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(f.rows)) {
		if !listed[id] {
			f.number++
			delete(f.rows, id)
			f.gone = append(f.gone, gone{id, f.number})
		}
	}
	if over := len(f.gone) - goneLimit; over > 0 {
		f.forgotten = f.gone[over-1].number
		f.gone = slices.Delete(f.gone, 0, over)
	}
}

// Since returns what changed after a place.
func (f *Feed) Since(p Place) Delta {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := Delta{To: Place{f.name, f.number}, ReadAt: f.readAt}
	d.All = p.Feed != f.name || p.Number < f.forgotten || p.Number > f.number
	after := p.Number
	if d.All {
		after = 0
	}
	for _, r := range f.rows {
		if r.number > after {
			d.Rows = append(d.Rows, r.row)
		}
	}
	sortRows(d.Rows)
	for _, g := range f.gone {
		if !d.All && g.number > after {
			d.Gone = append(d.Gone, g.id)
		}
	}
	return d
}

func sortRows(rows []port.Host) {
	slices.SortFunc(rows, func(a, b port.Host) int { return cmp.Compare(a.ID, b.ID) })
}

// View is a copy of the list that follows a feed. Not safe for concurrent use.
type View struct {
	place Place
	rows  map[string]port.Host
	list  []port.Host
}

// NewView returns a view without rows.
func NewView() *View { return &View{rows: map[string]port.Host{}} }

// Place returns how far the view has followed its feed.
func (v *View) Place() Place { return v.place }

// Apply takes a delta in that was made for the view's place. It returns the
// whole list, which the caller must not change, and whether it changed.
func (v *View) Apply(d Delta) (list []port.Host, changed bool) {
	v.place = d.To
	if !d.All && len(d.Rows) == 0 && len(d.Gone) == 0 {
		return v.list, false
	}
	if d.All {
		clear(v.rows)
	}
	for _, id := range d.Gone {
		delete(v.rows, id)
	}
	for _, h := range d.Rows {
		v.rows[h.ID] = h
	}
	v.list = slices.Collect(maps.Values(v.rows))
	sortRows(v.list)
	return v.list, true
}
