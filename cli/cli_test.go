package cli_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/cli"
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
			is.True(strings.Contains(stdout+stderr, tc.want)) // message: see want
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
		"nobody there":    {[]string{"dump", "--operator", "127.0.0.1:1"}, cli.ExitFailure, "connection refused"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			code, stdout, stderr := run(tc.args...)
			is.Equal(code, tc.code)
			is.True(strings.Contains(stdout+stderr, tc.want)) // message: see want
		})
	}
}
