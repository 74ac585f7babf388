package fold

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/record"
)

// Snapshot is the folded state of all tables.
type Snapshot struct {
	// Next is the first offset that the snapshot does not cover.
	Next   int64                      `json:"next"`
	Tables map[string]json.RawMessage `json:"tables"`
	// Unfolded names the rules and tables that the writer did not have, sorted;
	// what they would have changed is missing.
	Unfolded []string `json:"unfolded,omitempty"`
}

// Piece is the body of a checkpoint record: a part of one encoded snapshot.
type Piece struct {
	// Set names the checkpoint that the piece belongs to.
	Set   string `json:"set"`
	Part  int    `json:"part"`
	Parts int    `json:"parts"`
	Next  int64  `json:"next"`
	// Digest is the SHA-256 of the whole encoded snapshot, in hex.
	Digest string `json:"digest"`
	Data   []byte `json:"data"`
}

const (
	// pieceBytes bounds the data of one piece.
	pieceBytes = 192 << 10
	// maxPieces bounds a checkpoint.
	maxPieces = 1024
	// maxSnapshotBytes bounds a snapshot when it is unpacked.
	maxSnapshotBytes = 256 << 20
)

// Snapshot returns the state of all tables.
func (s *State) Snapshot() (Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Snapshot{
		Next:     s.next,
		Tables:   map[string]json.RawMessage{},
		Unfolded: slices.Sorted(maps.Keys(s.unfolded)),
	}
	for name, t := range s.tables {
		raw, err := t.Export()
		if err != nil {
			return Snapshot{}, errors.Wrap(err, name)
		}
		out.Tables[name] = raw
	}
	return out, nil
}

// Usable returns nil when Restore would take the snapshot over; ErrOlder when
// the state has folded more, ErrIncomplete when the snapshot lacks records that
// this process knows.
func (s *State) Usable(snap Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usable(snap)
}

func (s *State) usable(snap Snapshot) error {
	if snap.Next < s.next {
		return errors.Wrapf(ErrOlder, "covers up to %d, state is at %d", snap.Next, s.next)
	}
	for _, name := range snap.Unfolded {
		if s.hasRule(name) {
			return errors.Wrap(ErrIncomplete, name)
		}
	}
	for name := range s.tables {
		if _, ok := snap.Tables[name]; !ok {
			return errors.Wrap(ErrIncomplete, name)
		}
	}
	return nil
}

func (s *State) hasRule(name string) bool {
	for kind := range s.kinds {
		for version := 1; version <= record.Version; version++ {
			if name == ruleName(kind, version) {
				return true
			}
		}
	}
	_, ok := s.tables[name]
	return ok
}

// Restore takes over a snapshot that is Usable. A table that this process does
// not have counts as skipped.
func (s *State) Restore(snap Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.usable(snap); err != nil {
		return err
	}
	for _, name := range snap.Unfolded {
		s.skip(name)
	}
	for name, raw := range snap.Tables {
		t, ok := s.tables[name]
		if !ok {
			s.skip(name)
			continue
		}
		if err := t.Import(raw); err != nil {
			return errors.Wrap(err, name)
		}
	}
	s.next = snap.Next
	return nil
}

// Digest returns the SHA-256 of the snapshot in hex. Equal states have equal
// digests.
func (s Snapshot) Digest() (string, error) {
	raw, err := json.Marshal(s)
	if err != nil {
		return "", errors.Wrap(err, "encode snapshot")
	}
	return hexSum(raw), nil
}

func hexSum(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// Pieces packs the snapshot into checkpoint records.
func (s Snapshot) Pieces(source string) ([]record.Envelope, error) {
	packed, err := s.pack()
	if err != nil {
		return nil, err
	}
	piece := Piece{Set: record.NewID(), Parts: (len(packed) + pieceBytes - 1) / pieceBytes, Next: s.Next, Digest: hexSum(packed)}
	if piece.Parts > maxPieces {
		return nil, errors.Errorf("checkpoint of %d bytes is too large", len(packed))
	}
	out := make([]record.Envelope, 0, piece.Parts)
	for ; piece.Part < piece.Parts; piece.Part++ {
		from := piece.Part * pieceBytes
		piece.Data = packed[from:min(from+pieceBytes, len(packed))]
		e, err := record.New(record.KindCheckpoint, source, piece)
		if err != nil {
			return nil, err
		}
		out = append(out, e)
	}
	return out, nil
}

func (s Snapshot) pack() ([]byte, error) {
	raw, err := json.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	var buf bytes.Buffer
	zip := gzip.NewWriter(&buf)
	_, _ = zip.Write(raw) // a buffer takes all
	err = zip.Close()
	return buf.Bytes(), errors.Wrap(err, "pack snapshot")
}

// Assembler puts the pieces of checkpoints together. The zero value is ready.
type Assembler struct{ parts assembly }

// Add adds one checkpoint record; it returns a snapshot once a set is whole,
// ErrDigest if that fails its check.
func (a *Assembler) Add(e record.Envelope) (*Snapshot, error) {
	packed, err := a.parts.add(e)
	if err != nil || packed == nil {
		return nil, err
	}
	return unpack(packed)
}

// assembly holds the pieces of the set seen last.
type assembly struct {
	head   Piece
	pieces map[int][]byte
}

// add returns the packed snapshot when the set is whole.
func (a *assembly) add(e record.Envelope) ([]byte, error) {
	var p Piece
	if err := json.Unmarshal(e.Body, &p); err != nil {
		return nil, errors.Wrap(record.ErrMalformed, err.Error())
	}
	if p.Parts < 1 || p.Parts > maxPieces || p.Part < 0 || p.Part >= p.Parts {
		return nil, errors.Wrap(record.ErrMalformed, "checkpoint piece out of range")
	}
	if a.head.Set != p.Set || a.pieces == nil {
		a.head, a.pieces = p, map[int][]byte{}
	}
	a.pieces[p.Part] = p.Data
	if len(a.pieces) < a.head.Parts {
		return nil, nil
	}
	var packed []byte
	for i := range a.head.Parts {
		packed = append(packed, a.pieces[i]...)
	}
	a.pieces = nil
	if hexSum(packed) != a.head.Digest {
		return nil, ErrDigest
	}
	return packed, nil
}

func unpack(packed []byte) (*Snapshot, error) {
	zip, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(ErrDigest, err.Error())
	}
	raw, err := io.ReadAll(io.LimitReader(zip, maxSnapshotBytes))
	if err != nil {
		return nil, errors.Wrap(ErrDigest, err.Error())
	}
	var snap Snapshot
	if err := json.Unmarshal(raw, &snap); err != nil {
		return nil, errors.Wrap(ErrDigest, err.Error())
	}
	return &snap, nil
}

// notePiece keeps account of whole checkpoints that come by; the caller holds
// the lock.
func (s *State) notePiece(pos record.Position, e record.Envelope) error {
	packed, err := s.parts.add(e)
	if err != nil || packed == nil {
		return err
	}
	s.latest = Checkpoint{Offset: pos.Offset, Next: s.parts.head.Next}
	return nil
}

// Latest returns the newest whole checkpoint that came by; its Offset is 0
// when there was none.
func (s *State) Latest() Checkpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest
}
