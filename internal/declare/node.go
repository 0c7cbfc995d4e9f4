package declare

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"briaryard/internal/fault"
)

// maxDepth bounds the nesting of a document; the deepest valid one has 4 levels.
const maxDepth = 16

// node is a value of a document with its location. kind selects which of fields, items and
// scalar is used.
type node struct {
	kind   nodeKind
	file   string
	line   int
	fields []entry
	items  []*node
	scalar any
}

type nodeKind uint8

const (
	scalarNode nodeKind = iota
	mapNode
	listNode
)

// entry is a field of a map node with the location of its key.
type entry struct {
	name  string
	file  string
	line  int
	value *node
}

// get returns the value of a field, or nil.
func (n *node) get(name string) *node {
	for _, e := range n.fields {
		if e.name == name {
			return e.value
		}
	}
	return nil
}

// faults collects all errors of a document.
type faults struct{ list []*fault.InvalidConfig }

func (f *faults) add(file string, line int, field, format string, args ...any) {
	f.list = append(f.list, &fault.InvalidConfig{File: file, Line: line, Field: field, Reason: fmt.Sprintf(format, args...)})
}

// addAt adds an error at the location of a node.
func (f *faults) addAt(n *node, field, format string, args ...any) {
	f.add(n.file, n.line, field, format, args...)
}

// err returns all errors as one, sorted by file and line, or nil.
func (f *faults) err() error {
	if len(f.list) == 0 {
		return nil
	}
	slices.SortStableFunc(f.list, func(a, b *fault.InvalidConfig) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
	return &fault.InvalidConfigs{Faults: f.list}
}

// parseYAML parses YAML into a node. Anchors, aliases, tags and merge keys are rejected: each
// value is written where it applies, so that a diff of the files shows every change.
func parseYAML(file string, content []byte, f *faults) *node {
	tree, err := parser.ParseBytes(content, 0)
	if err != nil {
		line := 1
		if syntax, ok := err.(*yaml.SyntaxError); ok && syntax.Token != nil {
			line = syntax.Token.Position.Line
			f.add(file, line, "document", "%s", syntax.Message)
			return nil
		}
		f.add(file, line, "document", "%s", err.Error())
		return nil
	}
	var body ast.Node
	for _, d := range tree.Docs {
		if d.Body == nil || d.Body.Type() == ast.CommentType {
			continue
		}
		if body != nil {
			f.add(file, d.Body.GetToken().Position.Line, "document", "want one document in a file")
			return nil
		}
		body = d.Body
	}
	if body == nil {
		return &node{kind: mapNode, file: file, line: 1}
	}
	return (&converter{file: file, faults: f}).convert(body, "document", 0)
}

// converter converts the syntax tree of a file to nodes.
type converter struct {
	file   string
	faults *faults
}

func (c *converter) convert(n ast.Node, path string, depth int) *node {
	out := &node{file: c.file, line: n.GetToken().Position.Line}
	if depth > maxDepth {
		c.faults.addAt(out, path, "is nested too deeply")
		return out
	}
	switch n := n.(type) {
	case *ast.MappingNode:
		out.kind = mapNode
		for _, v := range n.Values {
			c.field(out, v, path, depth)
		}
	case *ast.MappingValueNode:
		out.kind = mapNode
		c.field(out, n, path, depth)
	case *ast.SequenceNode:
		out.kind = listNode
		for i, v := range n.Values {
			out.items = append(out.items, c.convert(v, fmt.Sprintf("%s[%d]", path, i), depth+1))
		}
	case *ast.StringNode:
		out.scalar = n.Value
	case *ast.LiteralNode:
		out.scalar = n.Value.Value
	case *ast.IntegerNode:
		out.scalar = normalizeNumber(n.Value)
	case *ast.FloatNode:
		out.scalar = n.Value
	case *ast.BoolNode:
		out.scalar = n.Value
	case *ast.NullNode:
		out.scalar = nil
	default:
		c.faults.addAt(out, path, "%s is not allowed here", n.Type())
	}
	return out
}

func (c *converter) field(out *node, v *ast.MappingValueNode, path string, depth int) {
	line := v.Key.GetToken().Position.Line
	key, ok := v.Key.(*ast.StringNode)
	if !ok {
		c.faults.add(c.file, line, path, "want a name as the key, not %q", v.Key.String())
		return
	}
	name := join(path, key.Value)
	if out.get(key.Value) != nil {
		c.faults.add(c.file, line, name, "is given twice")
		return
	}
	out.fields = append(out.fields, entry{name: key.Value, file: c.file, line: line, value: c.convert(v.Value, name, depth+1)})
}

// normalizeNumber converts integers to float64, so that all numbers of a document have one type.
func normalizeNumber(v any) any {
	switch v := v.(type) {
	case uint64:
		return float64(v)
	case int64:
		return float64(v)
	}
	return v
}

// join appends a name to the path of a field; the paths of top-level fields have no prefix.
func join(path, name string) string {
	if path == "" || path == "document" {
		return name
	}
	return path + "." + name
}
