package capacity

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cicadanotch/cicadanotch/config"
	"github.com/cicadanotch/cicadanotch/port"
)

const (
	// utilization is the part of an endpoint's request slots that the plan
	// fills; the rest takes up bursts and the requests of a lost zone.
	utilization = 0.7
	// defaultMaxRunning stands for an endpoint that reported none.
	defaultMaxRunning = 16
	// spreadWeight is how much a zone's share of the hosts adds to a pool's
	// price in the choice of the next host.
	spreadWeight = 0.5
	// noticePenalty multiplies the price of a pool that has hosts under
	// notice: what starts there is likely to go too.
	noticePenalty = 2.0
	// scaleInDelay is how long fewer hosts must suffice before one goes.
	scaleInDelay = 5 * time.Minute
	// startsPerPlan bounds the hosts asked for in one plan, so that the
	// weight store is not asked by all of them at once.
	startsPerPlan = 4
	// loadsInFlight bounds the engines of a service that load weights at
	// the same time.
	loadsInFlight = 2
	// slotsPerPool bounds the slots of one pool.
	slotsPerPool = 4096
)

// Host is an endpoint host as the decider sees it.
type Host struct {
	port.Host
	// Leaving hosts are under notice, listed as leaving or drained.
	Leaving bool
	// Drained hosts are leaving because of a capacity record.
	Drained bool
	Report  port.LoadReport
}

// Input is what one plan of one service is made from.
type Input struct {
	Now      time.Time
	Document *config.Document
	Hosts    []Host
	// Queued is the number of requests that wait at entry hosts.
	Queued int
	Prices []port.Price
	// RefusedUntil tells which pools refused a start, and until when they
	// are not asked again.
	RefusedUntil map[Pool]time.Time
	// Pending holds the tokens that were asked for and are not listed yet.
	Pending map[string]bool
}

// EndpointOrder is an order for one endpoint.
type EndpointOrder struct {
	Host    string
	Address string
	Order   port.Order
}

// Start asks for the host of a slot's generation.
type Start struct {
	Slot       Slot
	Generation int
	Request    port.StartRequest
}

// Plan is what a decider should do now.
type Plan struct {
	// Wanted is the number of hosts that the load and the document ask for;
	// Have the number of live ones that are not leaving.
	Wanted int
	Have   int
	Starts []Start
	// Drains names hosts to drain, Stops drained hosts that are idle.
	Drains []string
	Stops  []string
	Orders []EndpointOrder
	// Short says why fewer hosts are started than wanted; empty if not.
	Short string
}

// Planner makes the plans of one service. It keeps only what a plan needs of
// the past; a new planner starts cautious. Not safe for concurrent use.
type Planner struct {
	table *Table
	// below is since when fewer hosts would suffice.
	below time.Time
}

// NewPlanner returns a planner that takes generations from table.
func NewPlanner(table *Table) *Planner { return &Planner{table: table} }

// Plan decides about one service. Priority among services is the caller's:
// it plans them from high to low and carries their starts out in that order.
func (p *Planner) Plan(in Input) Plan {
	live := liveHosts(in.Hosts)
	plan := Plan{Wanted: wanted(in, live), Have: len(live)}
	p.planStarts(in, live, &plan)
	p.planScaleIn(in, live, &plan)
	planStops(in, &plan)
	planOrders(in, live, &plan)
	return plan
}

func liveHosts(hosts []Host) []Host {
	var live []Host
	for _, h := range hosts {
		if !h.Leaving {
			live = append(live, h)
		}
	}
	return live
}

// wanted returns how many hosts the load needs within the document's bounds.
// Requests on leaving hosts count: they move to those that stay.
func wanted(in Input, live []Host) int {
	load := in.Queued
	slots := 0
	for _, h := range in.Hosts {
		load += h.Report.Running + h.Report.Waiting
	}
	for _, h := range live {
		slots = max(slots, h.Report.MaxRunning)
	}
	if slots == 0 {
		slots = defaultMaxRunning
	}
	need := int(math.Ceil(float64(load) / (float64(slots) * utilization)))
	return min(max(need, in.Document.Placement.MinHosts), in.Document.Placement.MaxHosts)
}

func (p *Planner) planStarts(in Input, live []Host, plan *Plan) {
	counts := map[string]int{}
	onDemand, spend := 0, 0.0
	taken := map[string]bool{}
	for _, h := range in.Hosts {
		taken[h.StartToken] = true
		spend += h.PricePerHour
	}
	for _, h := range live {
		counts[h.Zone]++
		if !h.Reclaimable {
			onDemand++
		}
	}
	missing := plan.Wanted - len(live) - len(in.Pending)
	for range min(missing, startsPerPlan) {
		needOnDemand := float64(onDemand) < in.Document.Placement.OnDemandShare*float64(plan.Wanted)
		price, ok := choosePool(in, counts, needOnDemand, spend)
		if !ok {
			plan.Short = "no pool has hosts to give within the document's spend"
			return
		}
		pool := poolOfPrice(price)
		start, ok := p.freeSlot(in, pool, taken)
		if !ok {
			plan.Short = "no free slot in pool " + pool.String()
			return
		}
		taken[start.Request.Token] = true
		counts[pool.Zone]++
		spend += price.PricePerHour
		if !pool.Reclaimable {
			onDemand++
		}
		plan.Starts = append(plan.Starts, start)
	}
}

// choosePool returns the cheapest pool that the document allows, weighing the
// share of the hosts that its zone already has.
func choosePool(in Input, counts map[string]int, needOnDemand bool, spend float64) (port.Price, bool) {
	total := 0
	for _, n := range counts {
		total += n
	}
	noticed := noticedPools(in.Hosts)
	var best port.Price
	bestCost := math.Inf(1)
	for _, price := range in.Prices {
		pool := poolOfPrice(price)
		if !allowed(in, pool) || (needOnDemand && pool.Reclaimable) {
			continue
		}
		if limit := in.Document.Spend.HostsPerHour; limit > 0 && spend+price.PricePerHour > limit {
			continue
		}
		share := float64(counts[pool.Zone]) / float64(max(total, 1))
		cost := price.PricePerHour * (1 + spreadWeight*share)
		if noticed[pool] {
			cost *= noticePenalty
		}
		if cost < bestCost || (cost == bestCost && pool.String() < poolOfPrice(best).String()) {
			best, bestCost = price, cost
		}
	}
	return best, !math.IsInf(bestCost, 1)
}

// noticedPools returns the pools that have hosts under notice.
func noticedPools(hosts []Host) map[Pool]bool {
	out := map[Pool]bool{}
	for _, h := range hosts {
		if h.Leaving && !h.Drained {
			out[PoolOf(h.Host)] = true
		}
	}
	return out
}

func allowed(in Input, pool Pool) bool {
	placement := in.Document.Placement
	return slices.Contains(placement.Zones, pool.Zone) &&
		slices.Contains(placement.Classes, pool.Class) &&
		!in.Now.Before(in.RefusedUntil[pool])
}

// freeSlot returns the first slot that no listed host and no pending start has.
func (p *Planner) freeSlot(in Input, pool Pool, taken map[string]bool) (Start, bool) {
	for index := range slotsPerPool {
		slot := Slot{Service: in.Document.Service, Pool: pool, Index: index}
		generation := p.table.Generation(slot)
		token := slot.Token(generation)
		if taken[token] || in.Pending[token] {
			continue
		}
		return Start{Slot: slot, Generation: generation, Request: port.StartRequest{
			Token: token, Service: slot.Service, Region: pool.Region, Zone: pool.Zone,
			Class: pool.Class, Reclaimable: pool.Reclaimable,
		}}, true
	}
	return Start{}, false
}

// planScaleIn drains one host when fewer have sufficed for long enough: the
// dearest, and among equals the one with the least work.
func (p *Planner) planScaleIn(in Input, live []Host, plan *Plan) {
	if len(live) <= plan.Wanted {
		p.below = time.Time{}
		return
	}
	if p.below.IsZero() {
		p.below = in.Now
	}
	if in.Now.Sub(p.below) < scaleInDelay {
		return
	}
	p.below = in.Now
	victim := slices.MaxFunc(live, func(a, b Host) int {
		return cmp.Or(
			cmp.Compare(a.PricePerHour, b.PricePerHour),
			cmp.Compare(b.Report.Running+b.Report.Waiting, a.Report.Running+a.Report.Waiting),
			cmp.Compare(b.ID, a.ID),
		)
	})
	plan.Drains = append(plan.Drains, victim.ID)
}

// planStops gives back drained hosts on which nothing runs.
func planStops(in Input, plan *Plan) {
	for _, h := range in.Hosts {
		if h.Drained && !h.Report.At.IsZero() && h.Report.Running+h.Report.Waiting == 0 {
			plan.Stops = append(plan.Stops, h.ID)
		}
	}
}

// planOrders makes the engines run the document's models: a few of them load
// at a time, and a model that the document dropped is unloaded.
func planOrders(in Input, live []Host, plan *Plan) {
	if in.Document.Kind != config.KindModel {
		return
	}
	loading := 0
	for _, h := range live {
		if h.Report.At.IsZero() {
			continue
		}
		for _, order := range engineOrders(in.Document, h.Report) {
			if order.Kind != port.OrderUnload {
				loading++
			}
			if loading > loadsInFlight {
				return
			}
			plan.Orders = append(plan.Orders, EndpointOrder{Host: h.ID, Address: h.EndpointAddress, Order: order})
		}
	}
}

func engineOrders(doc *config.Document, report port.LoadReport) []port.Order {
	var orders []port.Order
	wanted := map[string]bool{}
	for _, m := range doc.Models {
		wanted[m.Name] = true
		version, known := report.Versions[m.Name]
		switch {
		case !slices.Contains(report.Models, m.Name):
			orders = append(orders, port.Order{Kind: port.OrderLoad, Model: m.Name, Version: m.Version, Adapters: m.Adapters})
		case known && version != m.Version && report.Running == 0:
			orders = append(orders, port.Order{Kind: port.OrderVersion, Model: m.Name, Version: m.Version, Adapters: m.Adapters})
		}
	}
	for _, name := range report.Models {
		if !wanted[name] {
			orders = append(orders, port.Order{Kind: port.OrderUnload, Model: name})
		}
	}
	return orders
}
