package placement

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/speed"
)

// play is a load on endpoints, in simulated time. An endpoint with engines prefills one prompt after the
// other and then generates in a slot; one without runs a call in a slot. Times are multiplied by factor.
type play struct {
	hosts, endpoints, slots int
	perSecond               float64
	seconds                 float64
	calls                   bool
	// factor is how much longer work takes at an endpoint with a number of others in progress there.
	factor func(atMS float64, endpoint, inProgress int) float64
	// learn switches the estimates of package speed on.
	learn bool
	// stated is what an endpoint states of its time of work; nil if none states it.
	stated func(atMS float64, endpoint int) float64
	// reportMS is how old what the hosts know of one another is, at most.
	reportMS float64
	seed     uint64
	// measureFromMS is when measuring begins.
	measureFromMS float64
}

// result is what callers got, in milliseconds: the time to the first token, or to the whole answer of a
// call.
type result struct {
	mean, p95 float64
	// whole is the mean time to the end of the answer, ended the answers that ended.
	whole float64
	ended int
	// in time is the share within inTimeMS.
	inTime float64
	// at is the mean time by endpoint, wait the part of it before the work began, count the requests.
	at, wait []float64
	count    []int
	// full is the share of requests that were sent to an endpoint with half of its slots or more in use.
	full []float64
	// most is the largest number of requests in progress at an endpoint.
	most []int
	// last is the estimate at the end.
	last map[string]speed.Estimate
	// shareOfSecond is the largest share of a second's requests that went to one endpoint.
	shareOfSecond float64
	ages          []speed.Age
}

const inTimeMS = 500

type simEndpoint struct {
	prefillFreeAt float64
	slotFreeAt    []float64
	inProgress    int
}

type simEvent struct {
	atMS float64
	do   func()
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].atMS < e[j].atMS }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any          { old := *e; x := old[len(old)-1]; *e = old[:len(old)-1]; return x }

// run plays the load.
func (p play) run() result {
	rng := rand.New(rand.NewPCG(p.seed, 7))
	var events simEvents
	nowMS := 0.0
	at := func() time.Time { return now.Add(time.Duration(nowMS * float64(time.Millisecond))) }
	tables, speeds := make([]*Table, p.hosts), make([]*speed.Table, p.hosts)
	for i := range tables {
		tables[i], speeds[i] = NewTable(fmt.Sprint("h", i)), speed.NewTable()
		tables[i].SetHosts(p.hosts)
	}
	endpoints := make([]simEndpoint, p.endpoints)
	candidates := make([]Candidate, p.endpoints)
	for i := range endpoints {
		endpoints[i].slotFreeAt = make([]float64, p.slots)
		candidates[i] = Candidate{ID: fmt.Sprint("e", i), Zone: "a", Region: "r", Slots: p.slots}
		if !p.calls {
			candidates[i].CacheTokens = 400_000
		}
	}
	res := result{at: make([]float64, p.endpoints), wait: make([]float64, p.endpoints), count: make([]int, p.endpoints), full: make([]float64, p.endpoints), most: make([]int, p.endpoints)}
	var times []float64
	perSecond := map[int][]int{}
	var arrive func()
	arrive = func() {
		heap.Push(&events, simEvent{nowMS + rng.ExpFloat64()*1000/p.perSecond, arrive})
		h := rng.IntN(p.hosts)
		q := &Query{Service: "s", Zone: "a", Region: "r", SlackMS: inTimeMS}
		workMS, answerMS := 30.0, 0.0
		if !p.calls {
			q.PromptTokens = []int{800, 800, 800, 2400, 2400, 7000}[rng.IntN(6)]
			q.MaxAnswerTokens = 200
			workMS, answerMS = 15+float64(prefillWork(q.PromptTokens, 0))*defaultPace.TokenMS, 200*4
		}
		c := slices.Clone(candidates)
		if p.learn {
			known, other := speeds[h].Estimates(at(), "s")
			for i := range c {
				c[i].Speed = other
				if e, ok := known[c[i].ID]; ok {
					c[i].Speed = e
				}
			}
		}
		choice, ok := tables[h].Choose(at(), q, c)
		if !ok {
			panic("no candidate") // a fault of the test
		}
		var e int
		fmt.Sscan(choice.ID[1:], &e)
		ep := &endpoints[e]
		others, sentAt := ep.inProgress, nowMS
		ep.inProgress++
		slot := 0
		for i, free := range ep.slotFreeAt {
			if free < ep.slotFreeAt[slot] {
				slot = i
			}
		}
		begin := max(nowMS, ep.slotFreeAt[slot])
		if !p.calls {
			begin = max(begin, ep.prefillFreeAt)
		}
		factor := p.factor(nowMS, e, others)
		firstAt := begin + workMS*factor*math.Exp(0.2*rng.NormFloat64())
		endAt := firstAt + answerMS*factor
		ep.prefillFreeAt, ep.slotFreeAt[slot] = firstAt, endAt
		if nowMS >= p.measureFromMS {
			times = append(times, firstAt-nowMS)
			res.whole += endAt - nowMS
			if endAt < p.seconds*1000 {
				res.ended++
			}
			res.at[e], res.wait[e] = res.at[e]+firstAt-nowMS, res.wait[e]+begin-nowMS
			res.count[e]++
			res.most[e] = max(res.most[e], ep.inProgress)
			if others >= p.slots/2 {
				res.full[e]++
			}
			second := int(nowMS / 1000)
			if perSecond[second] == nil {
				perSecond[second] = make([]int, p.endpoints)
			}
			perSecond[second][e]++
		}
		observe := func(s speed.Sample, ok bool) {
			if !p.learn {
				return
			}
			if ok {
				speeds[h].Observe(at(), "s", choice.ID, s)
			}
			if p.stated != nil {
				speeds[h].State(at(), "s", choice.ID, p.stated(nowMS, e))
			}
		}
		heap.Push(&events, simEvent{firstAt, func() {
			if p.calls {
				observe(speed.Sample{ExpectedMS: 1, TookMS: nowMS - sentAt, InProgress: ep.inProgress - 1, Slots: p.slots}, true)
				return
			}
			s, ok := tables[h].Started(&choice, time.Duration((nowMS-sentAt)*float64(time.Millisecond)))
			observe(s, ok)
		}})
		heap.Push(&events, simEvent{endAt + 1e-6, func() {
			ep.inProgress--
			tables[h].Release(&choice, false)
		}})
	}
	heap.Push(&events, simEvent{0, arrive})
	if p.hosts > 1 {
		p.report(&events, &nowMS, at, rng, tables, speeds)
	}
	for nowMS < p.seconds*1000 {
		e := heap.Pop(&events).(simEvent)
		nowMS = e.atMS
		e.do()
	}
	slices.Sort(times)
	for _, t := range times {
		res.mean += t / float64(len(times))
		if t <= inTimeMS {
			res.inTime += 1 / float64(len(times))
		}
	}
	res.p95, res.whole = times[len(times)*95/100], res.whole/float64(len(times))
	for e, n := range res.count {
		if n > 0 {
			res.at[e], res.wait[e], res.full[e] = res.at[e]/float64(n), res.wait[e]/float64(n), res.full[e]/float64(n)
		}
	}
	for _, counts := range perSecond {
		sum := 0
		for _, n := range counts {
			sum += n
		}
		if sum < 100 {
			continue // the last part of a second
		}
		res.shareOfSecond = max(res.shareOfSecond, float64(slices.Max(counts))/float64(max(sum, 1)))
	}
	res.last, _ = speeds[0].Estimates(at().Add(time.Second/4), "s")
	res.ages = speeds[0].Ages()["s"]
	return res
}

// report lets every host report each second, and read the reports of the others half of reportMS to
// reportMS after they were made.
func (p play) report(events *simEvents, nowMS *float64, at func() time.Time, rng *rand.Rand, tables []*Table, speeds []*speed.Table) {
	loads, told := make([]map[string]Load, p.hosts), make([]speed.Observations, p.hosts)
	for h := range p.hosts {
		var send, read func()
		send = func() {
			l, o := tables[h].OwnLoads(), speed.Observations{"s": speeds[h].Own(at(), "s", false)}
			heap.Push(events, simEvent{*nowMS + p.reportMS/2, func() { loads[h], told[h] = l, o }})
			heap.Push(events, simEvent{*nowMS + 1000, send})
		}
		read = func() {
			sum := map[string]Load{}
			var others []speed.Observations
			for other := range p.hosts {
				if other == h {
					continue
				}
				for id, l := range loads[other] {
					sum[id] = sum[id].Plus(l)
				}
				if told[other] != nil {
					others = append(others, told[other])
				}
			}
			tables[h].SetPeers(sum)
			if p.learn {
				speeds[h].SetPeers(at(), others)
			}
			heap.Push(events, simEvent{*nowMS + p.reportMS/2, read})
		}
		heap.Push(events, simEvent{rng.Float64() * 1000, send})
		heap.Push(events, simEvent{rng.Float64() * p.reportMS / 2, read})
	}
}

// compare plays a load for some seeds as it is and with what endpoints take well learnt.
func compare(t *testing.T, name string, p play, seeds int) (base, learnt []result) {
	for seed := range seeds {
		p.seed = uint64(seed)
		p.learn = false
		b := p.run()
		p.learn = true
		l := p.run()
		t.Logf("%s, seed %d: mean %.0f -> %.0f ms, p95 %.0f -> %.0f ms, within %d ms %.3f -> %.3f, whole answers %.0f -> %.0f ms, %d -> %d",
			name, seed, b.mean, l.mean, b.p95, l.p95, inTimeMS, b.inTime, l.inTime, b.whole, l.whole, b.ended, l.ended)
		base, learnt = append(base, b), append(learnt, l)
	}
	return base, learnt
}

func uniform(float64, int, int) float64 { return 1 }

func slowFirst(by float64) func(float64, int, int) float64 {
	return func(_ float64, e, _ int) float64 { return map[bool]float64{true: by, false: 1}[e == 0] }
}

// engineLoad is the load of a region's placer: 30 engines with 12 slots, ten requests a second each.
func engineLoad() play {
	return play{hosts: 1, endpoints: 30, slots: 12, perSecond: 30 * 10, seconds: 30, factor: uniform, measureFromMS: 10_000}
}

// callLoad is a service without engines: 6 endpoints with 6 slots, 74 hosts that choose alone with reports
// of one to two seconds of age.
func callLoad() play {
	return play{hosts: 74, endpoints: 6, slots: 6, perSecond: 400, seconds: 20, calls: true, factor: uniform, reportMS: 2000, measureFromMS: 10_000}
}

// TestSpeedUniform plays equal engines and equal endpoints for calls: what callers get stays as it is.
func TestSpeedUniform(t *testing.T) {
	is := is.New(t)
	for name, p := range map[string]play{"engines": engineLoad(), "calls": callLoad()} {
		base, learnt := compare(t, name, p, 2)
		for i := range base {
			is.True(learnt[i].mean < 1.08*base[i].mean+1)
			is.True(learnt[i].p95 < 1.08*base[i].p95+2)
		}
	}
}

// TestSpeedSlowEndpoint plays engines of which one has a third of the pace: the wait there, by time, is no
// longer than at the others.
func TestSpeedSlowEndpoint(t *testing.T) {
	is := is.New(t)
	p := engineLoad()
	p.factor, p.perSecond = slowFirst(3), 30*11
	base, learnt := compare(t, "one of 30 at a third", p, 5)
	slow, rest := 0.0, 0.0
	for i := range base {
		others := 0.0
		for e := 1; e < p.endpoints; e++ {
			others += learnt[i].wait[e] / float64(p.endpoints-1)
		}
		t.Logf("wait at the slow one %.0f -> %.0f ms, at the others %.0f ms; requests there %d -> %d; %+v", base[i].wait[0], learnt[i].wait[0], others, base[i].count[0], learnt[i].count[0], learnt[i].last["e0"])
		slow, rest = slow+learnt[i].wait[0]/float64(len(base)), rest+others/float64(len(base))
		is.True(learnt[i].mean <= base[i].mean+1)
	}
	is.True(slow <= rest+5) // of 15 to 45 requests in a play
}

// TestSpeedKnee plays engines of which a third take three times as long from half of their slots.
func TestSpeedKnee(t *testing.T) {
	is := is.New(t)
	p := engineLoad()
	p.perSecond = 300
	p.factor = func(_ float64, e, n int) float64 { return map[bool]float64{true: 3, false: 1}[e < 10 && n >= 6] }
	base, learnt := compare(t, "a third slow down from half of their slots", p, 3)
	for i := range base {
		full := func(r result) float64 {
			sum := 0.0
			for e := range 10 {
				sum += r.full[e] / 10
			}
			return sum
		}
		t.Logf("%+v %+v %+v", learnt[i].last["e0"], learnt[i].last["e5"], learnt[i].last["e20"])
		t.Logf("requests beyond the knee %.3f -> %.3f", full(base[i]), full(learnt[i]))
		is.True(learnt[i].whole <= base[i].whole)
		is.True(learnt[i].ended >= base[i].ended)
		is.True(full(learnt[i]) <= full(base[i]))
	}
}

// TestSpeedAllSlow plays engines that all become slower at once.
func TestSpeedAllSlow(t *testing.T) {
	is := is.New(t)
	p := engineLoad()
	p.perSecond = 30 * 5
	p.factor = func(at float64, _, _ int) float64 { return map[bool]float64{true: 2, false: 1}[at > 15_000] }
	base, learnt := compare(t, "all twice as slow", p, 3)
	for i := range base {
		is.True(learnt[i].mean < 1.08*base[i].mean+1)
		for _, e := range learnt[i].last {
			is.True(e.Pace < 1.6)
		}
	}
}

// TestSpeedRecovery plays engines of which one is at a quarter of the pace for 15 s: after its recovery it is
// used again within 15 s, and no more requests were late on the way.
func TestSpeedRecovery(t *testing.T) {
	is := is.New(t)
	p := engineLoad()
	p.seconds = 60
	p.factor = func(at float64, e, _ int) float64 {
		return map[bool]float64{true: 4, false: 1}[e == 0 && at > 10_000 && at < 25_000]
	}
	base, learnt := compare(t, "a quarter of the pace for 15 s", p, 3)
	for i := range base {
		is.True(learnt[i].inTime >= base[i].inTime-0.002)
	}
	p.measureFromMS, p.learn = 40_000, true
	r := p.run()
	mean := 0
	for _, n := range r.count[1:] {
		mean += n / (p.endpoints - 1)
	}
	t.Logf("after the recovery %d requests, others %d; %+v", r.count[0], mean, r.last["e0"])
	is.True(float64(r.count[0]) > 0.6*float64(mean))
}

// TestSpeedCalls plays calls at 6 endpoints with 6 slots of unlike speed, and 74 hosts that choose alone.
func TestSpeedCalls(t *testing.T) {
	is := is.New(t)
	p := callLoad()
	paces := []float64{1, 1, 1, 1.5, 2, 3}
	p.factor = func(_ float64, e, _ int) float64 { return paces[e] }
	base, learnt := compare(t, "calls", p, 3)
	for i := range base {
		t.Logf("by endpoint %.0f -> %.0f ms, requests %d -> %d", base[i].at, learnt[i].at, base[i].count, learnt[i].count)
		is.True(learnt[i].mean < base[i].mean)
		is.True(learnt[i].inTime >= base[i].inTime)
	}
}

// TestSpeedHerd plays endpoints that state their time of work, where one states a low figure at a time: the
// hosts must not all go there.
func TestSpeedHerd(t *testing.T) {
	is := is.New(t)
	p := callLoad()
	p.stated = func(at float64, e int) float64 {
		return map[bool]float64{true: 20, false: 150}[int(at/700)%p.endpoints == e]
	}
	base, learnt := compare(t, "a low figure that is not true", p, 1)
	for i := range base {
		t.Logf("largest share of a second at one endpoint %.2f -> %.2f; %v; %v -> %v", base[i].shareOfSecond, learnt[i].shareOfSecond, learnt[i].last, base[i].count, learnt[i].count)
		is.True(learnt[i].shareOfSecond < base[i].shareOfSecond+0.08)
		is.True(learnt[i].mean < 1.08*base[i].mean+1)
	}
	changes := rand.New(rand.NewPCG(1, 1))
	figures := make([][]float64, int(p.seconds*10)+10) // by tenth of a second
	for i := range figures {
		for range p.endpoints {
			figures[i] = append(figures[i], 40*math.Exp(1.5*changes.Float64()))
		}
	}
	p.stated = func(at float64, e int) float64 { return figures[int(at/100)][e] }
	p.factor = func(at float64, e, _ int) float64 { return p.stated(at, e) / 100 }
	base, learnt = compare(t, "a low figure that is true", p, 6)
	sumBase, sumLearnt := 0.0, 0.0
	for i := range base {
		sumBase, sumLearnt = sumBase+base[i].mean, sumLearnt+learnt[i].mean
		t.Logf("largest share of a second at one endpoint %.2f -> %.2f; %v; %v -> %v", base[i].shareOfSecond, learnt[i].shareOfSecond, learnt[i].last, base[i].count, learnt[i].count)
		is.True(learnt[i].shareOfSecond < base[i].shareOfSecond+0.1)
	}
	is.True(sumLearnt < 1.08*sumBase) // single plays differ by more than that
}
