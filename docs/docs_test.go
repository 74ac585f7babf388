// Package docs_test keeps the reference tables in the pages of this folder
// equal to the code. Run "go test ./docs -update" to rewrite them.
package docs_test

import (
	"bytes"
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadanotch/cicadanotch/node"
	"github.com/cicadanotch/cicadanotch/problem"
)

var update = flag.Bool("update", false, "rewrite the tables")

const (
	begin = "<!-- table:begin -->\n"
	end   = "<!-- table:end -->\n"
)

// checkPage compares the part of a page between the marks with want.
func checkPage(t *testing.T, page, want string) {
	t.Helper()
	is := is.New(t)
	text, err := os.ReadFile(page)
	is.NoErr(err)
	head, rest, ok := bytes.Cut(text, []byte(begin))
	is.True(ok) // the page has its begin mark
	got, tail, ok := bytes.Cut(rest, []byte(end))
	is.True(ok) // the page has its end mark
	if *update {
		out := slices.Concat(head, []byte(begin), []byte(want), []byte(end), tail)
		is.NoErr(os.WriteFile(page, out, 0o644))
		return
	}
	is.Equal(string(got), want) // run: go test ./docs -update
}

// structDoc is a struct type of a package with the doc comments of its fields.
type structDoc struct {
	name   string
	doc    string
	fields []fieldDoc
}

type fieldDoc struct {
	name, kind, rule, doc string
}

// structsOf parses the structs with JSON fields in a package's files.
func structsOf(is *is.I, files ...string) []structDoc {
	var out []structDoc
	for _, file := range files {
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ParseComments)
		is.NoErr(err)
		for _, decl := range parsed.Decls {
			gen, ok := decl.(*ast.GenDecl)
			if !ok {
				continue
			}
			for _, spec := range gen.Specs {
				if s, ok := structOf(gen, spec); ok {
					out = append(out, s)
				}
			}
		}
	}
	return out
}

func structOf(gen *ast.GenDecl, spec ast.Spec) (structDoc, bool) {
	typeSpec, ok := spec.(*ast.TypeSpec)
	if !ok {
		return structDoc{}, false
	}
	structType, ok := typeSpec.Type.(*ast.StructType)
	if !ok {
		return structDoc{}, false
	}
	s := structDoc{name: typeSpec.Name.Name, doc: flat(gen.Doc.Text())}
	for _, f := range structType.Fields.List {
		if f.Tag == nil || len(f.Names) == 0 {
			continue
		}
		tag := reflect.StructTag(strings.Trim(f.Tag.Value, "`"))
		name, _, _ := strings.Cut(tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		s.fields = append(s.fields, fieldDoc{name, kindOf(f.Type), tag.Get("validate"), flat(f.Doc.Text())})
	}
	return s, len(s.fields) > 0
}

func flat(text string) string { return strings.Join(strings.Fields(text), " ") }

func kindOf(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.Ident:
		return e.Name
	case *ast.StarExpr:
		return kindOf(e.X)
	case *ast.ArrayType:
		return "list of " + kindOf(e.Elt)
	case *ast.SelectorExpr:
		return e.Sel.Name
	case *ast.MapType:
		return "map"
	}
	return "object"
}

func table(t *testing.T, structs []structDoc, names ...string) string {
	t.Helper()
	var out strings.Builder
	for _, name := range names {
		i := slices.IndexFunc(structs, func(s structDoc) bool { return s.name == name })
		if i < 0 {
			continue
		}
		fmt.Fprintf(&out, "\n## %s\n\n%s\n\n| field | type | rule | meaning |\n|---|---|---|---|\n", name, structs[i].doc)
		for _, f := range structs[i].fields {
			t.Run(name+"."+f.name, func(t *testing.T) { is.New(t).True(f.doc != "") }) // the field has a doc comment
			fmt.Fprintf(&out, "| `%s` | %s | %s | %s |\n", f.name, f.kind, strings.ReplaceAll(f.rule, "|", "\\|"), f.doc)
		}
	}
	out.WriteString("\n")
	return out.String()
}

func TestServiceDocument(t *testing.T) {
	structs := structsOf(is.New(t), "../config/document.go")
	names := make([]string, 0, len(structs))
	for _, s := range structs {
		names = append(names, s.name)
	}
	checkPage(t, "SERVICE-DOCUMENT.md", table(t, structs, names...))
}

func TestSettings(t *testing.T) {
	daemon := structsOf(is.New(t), "../node/settings.go")
	standin := structsOf(is.New(t), "../standin/platform/settings.go")
	want := table(t, daemon, "Settings", "PeerTLS") +
		strings.ReplaceAll(table(t, standin, "Settings"), "## Settings", "## Stand-in settings") +
		table(t, standin, "LogSettings", "CloudSettings", "EndpointSettings", "FaultRow")
	checkPage(t, "SETTINGS.md", want)
}

var descPattern = regexp.MustCompile(`fqName: "([^"]+)", help: "([^"]*)", .*variableLabels: \{([^}]*)\}`)

func TestMetrics(t *testing.T) {
	n := node.New(node.Settings{Host: "a"}, node.Ports{})
	descs := make(chan *prometheus.Desc, 1024)
	n.Registry().Describe(descs)
	close(descs)
	var rows []string
	for d := range descs {
		m := descPattern.FindStringSubmatch(d.String())
		is.New(t).True(m != nil) // the description parses
		rows = append(rows, fmt.Sprintf("| `%s` | %s | %s |\n", m[1], m[3], m[2]))
	}
	slices.Sort(rows)
	checkPage(t, "METRICS.md", "| metric | labels | meaning |\n|---|---|---|\n"+strings.Join(rows, ""))
}

func TestProblems(t *testing.T) {
	var out strings.Builder
	out.WriteString("| type | title |\n|---|---|\n")
	for _, p := range problem.Types() {
		fmt.Fprintf(&out, "| `%s` | %s |\n", p, p.Title())
	}
	checkPage(t, "API.md", out.String())
}

// linkPattern finds links to files of the project in a page.
var linkPattern = regexp.MustCompile(`\]\(([^)#:]+)(#[^)]*)?\)`)

func TestLinks(t *testing.T) {
	pages, err := filepath.Glob("*.md")
	is.New(t).NoErr(err)
	for _, pattern := range []string{"decisions/*.md", "operators/*.md", "../*.md"} {
		more, err := filepath.Glob(pattern)
		is.New(t).NoErr(err)
		pages = append(pages, more...)
	}
	for _, page := range pages {
		text, err := os.ReadFile(page)
		is.New(t).NoErr(err)
		for _, m := range linkPattern.FindAllStringSubmatch(string(text), -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), m[1])); err != nil {
				t.Errorf("%s links to %s, which does not exist", page, m[1])
			}
		}
	}
}

// testPattern finds the tests that the pages name.
var testPattern = regexp.MustCompile("`([a-z]+)\\.(Test\\w+)`")

func TestNamedTestsExist(t *testing.T) {
	text, err := os.ReadFile("DESIGN.md")
	is.New(t).NoErr(err)
	named := testPattern.FindAllStringSubmatch(string(text), -1)
	is.New(t).True(len(named) > 0)
	for _, m := range named {
		if !hasTest(t, m[1], m[2]) {
			t.Errorf("DESIGN.md names %s.%s, which does not exist", m[1], m[2])
		}
	}
}

func hasTest(t *testing.T, pkg, name string) bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", pkg, "*_test.go"))
	is.New(t).NoErr(err)
	for _, file := range files {
		text, err := os.ReadFile(file)
		is.New(t).NoErr(err)
		if strings.Contains(string(text), "func "+name+"(") {
			return true
		}
	}
	return false
}

var (
	eventInCode = regexp.MustCompile(`(?:Str\("event", |"event":)"([a-z_]+)"`)
	eventInPage = regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\|")
)

// TestLogEvents keeps the page of log events equal to those that the code writes.
func TestLogEvents(t *testing.T) {
	is := is.New(t)
	code := map[string]bool{}
	for _, pattern := range []string{"../gateway/*.go", "../daemon/*.go", "../eventlog/*.go", "../platform/*.go", "../adapter/*/*.go"} {
		files, err := filepath.Glob(pattern)
		is.NoErr(err)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			text, err := os.ReadFile(file)
			is.NoErr(err)
			for _, m := range eventInCode.FindAllStringSubmatch(string(text), -1) {
				code[m[1]] = true
			}
		}
	}
	page, err := os.ReadFile("LOGS.md")
	is.NoErr(err)
	for _, m := range eventInPage.FindAllStringSubmatch(string(page), -1) {
		if !code[m[1]] {
			t.Errorf("LOGS.md names %s, which the code does not write", m[1])
		}
		delete(code, m[1])
	}
	for event := range code {
		t.Errorf("LOGS.md does not name %s", event)
	}
}

var gatewayMetric = regexp.MustCompile(`"(cicadanotch_gateway_[a-z_]+)"`)

// TestGatewayMetrics keeps the names of the gateway's metrics on their page.
func TestGatewayMetrics(t *testing.T) {
	is := is.New(t)
	code, err := os.ReadFile("../gateway/metrics.go")
	is.NoErr(err)
	page, err := os.ReadFile("METRICS.md")
	is.NoErr(err)
	names := gatewayMetric.FindAllStringSubmatch(string(code), -1)
	is.True(len(names) > 0)
	for _, m := range names {
		if !strings.Contains(string(page), "`"+m[1]+"`") {
			t.Errorf("METRICS.md does not name %s", m[1])
		}
	}
}
