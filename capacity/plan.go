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
	// targetUtilization is the fraction of the hosts' request slots that the plan fills;
	// the rest absorbs bursts and the requests of a lost zone.
	targetUtilization = 0.7
	// defaultMaxRunning is the number of request slots of a host that is assumed while
	// no host has reported it.
	defaultMaxRunning = 16
	// spreadWeight is the weight with which a zone's share of the hosts raises the
	// price of its pools in the choice of the next host.
	spreadWeight = 0.5
	// noticePenalty multiplies the price of a pool that has hosts under reclaim
	// notice: a host started there is likely to be reclaimed, too.
	noticePenalty = 2.0
	// scaleInDelay is how long fewer hosts must suffice before one is drained.
	scaleInDelay = 5 * time.Minute
	// maxStartsPerPlan bounds the hosts started by one plan, so that they do not all
	// fetch weights from the weight store at once.
	maxStartsPerPlan = 4
	// maxConcurrentLoads bounds the loads of weights that the engines of a service run at
	// the same time.
	maxConcurrentLoads = 2
	// maxSlotsPerPool bounds the slots of one pool.
	maxSlotsPerPool = 4096
)

// Host is an endpoint host as the planner sees it.
type Host struct {
	port.Host
	// Leaving is set for hosts under reclaim notice, listed as leaving, or drained.
	Leaving bool
	// Drained is set for hosts that leave because of a capacity record.
	Drained bool
	// Report is the last load report; its time is zero if there was none.
	Report port.LoadReport
}

// Input is the state from which a plan for one service is made.
type Input struct {
	Now      time.Time
	Document *config.Document
	Hosts    []Host
	// Queued is the number of requests waiting at entry hosts.
	Queued int
	Prices []port.Price
	// RefusedUntil holds until when no start is requested from a pool that refused
	// one.
	RefusedUntil map[Pool]time.Time
	// Pending holds the tokens of start requests whose hosts are not listed yet.
	Pending map[string]bool
}

// EndpointCommand is a command for the engine of one endpoint.
type EndpointCommand struct {
	Host    string
	Address string
	Command port.Command
}

// Start is a request for the host of a slot's generation.
type Start struct {
	Slot       Slot
	Generation int
	Request    port.StartRequest
}

// Plan is the set of actions to carry out now.
type Plan struct {
	// Wanted is the target count of hosts by load and document, Have the number of
	// hosts that are not leaving.
	Wanted int
	Have   int
	Starts []Start
	// Drains holds the ids of hosts to drain, Stops those of drained hosts to stop.
	Drains   []string
	Stops    []string
	Commands []EndpointCommand
	// ShortReason says why the plan starts fewer hosts than are missing; empty if no pool
	// or slot was short.
	ShortReason string
}

// Planner makes the plans of one service. The only state that it retains between plans
// is since when fewer hosts suffice, so a new planner drains no host before
// scaleInDelay. Not safe for concurrent use.
type Planner struct {
	table *Table
	// surplusSince is since when fewer hosts have sufficed; zero if they do not.
	surplusSince time.Time
}

// NewPlanner returns a planner that reads slot generations from table.
func NewPlanner(table *Table) *Planner { return &Planner{table: table} }

// Plan returns the plan for one service. The caller plans services in the order of
// their priorities, highest first, and carries out their starts in that order.
func (p *Planner) Plan(in Input) Plan {
	live := liveHosts(in.Hosts)
	plan := Plan{Wanted: targetCount(in, live), Have: len(live)}
	p.planStarts(in, live, &plan)
	p.planScaleIn(in, live, &plan)
	planStops(in, &plan)
	planCommands(in, live, &plan)
	return plan
}

// liveHosts returns the hosts that are not leaving.
func liveHosts(hosts []Host) []Host {
	var live []Host
	for _, h := range hosts {
		if !h.Leaving {
			live = append(live, h)
		}
	}
	return live
}

// targetCount returns the target count: the hosts that the load requires, within the
// document's bounds. Requests on leaving hosts count, because they move to the others.
func targetCount(in Input, live []Host) int {
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
	required := int(math.Ceil(float64(load) / (float64(slots) * targetUtilization)))
	return min(max(required, in.Document.Placement.MinHosts), in.Document.Placement.MaxHosts)
}

// planStarts adds the starts of missing hosts to a plan.
func (p *Planner) planStarts(in Input, live []Host, plan *Plan) {
	counts := map[string]int{}
	onDemand, spendPerHour := 0, 0.0
	taken := map[string]bool{}
	for _, h := range in.Hosts {
		taken[h.StartToken] = true
		spendPerHour += h.PricePerHour
	}
	for _, h := range live {
		counts[h.Zone]++
		if !h.Reclaimable {
			onDemand++
		}
	}
	missing := plan.Wanted - len(live) - len(in.Pending)
	for range min(missing, maxStartsPerPlan) {
		onDemandOnly := float64(onDemand) < in.Document.Placement.OnDemandShare*float64(plan.Wanted)
		price, ok := choosePool(in, counts, onDemandOnly, spendPerHour)
		if !ok {
			plan.ShortReason = "no pool has hosts to give within the document's spend"
			return
		}
		pool := poolOfPrice(price)
		start, ok := p.freeSlot(in, pool, taken)
		if !ok {
			plan.ShortReason = "no free slot in pool " + pool.String()
			return
		}
		taken[start.Request.Token] = true
		counts[pool.Zone]++
		spendPerHour += price.PricePerHour
		if !pool.Reclaimable {
			onDemand++
		}
		plan.Starts = append(plan.Starts, start)
	}
}

// choosePool returns the price entry of the pool with the lowest cost among those that
// the document allows. The cost is the price, raised by the share of the hosts that the
// zone already has.
func choosePool(in Input, counts map[string]int, onDemandOnly bool, spendPerHour float64) (port.Price, bool) {
	total := 0
	for _, n := range counts {
		total += n
	}
	noticed := poolsUnderNotice(in.Hosts)
	var best port.Price
	bestCost := math.Inf(1)
	for _, price := range in.Prices {
		pool := poolOfPrice(price)
		if !allowed(in, pool) || (onDemandOnly && pool.Reclaimable) {
			continue
		}
		if limit := in.Document.Spend.HostsPerHour; limit > 0 && spendPerHour+price.PricePerHour > limit {
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

// poolsUnderNotice returns the pools that have hosts under reclaim notice.
func poolsUnderNotice(hosts []Host) map[Pool]bool {
	out := map[Pool]bool{}
	for _, h := range hosts {
		if h.Leaving && !h.Drained {
			out[PoolOf(h.Host)] = true
		}
	}
	return out
}

// allowed reports whether a pool is in the document's placement and has not refused a
// start recently.
func allowed(in Input, pool Pool) bool {
	placement := in.Document.Placement
	return slices.Contains(placement.Zones, pool.Zone) &&
		slices.Contains(placement.Classes, pool.Class) &&
		!in.Now.Before(in.RefusedUntil[pool])
}

// freeSlot returns a start for the first slot of a pool that is used by no listed host
// and no pending start.
func (p *Planner) freeSlot(in Input, pool Pool, taken map[string]bool) (Start, bool) {
	for index := range maxSlotsPerPool {
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

// planScaleIn drains one host after fewer have sufficed for scaleInDelay: the most
// expensive one, and among equals the one with the least load.
func (p *Planner) planScaleIn(in Input, live []Host, plan *Plan) {
	if len(live) <= plan.Wanted {
		p.surplusSince = time.Time{}
		return
	}
	if p.surplusSince.IsZero() {
		p.surplusSince = in.Now
	}
	if in.Now.Sub(p.surplusSince) < scaleInDelay {
		return
	}
	p.surplusSince = in.Now
	victim := slices.MaxFunc(live, func(a, b Host) int {
		return cmp.Or(
			cmp.Compare(a.PricePerHour, b.PricePerHour),
			cmp.Compare(b.Report.Running+b.Report.Waiting, a.Report.Running+a.Report.Waiting),
			cmp.Compare(b.ID, a.ID),
		)
	})
	plan.Drains = append(plan.Drains, victim.ID)
}

// planStops stops drained hosts that have reported no running or waiting requests.
func planStops(in Input, plan *Plan) {
	for _, h := range in.Hosts {
		if h.Drained && !h.Report.At.IsZero() && h.Report.Running+h.Report.Waiting == 0 {
			plan.Stops = append(plan.Stops, h.ID)
		}
	}
}

// planCommands adds the commands that make the engines run the document's models. It
// bounds the number of loads at the same time. Models that were removed from the document
// are unloaded.
func planCommands(in Input, live []Host, plan *Plan) {
	if in.Document.Kind != config.KindModel {
		return
	}
	loading := 0
	for _, h := range live {
		if h.Report.At.IsZero() {
			continue
		}
		for _, command := range engineCommands(in.Document, h.Report) {
			if command.Kind != port.CommandUnload {
				loading++
			}
			if loading > maxConcurrentLoads {
				return
			}
			plan.Commands = append(plan.Commands, EndpointCommand{Host: h.ID, Address: h.EndpointAddress, Command: command})
		}
	}
}

// engineCommands returns the commands for one engine: load missing models, change the
// version of models while nothing runs, unload models that the document does not name.
func engineCommands(doc *config.Document, report port.LoadReport) []port.Command {
	var commands []port.Command
	inDocument := map[string]bool{}
	for _, m := range doc.Models {
		inDocument[m.Name] = true
		version, known := report.Versions[m.Name]
		switch {
		case !slices.Contains(report.Models, m.Name):
			commands = append(commands, port.Command{Kind: port.CommandLoad, Model: m.Name, Version: m.Version, Adapters: m.Adapters})
		case known && version != m.Version && report.Running == 0:
			commands = append(commands, port.Command{Kind: port.CommandVersion, Model: m.Name, Version: m.Version, Adapters: m.Adapters})
		}
	}
	for _, name := range report.Models {
		if !inDocument[name] {
			commands = append(commands, port.Command{Kind: port.CommandUnload, Model: name})
		}
	}
	return commands
}
