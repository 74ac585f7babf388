package lease_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/lease"
	"github.com/cicadanotch/cicadanotch/record"
)

func envelope(t *testing.T, id string, c lease.Change) record.Envelope {
	t.Helper()
	body, err := json.Marshal(c)
	is.New(t).NoErr(err)
	return record.Envelope{ID: id, Kind: record.KindLease, Version: 1, Body: body}
}

func at(offset int64) record.Position { return record.Position{Offset: offset} }

func TestRule(t *testing.T) {
	held := lease.Lease{Holder: "a", FencingToken: 5, Last: at(7), RecordID: "r7"}
	for name, tc := range map[string]struct {
		change lease.Change
		pos    record.Position
		ok     bool
		holder string
		token  int64
	}{
		"takeover":                   {lease.Change{Verb: lease.VerbTake, Holder: "b", Last: at(7)}, at(9), true, "b", 9},
		"takeover after a renewal":   {lease.Change{Verb: lease.VerbTake, Holder: "b", Last: at(5)}, at(9), false, "a", 5},
		"renewal":                    {lease.Change{Verb: lease.VerbRenew, Holder: "a", Last: at(7)}, at(9), true, "a", 5},
		"renewal after a takeover":   {lease.Change{Verb: lease.VerbRenew, Holder: "b", Last: at(7)}, at(9), false, "a", 5},
		"release":                    {lease.Change{Verb: lease.VerbRelease, Holder: "a", Last: at(7)}, at(9), true, "", 5},
		"release by non-holder":      {lease.Change{Verb: lease.VerbRelease, Holder: "b", Last: at(7)}, at(9), false, "a", 5},
		"unknown verb":               {lease.Change{Verb: "steal", Holder: "b", Last: at(7)}, at(9), false, "a", 5},
		"refers to its own position": {lease.Change{Verb: lease.VerbTake, Holder: "b", Last: at(7)}, at(7), false, "a", 5},
		"holder takes it again":      {lease.Change{Verb: lease.VerbTake, Holder: "a", Last: at(7)}, at(9), true, "a", 9},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, ok := lease.Apply(held, tc.change, tc.pos, "r")
			is.Equal(ok, tc.ok)
			is.Equal(got.Holder, tc.holder)
			is.Equal(got.FencingToken, tc.token)
		})
	}
}

func TestTwoTakesInOneRecord(t *testing.T) {
	is := is.New(t)
	table := lease.NewTable()
	is.NoErr(table.Fold(record.Position{Offset: 3, Index: 0}, envelope(t, "x", lease.Change{Name: "n", Verb: lease.VerbTake, Holder: "a"})))
	is.NoErr(table.Fold(record.Position{Offset: 3, Index: 1}, envelope(t, "y", lease.Change{Name: "n", Verb: lease.VerbTake, Holder: "b", Last: at(3)})))
	is.Equal(table.Get("n").Holder, "a")
}

// simulation is two processes and a log, driven step by step.
type simulation struct {
	t       *testing.T
	now     time.Duration
	table   *lease.Table
	offset  int64
	procs   [2]*process
	history string
}

// process is one member and its append in progress, if any.
type process struct {
	member *lease.Member
	// read is the lease as the process last read it, at readAt.
	read     lease.Lease
	readAt   time.Duration
	pending  *record.Envelope
	maxFence int64
}

var epoch = time.Unix(0, 0)

func (sim *simulation) time() time.Time { return epoch.Add(sim.now) }

const (
	ttl    = 6 * time.Second
	margin = time.Second
	step   = 2 * time.Second
)

func newSimulation(t *testing.T) *simulation {
	sim := &simulation{t: t, table: lease.NewTable()}
	opts := lease.Options{TTL: ttl, Margin: margin, MaxCommandDelay: step}
	for i := range sim.procs {
		sim.procs[i] = &process{member: lease.NewMember("n", fmt.Sprint("p", i), opts)}
	}
	return sim
}

// Kinds of steps, which can come in any order.
const (
	stepTick   = iota // time passes
	stepRead0         // process 0 reads the log and begins an append if one is due
	stepApply0        // the append of process 0 takes effect
	stepRead1
	stepApply1
	stepKinds // number of kinds above
)

func (sim *simulation) do(s int) {
	switch s {
	case stepTick:
		sim.now += step
	case stepRead0:
		sim.readAndPropose(0)
	case stepApply0:
		sim.applyAppend(0)
	case stepRead1:
		sim.readAndPropose(1)
	case stepApply1:
		sim.applyAppend(1)
	}
	sim.check()
}

func (sim *simulation) readAndPropose(i int) {
	p := sim.procs[i]
	p.read, p.readAt = sim.table.Get("n"), sim.now
	p.member.Observe(sim.time(), p.read)
	if p.pending != nil {
		return
	}
	action := p.member.Next(sim.time(), sim.time())
	if action.Verb == "" {
		return
	}
	e := envelope(sim.t, fmt.Sprintf("p%d-%d-%d", i, sim.now, sim.offset), action.Change)
	p.member.Appending(sim.time(), e.ID)
	p.pending = &e
}

func (sim *simulation) applyAppend(i int) {
	p := sim.procs[i]
	if p.pending == nil {
		return
	}
	sim.offset++
	if err := sim.table.Fold(at(sim.offset), *p.pending); err != nil {
		sim.t.Fatal(err)
	}
	p.pending = nil
}

// check fails if both processes hold the lease, or if one holds it with a fencing
// token below one that the other has held it with.
func (sim *simulation) check() {
	f0, held0 := sim.procs[0].member.Held(sim.time())
	f1, held1 := sim.procs[1].member.Held(sim.time())
	if held0 && held1 {
		sim.t.Fatalf("both hold the lease after %s", sim.history)
	}
	if held0 && f0 < sim.procs[1].maxFence || held1 && f1 < sim.procs[0].maxFence {
		sim.t.Fatalf("an older fencing token is in use after %s", sim.history)
	}
	if held0 {
		sim.procs[0].maxFence = max(sim.procs[0].maxFence, f0)
	}
	if held1 {
		sim.procs[1].maxFence = max(sim.procs[1].maxFence, f1)
	}
}

// TestInterleavings runs every sequence of steps of two processes up to a depth,
// starting after both have read the first take. It guards against a takeover while
// the old holder still acts. A process without a read for several ticks stands for
// a paused one; an append that takes effect late stands for a slow log.
func TestInterleavings(t *testing.T) {
	const depth = 6
	total := 1
	for range depth {
		total *= stepKinds
	}
	taken := 0
	for code := range total {
		sim := newSimulation(t)
		sim.do(stepRead0)
		sim.do(stepApply0)
		sim.do(stepRead0)
		sim.do(stepRead1)
		for c, i := code, 0; i < depth; i++ {
			sim.history += fmt.Sprint(c % stepKinds)
			sim.do(c % stepKinds)
			c /= stepKinds
		}
		if sim.table.Get("n").Holder == "p1" {
			taken++
		}
	}
	if taken == 0 {
		t.Fatal("no sequence of steps led to a takeover; the depth is too small")
	}
}

// TestReleaseBesideRenewal guards against a released lease that its holder holds again: a renewal that was being appended
// is accepted before the release, which is then refused.
func TestReleaseBesideRenewal(t *testing.T) {
	is := is.New(t)
	m := lease.NewMember("l", "self", lease.DefaultOptions())
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	m.Observe(start, lease.Lease{})
	m.Appending(start, "take")
	m.Observe(start, lease.Lease{Holder: "self", FencingToken: 1, Last: at(1), RecordID: "take"})
	now := start.Add(4 * time.Second)
	renewal := m.Next(now, now)
	is.Equal(renewal.Verb, lease.VerbRenew)
	m.Appending(now, "renewal")
	release := m.Release()
	is.Equal(release.Verb, lease.VerbRelease)
	current := lease.Lease{Holder: "self", FencingToken: 1, Last: at(1), RecordID: "take"}
	current, ok := lease.Apply(current, renewal.Change, at(2), "renewal")
	is.True(ok)
	_, ok = lease.Apply(current, release.Change, at(3), "release")
	is.True(!ok)
	m.Observe(now, current)
	_, held := m.Held(now)
	is.True(!held)
	again := m.Next(now, now)
	is.Equal(again.Verb, lease.VerbRelease) // the lease must not last to the end of its TTL
	current, ok = lease.Apply(current, again.Change, at(4), "again")
	is.True(ok)
	m.Observe(now, current)
	is.Equal(m.Next(now, now).Verb, lease.VerbTake) // it is free for all, this process too
}
