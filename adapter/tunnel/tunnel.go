// Package tunnel carries connections to endpoints through another host, for a host that
// cannot reach the endpoints itself. Only the path of the bytes differs: requests, their
// deadlines and their retries stay with the host that opens the tunnel.
//
// A tunnel is one connection between two hosts and one connection from the helping host to
// the endpoint. Bytes travel in frames, so that a connection that the endpoint has closed
// (frameEnd) differs from one that broke off. Each side grants the other a window of
// windowBytes and always reads what arrives: a slow reader at one end blocks only the
// writer at the other, and never delays the news that one of them has left. Both sides
// send keep-alive frames, also while the endpoint is silent.
//
// Invariant: a tunnel is refused only if no byte was passed on to the endpoint. The tunnel
// port of a host uses only direct connections to endpoints, so a tunnel has one hop.
package tunnel

import (
	"net/netip"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/pkg/errors"
)

const (
	// windowBytes bounds the bytes that are under way or unread in each direction.
	windowBytes = 32 << 10
	// creditBytes is the number of read bytes after which the reader grants them anew.
	creditBytes = windowBytes / 2
	// maxIDBytes bounds the id of an endpoint.
	maxIDBytes = 200
	// maxReasonBytes bounds the reason of a refusal.
	maxReasonBytes = 64
)

// timing holds the times of a tunnel; tests shorten them.
type timing struct {
	// aliveInterval is the interval at which a side that has sent nothing sends a
	// keep-alive.
	aliveInterval time.Duration
	// maxSilentIntervals bounds the intervals without a byte from the other side. Intervals
	// are counted rather than time, so that the time in which this process did not run
	// does not count.
	maxSilentIntervals int
	// openTimeout bounds how long a connection may stay without a request to open.
	openTimeout time.Duration
	// lingerTimeout bounds how long a connection is kept after its last frame, so that
	// the frame is not lost to a reset.
	lingerTimeout time.Duration
}

var defaultTiming = timing{
	aliveInterval: 500 * time.Millisecond, maxSilentIntervals: 6,
	openTimeout: 5 * time.Second, lingerTimeout: 3 * time.Second,
}

// Errors of tunnels. A connection also returns those of package net: net.ErrClosed after
// Close, os.ErrDeadlineExceeded after a deadline, and io.ErrUnexpectedEOF if the helping
// host closed it without a statement.
var (
	// ErrRefused means that the helping host passed no byte on to the endpoint, and will
	// pass none on. ReasonOf returns why.
	ErrRefused = errors.New("tunnel refused, nothing was sent")
	// ErrInvalidTarget is returned for a target that is not an id and an ip:port.
	ErrInvalidTarget = errors.New("invalid target of a tunnel")
	// ErrInvalidFrame is returned for bytes that are no frame, or a frame out of order.
	ErrInvalidFrame = errors.New("invalid tunnel frame")
	// ErrSilent means that nothing arrived from the other host for several intervals.
	ErrSilent = errors.New("other end of the tunnel is silent")
	// ErrEndpointBroke means that the connection from the helping host to the endpoint
	// broke, which differs from an end (io.EOF).
	ErrEndpointBroke = errors.New("connection to the endpoint broke")
	// ErrEndpointEnded is returned by Write after the endpoint has ended the connection.
	ErrEndpointEnded = errors.New("endpoint has ended the connection")
)

// errIdle ends a tunnel at the helping host in which no byte was passed on for IdleTimeout.
var errIdle = errors.New("no byte was passed on in the tunnel for too long")

// Reason states why a tunnel was refused: at most maxReasonBytes of printable ASCII.
type Reason string

// Reasons of refusals. A Gate may return others.
const (
	// ReasonCutOff: the helping host reaches no endpoints either.
	ReasonCutOff Reason = "cut-off"
	// ReasonFull: the helping host has MaxTunnels open.
	ReasonFull Reason = "full"
	// ReasonUnreachable: no connection to the endpoint, or it broke before a byte was sent.
	ReasonUnreachable Reason = "unreachable"
	// ReasonNotListening: the endpoint's machine refused the connection.
	ReasonNotListening Reason = "not-listening"
	// ReasonUnknownEndpoint: the helping host knows no such endpoint at the address.
	ReasonUnknownEndpoint Reason = "unknown-endpoint"
	// ReasonPaused: the endpoint asked the helping host for time.
	ReasonPaused Reason = "paused"
	// ReasonDraining: the endpoint accepts no new requests.
	ReasonDraining Reason = "draining"
	// ReasonLeaving: the helping host stops.
	ReasonLeaving Reason = "leaving"
	// ReasonInvalid: the target is not an id and an ip:port.
	ReasonInvalid Reason = "invalid"
	// ReasonRefused: a reason that cannot be stated.
	ReasonRefused Reason = "refused"
)

// refusedError is ErrRefused with its reason.
type refusedError struct{ reason Reason }

func (e *refusedError) Error() string { return ErrRefused.Error() + ": " + string(e.reason) }

// Is implements the interface of package errors.
func (e *refusedError) Is(target error) bool { return target == ErrRefused }

// NothingSent reports that no byte was passed on to the endpoint.
func (e *refusedError) NothingSent() bool { return true }

// ReasonOf returns the reason of an error that wraps ErrRefused, and false for others.
func ReasonOf(err error) (Reason, bool) {
	var refused *refusedError
	if !errors.As(err, &refused) {
		return "", false
	}
	return refused.reason, true
}

// Target names an endpoint and its address, an ip:port.
type Target struct{ Endpoint, Address string }

// Gate decides on the helping host whether bytes may be passed on to a target. It is asked
// before the connection is opened and again before the first byte is passed on. A reason
// refuses. It must be safe for concurrent use and must not block.
type Gate func(Target) Reason

// check returns the address of a target, or ErrInvalidTarget.
func (t Target) check() (netip.AddrPort, error) {
	if t.Endpoint == "" || len(t.Endpoint) > maxIDBytes || !utf8.ValidString(t.Endpoint) || strings.ContainsFunc(t.Endpoint, unicode.IsControl) {
		return netip.AddrPort{}, errors.Wrapf(ErrInvalidTarget, "id %.40q, expected 1 to %d bytes without control characters", t.Endpoint, maxIDBytes)
	}
	address, err := netip.ParseAddrPort(t.Address)
	if err != nil || address.Port() == 0 || address.Addr().Zone() != "" || address.Addr().IsUnspecified() || address.Addr().IsMulticast() {
		return netip.AddrPort{}, errors.Wrapf(ErrInvalidTarget, "address %.60q, expected the ip:port of one machine", t.Address)
	}
	return address, nil
}

// checkReason returns ErrInvalidFrame for a reason that could not be logged as it is.
func checkReason(text []byte) (Reason, error) {
	if len(text) == 0 || len(text) > maxReasonBytes {
		return "", errors.Wrapf(ErrInvalidFrame, "reason of %d bytes, expected 1 to %d", len(text), maxReasonBytes)
	}
	for _, b := range text {
		if b < ' ' || b > '~' {
			return "", errors.Wrapf(ErrInvalidFrame, "reason %q, expected printable characters", text)
		}
	}
	return Reason(text), nil
}
