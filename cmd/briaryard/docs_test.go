package main

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"briaryard/internal/event"
	"briaryard/internal/metric"
)

var update = flag.Bool("update", false, "rewrite the tables of the pages from the code")

const (
	tableBegin = "<!-- table: begin -->\n"
	tableEnd   = "<!-- table: end -->\n"
)

// TestPages guards against pages that differ from the code. The comparison of the whole table
// finds missing rows and rows that the code no longer has.
func TestPages(t *testing.T) {
	for page, table := range map[string]string{
		"events.md": eventTable(), "metrics.md": metricTable(), "errors.md": errorTable(), "settings.md": settingTable(t),
	} {
		path := filepath.Join("..", "..", "docs", page)
		content, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		before, rest, _ := strings.Cut(string(content), tableBegin)
		listed, after, found := strings.Cut(rest, tableEnd)
		if !found {
			t.Fatalf("%s has no table between its markers", page)
		}
		if *update {
			if err := os.WriteFile(path, []byte(before+tableBegin+table+tableEnd+after), 0o644); err != nil {
				t.Fatal(err)
			}
			continue
		}
		if listed != table {
			t.Errorf("%s differs from the code; run go test ./cmd/briaryard -run Pages -update\nlisted:\n%s\nin the code:\n%s", page, listed, table)
		}
	}
}

// markdown formats a table with the column names in head, separated by |.
func markdown(head string, rows [][]string) string {
	out := "| " + head + " |\n|" + strings.Repeat("---|", strings.Count(head, "|")+1) + "\n"
	for _, r := range rows {
		for i := range r {
			r[i] = strings.ReplaceAll(r[i], "|", "\\|")
		}
		out += "| " + strings.Join(r, " | ") + " |\n"
	}
	return out
}

func eventTable() string {
	var rows [][]string
	for _, d := range event.Table() {
		rows = append(rows, []string{fmt.Sprint(d.Number), "`" + d.Name + "`", d.Level.String(), strings.Join(d.Fields, ", "), d.Help})
	}
	return markdown("number | event | level | fields | meaning", rows)
}

func metricTable() string {
	var rows [][]string
	for _, d := range metric.Table() {
		rows = append(rows, []string{"`" + d.Name + "`", string(d.Kind), d.Unit, d.Label, d.Help})
	}
	return markdown("metric | kind | unit | label | meaning", rows)
}

func errorTable() string {
	var rows [][]string
	for _, m := range failureTable() {
		rows = append(rows, []string{"`" + string(m.Code) + "`", fmt.Sprint(m.Status), "`" + m.RunState.String() + "`", fmt.Sprint(m.Exit), m.Title})
	}
	return markdown("code | HTTP status | run state | exit code | title", rows)
}

func settingTable(t *testing.T) string {
	p, err := newParser(&commands{})
	if err != nil {
		t.Fatal(err)
	}
	var rows [][]string
	for _, command := range p.Model.Children {
		if command.Name != "serve" {
			continue
		}
		for _, f := range command.Flags {
			rows = append(rows, []string{"`--" + f.Name + "`", "`" + strings.Join(f.Envs, "`, `") + "`", "`" + f.Default + "`", f.Help})
		}
	}
	return markdown("flag | environment variable | default | meaning", rows)
}

// TestLinks guards against links between pages whose target file does not exist.
func TestLinks(t *testing.T) {
	root := filepath.Join("..", "..")
	var pages []string
	for _, pattern := range []string{"*.md", "docs/*.md", "docs/decisions/*.md"} {
		found, err := filepath.Glob(filepath.Join(root, pattern))
		if err != nil {
			t.Fatal(err)
		}
		pages = append(pages, found...)
	}
	link := regexp.MustCompile(`\]\(([^)#:]+)(#[^)]*)?\)`)
	for _, page := range pages {
		content, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range link.FindAllStringSubmatch(string(content), -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), m[1])); err != nil {
				t.Errorf("%s links to %s, which does not exist", page, m[1])
			}
		}
	}
}

// TestEventNumbers guards against two events with the same number or name.
func TestEventNumbers(t *testing.T) {
	numbers, names := make(map[int]string), make(map[string]int)
	for _, d := range event.Table() {
		if other, taken := numbers[d.Number]; taken {
			t.Errorf("%s and %s have the number %d", other, d.Name, d.Number)
		}
		if other, taken := names[d.Name]; taken {
			t.Errorf("events %d and %d have the name %s", other, d.Number, d.Name)
		}
		numbers[d.Number], names[d.Name] = d.Name, d.Number
	}
}

// logCalls lists the functions and methods of log/slog that write a line.
var logCalls = []string{
	"Debug", "DebugContext", "Info", "InfoContext", "Warn", "WarnContext", "Error", "ErrorContext", "Log", "LogAttrs",
}

// loggerFiles lists the files that create the logger and pass it to internal/event.
var loggerFiles = []string{"internal/app/app.go", "cmd/briaryard/main.go"}

// TestLogsOnlyEvents guards against log lines that docs/events.md does not list.
func TestLogsOnlyEvents(t *testing.T) {
	walkSources(t, func(path string, source []byte) {
		if strings.HasPrefix(path, "internal/event/") {
			return
		}
		for _, call := range findLogCalls(t, path, source) {
			t.Errorf("%s logs outside internal/event", call)
		}
		if strings.Contains(string(source), `"log/slog"`) && !slices.Contains(loggerFiles, path) {
			t.Errorf("%s imports log/slog; only internal/event logs", path)
		}
	})
}

// walkSources calls visit for each Go file of the project except tests.
func walkSources(t *testing.T, visit func(path string, source []byte)) {
	root := filepath.Join("..", "..")
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		name, err := filepath.Rel(root, path)
		visit(filepath.ToSlash(name), source)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestFindsLogCalls guards against a findLogCalls that misses calls, so that TestLogsOnlyEvents
// passes although there are some.
func TestFindsLogCalls(t *testing.T) {
	source := `package x
import ("log"; "log/slog")
func f(l *slog.Logger, err error) string {
	slog.Info("a")
	l.Warn("b")
	log.Println("c")
	return err.Error()
}`
	if found := findLogCalls(t, "x.go", []byte(source)); len(found) != 3 {
		t.Errorf("found %v, want 3 calls", found)
	}
}

// findLogCalls returns the position of each import of log and, in files that import log/slog, of
// each call of a function or method in logCalls.
func findLogCalls(t *testing.T, path string, source []byte) []string {
	set := token.NewFileSet()
	file, err := parser.ParseFile(set, path, source, 0)
	if err != nil {
		t.Fatal(err)
	}
	var found []string
	slogUsed := false
	for _, i := range file.Imports {
		slogUsed = slogUsed || i.Path.Value == `"log/slog"`
		if i.Path.Value == `"log"` {
			found = append(found, set.Position(i.Pos()).String()+": import of log")
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok || !slogUsed || len(call.Args) == 0 {
			return true
		}
		if s, ok := call.Fun.(*ast.SelectorExpr); ok && slices.Contains(logCalls, s.Sel.Name) {
			found = append(found, set.Position(call.Pos()).String()+": "+s.Sel.Name)
		}
		return true
	})
	return found
}

// TestDefinitionsAreUsed guards against events and metrics that are defined, and thus listed on a
// page, but used nowhere.
func TestDefinitionsAreUsed(t *testing.T) {
	for _, name := range []string{"event", "metric"} {
		defined, used := make(map[string]bool), make(map[string]bool)
		walkSources(t, func(path string, source []byte) {
			file, err := parser.ParseFile(token.NewFileSet(), path, source, 0)
			if err != nil {
				t.Fatal(err)
			}
			ast.Inspect(file, func(n ast.Node) bool {
				switch n := n.(type) {
				case *ast.ValueSpec:
					if file.Name.Name == name && len(n.Values) == 1 && isDefine(n.Values[0]) {
						defined[n.Names[0].Name] = true
					}
				case *ast.SelectorExpr:
					if pkg, ok := n.X.(*ast.Ident); ok && pkg.Name == name {
						used[n.Sel.Name] = true
					}
				}
				return true
			})
		})
		if len(defined) == 0 {
			t.Errorf("found no definition in package %s", name)
		}
		for d := range defined {
			if !used[d] {
				t.Errorf("%s.%s is defined but never written", name, d)
			}
		}
	}
}

// isDefine reports whether an expression calls the function define.
func isDefine(e ast.Expr) bool {
	call, ok := e.(*ast.CallExpr)
	if !ok {
		return false
	}
	f, ok := call.Fun.(*ast.Ident)
	return ok && f.Name == "define"
}

// TestHelp guards against commands and flags without a help text.
func TestHelp(t *testing.T) {
	p, err := newParser(&commands{})
	if err != nil {
		t.Fatal(err)
	}
	p.Stdout, p.Stderr = io.Discard, io.Discard
	for _, leaf := range p.Model.Leaves(false) {
		if leaf.Help == "" {
			t.Errorf("command %q has no help", leaf.Path())
		}
		for _, f := range leaf.Flags {
			if f.Help == "" {
				t.Errorf("flag --%s of %q has no help", f.Name, leaf.Path())
			}
		}
	}
}
