package drain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/drain"
)

const (
	waveTick    = 100 * time.Millisecond
	waveRunning = 16
	waveStreams = 10
	// failEvery makes every third transfer fail halfway in the test cases with
	// failing exports.
	failEvery = 3
)

// notice announces the reclaim of a zone, in seconds; a withdrawn one is in effect
// only until withdrawn.
type notice struct {
	zone, at, deadline int
	withdrawn          int
}

// waveEngine is a simulated endpoint with its streams.
type waveEngine struct {
	id, region string
	zone       int
	streams    []drain.Stream
	// moveTime is the time that it spent on streams moved to it.
	moveTime time.Duration
}

type waveSim struct {
	engines   []*waveEngine
	plan      *drain.Planner
	notices   []notice
	failing   bool
	transfers int
	// broken counts streams that were on an endpoint at its deadline, ontoLeaving
	// moves to an endpoint under notice, crossRegion transfers between regions.
	broken, ontoLeaving, crossRegion, transferred, recomputed, finished int
}

// newWaveSim returns a simulation of zones with 8, 8 and 4 endpoints in two
// regions.
func newWaveSim(notices []notice, failing bool) *waveSim {
	w := &waveSim{plan: drain.NewPlanner(drain.DefaultRates()), notices: notices, failing: failing}
	for zone, count := range []int{8, 8, 4} {
		for i := range count {
			e := &waveEngine{id: fmt.Sprintf("z%d-%d", zone, i), region: fmt.Sprint("r", zone/2), zone: zone}
			for k := range waveStreams {
				s := stream(fmt.Sprint(e.id, "-", k), 200+300*k, 30+60*k)
				s.Priority = k % 2
				e.streams = append(e.streams, s)
			}
			w.engines = append(w.engines, e)
		}
	}
	return w
}

// deadline returns when an endpoint is reclaimed, in seconds. It reports false if
// no notice is in effect.
func (w *waveSim) deadline(e *waveEngine, now float64) (float64, bool) {
	for _, n := range w.notices {
		isWithdrawn := n.withdrawn > 0 && now >= float64(n.withdrawn)
		if n.zone == e.zone && now >= float64(n.at) && !isWithdrawn {
			return float64(n.deadline), true
		}
	}
	return 0, false
}

func (w *waveSim) targets(now float64) []drain.Target {
	var out []drain.Target
	for _, e := range w.engines {
		if _, leaving := w.deadline(e, now); !leaving {
			out = append(out, drain.Target{Host: e.id, Region: e.region, Free: waveRunning - len(e.streams)})
		}
	}
	return out
}

func (w *waveSim) engine(id string) *waveEngine {
	for _, e := range w.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (w *waveSim) step(now float64) {
	for _, e := range w.engines {
		w.decode(e)
		deadline, leaving := w.deadline(e, now)
		switch {
		case !leaving:
		case now >= deadline:
			w.broken += len(e.streams)
			e.streams = nil
		default:
			w.applySteps(e, now, w.plan.Next(at(now), at(deadline), e.region, e.streams, w.targets(now)))
		}
	}
}

// decode generates the tokens of one tick.
func (w *waveSim) decode(e *waveEngine) {
	var rest []drain.Stream
	for _, s := range e.streams {
		made := int(waveTick / s.Interval)
		s.Remaining -= made
		s.Tokens += made
		if s.Remaining > 0 {
			rest = append(rest, s)
		} else {
			w.finished++
		}
	}
	e.streams = rest
}

func (w *waveSim) applySteps(e *waveEngine, now float64, steps []drain.Step) {
	byID := map[string]drain.Step{}
	for _, s := range steps {
		byID[s.Stream] = s
	}
	var rest []drain.Stream
	for _, s := range e.streams {
		step := byID[s.ID]
		if step.Target == "" {
			rest = append(rest, s)
			continue
		}
		target := w.engine(step.Target)
		if _, leaving := w.deadline(target, now); leaving {
			w.ontoLeaving++
		}
		if step.Choice == drain.ChoiceTransfer && target.region != e.region {
			w.crossRegion++
		}
		w.recordMove(target, s, step)
		target.streams = append(target.streams, s)
	}
	e.streams = rest
}

// recordMove records a move and its time; a failed export becomes a recompute.
func (w *waveSim) recordMove(target *waveEngine, s drain.Stream, step drain.Step) {
	if step.Choice == drain.ChoiceTransfer {
		w.transfers++
		if !w.failing || w.transfers%failEvery != 0 {
			w.transferred++
			target.moveTime += time.Duration(float64(step.Bytes) / drain.DefaultRates().TransferBytesPerSecond * float64(time.Second))
			return
		}
	}
	w.recomputed++
	target.moveTime += time.Duration(float64(s.Tokens) / drain.DefaultRates().PrefillTokensPerSecond * float64(time.Second))
}

// TestWaves guards against broken streams and overloaded targets when whole zones
// are reclaimed: 200 streams, simulated time. No stream may be on an endpoint at
// its deadline, and the remaining endpoints must keep most of their time for
// other requests.
func TestWaves(t *testing.T) {
	for name, tc := range map[string]struct {
		notices []notice
		failing bool
		// recomputed is the number of recomputed streams. -1 means that it is not
		// checked: all of the streams' region is reclaimed, so that streams can only
		// be recomputed.
		recomputed int
		// maxShare is the maximum share of the eight seconds of notice that a
		// remaining endpoint spends on moved streams. With two of three zones
		// reclaimed the deadline takes precedence over pacing.
		maxShare float64
	}{
		"one zone":                                   {[]notice{{zone: 0, at: 0, deadline: 8}}, false, 0, 0.25},
		"one zone, some exports fail":                {[]notice{{zone: 0, at: 0, deadline: 8}}, true, 8, 0.25},
		"target zone 2 s later":                      {[]notice{{zone: 0, at: 0, deadline: 8}, {zone: 1, at: 2, deadline: 9}}, false, -1, 1},
		"target zone at the same time":               {[]notice{{zone: 0, at: 0, deadline: 8}, {zone: 1, at: 0, deadline: 8}}, false, -1, 1},
		"withdrawn halfway":                          {[]notice{{zone: 0, at: 0, deadline: 8, withdrawn: 1}}, false, 0, 0.25},
		"withdrawn, then the other region reclaimed": {[]notice{{zone: 0, at: 0, deadline: 8, withdrawn: 1}, {zone: 2, at: 2, deadline: 7}}, true, -1, 0.25},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWaveSim(tc.notices, tc.failing)
			const seconds = 30
			for tick := range int(seconds * time.Second / waveTick) {
				w.step(float64(tick) * waveTick.Seconds())
			}
			t.Logf("%d transferred, %d recomputed", w.transferred, w.recomputed)
			is.Equal(w.broken, 0)                // no stream is broken
			is.Equal(w.ontoLeaving, 0)           // no move to an endpoint under notice
			is.Equal(w.finished, 20*waveStreams) // all streams end
			is.Equal(w.crossRegion, 0)           // no KV cache is transferred between regions
			if tc.recomputed >= 0 {
				is.Equal(w.recomputed, tc.recomputed)
			}
			for _, e := range w.engines {
				is.True(e.moveTime.Seconds() <= tc.maxShare*8)
			}
		})
	}
}
