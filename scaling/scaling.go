// Package scaling decides how many endpoints of each kind a service has in each
// availability zone.
//
// Load pattern: reclaimable (spot) endpoints cost a fraction of the others, but
// all of a zone go at once on seconds of notice, and none may be had for some
// time after. So the load is carried by spot endpoints, spread so that the loss
// of the largest zone leaves enough; what that loss would leave short is covered
// by on-demand endpoints.
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
	// promptPerSecond is how many prompt tokens an engine reads a second when
	// it does nothing else: the sites' engines read 82,000 to 85,000.
	promptPerSecond = 80_000.0
	// promptShare is the part of that which may be used: beyond it first
	// tokens queue behind long prompts for longer than their objective.
	promptShare = 0.58
	// stepTime is the time of one generated token in a batch that reads no
	// prompt meanwhile, in seconds, until it is measured: the sites' engines take
	// 3 to 7 ms. stepLeast and stepMost bound what is measured. slotShare is the
	// part of the slots that may be used.
	stepTime  = 0.0045
	stepLeast = 0.002
	stepMost  = 0.015
	slotShare = 0.65
	// readingMost is the part of an engine's time that is taken to go into reading
	// prompts at most: beyond it nothing is generated.
	readingMost = 0.85
	// headroom covers what demand rises by within the time an order takes.
	headroom = 1.15
	// shrinkAfter is how long demand must have been lower before endpoints are
	// given back: a wave of load passes in less.
	shrinkAfter = 10 * time.Second
	// watchFirst is how long a holder watches before it gives any on-demand
	// endpoint back: the registry lists those that are there within some
	// seconds of a start.
	watchFirst = 4 * time.Second
	// keepOnDemand is how long on-demand endpoints are kept after they are no
	// longer needed: a new one takes its boot time, and reclaims come in waves.
	keepOnDemand = 4 * time.Second
	// initialShare is the part of the endpoints present at the start that is
	// taken as the need before any demand is known, and firstSpot that of a
	// zone's most that is ordered as spot at once.
	initialShare = 0.67
	firstSpot    = 0.5
	// unavailableFor is how long a zone that had none is not asked again.
	unavailableFor = 2 * time.Second
	// spotSurplus is how much more than the need is left as spot endpoints when
	// one zone loses its own. They cost a sixth of the others.
	spotSurplus = 1.2
	// lossesAtOnce is how many zones, as a part of all, may be without spot
	// endpoints at the same time: none is to be had for some time after a reclaim,
	// and the next zone goes within that.
	lossesAtOnce = 1.0 / 3
	// waveTime is how long after a reclaim another is expected, beside the one that
	// always is, and waveLoss how likely that is: the landlord takes zones one
	// after the other, seconds apart, and an on-demand endpoint takes its boot
	// time.
	waveTime = 6 * time.Second
	waveLoss = 0.5
)

// Pool is a kind of endpoint in a zone.
type Pool struct {
	Zone string
	Spot bool
}

// Input is what one plan is made from.
type Input struct {
	Service catalog.Service
	// Demand is that of all hosts together.
	Demand presence.Demand
	// Ready counts the endpoints that serve, Draining those that leave.
	Ready, Draining map[Pool]int
	// Traffic tells that requests have been seen; before that the endpoints
	// that are there are kept.
	Traffic bool
	// Partial tells that the demand of many hosts is not known: nothing is given
	// back on that account.
	Partial bool
}

// Planner makes the plans of one service. Not safe for concurrent use.
type Planner struct {
	need     int
	lowSince time.Time
	refused  map[Pool]time.Time
	// wanted is what was last ordered of each pool.
	wanted map[Pool]int
	// since is when the first plan was made, trafficSince when demand was first
	// seen; until a while after that the need is guessed.
	since, trafficSince time.Time
	guessed             bool
	// reclaimedAt is when endpoints were last seen to be reclaimed.
	reclaimedAt time.Time
	// surplusSince is when fewer on-demand endpoints first sufficed.
	surplusSince time.Time
}

// NewPlanner returns a planner that goes on from the need that another one planned
// for, zero when nothing of the past is known.
func NewPlanner(need int) *Planner {
	return &Planner{need: need, refused: map[Pool]time.Time{}, wanted: map[Pool]int{}}
}

// Refused notes that none of a pool could be had.
func (p *Planner) Refused(now time.Time, pool Pool) { p.refused[pool] = now.Add(unavailableFor) }

// inWave reports whether more reclaims are expected.
func (p *Planner) inWave(now time.Time) bool {
	return !p.reclaimedAt.IsZero() && now.Sub(p.reclaimedAt) < waveTime
}

// Needed returns how many engines a demand takes: enough to read the prompts in
// a part of the time, and enough slots for the answers, each token of which waits
// for the prompts that are read meanwhile. serving is how many there are now, zero
// when that is not known.
func Needed(d presence.Demand, e catalog.Engine, serving int) int {
	n := max(math.Ceil(d.Prompt/(promptPerSecond*promptShare)), 1)
	slots := float64(max(e.Slots, 1)) * slotShare
	step := measuredStep(d, serving)
	for {
		reading := d.Prompt / (promptPerSecond * n)
		if d.Answer*step/(1-reading) <= n*slots {
			return int(math.Ceil(headroom * n))
		}
		n++
	}
}

// measuredStep is the time of one generated token in a batch that reads no prompt,
// worked out from the pace of the streams that ended.
func measuredStep(d presence.Demand, serving int) float64 {
	if d.Generated <= 0 || d.Generating <= 0 || serving <= 0 {
		return stepTime
	}
	reading := min(d.Prompt/(promptPerSecond*float64(serving)), readingMost)
	return min(max(d.Generating/d.Generated*(1-reading), stepLeast), stepMost)
}

// ordered reports whether endpoints of a pool leave because fewer were ordered.
func (p *Planner) ordered(pool Pool, in Input) bool {
	return in.Ready[pool] >= p.wanted[pool]
}

// Plan returns the orders that bring the endpoints to what the demand needs, at
// most one for each pool whose count shall change.
func (p *Planner) Plan(now time.Time, in Input) []port.CapacityOrder {
	s := in.Service.Scaling
	if s == nil || in.Service.Engine == nil || len(s.ZonePrices) == 0 {
		return nil
	}
	p.settle(now, in)
	for pool, n := range in.Draining {
		if pool.Spot && n > 0 && !p.ordered(pool, in) {
			p.reclaimedAt = now
		}
	}
	zones := zonesByPrice(s)
	spot := p.spotTargets(now, zones, s, in)
	onDemand := p.onDemandTargets(now, zones, s, spot, in)
	p.keepSurplus(now, zones, onDemand, in)
	for _, z := range zones {
		// Both kinds share a zone's bound; those that run go before those that
		// may not be had.
		spot[z] = min(spot[z], max(s.Max-onDemand[z], in.Ready[Pool{z, true}]))
		p.wanted[Pool{z, true}] = spot[z]
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

// keepSurplus keeps on-demand endpoints that are no longer needed for a while,
// and all of them until the demand is known.
func (p *Planner) keepSurplus(now time.Time, zones []string, onDemand map[string]int, in Input) {
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
	if !in.Partial && now.Sub(p.since) >= watchFirst && now.Sub(p.surplusSince) >= keepOnDemand {
		return
	}
	for _, z := range zones {
		onDemand[z] = max(onDemand[z], in.Ready[Pool{z, false}])
	}
}

// settle moves the need: up at once, down after demand has been lower for a
// while.
func (p *Planner) settle(now time.Time, in Input) {
	total, onDemand := 0, 0
	for pool, n := range in.Ready {
		total += n
		if !pool.Spot {
			onDemand += n
		}
	}
	if p.since.IsZero() {
		p.since = now
	}
	if !in.Traffic {
		// The endpoints that were there at the start are the only sign of the
		// demand to come.
		p.need = max(p.need, int(math.Ceil(initialShare*float64(onDemand))))
		p.guessed = true
		return
	}
	if p.trafficSince.IsZero() {
		p.trafficSince = now
	}
	need := max(Needed(in.Demand, *in.Service.Engine, total), 1)
	if p.need == 0 {
		// A new holder knows the demand only as far as it has heard of it.
		need = max(need, total/2)
	}
	if p.guessed && now.Sub(p.trafficSince) >= watchFirst {
		// From here on demand is measured; what was guessed is given up in a
		// third of the time of an ordinary decline.
		p.guessed = false
		p.lowSince = now.Add(-shrinkAfter * 2 / 3)
	}
	switch {
	case need >= p.need:
		p.need, p.lowSince = need, time.Time{}
	case in.Partial:
		p.lowSince = time.Time{}
	case p.lowSince.IsZero():
		p.lowSince = now
	case now.Sub(p.lowSince) >= shrinkAfter:
		p.need--
		p.lowSince = now.Add(time.Second - shrinkAfter)
	}
}

// Need returns how many engines are planned for.
func (p *Planner) Need() int { return p.need }

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

// spotTargets spreads spot endpoints so that the loss of one zone leaves the
// need; zones where none can be had keep what they have.
func (p *Planner) spotTargets(now time.Time, zones []string, s *catalog.Scaling, in Input) map[string]int {
	out := map[string]int{}
	if s.SpotPrice <= 0 || s.SpotPrice >= 1 {
		return out
	}
	each := p.need
	if n := len(zones); n > 1 {
		left := n - max(int(lossesAtOnce*float64(n)), 1)
		each = int(math.Ceil(float64(p.need) * max(spotSurplus/float64(n-1), 1/float64(left))))
	}
	if !in.Traffic {
		each = max(each, int(math.Ceil(firstSpot*float64(s.Max))))
	}
	each = min(max(each, 1), s.Max)
	for _, z := range zones {
		pool := Pool{z, true}
		out[z] = each
		if p.inWave(now) {
			out[z] = max(each, in.Ready[pool]) // none could be had again
		}
		if now.Before(p.refused[pool]) {
			out[z] = min(out[z], in.Ready[pool])
		}
	}
	return out
}

// onDemandTargets covers what the loss of the largest zone's spot endpoints
// would leave short, counting the spot endpoints that serve now.
func (p *Planner) onDemandTargets(now time.Time, zones []string, s *catalog.Scaling, spot map[string]int, in Input) map[string]int {
	serving, largest, second := 0, 0, 0
	for _, z := range zones {
		n := min(in.Ready[Pool{z, true}], spot[z])
		serving += n
		largest, second = max(largest, n), max(second, min(largest, n))
	}
	short := p.need - (serving - largest)
	if p.inWave(now) {
		short += int(waveLoss * float64(second))
	}
	out := map[string]int{}
	for _, z := range zones {
		out[z] = max(s.Min-spot[z], 0)
		short -= out[z]
	}
	// Those that run already are kept first: a new one takes its boot time.
	for _, z := range zones {
		more := min(max(short, 0), max(in.Ready[Pool{z, false}]-out[z], 0))
		out[z] += more
		short -= more
	}
	for short > 0 {
		before := short
		for _, z := range zones {
			if short > 0 && out[z]+min(in.Ready[Pool{z, true}], spot[z]) < s.Max {
				out[z]++
				short--
			}
		}
		if short == before {
			break // every zone is at its bound
		}
	}
	return out
}
