// Package claim decides who may dispatch a request that must run at most
// once. A claim is a record in the platform's log; the first claim on a key in
// log order owns it, and only its owner dispatches, once.
//
// Invariants: a key has at most one owner until it is forgotten; an outcome is
// accepted only for the owner's claim; a claim that was abandoned never owns
// its key, however often and however late its record lands.
//
// Memory: see Limits. Time: see logClock; no reader's clock has a part in a
// verdict.
package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

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

// Sum is a key's hash: the first 128 bits of the SHA-256 of its parts. Tables
// hold sums in place of keys.
type Sum [16]byte

// Sum returns the key's hash.
func (k Key) Sum() Sum {
	h := sha256.New()
	for _, part := range []string{k.Service, k.Workspace, k.Key} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:]) // never fails; see hash.Hash
		_, _ = h.Write([]byte(part))
	}
	return Sum(h.Sum(nil)[:len(Sum{})])
}

// MarshalText writes the sum in hex.
func (s Sum) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(s[:])), nil }

// UnmarshalText reads the sum from hex; ErrMalformed.
func (s *Sum) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != len(s) {
		return errors.Wrap(ErrMalformed, "key sum")
	}
	copy(s[:], raw)
	return nil
}

// Claim is the body of a claim record. The record's id names the claim.
type Claim struct {
	Key
	// Digest is the hash of what the request asks for; another digest under
	// the same key is a conflict.
	Digest uint64 `json:"digest"`
	// Owner is the host that claims, Incarnation its process.
	Owner       string `json:"owner"`
	Incarnation string `json:"incarnation,omitempty"`
	// Window is how long the outcome is kept, in milliseconds.
	Window int64 `json:"window_ms,omitempty"`
}

// Outcome is the body of an outcome record.
type Outcome struct {
	Key
	// ClaimID is the record id of the owning claim.
	ClaimID string `json:"claim_id"`
	// Response is the endpoint's answer; its body is left out when Dropped.
	Response port.ServiceResponse `json:"response"`
	// Dropped is set when the answer was too large to keep.
	Dropped bool `json:"dropped,omitempty"`
}

// Abandon is the body of a record by which an owner gives its claim up. The
// owner writes it only if it has dispatched nothing and never will.
type Abandon struct {
	Key
	ClaimID string `json:"claim_id"`
}

// Limits of what is kept.
const (
	// MaxAnswer bounds the body of an answer that is kept, in bytes.
	MaxAnswer = 64 << 10
	// MaxAnswers bounds the bodies of all answers kept, in bytes; the oldest
	// outcome loses its body first.
	MaxAnswers = 8 << 20
	// MaxKeys bounds the keys that are remembered. A claim beyond it is
	// refused: forgetting a key early could let an order run twice.
	MaxKeys = 1 << 16
	// DefaultWindow, MinWindow and MaxWindow bound how long an outcome is kept.
	DefaultWindow = 24 * time.Hour
	MinWindow     = time.Minute
	MaxWindow     = 7 * 24 * time.Hour
	// keyWindows is how many windows a key itself is remembered for.
	keyWindows = 2
)

// NewOutcome returns the outcome of a claim with the answer cut to what is
// kept.
func NewOutcome(key Key, claimID string, resp port.ServiceResponse) Outcome {
	o := Outcome{Key: key, ClaimID: claimID, Response: resp}
	if len(resp.Body) > MaxAnswer {
		o.Response.Body, o.Dropped = nil, true
	}
	return o
}

// Entry is what the table knows of one key.
type Entry struct {
	ClaimID     string          `json:"claim_id"`
	Digest      uint64          `json:"digest"`
	Owner       string          `json:"owner"`
	Incarnation string          `json:"incarnation,omitempty"`
	At          record.Position `json:"at"`
	// Done is set once the outcome is known, at DoneAt.
	Done   bool            `json:"done,omitempty"`
	DoneAt record.Position `json:"done_at"`
	// Response is the outcome; nil while it is not known and after its body
	// was dropped.
	Response *port.ServiceResponse `json:"response,omitempty"`
	// Expires is the log time at which Response is dropped, Forget that at
	// which the key is forgotten, in milliseconds since 1970.
	Expires int64 `json:"expires"`
	Forget  int64 `json:"forget"`
}

// Step says what the holder of a request under a key does next.
type Step string

// Steps.
const (
	// StepClaim: nobody owns the key; claim it.
	StepClaim Step = "claim"
	// StepDispatch: the claim of the asker owns the key and may be dispatched.
	StepDispatch Step = "dispatch"
	// StepWait: another claim owns the key and its outcome is not known.
	StepWait Step = "wait"
	// StepReplay: the outcome is known; pass it on.
	StepReplay Step = "replay"
	// StepConflict: the key belongs to another request.
	StepConflict Step = "conflict"
	// StepNotKept: the order ran, but its answer is not kept.
	StepNotKept Step = "not-kept"
)

// Decide says what to do about a request with that digest whose own claim, if
// any, is mine.
func Decide(e Entry, known bool, digest uint64, mine string) Step {
	switch {
	case !known:
		return StepClaim
	case e.Digest != digest:
		return StepConflict
	case e.Response != nil:
		return StepReplay
	case e.Done:
		return StepNotKept
	case e.ClaimID == mine && mine != "":
		return StepDispatch
	}
	return StepWait
}

// Hold is an owner's leave to dispatch. It ends by the owner's own clock, so
// that a process that was paused dispatches nothing when it goes on.
type Hold struct {
	ClaimID string
	// Began is when the claim was known to be in the log.
	Began time.Time
	// Limit is how long after Began the owner may still dispatch.
	Limit time.Duration
	// Deadline is that of the request.
	Deadline time.Time
}

// MayDispatch reports whether the owner may send at this time. It is asked
// again right before the first byte goes out. The deadline is checked by the
// wall clock too, which goes on while a machine is suspended.
func (h Hold) MayDispatch(now time.Time) bool {
	late := !now.Before(h.Deadline) || !now.Round(0).Before(h.Deadline.Round(0))
	return now.Sub(h.Began) < h.Limit && !late
}
