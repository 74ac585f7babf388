package quota

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/catalog"
	"github.com/cicadanotch/cicadanotch/grant"
)

// Values of a typical workspace: a limit in tokens per second, prompts of some hundred
// to 50,000 tokens, and the tolerance of a window of 8 s.
const (
	limitPerSecond = 375_000.0
	window         = 8 * time.Second
	ratio          = 0.1
	slack          = 140_000.0 // tokens

	simulatedTime = 30 * time.Second
)

var tolerance = Tolerance{Window: window, Ratio: ratio, Slack: slack}

func limitedWorkspace(rate float64) *catalog.Workspace {
	return &catalog.Workspace{Name: "big", Limit: catalog.Limit{InTokens: true, PerSecond: rate, Burst: rate}}
}

// fleetSimulation sends a workspace's load to hosts that ask a grantor for their shares, and records what
// was granted at which time and how much was refused.
type fleetSimulation struct {
	hosts    []*Table
	holdings []*grant.Holding
	ledger   *grant.Ledger
	askedAt  []time.Duration // by host; negative before the first call of a process
	granted  []granting
	waiting  []granting
	// restartAt is when all hosts restart; zero for never.
	restartAt time.Duration
	// partitioned is the number of hosts that do not reach the grantor from partitionedAt on.
	partitioned   int
	partitionedAt time.Duration
	refused       float64
	requested     float64
	entitled      float64 // the requested amount, capped at the limit in each step
}

type granting struct {
	at   time.Duration
	cost float64
}

func (s *fleetSimulation) run(rng *rand.Rand, w *catalog.Workspace, length time.Duration, rate func(time.Duration) float64, weights []float64) {
	start := time.Unix(1_800_000_000, 0)
	const step = 10 * time.Millisecond
	backlog := 0.0
	for at := time.Duration(0); at < length; at += step {
		now := start.Add(at)
		if s.restartAt > 0 && at == s.restartAt {
			s.start(now, 2)
		}
		s.ask(at, now, w)
		s.retryWaiting(at, now, w)
		backlog += rate(at) * step.Seconds()
		s.entitled += min(rate(at), w.Limit.PerSecond) * step.Seconds()
		for backlog > 0 {
			cost := 500 + rng.ExpFloat64()*9000
			cost = min(cost, 50_000)
			backlog -= cost
			s.requested += cost
			i := pickHost(rng, len(s.hosts), weights)
			if len(s.holdings[i].Shares(now)) == 0 {
				s.waiting = append(s.waiting, granting{at, cost})
				continue
			}
			_, ok := s.hosts[i].Take(now, w, cost)
			if !ok && at-s.askedAt[i] >= askInterval && !s.isPartitioned(i, at) { // it asks at once
				s.askFor(i, at, now, w)
			}
			if ok {
				s.granted = append(s.granted, granting{at, cost})
			} else {
				s.refused += cost
			}
		}
	}
}

// retryWaiting tries the requests again that have come before the host's first share, as the gateway does.
func (s *fleetSimulation) retryWaiting(at time.Duration, now time.Time, w *catalog.Workspace) {
	const timeout = time.Second
	waiting := s.waiting
	s.waiting = nil
	for n, r := range waiting {
		i := n % len(s.hosts)
		if len(s.holdings[i].Shares(now)) == 0 {
			if at-r.at < timeout {
				s.waiting = append(s.waiting, r)
			} else {
				s.refused += r.cost
			}
		} else if _, ok := s.hosts[i].Take(now, w, r.cost); ok {
			s.granted = append(s.granted, granting{at, r.cost})
		} else {
			s.refused += r.cost
		}
	}
}

func pickHost(rng *rand.Rand, hosts int, weights []float64) int {
	at := rng.Float64()
	for i, w := range weights {
		if at < w {
			return i
		}
		at -= w
	}
	return hosts - 1
}

// start starts all hosts and a grantor anew; process orders their processes.
func (s *fleetSimulation) start(now time.Time, process int64) {
	var names []string
	demand := map[string]float64{}
	for i := range s.hosts {
		if s.hosts[i] != nil {
			for w, rate := range s.hosts[i].Demand(now) {
				demand[w] += rate
			}
		}
		s.hosts[i] = NewTable(len(s.hosts), tolerance)
		names = append(names, strconv.Itoa(i))
	}
	s.holdings, s.askedAt = make([]*grant.Holding, len(s.hosts)), make([]time.Duration, len(s.hosts))
	for i, name := range names {
		s.askedAt[i] = -1
		s.holdings[i] = grant.NewHolding(name, process)
	}
	s.ledger = grant.NewLedger(now, process, grant.Before{Hosts: names, Demand: demand})
}

// ask makes each host ask the grantor for its shares, each at a different phase.
func (s *fleetSimulation) ask(at time.Duration, now time.Time, w *catalog.Workspace) {
	const interval = 300 * time.Millisecond
	for i := range s.hosts {
		phase := time.Duration(i) * interval / time.Duration(len(s.hosts))
		due := (at-phase.Truncate(10*time.Millisecond))%interval == 0 || s.askedAt[i] < 0 ||
			len(s.holdings[i].Shares(now)) == 0 && at-s.askedAt[i] >= askInterval
		if due && !s.isPartitioned(i, at) {
			s.askFor(i, at, now, w)
		}
	}
}

// askInterval is the least time between two calls of a host.
const askInterval = 50 * time.Millisecond

func (s *fleetSimulation) askFor(i int, at time.Duration, now time.Time, w *catalog.Workspace) {
	s.askedAt[i] = at
	call, ok := s.holdings[i].Ask(now, s.ledger.Token(), true, s.hosts[i].Demand(now))
	if !ok {
		return
	}
	reply, err := s.ledger.Answer(now, call, map[string]float64{w.Name: w.Limit.PerSecond})
	if err == nil && s.holdings[i].Accept(now, reply) {
		share := map[string]float64{w.Name: reply.Shares[w.Name].Fraction()}
		s.hosts[i].SetShares(now, []*catalog.Workspace{w}, share, reply.Busy, s.holdings[i].Until())
	}
}

func (s *fleetSimulation) isPartitioned(i int, at time.Duration) bool {
	return i < s.partitioned && at >= s.partitionedAt
}

// maxPerWindow returns the largest amount granted in any window.
func (s *fleetSimulation) maxPerWindow() float64 {
	largest, sum, first := 0.0, 0.0, 0
	for _, g := range s.granted {
		sum += g.cost
		for g.at-s.granted[first].at > window {
			sum -= s.granted[first].cost
			first++
		}
		largest = max(largest, sum)
	}
	return largest
}

// newSimulation returns hosts that started some time before the traffic.
func newSimulation(hosts int, w *catalog.Workspace) *fleetSimulation {
	const settled = 10 * time.Second
	s := &fleetSimulation{hosts: make([]*Table, hosts)}
	began := time.Unix(1_800_000_000, 0).Add(-settled)
	s.start(began, 1)
	for at := time.Duration(0); at < settled; at += 10 * time.Millisecond {
		s.ask(at, began.Add(at), w)
	}
	return s
}

func TestLimitHoldsOverAllHosts(t *testing.T) {
	allowed := (limitPerSecond*window.Seconds()+limitPerSecond)*(1+ratio) + slack
	for name, tc := range map[string]struct {
		times       float64       // demand in limits from jump on; 0.55 before
		jump        time.Duration // time at which demand jumps
		partitioned int           // number of hosts partitioned from the others just before the jump
		weights     []float64
		refused     float64 // maximum refused fraction of what is requested
	}{
		"usual demand, slightly above half the limit":     {0.55, 0, 0, []float64{.11, .11, .11, .11, .11, .11, .11, .11, .12}, 0.002},
		"many times the usual demand":                     {4, 0, 0, []float64{.11, .11, .11, .11, .11, .11, .11, .11, .12}, 1},
		"most callers in one zone":                        {0.55, 0, 0, []float64{.04, .04, .04, .04, .04, .04, .25, .25, .26}, 0.03},
		"many times the usual demand, mostly in one zone": {4, 0, 0, []float64{.04, .04, .04, .04, .04, .04, .25, .25, .26}, 1},
		"jump without a recent peak":                      {4, 12 * time.Second, 0, []float64{.11, .11, .11, .11, .11, .11, .11, .11, .12}, 1},
		"jump mostly in one zone without a recent peak":   {4, 12 * time.Second, 0, []float64{.04, .04, .04, .04, .04, .04, .25, .25, .26}, 1},
		"jump while a third of the hosts is partitioned":  {6, 12 * time.Second, 3, []float64{.11, .11, .11, .11, .11, .11, .11, .11, .12}, 1},
		"jump to eight times the limit":                   {8, 12 * time.Second, 0, []float64{.11, .11, .11, .11, .11, .11, .11, .11, .12}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(9, limitedWorkspace(limitPerSecond))
			sim.partitioned, sim.partitionedAt = tc.partitioned, tc.jump-2*time.Second
			sim.run(rand.New(rand.NewPCG(1, 2)), limitedWorkspace(limitPerSecond), simulatedTime,
				func(at time.Duration) float64 {
					if at < tc.jump {
						return 0.55 * limitPerSecond
					}
					return tc.times * limitPerSecond
				}, tc.weights)
			t.Logf("maximum per window %.0f of %.0f allowed, refused fraction %.4f", sim.maxPerWindow(), allowed, sim.refused/sim.requested)
			is.True(sim.maxPerWindow() <= allowed)                                               // the limit of a window holds
			is.True(sim.refused <= tc.refused*sim.requested)                                     // not refused below the limit
			is.True(sim.maxPerWindow() >= min(tc.times, 1)*limitPerSecond*window.Seconds()*0.95) // not throttled below its demand
			// Over the whole run a workspace gets nearly all it is entitled to.
			is.True(sim.requested-sim.refused >= 0.95*sim.entitled)
		})
	}
}

// TestRestartKeepsTheLimit guards against exceeding the limit when all hosts are killed
// and restarted during a peak: what the previous processes granted counts in the same
// window.
func TestRestartKeepsTheLimit(t *testing.T) {
	allowed := (limitPerSecond*window.Seconds()+limitPerSecond)*(1+ratio) + slack
	for name, times := range map[string]float64{"usual": 0.55, "at the limit": 1, "four times the limit": 4} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(9, limitedWorkspace(limitPerSecond))
			sim.restartAt = 15 * time.Second
			sim.run(rand.New(rand.NewPCG(1, 2)), limitedWorkspace(limitPerSecond), simulatedTime,
				func(time.Duration) float64 { return times * limitPerSecond }, []float64{.11, .11, .11, .11, .11, .11, .11, .11, .12})
			t.Logf("maximum per window %.0f of %.0f allowed, refused fraction %.4f", sim.maxPerWindow(), allowed, sim.refused/sim.requested)
			is.True(sim.maxPerWindow() <= allowed)
			if times < 0.6 {
				is.True(sim.refused <= 0.01*sim.requested)
			}
		})
	}
}

func TestNoLimit(t *testing.T) {
	is := is.New(t)
	h := NewTable(1, tolerance)
	_, ok := h.Take(time.Unix(0, 0), &catalog.Workspace{Name: "free"}, 1e9)
	is.True(ok)
	_, ok = h.Take(time.Unix(0, 0), nil, 1e9)
	is.True(ok)
}

func TestCost(t *testing.T) {
	for _, tc := range []struct {
		limit  catalog.Limit
		tokens int
		want   float64
	}{
		{catalog.Limit{}, 900, 1},
		{catalog.Limit{InTokens: true, DefaultTokens: 200}, -1, 200},
		{catalog.Limit{InTokens: true, DefaultTokens: 200}, 0, 0},
		{catalog.Limit{InTokens: true, DefaultTokens: 200}, 900, 900},
	} {
		is.New(t).Equal(Cost(tc.limit, tc.tokens), tc.want)
	}
}

// TestRelayIsCutOff guards against granting a zone's share twice when hosts lose the
// connection to the relay that granted it, as in run scale-2 of coldroot-jos. The hosts have no
// share of their own then, and what they grant without one is covered by the tolerance.
func TestRelayIsCutOff(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_800_000_000, 0)
	w := limitedWorkspace(limitPerSecond)
	const zone = 1.0 / 3
	relay, others := NewTable(9, tolerance), []*Table{NewTable(9, tolerance), NewTable(9, tolerance)}
	relay.SetShares(start, []*catalog.Workspace{w}, map[string]float64{w.Name: zone}, nil, start.Add(time.Minute))
	now := start.Add(20 * time.Second)
	_, ok := relay.Take(now, w, 30_000)
	is.True(ok)
	granted := 0.0
	for at := time.Duration(0); at < window; at += 10 * time.Millisecond {
		for _, h := range append(others, relay) {
			if _, ok := h.Take(now.Add(at), w, 5_000); ok {
				granted += 5_000
			}
		}
	}
	is.True(granted <= zone*((limitPerSecond*window.Seconds()+limitPerSecond)*(1+ratio)+slack))
}

// TestRestartGivesOutTheLimit guards against refusals after all relays restart at once
// while workspaces with small limits send their usual load, as in run trouble-3 on
// mandacaru-cfg-grown. No host has reported any demand yet, but the limit must be
// granted in full.
func TestRestartGivesOutTheLimit(t *testing.T) {
	const (
		relays   = 6
		limit    = 165_000.0
		usual    = 0.55
		restart  = 15 * time.Second
		observed = 4 * time.Second
	)
	is := is.New(t)
	sim := newSimulation(relays, limitedWorkspace(limit))
	sim.restartAt = restart
	sim.run(rand.New(rand.NewPCG(3, 4)), limitedWorkspace(limit), restart+observed,
		func(time.Duration) float64 { return usual * limit }, []float64{.17, .17, .17, .17, .16, .16})
	t.Logf("refused %.0f of %.0f", sim.refused, usual*limit*observed.Seconds())
	is.Equal(sim.refused, 0.0) // the workspace is well below its limit
	is.True(sim.maxPerWindow() <= (limit*window.Seconds()+limit)*(1+ratio)+slack)
}

// TestNoLengthIsStarved sends four times the limit, in tokens one half of it in requests of 1,000 tokens and the
// other in requests of 40,000, to one host with a share of a ninth, for 60 s. Both are served.
func TestNoLengthIsStarved(t *testing.T) {
	const (
		share   = 1.0 / 9
		times   = 4
		length  = 60 * time.Second
		step    = 10 * time.Millisecond
		shorter = 1_000.0
		longer  = 40_000.0
	)
	is := is.New(t)
	rng := rand.New(rand.NewPCG(5, 6))
	w, start := limitedWorkspace(limitPerSecond), time.Unix(1_800_000_000, 0)
	h := NewTable(9, tolerance)
	h.SetShares(start, []*catalog.Workspace{w}, map[string]float64{w.Name: share}, []string{w.Name}, start.Add(2*length))
	served, sent := map[float64]float64{}, map[float64]float64{}
	for at := time.Duration(0); at < length; at += step {
		if at%time.Second == 0 {
			h.SetShares(start.Add(at), []*catalog.Workspace{w}, map[string]float64{w.Name: share}, []string{w.Name}, start.Add(2*length))
		}
		for _, cost := range []float64{shorter, longer} {
			expected := times / 2 * limitPerSecond * share * step.Seconds() / cost
			for n := int(expected + rng.Float64()); n > 0; n-- {
				sent[cost]++
				if _, ok := h.Take(start.Add(at), w, cost); ok {
					served[cost]++
				}
			}
		}
	}
	total := served[shorter]*shorter + served[longer]*longer
	t.Logf("served %.3f of the short and %.3f of the long, %.2f of the limit", served[shorter]/sent[shorter], served[longer]/sent[longer], total/(limitPerSecond*share*length.Seconds()))
	is.True(served[longer]/sent[longer] >= 0.05)                     // long ones are served
	is.True(served[shorter]/sent[shorter] >= 0.25)                   // as are short ones
	is.True(total >= 0.95*limitPerSecond*share*length.Seconds())     // all of the share is used
	is.True(total <= limitPerSecond*share*(length+window).Seconds()) // and no more
}

// TestLongPromptsDoNotKeepShortOnesOut replays a workspace whose limit has fallen to 28,000 tokens a second, which
// is divided among three zones, while it sends three times as many: prompts of 1,500 tokens, a third of the limit,
// beside long ones. The short ones are served, the long ones get the rest, and few tokens are left.
func TestLongPromptsDoNotKeepShortOnesOut(t *testing.T) {
	const (
		limit  = 28_000.0
		share  = 1.0 / 3
		length = 60 * time.Second
		step   = 10 * time.Millisecond
	)
	is := is.New(t)
	rng := rand.New(rand.NewPCG(11, 12))
	w, start := limitedWorkspace(limit), time.Unix(1_800_000_000, 0)
	h := NewTable(9, tolerance)
	served, sent := map[float64]float64{}, map[float64]float64{}
	rates := map[float64]float64{1_500: limit / 3, 17_000: limit * 4 / 3, 40_000: limit * 4 / 3} // tokens per second
	for at := time.Duration(0); at < length; at += step {
		if at%time.Second == 0 {
			h.SetShares(start.Add(at), []*catalog.Workspace{w}, map[string]float64{w.Name: share}, []string{w.Name}, start.Add(2*length))
		}
		for _, cost := range []float64{1_500, 17_000, 40_000} {
			for n := int(rates[cost]*share*step.Seconds()/cost + rng.Float64()); n > 0; n-- {
				sent[cost]++
				if _, ok := h.Take(start.Add(at), w, cost); ok {
					served[cost]++
				}
			}
		}
	}
	total := 0.0
	for cost, n := range served {
		total += n * cost
		t.Logf("%.0f tokens: served %.0f of %.0f", cost, n, sent[cost])
	}
	is.True(served[1_500] >= 0.9*sent[1_500])
	is.True(served[17_000] >= 0.05*sent[17_000])
	is.True(served[40_000] >= 0.05*sent[40_000])
	is.True(total >= 0.9*limit*share*length.Seconds())
}

// TestRetryAfter: four times the limit is requested of one host, by callers who return when they are told to.
// Most find room when they come or return for the first time.
func TestRetryAfter(t *testing.T) {
	const (
		cost   = 10_000.0
		times  = 4
		length = 30 * time.Second
		step   = 10 * time.Millisecond
	)
	is := is.New(t)
	is.Equal(RetryAfter(50_000, 0, 100_000), 500*time.Millisecond) // as long as the refill takes
	is.Equal(RetryAfter(50_000, 50_000, 100_000), time.Second)     // after those that were refused before
	is.Equal(RetryAfter(1, 0, 100_000), minRetryAfter)
	is.Equal(RetryAfter(1e9, 0, 1), maxRetryAfter)
	is.Equal(RetryAfter(1, 0, 0), maxRetryAfter)
	rng := rand.New(rand.NewPCG(8, 9))
	w, start := limitedWorkspace(limitPerSecond), time.Unix(1_800_000_000, 0)
	h := NewTable(1, tolerance)
	h.SetShares(start, []*catalog.Workspace{w}, map[string]float64{w.Name: 1}, []string{w.Name}, start.Add(2*length))
	// The load is four times the limit for two seconds, then half of it.
	returning := map[time.Duration][]int{}
	tries, sent := map[int]int{}, 0
	try := func(at time.Duration, n int) {
		after, ok := h.Take(start.Add(at), w, cost)
		if ok {
			tries[n]++
			return
		}
		next := (at + after).Truncate(step) + step
		returning[next] = append(returning[next], n+1)
	}
	for at := time.Duration(0); at < length; at += step {
		rate := 0.5
		if at < 2*time.Second {
			rate = times
		}
		for n := int(rate*limitPerSecond*step.Seconds()/cost + rng.Float64()); n > 0; n-- {
			sent++
			try(at, 1)
		}
		for _, n := range returning[at] {
			try(at, n)
		}
	}
	served := 0
	for _, n := range tries {
		served += n
	}
	t.Logf("%d sent, served by try: %v", sent, tries)
	is.Equal(served, sent) // all return and are served once there is room
	is.True(tries[1]+tries[2] >= sent*8/10)
}

// TestRequestsThatArePassedOnCountOnce guards against a workspace that seems to ask for a multiple of what it does, and so to be
// near its limit, since several hosts are asked for one request.
func TestRequestsThatArePassedOnCountOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	w := limitedWorkspace(limitPerSecond)
	demand := 0.0
	for i, take := range []func(*Table) (time.Duration, bool){
		func(h *Table) (time.Duration, bool) { return h.Take(now, w, 40_000) },
		func(h *Table) (time.Duration, bool) { return h.TakeRefused(now, w, 40_000) },
	} {
		h := NewTable(9, tolerance)
		_, ok := take(h)
		is.True(!ok) // it has no share
		h.SetShares(now, []*catalog.Workspace{w}, map[string]float64{w.Name: 1}, nil, now.Add(time.Minute))
		_, ok = take(h)
		is.True(ok) // charged all the same
		if demand += h.Demand(now)[w.Name]; i == 0 {
			is.Equal(demand, 2*40_000/demandWindow.Seconds())
		}
	}
	is.Equal(demand, 2*40_000/demandWindow.Seconds())
}
