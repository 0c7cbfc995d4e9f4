package declare

import (
	"fmt"
	"slices"
	"strings"
)

// Difference is a field whose values differ between two documents. Old or New is empty if
// only the other document has the field.
type Difference struct {
	Field string `json:"field"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// Diff compares two documents and returns the differences sorted by field. List items are
// matched by value, because a position in a list does not identify an item to a reader.
func Diff(before, after []byte) ([]Difference, error) {
	f := &faults{}
	a, b := parseYAML("", before, f), parseYAML("", after, f)
	if err := f.err(); err != nil {
		return nil, err
	}
	var out []Difference
	compare(a, b, "", &out)
	slices.SortStableFunc(out, func(x, y Difference) int { return strings.Compare(x.Field, y.Field) })
	return out, nil
}

// compare appends the differences between two nodes; nil stands for an absent node.
func compare(a, b *node, path string, out *[]Difference) {
	switch {
	case a != nil && b != nil && a.kind == mapNode && b.kind == mapNode:
		for _, e := range a.fields {
			compare(e.value, b.get(e.name), join(path, e.name), out)
		}
		for _, e := range b.fields {
			if a.get(e.name) == nil {
				compare(nil, e.value, join(path, e.name), out)
			}
		}
	case isListOrNil(a) && isListOrNil(b) && (a != nil || b != nil):
		compareItems(renderItems(a), renderItems(b), path, out)
	case render(a) != render(b):
		*out = append(*out, Difference{Field: path, Old: render(a), New: render(b)})
	}
}

// compareItems appends the items that only one of the lists contains. If there are none, it
// appends a difference in order, which matters for routes.
func compareItems(a, b []string, path string, out *[]Difference) {
	rest := slices.Clone(b)
	found := false
	for _, item := range a {
		if i := slices.Index(rest, item); i >= 0 {
			rest = slices.Delete(rest, i, i+1)
			continue
		}
		found = true
		*out = append(*out, Difference{Field: path, Old: item})
	}
	for _, item := range rest {
		found = true
		*out = append(*out, Difference{Field: path, New: item})
	}
	if !found && !slices.Equal(a, b) {
		*out = append(*out, Difference{Field: path + " (order)", Old: strings.Join(a, ", "), New: strings.Join(b, ", ")})
	}
}

// isListOrNil reports whether a node is a list or absent.
func isListOrNil(n *node) bool { return n == nil || n.kind == listNode }

// renderItems renders each item of a list. It returns nil for an absent node.
func renderItems(n *node) []string {
	var out []string
	if n != nil {
		for _, i := range n.items {
			out = append(out, render(i))
		}
	}
	return out
}

// render renders a node on one line with sorted fields.
func render(n *node) string {
	if n == nil {
		return ""
	}
	switch n.kind {
	case mapNode:
		parts := make([]string, len(n.fields))
		for i, e := range n.fields {
			parts[i] = e.name + ": " + render(e.value)
		}
		slices.Sort(parts)
		return "{" + strings.Join(parts, ", ") + "}"
	case listNode:
		return "[" + strings.Join(renderItems(n), ", ") + "]"
	default:
		return fmt.Sprint(toYAML(n))
	}
}
