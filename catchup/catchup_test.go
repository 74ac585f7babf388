package catchup_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/catchup"
	"github.com/cicadanotch/cicadanotch/config"
	"github.com/cicadanotch/cicadanotch/fold"
	"github.com/cicadanotch/cicadanotch/lease"
	"github.com/cicadanotch/cicadanotch/record"
	"github.com/cicadanotch/cicadanotch/standin"
)

// documents adapts config.Table to fold.Table.
type documents struct{ *config.Table }

func (d documents) Fold(pos record.Position, e record.Envelope) error {
	d.Table.Fold(pos, e)
	return nil
}

func newState() (*fold.State, *config.Table) {
	table := config.NewTable()
	state := fold.New()
	state.Register("documents", documents{table}, record.KindDocument)
	return state, table
}

// writer appends to a log without a practical rate limit.
type writer struct {
	t    testing.TB
	log  *standin.Log
	base map[string]int64
}

func newWriter(t testing.TB, retention int) *writer {
	log := standin.NewLog(standin.LogOptions{MaxRecords: retention, AppendsPerSecond: 1e9})
	return &writer{t: t, log: log, base: map[string]int64{}}
}

func (w *writer) append(e record.Envelope) int64 {
	w.t.Helper()
	data, err := e.Encode()
	is.New(w.t).NoErr(err)
	offset, err := w.log.Append(w.t.Context(), data)
	is.New(w.t).NoErr(err)
	return offset
}

// publish appends a revision of a service document; filler makes it longer.
func (w *writer) publish(service, filler string) {
	w.t.Helper()
	text := fmt.Sprintf(`{"schema": 1, "service": %q, "kind": "model", // %s
		"models": [{"name": "a", "version": "1"}], "latency": {"request_timeout": "30s"},
		"placement": {"availability_zones": ["jos-a"], "machine_classes": ["l4"]},
		"workspaces": [{"name": "bokkos", "weight": 1}]}`, service, filler)
	e, err := record.New(record.KindDocument, "operator", config.Change{Service: service, Base: w.base[service], Text: text})
	is.New(w.t).NoErr(err)
	w.base[service] = w.append(e)
}

// pieces returns a checkpoint of the complete log as records.
func (w *writer) pieces() []record.Envelope {
	w.t.Helper()
	is := is.New(w.t)
	state, _ := newState()
	is.NoErr(catchup.Sync(w.t.Context(), w.log, state))
	snap, err := state.Snapshot()
	is.NoErr(err)
	pieces, err := snap.Pieces("host")
	is.NoErr(err)
	return pieces
}

func (w *writer) checkSync(want string) {
	w.t.Helper()
	is := is.New(w.t)
	state, table := newState()
	is.NoErr(catchup.Sync(w.t.Context(), w.log, state))
	raw, err := table.Export()
	is.NoErr(err)
	is.Equal(string(raw), want)
}

func (w *writer) replayAll() string {
	w.t.Helper()
	state, table := newState()
	is.New(w.t).NoErr(catchup.FoldToEnd(w.t.Context(), w.log, state))
	raw, err := table.Export()
	is.New(w.t).NoErr(err)
	return string(raw)
}

func TestSyncFromPieces(t *testing.T) {
	is := is.New(t)
	w := newWriter(t, 0)
	for i := range 5 {
		// Incompressible text, so that the checkpoint has several pieces.
		w.publish(fmt.Sprint("service", i), incompressible(i))
	}
	pieces := w.pieces()
	is.True(len(pieces) > 1)
	for _, p := range pieces {
		w.append(p)
		for range 510 {
			w.publish("busy", "") // more than a page between the pieces
		}
	}
	w.append(pieces[0]) // a checkpoint whose writer failed before its last piece
	want := w.replayAll()
	w.checkSync(want)
}

func incompressible(seed int) string {
	var b strings.Builder
	for i := range 6000 {
		b.WriteString(record.NewID()[:(i+seed)%32])
	}
	return b.String()
}

func TestSyncAfterRetention(t *testing.T) {
	is := is.New(t)
	w := newWriter(t, 50)
	w.publish("quiet", "")
	for _, p := range w.pieces() {
		w.append(p)
	}
	for range 20 {
		w.publish("busy", "")
	}
	want := w.replayAll()
	for range 48 - 20 {
		_, err := w.log.Append(t.Context(), []byte("garbage"))
		is.NoErr(err)
	}
	w.checkSync(want) // the first record has expired, its checkpoint has not

	for range 50 {
		_, err := w.log.Append(t.Context(), []byte("garbage"))
		is.NoErr(err)
	}
	state, _ := newState()
	is.True(errors.Is(catchup.Sync(t.Context(), w.log, state), catchup.ErrNoCheckpoint))
}

// TestCheckpointCoversTooLittle guards against a start from a checkpoint whose next
// records have expired from the log, which would skip them.
func TestCheckpointCoversTooLittle(t *testing.T) {
	is := is.New(t)
	w := newWriter(t, 50)
	w.publish("quiet", "")
	pieces := w.pieces()
	for range 10 {
		w.publish("busy", "")
	}
	for _, p := range pieces {
		w.append(p)
	}
	for range 45 {
		w.publish("busy", "")
	}
	state, _ := newState()
	is.True(errors.Is(catchup.Sync(t.Context(), w.log, state), catchup.ErrNoCheckpoint))
}

// TestOlderCheckpointForNewerReader guards against records lost in an upgrade. The
// newest checkpoint was written by a process that does not support a kind that the
// reader supports; the reader must start from the older, complete one.
func TestOlderCheckpointForNewerReader(t *testing.T) {
	is := is.New(t)
	w := newWriter(t, 0)
	w.publish("quiet", "")
	newer, _ := newState()
	leases := lease.NewTable()
	newer.Register("leases", leases, record.KindLease)
	is.NoErr(catchup.FoldToEnd(t.Context(), w.log, newer))
	snap, err := newer.Snapshot()
	is.NoErr(err)
	complete, err := snap.Pieces("new")
	is.NoErr(err)
	w.append(complete[0])
	body, err := json.Marshal(lease.Change{Name: "n", Verb: lease.VerbTake, Holder: "a"})
	is.NoErr(err)
	w.append(record.Envelope{ID: "l", Kind: record.KindLease, Version: 1, Body: body})
	for _, p := range w.pieces() { // this writer does not support leases
		w.append(p)
	}

	reader, _ := newState()
	got := lease.NewTable()
	reader.Register("leases", got, record.KindLease)
	is.NoErr(catchup.Sync(t.Context(), w.log, reader))
	is.Equal(got.Get("n").Holder, "a")
}

// BenchmarkStart compares the start of a process on the log of a day, 24,000 changes:
// from a checkpoint 2,500 records before the end, and by replay.
func BenchmarkStart(b *testing.B) {
	w := newWriter(b, 0)
	for i := range 24_000 {
		if i == 21_500 {
			for _, p := range w.pieces() {
				w.append(p)
			}
		}
		w.publish(fmt.Sprint("service", i%20), "")
	}
	for name, start := range map[string]func(*fold.State) error{
		"checkpoint": func(s *fold.State) error { return catchup.Sync(b.Context(), w.log, s) },
		"replay":     func(s *fold.State) error { return catchup.FoldToEnd(b.Context(), w.log, s) },
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			_, before := w.log.Counts()
			for b.Loop() {
				state, _ := newState()
				if err := start(state); err != nil {
					b.Fatal(err)
				}
			}
			_, after := w.log.Counts()
			b.ReportMetric(float64(after-before)/float64(b.N), "reads/start")
		})
	}
}
