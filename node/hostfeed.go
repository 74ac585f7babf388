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
	// MethodHosts returns the rows of the host list that changed after a
	// place.
	MethodHosts = "hosts.since"

	// hostsCallTimeout bounds one call to a relay for the list.
	hostsCallTimeout = time.Second
	// hostsStale is how old a relay's list may be before it is passed over.
	hostsStale = 3 * time.Second
)

// hostFeed reads the platform's list: the relays of a zone from the platform,
// the others from a relay. pollHosts is its only reader; mu guards the view
// against a dump.
type hostFeed struct {
	feed *hostlist.Feed

	mu   sync.Mutex
	view *hostlist.View
	// source is the host that answered last, or "platform".
	source string
}

// sourcePlatform stands for the platform's own list.
const sourcePlatform = "platform"

func newHostFeed(incarnation string) *hostFeed {
	return &hostFeed{feed: hostlist.NewFeed(incarnation), view: hostlist.NewView()}
}

func (f *hostFeed) place() hostlist.Place {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Place()
}

// apply returns the list and whether it changed.
func (f *hostFeed) apply(d hostlist.Delta, source string) ([]port.Host, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.source = source
	return f.view.Apply(d)
}

// readHosts returns the list, from a relay of the zone if another host is one
// and its list is fresh, or else from the platform; and whether it changed.
func (n *Node) readHosts(ctx context.Context) (hosts []port.Host, changed bool, err error) {
	for _, p := range n.relays.list() {
		if p.Address == "" {
			break // this host is a relay
		}
		if d, ok := n.hostsFrom(ctx, p.Address); ok {
			hosts, changed = n.hostFeed.apply(d, p.ID)
			return hosts, changed, nil
		}
	}
	hosts, err = n.ports.Cloud.Hosts(ctx)
	if err != nil {
		return nil, false, err
	}
	n.hostFeed.feed.Update(time.Now(), hosts)
	hosts, changed = n.hostFeed.apply(n.hostFeed.feed.Since(n.hostFeed.place()), sourcePlatform)
	return hosts, changed, nil
}

// hostsFrom asks a relay for what changed.
func (n *Node) hostsFrom(ctx context.Context, address string) (hostlist.Delta, bool) {
	ctx, cancel := context.WithTimeout(ctx, hostsCallTimeout)
	defer cancel()
	var reply hostsReply
	if err := n.ports.Peers.Call(ctx, address, MethodHosts, n.hostFeed.place(), &reply); err != nil {
		return hostlist.Delta{}, false
	}
	return reply.Delta, reply.Age <= hostsStale && !reply.ReadAt.IsZero()
}

// hostsReply is a delta with the age of the list by the relay's own clock.
type hostsReply struct {
	hostlist.Delta
	Age time.Duration `json:"age"`
}

// handleHosts answers a host of the zone that reads the list here.
func (n *Node) handleHosts(_ context.Context, params json.RawMessage) (any, error) {
	var place hostlist.Place
	if err := json.Unmarshal(params, &place); err != nil {
		return nil, err
	}
	d := n.hostFeed.feed.Since(place)
	return hostsReply{Delta: d, Age: time.Since(d.ReadAt)}, nil
}
