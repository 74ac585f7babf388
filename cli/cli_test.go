package cli_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/cli"
	"github.com/cicadanotch/cicadanotch/standin/platform"
)

func run(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = cli.Main(args, &out, &errs)
	return code, out.String(), errs.String()
}

func TestValidate(t *testing.T) {
	dir := t.TempDir()
	good, err := os.ReadFile("../examples/assistant-llm.json")
	is.New(t).NoErr(err)
	for name, tc := range map[string]struct {
		old, new string
		code     int
		want     string
	}{
		"good":             {"", "", cli.ExitOK, "a valid document of service assistant-llm"},
		"unknown field":    {`"spend"`, `"spent"`, cli.ExitUsage, `line 16: unknown field "spent"`},
		"duration no unit": {`"36ms"`, `"36"`, cli.ExitUsage, `"36" is no duration`},
		"negative weight":  {`"weight": 4`, `"weight": -4`, cli.ExitUsage, `field "workspaces[0].weight" breaks the rule "gt 0"`},
		"max below min":    {`"max_hosts": 24`, `"max_hosts": 1`, cli.ExitUsage, `line 11: field "placement.max_hosts"`},
		"bad key digest":   {`"sha256:`, `"md5:`, cli.ExitUsage, `workspaces[0].keys[0]`},
		"not JSON":         {`{`, `<`, cli.ExitUsage, "not JSON with comments"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(dir, strings.ReplaceAll(name, " ", "-")+".json")
			is.NoErr(os.WriteFile(path, bytes.Replace(good, []byte(tc.old), []byte(tc.new), 1), 0o600))
			code, stdout, stderr := run("validate", path)
			is.Equal(code, tc.code)
			is.True(strings.Contains(stdout+stderr, tc.want)) // output contains tc.want
		})
	}
}

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"assistant-llm", "store-api"} {
		is := is.New(t)
		code, _, stderr := run("validate", "../examples/"+name+".json")
		is.Equal(stderr, "")
		is.Equal(code, cli.ExitOK)
	}
}

func TestUsage(t *testing.T) {
	for name, tc := range map[string]struct {
		args []string
		code int
		want string
	}{
		"help":            {[]string{"-h"}, cli.ExitOK, "validate"},
		"command help":    {[]string{"validate", "-h"}, cli.ExitOK, "standard input"},
		"no command":      {nil, cli.ExitUsage, "SUBCOMMANDS"},
		"unknown command": {[]string{"fly"}, cli.ExitUsage, `unknown command "fly"`},
		"unknown flag":    {[]string{"validate", "--x"}, cli.ExitUsage, "flag provided but not defined"},
		"no file":         {[]string{"validate"}, cli.ExitUsage, "want one argument"},
		"missing file":    {[]string{"validate", "none.json"}, cli.ExitUsage, "no such file"},
		"missing flag":    {[]string{"dump"}, cli.ExitUsage, "flag --operator is missing"},
		"one size":        {[]string{"capacity", "--hosts", "7"}, cli.ExitUsage, "at least two"},
		"bad size":        {[]string{"capacity", "--hosts", "7,x"}, cli.ExitUsage, `"x" is no number`},
		"no listener":     {[]string{"dump", "--operator", "127.0.0.1:1"}, cli.ExitFailure, "connection refused"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			code, stdout, stderr := run(tc.args...)
			is.Equal(code, tc.code)
			is.True(strings.Contains(stdout+stderr, tc.want)) // output contains tc.want
		})
	}
}

// deployment starts stand-ins for the platform and returns the URL of the log.
func deployment(t *testing.T) string {
	t.Helper()
	p, err := platform.Start(platform.Settings{
		Log: platform.LogSettings{Address: "127.0.0.1:0"}, Cloud: platform.CloudSettings{Address: "127.0.0.1:0"},
	})
	is.New(t).NoErr(err)
	t.Cleanup(p.Stop)
	return "http://" + p.Addresses[platform.TargetLog]
}

func TestPublish(t *testing.T) {
	is := is.New(t)
	log := deployment(t)
	const file = "../examples/assistant-llm.json"
	edited := filepath.Join(t.TempDir(), "edited.json")
	text, err := os.ReadFile(file)
	is.NoErr(err)
	is.NoErr(os.WriteFile(edited, bytes.Replace(text, []byte(`"priority": 10`), []byte(`"priority": 11`), 1), 0o600))

	code, _, stderr := run("get", "--log", log, "assistant-llm")
	is.Equal(code, cli.ExitFailure)
	is.True(strings.Contains(stderr, "no such service"))
	code, stdout, _ := run("publish", "--log", log, file)
	is.Equal(code, cli.ExitOK)
	is.True(strings.Contains(stdout, "revision 1 accepted"))
	code, stdout, _ = run("get", "--log", log, "assistant-llm")
	is.Equal(code, cli.ExitOK)
	is.Equal(stdout, string(text))

	code, _, _ = run("diff", "--log", log, file)
	is.Equal(code, cli.ExitOK)
	code, stdout, _ = run("diff", "--log", log, edited)
	is.Equal(code, cli.ExitFailure)
	is.True(strings.Contains(stdout, `+  "priority": 11`))

	code, _, stderr = run("publish", "--log", log, "--base", "0", edited) // based on an old revision
	is.Equal(code, cli.ExitFailure)
	is.True(strings.Contains(stderr, "revision 1 of assistant-llm came first"))
	code, stdout, _ = run("publish", "--log", log, "--json", edited)
	is.Equal(code, cli.ExitOK)
	is.True(strings.Contains(stdout, `"revision": 2`)) // the conflicting document above was not appended
	code, _, stderr = run("publish", "--log", log, "--wait", edited)
	is.Equal(code, cli.ExitUsage)
	is.True(strings.Contains(stderr, "--wait needs"))
}

func TestReplay(t *testing.T) {
	is := is.New(t)
	code, stdout, _ := run("replay", "--policy", "ours", "../traces/quiet-day.jsonl")
	is.True(code != cli.ExitUsage) // the tests of package replay check the outcomes
	is.True(strings.Contains(stdout, "quiet-day"))
	code, _, stderr := run("replay", "none.jsonl")
	is.Equal(code, cli.ExitUsage)
	is.True(strings.Contains(stderr, "none.jsonl"))
}
