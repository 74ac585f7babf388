// Package lease grants one process at a time the right to perform a control task.
// A lease is taken, renewed and released by records in the platform's log. The
// order of the log decides; no process relies on the clock of another.
//
// A record contains the position of the last accepted record on the lease that
// its writer has seen, and is accepted only if that is still the last one. So of
// a takeover and a renewal that race, at most one is accepted. The fencing token
// of a lease is the offset of the record that took it.
//
// Safety of a takeover: the holder measures the TTL from before it began to append
// the last accepted renewal; a candidate measures it from when it read that
// renewal, which is later. The holder stops at TTL - Margin, and a candidate
// appends no earlier than TTL. Margin covers the drift between two clocks over
// one TTL.
package lease

import (
	"encoding/json"
	"sync"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/record"
)

// ErrMalformed is returned for a record body that does not parse.
var ErrMalformed = errors.New("malformed lease record")

// Verb is the operation of a lease record.
type Verb string

// Operations of lease records.
const (
	// VerbTake takes a lease that is free or has expired.
	VerbTake Verb = "take"
	// VerbRenew extends a lease; only its holder can renew it.
	VerbRenew Verb = "renew"
	// VerbRelease ends a lease; it is free at once.
	VerbRelease Verb = "release"
)

// Change is the body of a lease record.
type Change struct {
	Name string `json:"name"`
	Verb Verb   `json:"verb"`
	// Holder is the process that wrote the record.
	Holder string `json:"holder"`
	// Last is the position of the last accepted record on the lease that the
	// writer has seen; zero for none.
	Last record.Position `json:"last"`
}

// Lease is the state of one lease.
type Lease struct {
	// Holder is the process that holds the lease; empty if it is free.
	Holder string `json:"holder,omitempty"`
	// FencingToken is the offset of the record that took the lease.
	FencingToken int64 `json:"fence"`
	// Last is the position of the last accepted record.
	Last record.Position `json:"last"`
	// RecordID is the id of the record at Last.
	RecordID string `json:"record_id"`
}

// Table is the state of all leases in the log. It is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	leases map[string]Lease
}

// NewTable returns a table without leases.
func NewTable() *Table { return &Table{leases: map[string]Lease{}} }

// Fold applies a lease record. A record that is not accepted has no effect, and a
// record that was appended twice takes effect once. Fold returns ErrMalformed for
// a body that does not parse or lacks the name or holder.
func (t *Table) Fold(pos record.Position, e record.Envelope) error {
	var c Change
	if err := json.Unmarshal(e.Body, &c); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	if c.Name == "" || c.Holder == "" {
		return errors.Wrap(ErrMalformed, "lease name or holder is empty")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if next, ok := Apply(t.leases[c.Name], c, pos, e.ID); ok {
		t.leases[c.Name] = next
	}
	return nil
}

// Apply implements version 1 of lease records. It returns the lease after a change
// and whether the change was accepted.
func Apply(current Lease, c Change, pos record.Position, id string) (Lease, bool) {
	if c.Last != current.Last || !current.Last.Before(pos) {
		return current, false
	}
	next := Lease{Holder: c.Holder, FencingToken: current.FencingToken, Last: pos, RecordID: id}
	switch c.Verb {
	case VerbTake:
		// Two takes in one log record must not share a fencing token.
		if pos.Offset <= current.FencingToken {
			return current, false
		}
		next.FencingToken = pos.Offset
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

// Get returns the state of a lease; the zero value if it was never taken.
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

// Export encodes the table for a checkpoint. Equal tables give equal bytes.
func (t *Table) Export() (json.RawMessage, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	raw, err := json.Marshal(t.leases)
	return raw, errors.Wrap(err, "encode leases")
}

// Import merges an exported table. For each lease the state with the later last
// record is retained.
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
