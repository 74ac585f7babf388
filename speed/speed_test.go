package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_800_000_000, 0)

// load plays requests at endpoints: each takes its work, times the endpoint's factor at its load, times a
// random factor with the standard deviation spread of its logarithm.
type load struct {
	table  *Table
	rng    *rand.Rand
	now    time.Time
	spread float64
	// factor is the time of work at an endpoint with a number of others in progress.
	factor func(endpoint, inProgress int) float64
	// workMS is the work of a request at an endpoint.
	workMS     func(endpoint int) float64
	inProgress func(endpoint int) int
}

const testSlots = 12

func newLoad(seed uint64) *load {
	l := &load{table: NewTable(), rng: rand.New(rand.NewPCG(seed, 1)), now: start, spread: 0.3}
	l.factor = func(int, int) float64 { return 1 }
	l.workMS = func(int) float64 { return 100 }
	l.inProgress = func(int) int { return l.rng.IntN(testSlots) }
	return l
}

// run plays perSecond requests a second at each of endpoints for a time.
func (l *load) run(endpoints int, perSecond float64, duration time.Duration) {
	step := time.Duration(float64(time.Second) / perSecond / float64(endpoints))
	for until := l.now.Add(duration); l.now.Before(until); l.now = l.now.Add(step) {
		e := l.rng.IntN(endpoints)
		n, work := l.inProgress(e), l.workMS(e)
		took := work * l.factor(e, n) * math.Exp(l.spread*l.rng.NormFloat64())
		l.table.Observe(l.now, "s", id(e), Sample{ExpectedMS: work, TookMS: took, InProgress: n, Slots: testSlots})
	}
}

func id(e int) string { return fmt.Sprintf("e%d", e) }

func (l *load) estimate(e int) Estimate {
	known, other := l.table.Estimates(l.now.Add(estimateInterval), "s")
	if got, ok := known[id(e)]; ok {
		return got
	}
	return other
}

// TestUniformEndpoints plays 40 equal endpoints with six answers a second each, at all loads: none may be
// taken for slow or fast, and no knee be found, beyond chance.
func TestUniformEndpoints(t *testing.T) {
	is := is.New(t)
	far, knees, checked := 0, 0, 0
	for seed := range uint64(5) {
		l := newLoad(seed)
		for range 10 {
			l.run(40, 6, 2*time.Second)
			for e := range 40 {
				got := l.estimate(e)
				checked++
				if math.Abs(math.Log(got.Pace)) > math.Log(1.2) {
					far++
				}
				if got.Knee > 0 {
					knees++
				}
			}
		}
	}
	t.Logf("%d estimates: %d further than a fifth from one, %d knees", checked, far, knees)
	is.True(far <= checked/50)
	is.True(knees <= checked/50)
}

// TestWideSpread plays six equal endpoints of a service whose times differ by a factor of four from call to
// call, as those of calls do: what differs by chance must not be taken for a pace or a knee, and an endpoint at
// a third of the pace must be found all the same.
func TestWideSpread(t *testing.T) {
	is := is.New(t)
	far, knees, checked := 0, 0, 0
	for seed := range uint64(5) {
		l := newLoad(seed)
		l.spread = 1.3
		l.run(6, 20, 10*time.Second)
		for range 20 {
			l.run(6, 20, time.Second)
			for e := range 6 {
				got := l.estimate(e)
				checked++
				if math.Abs(math.Log(got.Pace)) > math.Log(1.25) {
					far++
				}
				if got.Knee > 0 {
					knees++
				}
			}
		}
	}
	t.Logf("%d estimates: %d further than a quarter from one, %d knees", checked, far, knees)
	is.True(far <= checked/50)
	is.True(knees <= checked/50)
	l := newLoad(9)
	l.spread = 1.3
	l.factor = func(e, _ int) float64 { return map[bool]float64{true: 3, false: 1}[e == 0] }
	l.run(6, 20, 20*time.Second)
	is.True(l.estimate(0).Pace > 1.8)
}

// TestSlowEndpoint plays one endpoint of 20 at a third of the pace, at all loads.
func TestSlowEndpoint(t *testing.T) {
	is := is.New(t)
	l := newLoad(1)
	l.factor = func(e, _ int) float64 { return map[bool]float64{true: 3, false: 1}[e == 0] }
	l.run(20, 6, 10*time.Second)
	t.Log(l.estimate(0), l.estimate(1))
	is.True(l.estimate(0).Pace > 2.3 && l.estimate(0).Pace < 3.6)
	for e := 1; e < 20; e++ {
		is.True(math.Abs(math.Log(l.estimate(e).Pace)) < math.Log(1.3))
	}
}

// TestKnee plays 20 endpoints of which two take three times as long from half of their slots. The knee is
// found there and the pace below it is not blamed. When load stays below the knee, it is kept for some time.
func TestKnee(t *testing.T) {
	is := is.New(t)
	l := newLoad(2)
	l.factor = func(e, n int) float64 { return map[bool]float64{true: 3, false: 1}[e < 2 && n >= testSlots/2] }
	l.run(20, 6, 10*time.Second)
	t.Log(l.estimate(0), l.estimate(1), l.estimate(2))
	for e := range 2 {
		is.Equal(l.estimate(e).Knee, 0.5)
		is.Equal(l.estimate(e).Takes(testSlots), testSlots/2)
		is.True(l.estimate(e).Pace < 1.4)
	}
	for e := 2; e < 20; e++ {
		is.Equal(l.estimate(e).Knee, 0.0)
		is.Equal(l.estimate(e).Takes(testSlots), testSlots)
	}
	l.inProgress = func(int) int { return l.rng.IntN(testSlots / 2) }
	l.run(20, 6, 8*time.Second)
	is.Equal(l.estimate(0).Knee, 0.5)
}

// TestFollowsChange plays 20 endpoints with six answers a second each of which one changes its pace. The
// estimate must have gone seven tenths of the way, by ratio, within eight seconds, both ways.
func TestFollowsChange(t *testing.T) {
	is := is.New(t)
	l := newLoad(3)
	l.run(20, 6, 20*time.Second)
	l.factor = func(e, _ int) float64 { return map[bool]float64{true: 3, false: 1}[e == 0] }
	l.run(20, 6, 8*time.Second)
	t.Log(l.estimate(0))
	is.True(l.estimate(0).Pace > math.Pow(3, 0.7))
	l.run(20, 6, 12*time.Second)
	l.factor = func(int, int) float64 { return 1 }
	l.run(20, 6, 8*time.Second)
	t.Log(l.estimate(0))
	is.True(l.estimate(0).Pace < math.Pow(3, 0.3))
}

// TestAllSlowAtOnce plays 20 equal endpoints that all become three times as slow: at no time may one of
// them be blamed, and the usual time of work must follow.
func TestAllSlowAtOnce(t *testing.T) {
	is := is.New(t)
	l := newLoad(4)
	l.run(20, 6, 20*time.Second)
	l.factor = func(int, int) float64 { return 3 }
	worst := 1.0
	for range 20 {
		l.run(20, 6, 500*time.Millisecond)
		for e := range 20 {
			worst = max(worst, l.estimate(e).Pace)
		}
	}
	t.Logf("highest pace %.2f, usual time %.2f", worst, l.estimate(0).UnitMS)
	is.True(worst < 1.5)
	is.True(l.estimate(0).UnitMS > 2)
}

// TestFewSamples plays one slow answer of an endpoint, and none: the first is hardly believed, the second
// is at the service's mean.
func TestFewSamples(t *testing.T) {
	is := is.New(t)
	l := newLoad(5)
	l.run(20, 6, 10*time.Second)
	l.table.Observe(l.now, "s", "new", Sample{ExpectedMS: 100, TookMS: 400, InProgress: 1, Slots: testSlots})
	known, other := l.table.Estimates(l.now.Add(estimateInterval), "s")
	t.Log(known["new"], other)
	is.True(known["new"].Pace < 1.5)
	is.Equal(other.Pace, 1.0)
	is.True(other.UnitMS > 0.8 && other.UnitMS < 1.2) // no endpoint has an advantage by being unknown
}

// TestForgets plays a slow endpoint that is not seen any longer: it is due to be tried again, and then at
// the service's mean. A new incarnation is there at once.
func TestForgets(t *testing.T) {
	is := is.New(t)
	l := newLoad(6)
	l.factor = func(e, _ int) float64 { return map[bool]float64{true: 4, false: 1}[e < 2] }
	l.run(20, 6, 15*time.Second)
	is.True(l.estimate(0).Pace > 2.5 && !l.estimate(0).Retry)
	l.table.Remove("s", id(1))
	is.True(l.estimate(1).Pace < 1.05)
	due := false
	for range 65 {
		l.now = l.now.Add(time.Second)
		due = due || l.estimate(0).Retry
	}
	is.True(due)
	is.True(l.estimate(0).Pace < 1.05)
}

// TestLongWork plays 20 equal endpoints of which five get work ten times as long as the others do, where
// long work takes 1.6 times what is expected of it: they are not taken for slow.
func TestLongWork(t *testing.T) {
	is := is.New(t)
	l := newLoad(7)
	l.workMS = func(e int) float64 {
		if l.rng.IntN(10) < map[bool]int{true: 8, false: 2}[e < 5] {
			return 600
		}
		return 60
	}
	plain := l.factor
	l.factor = func(e, n int) float64 { return plain(e, n) }
	work := l.workMS
	long := false
	l.workMS = func(e int) float64 { w := work(e); long = w > 100; return w }
	l.factor = func(int, int) float64 { return map[bool]float64{true: 1.6, false: 1}[long] }
	l.run(20, 6, 20*time.Second)
	for e := range 20 {
		is.True(math.Abs(math.Log(l.estimate(e).Pace)) < math.Log(1.25))
	}
}

// TestBounds guards against samples that are not possible or absurd: a single one hardly matters.
func TestBounds(t *testing.T) {
	is := is.New(t)
	l := newLoad(8)
	l.run(20, 6, 10*time.Second)
	before := l.estimate(0).Pace
	for _, s := range []Sample{{}, {ExpectedMS: 100, TookMS: -5}, {ExpectedMS: 0, TookMS: 5, Slots: 4}, {ExpectedMS: 100, TookMS: 100, InProgress: 9, Slots: 4}, {ExpectedMS: 100, TookMS: 1e12, Slots: 12}} {
		l.table.Observe(l.now, "s", id(0), s)
	}
	is.True(l.estimate(0).Pace < 1.6*before)
	for range 1000 {
		l.table.Observe(l.now, "s", id(0), Sample{ExpectedMS: 1e-9, TookMS: 1e12, Slots: 12})
	}
	is.True(l.estimate(0).Pace <= maxPace)
	l.table.State(l.now, "s", id(0), math.NaN())
	l.table.State(l.now, "s", id(0), -1)
	l.table.State(l.now, "s", id(0), math.Inf(1))
	seen, _ := l.table.Stated(l.now, "s")
	is.True(!seen)
}

// TestPoolsHosts plays 74 hosts with two calls a second each at six endpoints of unlike speed, and pools
// what they tell each other: each host knows the endpoints though it has seen each every three seconds.
func TestPoolsHosts(t *testing.T) {
	is := is.New(t)
	const hosts, endpoints = 74, 6
	paces := []float64{1, 1, 1, 1.5, 2, 3}
	rng := rand.New(rand.NewPCG(9, 1))
	tables := make([]*Table, hosts)
	for i := range tables {
		tables[i] = NewTable()
	}
	now := start
	for range 20 * 10 { // tenths of a second
		now = now.Add(100 * time.Millisecond)
		for range hosts * 2 / 10 {
			e := rng.IntN(endpoints)
			took := 30 * paces[e] * math.Exp(0.4*rng.NormFloat64())
			tables[rng.IntN(hosts)].Observe(now, "s", id(e), Sample{ExpectedMS: 1, TookMS: took, InProgress: rng.IntN(6), Slots: 6})
		}
	}
	bytes := 0
	var told []Observations
	for _, table := range tables {
		o := Observations{"s": table.Own(now, "s", false)}
		bytes = max(bytes, len(fmt.Sprint(o)))
		told = append(told, o)
	}
	own := tables[0]
	own.SetPeers(now, told[1:])
	known, _ := own.Estimates(now.Add(estimateInterval), "s")
	for e, want := range paces {
		got := known[id(e)].Pace / known[id(0)].Pace
		t.Logf("endpoint %d: %.2f, true %.2f", e, got, want)
		is.True(math.Abs(math.Log(got/want)) < math.Log(1.35))
	}
	t.Logf("at most %d bytes a report", bytes)
	is.True(bytes < 350)
}

// TestSuccessor guards against a new placer that knows nothing: it begins with what the previous one told of
// the endpoints that differ, and takes no other for slow.
func TestSuccessor(t *testing.T) {
	is := is.New(t)
	l := newLoad(10)
	l.factor = func(e, _ int) float64 { return map[bool]float64{true: 3, false: 1}[e == 0] }
	l.run(20, 6, 15*time.Second)
	told := l.table.Own(l.now, "s", true)
	is.True(len(told) >= 1 && len(told) < 6)
	l.table = NewTable()
	l.table.Absorb(l.now, Observations{"s": told})
	l.run(20, 6, time.Second)
	t.Log(l.estimate(0), l.estimate(1))
	is.True(l.estimate(0).Pace > 2)
	is.True(l.estimate(1).Pace < 1.3)
}

// TestForeignObservations guards against observations of another host that are cut off or absurd.
func TestForeignObservations(t *testing.T) {
	is := is.New(t)
	l := newLoad(11)
	l.run(20, 6, 10*time.Second)
	l.table.SetPeers(l.now, []Observations{{"s": {"e0": {-5, 3}, "e1": {1 << 40, 1}, "e2": {10}, "e3": {10, 1 << 40}, "e4": nil, "e5": {0, 0, 0, 0, 0, 0, 0, 0, 9, 9}}}})
	for e := range 20 {
		is.True(math.Abs(math.Log(l.estimate(e).Pace)) < math.Log(1.3))
	}
}
