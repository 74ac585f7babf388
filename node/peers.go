package node

import (
	"context"
	"encoding/json"
	"maps"
	"net"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/relay"
)

// Methods that peers call.
const (
	// MethodPing returns the id of the host.
	MethodPing = "member.ping"
	// MethodLeaving announces whether the calling host leaves.
	MethodLeaving = "drain.leaving"
)

// PeerServer serves connections of peers; package peerrpc implements it.
type PeerServer interface {
	// Serve accepts connections until the listener is closed.
	Serve(ctx context.Context, l net.Listener) error
	// Close closes all connections.
	Close()
}

// PeerHandlers returns the handlers of the methods that peers may call.
func (n *Node) PeerHandlers() map[string]port.PeerHandler {
	handlers := map[string]port.PeerHandler{
		MethodPing:       n.handlePing,
		MethodState:      n.handleState,
		MethodClaimState: n.handleClaimState,
		MethodLeaving:    n.handleLeaving,
		MethodDeaths:     n.handleDeaths,
		MethodUsage:      n.handleUsage,
		MethodHosts:      n.handleHosts,

		MethodCheck:        n.handleCheck,
		MethodReport:       n.handleReport,
		MethodReports:      n.handleReports,
		relay.MethodRead:   n.handleLogRead,
		relay.MethodAppend: n.handleLogAppend,
	}
	maps.Copy(handlers, n.handoffHandlers())
	return handlers
}

func (n *Node) handlePing(context.Context, json.RawMessage) (any, error) {
	return n.settings.Host, nil
}

// PeerAt returns the id of the entry host that is listed with a peer address.
func (n *Node) PeerAt(address string) (host string, ok bool) { return n.hosts.peerAt(address) }

// ServePeers serves peers at the listener until the node stops.
func (n *Node) ServePeers(l net.Listener, server PeerServer) {
	n.tomb.Go(func() error { return server.Serve(n.context(), l) })
	n.tomb.Go(func() error {
		<-n.tomb.Dying()
		err := l.Close()
		server.Close()
		return err
	})
}
