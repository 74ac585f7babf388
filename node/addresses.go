package node

import (
	"github.com/cicadanotch/cicadanotch/address"
	"github.com/cicadanotch/cicadanotch/member"
	"github.com/cicadanotch/cicadanotch/port"
)

// Address is an entry host that a caller may use.
type Address struct {
	Host    string `json:"host"`
	Region  string `json:"region"`
	Zone    string `json:"availability_zone"`
	Address string `json:"address"`
}

// AddressList is an address answer: the entry hosts to use, nearest first.
type AddressList struct {
	Addresses []Address `json:"addresses"`
	// LifetimeSeconds is how long the caller may cache the answer.
	LifetimeSeconds float64 `json:"lifetime_seconds"`
}

// Addresses returns the entry hosts that a caller of a service may use. zone is
// the caller's availability zone; if it is empty or unknown, the availability
// zone of this host is used.
func (n *Node) Addresses(service, workspace, zone string) AddressList {
	list := AddressList{LifetimeSeconds: n.settings.AddressTTL.Std().Seconds()}
	hosts := n.candidateHosts()
	for _, h := range address.Shard(hosts, service, workspace, n.locationOf(hosts, zone)) {
		list.Addresses = append(list.Addresses, Address{h.ID, h.Region, h.Zone, h.Address})
	}
	return list
}

// candidateHosts returns all entry hosts, marked as unavailable or suspect
// where they are. A leaving host is marked as soon as this is known, before the
// membership table changes its verdict.
func (n *Node) candidateHosts() []address.Host {
	var out []address.Host
	for _, h := range n.hosts.all() {
		if h.Role != port.RoleEntry {
			continue
		}
		verdict, _ := n.members.Verdict(h.ID)
		out = append(out, address.Host{
			ID: h.ID, Region: h.Region, Zone: h.Zone, Address: h.CallerAddress,
			Unavailable: n.entryLeaving(h) || verdict == member.Dead || verdict == member.OutOfService || n.staleSelf(h.ID),
			Suspect:     verdict == member.Suspect,
		})
	}
	return out
}

// staleSelf reports whether id is this host and its state is stale.
func (n *Node) staleSelf(id string) bool { return id == n.settings.Host && n.Stale() }

func (n *Node) locationOf(hosts []address.Host, zone string) address.Location {
	for _, h := range hosts {
		if h.Zone == zone {
			return address.Location{Region: h.Region, Zone: h.Zone}
		}
	}
	return address.Location{Region: n.settings.Region, Zone: n.settings.Zone}
}

// distance ranks an address: 0 in this host's availability zone, 1 in its
// region, 2 in another region.
func (n *Node) distance(a Address) int {
	switch {
	case a.Zone == n.settings.Zone:
		return 0
	case a.Region == n.settings.Region:
		return 1
	}
	return 2
}
