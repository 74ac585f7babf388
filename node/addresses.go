package node

import (
	"slices"
	"strings"

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

// Addresses returns the entry hosts that a caller of a service may use.
func (n *Node) Addresses(service, workspace string) AddressList {
	list := AddressList{LifetimeSeconds: n.settings.AddressLifetime.Std().Seconds()}
	var leaving []Address
	for _, h := range n.hosts.all() {
		address := Address{h.ID, h.Region, h.Zone, h.CallerAddress}
		switch {
		case h.Role != port.RoleEntry:
		case n.entryLeaving(h):
			leaving = append(leaving, address)
		default:
			list.Addresses = append(list.Addresses, address)
		}
	}
	if len(list.Addresses) == 0 {
		list.Addresses = leaving // better than nowhere
	}
	slices.SortFunc(list.Addresses, func(a, b Address) int {
		if d := n.distance(a) - n.distance(b); d != 0 {
			return d
		}
		return strings.Compare(a.Host, b.Host)
	})
	return list
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
