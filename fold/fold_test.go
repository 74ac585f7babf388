package fold_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/claim"
	"github.com/cicadanotch/cicadanotch/config"
	"github.com/cicadanotch/cicadanotch/fold"
	"github.com/cicadanotch/cicadanotch/lease"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/record"
)

// documents adapts config.Table to fold.Table.
type documents struct{ *config.Table }

func (d documents) Fold(pos record.Position, e record.Envelope) error {
	d.Table.Fold(pos, e)
	return nil
}

// process is the state and the tables of one process.
type process struct {
	state     *fold.State
	documents *config.Table
	claims    *claim.Table
	leases    *lease.Table
}

func newProcess() *process {
	p := &process{state: fold.New(), documents: config.NewTable(), claims: claim.NewTable(), leases: lease.NewTable()}
	p.state.Register("documents", documents{p.documents}, record.KindDocument)
	p.state.Register("claims", p.claims, record.KindClaim, record.KindOutcome, record.KindAbandon)
	p.state.Register("leases", p.leases, record.KindLease)
	return p
}

func (p *process) fold(log []port.LogRecord) {
	for _, r := range log {
		_, _ = p.state.Fold(r) // the log contains records that do not parse
	}
}

func (p *process) digest(t testing.TB) string {
	t.Helper()
	is := is.New(t)
	snap, err := p.state.Snapshot()
	is.NoErr(err)
	digest, err := snap.Digest()
	is.NoErr(err)
	return digest
}

func document(service string, priority int) string {
	return fmt.Sprintf(`{"schema": 1, "service": %q, "kind": "model", "priority": %d,
		"models": [{"name": "a", "version": "1"}], "latency": {"request_timeout": "30s"},
		"placement": {"availability_zones": ["jos-a"], "machine_classes": ["l4"]},
		"workspaces": [{"name": "bokkos", "weight": 1}]}`, service, priority)
}

// generator makes a log with conflicting changes of documents, claims and leases,
// repeated records, batches, records of unknown kinds and versions, and records
// that do not parse.
type generator struct {
	rng  *rand.Rand
	live *process
	made []record.Envelope
	log  []port.LogRecord
	ids  int
}

func generate(seed uint64, records int) *generator {
	g := &generator{rng: rand.New(rand.NewPCG(seed, 1)), live: newProcess()}
	for len(g.log) < records {
		g.append()
	}
	return g
}

func (g *generator) append() {
	batch := []record.Envelope{g.envelope()}
	for g.rng.IntN(4) == 0 {
		batch = append(batch, g.envelope())
	}
	data := encode(batch)
	if g.rng.IntN(20) == 0 {
		data = []byte("garbage")
	}
	r := port.LogRecord{Offset: int64(len(g.log) + 1), Data: data}
	g.log = append(g.log, r)
	g.live.fold([]port.LogRecord{r})
}

func encode(batch []record.Envelope) []byte {
	var v any = batch[0]
	if len(batch) > 1 {
		v = record.Envelope{ID: "batch-" + batch[0].ID, Kind: record.KindBatch, Version: 1, Body: mustJSON(batch)}
	}
	return mustJSON(v)
}

func mustJSON(v any) json.RawMessage {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err) // all types of the test can be encoded
	}
	return raw
}

func (g *generator) envelope() record.Envelope {
	if len(g.made) > 0 && g.rng.IntN(4) == 0 {
		return g.made[g.rng.IntN(len(g.made))]
	}
	kind, body := g.body()
	g.ids++
	e := record.Envelope{
		ID: fmt.Sprint("id", g.ids), Kind: kind, Version: 1, Source: fmt.Sprint("host", g.rng.IntN(3)),
		At: int64(g.ids) * 1000, Body: mustJSON(body),
	}
	if g.rng.IntN(15) == 0 {
		e.Version = 2
	}
	g.made = append(g.made, e)
	return e
}

func (g *generator) body() (record.Kind, any) {
	service := fmt.Sprint("service", g.rng.IntN(3))
	key := claim.Key{Service: service, Workspace: "w", Key: fmt.Sprint(g.rng.IntN(8))}
	entry, _, _ := g.live.claims.Get(key)
	held := g.live.leases.Get(service)
	switch g.rng.IntN(8) {
	case 0, 1:
		current, _ := g.live.documents.Accepted(service)
		return record.KindDocument, config.Change{Service: service, Base: current.Offset - int64(g.rng.IntN(2)), Text: document(service, g.rng.IntN(100))}
	case 2, 3:
		return record.KindClaim, claim.Claim{Key: key, Digest: 1, Owner: "host1"}
	case 4:
		return record.KindOutcome, claim.NewOutcome(key, entry.ClaimID, port.ServiceResponse{Status: 200, Body: []byte("done")})
	case 5:
		return record.KindAbandon, claim.Abandon{Key: key, ClaimID: entry.ClaimID}
	case 6:
		verbs := []lease.Verb{lease.VerbTake, lease.VerbRenew, lease.VerbRelease}
		return record.KindLease, lease.Change{Name: service, Verb: verbs[g.rng.IntN(3)], Holder: fmt.Sprint("p", g.rng.IntN(2)), Last: held.Last}
	}
	return "forecast", map[string]int{"x": 1}
}

// TestStateDoesNotDependOnReads guards against states that depend on how the log was
// read. It folds the same log at once, from a checkpoint in the middle, and with
// overlapping reads.
func TestStateDoesNotDependOnReads(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			is := is.New(t)
			g := generate(seed, 300)
			want := g.live.digest(t)
			rng := rand.New(rand.NewPCG(seed, 2))

			middle := rng.IntN(len(g.log))
			writer := newProcess()
			writer.fold(g.log[:middle])
			snap, err := writer.state.Snapshot()
			is.NoErr(err)
			reader := newProcess()
			pieces, err := snap.Pieces("host")
			is.NoErr(err)
			is.NoErr(reader.state.Restore(assemble(t, pieces)))
			reader.fold(g.log[middle:])
			is.Equal(reader.digest(t), want)

			again := newProcess()
			for at := 0; at < len(g.log); {
				from := max(0, at-rng.IntN(20))
				to := min(len(g.log), at+1+rng.IntN(20))
				again.fold(g.log[from:to])
				at = to
			}
			is.Equal(again.digest(t), want)
		})
	}
}

func assemble(t *testing.T, pieces []record.Envelope) fold.Snapshot {
	t.Helper()
	var a fold.Assembler
	for _, p := range pieces {
		snap, err := a.Add(p)
		is.New(t).NoErr(err)
		if snap != nil {
			return *snap
		}
	}
	t.Fatal("all pieces were added, but no snapshot is complete")
	return fold.Snapshot{}
}

// TestRepeatedRecords guards against records that take effect twice. It replaces
// every repetition of a record by one of an unknown kind: the state must not change.
func TestRepeatedRecords(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(6) {
		g := generate(seed, 300)
		seen := map[string]bool{}
		once := newProcess()
		for _, r := range g.log {
			envelopes, err := record.Decode(r.Data)
			if err == nil {
				for i, e := range envelopes {
					if seen[e.ID] {
						envelopes[i].Kind = "repeated"
					}
					seen[e.ID] = true
				}
				r.Data = encode(envelopes)
			}
			once.fold([]port.LogRecord{r})
		}
		for _, pair := range [][2]fold.Table{
			{documents{g.live.documents}, documents{once.documents}}, {g.live.claims, once.claims}, {g.live.leases, once.leases},
		} {
			a, err := pair[0].Export()
			is.NoErr(err)
			b, err := pair[1].Export()
			is.NoErr(err)
			is.Equal(string(a), string(b))
		}
	}
}

// TestPublishedRulesAreFrozen guards against changes of published rules. It compares the
// state of a generated log with the state that the rules gave when they were first
// published. A changed rule needs a new record version, not a new digest here.
func TestPublishedRulesAreFrozen(t *testing.T) {
	is := is.New(t)
	is.Equal(generate(1, 500).live.digest(t), frozenDigest)
}

const frozenDigest = "65572fb5cb8f163f51d956b07c57399a1a90136b545f1a874bfcaff9a6aefc44"

func TestRestore(t *testing.T) {
	is := is.New(t)
	g := generate(3, 100)
	snap, err := g.live.state.Snapshot()
	is.NoErr(err)
	is.True(len(snap.Unsupported) > 0) // kinds and versions that these processes do not support

	ahead := newProcess()
	ahead.fold(g.log)
	snap.Next--
	is.True(errors.Is(ahead.state.Restore(snap), fold.ErrOlder))

	// A process that supports a kind that the writer skipped must not restore it.
	newer := newProcess()
	newer.state.Register("forecasts", lease.NewTable(), "forecast")
	is.True(errors.Is(newer.state.Restore(snap), fold.ErrIncomplete))

	_, err = newProcess().state.Fold(port.LogRecord{Offset: 2, Data: []byte("x")})
	is.True(errors.Is(err, fold.ErrGap))
}

func TestBrokenCheckpoint(t *testing.T) {
	is := is.New(t)
	snap, err := generate(3, 50).live.state.Snapshot()
	is.NoErr(err)
	pieces, err := snap.Pieces("host")
	is.NoErr(err)
	pieces[0].Body = json.RawMessage(strings.Replace(string(pieces[0].Body), `"data":"H4s`, `"data":"AAA`, 1))
	var a fold.Assembler
	_, err = a.Add(pieces[0])
	is.True(errors.Is(err, fold.ErrDigest))
}

// benchLog returns configuration changes spread over 20 services.
func benchLog(b *testing.B, records int) []port.LogRecord {
	b.Helper()
	const services = 20
	var base [services]int64
	log := make([]port.LogRecord, 0, records)
	for i := range records {
		service := i % services
		name := fmt.Sprint("service", service)
		e, err := record.New(record.KindDocument, "operator", config.Change{Service: name, Base: base[service], Text: document(name, i%100)})
		if err != nil {
			b.Fatal(err)
		}
		base[service] = int64(i + 1)
		log = append(log, port.LogRecord{Offset: int64(i + 1), Data: mustJSON(e)})
	}
	return log
}

// BenchmarkFoldDay folds 24,000 configuration changes, the volume of a day.
func BenchmarkFoldDay(b *testing.B) {
	b.ReportAllocs()
	log := benchLog(b, 24_000)
	for b.Loop() {
		newProcess().fold(log)
	}
}

// BenchmarkStart compares the start of a process from a checkpoint with the replay
// of a day of changes, in time and in bytes read.
func BenchmarkStart(b *testing.B) {
	log := benchLog(b, 24_000)
	p := newProcess()
	p.fold(log)
	snap, err := p.state.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	pieces, err := snap.Pieces("host")
	if err != nil {
		b.Fatal(err)
	}
	b.Run("replay", func(b *testing.B) {
		b.ReportAllocs()
		bytes := 0
		for _, r := range log {
			bytes += len(r.Data)
		}
		for b.Loop() {
			newProcess().fold(log)
		}
		b.ReportMetric(float64(bytes), "B/start")
	})
	b.Run("checkpoint", func(b *testing.B) {
		b.ReportAllocs()
		bytes := 0
		for _, e := range pieces {
			bytes += len(mustJSON(e))
		}
		for b.Loop() {
			var a fold.Assembler
			for _, e := range pieces {
				complete, err := a.Add(e)
				if err != nil {
					b.Fatal(err)
				}
				if complete != nil {
					if err := newProcess().state.Restore(*complete); err != nil {
						b.Fatal(err)
					}
				}
			}
		}
		b.ReportMetric(float64(bytes), "B/start")
	})
}
