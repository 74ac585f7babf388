package port

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
)

// Errors of calls between entry hosts.
var (
	// ErrPeerUnreachable means that no connection could be opened: the call was not
	// sent.
	ErrPeerUnreachable = errors.New("peer unreachable")
	// ErrPeerBroken means that the connection failed, or the peer stopped answering,
	// after the call was sent: it may have taken effect.
	ErrPeerBroken = errors.New("peer connection broken")
	// ErrPeerRefused means that the peer answered with an error.
	ErrPeerRefused = errors.New("peer refused the call")
)

// Peers calls other entry hosts. address is the ip:port of the peer.
type Peers interface {
	// Call calls a method with params and decodes the result into result, which may
	// be nil.
	Call(ctx context.Context, address, method string, params, result any) error
}

// PeerHandler answers one method that peers call. Its result is encoded as
// JSON.
type PeerHandler func(ctx context.Context, params json.RawMessage) (any, error)

type peerNamesKey struct{}

// WithPeerNames returns a context with the authenticated names of the calling host.
func WithPeerNames(ctx context.Context, names []string) context.Context {
	return context.WithValue(ctx, peerNamesKey{}, names)
}

// PeerMayActAs reports whether the calling host may act as a host: it has authenticated
// with that name, or peers do not authenticate.
func PeerMayActAs(ctx context.Context, host string) bool {
	names, authenticated := ctx.Value(peerNamesKey{}).([]string)
	return !authenticated || slices.Contains(names, host)
}
