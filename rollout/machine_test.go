package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// traffic simulates a service during an order: requests at a rate, hosts that learn the fraction and tell their
// evidence every hostInterval, a leader that steps every stepInterval.
type traffic struct {
	perSecond float64
	duration  time.Duration
	// routes and their share of requests; nil for one.
	routes []string
	// failing returns the probability that an answer fails, slow the factor of its time.
	failing func(at time.Duration, target bool, route string, perEndpoint, prompt float64) float64
	slow    func(at time.Duration, target bool, route string, prompt float64) float64
	// rate returns the factor of the rate; nil for 1.
	rate func(at time.Duration) float64
	// answer is how long answers take.
	answer time.Duration
}

const (
	hostInterval = 300 * time.Millisecond // while a step is near, and a worst case of detection before
	tickInterval = 100 * time.Millisecond
	share        = 0.1
	slack        = 50.0
	endpoints    = 20
)

type played struct {
	record   Record
	ended    time.Duration // zero if it has not
	requests float64       // to the service, from the order to its deadline
	exposed  float64       // of these to the target
	bad      float64       // answers of the target
	badAtEnd float64       // of these when the decision was taken
}

// play plays an order. perEndpoint is the load of an endpoint, 1 for that of the old version without the order.
func (tr traffic) play(seed uint64) played {
	rng := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1000, 0)
	m := NewMachine(Record{Order: Order{Service: "s", Target: "v2", Duration: tr.duration}}, start, share)
	permitted, pending := m.Record(), Evidence{}
	var out played
	routes := tr.routes
	if routes == nil {
		routes = []string{"r"}
	}
	var lastFull time.Duration
	id := 0
	for at := time.Duration(0); at < tr.duration+8*time.Second; at += tickInterval {
		now := start.Add(at)
		rate := tr.perSecond
		if tr.rate != nil {
			rate *= tr.rate(at)
		}
		n := int(rate*tickInterval.Seconds() + rng.Float64())
		for range n {
			id++
			route := routes[rng.IntN(len(routes))]
			prompt := rng.Float64()
			f := permitted.Fraction(route)
			target := !permitted.State.Ended() && Share(fmt.Sprint(seed, "/", id), f) || permitted.State == StateCompleted
			perEndpoint := 1.0
			if target && f < 1 {
				perEndpoint = f * endpoints / max(1, float64(int(f*endpoints+0.5)))
			}
			if tr.rate != nil {
				perEndpoint *= tr.rate(at)
			}
			failed := tr.failing != nil && rng.Float64() < tr.failing(at, target, route, perEndpoint, prompt)
			took := time.Duration((0.7 + 0.6*rng.Float64()) * float64(100*time.Millisecond))
			if tr.slow != nil {
				took = time.Duration(float64(took) * tr.slow(at, target, route, prompt))
			}
			slow := took > 250*time.Millisecond
			row := pending[route]
			counts := &row.Others
			if target {
				counts = &row.Target
			}
			counts.Answers++
			if failed {
				counts.Failed++
			} else {
				counts.Times[Bucket(took, 100*time.Millisecond)]++
			}
			if !target {
				row.Longest = tr.answer
				lastFull = at
			}
			pending[route] = row
			if at < tr.duration {
				out.requests++
				if target {
					out.exposed++
				}
			}
			if target && (failed || slow) {
				out.bad++
			}
		}
		if at%hostInterval == 0 {
			m.Observe(now, pending)
			pending = Evidence{}
			permitted = m.Record()
		}
		running := at-lastFull < tr.answer
		in := Input{Targets: endpoints, Others: endpoints, AtOthersKnown: permitted.Full() && at-lastFull > hostInterval}
		if running {
			in.AtOthers = 1
		}
		if r, _ := m.Step(now, in); r.State.Ended() && out.ended == 0 {
			out.ended, out.badAtEnd = at, out.bad
		}
	}
	out.record = m.Record()
	return out
}

// TestGoodVersionCompletes answers a good version under a burst, at each rate, with answers of up to 7 s: complete
// by the deadline.
func TestGoodVersionCompletes(t *testing.T) {
	burst := func(at time.Duration) float64 {
		if at > 4*time.Second && at < 7*time.Second {
			return 3
		}
		return 1
	}
	for _, rate := range []float64{20, 100, 650} {
		for _, answer := range []time.Duration{50 * time.Millisecond, time.Second, 3 * time.Second, 7 * time.Second} {
			t.Run(fmt.Sprint(rate, "/s, ", answer), func(t *testing.T) {
				is := is.New(t)
				p := traffic{
					perSecond: rate, duration: 12 * time.Second, rate: burst, answer: answer,
					failing: func(at time.Duration, _ bool, _ string, _, _ float64) float64 { return 0.004 * burst(at) },
				}.play(1)
				is.Equal(p.record.State, StateCompleted)
				is.True(p.ended <= 12*time.Second)
			})
		}
	}
}

// badVersions are the ways in which a version is bad, each with the load that shows it.
var badVersions = map[string]traffic{
	"bad at once":     {failing: onTarget(func(time.Duration, string, float64, float64) float64 { return 0.5 })},
	"a fifth at once": {failing: onTarget(func(time.Duration, string, float64, float64) float64 { return 0.2 })},
	"bad after 5 s": {failing: onTarget(func(at time.Duration, _ string, _, _ float64) float64 {
		if at < 5*time.Second {
			return 0
		}
		return 0.5
	})},
	"bad above half load": {failing: onTarget(func(_ time.Duration, _ string, load, _ float64) float64 {
		if load < 0.5 {
			return 0
		}
		return 0.4
	})},
	"bad on one route": {routes: []string{"a", "b", "c", "d", "e"}, failing: onTarget(func(_ time.Duration, route string, _, _ float64) float64 {
		if route != "c" {
			return 0
		}
		return 0.6
	})},
	"five times slower on long prompts": {slow: func(_ time.Duration, target bool, _ string, prompt float64) float64 {
		if !target || prompt < 0.6 {
			return 1
		}
		return 5
	}},
}

func onTarget(f func(at time.Duration, route string, load, prompt float64) float64) func(time.Duration, bool, string, float64, float64) float64 {
	return func(at time.Duration, target bool, route string, load, prompt float64) float64 {
		if !target {
			return 0.002
		}
		return max(0.002, f(at, route, load, prompt))
	}
}

// TestBadVersionRollsBack answers each kind of bad version at 100 and 650 requests a second: judged before its
// 50th bad answer.
func TestBadVersionRollsBack(t *testing.T) {
	for name, tr := range badVersions {
		for _, rate := range []float64{100, 650} {
			t.Run(fmt.Sprint(name, ", ", rate, "/s"), func(t *testing.T) {
				for seed := range uint64(20) {
					is := is.New(t)
					tr.perSecond, tr.duration, tr.answer = rate, 12*time.Second, 200*time.Millisecond
					p := tr.play(seed)
					is.Equal(p.record.State, StateRolledBack)
					is.True(p.badAtEnd < 50)
					is.True(p.exposed <= share*p.requests+slack)
				}
			})
		}
	}
}

// TestWeaklyBadVersion answers a version of which a tenth of answers fails: at 650 requests a second it is found
// before its 50th bad answer; at 100 there are 60 answers before the steps, and one in seven may be missed.
func TestWeaklyBadVersion(t *testing.T) {
	for rate, most := range map[float64]int{100: 28, 650: 0} {
		missed := 0
		for seed := range uint64(200) {
			p := traffic{
				perSecond: rate, duration: 12 * time.Second, answer: 200 * time.Millisecond,
				failing: onTarget(func(time.Duration, string, float64, float64) float64 { return 0.1 }),
			}.play(seed)
			if p.record.State != StateRolledBack || p.badAtEnd >= 50 {
				missed++
			}
		}
		t.Log(missed, "of 200 missed at", rate, "requests a second")
		is.New(t).True(missed <= most)
	}
}

// TestExposureAtAnyMoment answers a version of which half of all answers is bad from a moment on, with requests that
// take 0.2, 1 or 3 s. It holds for each moment until the last step, which comes drainTime and the longest answer
// before the deadline. It cannot hold for a version that turns bad after that: what runs at the old version must end
// before its endpoints are stopped, so that from the last step on all requests go to the target.
func TestExposureAtAnyMoment(t *testing.T) {
	const margin = 500 * time.Millisecond // the last step may come as late as two ticks, and hosts learn of it later
	for _, rate := range []float64{20, 100, 650} {
		for _, duration := range []time.Duration{12 * time.Second, 30 * time.Second} {
			for _, answer := range []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second} {
				t.Run(fmt.Sprint(rate, "/s, ", duration, ", ", answer), func(t *testing.T) {
					for from := time.Duration(0); from < duration-drainTime-answer+margin; from += 500 * time.Millisecond {
						for seed := range uint64(3) {
							p := traffic{
								perSecond: rate, duration: duration, answer: answer,
								failing: onTarget(func(at time.Duration, _ string, _, _ float64) float64 {
									if at < from {
										return 0
									}
									return 0.5
								}),
							}.play(seed)
							if p.exposed > share*p.requests+slack {
								t.Errorf("bad from %v, seed %d: %.0f of %.0f requests went to the target, which is %s", from, seed, p.exposed, p.requests, p.record.State)
							}
						}
					}
				})
			}
		}
	}
}

// TestBothVersionsBad answers an outage that both versions suffer: not the version's fault.
func TestBothVersionsBad(t *testing.T) {
	outage := func(at time.Duration, _ bool, _ string, _, _ float64) float64 {
		if at > 3*time.Second && at < 6*time.Second {
			return 0.3
		}
		return 0.002
	}
	for _, rate := range []float64{100, 650} {
		for seed := range uint64(100) {
			p := traffic{perSecond: rate, duration: 12 * time.Second, answer: 200 * time.Millisecond, failing: outage}.play(seed)
			is.New(t).Equal(p.record.State, StateCompleted)
		}
	}
}

// TestFalseRollBacks answers good versions over 1,000 seeds: fewer than 1 in 100 is rolled back at 100 requests a
// second, none at 20.
func TestFalseRollBacks(t *testing.T) {
	for rate, most := range map[float64]int{20: 0, 100: 9} {
		t.Run(fmt.Sprint(rate, "/s"), func(t *testing.T) {
			rolledBack := 0
			for seed := range uint64(1000) {
				p := traffic{
					perSecond: rate, duration: 12 * time.Second, answer: 200 * time.Millisecond, routes: []string{"a", "b", "c"},
					failing: func(time.Duration, bool, string, float64, float64) float64 { return 0.01 },
				}.play(seed)
				if p.record.State != StateCompleted {
					rolledBack++
					t.Log(seed, p.record.Why)
				}
			}
			t.Log(rolledBack, "of 1,000 good versions rolled back")
			is.New(t).True(rolledBack <= most)
		})
	}
}

// TestOrderCheck guards against orders that are carried out although they cannot be, or refused although they can.
func TestOrderCheck(t *testing.T) {
	good := Order{Service: "s", Target: "v2", Duration: 12 * time.Second}
	for name, tc := range map[string]struct {
		change func(*Order)
		want   error
	}{
		"good":       {func(*Order) {}, nil},
		"no service": {func(o *Order) { o.Service = "" }, ErrNoService},
		"no target":  {func(o *Order) { o.Target = "" }, ErrNoTarget},
		"zero":       {func(o *Order) { o.Duration = 0 }, ErrDuration},
		"negative":   {func(o *Order) { o.Duration = -time.Second }, ErrDuration},
		"hours":      {func(o *Order) { o.Duration = 5 * time.Hour }, ErrDuration},
	} {
		t.Run(name, func(t *testing.T) {
			o := good
			tc.change(&o)
			is.New(t).True(errors.Is(o.Check(), tc.want))
		})
	}
}

// TestRepeatedOrders guards against an order that is carried out again because the store was restored.
func TestRepeatedOrders(t *testing.T) {
	is := is.New(t)
	o := Order{Service: "s", Target: "v2", Duration: 12 * time.Second, Era: 1, Offset: 9}
	restored, later, other := o, o, o
	restored.Era, restored.Offset = 2, 4
	later.Offset = 12
	other.Offset, other.Target = 13, "v3"
	is.True(o.Repeats(o, true))
	is.True(restored.Repeats(o, true))
	is.True(later.Repeats(o, false))
	is.True(!later.Repeats(o, true)) // ordered again after it had ended
	is.True(!other.Repeats(o, false))
}

// TestShareIsExact guards against hosts that send another fraction than the leader permits.
func TestShareIsExact(t *testing.T) {
	for _, f := range []float64{0, 0.055, 0.35, 1} {
		n := 0.0
		for i := range 20_000 {
			if Share(fmt.Sprintf("%016x", i), f) {
				n++
			}
		}
		is.New(t).True(n >= 20_000*f*0.95 && n <= 20_000*f*1.05)
	}
}

// TestEndsWithoutTargets answers an order whose endpoints never come, one that is withdrawn, one with nothing to move.
func TestEndsWithoutTargets(t *testing.T) {
	start := time.Unix(1000, 0)
	for name, tc := range map[string]struct {
		in   Input
		want State
	}{
		"no endpoint of the target": {Input{Others: 4}, StateRolledBack},
		"withdrawn":                 {Input{Others: 4, Targets: 4, Withdrawn: true}, StateRolledBack},
		"the only version":          {Input{Targets: 4}, StateCompleted},
	} {
		t.Run(name, func(t *testing.T) {
			m := NewMachine(Record{Order: Order{Service: "s", Target: "v2", Duration: 12 * time.Second}}, start, share)
			for at := time.Duration(0); at < 12*time.Second; at += 500 * time.Millisecond {
				m.Step(start.Add(at), tc.in)
			}
			is.New(t).Equal(m.Record().State, tc.want)
		})
	}
}

// TestNonRepeatableIsNeverCut: while something runs at the old version the order is not completed, also past the
// deadline.
func TestNonRepeatableIsNeverCut(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	m := NewMachine(Record{Order: Order{Service: "s", Target: "v2", Duration: 12 * time.Second}}, start, share)
	for at := time.Duration(0); at < 20*time.Second; at += 500 * time.Millisecond {
		r, _ := m.Step(start.Add(at), Input{Targets: 4, Others: 4, AtOthersKnown: true, AtOthers: 1})
		is.Equal(r.State, StateServing)
	}
	is.True(m.Record().Full())
	r, changed := m.Step(start.Add(20*time.Second), Input{Targets: 4, Others: 4, AtOthersKnown: true})
	is.True(changed)
	is.Equal(r.State, StateCompleted)
}
