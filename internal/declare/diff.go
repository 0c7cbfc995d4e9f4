package declare

import (
	"fmt"
	"slices"
	"strings"
)

// Difference is a field that two documents give different values. Old or New is empty for
// a field that only one of them has.
type Difference struct {
	Field string `json:"field"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// Diff compares two documents field by field, sorted by field. The entries of a list are
// compared as whole values, because their positions mean nothing to a reader.
func Diff(before, after []byte) ([]Difference, error) {
	f := &faults{}
	a, b := read("", before, f), read("", after, f)
	if err := f.err(); err != nil {
		return nil, err
	}
	var out []Difference
	compare(a, b, "", &out)
	slices.SortStableFunc(out, func(x, y Difference) int { return strings.Compare(x.Field, y.Field) })
	return out, nil
}

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
	case list(a) && list(b) && (a != nil || b != nil):
		compareItems(items(a), items(b), path, out)
	case text(a) != text(b):
		*out = append(*out, Difference{Field: path, Old: text(a), New: text(b)})
	}
}

// compareItems reports the entries that only one list has. If there are none, the lists may
// still differ in order, which matters for routes.
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

// list reports whether a node is a list or absent.
func list(n *node) bool { return n == nil || n.kind == listNode }

func items(n *node) []string {
	var out []string
	if n != nil {
		for _, i := range n.items {
			out = append(out, text(i))
		}
	}
	return out
}

// text renders a node on one line with sorted fields.
func text(n *node) string {
	if n == nil {
		return ""
	}
	switch n.kind {
	case mapNode:
		parts := make([]string, len(n.fields))
		for i, e := range n.fields {
			parts[i] = e.name + ": " + text(e.value)
		}
		slices.Sort(parts)
		return "{" + strings.Join(parts, ", ") + "}"
	case listNode:
		return "[" + strings.Join(items(n), ", ") + "]"
	default:
		return fmt.Sprint(plain(n))
	}
}
