package reach

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_700_000_000, 0)

// candidates returns n endpoints of a service in each availability zone.
func candidates(service string, n int, zones ...string) []Candidate {
	var out []Candidate
	for _, zone := range zones {
		for i := range n {
			id := fmt.Sprintf("%s-%s-%d", service, zone, i)
			out = append(out, Candidate{ID: id, Address: id, Service: service, Zone: zone})
		}
	}
	return out
}

// newTestTable returns a table with a fixed seed.
func newTestTable() *Table { return NewTable(rand.New(rand.NewPCG(1, 2))) }

// run lets requests fail and rounds run for a time, in steps of 100 ms. fails names the endpoints at which requests fail
// in a step, reached tells whether a connection to an endpoint can be opened. It returns when the host was cut off for
// the first time, and the number of probes.
func run(table *Table, from time.Time, d time.Duration, all []Candidate, fails func(time.Time) []Candidate, reached func(time.Time, Candidate) bool) (cutAt time.Time, probes int) {
	for now := from; now.Before(from.Add(d)); now = now.Add(100 * time.Millisecond) {
		for _, c := range fails(now) {
			table.RecordFailure(now, c.Service, c.ID)
		}
		for round := table.BeginRound(now, all); len(round) > 0; round = table.BeginRound(now, all) {
			opened, endpoints := 0, 0
			for _, c := range round {
				if reached(now, c) {
					opened++
				}
			}
			for _, c := range all {
				if c.Service == round[0].Service {
					endpoints++
				}
			}
			probes += len(round)
			table.EndRound(now, round[0].Service, endpoints, len(round), opened)
		}
		if cutAt.IsZero() && len(table.Lost()) > 0 {
			cutAt = now
		}
	}
	return cutAt, probes
}

// TestOnlyLostPathsCount replays failures of several kinds. Only the loss of the paths to all endpoints of a service
// makes the host count as cut off.
func TestOnlyLostPathsCount(t *testing.T) {
	engines, calls := candidates("llm", 6, "a", "b", "c"), candidates("api", 1, "a", "b", "c")
	all := append(append([]Candidate{}, engines...), calls...)
	inZone := func(zone string) func(Candidate) bool {
		return func(c Candidate) bool { return c.Zone == zone }
	}
	none := func(Candidate) bool { return false }
	any := func(Candidate) bool { return true }
	others := func(c Candidate) bool { return c.Service == "llm" && c != engines[17] }
	for _, tt := range []struct {
		name   string
		all    []Candidate
		fails  func(Candidate) bool // at which requests fail
		closed func(Candidate) bool // to which no connection can be opened
		lost   int                  // services that the host is cut off from
	}{
		{"nothing fails", all, none, none, 0},
		{"all endpoints are silent for a second, connections open", all, any, none, 0},
		{"a third of the endpoints are gone", all, inZone("b"), inZone("b"), 0},
		{"the paths to all engines but a new one are lost", all, others, others, 1},
		{"the paths to all endpoints are lost", all, any, any, 2},
		{"the paths to one service are lost", all, func(c Candidate) bool { return c.Service == "llm" }, func(c Candidate) bool { return c.Service == "llm" }, 1},
		{"the paths are lost, and only engines are used", all, func(c Candidate) bool { return c.Service == "llm" }, any, 1},
		{"the service's only endpoint is not reached", calls[:1], any, any, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := newTestTable()
			fails := func(time.Time) []Candidate {
				var out []Candidate
				for _, c := range tt.all {
					if tt.fails(c) {
						out = append(out, c)
					}
				}
				return out
			}
			run(table, start, 10*time.Second, tt.all, fails, func(_ time.Time, c Candidate) bool { return !tt.closed(c) })
			is.Equal(len(table.Lost()), tt.lost)
		})
	}
}

// TestCutEndsSoon replays a cut of 13 s: it is known within a second of the first failures, at few probes, and its end
// within two more.
func TestCutEndsSoon(t *testing.T) {
	is := is.New(t)
	all := candidates("llm", 6, "a", "b", "c")
	table := newTestTable()
	end := start.Add(13 * time.Second)
	reached := func(now time.Time, _ Candidate) bool { return !now.Before(end) }
	fails := func(now time.Time) []Candidate {
		if table.CutOff("llm") || !now.Before(end) {
			return nil // requests go through another host
		}
		return all[:3]
	}
	cutAt, probes := run(table, start, 13*time.Second, all, fails, reached)
	is.True(!cutAt.IsZero())
	is.True(cutAt.Sub(start) <= time.Second)
	is.True(probes <= probesPerRound+probesWhileCut*int(13*time.Second/cutRoundInterval+1))
	is.True(table.CutOff("llm"))
	run(table, end, 2*time.Second, all, fails, reached)
	is.True(!table.CutOff("llm"))
}

// TestFailingEndpointsCostFewProbes guards against a host that probes again and again while endpoints fail and its own
// paths are sound.
func TestFailingEndpointsCostFewProbes(t *testing.T) {
	is := is.New(t)
	all := candidates("llm", 6, "a", "b", "c")
	_, probes := run(newTestTable(), start, time.Minute, all, func(time.Time) []Candidate { return all[:4] }, func(time.Time, Candidate) bool { return true })
	is.True(probes <= probesPerRound*(4+int(time.Minute/maxRoundInterval)))
}

// TestCutIsSuspectedOfOtherServices guards against a host that learns of the same cut service by service, as callers of
// each fail.
func TestCutIsSuspectedOfOtherServices(t *testing.T) {
	is := is.New(t)
	engines, calls := candidates("llm", 2, "a", "b"), candidates("api", 1, "a", "b")
	all := append(append([]Candidate{}, engines...), calls...)
	table := newTestTable()
	table.RecordFailure(start, "api", calls[0].ID) // one failure alone makes no round due
	fails := func(time.Time) []Candidate { return engines[:2] }
	run(table, start, 200*time.Millisecond, all, fails, func(time.Time, Candidate) bool { return false })
	is.Equal(table.Lost(), []string{"api", "llm"})
}

// TestHelpersAreSpread guards against all hosts of a zone that is cut off using one helper, a helper that is cut off
// itself, or one far away while there is one near.
func TestHelpersAreSpread(t *testing.T) {
	is := is.New(t)
	h := NewHelpers(rand.New(rand.NewPCG(3, 4)))
	peers := []Peer{
		{Host: "near-1", Address: "1", Region: "r"},
		{Host: "near-2", Address: "2", Region: "r"},
		{Host: "cut", Address: "3", Region: "r", CutOff: true},
		{Host: "old", Region: "r"},
		{Host: "far", Address: "4", Region: "s"},
	}
	chosen := map[string]int{}
	for range 100 {
		p, ok := h.Choose(start, "r", peers)
		is.True(ok)
		chosen[p.Host]++
	}
	is.Equal(len(chosen), 2)
	is.True(chosen["near-1"] >= 40)
	is.True(chosen["near-2"] >= 40)

	h.Avoid(start, "near-1", time.Second)
	h.Avoid(start, "near-2", time.Second)
	p, ok := h.Choose(start, "r", peers)
	is.True(ok)
	is.Equal(p.Host, "far")
	h.Avoid(start, "far", time.Second)
	_, ok = h.Choose(start, "r", peers)
	is.True(!ok)
	_, ok = h.Choose(start.Add(time.Second), "r", peers)
	is.True(ok)
}
