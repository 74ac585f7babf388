package config_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/config"
	"github.com/cicadanotch/cicadanotch/record"
)

const service = "assistant-llm"

const text = `{"schema": 1, "service": "assistant-llm", "kind": "model", // a comment
	"models": [{"name": "a", "version": "1"}], "latency": {"request_timeout": "30s"},
	"placement": {"availability_zones": ["jos-a"], "machine_classes": ["l4"]},
	"workspaces": [{"name": "bokkos", "weight": 1}]}`

func change(t testing.TB, id string, base int64, text string) record.Envelope {
	t.Helper()
	body, err := json.Marshal(config.Change{Service: service, Base: base, Text: text})
	is.New(t).NoErr(err)
	return record.Envelope{ID: id, Kind: record.KindDocument, Version: 1, Body: body}
}

func at(offset int64) record.Position { return record.Position{Offset: offset} }

func TestFold(t *testing.T) {
	for name, tc := range map[string]struct {
		pos  record.Position
		id   string
		base int64
		text string
		want error
		// accepted is the offset of the accepted revision afterwards.
		accepted int64
	}{
		"next revision":                 {at(9), "b", 5, text, nil, 9},
		"stale base":                    {at(9), "b", 0, text, config.ErrConflict, 5},
		"base above the revision":       {at(9), "b", 9, text, config.ErrConflict, 5},
		"same record again":             {at(9), "a", 0, text, nil, 5},
		"second envelope of one record": {record.Position{Offset: 5, Index: 1}, "b", 5, text, config.ErrConflict, 5},
		"below the revision":            {at(4), "b", 5, text, config.ErrConflict, 5},
		"text is not JSON":              {at(9), "b", 5, `{`, config.ErrInvalid, 5},
		"unknown schema":                {at(9), "b", 5, strings.Replace(text, `"schema": 1`, `"schema": 2`, 1), config.ErrInvalid, 5},
		"another service":               {at(9), "b", 5, strings.Replace(text, service, "other", 1), config.ErrInvalid, 5},
		"no workspace":                  {at(9), "b", 5, strings.Replace(text, `{"name": "bokkos", "weight": 1}`, "", 1), config.ErrInvalid, 5},
		"field of a newer writer":       {at(9), "b", 5, strings.Replace(text, `"kind"`, `"colour": "blue", "kind"`, 1), nil, 9},
		"too large":                     {at(9), "b", 5, text + strings.Repeat(" ", 256<<10), config.ErrInvalid, 5},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := config.NewTable()
			is.True(table.Fold(at(5), change(t, "a", 0, text)).Accepted)
			v := table.Fold(tc.pos, change(t, tc.id, tc.base, tc.text))
			is.True(errors.Is(v.Err, tc.want))
			is.Equal(v.Accepted, tc.want == nil)
			is.Equal(v.AcceptedOffset, tc.accepted)
			got, ok := table.Service(service)
			is.True(ok)
			is.Equal(got.Offset, tc.accepted)
		})
	}
}

// TestUnusableText guards against a text of a newer writer, which rule 1 accepts
// and this code cannot use, replacing the last usable document. The table must
// report the service as unsupported.
func TestUnusableText(t *testing.T) {
	is := is.New(t)
	table := config.NewTable()
	table.Fold(at(5), change(t, "a", 0, text))
	newer := strings.Replace(text, `"kind"`, `"priority": 4000, "kind"`, 1)
	is.True(table.Fold(at(9), change(t, "b", 5, newer)).Accepted)
	got, ok := table.Service(service)
	is.True(ok)
	is.Equal(got.Offset, int64(9))
	is.Equal(got.InForce, int64(5))
	is.Equal(got.Document.Priority, 0)
	is.Equal(table.Unsupported(), []string{service})

	is.True(table.Fold(at(12), change(t, "c", 9, text)).Accepted)
	is.Equal(len(table.Unsupported()), 0)
}

func TestExportImport(t *testing.T) {
	is := is.New(t)
	table := config.NewTable()
	table.Fold(at(5), change(t, "a", 0, text))
	raw, err := table.Export()
	is.NoErr(err)
	copied := config.NewTable()
	is.NoErr(copied.Import(raw))
	is.True(copied.Fold(at(7), change(t, "b", 5, text)).Accepted)
	is.NoErr(copied.Import(raw)) // an older export does not revert the revision
	got, _ := copied.Service(service)
	is.Equal(got.Offset, int64(7))
}

// Two operators change the same revision; the first one in the log is accepted.
func Example() {
	table := config.NewTable()
	for i, operator := range []string{"amina", "baba"} {
		body, err := json.Marshal(config.Change{Service: service, Base: 0, Text: text})
		if err != nil {
			fmt.Println(err)
			return
		}
		e := record.Envelope{ID: "change-by-" + operator, Kind: record.KindDocument, Version: 1, Body: body}
		v := table.Fold(record.Position{Offset: int64(i + 1)}, e)
		fmt.Println(operator, v.Accepted, v.AcceptedOffset)
	}
	// Output:
	// amina true 1
	// baba false 1
}

// BenchmarkBytesPerDocument reports the heap memory per accepted document.
func BenchmarkBytesPerDocument(b *testing.B) {
	b.ReportAllocs()
	const documents = 500
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := config.NewTable()
		for i := range documents {
			name := fmt.Sprint("service", i)
			body, err := json.Marshal(config.Change{Service: name, Text: strings.Replace(text, service, name, 1)})
			if err != nil {
				b.Fatal(err)
			}
			table.Fold(at(int64(i+1)), record.Envelope{ID: record.NewID(), Kind: record.KindDocument, Version: 1, Body: body})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/documents, "B/document")
		runtime.KeepAlive(table)
	}
}
