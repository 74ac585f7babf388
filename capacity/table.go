package capacity

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/record"
)

// ErrMalformed is returned for a record body or an exported table that does not parse.
var ErrMalformed = errors.New("malformed capacity record")

// Change is the body of a capacity record. Exactly one of its fields is set.
type Change struct {
	// Advance advances a slot to its next generation because the host of the present
	// generation is gone.
	Advance *Advance `json:"advance,omitempty"`
	// Drain is the id of an endpoint host that receives no new requests and is
	// stopped when it is idle.
	Drain string `json:"drain,omitempty"`
	// Remove is the id of a drained host that is gone.
	Remove string `json:"forget,omitempty"`
}

// Advance advances a slot's generation by one. It has an effect only if From is the
// present generation, so that records by two planners advance it once.
type Advance struct {
	Slot Slot `json:"slot"`
	From int  `json:"from"`
}

// Table is the folded state of all capacity records. Safe for concurrent use.
type Table struct {
	mu          sync.RWMutex
	generations map[Slot]int
	draining    map[string]bool
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{generations: map[Slot]int{}, draining: map[string]bool{}}
}

// Fold applies a capacity record. Applying a record twice has the effect of applying it
// once. The error is ErrMalformed.
func (t *Table) Fold(_ record.Position, e record.Envelope) error {
	var c Change
	if err := json.Unmarshal(e.Body, &c); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case c.Advance != nil:
		if t.generations[c.Advance.Slot] == c.Advance.From {
			t.generations[c.Advance.Slot] = c.Advance.From + 1
		}
	case c.Drain != "":
		t.draining[c.Drain] = true
	case c.Remove != "":
		delete(t.draining, c.Remove)
	}
	return nil
}

// Generation returns the present generation of a slot.
func (t *Table) Generation(s Slot) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.generations[s]
}

// Draining reports whether a host is being drained and receives no new requests.
func (t *Table) Draining(host string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.draining[host]
}

// DrainingHosts returns the ids of the hosts that are being drained.
func (t *Table) DrainingHosts() map[string]bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return maps.Clone(t.draining)
}

// exported is the encoding of a table in checkpoints, in a fixed order.
type exported struct {
	Generations []slotGeneration `json:"generations"`
	Draining    []string         `json:"draining"`
}

type slotGeneration struct {
	Slot       Slot `json:"slot"`
	Generation int  `json:"generation"`
}

// Export returns the encoded table; equal tables give equal bytes.
func (t *Table) Export() (json.RawMessage, error) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := exported{Draining: slices.Sorted(maps.Keys(t.draining))}
	for slot, generation := range t.generations {
		out.Generations = append(out.Generations, slotGeneration{slot, generation})
	}
	slices.SortFunc(out.Generations, func(a, b slotGeneration) int {
		return cmp.Compare(a.Slot.Token(0)+a.Slot.Pool.Region, b.Slot.Token(0)+b.Slot.Pool.Region)
	})
	raw, err := json.Marshal(out)
	return raw, errors.Wrap(err, "encode capacity table")
}

// Import applies an exported table. A generation never decreases; the set of draining
// hosts is replaced. The error is ErrMalformed.
func (t *Table) Import(raw json.RawMessage) error {
	var in exported
	if err := json.Unmarshal(raw, &in); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range in.Generations {
		t.generations[s.Slot] = max(t.generations[s.Slot], s.Generation)
	}
	clear(t.draining)
	for _, host := range in.Draining {
		t.draining[host] = true
	}
	return nil
}
