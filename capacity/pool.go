// Package capacity decides how many endpoint hosts a service runs, where, and
// of which class, from its document, its load and the prices; and which orders
// its engines get.
//
// Invariant: a start request's token depends only on the pool, the slot and
// the slot's generation, so that two deciders with the same view ask for the
// same host. A generation moves only by a record in the log.
package capacity

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cicadanotch/cicadanotch/port"
)

// Pool is a kind of host that the cloud sells in an availability zone.
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

// Slot is a place for one host of a service in a pool.
type Slot struct {
	Service string `json:"service"`
	Pool    Pool   `json:"pool"`
	Index   int    `json:"index"`
}

// Token returns the start token of a slot's generation.
func (s Slot) Token(generation int) string {
	return fmt.Sprintf("%s/%s/%d/%d", s.Service, s.Pool, s.Index, generation)
}

// tokenParts is the number of parts of a token: service, the pool's three,
// index and generation.
const tokenParts = 6

// SlotOf returns the slot and generation under which a host was started; it
// reports false for a host that was started by other means.
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
