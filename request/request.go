// Package request defines the request that a node has accepted and its id.
package request

import (
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
)

// ErrBadID is returned for text that is no request id.
var ErrBadID = errors.New("malformed request id")

// ID names one accepted request: 128 random bits. Only the workspace that
// sent the request may attach to it.
type ID [16]byte

// NewID returns a fresh id.
func NewID() ID {
	var id ID
	_, _ = rand.Read(id[:]) // never fails; see crypto/rand
	return id
}

// String returns the id in hex.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// MarshalText writes the id in hex.
func (id ID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// UnmarshalText reads the id from hex; ErrBadID.
func (id *ID) UnmarshalText(text []byte) error {
	parsed, err := ParseID(string(text))
	*id = parsed
	return err
}

// ParseID reads an id from hex; ErrBadID.
func ParseID(text string) (ID, error) {
	var id ID
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(id) {
		return id, errors.Wrapf(ErrBadID, "%.40q", text)
	}
	copy(id[:], raw)
	return id, nil
}

// Kind tells which path a request takes.
type Kind string

// Kinds of requests.
const (
	// KindGenerate goes to a model engine.
	KindGenerate Kind = "generate"
	// KindCall goes to a plain service.
	KindCall Kind = "call"
)

// Request is one accepted request. It is not changed after acceptance.
type Request struct {
	ID        ID     `json:"id"`
	Kind      Kind   `json:"kind"`
	Service   string `json:"service"`
	Workspace string `json:"workspace"`
	// Priority comes from the service document; higher goes first.
	Priority int       `json:"priority"`
	Arrived  time.Time `json:"arrived"`
	Deadline time.Time `json:"deadline"`
	Body     []byte    `json:"body"`

	// API, Model, Stream, PromptTokens, MaxTokens and Blocks are set on
	// KindGenerate.
	API    port.GenerateAPI `json:"api,omitempty"`
	Model  string           `json:"model,omitempty"`
	Stream bool             `json:"stream,omitempty"`
	// PromptTokens is estimated from the prompt's length.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	MaxTokens    int `json:"max_tokens,omitempty"`
	// Blocks are the chained prefix block hashes of the prompt.
	Blocks []uint64 `json:"blocks,omitempty"`

	// Method, Path, ContentType, Repeatable and IdempotencyKey are set on
	// KindCall.
	Method      string `json:"method,omitempty"`
	Path        string `json:"path,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	// Repeatable calls may be sent again after an unknown end.
	Repeatable     bool   `json:"repeatable,omitempty"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`

	// Fingerprint is the hash of service, workspace and body, by which a
	// request that kills endpoints is known again.
	Fingerprint uint64 `json:"fingerprint"`
}
