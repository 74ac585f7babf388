package node

import (
	"github.com/cicadanotch/cicadanotch/address"
	"github.com/cicadanotch/cicadanotch/member"
	"github.com/cicadanotch/cicadanotch/port"
)

// Address is one entry host that a caller may use.
type Address struct {
	Host    string `json:"host"`
	Region  string `json:"region"`
	Zone    string `json:"availability_zone"`
	Address string `json:"address"`
}

// AddressList is the answer to "which address do I use", nearest first.
type AddressList struct {
	Addresses []Address `json:"addresses"`
	// LifetimeSeconds is how long the answer may be kept.
	LifetimeSeconds float64 `json:"lifetime_seconds"`
}

// Addresses returns the entry hosts that a caller of a service may use. zone
// is the caller's availability zone; empty or unknown stands for this host's.
func (n *Node) Addresses(service, workspace, zone string) AddressList {
	list := AddressList{LifetimeSeconds: n.settings.AddressLifetime.Std().Seconds()}
	hosts := n.candidateHosts()
	for _, h := range address.Shard(hosts, service, workspace, n.placeOf(hosts, zone)) {
		list.Addresses = append(list.Addresses, Address{h.ID, h.Region, h.Zone, h.Address})
	}
	return list
}

// candidateHosts returns the entry hosts with what speaks against them. Leaving
// counts from the moment that it is known, before the next verdict.
func (n *Node) candidateHosts() []address.Host {
	var out []address.Host
	for _, h := range n.hosts.all() {
		if h.Role != port.RoleEntry {
			continue
		}
		verdict, _ := n.members.Verdict(h.ID)
		out = append(out, address.Host{
			ID: h.ID, Region: h.Region, Zone: h.Zone, Address: h.CallerAddress,
			Out:     n.entryLeaving(h) || verdict == member.Dead || verdict == member.Out || n.staleSelf(h.ID),
			Suspect: verdict == member.Suspect,
		})
	}
	return out
}

// staleSelf reports whether id is this host and it is behind its peers.
func (n *Node) staleSelf(id string) bool { return id == n.settings.Host && n.Behind() }

func (n *Node) placeOf(hosts []address.Host, zone string) address.Place {
	for _, h := range hosts {
		if h.Zone == zone {
			return address.Place{Region: h.Region, Zone: h.Zone}
		}
	}
	return address.Place{Region: n.settings.Region, Zone: n.settings.Zone}
}

// distance ranks an address: same zone, same region, elsewhere.
func (n *Node) distance(a Address) int {
	switch {
	case a.Zone == n.settings.Zone:
		return 0
	case a.Region == n.settings.Region:
		return 1
	}
	return 2
}
