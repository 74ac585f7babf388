package tunnel

import (
	"context"
	"io"
	"net"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
)

// DialEndpoint is Dial with the errors of package port. It returns a port.ErrHelper, or a port.ErrNotSent if the helping
// host has not reached the endpoint. Read and Write of the connection return these if nothing was passed on to the
// endpoint, and a port.ErrHelperBroken if the path ended and not the endpoint's connection.
func (c *Client) DialEndpoint(ctx context.Context, via, endpoint, address string) (net.Conn, error) {
	conn, err := c.Dial(ctx, via, Target{Endpoint: endpoint, Address: address})
	if err == nil {
		return &endpointConn{conn}, nil
	}
	if refusal := refusalError(err); refusal != nil {
		return nil, refusal
	}
	return nil, errors.Wrap(port.ErrHelper, err.Error())
}

// refusalError returns the error for a refusal, nil for any other error.
func refusalError(err error) error {
	reason, ok := ReasonOf(err)
	if !ok {
		return nil
	}
	kind := port.ErrHelper
	switch reason {
	case ReasonCutOff:
		kind = port.ErrHelperCutOff
	case ReasonFull:
		kind = port.ErrHelperFull
	case ReasonUnreachable, ReasonNotListening:
		kind = port.ErrNotSent
	}
	return errors.Wrap(kind, err.Error())
}

// endpointConn is a connection of DialEndpoint.
type endpointConn struct{ net.Conn }

// Tunnel reports that the connection goes through another host: it is for one request.
func (c *endpointConn) Tunnel() bool { return true }

// Read implements net.Conn.
func (c *endpointConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	return n, endpointError(err)
}

// Write implements net.Conn.
func (c *endpointConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	return n, endpointError(err)
}

// endpointError returns the error that tells whether the path or the endpoint's connection ended. The end of the
// endpoint's connection, a deadline and a close of this side stay as they are.
func endpointError(err error) error {
	var netErr net.Error
	switch {
	case err == nil, errors.Is(err, ErrEndpointBroke), errors.Is(err, ErrEndpointEnded), errors.Is(err, net.ErrClosed), err == io.EOF:
		return err
	case errors.As(err, &netErr) && netErr.Timeout():
		return err
	}
	if refusal := refusalError(err); refusal != nil {
		return refusal
	}
	return errors.Wrap(port.ErrHelperBroken, err.Error())
}
