package endpointhttp

import (
	"context"
	"net"
	"syscall"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
)

// DialViaFunc opens a connection to an endpoint through another host, whose address is via. Its errors are a
// port.ErrNotSent. The connection has a method Tunnel that returns true, and is not pooled. Its reads and writes return
// a port.ErrHelperBroken if the path has ended.
type DialViaFunc func(ctx context.Context, via, endpoint, address string) (net.Conn, error)

// open opens a connection for a request. Its errors are a port.ErrNotSent.
func (p *Pool) open(ctx context.Context, f *port.Forward) (net.Conn, error) {
	switch {
	case f.Via == "":
		raw, err := p.dial(ctx, "tcp", f.Address)
		if err != nil {
			return nil, errors.Wrapf(port.ErrNotSent, "dial %s: %v", f.Address, err)
		}
		return raw, nil
	case p.DialVia == nil:
		return nil, errors.Wrapf(port.ErrHelper, "dial %s through %s: this host opens no such connections", f.Address, f.Via)
	}
	return p.DialVia(ctx, f.Via, f.Endpoint, f.Address)
}

// Probe implements port.Endpoints. The connection does not count against the endpoint's bound.
func (p *Pool) Probe(ctx context.Context, address string) error {
	p.updateStats(func(s *Stats) { s.Dials++ })
	c, err := p.dial(ctx, "tcp", address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return errors.Wrapf(port.ErrNotListening, "probe %s", address)
	case err != nil:
		return errors.Wrapf(err, "probe %s", address)
	}
	return errors.Wrapf(c.Close(), "probe %s", address)
}
