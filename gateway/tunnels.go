package gateway

import (
	"time"

	"github.com/cicadanotch/cicadanotch/port"
)

// RefuseTunnel decides whether this host carries a connection of another host to an endpoint. The reason is empty if
// it does.
func (g *Gateway) RefuseTunnel(endpoint, address string) port.TunnelRefusal {
	v, ok := g.fleet.Get(endpoint)
	switch {
	case g.leaving.Load():
		return port.TunnelLeaving
	case !ok || v.Address != address:
		return port.TunnelUnknownEndpoint
	case g.reach.table.CutOff(v.Service):
		return port.TunnelCutOff
	case !g.fleet.MayReceive(time.Now(), endpoint):
		return port.TunnelPaused
	}
	return ""
}

// WatchTunnels sets the function that returns how many connections this host carries for others. Call it before Start.
func (g *Gateway) WatchTunnels(open func() int) { g.carried = open }

// RecordTunnel counts an event of the connections that this host carries for others.
func (g *Gateway) RecordTunnel(event string) { g.metrics.tunnels.WithLabelValues(event).Inc() }

// RecordUnreached records that this host could not open a connection to an address for another host.
func (g *Gateway) RecordUnreached(address string) {
	for _, v := range g.fleet.All() {
		if v.Address == address {
			g.recordUnreached(time.Now(), v.Service, v.ID)
		}
	}
}
