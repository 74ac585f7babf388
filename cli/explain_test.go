package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const firstLog = `
{"time":"2026-03-26T12:17:20Z","host":"a","event":"start"}
{"time":"2026-03-26T12:17:26.1Z","host":"a","event":"request","request":"other","endpoint":"e9","ms":2}
  24.0 a {"time":"2026-03-26T12:17:26.2Z","host":"a","event":"endpoint","change":"draining","endpoint":"e1"}
{"time":"2026-03-26T12:17:26.3Z","host":"a","event":"attempt","request":"r1","endpoint":"e1","outcome":"broken","next":"resume","ms":200}
not a log line
{"time":"2026-03-26T12:17:24.9Z","host":"a","event":"attempt","request":"r1","endpoint":"e2","outcome":"unsent","next":"retry","ms":1}
{"time":"2026-03-26T12:17:26.9Z","host":"a","event":"request","request":"r1","endpoint":"e3","result":"served","status":200,"ms":800}
{"time":"2026-03-26T12:19:26.9Z","host":"a","event":"endpoint","change":"removed","endpoint":"e1"}
`

const secondLog = `
{"time":"2026-03-26T12:17:25.5Z","host":"b","event":"request","request":"r1","result":"refused","status":429,"ms":0}
{"time":"2026-03-26T12:17:26.0Z","host":"b","event":"endpoint","change":"added","endpoint":"e7"}
`

const thirdLog = `
{"time":"2026-03-26T12:17:30.0Z","host":"planned","event":"stopped"}
{"time":"2026-03-26T12:17:30.5Z","host":"planned","event":"start"}
{"time":"2026-03-26T12:17:31.0Z","host":"c","event":"request","request":"r9","ms":1}
{"time":"2026-03-26T12:17:31.9Z","host":"c","event":"start"}
`

func explainWith(t *testing.T, args ...string) (int, string, string) {
	t.Helper()
	dir := t.TempDir()
	for name, text := range map[string]string{"a.log": firstLog, "b.log": secondLog, "c.log": thirdLog} {
		is.New(t).NoErr(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	var stdout, stderr bytes.Buffer
	all := append([]string{"explain"}, args...)
	for i, a := range all {
		if strings.HasSuffix(a, ".log") {
			all[i] = filepath.Join(dir, a)
		}
	}
	code := Main(all, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// TestExplain checks that the output holds the request's lines on both hosts and the
// changes of its endpoints around that time, and that the lines of a host stay in
// order although its clock jumped back.
func TestExplain(t *testing.T) {
	is := is.New(t)
	code, out, _ := explainWith(t, "r1", "a.log", "b.log")
	is.Equal(code, ExitOK)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	is.Equal(len(lines), 5)
	order := []string{"status=429", "change=draining", "outcome=broken", "outcome=unsent", "status=200"}
	for i, want := range order {
		if !strings.Contains(lines[i], want) {
			t.Errorf("line %d is %q, want it to contain %q", i, lines[i], want)
		}
	}
}

func TestExplainErrors(t *testing.T) {
	for name, tc := range map[string]struct {
		args []string
		code int
		want string
	}{
		"no file":         {[]string{"r1"}, ExitUsage, "takes a request id and files"},
		"missing file":    {[]string{"r1", "/nowhere/x"}, ExitUsage, "no such file"},
		"unknown request": {[]string{"r7", "a.log"}, ExitFailure, "names request r7"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			code, _, stderr := explainWith(t, tc.args...)
			is.Equal(code, tc.code)
			is.True(strings.Contains(stderr, tc.want))
		})
	}
}

// TestExplainLogGaps checks that hosts which ended without a stop, or wrote nothing for a
// while because they were frozen, are named when no line has the request's id: a request
// in progress there leaves no log line.
func TestExplainLogGaps(t *testing.T) {
	is := is.New(t)
	code, out, message := explainWith(t, "nowhere", "a.log", "b.log", "c.log")
	is.True(code != ExitOK)
	is.True(strings.Contains(message, "nowhere"))
	for _, want := range []string{"a wrote nothing from 12:17:26.900 on", "c ended without a stop after 12:17:31.000 and started again"} {
		if !strings.Contains(out, want) {
			t.Errorf("%q is missing from the output %q", want, out)
		}
	}
	is.True(!strings.Contains(out, "planned"))
}
