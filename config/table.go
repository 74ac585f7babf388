package config

import (
	"encoding/json"
	"maps"
	"sync"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/record"
)

// Change is the body of a document record. It is accepted iff its document
// parses and Base is the offset of the service's accepted revision, 0 for none.
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
	Offset   int64     `json:"offset"`
	RecordID string    `json:"record_id"`
	Text     string    `json:"text"`
	Document *Document `json:"-"`
}

// Verdict says what became of one change record.
type Verdict struct {
	RecordID string
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
// in every process.
func (t *Table) Fold(pos record.Position, e record.Envelope) Verdict {
	var change Change
	if err := json.Unmarshal(e.Body, &change); err != nil {
		return Verdict{RecordID: e.ID, Err: errors.Wrap(ErrInvalid, err.Error())}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.revisions[change.Service]
	if current.RecordID == e.ID && e.ID != "" {
		return Verdict{RecordID: e.ID, Accepted: true, Winner: current.Offset}
	}
	if change.Base != current.Offset {
		return Verdict{RecordID: e.ID, Winner: current.Offset, Err: ErrConflict}
	}
	doc, err := ParseDocument([]byte(change.Text))
	if err == nil && doc.Service != change.Service {
		err = errors.Wrap(ErrInvalid, "document names another service")
	}
	if err != nil {
		return Verdict{RecordID: e.ID, Winner: current.Offset, Err: err}
	}
	t.revisions[change.Service] = Revision{Offset: pos.Offset, RecordID: e.ID, Text: change.Text, Document: doc}
	return Verdict{RecordID: e.ID, Accepted: true, Winner: pos.Offset}
}

// Service returns the accepted revision of a service.
func (t *Table) Service(name string) (Revision, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.revisions[name]
	return r, ok
}

// All returns the accepted revisions by service.
func (t *Table) All() map[string]Revision {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return maps.Clone(t.revisions)
}
