// Package request defines an accepted request and its id, and parses prompts.
package request

import (
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
)

// ErrBadID is returned for a malformed request id.
var ErrBadID = errors.New("malformed request id")

// ID identifies one accepted request with 128 random bits. Only the workspace that sent
// the request may attach to it.
type ID [16]byte

// NewID returns a new random id.
func NewID() ID {
	var id ID
	_, _ = rand.Read(id[:]) // never fails; see crypto/rand
	return id
}

// String returns the id as hexadecimal text.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// MarshalText implements encoding.TextMarshaler; the text is hexadecimal.
func (id ID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns ErrBadID for malformed
// text.
func (id *ID) UnmarshalText(text []byte) error {
	parsed, err := ParseID(string(text))
	*id = parsed
	return err
}

// ParseID parses a hexadecimal id. It returns ErrBadID for malformed text.
func ParseID(text string) (ID, error) {
	var id ID
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(id) {
		return id, errors.Wrapf(ErrBadID, "%.40q", text)
	}
	copy(id[:], raw)
	return id, nil
}

// Kind says how a request is processed.
type Kind string

// Kinds of requests.
const (
	// KindGenerate requests run on an inference engine.
	KindGenerate Kind = "generate"
	// KindCall requests run on a service without inference engines.
	KindCall Kind = "call"
)

// Request is one accepted request. It must not be modified after acceptance.
type Request struct {
	ID        ID     `json:"id"`
	Kind      Kind   `json:"kind"`
	Service   string `json:"service"`
	Workspace string `json:"workspace"`
	// Priority is set in the service document; higher values are served first.
	Priority int       `json:"priority"`
	Arrived  time.Time `json:"arrived"`
	Deadline time.Time `json:"deadline"`
	Body     []byte    `json:"body"`

	// API, Model, Stream, PromptTokens, MaxTokens and Blocks are set on
	// KindGenerate.
	API    port.GenerateAPI `json:"api,omitempty"`
	Model  string           `json:"model,omitempty"`
	Stream bool             `json:"stream,omitempty"`
	// PromptTokens is an estimate based on the length of the prompt.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	MaxTokens    int `json:"max_tokens,omitempty"`
	// Blocks are the chained prefix block hashes of the prompt.
	Blocks []uint64 `json:"blocks,omitempty"`
	// Parts are the keys of the messages of the prompt but the last, sorted; see quarantine.PartKeys.
	Parts []uint64 `json:"parts,omitempty"`

	// Method, Path, ContentType, Repeatable and IdempotencyKey are set on
	// KindCall.
	Method      string `json:"method,omitempty"`
	Path        string `json:"path,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	// Repeatable calls may run again after an attempt whose outcome is unknown.
	Repeatable     bool   `json:"repeatable,omitempty"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`

	// Fingerprint is a hash of service, workspace and body. It identifies further
	// requests like one that made endpoints crash.
	Fingerprint uint64 `json:"fingerprint"`
}
