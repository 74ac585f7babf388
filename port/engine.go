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
	// ErrEndpointRefused means that the endpoint answered that it takes no
	// new work. Whether it says so of this very attempt is ErrDeclined.
	ErrEndpointRefused = errors.New("endpoint refused the request")
	// ErrDeclined means that the endpoint stated, in its answer to this very
	// attempt, that it did not run it. It is an ErrEndpointRefused.
	ErrDeclined = fmt.Errorf("%w and did not run it", ErrEndpointRefused)
	// ErrRequestInvalid means that the endpoint rejected the request itself;
	// repeating it elsewhere does not help.
	ErrRequestInvalid = errors.New("endpoint rejected the request as invalid")
	// ErrStaleFence means that the endpoint has seen a higher fencing number.
	ErrStaleFence = errors.New("stale fencing number")
	// ErrKVTransfer means that a KV cache export or import failed.
	ErrKVTransfer = errors.New("KV cache transfer failed")
)

// GenerateAPI tells which of the OpenAI-compatible calls a request uses.
type GenerateAPI string

// The calls that engines offer.
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
	// ResumeIndex is the index of the first chunk wanted; the chunks before
	// it carried ResumeText.
	ResumeIndex int
	ResumeText  string
	// KVHandle names an imported KV cache to go on from; empty for none.
	KVHandle string
	// Deadline ends the attempt; zero means none.
	Deadline time.Time
	// Sending is called when a connection is open, right before the first
	// byte of the attempt may go out on it; nil for nobody.
	Sending func()
}

// Usage counts the tokens of one attempt.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	// CachedTokens is how many of PromptTokens came from the prefix cache.
	CachedTokens int `json:"cached_tokens"`
}

// Chunk is one piece of a streamed answer.
type Chunk struct {
	AttemptID string
	// Index counts from 0 over the whole answer, not over the attempt.
	Index int
	Text  string
	// FinishReason is empty but on the last chunk. A stream that ends
	// without one is truncated.
	FinishReason string
	// Usage is set on the last chunk.
	Usage *Usage
}

// Stream is the answer of one attempt.
type Stream interface {
	// Recv returns the next chunk. After the chunk with a FinishReason it
	// returns io.EOF; a stream that ends earlier returns ErrEndpointBroken.
	Recv() (Chunk, error)
	// Close ends the stream. A connection with an unread answer is closed
	// and never reused.
	Close() error
}

// LoadReport is what an engine or service says about its load. It lags.
type LoadReport struct {
	// At is when the endpoint measured it.
	At      time.Time `json:"at"`
	Running int       `json:"running"`
	Waiting int       `json:"waiting"`
	// WaitingTokens is the prompt tokens queued for prefill.
	WaitingTokens int `json:"waiting_tokens"`
	KVTokensUsed  int `json:"kv_tokens_used"`
	KVTokensLimit int `json:"kv_tokens_limit"`
	// MaxRunning is how many requests the endpoint runs at once.
	MaxRunning int `json:"max_running"`
	// Incarnation changes when the endpoint's process restarts.
	Incarnation string   `json:"incarnation"`
	Models      []string `json:"models"`
	// Versions maps a model to its version, where the endpoint tells.
	Versions map[string]string `json:"versions,omitempty"`
}

// CacheEventKind tells what happened in an engine's prefix cache.
type CacheEventKind string

// Kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheRemoved CacheEventKind = "removed"
	CacheCleared CacheEventKind = "cleared"
)

// CacheEvent tells of blocks that entered or left an engine's prefix cache.
// Events come late and with gaps in Sequence.
type CacheEvent struct {
	Sequence int64          `json:"sequence"`
	Kind     CacheEventKind `json:"kind"`
	// Model is the model and version whose cache it is.
	Model string `json:"model"`
	// Blocks are chained prefix block hashes; see package prefix.
	Blocks []uint64 `json:"blocks,omitempty"`
}

// OrderKind tells what an order to an endpoint changes.
type OrderKind string

// Kinds of orders.
const (
	OrderLoad    OrderKind = "load"
	OrderUnload  OrderKind = "unload"
	OrderVersion OrderKind = "version"
	OrderRole    OrderKind = "role"
)

// Order is an order to an endpoint. Orders are idempotent: they state the
// wanted condition.
type Order struct {
	Kind     OrderKind `json:"kind"`
	Model    string    `json:"model,omitempty"`
	Version  string    `json:"version,omitempty"`
	Adapters []string  `json:"adapters,omitempty"`
	Role     string    `json:"role,omitempty"`
	// Fence is the fencing number of the lease under which it is given.
	Fence int64 `json:"fence"`
}

// KVExport describes an exported KV cache.
type KVExport struct {
	Handle string `json:"handle"`
	// Tokens is how many tokens the cache covers.
	Tokens int `json:"tokens"`
	// Bytes is the size of the transfer.
	Bytes int64 `json:"bytes"`
}

// Engine calls model engines. address is the ip:port of the endpoint.
type Engine interface {
	// Generate opens a stream. ErrEndpointUnreachable and ErrDeclined tell
	// that the attempt did not run; the first comes without a call of Sending.
	Generate(ctx context.Context, address string, req GenerateRequest) (Stream, error)
	// Cancel stops an attempt. It is idempotent.
	Cancel(ctx context.Context, address, attemptID string) error
	// Probe asks on a new connection whether the endpoint answers.
	Probe(ctx context.Context, address string) error
	Load(ctx context.Context, address string) (LoadReport, error)
	// CacheEvents returns the events with a sequence above after.
	CacheEvents(ctx context.Context, address string, after int64) ([]CacheEvent, error)
	// Order gives an order; ErrStaleFence comes from endpoints that check.
	Order(ctx context.Context, address string, order Order) error
	// ExportKV stops the attempt and exports its KV cache.
	ExportKV(ctx context.Context, address, attemptID string) (KVExport, error)
	// ImportKV fetches an exported cache from source into address.
	ImportKV(ctx context.Context, address, source string, export KVExport) error
}

// ServiceRequest is one attempt of a call to a plain service.
type ServiceRequest struct {
	AttemptID   string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// IdempotencyKey is passed on to endpoints that honour such keys.
	IdempotencyKey string
	Deadline       time.Time
	// Once calls go over a connection of their own, so that no transport
	// below can send them again.
	Once bool
	// Sending is called when a connection is open, right before the first
	// byte of the attempt may go out on it; nil for nobody.
	Sending func()
}

// ServiceResponse is the whole answer of a plain service.
type ServiceResponse struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// ServiceCaller calls plain services. address is the ip:port of the endpoint.
type ServiceCaller interface {
	// Call sends the request. ErrEndpointUnreachable and ErrDeclined tell
	// that it did not run; any other error leaves that open. An answer that
	// does not echo the attempt id is ErrEndpointBroken.
	Call(ctx context.Context, address string, req ServiceRequest) (ServiceResponse, error)
	Probe(ctx context.Context, address string) error
	Load(ctx context.Context, address string) (LoadReport, error)
}
