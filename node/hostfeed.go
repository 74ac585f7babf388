package node

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/hostlist"
	"github.com/cicadanotch/cicadanotch/port"
)

const (
	// MethodHosts returns the changes of the host list after a position.
	MethodHosts = "hosts.since"

	// hostsCallTimeout bounds one call to a relay for the host list.
	hostsCallTimeout = time.Second
	// maxHostListAge is the age beyond which a relay's host list is not used.
	maxHostListAge = 3 * time.Second
)

// hostFeed reads the platform's host list: the relays of an availability zone
// read it from the platform, other hosts from a relay. Only pollHosts reads
// through it; mu guards the view against concurrent state dumps.
type hostFeed struct {
	feed *hostlist.Feed

	mu   sync.Mutex
	view *hostlist.View
	// source is the host whose answer was last applied, or sourcePlatform.
	source string
}

// sourcePlatform marks a list that was read from the platform.
const sourcePlatform = "platform"

func newHostFeed(incarnation string) *hostFeed {
	return &hostFeed{feed: hostlist.NewFeed(incarnation), view: hostlist.NewView()}
}

func (f *hostFeed) position() hostlist.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Position()
}

// apply applies a delta and returns the host list and whether it changed.
func (f *hostFeed) apply(d hostlist.Delta, source string) ([]port.Host, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.source = source
	return f.view.Apply(d)
}

// readHosts returns the host list and whether it changed. A host that is not a
// relay reads it from a relay of its availability zone whose list is fresh, or
// else from the platform; a relay reads it from the platform.
func (n *Node) readHosts(ctx context.Context) (hosts []port.Host, changed bool, err error) {
	for _, p := range n.relays.list() {
		if p.Address == "" {
			break // this host is a relay
		}
		if d, ok := n.fetchHosts(ctx, p.Address); ok {
			hosts, changed = n.hostFeed.apply(d, p.ID)
			return hosts, changed, nil
		}
	}
	hosts, err = n.ports.Cloud.Hosts(ctx)
	if err != nil {
		return nil, false, err
	}
	n.hostFeed.feed.Update(time.Now(), hosts)
	hosts, changed = n.hostFeed.apply(n.hostFeed.feed.Since(n.hostFeed.position()), sourcePlatform)
	return hosts, changed, nil
}

// fetchHosts requests the changes of the host list from a relay.
func (n *Node) fetchHosts(ctx context.Context, address string) (hostlist.Delta, bool) {
	ctx, cancel := context.WithTimeout(ctx, hostsCallTimeout)
	defer cancel()
	var reply hostsReply
	if err := n.ports.Peers.Call(ctx, address, MethodHosts, n.hostFeed.position(), &reply); err != nil {
		return hostlist.Delta{}, false
	}
	return reply.Delta, reply.Age <= maxHostListAge && !reply.ReadAt.IsZero()
}

// hostsReply is a delta with the age of the list, measured by the relay's own
// clock.
type hostsReply struct {
	hostlist.Delta
	Age time.Duration `json:"age"`
}

// handleHosts serves the host list to other hosts of the availability zone.
func (n *Node) handleHosts(_ context.Context, params json.RawMessage) (any, error) {
	var position hostlist.Position
	if err := json.Unmarshal(params, &position); err != nil {
		return nil, err
	}
	d := n.hostFeed.feed.Since(position)
	return hostsReply{Delta: d, Age: time.Since(d.ReadAt)}, nil
}
