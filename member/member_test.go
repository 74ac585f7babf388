package member_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/member"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func list(n int, change func(*member.Host)) []member.Host {
	var out []member.Host
	for i := range n {
		h := member.Host{ID: fmt.Sprintf("h%d", i), Region: "r", Zone: fmt.Sprintf("z%d", i%3)}
		if change != nil {
			change(&h)
		}
		out = append(out, h)
	}
	return out
}

// group simulates one table per host and delivers heartbeats, checks and reports
// between them in steps of one second.
type group struct {
	now    time.Time
	hosts  []member.Host
	tables map[string]*member.Table
	// blocked holds the pairs {a, b} for which all that a sends to b is lost; down
	// holds the hosts that have failed.
	blocked  map[[2]string]bool
	down     map[string]bool
	sequence int64
}

func newGroup(hosts []member.Host) *group {
	g := &group{now: start, hosts: hosts, tables: map[string]*member.Table{}, blocked: map[[2]string]bool{}, down: map[string]bool{}}
	for _, h := range hosts {
		g.tables[h.ID] = member.NewTable(h.ID, member.DefaultOptions())
	}
	g.setList(hosts)
	return g
}

func (g *group) setList(hosts []member.Host) {
	for _, h := range g.hosts {
		t := g.tables[h.ID]
		t.SetList(g.now, hosts)
	}
}

func (g *group) reaches(a, b string) bool {
	return !g.down[a] && !g.down[b] && !g.blocked[[2]string{a, b}]
}

func (g *group) check(a, target string) member.CheckResult {
	result := member.CheckNotPossible
	for _, helper := range g.tables[a].Helpers(target, 2) {
		switch {
		case !g.reaches(a, helper):
		case g.reaches(helper, target):
			return member.CheckResponsive
		default:
			result = member.CheckUnresponsive
		}
	}
	return result
}

func (g *group) step() {
	g.now = g.now.Add(time.Second)
	g.sequence++
	for _, h := range g.hosts {
		a, t := h.ID, g.tables[h.ID]
		if g.down[a] {
			continue
		}
		for _, target := range t.Targets() {
			if g.reaches(a, target) {
				t.RecordAnswer(g.now, target)
			} else if t.RecordMiss(g.now, target) {
				t.RecordCheck(g.now, target, g.check(a, target))
			}
		}
	}
	g.exchangeReports()
}

func (g *group) exchangeReports() {
	for _, h := range g.hosts {
		a, t := h.ID, g.tables[h.ID]
		report := member.Report{By: a, Sequence: g.sequence, Dead: t.ConfirmedDead()}
		for _, to := range g.hosts {
			if g.reaches(a, to.ID) {
				g.tables[to.ID].ReceiveReport(g.now, report)
			}
		}
	}
	for _, h := range g.hosts {
		t := g.tables[h.ID]
		t.Evaluate(g.now)
	}
}

func (g *group) run(steps int) {
	for range steps {
		g.step()
	}
}

func (g *group) row(at, id string) member.Row {
	for _, r := range g.tables[at].Rows() {
		if r.ID == id {
			return r
		}
	}
	return member.Row{}
}

func TestFaults(t *testing.T) {
	const steps = 6
	for name, tc := range map[string]struct {
		hosts   int
		fault   func(g *group)
		verdict member.Verdict
		reason  string // for h1 at every other live host; empty for any
	}{
		"no fault":                {9, func(*group) {}, member.Alive, ""},
		"listed as live but dead": {9, func(g *group) { g.down["h1"] = true }, member.Dead, member.ReasonDead},
		"dead, only two hosts":    {2, func(g *group) { g.down["h1"] = true }, member.Dead, member.ReasonDead},
		"listed as leaving, responds": {9, func(g *group) {
			g.setList(list(9, func(h *member.Host) { h.Leaving = h.ID == "h1" }))
		}, member.Leaving, ""},
		"listed as leaving, dead": {9, func(g *group) {
			g.setList(list(9, func(h *member.Host) { h.Leaving = h.ID == "h1" }))
			g.down["h1"] = true
		}, member.Dead, member.ReasonLeavingUnresponsive},
		"dead with its zone": {30, func(g *group) {
			for _, h := range g.hosts {
				g.down[h.ID] = h.Zone == "z1"
			}
		}, member.Dead, member.ReasonDead},
		"unreachable from one watcher": {9, func(g *group) {
			g.blocked[[2]string{g.watcher("h1"), "h1"}] = true
		}, member.Alive, ""},
		"unreachable from all hosts": {9, func(g *group) {
			for _, h := range g.hosts {
				g.blocked[[2]string{h.ID, "h1"}] = true
			}
		}, member.Dead, member.ReasonDead},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newGroup(list(tc.hosts, nil))
			g.run(2)
			tc.fault(g)
			g.run(steps)
			for _, h := range g.hosts {
				if h.ID == "h1" || g.down[h.ID] {
					continue
				}
				row := g.row(h.ID, "h1")
				is.Equal(row.Verdict, tc.verdict)
				is.True(tc.reason == "" || row.Reason == tc.reason) // reason
			}
		})
	}
}

// watcher returns the first host that sends heartbeats to id.
func (g *group) watcher(id string) string {
	for _, h := range g.hosts {
		if slices.Contains(g.tables[h.ID].Targets(), id) {
			return h.ID
		}
	}
	return ""
}

func TestOneDirectionNamesItsReason(t *testing.T) {
	is := is.New(t)
	g := newGroup(list(9, nil))
	watcher := g.watcher("h1")
	g.blocked[[2]string{watcher, "h1"}] = true
	g.run(4)
	is.Equal(g.row(watcher, "h1").Reason, member.ReasonOneDirection)
}

func TestIsolatedHostReportsNoDeadHosts(t *testing.T) {
	is := is.New(t)
	g := newGroup(list(9, nil))
	for _, h := range g.hosts {
		g.blocked[[2]string{"h0", h.ID}] = true
		g.blocked[[2]string{h.ID, "h0"}] = true
	}
	g.run(20)
	is.Equal(len(g.tables["h0"].ConfirmedDead()), 0) // reports no host as dead
	is.Equal(g.row("h2", "h0").Verdict, member.Dead)
}

func TestFlappingIsDamped(t *testing.T) {
	is := is.New(t)
	g := newGroup(list(9, nil))
	var waits []int
	for range 4 {
		g.down["h1"] = true
		g.run(6)
		is.Equal(g.row("h0", "h1").Verdict, member.Dead)
		g.down["h1"] = false
		wait := 0
		for g.row("h0", "h1").Verdict == member.Dead && wait < 100 {
			g.step()
			wait++
		}
		waits = append(waits, wait)
	}
	is.True(waits[3] > waits[1] && waits[1] > waits[0]) // the delay grows with each death
	g.run(301)                                          // past FlapWindow
	is.Equal(g.row("h0", "h1").Deaths, 0)
}

func TestHostOutOfService(t *testing.T) {
	is := is.New(t)
	tab := member.NewTable("h0", member.DefaultOptions())
	tab.SetList(start, list(3, nil))
	is.True(tab.ReceiveReport(start, member.Report{By: "h1", Sequence: 2, OutReason: "stale"}))
	is.True(!tab.ReceiveReport(start, member.Report{By: "h1", Sequence: 1})) // older report
	v, _ := tab.Verdict("h1")
	is.Equal(v, member.OutOfService)
	tab.Evaluate(start.Add(time.Minute)) // the report has expired
	v, _ = tab.Verdict("h1")
	is.Equal(v, member.Alive)
}

func TestEachHostHasTheSameNumberOfWatchers(t *testing.T) {
	is := is.New(t)
	watchers := map[string]int{}
	for _, h := range list(50, nil) {
		tab := member.NewTable(h.ID, member.DefaultOptions())
		tab.SetList(start, list(50, nil))
		for _, target := range tab.Targets() {
			watchers[target]++
		}
	}
	for _, n := range watchers {
		is.Equal(n, member.DefaultOptions().Neighbours)
	}
	is.Equal(len(watchers), 50)
}

// TestTwoZonesOfThreeAreSeenDead guards against dead hosts that stay alive in the
// table because all their watchers failed with them. Two zones of three fail; the
// next live hosts before them on the ring must become watchers.
func TestTwoZonesOfThreeAreSeenDead(t *testing.T) {
	is := is.New(t)
	g := newGroup(list(60, nil))
	for _, h := range g.hosts {
		g.down[h.ID] = h.Zone != "z0"
	}
	g.run(120)
	for _, h := range g.hosts {
		if g.down[h.ID] {
			is.Equal(g.row("h0", h.ID).Verdict, member.Dead)
		}
	}
}
