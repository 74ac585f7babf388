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

// Snapshot is an encoded copy of all tables of a State.
type Snapshot struct {
	// Next is the first offset that the snapshot does not cover.
	Next   int64                      `json:"next"`
	Tables map[string]json.RawMessage `json:"tables"`
	// Unsupported holds the sorted names of the rules and tables that the writer
	// did not have; the snapshot lacks the effect of the records for them.
	Unsupported []string `json:"unfolded,omitempty"`
}

// Piece is the body of a checkpoint record: one part of an encoded snapshot.
type Piece struct {
	// Set identifies the checkpoint that the piece belongs to.
	Set   string `json:"set"`
	Part  int    `json:"part"`
	Parts int    `json:"parts"`
	Next  int64  `json:"next"`
	// Digest is the SHA-256 of the complete compressed snapshot, in hex.
	Digest string `json:"digest"`
	Data   []byte `json:"data"`
}

const (
	// maxPieceBytes bounds the data of one piece.
	maxPieceBytes = 192 << 10
	// maxPieces bounds the pieces of one checkpoint.
	maxPieces = 1024
	// maxSnapshotBytes bounds a snapshot after decompression.
	maxSnapshotBytes = 256 << 20
)

// Snapshot returns a copy of the state of all tables.
func (s *State) Snapshot() (Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Snapshot{
		Next:        s.next,
		Tables:      map[string]json.RawMessage{},
		Unsupported: slices.Sorted(maps.Keys(s.unsupported)),
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

// CheckSnapshot returns nil if Restore would accept the snapshot, ErrOlder if the
// state has folded more records, or ErrIncomplete if the snapshot lacks records
// that this process supports.
func (s *State) CheckSnapshot(snap Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checkSnapshot(snap)
}

func (s *State) checkSnapshot(snap Snapshot) error {
	if snap.Next < s.next {
		return errors.Wrapf(ErrOlder, "snapshot ends before offset %d, state is at %d", snap.Next, s.next)
	}
	for _, name := range snap.Unsupported {
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

// Restore replaces the state by a snapshot. It returns the error of CheckSnapshot if
// there is one. A table that this process does not have counts as skipped.
func (s *State) Restore(snap Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkSnapshot(snap); err != nil {
		return err
	}
	for _, name := range snap.Unsupported {
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

// Digest returns the SHA-256 of the snapshot as JSON, in hex. Equal states have
// equal digests.
func (s Snapshot) Digest() (string, error) {
	raw, err := json.Marshal(s)
	if err != nil {
		return "", errors.Wrap(err, "encode snapshot")
	}
	return sha256Hex(raw), nil
}

func sha256Hex(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// Pieces encodes the snapshot as checkpoint records.
func (s Snapshot) Pieces(source string) ([]record.Envelope, error) {
	encoded, err := s.encode()
	if err != nil {
		return nil, err
	}
	piece := Piece{Set: record.NewID(), Parts: (len(encoded) + maxPieceBytes - 1) / maxPieceBytes, Next: s.Next, Digest: sha256Hex(encoded)}
	if piece.Parts > maxPieces {
		return nil, errors.Errorf("checkpoint of %d bytes is too large", len(encoded))
	}
	out := make([]record.Envelope, 0, piece.Parts)
	for ; piece.Part < piece.Parts; piece.Part++ {
		start := piece.Part * maxPieceBytes
		piece.Data = encoded[start:min(start+maxPieceBytes, len(encoded))]
		e, err := record.New(record.KindCheckpoint, source, piece)
		if err != nil {
			return nil, err
		}
		out = append(out, e)
	}
	return out, nil
}

func (s Snapshot) encode() ([]byte, error) {
	raw, err := json.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	var buf bytes.Buffer
	gz := gzip.NewWriter(&buf)
	_, _ = gz.Write(raw) // a bytes.Buffer returns no error
	err = gz.Close()
	return buf.Bytes(), errors.Wrap(err, "pack snapshot")
}

// Assembler reassembles snapshots from checkpoint pieces. The zero value is ready
// for use.
type Assembler struct{ pieces pieceSet }

// Add adds one checkpoint record. It returns the snapshot once all pieces of a set
// are present, or ErrDigest if they do not match the digest or cannot be decoded.
func (a *Assembler) Add(e record.Envelope) (*Snapshot, error) {
	encoded, err := a.pieces.add(e)
	if err != nil || encoded == nil {
		return nil, err
	}
	return decode(encoded)
}

// pieceSet holds the pieces of the checkpoint that was read last. A piece of
// another set replaces them.
type pieceSet struct {
	first  Piece
	pieces map[int][]byte
}

// add returns the encoded snapshot once the set is complete, otherwise nil.
func (s *pieceSet) add(e record.Envelope) ([]byte, error) {
	var p Piece
	if err := json.Unmarshal(e.Body, &p); err != nil {
		return nil, errors.Wrap(record.ErrMalformed, err.Error())
	}
	if p.Parts < 1 || p.Parts > maxPieces || p.Part < 0 || p.Part >= p.Parts {
		return nil, errors.Wrap(record.ErrMalformed, "checkpoint piece number is out of range")
	}
	if s.first.Set != p.Set || s.pieces == nil {
		s.first, s.pieces = p, map[int][]byte{}
	}
	s.pieces[p.Part] = p.Data
	if len(s.pieces) < s.first.Parts {
		return nil, nil
	}
	var encoded []byte
	for i := range s.first.Parts {
		encoded = append(encoded, s.pieces[i]...)
	}
	s.pieces = nil
	if sha256Hex(encoded) != s.first.Digest {
		return nil, ErrDigest
	}
	return encoded, nil
}

func decode(encoded []byte) (*Snapshot, error) {
	gz, err := gzip.NewReader(bytes.NewReader(encoded))
	if err != nil {
		return nil, errors.Wrap(ErrDigest, err.Error())
	}
	raw, err := io.ReadAll(io.LimitReader(gz, maxSnapshotBytes))
	if err != nil {
		return nil, errors.Wrap(ErrDigest, err.Error())
	}
	var snap Snapshot
	if err := json.Unmarshal(raw, &snap); err != nil {
		return nil, errors.Wrap(ErrDigest, err.Error())
	}
	return &snap, nil
}

// recordPiece adds a checkpoint record and updates latest when it completes a
// checkpoint. The caller must hold the lock.
func (s *State) recordPiece(pos record.Position, e record.Envelope) error {
	encoded, err := s.pieces.add(e)
	if err != nil || encoded == nil {
		return err
	}
	s.latest = Checkpoint{Offset: pos.Offset, Next: s.pieces.first.Next}
	return nil
}

// LatestCheckpoint returns the last complete checkpoint in the folded log; its Offset is
// 0 if there was none.
func (s *State) LatestCheckpoint() Checkpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest
}
