package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/catalog"
	"github.com/cicadanotch/cicadanotch/fleet"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/presence"
	"github.com/cicadanotch/cicadanotch/scaling"
)

// orderCapacity orders endpoints for the services whose demand asks for it.
func (g *Gateway) orderCapacity(now time.Time, t port.Tenure) {
	snapshot := g.catalog.Current()
	if !g.opts.Scales || snapshot == nil {
		return
	}
	demands := g.demandOfAll(now)
	for name, service := range snapshot.Services {
		if service.Scaling == nil {
			continue
		}
		planner := g.duties.planners[name]
		if planner == nil {
			planner = scaling.NewPlanner(g.duties.inherited[name])
			g.duties.planners[name] = planner
		}
		in := g.capacityInput(now, service, demands[name])
		for _, order := range planner.Plan(now, in) {
			if !g.giveOrder(now, t, planner, order, in) {
				return
			}
		}
	}
}

// needs returns how many endpoints of each service this host plans for, to be told
// to a successor.
func (d *dutyState) needs() map[string]int {
	out := make(map[string]int, len(d.planners))
	for name, planner := range d.planners {
		out[name] = planner.Need()
	}
	return out
}

// lastNeeds returns what the last holder that was heard of planned for.
func lastNeeds(reports []presence.Report) map[string]int {
	var last presence.Report
	for _, r := range reports {
		if r.Fence > last.Fence {
			last = r
		}
	}
	return last.Needs
}

// demandOfAll sums the demand over all live hosts.
func (g *Gateway) demandOfAll(now time.Time) map[string]presence.Demand {
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

func (g *Gateway) capacityInput(_ time.Time, service catalog.Service, demand presence.Demand) scaling.Input {
	in := scaling.Input{Service: service, Demand: demand, Ready: map[scaling.Pool]int{}, Draining: map[scaling.Pool]int{}}
	for _, v := range g.fleet.All() {
		if v.Service != service.Name {
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
		g.duties.traffic = true
	}
	in.Traffic = g.duties.traffic
	heard, known := len(g.presence.Within(shareSilence)), len(g.presence.Within(shareLifetime))
	in.Partial = float64(heard) < partialShare*float64(known)
	return in
}

// giveOrder gives an order unless the same was given a moment ago. It reports
// false when the duties are no longer this host's.
func (g *Gateway) giveOrder(now time.Time, t port.Tenure, planner *scaling.Planner, order port.CapacityOrder, in scaling.Input) bool {
	key := order
	key.Count = 0
	if at, ok := g.duties.given[order]; ok && now.Sub(at) < orderAgain {
		return true
	}
	for given := range g.duties.given {
		same := given
		same.Count = 0
		if same == key {
			delete(g.duties.given, given)
		}
	}
	ctx, cancel := context.WithTimeout(g.context(), dutyTimeout)
	defer cancel()
	err := g.ports.Duties.OrderCapacity(ctx, t, order)
	g.dutyCall("capacity", err)
	pool := scaling.Pool{Zone: order.Zone, Spot: order.Spot}
	e := g.log.Info().Str("event", "capacity_order").Str("service", order.Service).Str("zone", order.Zone).Bool("spot", order.Spot).
		Int("count", order.Count).Int("ready", in.Ready[pool]).Int("need", planner.Need()).Int64("fence", t.Fence).
		Float64("prompt_per_s", in.Demand.Prompt).Float64("answer_per_s", in.Demand.Answer)
	if err != nil {
		e.Err(err)
	}
	e.Msg("")
	switch {
	case err == nil:
		g.duties.given[order] = now
	case errors.Is(err, port.ErrFenced):
		g.resign(time.Now(), "fenced")
		return false
	case errors.Is(err, port.ErrNoneToBeHad):
		planner.Refused(now, pool)
	}
	return true
}
