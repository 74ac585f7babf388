// Package record defines the envelope of every record that a node appends to the
// platform's log, and the kinds of records.
//
// Invariant: a retried append reuses the record's ID, so that a reader applies the
// record once even if the log contains it several times.
package record

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"

	"github.com/pkg/errors"
)

// ErrMalformed is returned for data that is not a valid envelope.
var ErrMalformed = errors.New("malformed log record")

// Kind is the type of a record's body.
type Kind string

// Kinds of records.
const (
	KindDocument   Kind = "document"
	KindCheckpoint Kind = "checkpoint"
	KindClaim      Kind = "claim"
	KindOutcome    Kind = "outcome"
	KindAbandon    Kind = "abandon"
	KindLease      Kind = "lease"
	KindQuarantine Kind = "quarantine"
	KindCapacity   Kind = "capacity"
	// KindBatch holds several envelopes, appended as one log record.
	KindBatch Kind = "batch"
)

// Version is the version of the body formats that this code writes.
const Version = 1

// Position is the position of an envelope in the log: the offset of the log record and
// the index within a batch.
type Position struct {
	Offset int64 `json:"offset"`
	Index  int   `json:"index"`
}

// Before reports whether p precedes q in the log.
func (p Position) Before(q Position) bool {
	if p.Offset != q.Offset {
		return p.Offset < q.Offset
	}
	return p.Index < q.Index
}

// Envelope wraps every record. Readers skip kinds and versions that they do not
// support.
type Envelope struct {
	// ID is 128 random bits in hex; retried appends keep it.
	ID      string `json:"id"`
	Kind    Kind   `json:"kind"`
	Version int    `json:"version"`
	// Source is the host that wrote the record.
	Source string `json:"source"`
	// At is when the writer appended the record, by its own clock, in milliseconds
	// since 1970. Readers must not rely on the clock of a single writer.
	At   int64           `json:"at,omitempty"`
	Body json.RawMessage `json:"body"`
}

// Known reports whether this code can apply records of a kind and version. Readers skip
// and count other records.
func Known(kind Kind, version int) bool { return version == Version && kind != "" }

// NewID returns 128 random bits in hex.
func NewID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error
	return hex.EncodeToString(b[:])
}

// New wraps body in an envelope with a new ID.
func New(kind Kind, source string, body any) (Envelope, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return Envelope{}, errors.Wrapf(err, "encode %s body", kind)
	}
	return Envelope{ID: NewID(), Kind: kind, Version: Version, Source: source, Body: raw}, nil
}

// NewBatch wraps several envelopes in one that is appended as one log record.
func NewBatch(source string, envelopes []Envelope) (Envelope, error) {
	return New(KindBatch, source, envelopes)
}

// Encode returns the bytes to append to the log.
func (e Envelope) Encode() ([]byte, error) {
	data, err := json.Marshal(e)
	return data, errors.Wrap(err, "encode envelope")
}

// Decode parses one log record into its envelopes: the one, or those of a batch.
func Decode(data []byte) ([]Envelope, error) {
	var e Envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	if e.ID == "" || e.Kind == "" {
		return nil, errors.Wrap(ErrMalformed, "id or kind missing")
	}
	if e.Kind != KindBatch {
		return []Envelope{e}, nil
	}
	var inner []Envelope
	if err := json.Unmarshal(e.Body, &inner); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	return inner, nil
}
