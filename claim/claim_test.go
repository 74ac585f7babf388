package claim

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/record"
)

var testKey = Key{Service: "store-api", Workspace: "bokkos", Key: "k:order-1"}

// writer folds the records of a test log into a table.
type writer struct {
	t      *testing.T
	table  *Table
	offset int64
}

func (w *writer) add(kind record.Kind, id, source string, at time.Duration, body any) {
	w.t.Helper()
	raw, err := json.Marshal(body)
	is.New(w.t).NoErr(err)
	w.offset++
	e := record.Envelope{ID: id, Kind: kind, Version: 1, Source: source, At: at.Milliseconds(), Body: raw}
	is.New(w.t).NoErr(w.table.Fold(record.Position{Offset: w.offset}, e))
}

func (w *writer) claim(id, owner string, at time.Duration) {
	w.add(record.KindClaim, id, owner, at, Claim{Key: testKey, Digest: 7, Owner: owner})
}

func (w *writer) outcome(id, owner string, at time.Duration, body string) {
	w.add(record.KindOutcome, "o-"+id, owner, at, NewOutcome(testKey, id, port.ServiceResponse{Status: 200, Body: []byte(body)}))
}

func (w *writer) abandon(id, owner string, at time.Duration) {
	w.add(record.KindAbandon, "a-"+id, owner, at, Abandon{Key: testKey, ClaimID: id})
}

func TestRules(t *testing.T) {
	const day = 24 * time.Hour
	for name, tc := range map[string]struct {
		log        func(w *writer)
		ownClaimID string
		want       Step
	}{
		"no records":                 {func(*writer) {}, "a", StepClaim},
		"own claim":                  {func(w *writer) { w.claim("a", "h1", day) }, "a", StepDispatch},
		"own claim appended twice":   {func(w *writer) { w.claim("a", "h1", day); w.claim("a", "h1", day) }, "a", StepDispatch},
		"other claim first":          {func(w *writer) { w.claim("b", "h2", day); w.claim("a", "h1", day) }, "a", StepWait},
		"no own claim":               {func(w *writer) { w.claim("b", "h2", day) }, "", StepWait},
		"outcome":                    {func(w *writer) { w.claim("a", "h1", day); w.outcome("a", "h1", day, "x") }, "b", StepReplay},
		"outcome of a losing claim":  {func(w *writer) { w.claim("a", "h1", day); w.outcome("b", "h2", day, "x") }, "b", StepWait},
		"outcome before its claim":   {func(w *writer) { w.outcome("a", "h1", day, "x"); w.claim("a", "h1", day) }, "a", StepDispatch},
		"abandoned":                  {func(w *writer) { w.claim("a", "h1", day); w.abandon("a", "h1", day) }, "b", StepClaim},
		"abandoned before appended":  {func(w *writer) { w.abandon("a", "h1", day); w.claim("a", "h1", day) }, "b", StepClaim},
		"abandoned, appended again":  {func(w *writer) { w.claim("a", "h1", day); w.abandon("a", "h1", day); w.claim("a", "h1", day) }, "b", StepClaim},
		"losing claim abandoned":     {func(w *writer) { w.claim("a", "h1", day); w.abandon("b", "h2", day) }, "b", StepWait},
		"abandoned after an outcome": {func(w *writer) { w.claim("a", "h1", day); w.outcome("a", "h1", day, "x"); w.abandon("a", "h1", day) }, "b", StepReplay},
		"lost, then appended again after the owner was abandoned": {func(w *writer) {
			w.claim("a", "h1", day)
			w.claim("b", "h2", day)
			w.abandon("a", "h1", day)
			w.claim("b", "h2", day)
		}, "b", StepClaim},
		"answer too large": {func(w *writer) {
			w.claim("a", "h1", day)
			w.outcome("a", "h1", day, strings.Repeat("x", MaxAnswerBytes+1))
		}, "b", StepNotRetained},
		"past the window by one host's clock": {func(w *writer) {
			w.claim("a", "h1", day)
			w.outcome("a", "h1", day, "x")
			w.claim("c", "h2", 9*day)
			w.claim("d", "h1", day)
		}, "b", StepReplay},
		"past the window by two hosts' clocks": {func(w *writer) {
			w.claim("a", "h1", day)
			w.outcome("a", "h1", day, "x")
			w.claim("c", "h2", 2*day)
			w.claim("d", "h3", 2*day)
		}, "b", StepNotRetained},
		"key expired": {func(w *writer) {
			w.claim("a", "h1", day)
			w.claim("c", "h2", 3*day)
			w.abandon("x", "h3", 3*day)
		}, "b", StepClaim},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := &writer{t: t, table: NewTable()}
			tc.log(w)
			entry, known, _ := w.table.Get(testKey)
			is.Equal(Decide(entry, known, 7, tc.ownClaimID), tc.want)
			if known {
				is.Equal(Decide(entry, known, 8, tc.ownClaimID), StepConflict)
			}
		})
	}
}

func TestFullTableRefuses(t *testing.T) {
	is := is.New(t)
	w := &writer{t: t, table: newTable(1, MaxTotalAnswerBytes)}
	w.add(record.KindClaim, "x", "h1", time.Hour, Claim{Key: Key{Key: "other"}, Owner: "h1"})
	w.claim("a", "h1", time.Hour)
	_, known, _ := w.table.Get(testKey)
	is.True(!known) // refused: removing the other key could let its request run twice
	is.Equal(w.table.Stats().Refused, int64(1))
	_, known, _ = w.table.Get(Key{Key: "other"})
	is.True(known)
}

func TestAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	const limit = 10_000
	w := &writer{t: t, table: newTable(MaxKeys, limit)}
	body := []byte(strings.Repeat("x", 1000))
	for i := range 25 {
		key := Key{Key: fmt.Sprint(i)}
		w.add(record.KindClaim, fmt.Sprint("c", i), "h1", time.Hour, Claim{Key: key, Owner: "h1"})
		w.add(record.KindOutcome, fmt.Sprint("o", i), "h1", time.Hour, NewOutcome(key, fmt.Sprint("c", i), port.ServiceResponse{Body: body}))
	}
	is.True(w.table.Stats().AnswerBytes <= limit)
	oldest, known, _ := w.table.Get(Key{Key: "0"})
	is.True(known)
	is.Equal(Decide(oldest, known, 0, ""), StepNotRetained)
}

func TestExportImport(t *testing.T) {
	is := is.New(t)
	w := &writer{t: t, table: NewTable()}
	w.claim("a", "h1", time.Hour)
	w.abandon("a", "h1", time.Hour)
	w.claim("b", "h2", time.Hour)
	w.outcome("b", "h2", time.Hour, "x")
	raw, err := w.table.Export()
	is.NoErr(err)
	copied := NewTable()
	is.NoErr(copied.Import(raw))
	again, err := copied.Export()
	is.NoErr(err)
	is.Equal(string(raw), string(again))

	// Folding the same further records into both tables keeps them equal.
	for _, to := range []*Table{w.table, copied} {
		next := &writer{t: t, table: to, offset: w.offset}
		next.claim("a", "h1", time.Hour)
		next.claim("c", "h3", 99*time.Hour)
		next.outcome("c", "h3", 99*time.Hour, "y")
	}
	one, err := w.table.Export()
	is.NoErr(err)
	two, err := copied.Export()
	is.NoErr(err)
	is.Equal(string(one), string(two))
}

func TestPermit(t *testing.T) {
	began := time.Now()
	permit := Permit{Began: began, DispatchTimeout: 5 * time.Second, Deadline: began.Add(20 * time.Second)}
	for name, tc := range map[string]struct {
		permit Permit
		now    time.Time
		want   bool
	}{
		"at once":           {permit, began, true},
		"just in time":      {permit, began.Add(4999 * time.Millisecond), true},
		"paused":            {permit, began.Add(5 * time.Second), false},
		"past the deadline": {Permit{Began: began.Add(19 * time.Second), DispatchTimeout: 5 * time.Second, Deadline: permit.Deadline}, began.Add(20 * time.Second), false},
		"suspended: only the wall clock advanced": {Permit{Began: began, DispatchTimeout: 5 * time.Second, Deadline: began.Add(-time.Hour).Round(0)}, began, false},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(tc.permit.MayDispatch(tc.now), tc.want)
		})
	}
}

// BenchmarkBytesPerClaim reports the memory per retained claim.
func BenchmarkBytesPerClaim(b *testing.B) {
	b.ReportAllocs()
	const claims = 20_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := benchTable(b, claims)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/claims, "B/claim")
		runtime.KeepAlive(table)
	}
}

func benchTable(b *testing.B, claims int) *Table {
	t := NewTable()
	for i := range claims {
		raw, err := json.Marshal(Claim{Key: Key{Service: "store-api", Workspace: "bokkos", Key: fmt.Sprint("k:", i)}, Owner: "jos-a-entry-1", Incarnation: "jos-a-entry-1/0123456789ab"})
		if err != nil {
			b.Fatal(err)
		}
		e := record.Envelope{ID: record.NewID(), Kind: record.KindClaim, Version: 1, Source: "jos-a-entry-1", At: int64(i), Body: raw}
		if err := t.Fold(record.Position{Offset: int64(i + 1)}, e); err != nil {
			b.Fatal(err)
		}
	}
	return t
}
