package port

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Errors that engines and plain services return.
var (
	// ErrEndpointUnreachable means that no connection could be opened: no
	// byte of the request was sent.
	ErrEndpointUnreachable = errors.New("endpoint unreachable")
	// ErrEndpointBroken means that the connection ended or failed after the
	// request may have been sent.
	ErrEndpointBroken = errors.New("endpoint connection broken")
	// ErrEndpointRefused means that the endpoint answered that it accepts no new
	// requests. Only ErrDeclined states that this attempt did not run.
	ErrEndpointRefused = errors.New("endpoint refused the request")
	// ErrDeclined means that the endpoint stated, in its response to this attempt,
	// that it did not run the attempt. It wraps ErrEndpointRefused.
	ErrDeclined = fmt.Errorf("%w and did not run it", ErrEndpointRefused)
	// ErrRequestInvalid means that the endpoint rejected the request as invalid, so
	// that a retry on another endpoint cannot succeed.
	ErrRequestInvalid = errors.New("endpoint rejected the request as invalid")
	// ErrStaleFencingToken means that the endpoint has seen a higher fencing token.
	ErrStaleFencingToken = errors.New("stale fencing token")
	// ErrKVTransfer means that a KV cache export or import failed.
	ErrKVTransfer = errors.New("KV cache transfer failed")
)

// GenerateAPI is the OpenAI-compatible API that a request uses.
type GenerateAPI string

// APIs of engines.
const (
	APIChat       GenerateAPI = "chat"
	APICompletion GenerateAPI = "completion"
)

// GenerateRequest is one attempt of a request at a model engine.
type GenerateRequest struct {
	// AttemptID is echoed on each chunk.
	AttemptID string
	API       GenerateAPI
	// Body is the caller's JSON body.
	Body     []byte
	Priority int
	// ResumeIndex is the index of the first chunk to return. ResumeText is the text of
	// the chunks before it.
	ResumeIndex int
	ResumeText  string
	// KVHandle names an imported KV cache to resume from; empty for none.
	KVHandle string
	// Deadline ends the attempt; zero for none.
	Deadline time.Time
	// OnSend is called when a connection is open, immediately before the first byte
	// of the attempt may be sent on it; it may be nil.
	OnSend func()
}

// Usage counts the tokens of one attempt.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	// CachedTokens is the part of PromptTokens that came from the prefix cache.
	CachedTokens int `json:"cached_tokens"`
}

// Chunk is one part of a streamed response.
type Chunk struct {
	AttemptID string
	// Index counts from 0 over the complete response, across attempts.
	Index int
	Text  string
	// FinishReason is set on the last chunk only. A stream that ends without one is
	// truncated.
	FinishReason string
	// Usage is set on the last chunk.
	Usage *Usage
}

// Stream is the streamed response to one attempt.
type Stream interface {
	// Recv returns the next chunk. After the chunk with a FinishReason it
	// returns io.EOF; a stream that ends earlier returns ErrEndpointBroken.
	Recv() (Chunk, error)
	// Close ends the stream. If the response was not read to its end, the connection
	// is closed and never reused.
	Close() error
}

// LoadReport is the load of an engine or service as it last reported it. It lags.
type LoadReport struct {
	// At is the time at which the endpoint measured its load.
	At      time.Time `json:"at"`
	Running int       `json:"running"`
	Waiting int       `json:"waiting"`
	// WaitingTokens is the number of prompt tokens queued for prefill.
	WaitingTokens int `json:"waiting_tokens"`
	KVTokensUsed  int `json:"kv_tokens_used"`
	KVTokensLimit int `json:"kv_tokens_limit"`
	// MaxRunning is the maximum number of requests that the endpoint runs at once.
	MaxRunning int `json:"max_running"`
	// Incarnation changes when the endpoint's process restarts.
	Incarnation string   `json:"incarnation"`
	Models      []string `json:"models"`
	// Versions maps a model to its version, if the endpoint reports it.
	Versions map[string]string `json:"versions,omitempty"`
}

// CacheEventKind is the kind of a change in an engine's prefix cache.
type CacheEventKind string

// Kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheRemoved CacheEventKind = "removed"
	CacheCleared CacheEventKind = "cleared"
)

// CacheEvent reports blocks that were stored in or removed from an engine's prefix
// cache. Events arrive late and with gaps in Sequence.
type CacheEvent struct {
	Sequence int64          `json:"sequence"`
	Kind     CacheEventKind `json:"kind"`
	// Model is the model and version that the cached blocks belong to.
	Model string `json:"model"`
	// Blocks are chained prefix block hashes; see package prefix.
	Blocks []uint64 `json:"blocks,omitempty"`
}

// CommandKind is what a command to an endpoint changes.
type CommandKind string

// Kinds of commands.
const (
	CommandLoad    CommandKind = "load"
	CommandUnload  CommandKind = "unload"
	CommandVersion CommandKind = "version"
	CommandRole    CommandKind = "role"
)

// Command is a command to an endpoint. Commands are idempotent: they state the target
// state.
type Command struct {
	Kind     CommandKind `json:"kind"`
	Model    string      `json:"model,omitempty"`
	Version  string      `json:"version,omitempty"`
	Adapters []string    `json:"adapters,omitempty"`
	Role     string      `json:"role,omitempty"`
	// FencingToken is the fencing token of the lease under which the command is sent.
	FencingToken int64 `json:"fence"`
}

// KVExport describes an exported KV cache.
type KVExport struct {
	Handle string `json:"handle"`
	// Tokens is the number of tokens that the cache covers.
	Tokens int `json:"tokens"`
	// Bytes is the size of the transfer.
	Bytes int64 `json:"bytes"`
}

// Engine calls model engines. address is the ip:port of the endpoint.
type Engine interface {
	// Generate opens a stream. ErrEndpointUnreachable and ErrDeclined guarantee that
	// the attempt did not run. With ErrEndpointUnreachable, Sending was not called.
	Generate(ctx context.Context, address string, req GenerateRequest) (Stream, error)
	// Cancel stops an attempt. It is idempotent.
	Cancel(ctx context.Context, address, attemptID string) error
	// Probe checks on a new connection whether the endpoint answers.
	Probe(ctx context.Context, address string) error
	Load(ctx context.Context, address string) (LoadReport, error)
	// CacheEvents returns the events with a sequence number above after.
	CacheEvents(ctx context.Context, address string, after int64) ([]CacheEvent, error)
	// SendCommand sends a command. Endpoints that check the fencing token return
	// ErrStaleFencingToken.
	SendCommand(ctx context.Context, address string, command Command) error
	// ExportKV stops the attempt and exports its KV cache.
	ExportKV(ctx context.Context, address, attemptID string) (KVExport, error)
	// ImportKV makes the endpoint at address fetch an exported KV cache from source.
	ImportKV(ctx context.Context, address, source string, export KVExport) error
}

// ServiceRequest is one attempt of a request to a plain service.
type ServiceRequest struct {
	AttemptID   string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// IdempotencyKey is forwarded to endpoints that support such keys.
	IdempotencyKey string
	Deadline       time.Time
	// NonIdempotent is set for non-idempotent requests. They are sent on a connection of
	// their own, so that the transport cannot send them again.
	NonIdempotent bool
	// OnSend is called when a connection is open, immediately before the first byte
	// of the attempt may be sent on it; it may be nil.
	OnSend func()
}

// ServiceResponse is the complete response of a plain service.
type ServiceResponse struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// ServiceCaller calls plain services. address is the ip:port of the endpoint.
type ServiceCaller interface {
	// Call sends the request. ErrEndpointUnreachable and ErrDeclined guarantee that
	// it did not run; after any other error it may have run. A response that does
	// not echo the attempt id is an ErrEndpointBroken.
	Call(ctx context.Context, address string, req ServiceRequest) (ServiceResponse, error)
	Probe(ctx context.Context, address string) error
	Load(ctx context.Context, address string) (LoadReport, error)
}
