package config

import (
	"encoding/json"
	"maps"
	"sync"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/record"
)

// Change is the body of a document record. It is accepted iff it passes the
// check of its record version and Base is the offset of the service's accepted
// revision, 0 for none.
type Change struct {
	Service string `json:"service"`
	// Base is the offset of the revision that the change was made from.
	Base int64 `json:"base"`
	// Text is the document as its owner wrote it.
	Text string `json:"text"`
}

// Revision is an accepted document.
type Revision struct {
	// Offset is where it stands in the log; it is the revision's number.
	Offset   int64  `json:"offset"`
	RecordID string `json:"record_id"`
	Text     string `json:"text"`
	// Document is what is in force: Text, or the last accepted text that this
	// process can use.
	Document *Document `json:"-"`
	// InForce is the offset of the revision that Document was read from. It is
	// below Offset in a process too old to use the accepted text.
	InForce int64 `json:"in_force"`
}

// Verdict says what became of one change record.
type Verdict struct {
	RecordID string
	Service  string
	Accepted bool
	// Winner is the offset of the accepted revision after the fold.
	Winner int64
	// Err is ErrConflict or ErrInvalid when not accepted.
	Err error
}

// Table is the folded state of all documents. Safe for concurrent use.
type Table struct {
	mu        sync.RWMutex
	revisions map[string]Revision
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{revisions: map[string]Revision{}} }

// Fold applies one document record. The same records give the same verdicts
// in every process, whatever its version. A record that stands in the log
// twice has one effect.
func (t *Table) Fold(pos record.Position, e record.Envelope) Verdict {
	var change Change
	if err := json.Unmarshal(e.Body, &change); err != nil {
		return Verdict{RecordID: e.ID, Err: errors.Wrap(ErrInvalid, err.Error())}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.revisions[change.Service]
	verdict := Verdict{RecordID: e.ID, Service: change.Service, Winner: current.Offset}
	if current.RecordID == e.ID && e.ID != "" {
		verdict.Accepted = true
		return verdict
	}
	if change.Base != current.Offset || pos.Offset <= current.Offset {
		verdict.Err = ErrConflict
		return verdict
	}
	if err := checkV1(change); err != nil {
		verdict.Err = err
		return verdict
	}
	t.revisions[change.Service] = next(current, Revision{Offset: pos.Offset, RecordID: e.ID, Text: change.Text})
	verdict.Accepted, verdict.Winner = true, pos.Offset
	return verdict
}

// next reads the document of a revision; one that this code cannot use leaves
// the current document in force.
func next(current, accepted Revision) Revision {
	doc, err := parseAccepted(accepted.Text)
	if err != nil {
		accepted.Document, accepted.InForce = current.Document, current.InForce
		return accepted
	}
	accepted.Document, accepted.InForce = doc, accepted.Offset
	return accepted
}

// Service returns the accepted revision of a service. A service whose text
// this process has never been able to use is absent.
func (t *Table) Service(name string) (Revision, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.revisions[name]
	return r, ok && r.Document != nil
}

// Accepted returns the accepted revision of a service, usable here or not.
func (t *Table) Accepted(name string) (Revision, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.revisions[name]
	return r, ok
}

// All returns the usable accepted revisions by service.
func (t *Table) All() map[string]Revision {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := maps.Clone(t.revisions)
	maps.DeleteFunc(out, func(_ string, r Revision) bool { return r.Document == nil })
	return out
}

// Behind returns the services whose accepted text this process cannot use.
func (t *Table) Behind() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []string
	for name, r := range t.revisions {
		if r.InForce != r.Offset {
			out = append(out, name)
		}
	}
	return out
}

// exported is one row of an exported table.
type exported struct {
	Offset   int64  `json:"offset"`
	RecordID string `json:"record_id"`
	Text     string `json:"text"`
}

// Export returns the table for a checkpoint. Equal tables export equal bytes.
func (t *Table) Export() (json.RawMessage, error) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	rows := map[string]exported{}
	for name, r := range t.revisions {
		rows[name] = exported{Offset: r.Offset, RecordID: r.RecordID, Text: r.Text}
	}
	raw, err := json.Marshal(rows)
	return raw, errors.Wrap(err, "encode documents")
}

// Import takes over an exported table. A row below the one held is left out.
func (t *Table) Import(raw json.RawMessage) error {
	var rows map[string]exported
	if err := json.Unmarshal(raw, &rows); err != nil {
		return errors.Wrap(ErrInvalid, err.Error())
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, row := range rows {
		current := t.revisions[name]
		if row.Offset <= current.Offset {
			continue
		}
		t.revisions[name] = next(current, Revision{Offset: row.Offset, RecordID: row.RecordID, Text: row.Text})
	}
	return nil
}
