// Package capacity plans how many endpoint hosts a service runs, in which availability
// zones and of which machine class, from its document, its load and the prices. It also
// plans the commands for the engines on these hosts.
//
// Invariant: the token of a start request depends only on the service, the pool, the
// slot and the slot's generation, so that two planners with the same view request the
// same host. Only a record in the log advances a generation.
package capacity

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cicadanotch/cicadanotch/port"
)

// Pool identifies the hosts of one machine class, reclaimable or on-demand, that the
// platform offers in an availability zone.
type Pool struct {
	Region      string `json:"region"`
	Zone        string `json:"availability_zone"`
	Class       string `json:"machine_class"`
	Reclaimable bool   `json:"reclaimable"`
}

// PoolOf returns the pool that a host belongs to.
func PoolOf(h port.Host) Pool {
	return Pool{Region: h.Region, Zone: h.Zone, Class: h.Class, Reclaimable: h.Reclaimable}
}

// poolOfPrice returns the pool that a price is for.
func poolOfPrice(p port.Price) Pool {
	return Pool{Region: p.Region, Zone: p.Zone, Class: p.Class, Reclaimable: p.Reclaimable}
}

// String returns the pool as "zone/class/reclaimable" or "zone/class/on-demand".
func (p Pool) String() string {
	market := "on-demand"
	if p.Reclaimable {
		market = "reclaimable"
	}
	return p.Zone + "/" + p.Class + "/" + market
}

// Slot is a numbered position for one host of a service in a pool. Each host that is
// started for it has a generation of its own.
type Slot struct {
	Service string `json:"service"`
	Pool    Pool   `json:"pool"`
	Index   int    `json:"index"`
}

// Token returns the start token of a slot's generation.
func (s Slot) Token(generation int) string {
	return fmt.Sprintf("%s/%s/%d/%d", s.Service, s.Pool, s.Index, generation)
}

// tokenParts is the number of parts of a token: service, the three of the pool, index
// and generation.
const tokenParts = 6

// SlotOf returns the slot and the generation for which a host was started. It reports
// false if the host's start token is not one of a slot.
func SlotOf(h port.Host) (slot Slot, generation int, ok bool) {
	parts := strings.Split(h.StartToken, "/")
	if len(parts) != tokenParts {
		return Slot{}, 0, false
	}
	index, err1 := strconv.Atoi(parts[4])
	generation, err2 := strconv.Atoi(parts[5])
	if err1 != nil || err2 != nil {
		return Slot{}, 0, false
	}
	return Slot{Service: parts[0], Pool: PoolOf(h), Index: index}, generation, true
}
