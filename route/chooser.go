package route

import (
	"maps"
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/prefix"
)

// Chooser combines a Table with a prefix index for each service. It looks a prompt
// up, chooses an endpoint, and updates table and index from answers, load reports and
// cache events. Safe for concurrent use. Its lock guards only the map of indexes and
// is not held during calls to a Table or an Index.
type Chooser struct {
	table *Table

	mu      sync.Mutex
	indexes map[string]*prefix.Index
}

// NewChooser returns a Chooser without endpoints for a process at location.
func NewChooser(location Location, opts Options) *Chooser {
	return &Chooser{table: NewTable(location, opts), indexes: map[string]*prefix.Index{}}
}

// Table returns the table of endpoints.
func (c *Chooser) Table() *Table { return c.table }

// Index returns the prefix index of a service and creates it on first use.
func (c *Chooser) Index(service string) *prefix.Index {
	c.mu.Lock()
	defer c.mu.Unlock()
	index, ok := c.indexes[service]
	if !ok {
		index = prefix.NewIndex(0)
		c.indexes[service] = index
	}
	return index
}

// Update replaces the list of endpoints with the platform's. It sets the
// Slot of each row.
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
			slot = -1 // index full: the endpoint may be chosen, its cache counts as empty
		}
		rows[i].Slot = slot
	}
	c.table.Update(rows)
}

// Report applies an endpoint's load report. A change of the process or its models
// drops the endpoint's entries from the index.
func (c *Chooser) Report(h port.Host, r port.LoadReport) {
	c.table.Report(h.ID, r)
	_, _ = c.Index(h.Service).Identify(h.ID, r.Incarnation, r.Models) // an endpoint without a slot has no entries
}

// Events applies an endpoint's cache events.
func (c *Chooser) Events(h port.Host, events []port.CacheEvent, now time.Time) {
	_ = c.Index(h.Service).Apply(h.ID, events, now) // an endpoint without a slot has no entries
}

// Choose picks the endpoint for a request with these prompt blocks and books the
// request there until Release. It returns ErrNoEndpoint or ErrLinkBudget when it
// finds none.
func (c *Chooser) Choose(q Query, blocks []uint64, now time.Time) (Choice, error) {
	index := c.Index(q.Service)
	var cached prefix.CachedPrefix
	if len(blocks) > 0 {
		index.Lookup(blocks, &cached)
		q.Cached, q.AffinityKey = &cached, AffinityKey(blocks, &cached)
	}
	choice, err := c.table.Choose(&q, now)
	if err != nil {
		return choice, err
	}
	_ = index.Expect(choice.Host.ID, blocks) // an endpoint without a slot has no entries
	return choice, nil
}

// RecordFirstToken records that the first token of a request has arrived.
func (c *Chooser) RecordFirstToken(choice *Choice, now time.Time) {
	c.table.RecordFirstToken(choice.Booking, now)
}

// Outcome is the outcome of a request at its endpoint.
type Outcome struct {
	// Usage is the usage of the complete answer; nil without one.
	Usage *port.Usage
	// Started is set when at least one token arrived.
	Started bool
}

// Release ends a booking and updates the index from the outcome: a complete answer
// adjusts the confidence in the endpoint by its cached tokens, and an answer without
// any token retracts the blocks of the prompt.
func (c *Chooser) Release(choice *Choice, blocks []uint64, outcome Outcome) {
	c.table.Release(choice.Booking)
	index := c.Index(choice.Host.Service)
	// Errors are ignored: an endpoint that was removed needs no correction.
	switch {
	case outcome.Usage != nil:
		_ = index.RecordAnswer(choice.Host.ID, choice.CachedBlocks, outcome.Usage.CachedTokens)
	case !outcome.Started:
		_ = index.Retract(choice.Host.ID, blocks[min(choice.CachedBlocks, len(blocks)):])
	}
}

// PrefixStats returns the statistics of the prefix index of each service.
func (c *Chooser) PrefixStats() map[string]prefix.Stats {
	c.mu.Lock()
	indexes := maps.Clone(c.indexes)
	c.mu.Unlock()
	out := make(map[string]prefix.Stats, len(indexes))
	for service, index := range indexes {
		out[service] = index.Stats()
	}
	return out
}
