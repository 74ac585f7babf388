package capacity_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/capacity"
	"github.com/cicadanotch/cicadanotch/config"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/record"
)

var start = time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)

func document() *config.Document {
	return &config.Document{
		Service:   "assistant-llm",
		Kind:      config.KindModel,
		Models:    []config.Model{{Name: "m", Version: "2"}},
		Placement: config.Placement{Zones: []string{"jos-a", "jos-b"}, Classes: []string{"l4"}, MinHosts: 2, MaxHosts: 10},
	}
}

func prices() []port.Price {
	return []port.Price{
		{Region: "plateau", Zone: "jos-a", Class: "l4", Reclaimable: true, PricePerHour: 1.0},
		{Region: "plateau", Zone: "jos-a", Class: "l4", PricePerHour: 3.0},
		{Region: "plateau", Zone: "jos-b", Class: "l4", Reclaimable: true, PricePerHour: 1.1},
		{Region: "plateau", Zone: "jos-b", Class: "l4", PricePerHour: 3.2},
		{Region: "plateau", Zone: "jos-b", Class: "t4", Reclaimable: true, PricePerHour: 0.1},
		{Region: "kaduna", Zone: "kad-a", Class: "l4", Reclaimable: true, PricePerHour: 0.2},
	}
}

// hosts returns n idle live hosts, alternating between the two zones.
func hosts(n int) []capacity.Host {
	var out []capacity.Host
	for i := range n {
		out = append(out, capacity.Host{
			Host: port.Host{
				ID: fmt.Sprintf("h%d", i), Region: "plateau", Zone: []string{"jos-a", "jos-b"}[i%2], Class: "l4", Reclaimable: true,
				PricePerHour: 1, StartToken: fmt.Sprintf("old-%d", i),
			},
			Report: port.LoadReport{At: start, MaxRunning: 10, Models: []string{"m"}, Versions: map[string]string{"m": "2"}},
		})
	}
	return out
}

func input(n int) capacity.Input {
	return capacity.Input{Now: start, Document: document(), Hosts: hosts(n), Prices: prices()}
}

func zones(plan capacity.Plan) map[string]int {
	out := map[string]int{}
	for _, s := range plan.Starts {
		out[s.Request.Zone]++
	}
	return out
}

func TestPlanStarts(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(*capacity.Input)
		live   int
		starts int
		short  bool
		check  func(is *is.I, plan capacity.Plan)
	}{
		"enough hosts": {live: 2},
		"minimum number of hosts": {starts: 2, check: func(is *is.I, plan capacity.Plan) {
			is.Equal(zones(plan), map[string]int{"jos-a": 1, "jos-b": 1}) // spread over the zones, not the cheapest zone twice
		}},
		"load": {live: 2, starts: 1, change: func(in *capacity.Input) { in.Hosts[0].Report.Running = 20 }},
		"load on a leaving host counts": {live: 3, starts: 1, change: func(in *capacity.Input) {
			in.Hosts[0].Report.Running = 20
			in.Hosts[0].Leaving = true
		}},
		"never above the maximum": {live: 10, change: func(in *capacity.Input) { in.Queued = 1000 }},
		"a few starts per plan":   {live: 2, starts: 4, change: func(in *capacity.Input) { in.Queued = 1000 }},
		"pending starts count":    {starts: 1, change: func(in *capacity.Input) { in.Pending = map[string]bool{"x": true} }},
		"refused pool is avoided": {starts: 2, change: func(in *capacity.Input) {
			in.RefusedUntil = map[capacity.Pool]time.Time{
				{Region: "plateau", Zone: "jos-a", Class: "l4", Reclaimable: true}: start.Add(time.Minute),
			}
		}, check: func(is *is.I, plan capacity.Plan) { is.Equal(zones(plan), map[string]int{"jos-b": 2}) }},
		"all pools refused": {short: true, change: func(in *capacity.Input) {
			in.RefusedUntil = map[capacity.Pool]time.Time{}
			for _, p := range prices() {
				in.RefusedUntil[capacity.Pool{Region: p.Region, Zone: p.Zone, Class: p.Class, Reclaimable: p.Reclaimable}] = start.Add(time.Minute)
			}
		}},
		"pool under notice costs more": {live: 4, starts: 2, change: func(in *capacity.Input) {
			in.Document.Placement.MinHosts = 4
			in.Hosts[0].Leaving, in.Hosts[2].Leaving = true, true // all of jos-a
		}, check: func(is *is.I, plan capacity.Plan) { is.Equal(zones(plan), map[string]int{"jos-b": 2}) }},
		"spend limit": {starts: 1, short: true, change: func(in *capacity.Input) { in.Document.Spend.HostsPerHour = 1.5 }},
		"on-demand share": {starts: 2, change: func(in *capacity.Input) { in.Document.Placement.OnDemandShare = 0.5 }, check: func(is *is.I, plan capacity.Plan) {
			is.True(!plan.Starts[0].Request.Reclaimable)
			is.True(plan.Starts[1].Request.Reclaimable)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			in := input(tc.live)
			if tc.change != nil {
				tc.change(&in)
			}
			plan := capacity.NewPlanner(capacity.NewTable()).Plan(in)
			is.Equal(len(plan.Starts), tc.starts)
			is.Equal(plan.ShortReason != "", tc.short)
			for _, s := range plan.Starts {
				is.True(s.Request.Zone != "kad-a") // not in the document's placement
				is.True(s.Request.Class == "l4")
			}
			if tc.check != nil {
				tc.check(is, plan)
			}
		})
	}
}

// TestTwoDecidersAskForOneHost guards against a host that is started twice: two planners
// with the same view must request the same hosts, by the same tokens.
func TestTwoDecidersAskForOneHost(t *testing.T) {
	is := is.New(t)
	table := capacity.NewTable()
	first := capacity.NewPlanner(table).Plan(input(0))
	second := capacity.NewPlanner(table).Plan(input(0))
	is.Equal(first.Starts, second.Starts)
	is.True(first.Starts[0].Request.Token != first.Starts[1].Request.Token)
}

// TestGenerationMovesOnce guards against a slot that skips a generation because two
// planners record the loss of the same host, and against a generation lost in a
// checkpoint.
func TestGenerationMovesOnce(t *testing.T) {
	is := is.New(t)
	table := capacity.NewTable()
	slot := capacity.Slot{Service: "s", Pool: capacity.Pool{Zone: "jos-a", Class: "l4"}, Index: 1}
	advance := capacity.Change{Advance: &capacity.Advance{Slot: slot, From: 0}}
	for _, host := range []string{"a", "b"} { // two planners saw the loss of the same host
		e, err := record.New(record.KindCapacity, host, advance)
		is.NoErr(err)
		is.NoErr(table.Fold(record.Position{}, e))
	}
	is.Equal(table.Generation(slot), 1)
	found, generation, ok := capacity.SlotOf(port.Host{Zone: "jos-a", Class: "l4", StartToken: slot.Token(1)})
	is.True(ok)
	is.Equal(found, slot)
	is.Equal(generation, 1)
	is.True(slot.Token(0) != slot.Token(1))

	raw, err := table.Export()
	is.NoErr(err)
	copied := capacity.NewTable()
	is.NoErr(copied.Import(raw))
	is.Equal(copied.Generation(slot), 1)
	again, err := copied.Export()
	is.NoErr(err)
	is.Equal(string(again), string(raw))
}

func TestScaleIn(t *testing.T) {
	is := is.New(t)
	planner := capacity.NewPlanner(capacity.NewTable())
	in := input(4)
	in.Hosts[2].PricePerHour = 2
	is.Equal(len(planner.Plan(in).Drains), 0) // not at once
	in.Now = start.Add(6 * time.Minute)
	is.Equal(planner.Plan(in).Drains, []string{"h2"}) // the most expensive
	is.Equal(len(planner.Plan(in).Drains), 0)         // one at a time
	in.Hosts[2].Leaving, in.Hosts[2].Drained = true, true
	in.Hosts[2].Report.Running = 1
	is.Equal(len(planner.Plan(in).Stops), 0) // not with a request in progress
	in.Hosts[2].Report.Running = 0
	is.Equal(planner.Plan(in).Stops, []string{"h2"})
}

func TestOrders(t *testing.T) {
	for name, tc := range map[string]struct {
		models  []string
		version string
		running int
		want    []port.CommandKind
	}{
		"as in the document":    {models: []string{"m"}, version: "2"},
		"not loaded":            {want: []port.CommandKind{port.CommandLoad}},
		"old version":           {models: []string{"m"}, version: "1", want: []port.CommandKind{port.CommandVersion}},
		"old version in use":    {models: []string{"m"}, version: "1", running: 1},
		"model not in document": {models: []string{"m", "x"}, version: "2", want: []port.CommandKind{port.CommandUnload}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			in := input(2)
			in.Hosts[0].Report.Models = tc.models
			in.Hosts[0].Report.Versions = map[string]string{"m": tc.version}
			in.Hosts[0].Report.Running = tc.running
			var got []port.CommandKind
			for _, o := range capacity.NewPlanner(capacity.NewTable()).Plan(in).Commands {
				is.Equal(o.Host, "h0")
				got = append(got, o.Command.Kind)
			}
			is.Equal(got, tc.want)
		})
	}
}
