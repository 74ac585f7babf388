// Package claim decides which host may dispatch a non-idempotent request. A
// claim is a record in the platform's log. The first claim on a key in log
// order owns the key, and only its owner dispatches the request, once.
//
// Invariants: a key has at most one owner until it is removed; an outcome is
// accepted only for the owner's claim; an abandoned claim never owns its key,
// however often and however late its record is appended.
//
// Memory is bounded by MaxKeys and MaxTotalAnswerBytes. Expiry follows
// logClock; no decision depends on the clock of a reader.
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

// Key identifies one non-idempotent request.
type Key struct {
	Service   string `json:"service"`
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
}

// Sum is the hash of a key: the first 128 bits of the SHA-256 of its parts, each
// preceded by its length. Tables are indexed by sums, not by keys.
type Sum [16]byte

// Sum returns the hash of the key.
func (k Key) Sum() Sum {
	h := sha256.New()
	for _, part := range []string{k.Service, k.Workspace, k.Key} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:]) // hash.Hash never returns an error
		_, _ = h.Write([]byte(part))
	}
	return Sum(h.Sum(nil)[:len(Sum{})])
}

// MarshalText encodes the sum in hex.
func (s Sum) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(s[:])), nil }

// UnmarshalText decodes a sum from hex. It returns ErrMalformed for other text.
func (s *Sum) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != len(s) {
		return errors.Wrap(ErrMalformed, "key sum is not 16 bytes in hex")
	}
	copy(s[:], raw)
	return nil
}

// Claim is the body of a claim record. The record's id identifies the claim.
type Claim struct {
	Key
	// Digest is the hash of the request's content; another digest under the
	// same key is a conflict.
	Digest uint64 `json:"digest"`
	// Owner is the host that makes the claim, Incarnation its process.
	Owner       string `json:"owner"`
	Incarnation string `json:"incarnation,omitempty"`
	// WindowMillis is how long the outcome is retained, in milliseconds; zero for
	// DefaultWindow.
	WindowMillis int64 `json:"window_ms,omitempty"`
}

// Outcome is the body of an outcome record.
type Outcome struct {
	Key
	// ClaimID is the record id of the owning claim.
	ClaimID string `json:"claim_id"`
	// Response is the endpoint's answer; its body is omitted if Dropped is set.
	Response port.ServiceResponse `json:"response"`
	// Dropped is set if the body was larger than MaxAnswerBytes.
	Dropped bool `json:"dropped,omitempty"`
}

// Abandon is the body of a record that abandons a claim. The claiming host writes
// it only if it has not dispatched the request and never will.
type Abandon struct {
	Key
	ClaimID string `json:"claim_id"`
}

// Limits of what a table retains, and for how long.
const (
	// MaxAnswerBytes bounds the body of one retained answer.
	MaxAnswerBytes = 64 << 10
	// MaxTotalAnswerBytes bounds the bodies of all retained answers. The answer
	// of the oldest outcome is evicted first.
	MaxTotalAnswerBytes = 8 << 20
	// MaxKeys bounds the retained keys. Claims beyond it are refused: removing
	// a key early could let a non-idempotent request run twice.
	MaxKeys = 1 << 16
	// DefaultWindow, MinWindow and MaxWindow set how long an outcome is retained.
	DefaultWindow = 24 * time.Hour
	MinWindow     = time.Minute
	MaxWindow     = 7 * 24 * time.Hour
	// keyRetentionWindows is how long the key itself is retained, in windows.
	keyRetentionWindows = 2
)

// NewOutcome returns the outcome of a claim, without the body of the answer if
// that is larger than MaxAnswerBytes.
func NewOutcome(key Key, claimID string, resp port.ServiceResponse) Outcome {
	o := Outcome{Key: key, ClaimID: claimID, Response: resp}
	if len(resp.Body) > MaxAnswerBytes {
		o.Response.Body, o.Dropped = nil, true
	}
	return o
}

// Entry is the state of one key in the table.
type Entry struct {
	ClaimID     string `json:"claim_id"`
	Digest      uint64 `json:"digest"`
	Owner       string `json:"owner"`
	Incarnation string `json:"incarnation,omitempty"`
	// At is the position of the claim record.
	At record.Position `json:"at"`
	// Done is set once the outcome is recorded; DoneAt is the position of the
	// outcome record.
	Done   bool            `json:"done,omitempty"`
	DoneAt record.Position `json:"done_at"`
	// Response is the answer; nil before the outcome is recorded and after the
	// answer was evicted.
	Response *port.ServiceResponse `json:"response,omitempty"`
	// ResponseExpiresMillis is the log time at which Response is evicted,
	// KeyExpiresMillis the log time at which the key is removed; both in
	// milliseconds since 1970.
	ResponseExpiresMillis int64 `json:"expires"`
	KeyExpiresMillis      int64 `json:"forget"`
}

// Step is what the host that has a request under a key does next.
type Step string

// Steps.
const (
	// StepClaim means that no claim owns the key; append one.
	StepClaim Step = "claim"
	// StepDispatch means that the host's own claim owns the key; dispatch.
	StepDispatch Step = "dispatch"
	// StepWait means that another claim owns the key and has no outcome yet.
	StepWait Step = "wait"
	// StepReplay means that the outcome is recorded; return its answer.
	StepReplay Step = "replay"
	// StepConflict means that the key was claimed for a request with other content;
	// refuse the request.
	StepConflict Step = "conflict"
	// StepNotRetained means that the request ran, but its answer is not retained.
	StepNotRetained Step = "not-kept"
)

// Decide returns the next step for a request with the given digest. ownClaimID is
// the id of the claim that the host has made for it, or empty.
func Decide(e Entry, known bool, digest uint64, ownClaimID string) Step {
	switch {
	case !known:
		return StepClaim
	case e.Digest != digest:
		return StepConflict
	case e.Response != nil:
		return StepReplay
	case e.Done:
		return StepNotRetained
	case e.ClaimID == ownClaimID && ownClaimID != "":
		return StepDispatch
	}
	return StepWait
}

// Permit is an owner's time-limited permission to dispatch. It expires by the
// owner's own clock, so that a process that was paused does not dispatch when it
// resumes.
type Permit struct {
	ClaimID string
	// Began is when the owner learned that its claim is in the log.
	Began time.Time
	// DispatchTimeout is how long after Began the owner may dispatch.
	DispatchTimeout time.Duration
	// Deadline is the deadline of the request.
	Deadline time.Time
}

// MayDispatch reports whether the owner may dispatch at the given time. It must
// be called again right before the first byte is sent. The deadline is checked
// against the wall clock too, because the monotonic clock stops while a machine
// is suspended.
func (p Permit) MayDispatch(now time.Time) bool {
	late := !now.Before(p.Deadline) || !now.Round(0).Before(p.Deadline.Round(0))
	return now.Sub(p.Began) < p.DispatchTimeout && !late
}
