package daemon

import (
	"context"
	"net"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/adapter/tunnel"
	"github.com/cicadanotch/cicadanotch/gateway"
	"github.com/cicadanotch/cicadanotch/intake"
)

// maxSpareTunnels bounds the connections beyond the tunnels that may be open, see tunnel.Options.
const maxSpareTunnels = 64

// serveTunnels carries connections of hosts that are cut off from endpoints. It does nothing if address is empty.
func (h *host) serveTunnels(address string, open listenFunc) error {
	if address == "" {
		return nil
	}
	listener, err := open(address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	boundReceiveBuffers(listener, peerReceiveBytes)
	g := h.gateway
	gate := func(t tunnel.Target) tunnel.Reason { return tunnel.Reason(g.RefuseTunnel(t.Endpoint, t.Address)) }
	tunnels := intake.TunnelsOf(h.descriptors)
	h.tunnels = tunnel.NewServer(dialForOthers(g), gate, tunnel.Options{MaxTunnels: tunnels, SpareConns: min(tunnels, maxSpareTunnels), Logger: h.logger, Event: g.RecordTunnel})
	g.WatchTunnels(h.tunnels.Tunnels)
	h.tunnelListener = listener
	h.group.Go(func() error { return h.tunnels.Serve(context.Background(), listener) })
	return nil
}

// dialForOthers returns a function that opens connections to endpoints for other hosts, and records those that this
// host cannot open.
func dialForOthers(g *gateway.Gateway) func(context.Context, string, string) (net.Conn, error) {
	dial := (&net.Dialer{}).DialContext
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil && ctx.Err() != context.Canceled {
			g.RecordUnreached(address)
		}
		return conn, err
	}
}

// closeTunnels ends the connections that are carried for other hosts.
func (h *host) closeTunnels() {
	if h.tunnels == nil {
		return
	}
	_ = h.tunnelListener.Close() // no further ones are opened
	h.tunnels.Close()
}
