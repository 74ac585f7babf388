// Package lease decides who may do a piece of control work alone. A lease is
// taken, kept and given back by records in the platform's log; the order of the
// log decides, and no clock of another process is trusted.
//
// A record names the last record on the lease that its writer had seen, and is
// accepted only if that still is the last one. So a takeover and a renewal that
// race cannot both be accepted. The fencing number of a lease is the offset of
// the record that took it.
//
// Safety of a takeover: the holder counts its time from before it appended the
// last accepted renewal; a candidate counts from when it saw that renewal, which
// is later. The holder stops at TTL - Margin, the candidate proposes no sooner
// than TTL. Margin covers the drift of two clocks over one TTL.
package lease

import (
	"encoding/json"
	"sync"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/record"
)

// ErrMalformed is returned for a record body that does not parse.
var ErrMalformed = errors.New("malformed lease record")

// Verb says what a lease record asks for.
type Verb string

// Verbs of lease records.
const (
	// VerbTake takes a lease that is free or has lapsed.
	VerbTake Verb = "take"
	// VerbRenew keeps a lease.
	VerbRenew Verb = "renew"
	// VerbRelease gives a lease back; it is free at once.
	VerbRelease Verb = "release"
)

// Change is the body of a lease record.
type Change struct {
	Name string `json:"name"`
	Verb Verb   `json:"verb"`
	// Holder is the process that writes the record.
	Holder string `json:"holder"`
	// Last is the place of the last accepted record on the lease that the
	// writer has seen; zero for none.
	Last record.Position `json:"last"`
}

// Lease is the state of one lease.
type Lease struct {
	// Holder is the process that holds the lease; empty when it is free.
	Holder string `json:"holder,omitempty"`
	// Fence is the fencing number: the offset at which Holder took it.
	Fence int64 `json:"fence"`
	// Last is the place of the last accepted record.
	Last record.Position `json:"last"`
	// RecordID is the id of that record.
	RecordID string `json:"record_id"`
}

// Table is the folded state of all leases. Safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	leases map[string]Lease
}

// NewTable returns a table without leases.
func NewTable() *Table { return &Table{leases: map[string]Lease{}} }

// Fold applies a lease record; ErrMalformed. A record that lost changes
// nothing; one that stands in the log twice has one effect.
func (t *Table) Fold(pos record.Position, e record.Envelope) error {
	var c Change
	if err := json.Unmarshal(e.Body, &c); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	if c.Name == "" || c.Holder == "" {
		return errors.Wrap(ErrMalformed, "name or holder missing")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if next, ok := Apply(t.leases[c.Name], c, pos, e.ID); ok {
		t.leases[c.Name] = next
	}
	return nil
}

// Apply is the rule of version 1: it returns the lease after a change, and
// whether the change was accepted.
func Apply(current Lease, c Change, pos record.Position, id string) (Lease, bool) {
	if c.Last != current.Last || !current.Last.Before(pos) {
		return current, false
	}
	next := Lease{Holder: c.Holder, Fence: current.Fence, Last: pos, RecordID: id}
	switch c.Verb {
	case VerbTake:
		// Two takes in one log record must not share a fencing number.
		if pos.Offset <= current.Fence {
			return current, false
		}
		next.Fence = pos.Offset
	case VerbRenew:
		if current.Holder != c.Holder {
			return current, false
		}
	case VerbRelease:
		if current.Holder != c.Holder {
			return current, false
		}
		next.Holder = ""
	default:
		return current, false
	}
	return next, true
}

// Get returns the state of a lease; its zero value when it was never taken.
func (t *Table) Get(name string) Lease {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leases[name]
}

// All returns all leases by name.
func (t *Table) All() map[string]Lease {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]Lease, len(t.leases))
	for name, l := range t.leases {
		out[name] = l
	}
	return out
}

// Export returns the table for a checkpoint. Equal tables export equal bytes.
func (t *Table) Export() (json.RawMessage, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	raw, err := json.Marshal(t.leases)
	return raw, errors.Wrap(err, "encode leases")
}

// Import takes over an exported table. A lease that is held at a later place
// stays.
func (t *Table) Import(raw json.RawMessage) error {
	var leases map[string]Lease
	if err := json.Unmarshal(raw, &leases); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, l := range leases {
		if t.leases[name].Last.Before(l.Last) {
			t.leases[name] = l
		}
	}
	return nil
}
