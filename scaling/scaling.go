// Package scaling decides how many endpoints of each kind a service has in each
// availability zone.
//
// Load pattern: reclaimable (spot) endpoints cost a fraction of the on-demand price,
// but all those of a zone are reclaimed at once with seconds of notice, and for some
// time after that none may be available. So spot endpoints carry the load, spread
// over the zones so that enough remain when the largest zone is lost. On-demand
// endpoints cover what would be missing then. Each endpoint runs one engine.
//
// The package does no I/O and reads no clock.
package scaling

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cicadanotch/cicadanotch/catalog"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/presence"
)

const (
	// maxPrefillFraction is the fraction of an engine's learnt prefill rate that may be used. It is above one, as
	// the rate is learnt from single prompts beside running streams: several prompts share the engine's steps.
	maxPrefillFraction = 1.25
	// minReserveFactor times the target count is the least number of endpoints. Where zones have spot endpoints the
	// one that may be lost is the reserve; while none are to be had there would be none, and an on-demand
	// endpoint takes its boot time to serve.
	minReserveFactor = 1.4
	// defaultStepSeconds is the time per generated token in a batch without prefill, in
	// seconds, that is assumed until streams have ended: the sites' engines take 3 to
	// 7 ms.
	defaultStepSeconds = 0.0045
	// minStepSeconds and maxStepSeconds bound the observed time per generated token.
	minStepSeconds = 0.002
	maxStepSeconds = 0.015
	// maxSlotFraction is the fraction of the slots that may be used.
	maxSlotFraction = 0.65
	// maxPrefillTimeFraction bounds the fraction of an engine's time that is attributed to
	// prefill: beyond it nothing would be generated.
	maxPrefillTimeFraction = 0.85
	// scaleInDelay is how long demand must have been lower before endpoints are
	// released: fluctuations of the load are shorter.
	scaleInDelay = 10 * time.Second
	// listingTime is how long it takes until the registry lists all endpoints that are present
	// at the start of the whole system.
	listingTime = 3 * time.Second
	// observationTime is how long a new leader observes before it releases any on-demand
	// endpoint: the registry of endpoints lists those that are present only within some
	// seconds of a start. It is also the time from the first demand until the target count
	// that was guessed before is no longer held.
	observationTime = 4 * time.Second
	// onDemandRetention is how long on-demand endpoints are retained after they are no
	// longer required: a new one takes its boot time, and reclaims come in series.
	onDemandRetention = 4 * time.Second
	// initialTargetFraction is the target count before any demand is known, as a fraction
	// of the on-demand endpoints that are present.
	initialTargetFraction = 0.67
	// initialSpotFraction is the fraction of a zone's maximum that is planned as spot
	// endpoints before any demand is known.
	initialSpotFraction = 0.5
	// bootMargin is how much longer than its boot time an endpoint may take until the registry
	// lists it.
	bootMargin = 2 * time.Second
	// spotScaleInInterval is the time from one decrease of the target count for spot
	// endpoints to the next. They cost a sixth of the on-demand price, and without them the
	// next peak is covered by on-demand endpoints.
	spotScaleInInterval = 15 * time.Second
	// refusalBackoff is how long a pool that refused an order is not asked again.
	refusalBackoff = 2 * time.Second
	// spotSurplusFactor times the target count is the number of spot endpoints that are
	// to remain when one zone loses its own. Spot endpoints cost a sixth of the on-demand
	// price.
	spotSurplusFactor = 1.2
	// maxLostZoneFraction is the fraction of the zones that the plan allows to be without
	// spot endpoints at the same time: after a reclaim none are available for some time,
	// and the next zone may be reclaimed within that time.
	maxLostZoneFraction = 1.0 / 3
	// reclaimSeriesWindow is how long after a reclaim a further one is expected: the
	// platform reclaims zones one after the other, seconds apart. The loss of one zone is
	// always planned for.
	reclaimSeriesWindow = 6 * time.Second
	// furtherReclaimProbability is the probability of that further reclaim. It is planned
	// for in advance, because an on-demand endpoint takes its boot time.
	furtherReclaimProbability = 0.5
)

// Pool identifies the spot or the on-demand endpoints in an availability zone.
type Pool struct {
	Zone string
	Spot bool
}

// Input is the state from which a plan is made.
type Input struct {
	Service catalog.Service
	// Demand is the sum over all hosts.
	Demand presence.Demand
	// TokenMS is the prefill time per token of one engine that also generates, in milliseconds.
	TokenMS float64
	// Ready counts the endpoints that serve, Draining those that drain because they are
	// released or reclaimed.
	Ready, Draining map[Pool]int
	// Traffic is set once requests have been seen. Before that the target count is
	// derived from the endpoints that are present, and does not fall.
	Traffic bool
	// Bootstrap is set in a process that was started with the whole system: until there is
	// traffic, none can be lost by releasing endpoints.
	Bootstrap bool
	// Partial is set if the demand of many hosts is unknown. While it is set, no endpoint
	// is released because of a low demand.
	Partial bool
}

// Planner makes the plans of one service. Not safe for concurrent use.
type Planner struct {
	// target is the target count: the number of endpoints that the service is to have.
	// The counts that a plan sets for the pools are called planned counts.
	target int
	// lowSince is the time from which scaleInDelay is counted while demand requires fewer
	// endpoints than target; zero while it does not or is partly unknown. It is set to an
	// earlier time if the next decrease is to follow sooner.
	lowSince time.Time
	// refusedUntil is the time before which no further endpoints of a pool are ordered.
	refusedUntil map[Pool]time.Time
	// lastPlannedSpot is the planned count of each spot pool in the last plan, whether or
	// not an order was returned for it. It has no on-demand pools.
	lastPlannedSpot map[Pool]int
	// firstPlanAt is when the first plan was made, trafficSince when demand was first
	// seen. guessed is set while the target count is derived from the endpoints present
	// at the start: until observationTime after trafficSince.
	firstPlanAt, trafficSince time.Time
	guessed                   bool
	// reclaimedAt is when a reclaim was last seen.
	reclaimedAt time.Time
	// spotTarget is the target count for spot endpoints. It follows target up at once, and
	// down by one in spotScaleInInterval from spotLoweredAt on.
	spotTarget    int
	spotLoweredAt time.Time
	// booting holds the counts of accepted orders for spot endpoints, by pool, until they
	// should serve.
	booting map[Pool]bootingOrder
	// surplusSince is the time from which fewer on-demand endpoints than are ready have
	// sufficed; zero if they do not suffice.
	surplusSince time.Time
}

// NewPlanner returns a planner that continues from the target count of another one,
// zero if that is unknown.
func NewPlanner(target int) *Planner {
	return &Planner{target: target, refusedUntil: map[Pool]time.Time{}, lastPlannedSpot: map[Pool]int{}, booting: map[Pool]bootingOrder{}}
}

// bootingOrder is an accepted order for spot endpoints.
type bootingOrder struct {
	count int
	until time.Time
}

// Accepted records that the platform accepted an order; the endpoints serve after the boot time.
func (p *Planner) Accepted(now time.Time, order port.CapacityOrder, bootTime time.Duration) {
	if order.Spot {
		p.booting[Pool{order.Zone, true}] = bootingOrder{order.Count, now.Add(bootTime + bootMargin)}
	}
}

// Refused records that the platform had no endpoint of a pool available.
func (p *Planner) Refused(now time.Time, pool Pool) { p.refusedUntil[pool] = now.Add(refusalBackoff) }

// furtherReclaimExpected reports whether a reclaim is so recent that further ones are
// expected.
func (p *Planner) furtherReclaimExpected(now time.Time) bool {
	return !p.reclaimedAt.IsZero() && now.Sub(p.reclaimedAt) < reclaimSeriesWindow
}

// RequiredEngines returns how many engines a demand requires: enough to prefill the
// prompts in a fraction of the time, and enough slots for the answers, whose tokens are
// delayed by the prefill in the same batch. It has no reserve: the plan is made so that as many remain when the
// largest zone is lost, so that until then more serve. d.Prompt and d.Answer are in tokens per second.
// ready is the present number of ready engines, zero if unknown; tokenMS is as Input.TokenMS.
func RequiredEngines(d presence.Demand, e catalog.Engine, ready int, tokenMS float64) int {
	rate := 1000 / tokenMS
	n := max(math.Ceil(d.Prompt/(rate*maxPrefillFraction)), 1)
	slots := float64(max(e.Slots, 1)) * maxSlotFraction
	step := stepSeconds(d, ready, rate)
	for {
		prefilling := min(d.Prompt/(rate*n), maxPrefillTimeFraction)
		if d.Answer*step/(1-prefilling) <= n*slots {
			return int(n)
		}
		n++
	}
}

// stepSeconds returns the time per generated token in a batch without prefill, in
// seconds, derived from the pace of the streams that ended: d.Generating (seconds of
// generation per second) divided by d.Generated (tokens per second).
func stepSeconds(d presence.Demand, ready int, rate float64) float64 {
	if d.Generated <= 0 || d.Generating <= 0 || ready <= 0 {
		return defaultStepSeconds
	}
	prefilling := min(d.Prompt/(rate*float64(ready)), maxPrefillTimeFraction)
	return min(max(d.Generating/d.Generated*(1-prefilling), minStepSeconds), maxStepSeconds)
}

// drainingAsPlanned reports whether endpoints of a spot pool drain because the last plan
// released them, and not because of a reclaim. It is for spot pools only: on-demand pools
// have no entry in lastPlannedSpot.
func (p *Planner) drainingAsPlanned(pool Pool, in Input) bool {
	return in.Ready[pool] >= p.lastPlannedSpot[pool]
}

// Plan returns the orders that bring the pools to their planned counts, at most one for
// each pool, and none for a pool whose count need not change.
func (p *Planner) Plan(now time.Time, in Input) []port.CapacityOrder {
	s := in.Service.Scaling
	if s == nil || in.Service.Engine == nil || len(s.ZonePrices) == 0 {
		return nil
	}
	p.updateTarget(now, in)
	p.updateSpotTarget(now)
	for pool, n := range in.Draining {
		if pool.Spot && n > 0 && !p.drainingAsPlanned(pool, in) {
			p.reclaimedAt = now
		}
	}
	zones := zonesByPrice(s)
	spot := p.planSpot(now, zones, s, in)
	onDemand := p.planOnDemand(now, zones, s, spot, in)
	p.retainSurplus(now, zones, onDemand, in)
	for _, z := range zones {
		// Spot and on-demand endpoints share a zone's maximum. Further spot endpoints may
		// not be available, so they get only what the on-demand endpoints leave of it;
		// ready spot endpoints are retained beyond that.
		spot[z] = min(spot[z], max(s.Max-onDemand[z], in.Ready[Pool{z, true}]))
		p.lastPlannedSpot[Pool{z, true}] = spot[z]
	}
	var orders []port.CapacityOrder
	for _, z := range zones {
		for _, o := range []struct {
			pool Pool
			want int
		}{{Pool{z, true}, spot[z]}, {Pool{z, false}, onDemand[z]}} {
			if o.want != in.Ready[o.pool] {
				orders = append(orders, port.CapacityOrder{Service: in.Service.Name, Zone: z, Spot: o.pool.Spot, Count: o.want})
			}
		}
	}
	return orders
}

// retainSurplus raises the planned counts so that on-demand endpoints are retained for
// onDemandRetention after they are no longer required, and all of them until the demand
// is known.
func (p *Planner) retainSurplus(now time.Time, zones []string, onDemand map[string]int, in Input) {
	surplus := false
	for _, z := range zones {
		surplus = surplus || onDemand[z] < in.Ready[Pool{z, false}]
	}
	if !surplus {
		p.surplusSince = time.Time{}
		return
	}
	if p.surplusSince.IsZero() {
		p.surplusSince = now
	}
	if in.Bootstrap && !in.Traffic && now.Sub(p.firstPlanAt) >= listingTime {
		return
	}
	if !in.Partial && now.Sub(p.firstPlanAt) >= observationTime && now.Sub(p.surplusSince) >= onDemandRetention {
		return
	}
	for _, z := range zones {
		onDemand[z] = max(onDemand[z], in.Ready[Pool{z, false}])
	}
}

// updateTarget updates the target count: up at once; down, by one a second, only after
// demand has been lower for scaleInDelay.
func (p *Planner) updateTarget(now time.Time, in Input) {
	total, onDemand := 0, 0
	for pool, n := range in.Ready {
		total += n
		if !pool.Spot {
			onDemand += n
		}
	}
	if p.firstPlanAt.IsZero() {
		p.firstPlanAt = now
	}
	if !in.Traffic {
		// The endpoints present at the start are the only indication of the demand
		// to come.
		p.target = max(p.target, int(math.Ceil(initialTargetFraction*float64(onDemand))))
		p.guessed = true
		return
	}
	if p.trafficSince.IsZero() {
		p.trafficSince = now
	}
	target := max(RequiredEngines(in.Demand, *in.Service.Engine, total, in.TokenMS), 1)
	if p.target == 0 {
		// A new leader knows only the demand of the hosts whose reports it has read.
		target = max(target, total/2)
	}
	if p.guessed && now.Sub(p.trafficSince) >= observationTime {
		// From here on the demand is known. The guessed target count begins to fall
		// after a third of scaleInDelay.
		p.guessed = false
		p.lowSince = now.Add(-scaleInDelay * 2 / 3)
	}
	switch {
	case target >= p.target:
		p.target, p.lowSince = target, time.Time{}
	case in.Partial:
		p.lowSince = time.Time{}
	case p.lowSince.IsZero():
		p.lowSince = now
	case now.Sub(p.lowSince) >= scaleInDelay:
		p.target--
		p.lowSince = now.Add(time.Second - scaleInDelay)
	}
}

// updateSpotTarget updates the target count for spot endpoints.
func (p *Planner) updateSpotTarget(now time.Time) {
	if p.target >= p.spotTarget {
		p.spotTarget, p.spotLoweredAt = p.target, now
	} else if now.Sub(p.spotLoweredAt) >= spotScaleInInterval {
		p.spotTarget, p.spotLoweredAt = p.spotTarget-1, now
	}
}

// Target returns the target count of endpoints.
func (p *Planner) Target() int { return p.target }

// zonesByPrice returns the zones of a service, cheapest first.
func zonesByPrice(s *catalog.Scaling) []string {
	zones := make([]string, 0, len(s.ZonePrices))
	for z := range s.ZonePrices {
		zones = append(zones, z)
	}
	slices.SortFunc(zones, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.ZonePrices[a], s.ZonePrices[b]), cmp.Compare(a, b))
	})
	return zones
}

// planSpot returns the planned count of spot endpoints for each zone. All zones get the
// same count, up to the zone's maximum, such that two conditions hold: spotSurplusFactor
// times the target count remains when one zone loses its spot endpoints, and the target
// count remains when maxLostZoneFraction of the zones (rounded down, at least one) lose
// theirs. A single zone gets the target count. Until demand is known the count is at least
// initialSpotFraction of the maximum. While further reclaims are expected, it is at least
// the ready endpoints. In a zone that refused an order within refusalBackoff, the
// count does not exceed the ready endpoints.
func (p *Planner) planSpot(now time.Time, zones []string, s *catalog.Scaling, in Input) map[string]int {
	out := map[string]int{}
	if s.SpotPrice <= 0 || s.SpotPrice >= 1 {
		return out
	}
	perZone := p.spotTarget
	if n := len(zones); n > 1 {
		remaining := n - max(int(maxLostZoneFraction*float64(n)), 1)
		perZone = int(math.Ceil(float64(p.spotTarget) * max(spotSurplusFactor/float64(n-1), 1/float64(remaining))))
	}
	if !in.Traffic {
		perZone = max(perZone, int(math.Ceil(initialSpotFraction*float64(s.Max))))
	}
	perZone = min(max(perZone, 1), s.Max)
	for _, z := range zones {
		pool := Pool{z, true}
		out[z] = perZone
		if p.furtherReclaimExpected(now) {
			out[z] = max(perZone, in.Ready[pool]) // released endpoints may not be available again
		}
		if now.Before(p.refusedUntil[pool]) {
			out[z] = min(out[z], in.Ready[pool])
		}
	}
	return out
}

// usableSpot returns the spot endpoints of a pool that planOnDemand may count on: those that are ready,
// and before there is traffic also those that boot.
func (p *Planner) usableSpot(now time.Time, pool Pool, in Input) int {
	if b := p.booting[pool]; in.Bootstrap && !in.Traffic && now.Before(b.until) {
		return max(in.Ready[pool], b.count)
	}
	return in.Ready[pool]
}

// planOnDemand returns the planned count of on-demand endpoints for each zone, such that
// they cover what would be missing if the zone with the most spot endpoints lost them.
// Only ready spot endpoints are counted, up to the planned count of their zone.
func (p *Planner) planOnDemand(now time.Time, zones []string, s *catalog.Scaling, spot map[string]int, in Input) map[string]int {
	// ready is the sum of the spot endpoints counted in the zones, largest and second are
	// the two highest counts of a zone.
	ready, largest, second := 0, 0, 0
	for _, z := range zones {
		n := min(p.usableSpot(now, Pool{z, true}, in), spot[z])
		ready += n
		largest, second = max(largest, n), max(second, min(largest, n))
	}
	// missing is the number of on-demand endpoints that have yet to be assigned to zones.
	missing := max(p.target-(ready-largest), int(math.Ceil(minReserveFactor*float64(p.target)))-ready, 0)
	if p.furtherReclaimExpected(now) {
		missingThen := max(p.target-(ready-largest-second), 0)
		missing += int(math.Ceil(furtherReclaimProbability * float64(missingThen-missing)))
	}
	out := map[string]int{}
	for _, z := range zones {
		out[z] = max(s.Min-spot[z], 0)
		missing -= out[z]
	}
	// Running endpoints are retained first, because a new one takes its boot time.
	for _, z := range zones {
		more := min(max(missing, 0), max(in.Ready[Pool{z, false}]-out[z], 0))
		out[z] += more
		missing -= more
	}
	for missing > 0 {
		before := missing
		for _, z := range zones {
			if missing > 0 && out[z]+min(in.Ready[Pool{z, true}], spot[z]) < s.Max {
				out[z]++
				missing--
			}
		}
		if missing == before {
			break // every zone is at its maximum
		}
	}
	return out
}
