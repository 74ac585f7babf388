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
	held := lease.Lease{Holder: "a", Fence: 5, Last: at(7), RecordID: "r7"}
	for name, tc := range map[string]struct {
		change lease.Change
		pos    record.Position
		ok     bool
		holder string
		fence  int64
	}{
		"takeover":                  {lease.Change{Verb: lease.VerbTake, Holder: "b", Last: at(7)}, at(9), true, "b", 9},
		"takeover after a renewal":  {lease.Change{Verb: lease.VerbTake, Holder: "b", Last: at(5)}, at(9), false, "a", 5},
		"renewal":                   {lease.Change{Verb: lease.VerbRenew, Holder: "a", Last: at(7)}, at(9), true, "a", 5},
		"renewal after a takeover":  {lease.Change{Verb: lease.VerbRenew, Holder: "b", Last: at(7)}, at(9), false, "a", 5},
		"release":                   {lease.Change{Verb: lease.VerbRelease, Holder: "a", Last: at(7)}, at(9), true, "", 5},
		"release by another":        {lease.Change{Verb: lease.VerbRelease, Holder: "b", Last: at(7)}, at(9), false, "a", 5},
		"unknown verb":              {lease.Change{Verb: "steal", Holder: "b", Last: at(7)}, at(9), false, "a", 5},
		"names itself as last":      {lease.Change{Verb: lease.VerbTake, Holder: "b", Last: at(7)}, at(7), false, "a", 5},
		"takes again for a new try": {lease.Change{Verb: lease.VerbTake, Holder: "a", Last: at(7)}, at(9), true, "a", 9},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, ok := lease.Apply(held, tc.change, tc.pos, "r")
			is.Equal(ok, tc.ok)
			is.Equal(got.Holder, tc.holder)
			is.Equal(got.Fence, tc.fence)
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

// world is two processes, each with a clock of its own, and a log. It is
// stepped through every order of its steps.
type world struct {
	t       *testing.T
	now     time.Duration
	table   *lease.Table
	offset  int64
	procs   [2]*process
	history string
}

// process is one member with a record on its way, if any.
type process struct {
	member *lease.Member
	// read is what the process has read of the log.
	read    lease.Lease
	readAt  time.Duration
	flight  *record.Envelope
	ordered int64
}

var epoch = time.Unix(0, 0)

func (w *world) time() time.Time { return epoch.Add(w.now) }

const (
	ttl    = 6 * time.Second
	margin = time.Second
	step   = 2 * time.Second
)

func newWorld(t *testing.T) *world {
	w := &world{t: t, table: lease.NewTable()}
	opts := lease.Options{TTL: ttl, Margin: margin, LongestOrder: step}
	for i := range w.procs {
		w.procs[i] = &process{member: lease.NewMember("n", fmt.Sprint("p", i), opts)}
	}
	return w
}

// Steps that can come in any order.
const (
	stepTick   = iota // time passes
	stepThink0        // process 0 reads the log and begins an append if one is due
	stepLand0         // the append of process 0 takes effect
	stepThink1
	stepLand1
	steps
)

func (w *world) do(s int) {
	switch s {
	case stepTick:
		w.now += step
	case stepThink0:
		w.think(0)
	case stepLand0:
		w.land(0)
	case stepThink1:
		w.think(1)
	case stepLand1:
		w.land(1)
	}
	w.check()
}

func (w *world) think(i int) {
	p := w.procs[i]
	p.read, p.readAt = w.table.Get("n"), w.now
	p.member.Observe(w.time(), p.read)
	if p.flight != nil {
		return
	}
	action := p.member.Next(w.time(), w.time())
	if action.Verb == "" {
		return
	}
	e := envelope(w.t, fmt.Sprintf("p%d-%d-%d", i, w.now, w.offset), action.Change)
	p.member.Appending(w.time(), e.ID)
	p.flight = &e
}

func (w *world) land(i int) {
	p := w.procs[i]
	if p.flight == nil {
		return
	}
	w.offset++
	if err := w.table.Fold(at(w.offset), *p.flight); err != nil {
		w.t.Fatal(err)
	}
	p.flight = nil
}

// check fails when both processes are sure that they hold the lease.
func (w *world) check() {
	f0, held0 := w.procs[0].member.Held(w.time())
	f1, held1 := w.procs[1].member.Held(w.time())
	if held0 && held1 {
		w.t.Fatalf("both hold the lease after %s", w.history)
	}
	if held0 && f0 < w.procs[1].ordered || held1 && f1 < w.procs[0].ordered {
		w.t.Fatalf("an older fencing number is in use after %s", w.history)
	}
	if held0 {
		w.procs[0].ordered = max(w.procs[0].ordered, f0)
	}
	if held1 {
		w.procs[1].ordered = max(w.procs[1].ordered, f1)
	}
}

// TestInterleavings runs every order of the steps of two processes up to a
// depth, from when both have seen the first take. A process that does not think for several ticks
// is one that is paused; a record that lands late is a slow append.
func TestInterleavings(t *testing.T) {
	const depth = 6
	total := 1
	for range depth {
		total *= steps
	}
	taken := 0
	for code := range total {
		w := newWorld(t)
		w.do(stepThink0)
		w.do(stepLand0)
		w.do(stepThink0)
		w.do(stepThink1)
		for c, i := code, 0; i < depth; i++ {
			w.history += fmt.Sprint(c % steps)
			w.do(c % steps)
			c /= steps
		}
		if w.table.Get("n").Holder == "p1" {
			taken++
		}
	}
	if taken == 0 {
		t.Fatal("no order of steps led to a takeover: the check is too shallow")
	}
}
