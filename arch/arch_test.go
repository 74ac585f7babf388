// Package arch_test checks the direction of imports and what domain packages may do: they do no
// I/O, start no goroutine, read no clock, do not use the global random source and import no
// adapter.
package arch_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const module = "github.com/cicadanotch/cicadanotch/"

// domain lists the packages that make the decisions.
var domain = []string{
	"address", "admit", "answer", "attempt", "capacity", "catalog", "claim", "config", "drain", "fleet", "fold", "grant", "headroom", "hostlist", "intake", "lease", "lineage", "member", "memory", "overload", "placement", "prefix", "presence", "problem", "quarantine", "quota", "reach", "record", "request", "rollout", "route", "scaling", "speed", "usage",
}

// forbiddenImports lists the imports that domain packages must not have. A path that ends in a
// slash stands for all packages below it.
var forbiddenImports = []string{
	"net", "net/", "os", "os/", "syscall", "io/ioutil",
	module + "adapter/", module + "node", module + "daemon", module + "standin", module + "standin/", module + "cli", module + "demo",
}

// forbiddenCalls lists the functions that domain packages must not call.
var forbiddenCalls = map[string]bool{
	"time.Now": true, "time.Sleep": true, "time.After": true, "time.AfterFunc": true, "time.NewTimer": true,
	"time.NewTicker": true, "time.Since": true, "time.Until": true, "rand.IntN": true, "rand.Float64": true, "rand.N": true,
}

// standardStatus is the one package below net that domain packages may import, for its status
// constants only.
const standardStatus = "net/http"

// TestDomainPackages guards against domain packages that do I/O, start goroutines, read the clock,
// use the global random source or import adapters. Their decisions would then depend on more than
// their input.
func TestDomainPackages(t *testing.T) {
	for _, pkg := range domain {
		files, err := filepath.Glob(filepath.Join("..", pkg, "*.go"))
		is.New(t).NoErr(err)
		for _, file := range files {
			if !strings.HasSuffix(file, "_test.go") {
				checkFile(t, file)
			}
		}
	}
}

func checkFile(t *testing.T, file string) {
	t.Helper()
	fset := token.NewFileSet()
	parsed, err := parser.ParseFile(fset, file, nil, 0)
	is.New(t).NoErr(err)
	for _, spec := range parsed.Imports {
		path, err := strconv.Unquote(spec.Path.Value)
		is.New(t).NoErr(err)
		if forbidden(path) {
			t.Errorf("%s imports %s", file, path)
		}
	}
	ast.Inspect(parsed, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			t.Errorf("%s starts a goroutine", fset.Position(n.Pos()))
		case *ast.CallExpr:
			if name := callName(n); forbiddenCalls[name] {
				t.Errorf("%s calls %s", fset.Position(n.Pos()), name)
			}
		case *ast.SelectorExpr:
			if x, ok := n.X.(*ast.Ident); ok && x.Name == "http" && !strings.HasPrefix(n.Sel.Name, "Status") {
				t.Errorf("%s uses http.%s", fset.Position(n.Pos()), n.Sel.Name)
			}
		}
		return true
	})
}

func forbidden(path string) bool {
	if path == standardStatus {
		return false
	}
	for _, f := range forbiddenImports {
		if path == f || (strings.HasSuffix(f, "/") && strings.HasPrefix(path, f)) {
			return true
		}
	}
	return false
}

func callName(call *ast.CallExpr) string {
	sel, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	x, ok := sel.X.(*ast.Ident)
	if !ok {
		return ""
	}
	return x.Name + "." + sel.Sel.Name
}

// textFiles returns the project's own text files.
func textFiles(t *testing.T) []string {
	t.Helper()
	var out []string
	err := filepath.WalkDir("..", func(path string, entry os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && entry.Name() == ".git" {
			return filepath.SkipDir
		}
		switch filepath.Ext(path) {
		case ".go", ".md", ".json", ".txt":
			out = append(out, path)
		}
		return nil
	})
	is.New(t).NoErr(err)
	return out
}

// TestNoReadyMadeProxy guards against use of the standard library's reverse proxy. The project
// implements the path between callers and endpoints itself.
func TestNoReadyMadeProxy(t *testing.T) {
	name := "Reverse" + "Proxy"
	for _, file := range textFiles(t) {
		if filepath.Ext(file) != ".go" {
			continue
		}
		text, err := os.ReadFile(file)
		is.New(t).NoErr(err)
		if strings.Contains(string(text), name) {
			t.Errorf("%s uses the standard library's reverse proxy", file)
		}
	}
}

// wireNames lists names that only the users' platform uses. Package platform translates them; they
// must not appear elsewhere.
var wireNames = []string{
	"Attempt-Id", "Response-Seal", "Token-Usage", "Prompt-Prefix", "Not-Executed", "Expect-Instance", "Instance-Load", "Kv-From",
	"Kv-Backup", "Duty-Holder", "Fencing-Token", "log-append", "log-read", "log-newest", "usage-reports", "kv-move", "api_keys",
	"keyed.op", "keyed.servers", "keyed.hosts", "max_attempts", "path_prefix", "target_latency_ms", "cold_remaining_ms", "leaves_ms", "desired_count",
}

// ownAttemptHeader lists the adapters whose own protocol already had a header with the name
// Attempt-Id.
var ownAttemptHeader = map[string]bool{"enginehttp.go": true, "servicehttp.go": true}

// TestWireNamesStayInPlatform guards against wire names of the users' platform outside package
// platform, which would tie other packages to its protocol.
func TestWireNamesStayInPlatform(t *testing.T) {
	for _, file := range textFiles(t) {
		if filepath.Ext(file) != ".go" || strings.Contains(file, "platform"+string(filepath.Separator)) || strings.HasSuffix(file, "arch_test.go") {
			continue
		}
		text, err := os.ReadFile(file)
		is.New(t).NoErr(err)
		for _, name := range wireNames {
			if name == "Attempt-Id" && ownAttemptHeader[filepath.Base(file)] {
				continue
			}
			if strings.Contains(string(text), `"`+name) || strings.Contains(string(text), "/"+name) {
				t.Errorf("%s names %s", file, name)
			}
		}
	}
}
