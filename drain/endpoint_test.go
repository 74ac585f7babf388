package drain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/drain"
)

// rates is such that a transfer of 1,000 tokens takes 100 ms and their recompute
// 500 ms.
var rates = drain.Rates{PrefillTokensPerSecond: 2000, KVBytesPerToken: 1000, TransferBytesPerSecond: 10e6}

func stream(id string, tokens, remaining int) drain.Stream {
	return drain.Stream{ID: id, Priority: 10, Tokens: tokens, Remaining: remaining, Interval: 20 * time.Millisecond}
}

func TestChoiceOfOneStream(t *testing.T) {
	near := drain.Target{Host: "near", Region: "r1", Free: 1}
	far := drain.Target{Host: "far", Region: "r2", Free: 8}
	slow := drain.Rates{PrefillTokensPerSecond: 8000, KVBytesPerToken: 1000, TransferBytesPerSecond: 1e6}
	nonIdempotent := stream("s", 100, 1000)
	nonIdempotent.NonIdempotent = true
	for name, tc := range map[string]struct {
		rates  drain.Rates
		stream drain.Stream
		// left is the time until the deadline, in seconds.
		left    float64
		targets []drain.Target
		want    drain.Choice
		target  string
	}{
		"ends before the deadline":                      {rates, stream("s", 1000, 200), 5, []drain.Target{near}, drain.ChoiceFinish, ""},
		"ends less than the margin before the deadline": {rates, stream("s", 1000, 245), 5, []drain.Target{near}, drain.ChoiceTransfer, "near"},
		"non-idempotent":                                {rates, nonIdempotent, 5, []drain.Target{near}, drain.ChoiceWait, ""},
		"transfer within the region":                    {rates, stream("s", 1000, 900), 5, []drain.Target{far, near}, drain.ChoiceTransfer, "near"},
		"no transfer across regions":                    {rates, stream("s", 1000, 900), 5, []drain.Target{far}, drain.ChoiceRecompute, "far"},
		"recompute is cheaper":                          {slow, stream("s", 1000, 900), 5, []drain.Target{far, near}, drain.ChoiceRecompute, "near"},
		"too late for a transfer":                       {rates, stream("s", 1000, 900), 0.25, []drain.Target{near}, drain.ChoiceRecompute, "near"},
		"the deadline has passed":                       {rates, stream("s", 1000, 900), -1, []drain.Target{near}, drain.ChoiceRecompute, "near"},
		"region full: recompute in another":             {rates, stream("s", 1000, 900), 5, []drain.Target{{Host: "near", Region: "r1"}, far}, drain.ChoiceRecompute, "far"},
		"no target: deferred":                           {rates, stream("s", 1000, 900), 5, nil, drain.ChoiceLater, ""},
		"no target, deadline near: deferred":            {rates, stream("s", 1000, 900), 0.1, nil, drain.ChoiceLater, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			steps := drain.NewPlanner(tc.rates).Next(at(0), at(tc.left), "r1", []drain.Stream{tc.stream}, tc.targets)
			is.Equal(len(steps), 1)
			is.Equal(steps[0].Choice, tc.want)
			is.Equal(steps[0].Target, tc.target)
		})
	}
}

// TestMovesArePaced guards against moved streams starving new requests on their
// targets: 40 long streams move to two targets within 20 s, and moves may use
// only a quarter of a target's time. Time is simulated.
func TestMovesArePaced(t *testing.T) {
	is := is.New(t)
	d := drain.NewPlanner(rates)
	var streams []drain.Stream
	for i := range 40 {
		s := stream(fmt.Sprintf("s%02d", i), 1000, 2000+i)
		s.Priority = i % 2
		streams = append(streams, s)
	}
	targets := []drain.Target{{Host: "a", Region: "r1", Free: 40}, {Host: "b", Region: "r1", Free: 40}}
	var priorities []int
	starts := map[string][]float64{}
	for tick := 0; len(streams) > 0 && tick < 400; tick++ {
		now := float64(tick) / 10
		var rest []drain.Stream
		for _, step := range d.Next(at(now), at(20), "r1", streams, targets) {
			for _, s := range streams {
				switch {
				case s.ID != step.Stream:
				case step.Choice == drain.ChoiceLater:
					rest = append(rest, s)
				default:
					priorities = append(priorities, s.Priority)
					starts[step.Target] = append(starts[step.Target], now)
				}
			}
		}
		streams = rest
	}
	is.Equal(len(streams), 0) // all moved
	is.Equal(len(starts["a"]), 20)
	is.Equal(len(starts["b"]), 20)
	for _, times := range starts {
		for i := 1; i < len(times); i++ {
			is.True(times[i]-times[i-1] >= 0.4-1e-9) // a transfer takes 100 ms: a quarter of 400 ms
		}
	}
	for i := 1; i < len(priorities); i++ {
		is.True(priorities[i] <= priorities[i-1]) // higher priorities move first
	}
}

// TestPressedDrainGoesFaster guards against streams broken at the deadline because
// their moves were deferred to pace the target.
func TestPressedDrainGoesFaster(t *testing.T) {
	is := is.New(t)
	d := drain.NewPlanner(rates)
	var streams []drain.Stream
	for i := range 8 {
		streams = append(streams, stream(fmt.Sprint(i), 1000, 2000))
	}
	moved := 0
	for _, step := range d.Next(at(0), at(0.5), "r1", streams, []drain.Target{{Host: "a", Region: "r1", Free: 8}}) {
		if step.Choice != drain.ChoiceLater {
			moved++
		}
	}
	is.True(moved > 1) // the deadline takes precedence over pacing
}

// TestChangesOfMind guards against moves planned by an earlier call persisting
// when hosts, notices or streams change before the next call.
func TestChangesOfMind(t *testing.T) {
	streams := []drain.Stream{stream("s", 1000, 2000), stream("t", 1000, 1500)}
	both := []drain.Target{{Host: "a", Region: "r1", Free: 1}, {Host: "b", Region: "r1", Free: 1}}
	for name, tc := range map[string]struct {
		then    []drain.Stream
		targets []drain.Target
		// left is the time until the deadline, in seconds.
		left float64
		want string
	}{
		"target reclaimed too":                   {streams[:1], both[1:], 9, "s transfer b"},
		"second notice for the target zone":      {streams[:1], []drain.Target{{Host: "c", Region: "r2", Free: 1}}, 9, "s recompute c"},
		"notice withdrawn: no streams":           {nil, both, 9, ""},
		"export failed, too late for a transfer": {streams[:1], both[1:], 0.1, "s recompute b"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := drain.NewPlanner(rates)
			first := d.Next(at(0), at(10), "r1", streams, both)
			is.Equal(first[0], drain.Step{Stream: "s", Choice: drain.ChoiceTransfer, Target: "a", Bytes: 1e6})
			is.Equal(first[1].Target, "b")
			got := ""
			for _, step := range d.Next(at(1), at(1+tc.left), "r1", tc.then, tc.targets) {
				got += fmt.Sprint(step.Stream, " ", step.Choice, " ", step.Target)
			}
			is.Equal(got, tc.want)
		})
	}
}

// TestLearnedRates guards against rates that do not follow the measured transfers,
// so that a transfer is preferred to a cheaper recompute.
func TestLearnedRates(t *testing.T) {
	is := is.New(t)
	d := drain.NewPlanner(rates)
	for range 40 {
		d.RecordTransfer(1000, 4e6, time.Second)
	}
	is.True(d.Rates().KVBytesPerToken > 3999)
	is.True(d.Rates().TransferBytesPerSecond < 4.1e6)
	// A transfer of 1,000 tokens now takes just under 1 s, twice their recompute.
	steps := d.Next(at(0), at(5), "r1", []drain.Stream{stream("s", 1000, 900)}, []drain.Target{{Host: "a", Region: "r1", Free: 1}})
	is.Equal(steps[0].Choice, drain.ChoiceTransfer)
	for range 40 {
		d.RecordTransfer(1000, 4e6, 2*time.Second)
	}
	steps = d.Next(at(9), at(15), "r1", []drain.Stream{stream("s", 1000, 900)}, []drain.Target{{Host: "a", Region: "r1", Free: 1}})
	is.Equal(steps[0].Choice, drain.ChoiceRecompute)
}
