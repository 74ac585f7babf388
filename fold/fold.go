// Package fold applies the records of the platform's log to the tables that
// are built from it, and makes and takes over checkpoints of all of them.
//
// Each kind of record has one rule, in the package of its table, and each
// version of a record its own: a rule that was once published never changes.
// Records of kinds or versions without a rule here are skipped and counted.
//
// Invariants: the same records give the same state in every process; a state
// never goes back below an offset it has folded.
//
// Lock order: State's lock is taken before the lock of a table.
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
	// ErrOlder is returned for a snapshot below what the state has folded.
	ErrOlder = errors.New("snapshot is older than the state")
	// ErrDigest is returned for a snapshot that fails its digest.
	ErrDigest = errors.New("snapshot does not match its digest")
	// ErrGap is returned for a record that does not follow the last one.
	ErrGap = errors.New("records are missing before this one")
	// ErrIncomplete is returned for a snapshot whose writer skipped records
	// that this process knows.
	ErrIncomplete = errors.New("snapshot lacks records that this process knows")
)

// Table is built from records of one or more kinds.
type Table interface {
	// Fold applies one record.
	Fold(pos record.Position, e record.Envelope) error
	// Export returns the table; equal tables give equal bytes.
	Export() (json.RawMessage, error)
	// Import takes over an exported table.
	Import(raw json.RawMessage) error
}

// seenLimit is how many record ids are remembered.
const seenLimit = 16384

// Skipped counts the records that had no effect because they could not be read.
type Skipped struct {
	Malformed int64 `json:"malformed"`
	// Unknown counts kinds and versions without a rule in this process.
	Unknown int64 `json:"unknown"`
	// Rejected counts records that their table's rule could not read.
	Rejected int64 `json:"rejected"`
}

// Total returns the sum of the counts.
func (s Skipped) Total() int64 { return s.Malformed + s.Unknown + s.Rejected }

// State is all that is folded from the log. Safe for concurrent use.
type State struct {
	mu      sync.Mutex
	next    int64
	tables  map[string]Table
	kinds   map[record.Kind]Table
	seen    *idWindow
	skipped Skipped
	// unfolded names what was skipped because this process has no rule.
	unfolded map[string]bool
	parts    assembly
	latest   Checkpoint
}

// Checkpoint tells of the newest whole checkpoint that came by.
type Checkpoint struct {
	// Offset is where its last piece stands in the log.
	Offset int64 `json:"offset"`
	// Next is the first offset that it does not cover.
	Next int64 `json:"next"`
}

// New returns a state without tables that expects the log's first record.
func New() *State {
	return &State{
		next:     1,
		tables:   map[string]Table{},
		kinds:    map[record.Kind]Table{},
		seen:     newIDWindow(seenLimit),
		unfolded: map[string]bool{},
	}
}

// Register adds a table under a name that stays the same for ever, with the
// kinds it folds. All tables are registered before the first Fold.
func (s *State) Register(name string, t Table, kinds ...record.Kind) {
	s.tables[name] = t
	for _, k := range kinds {
		s.kinds[k] = t
	}
}

// Fold applies one log record and returns the ids of its records. A record
// below Next was folded before and has no effect; one above it is not folded,
// ErrGap.
func (s *State) Fold(r port.LogRecord) ([]string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Offset < s.next {
		return nil, nil
	}
	if r.Offset > s.next {
		return nil, errors.Wrapf(ErrGap, "got %d, want %d", r.Offset, s.next)
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
		if failed := s.apply(pos, e); failed != nil {
			err = failed
		}
		s.seen.add(e.ID, pos)
		ids = append(ids, e.ID)
	}
	return ids, err
}

func (s *State) apply(pos record.Position, e record.Envelope) error {
	if e.Kind == record.KindCheckpoint && record.Known(e.Kind, e.Version) {
		return s.notePiece(pos, e)
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

// maxUnfolded bounds the names kept of what was skipped.
const maxUnfolded = 256

func (s *State) skip(name string) {
	s.skipped.Unknown++
	if len(s.unfolded) < maxUnfolded {
		s.unfolded[name] = true
	}
}

func ruleName(k record.Kind, version int) string {
	return string(k) + "/" + strconv.Itoa(version)
}

// Next returns the offset of the next record to fold.
func (s *State) Next() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// Skipped returns the counts of records skipped.
func (s *State) Skipped() Skipped {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.skipped
}

// Seen returns where a record id stands, if it is among those folded last.
func (s *State) Seen(id string) (record.Position, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pos, ok := s.seen.positions[id]
	return pos, ok
}

// idWindow remembers the record ids added last.
type idWindow struct {
	positions map[string]record.Position
	ring      []string
	at        int
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
	delete(w.positions, w.ring[w.at])
	w.ring[w.at] = id
	w.at = (w.at + 1) % len(w.ring)
}
