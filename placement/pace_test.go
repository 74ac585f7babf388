package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPace: the pace follows the engines, whose speed no document states, and other work at an engine
// does not make it seem slower. The engines are those of the users' third site and of their first.
func TestPace(t *testing.T) {
	for name, tc := range map[string]struct{ firstMS, tokenMS float64 }{
		"third site": {47, 1 / 40.0}, "first site": {1, 1 / 69.0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(1, 2))
			var e paceEstimate
			for range 400 {
				work := 300 + rng.ExpFloat64()*4000
				waited := tc.firstMS + work*tc.tokenMS*(1+0.1*rng.Float64())
				if rng.Float64() < 0.5 {
					waited += rng.ExpFloat64() * 400 // behind work that was not known
				}
				e.observe(work, waited)
			}
			is.True(e.known)
			is.True(e.pace.TokenMS > 0.9*tc.tokenMS && e.pace.TokenMS < 1.3*tc.tokenMS)
			is.True(e.pace.FirstMS < tc.firstMS+20)
		})
	}
}

// TestPaceOfOtherHosts: until a host has an estimate of its own, the median of the others applies.
func TestPaceOfOtherHosts(t *testing.T) {
	is := is.New(t)
	table := NewTable("h")
	is.Equal(table.PaceOf("llm"), defaultPace)
	table.SetPeerPaces(map[string]Pace{"llm": MedianPace([]Pace{{TokenMS: 0.03}, {TokenMS: 0.02}, {TokenMS: 0.09}})})
	is.Equal(table.PaceOf("llm").TokenMS, 0.03)
	for range minPaceSamples {
		table.paceOf("llm").observe(10_000, 250)
	}
	is.Equal(table.PaceOf("llm").TokenMS, 0.025)
	is.Equal(table.PaceOf("other"), defaultPace)
}

// TestUrgentArrivalsLengthenTheWait replays the starvation of courier-status on alpin-handover: an engine
// with little queued now, but whose time is taken by more urgent arrivals, is no place for the least
// urgent request; for the most urgent one it is as good as another.
func TestUrgentArrivalsLengthenTheWait(t *testing.T) {
	is := is.New(t)
	table := NewTable("h")
	c := engines(2)
	at := now
	for range 60 { // long urgent prompts at e0, each done before the next: 0.7 of its time
		at = at.Add(100 * time.Millisecond)
		urgent, _ := table.Choose(at, &Query{PromptTokens: 4400, MaxAnswerTokens: 100, Zone: "a", Region: "r", Excluded: map[string]bool{"e1": true}}, c)
		table.Started(&urgent, 70*time.Millisecond)
		table.Release(&urgent, false)
	}
	table.SetPeers(map[string]Load{"e1": {Requests: 2, Prefill: 1500}})
	short := func(priority int) string {
		q := &Query{PromptTokens: 1400, MaxAnswerTokens: 100, Zone: "a", Region: "r", Priority: priority}
		choice, ok := table.Choose(at, q, c)
		is.True(ok)
		table.Release(&choice, true)
		return choice.ID
	}
	is.Equal(short(0), "e0")
	is.Equal(short(8), "e1")
}

// sharedViewLoad is the load of alpin-handover: engines, arrivals of long prompts a second, hosts.
const (
	sharedViewEngines  = 7
	sharedViewHosts    = 9
	sharedViewPerS     = 20.0
	sharedViewPrompt   = 6000.0
	sharedViewInterval = time.Second
)

// waits plays a minute of long prompts at engines that prefill one after the other, chosen by the tables
// of the hosts, or by one table for all. It returns the 95th percentile of the wait before the prefill.
func waits(shared bool) time.Duration {
	rng := rand.New(rand.NewPCG(3, 4))
	c := engines(sharedViewEngines)
	tables := make([]*Table, sharedViewHosts)
	for i := range tables {
		tables[i] = NewTable(fmt.Sprint("h", i))
		if shared && i > 0 {
			tables[i] = tables[0]
		}
	}
	free := map[string]time.Time{}
	type running struct {
		choice Choice
		table  *Table
		start  time.Time
		end    time.Time
	}
	var open []running
	var waited []time.Duration
	reported := now
	for at := now; at.Before(now.Add(time.Minute)); at = at.Add(time.Duration(rng.ExpFloat64() / sharedViewPerS * float64(time.Second))) {
		open = slices.DeleteFunc(open, func(r running) bool {
			if r.end.After(at) {
				return false
			}
			r.table.Started(&r.choice, r.end.Sub(r.start))
			r.table.Release(&r.choice, false)
			return true
		})
		if !shared && at.Sub(reported) > sharedViewInterval {
			reported = at
			for i, table := range tables {
				sums := map[string]Load{}
				for j, other := range tables {
					if i == j {
						continue
					}
					for id, l := range other.OwnLoads() {
						sums[id] = sums[id].Plus(l)
					}
				}
				table.SetPeers(sums)
			}
		}
		table := tables[rng.IntN(len(tables))]
		prompt := int(500 + rng.ExpFloat64()*sharedViewPrompt)
		choice, _ := table.Choose(at, &Query{PromptTokens: prompt, MaxAnswerTokens: 100, Zone: "a", Region: "r"}, c)
		begin := at
		if free[choice.ID].After(at) {
			begin = free[choice.ID]
		}
		end := begin.Add(time.Duration(float64(prefillWork(prompt, 0)) * defaultPace.TokenMS * float64(time.Millisecond)))
		free[choice.ID] = end
		waited = append(waited, begin.Sub(at))
		open = append(open, running{choice, table, at, end})
	}
	slices.Sort(waited)
	return waited[len(waited)*95/100]
}

// TestSharedViewAvoidsCollisions: hosts that learn of one another's prompts after a second queue them
// behind one another while engines are idle; with one table for all, the wait of nearly all of them is
// within a fifth of the latency objective of a second.
func TestSharedViewAvoidsCollisions(t *testing.T) {
	is := is.New(t)
	const objective = time.Second
	apart, shared := waits(false), waits(true)
	t.Logf("95th percentile of the wait: %s apart, %s shared", apart, shared)
	is.True(shared <= objective/5)
	is.True(apart >= 2*shared)
}
