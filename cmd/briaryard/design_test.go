package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// designSection returns the text of the design page between two strings.
func designSection(t *testing.T, from, to string) string {
	t.Helper()
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "design.md"))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, found := strings.Cut(string(page), from)
	text, _, ended := strings.Cut(rest, to)
	if !found || !ended {
		t.Fatalf("the design page has nothing between %q and %q", from, to)
	}
	return text
}

// visitPortSpecs calls visit for each type, constant and variable of internal/port.
func visitPortSpecs(t *testing.T, visit func(ast.Spec)) {
	t.Helper()
	names, err := filepath.Glob(filepath.Join("..", "..", "internal", "port", "*.go"))
	if err != nil || len(names) == 0 {
		t.Fatal(err, names)
	}
	for _, name := range names {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range file.Decls {
			if g, ok := d.(*ast.GenDecl); ok {
				for _, spec := range g.Specs {
					visit(spec)
				}
			}
		}
	}
}

// TestDesignListsInterfaces guards against interfaces of internal/port that the design page omits or
// lists without one of their methods, and against listed interfaces that do not exist.
func TestDesignListsInterfaces(t *testing.T) {
	listed := make(map[string]string)
	for _, m := range regexp.MustCompile("(?m)^- `port\\.(\\w+)`: (.*)$").FindAllStringSubmatch(designSection(t, "Interfaces of `internal/port`", "### 5.1"), -1) {
		listed[m[1]] = m[2]
	}
	visitPortSpecs(t, func(spec ast.Spec) {
		s, ok := spec.(*ast.TypeSpec)
		if !ok {
			return
		}
		i, ok := s.Type.(*ast.InterfaceType)
		if !ok {
			return
		}
		line, found := listed[s.Name.Name]
		delete(listed, s.Name.Name)
		if !found {
			t.Errorf("port.%s is not listed", s.Name.Name)
		}
		var methods []string
		for _, m := range i.Methods.List {
			methods = append(methods, m.Names[0].Name)
		}
		for _, m := range methods {
			if !regexp.MustCompile("`" + m + "[`(]").MatchString(line) {
				t.Errorf("port.%s is listed without its method %s", s.Name.Name, m)
			}
		}
	})
	for name := range listed {
		t.Errorf("port.%s is listed and does not exist", name)
	}
}

// TestDesignListsServices guards against service names that the design page does not list.
func TestDesignListsServices(t *testing.T) {
	text := designSection(t, "Service names:", "Interfaces of `internal/port`")
	names := 0
	visitPortSpecs(t, func(spec ast.Spec) {
		s, ok := spec.(*ast.ValueSpec)
		if !ok || len(s.Values) != 1 || !strings.HasSuffix(s.Names[0].Name, "Name") {
			return
		}
		if l, ok := s.Values[0].(*ast.BasicLit); ok && l.Kind == token.STRING {
			name, _ := strconv.Unquote(l.Value)
			names++
			if !strings.Contains(text, "`"+name+"`") {
				t.Errorf("the service %q is not listed", name)
			}
		}
	})
	if names == 0 {
		t.Fatal("no service names were found")
	}
}

// TestDesignListsDuties guards against duties whose name is not listed on the design page.
func TestDesignListsDuties(t *testing.T) {
	text := designSection(t, "| duty | service |", "## 3.")
	found := 0
	walkSources(t, func(path string, source []byte) {
		if !strings.HasPrefix(path, "internal/service/") {
			return
		}
		for _, m := range regexp.MustCompile(`[hH](?:ost)?\.Go\("([^"]+)"`).FindAllStringSubmatch(string(source), -1) {
			found++
			name := strings.TrimSuffix(m[1], "/")
			if !regexp.MustCompile("[|`] ?" + regexp.QuoteMeta(name) + "[ `/]").MatchString(text) {
				t.Errorf("%s starts the duty %s, which is not listed", path, m[1])
			}
		}
	})
	if found == 0 {
		t.Fatal("no duties were found")
	}
}
