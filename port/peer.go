package port

import (
	"context"
	"encoding/json"
	"errors"
)

// Errors of calls between entry hosts.
var (
	// ErrPeerUnreachable means that no connection could be opened: the call
	// was not made.
	ErrPeerUnreachable = errors.New("peer unreachable")
	// ErrPeerBroken means that the connection failed or went silent after
	// the call was sent: it may have taken effect.
	ErrPeerBroken = errors.New("peer connection broken")
	// ErrPeerRefused means that the peer answered with an error.
	ErrPeerRefused = errors.New("peer refused the call")
)

// Peers calls other entry hosts. address is the ip:port of the peer.
type Peers interface {
	// Call calls a method with params and reads the result into result,
	// which may be nil.
	Call(ctx context.Context, address, method string, params, result any) error
}

// PeerHandler answers one method that peers call. Its result is encoded as
// JSON.
type PeerHandler func(ctx context.Context, params json.RawMessage) (any, error)
