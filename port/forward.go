package port

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cicadanotch/cicadanotch/placement"
)

// Errors of Endpoints.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("request not sent")
	// ErrBroken means that, after the request may have been sent, the connection
	// ended or the response violated the protocol.
	ErrBroken = errors.New("connection broken")
	// ErrEndless is an ErrBroken: the endpoint sent more than an answer may have.
	ErrEndless = fmt.Errorf("answer without end: %w", ErrBroken)
	// ErrGarbage is an ErrBroken: the endpoint sent bytes that are no part of an answer.
	ErrGarbage = fmt.Errorf("bytes that are no answer: %w", ErrBroken)
	// ErrTooManyConnections means that this host uses all of its share of connections
	// to the endpoint. Nothing was sent.
	ErrTooManyConnections = errors.New("share of connections in use")
	// ErrHelper is an ErrNotSent: the host that was to carry the request could not be reached, or has refused.
	// ErrHelperCutOff is an ErrHelper: that host is cut off from the endpoints itself; ErrHelperFull: it carries as many
	// requests as it may.
	ErrHelper       = fmt.Errorf("another host does not carry the request: %w", ErrNotSent)
	ErrHelperCutOff = fmt.Errorf("it is cut off: %w", ErrHelper)
	ErrHelperFull   = fmt.Errorf("it is full: %w", ErrHelper)
	// ErrHelperBroken is an ErrBroken: the path through another host ended, which tells nothing of the endpoint.
	ErrHelperBroken = fmt.Errorf("path through another host: %w", ErrBroken)
	// ErrNotListening means that no process listens at the endpoint's address: the connection was refused.
	ErrNotListening = errors.New("no process listens at the address")
)

// Request is a decoded request of a caller.
type Request struct {
	// ID is the caller's id for this attempt of its request.
	ID string
	// Method, Target (path and query) and Host are forwarded unchanged.
	Method string
	Target string
	Path   string
	Host   string
	// Key is the workspace's key; it is not forwarded.
	Key string
	// CallerTimeout is how long the caller waits, from the arrival of the request; zero
	// if the caller states no deadline.
	CallerTimeout time.Duration
	// HasTokens is set if the request states its tokens: PromptTokens, and AnswerTokens
	// as the maximum of the answer. ExpectedAnswer is the caller's estimate of the
	// tokens of the answer; zero if it gives none.
	HasTokens      bool
	PromptTokens   int
	AnswerTokens   int
	ExpectedAnswer int
	Parts          []placement.Part
	// ResumeAfter is the id of the last event that the caller received; empty for a
	// stream from its start.
	ResumeAfter string
	// Origin is the id of the request that brought the first event of the stream that this one continues;
	// empty if the caller names none.
	Origin string
	// Header holds the end-to-end headers to forward.
	Header http.Header
	Body   []byte
}

// Forward is one attempt of a request at an endpoint.
type Forward struct {
	*Request
	Address string
	// Endpoint is the id of the endpoint that must run the request; any other endpoint
	// declines it.
	Endpoint string
	// Workspace is empty for public routes.
	Workspace string
	// Deadline is when the request ends. The time that is left until then is computed as
	// the request is written, after the wait for a connection.
	Deadline time.Time
	// Priority is from 0, the highest, to 9.
	Priority int
	// After replaces ResumeAfter if the stream is resumed within one response to the
	// caller.
	After string
	// Copy names the KV cache to resume from; nil for none.
	Copy *KVCopy
	// FetchFrom is the address of an engine from which cached parts of the prompt are fetched before the prefill;
	// empty for none.
	FetchFrom string
	// Via is the address of another host that carries the request to the endpoint; empty for none.
	Via string
	// MaxConnections is this host's share of the endpoint's connections.
	MaxConnections int
	// Sending is called once a connection is open, immediately before the first byte may
	// be sent. If it returns an error, nothing is sent and Forward returns ErrNotSent.
	Sending func() error
}

// KVCopy names a copied KV cache.
type KVCopy struct {
	// Source is the address of the engine that it was copied from.
	Source string
	Handle string
}

// EndpointLoad is the load that an endpoint states in a response.
type EndpointLoad struct {
	Running, Waiting, Slots int
	// WorkPercent is how long work takes there at this moment, in per cent of the usual; zero if it is not
	// stated.
	WorkPercent float64
}

// Framing is how a response marks the end of its body.
type Framing string

// Framings of a response.
const (
	FramingLength Framing = "length"
	FramingChunks Framing = "chunks"
	// FramingConnection means that the body ends with the connection, so that a response that was broken off
	// by closing the connection looks like a complete one.
	FramingConnection Framing = "connection"
)

// Reply is an endpoint's response. The body must be closed. Closing it before its
// end closes the connection, which stops the request.
type Reply struct {
	Status int
	// Header holds the end-to-end headers.
	Header http.Header
	// Authentic reports whether the response carries a signature of the endpoint.
	Authentic bool
	// Declined reports whether the endpoint states that it did not run the request.
	Declined bool
	// Misdirected reports whether the address belongs to another endpoint.
	Misdirected bool
	// Length is the length of the body; negative if unknown.
	Length  int64
	Framing Framing
	// Stream reports whether the endpoint states that the body is a stream of events.
	Stream bool
	Load   *EndpointLoad
	// RetryAfter is how long the endpoint asks this host to send it nothing; zero for no
	// such request.
	RetryAfter time.Duration
	// RequestLimit is how many requests a second the endpoint takes from all hosts together; zero for
	// no limit.
	RequestLimit float64
	// Rejections is how many requests the endpoint can reject in a second for lack of room without failing; nil
	// if it names no such bound.
	Rejections *int
	// Leaving reports whether the endpoint states that it is about to leave.
	Leaving bool
	// HeaderFault describes a header that could not be used as sent; empty if there is
	// none.
	HeaderFault string
	Body        io.ReadCloser
}

// TunnelRefusal is why a host does not carry a connection of another host; empty if it does.
type TunnelRefusal string

// Reasons of refusals.
const (
	TunnelCutOff          TunnelRefusal = "cut-off"
	TunnelLeaving         TunnelRefusal = "leaving"
	TunnelUnknownEndpoint TunnelRefusal = "unknown-endpoint"
	// TunnelPaused means that the endpoint takes no requests from the helping host now: it leaves, or has asked for time.
	TunnelPaused TunnelRefusal = "paused"
)

// StreamMove is a command to an engine to copy a running request to another engine.
type StreamMove struct {
	RequestID string
	Target    string
	// Last stops the request at the sending engine; without it the request continues
	// during the copy.
	Last bool
}

// Errors of Endpoints.MoveStream.
var (
	// ErrNoSuchRun means that the engine is not running the request.
	ErrNoSuchRun = errors.New("no such run")
	// ErrMoveFailed means that the copy was not made.
	ErrMoveFailed = errors.New("move failed")
)

// Endpoints sends requests to endpoints.
type Endpoints interface {
	// Forward sends one attempt and returns when it has received the head of the
	// response. It returns ErrNotSent, ErrTooManyConnections or ErrBroken. The
	// connection is closed when ctx ends.
	Forward(ctx context.Context, f *Forward) (*Reply, error)
	// MoveStream copies a running request and returns the handle of the copy. It
	// returns ErrNoSuchRun, ErrMoveFailed, or ErrEndless for a reply that was given up.
	MoveStream(ctx context.Context, address string, m StreamMove) (handle string, err error)
	// Probe opens a connection to an endpoint and closes it. It returns ErrNotListening, or another error if
	// it is not known whether a process listens.
	Probe(ctx context.Context, address string) error
	// HasRoom asks an endpoint at its health path, which waits for room or is rejected like any other request. It
	// reports whether the endpoint has answered that it would serve one before ctx ends.
	HasRoom(ctx context.Context, address, healthPath string) bool
}
