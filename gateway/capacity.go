package gateway

import (
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/catalog"
	"github.com/cicadanotch/cicadanotch/fleet"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/presence"
	"github.com/cicadanotch/cicadanotch/scaling"
)

// orderCapacity orders endpoints for the services whose demand requires them.
func (g *Gateway) orderCapacity(now time.Time, t port.Tenure) {
	snapshot := g.catalog.Current()
	if !g.opts.OrdersCapacity || snapshot == nil {
		return
	}
	demands := g.totalDemand(now)
	for name, service := range snapshot.Services {
		if service.Scaling == nil {
			continue
		}
		planner := g.leader.planners[name]
		if planner == nil {
			planner = scaling.NewPlanner(g.leader.inherited[name])
			g.leader.planners[name] = planner
		}
		in := g.capacityInput(service, demands[name])
		for _, order := range planner.Plan(now, in) {
			if g.rollouts.serving(name) && order.Count < in.Ready[scaling.Pool{Zone: order.Zone, Spot: order.Spot}] {
				continue // the endpoints of the old version are the way back
			}
			if !g.sendOrder(now, t, planner, order, in) {
				return
			}
		}
	}
}

// targetCounts returns the target count of endpoints of each service. They are reported so that the
// next leader can continue from them.
func (s *leaderState) targetCounts() map[string]int {
	out := make(map[string]int, len(s.planners))
	for name, planner := range s.planners {
		out[name] = planner.Target()
	}
	return out
}

// lastTargetCounts returns the target counts in the report with the highest fencing token: that of the
// previous leader.
func lastTargetCounts(reports []presence.Report) map[string]int {
	var last presence.Report
	for _, r := range reports {
		if r.FencingToken > last.FencingToken {
			last = r
		}
	}
	return last.Targets
}

// totalDemand sums the demand over all live hosts.
func (g *Gateway) totalDemand(now time.Time) map[string]presence.Demand {
	out := g.demand.Demands(now)
	for _, r := range g.presence.Live() {
		for name, d := range r.Demands {
			sum := out[name]
			sum.Requests += d.Requests
			sum.Prompt += d.Prompt
			sum.Answer += d.Answer
			sum.Waiting += d.Waiting
			sum.Refused += d.Refused
			sum.Generated += d.Generated
			sum.Generating += d.Generating
			out[name] = sum
		}
	}
	return out
}

func (g *Gateway) capacityInput(service catalog.Service, demand presence.Demand) scaling.Input {
	in := scaling.Input{Service: service, Demand: demand, TokenMS: g.placer.table.PaceOf(service.Name).TokenMS, Ready: map[scaling.Pool]int{}, Draining: map[scaling.Pool]int{}}
	for _, v := range g.fleet.All() {
		if v.Service != service.Name || !g.rollouts.counts(v.Service, v.Version) {
			continue
		}
		pool := scaling.Pool{Zone: v.Zone, Spot: v.Spot}
		if v.State == fleet.StateReady {
			in.Ready[pool]++
		} else {
			in.Draining[pool]++
		}
	}
	if demand.Requests > 0 {
		g.leader.seenTraffic = true
	}
	in.Traffic, in.Bootstrap = g.leader.seenTraffic, g.opts.Bootstrap
	reporting, known := len(g.presence.Within(shareTimeout)), len(g.presence.Within(shareTTL))
	in.Partial = float64(reporting) < minReportingShare*float64(known)
	return in
}

// sendOrder sends an order unless the same order was sent within orderRepeatInterval. It returns
// false when this host is no longer the leader.
func (g *Gateway) sendOrder(now time.Time, t port.Tenure, planner *scaling.Planner, order port.CapacityOrder, in scaling.Input) bool {
	key := order
	key.Count = 0
	if at, ok := g.leader.ordered[order]; ok && now.Sub(at) < orderRepeatInterval {
		return true
	}
	for earlier := range g.leader.ordered {
		earlierKey := earlier
		earlierKey.Count = 0
		if earlierKey == key {
			delete(g.leader.ordered, earlier)
		}
	}
	ctx, cancel, ok := g.actContext(t)
	if !ok {
		return false
	}
	defer cancel()
	err := g.ports.LeaderAPI.OrderCapacity(ctx, t, order)
	g.countPlatformCall("capacity", err)
	pool := scaling.Pool{Zone: order.Zone, Spot: order.Spot}
	e := g.log.Info().Str("event", "capacity_order").Str("service", order.Service).Str("zone", order.Zone).Bool("spot", order.Spot).
		Int("count", order.Count).Int("ready", in.Ready[pool]).Int("need", planner.Target()).Int64("fence", t.FencingToken).
		Float64("prompt_per_s", in.Demand.Prompt).Float64("answer_per_s", in.Demand.Answer)
	if err != nil {
		e.Err(err)
	}
	e.Msg("")
	switch {
	case err == nil:
		g.leader.ordered[order] = now
		planner.Accepted(now, order, in.Service.Scaling.BootTime)
	case errors.Is(err, port.ErrFenced):
		g.resign("fenced")
		return false
	case errors.Is(err, port.ErrNoCapacity):
		planner.Refused(now, pool)
	}
	return true
}
