package route

import (
	"maps"
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/prefix"
)

// Chooser joins a Table with a prefix index for each service: it looks the
// prompt up, chooses, and lets answers and cache events correct both. Safe for
// concurrent use. Its lock guards the map of indexes alone and is not held
// while a table below is called.
type Chooser struct {
	table *Table

	mu      sync.Mutex
	indexes map[string]*prefix.Index
}

// NewChooser returns a Chooser of a process at place without endpoints.
func NewChooser(place Place, opts Options) *Chooser {
	return &Chooser{table: NewTable(place, opts), indexes: map[string]*prefix.Index{}}
}

// Table returns the table of endpoints.
func (c *Chooser) Table() *Table { return c.table }

// Index returns the prefix index of a service.
func (c *Chooser) Index(service string) *prefix.Index {
	c.mu.Lock()
	defer c.mu.Unlock()
	x, ok := c.indexes[service]
	if !ok {
		x = prefix.NewIndex(0)
		c.indexes[service] = x
	}
	return x
}

// Update replaces what the platform says of the endpoints; the rows' slots are
// filled in.
func (c *Chooser) Update(rows []Row) {
	listed := make(map[string]bool, len(rows))
	for i := range rows {
		listed[rows[i].Host.ID] = true
	}
	for _, h := range c.table.All() {
		if !listed[h.ID] {
			c.Index(h.Service).Remove(h.ID)
		}
	}
	for i := range rows {
		slot, err := c.Index(rows[i].Host.Service).Add(rows[i].Host.ID)
		if err != nil {
			slot = -1 // chosen without knowledge of its cache
		}
		rows[i].Slot = slot
	}
	c.table.Update(rows)
}

// Report takes an endpoint's load report.
func (c *Chooser) Report(h port.Host, r port.LoadReport) {
	c.table.Report(h.ID, r)
	_, _ = c.Index(h.Service).Identify(h.ID, r.Incarnation, r.Models) // without a slot there is nothing to drop
}

// Events takes an endpoint's cache events.
func (c *Chooser) Events(h port.Host, events []port.CacheEvent, now time.Time) {
	_ = c.Index(h.Service).Apply(h.ID, events, now) // without a slot there is nothing to note
}

// Choose picks the endpoint for a request with these prompt blocks and books
// the request there until Release; ErrNoEndpoint, ErrLinkBudget.
func (c *Chooser) Choose(q Query, blocks []uint64, now time.Time) (Choice, error) {
	index := c.Index(q.Service)
	var held prefix.Held
	if len(blocks) > 0 {
		index.Lookup(blocks, &held)
		q.Held, q.Prefix = &held, PrefixOf(blocks, &held)
	}
	choice, err := c.table.Choose(&q, now)
	if err != nil {
		return choice, err
	}
	_ = index.Expect(choice.Host.ID, blocks) // without a slot there is nothing to note
	return choice, nil
}

// Started notes the first token of a request.
func (c *Chooser) Started(choice *Choice, now time.Time) { c.table.Started(choice.Booking, now) }

// Ended tells how a request ended at its endpoint.
type Ended struct {
	// Usage is that of the whole answer; nil when it did not come.
	Usage *port.Usage
	// Started tells that a token came.
	Started bool
}

// Release ends a booking and corrects the index by how it ended.
func (c *Chooser) Release(choice *Choice, blocks []uint64, end Ended) {
	c.table.Release(choice.Booking)
	index := c.Index(choice.Host.Service)
	switch {
	case end.Usage != nil:
		_ = index.Answered(choice.Host.ID, choice.CachedBlocks, end.Usage.CachedTokens) // an endpoint that is gone needs no correction
	case !end.Started:
		_ = index.Retract(choice.Host.ID, blocks[min(choice.CachedBlocks, len(blocks)):]) // likewise
	}
}

// Prefixes returns the counts of each service's index.
func (c *Chooser) Prefixes() map[string]prefix.Stats {
	c.mu.Lock()
	indexes := maps.Clone(c.indexes)
	c.mu.Unlock()
	out := make(map[string]prefix.Stats, len(indexes))
	for service, x := range indexes {
		out[service] = x.Stats()
	}
	return out
}
