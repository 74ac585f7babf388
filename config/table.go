package config

import (
	"encoding/json"
	"maps"
	"sync"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/record"
)

// Change is the body of a document record. It is accepted if and only if it
// passes the check of its record version and Base is the offset of the
// service's accepted revision, or 0 if there is none.
type Change struct {
	Service string `json:"service"`
	// Base is the offset of the revision that the change is based on.
	Base int64 `json:"base"`
	// Text is the document as its owner wrote it.
	Text string `json:"text"`
}

// Revision is an accepted document.
type Revision struct {
	// Offset is the record's offset in the log, which is the revision's number.
	Offset   int64  `json:"offset"`
	RecordID string `json:"record_id"`
	Text     string `json:"text"`
	// Document is the document in force: Text as parsed, or the last accepted
	// text that this process can use.
	Document *Document `json:"-"`
	// InForce is the offset of the revision that Document was parsed from. It is
	// below Offset if this process is too old to use the accepted text.
	InForce int64 `json:"in_force"`
}

// Verdict is the result of folding one document record.
type Verdict struct {
	RecordID string
	Service  string
	Accepted bool
	// AcceptedOffset is the offset of the accepted revision after the fold.
	AcceptedOffset int64
	// Err is ErrConflict or ErrInvalid if the change was not accepted.
	Err error
}

// Table is the folded state of all documents. It is safe for concurrent use.
type Table struct {
	mu        sync.RWMutex
	revisions map[string]Revision
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{revisions: map[string]Revision{}} }

// Fold applies one document record. The same records give the same verdicts in
// every process, whatever its version. A record that is in the log twice takes
// effect once.
func (t *Table) Fold(pos record.Position, e record.Envelope) Verdict {
	var change Change
	if err := json.Unmarshal(e.Body, &change); err != nil {
		return Verdict{RecordID: e.ID, Err: errors.Wrap(ErrInvalid, err.Error())}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.revisions[change.Service]
	verdict := Verdict{RecordID: e.ID, Service: change.Service, AcceptedOffset: current.Offset}
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
	t.revisions[change.Service] = nextRevision(current, Revision{Offset: pos.Offset, RecordID: e.ID, Text: change.Text})
	verdict.Accepted, verdict.AcceptedOffset = true, pos.Offset
	return verdict
}

// nextRevision returns the accepted revision with its document. If this code cannot
// use its text, the current document stays in force.
func nextRevision(current, accepted Revision) Revision {
	doc, err := parseAccepted(accepted.Text)
	if err != nil {
		accepted.Document, accepted.InForce = current.Document, current.InForce
		return accepted
	}
	accepted.Document, accepted.InForce = doc, accepted.Offset
	return accepted
}

// Service returns the accepted revision of a service. It reports false for a
// service of which this process could not use any accepted text.
func (t *Table) Service(name string) (Revision, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.revisions[name]
	return r, ok && r.Document != nil
}

// Accepted returns the accepted revision of a service, even if this process
// cannot use its text.
func (t *Table) Accepted(name string) (Revision, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.revisions[name]
	return r, ok
}

// All returns the accepted revisions by service, without the services that
// Service reports false for.
func (t *Table) All() map[string]Revision {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := maps.Clone(t.revisions)
	maps.DeleteFunc(out, func(_ string, r Revision) bool { return r.Document == nil })
	return out
}

// Unsupported returns the services whose accepted text this process cannot use, so
// that an older document is in force or none.
func (t *Table) Unsupported() []string {
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

// exportedRow is one service's row of an exported table.
type exportedRow struct {
	Offset   int64  `json:"offset"`
	RecordID string `json:"record_id"`
	Text     string `json:"text"`
}

// Export encodes the table for a checkpoint. Equal tables give equal bytes.
func (t *Table) Export() (json.RawMessage, error) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	rows := map[string]exportedRow{}
	for name, r := range t.revisions {
		rows[name] = exportedRow{Offset: r.Offset, RecordID: r.RecordID, Text: r.Text}
	}
	raw, err := json.Marshal(rows)
	return raw, errors.Wrap(err, "encode documents")
}

// Import merges an exported table. Rows that are not newer than the table's own
// are ignored.
func (t *Table) Import(raw json.RawMessage) error {
	var rows map[string]exportedRow
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
		t.revisions[name] = nextRevision(current, Revision{Offset: row.Offset, RecordID: row.RecordID, Text: row.Text})
	}
	return nil
}
