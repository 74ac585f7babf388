// Package fold applies the records of the platform's log to the tables that are
// built from it, and writes and restores checkpoints of all tables.
//
// Each kind and version of record has one rule, in the package of its table. A
// published rule never changes. Records of kinds or versions without a rule in this
// process are skipped and counted.
//
// Invariants: the same records give the same state in every process; a state never
// goes back to an earlier offset.
//
// Lock order: the lock of State is taken before the lock of a table.
package fold

import (
	"encoding/json"
	"strconv"
	"sync"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/record"
)

// Errors of this package.
var (
	// ErrOlder is returned for a snapshot that ends before the state's offset.
	ErrOlder = errors.New("snapshot is older than the state")
	// ErrDigest is returned for a checkpoint that does not match its digest or
	// cannot be decoded.
	ErrDigest = errors.New("snapshot does not match its digest")
	// ErrGap is returned for a log record beyond the next offset to fold.
	ErrGap = errors.New("log records are missing before this one")
	// ErrIncomplete is returned for a snapshot whose writer skipped records
	// that this process supports.
	ErrIncomplete = errors.New("snapshot lacks records that this process supports")
)

// Table is built from records of one or more kinds.
type Table interface {
	// Fold applies one record.
	Fold(pos record.Position, e record.Envelope) error
	// Export encodes the table; equal tables give equal bytes.
	Export() (json.RawMessage, error)
	// Import restores an exported table.
	Import(raw json.RawMessage) error
}

// maxSeenIDs bounds the record ids that Seen can find.
const maxSeenIDs = 16384

// Skipped counts the records that had no effect because this process could not read
// them.
type Skipped struct {
	Malformed int64 `json:"malformed"`
	// Unknown counts records of kinds and versions without a rule in this
	// process, and the names of such rules and tables in restored snapshots.
	Unknown int64 `json:"unknown"`
	// Rejected counts records for which the rule of their table failed.
	Rejected int64 `json:"rejected"`
}

// Total returns the sum of the counts.
func (s Skipped) Total() int64 { return s.Malformed + s.Unknown + s.Rejected }

// State is the state of all tables at one offset of the log. It is safe for
// concurrent use.
type State struct {
	mu      sync.Mutex
	next    int64
	tables  map[string]Table
	kinds   map[record.Kind]Table
	seen    *idWindow
	skipped Skipped
	// unsupported holds the names of rules and tables that were skipped because
	// this process does not have them.
	unsupported map[string]bool
	pieces      pieceSet
	latest      Checkpoint
}

// Checkpoint is the position of the last complete checkpoint in the folded log.
type Checkpoint struct {
	// Offset is the offset of its last piece in the log.
	Offset int64 `json:"offset"`
	// Next is the first offset that the checkpoint does not cover.
	Next int64 `json:"next"`
}

// New returns a state without tables whose next record is the first of the log.
func New() *State {
	return &State{
		next:        1,
		tables:      map[string]Table{},
		kinds:       map[record.Kind]Table{},
		seen:        newIDWindow(maxSeenIDs),
		unsupported: map[string]bool{},
	}
}

// Register adds a table and the kinds of records that it folds. The name is stored
// in checkpoints and must never change. All tables must be registered before the
// first Fold.
func (s *State) Register(name string, t Table, kinds ...record.Kind) {
	s.tables[name] = t
	for _, k := range kinds {
		s.kinds[k] = t
	}
}

// Fold applies one log record and returns the ids of the records in it. A log
// record below Next was folded before and has no effect; for one above Next it
// returns ErrGap.
func (s *State) Fold(r port.LogRecord) ([]string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Offset < s.next {
		return nil, nil
	}
	if r.Offset > s.next {
		return nil, errors.Wrapf(ErrGap, "got offset %d, want %d", r.Offset, s.next)
	}
	s.next = r.Offset + 1
	envelopes, err := record.Decode(r.Data)
	if err != nil {
		s.skipped.Malformed++
		return nil, err
	}
	ids := make([]string, 0, len(envelopes))
	for i, e := range envelopes {
		pos := record.Position{Offset: r.Offset, Index: i}
		if applyErr := s.apply(pos, e); applyErr != nil {
			err = applyErr
		}
		s.seen.add(e.ID, pos)
		ids = append(ids, e.ID)
	}
	return ids, err
}

func (s *State) apply(pos record.Position, e record.Envelope) error {
	if e.Kind == record.KindCheckpoint && record.Known(e.Kind, e.Version) {
		return s.recordPiece(pos, e)
	}
	table, ok := s.kinds[e.Kind]
	if !ok || !record.Known(e.Kind, e.Version) {
		s.skip(ruleName(e.Kind, e.Version))
		return nil
	}
	err := table.Fold(pos, e)
	if err != nil {
		s.skipped.Rejected++
	}
	return err
}

// maxUnsupported bounds the names in State.unsupported.
const maxUnsupported = 256

func (s *State) skip(name string) {
	s.skipped.Unknown++
	if len(s.unsupported) < maxUnsupported {
		s.unsupported[name] = true
	}
}

func ruleName(k record.Kind, version int) string {
	return string(k) + "/" + strconv.Itoa(version)
}

// Next returns the offset of the next log record to fold.
func (s *State) Next() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// Skipped returns the counts of skipped records.
func (s *State) Skipped() Skipped {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.skipped
}

// Seen returns the position of a record id if it is among the last maxSeenIDs ids
// folded.
func (s *State) Seen(id string) (record.Position, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pos, ok := s.seen.positions[id]
	return pos, ok
}

// idWindow holds the positions of the record ids added last. ring is a ring buffer of
// the ids, and oldest the index of the oldest one once the buffer is full.
type idWindow struct {
	positions map[string]record.Position
	ring      []string
	oldest    int
}

func newIDWindow(limit int) *idWindow {
	return &idWindow{positions: map[string]record.Position{}, ring: make([]string, 0, limit)}
}

func (w *idWindow) add(id string, pos record.Position) {
	if _, ok := w.positions[id]; ok {
		return
	}
	w.positions[id] = pos
	if len(w.ring) < cap(w.ring) {
		w.ring = append(w.ring, id)
		return
	}
	delete(w.positions, w.ring[w.oldest])
	w.ring[w.oldest] = id
	w.oldest = (w.oldest + 1) % len(w.ring)
}
