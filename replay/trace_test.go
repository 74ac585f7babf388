package replay_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/replay"
)

const header = `{"type":"trace","name":"t","deployment":"d","service":"s","model":"m","first_token_ms":800,"between_tokens_ms":36,` +
	`"timeout_ms":5000,"zone_delay_ms":1,"region_delay_ms":30,"link_bytes_per_second":1000000,"link_price_per_gb":0.1,` +
	`"engine":{"max_running":4,"step_ms":10,"per_request_ms":1,"prefill_tokens_per_second":8000,"chunk_tokens":128,"cache_blocks":64},` +
	`"feed":{"every_ms":200,"lag_ms":100,"event_loss":0},"zones":[{"availability_zone":"z","region":"r","entries":1,"engines":2,"price_per_hour":1}]}` + "\n"

const (
	arrival = `{"type":"arrival","at_ms":10,"id":"a","workspace":"w","entry":"z-entry-1","prompt":"p:200","answer_tokens":5}` + "\n"
	stated  = `{"type":"outcome","measure":"refused","at_most":0}` + "\n"
)

// TestBadTraces guards against a malformed trace that is accepted, or refused without naming the
// file, line and field.
func TestBadTraces(t *testing.T) {
	for name, tc := range map[string]struct{ text, want string }{
		"empty":              {"", `line 1: field "type"`},
		"no header":          {arrival, `line 1: field "type"`},
		"no JSON":            {header + "{\n", "line 2"},
		"unknown type":       {header + `{"type":"x","at_ms":1}`, `line 2: field "type"`},
		"unknown field":      {header + `{"type":"arrival","speed":1}`, `line 2: field "speed"`},
		"wrong type":         {header + `{"type":"arrival","at_ms":"soon"}`, `line 2: field "at_ms"`},
		"header field":       {strings.Replace(header, `"first_token_ms":800`, `"first_token_ms":0`, 1), `line 1: field "first_token_ms"`},
		"no zones":           {header[:strings.Index(header, `"zones"`)] + `"zones":[]}`, `line 1: field "zones"`},
		"unknown measure":    {header + `{"type":"outcome","measure":"joy","at_most":1}`, `line 2: field "measure"`},
		"unknown policy":     {header + `{"type":"outcome","measure":"refused","of":"x","at_most":1}`, `line 2: field "of"`},
		"no bound":           {header + `{"type":"outcome","measure":"refused"}`, `line 2: field "at_most"`},
		"back in time":       {header + arrival + strings.Replace(arrival, `"at_ms":10`, `"at_ms":9`, 1), `line 3: field "at_ms"`},
		"unknown entry host": {header + strings.Replace(arrival, "z-entry-1", "z-entry-2", 1), `line 2: field "entry"`},
		"bad prompt":         {header + strings.Replace(arrival, "p:200", "p", 1), `line 2: field "prompt"`},
		"no answer":          {header + strings.Replace(arrival, `"answer_tokens":5`, `"answer_tokens":0`, 1), `line 2: field "answer_tokens"`},
		"lonely parting":     {header + `{"type":"parted","at_ms":1,"regions":["r"],"for_ms":5}`, `line 2: field "regions"`},
		"notice for none":    {header + `{"type":"notice","at_ms":1,"kind":"reclaim"}`, `line 2: field "endpoint"`},
		"report without one": {header + `{"type":"report","at_ms":1,"endpoint":"z-1"}`, `line 2: field "load"`},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := replay.Parse("t.jsonl", strings.NewReader(tc.text))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), "t.jsonl: "+tc.want)) // the error names file, line and field
		})
	}
}

func run(t *testing.T, text string) *replay.Result {
	t.Helper()
	is := is.New(t)
	trace, err := replay.Parse("t.jsonl", strings.NewReader(text))
	is.NoErr(err)
	r, err := replay.Run(trace, replay.PolicyDaemon, testSeed)
	is.NoErr(err)
	return r
}

// TestFaultsInTraces replays one request with one fault each. It guards against wrong counts of
// refused requests and recomputed tokens after a fault.
func TestFaultsInTraces(t *testing.T) {
	for name, tc := range map[string]struct {
		line       string
		refused    int
		recomputed bool
	}{
		"nothing":                 {"", 0, false},
		"all engines die":         {`{"type":"death","at_ms":60,"availability_zone":"z"}`, 0, false},
		"the stream breaks off":   {`{"type":"answer","at_ms":5,"id":"a","after_tokens":2}`, 0, true},
		"notice for the zone":     {`{"type":"notice","at_ms":5,"availability_zone":"z","kind":"reclaim","deadline_ms":9000}`, 0, false},
		"recorded report":         {`{"type":"report","at_ms":5,"endpoint":"z-1","load":{"running":4,"waiting":9}}`, 0, false},
		"recorded cache event":    {`{"type":"cache","at_ms":5,"endpoint":"z-1","events":[{"sequence":9,"kind":"stored","blocks":[1]}]}`, 0, false},
		"dead before it came":     {`{"type":"death","at_ms":5,"availability_zone":"z"}`, 1, false},
		"prices and feeds change": {`{"type":"price","at_ms":5,"availability_zone":"z","price_per_hour":3}`, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := header
			early := strings.Contains(tc.line, `"at_ms":5,`)
			if early {
				text += tc.line + "\n"
			}
			text += arrival
			if !early && tc.line != "" {
				text += tc.line + "\n"
			}
			r := run(t, text)
			is.Equal(r.Requests, 1)
			is.Equal(r.Refused, tc.refused)
			is.Equal(r.Recomputed > 0, tc.recomputed)
		})
	}
}

// TestCommand checks the exit code and output of the replay command.
func TestCommand(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good := write("good.jsonl", header+stated+arrival)
	missed := write("missed.jsonl", header+strings.Replace(stated, "refused", "cost_at_target", 1)+arrival)
	bad := write("bad.jsonl", header+"{}\n")
	for name, tc := range map[string]struct {
		args []string
		code int
		out  string
		err  string
	}{
		"all met":        {[]string{good}, 0, "met: refused is 0", ""},
		"one policy":     {[]string{"--policy", "random", good}, 0, "random", ""},
		"missed":         {[]string{good, missed}, 1, "MISSED: cost_at_target", ""},
		"no trace":       {nil, 2, "", "no trace given"},
		"unknown policy": {[]string{"--policy", "x", good}, 2, "", "unknown policy"},
		"unknown flag":   {[]string{"--x"}, 2, "", "flag"},
		"no file":        {[]string{filepath.Join(dir, "none")}, 2, "", "none"},
		"bad trace":      {[]string{bad}, 2, "", `bad.jsonl: line 2: field "type"`},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out, errOut bytes.Buffer
			is.Equal(replay.Main(tc.args, &out, &errOut), tc.code)
			is.True(strings.Contains(out.String(), tc.out))
			is.True(strings.Contains(errOut.String(), tc.err))
		})
	}
}
