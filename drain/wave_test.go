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
	// exportEvery makes every such transfer fail halfway where a row says so.
	exportEvery = 3
)

// notice takes a zone away; a withdrawn one holds until its end only.
type notice struct {
	zone, at, deadline int
	withdrawn          int
}

// waveEngine is an endpoint with its streams.
type waveEngine struct {
	id, region string
	zone       int
	streams    []drain.Stream
	// moved is the time that it spent on moved streams.
	moved time.Duration
}

type waveWorld struct {
	engines   []*waveEngine
	plan      *drain.Drain
	notices   []notice
	failing   bool
	transfers int
	// cut counts streams that were on an endpoint when it went, onto moves to
	// an endpoint that was under notice, across transfers between regions.
	cut, onto, across, transferred, recomputed, finished int
}

// newWave is the size of today: zones of 8, 8 and 4 endpoints in two regions.
func newWave(notices []notice, failing bool) *waveWorld {
	w := &waveWorld{plan: drain.NewDrain(drain.DefaultRates()), notices: notices, failing: failing}
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

// deadline returns when an endpoint goes, in seconds; false without a notice.
func (w *waveWorld) deadline(e *waveEngine, now float64) (float64, bool) {
	for _, n := range w.notices {
		gone := n.withdrawn > 0 && now >= float64(n.withdrawn)
		if n.zone == e.zone && now >= float64(n.at) && !gone {
			return float64(n.deadline), true
		}
	}
	return 0, false
}

func (w *waveWorld) targets(now float64) []drain.Target {
	var out []drain.Target
	for _, e := range w.engines {
		if _, leaving := w.deadline(e, now); !leaving {
			out = append(out, drain.Target{Host: e.id, Region: e.region, Free: waveRunning - len(e.streams)})
		}
	}
	return out
}

func (w *waveWorld) engine(id string) *waveEngine {
	for _, e := range w.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (w *waveWorld) step(now float64) {
	for _, e := range w.engines {
		w.decode(e)
		deadline, leaving := w.deadline(e, now)
		switch {
		case !leaving:
		case now >= deadline:
			w.cut += len(e.streams)
			e.streams = nil
		default:
			w.carryOut(e, now, w.plan.Next(at(now), at(deadline), e.region, e.streams, w.targets(now)))
		}
	}
}

// decode makes one tick's tokens.
func (w *waveWorld) decode(e *waveEngine) {
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

func (w *waveWorld) carryOut(e *waveEngine, now float64, steps []drain.Step) {
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
			w.onto++
		}
		if step.Choice == drain.ChoiceTransfer && target.region != e.region {
			w.across++
		}
		w.book(target, s, step)
		target.streams = append(target.streams, s)
	}
	e.streams = rest
}

// book counts a move; a failed export becomes a recompute.
func (w *waveWorld) book(target *waveEngine, s drain.Stream, step drain.Step) {
	if step.Choice == drain.ChoiceTransfer {
		w.transfers++
		if !w.failing || w.transfers%exportEvery != 0 {
			w.transferred++
			target.moved += time.Duration(float64(step.Bytes) / drain.DefaultRates().TransferBytes * float64(time.Second))
			return
		}
	}
	w.recomputed++
	target.moved += time.Duration(float64(s.Tokens) / drain.DefaultRates().PrefillTokens * float64(time.Second))
}

// TestWaves holds the stated outcomes of waves over 200 streams, under passed
// time: no stream is on an endpoint when it goes, and survivors keep most of
// their time.
func TestWaves(t *testing.T) {
	for name, tc := range map[string]struct {
		notices []notice
		failing bool
		// recomputed is how many streams are computed again, -1 where the
		// stream's whole region goes and only that is left.
		recomputed int
		// share is the most of the eight seconds of notice that a survivor
		// gives to moved streams. With two of three zones gone the deadline
		// goes before the pacing.
		share float64
	}{
		"one zone":                         {[]notice{{zone: 0, at: 0, deadline: 8}}, false, 0, 0.25},
		"one zone, exports fail":           {[]notice{{zone: 0, at: 0, deadline: 8}}, true, 8, 0.25},
		"the target zone too":              {[]notice{{zone: 0, at: 0, deadline: 8}, {zone: 1, at: 2, deadline: 9}}, false, -1, 1},
		"the target zone at once":          {[]notice{{zone: 0, at: 0, deadline: 8}, {zone: 1, at: 0, deadline: 8}}, false, -1, 1},
		"withdrawn halfway":                {[]notice{{zone: 0, at: 0, deadline: 8, withdrawn: 1}}, false, 0, 0.25},
		"withdrawn, then the other region": {[]notice{{zone: 0, at: 0, deadline: 8, withdrawn: 1}, {zone: 2, at: 2, deadline: 7}}, true, -1, 0.25},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWave(tc.notices, tc.failing)
			const seconds = 30
			for tick := range int(seconds * time.Second / waveTick) {
				w.step(float64(tick) * waveTick.Seconds())
			}
			t.Logf("%d transferred, %d recomputed", w.transferred, w.recomputed)
			is.Equal(w.cut, 0)                   // no stream broke
			is.Equal(w.onto, 0)                  // none went onto an endpoint under notice
			is.Equal(w.finished, 20*waveStreams) // all are whole
			is.Equal(w.across, 0)                // no KV cache crosses the link
			if tc.recomputed >= 0 {
				is.Equal(w.recomputed, tc.recomputed)
			}
			for _, e := range w.engines {
				is.True(e.moved.Seconds() <= tc.share*8)
			}
		})
	}
}
