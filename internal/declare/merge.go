package declare

import (
	"math"
	"sort"
	"time"

	"github.com/goccy/go-yaml"

	"briaryard/internal/model"
)

// File is one file of the configuration.
type File struct {
	Name    string
	Content []byte
}

// Check merges the files, checks the result as of a time, and returns the configuration and
// the canonical document. Sections may be spread over files; a name declared in two files is
// refused with both places.
func Check(files []File, now time.Time) (*model.Config, []byte, error) {
	f := &faults{}
	merged := &node{kind: mapNode, line: 1}
	for _, file := range files {
		root := read(file.Name, file.Content, f)
		if root == nil {
			continue
		}
		if root.kind != mapNode {
			f.at(root, "document", "want fields")
			continue
		}
		if merged.file == "" {
			merged.file = file.Name
		}
		merge(merged, root, "", f)
	}
	c, err := build(merged, Place{}, f)
	if err != nil {
		return nil, nil, err
	}
	if err := Ended(c, now); err != nil {
		return nil, nil, err
	}
	content, err := yaml.Marshal(canonical(merged))
	if err != nil {
		f.add("", 0, "document", "%s", err.Error())
		return nil, nil, f.err()
	}
	// A canonical document that reads differently must not reach the fleet.
	if _, err := Parse(content); err != nil {
		return nil, nil, err
	}
	return c, content, nil
}

// mergedMaps are the sections whose entries may come from several files.
var mergedMaps = map[string]bool{"teams": true, "pools": true, "tiers": true, "defaults": true}

func merge(into, from *node, path string, f *faults) {
	for _, e := range from.fields {
		earlier := into.get(e.name)
		name := join(path, e.name)
		switch {
		case earlier == nil:
			value := e.value
			if path == "" {
				value = shallow(value)
			}
			into.fields = append(into.fields, entry{name: e.name, file: e.file, line: e.line, value: value})
		case path == "" && mergedMaps[e.name] && earlier.kind == mapNode && e.value.kind == mapNode:
			merge(earlier, e.value, name, f)
		case path == "" && e.name == "exceptions" && earlier.kind == listNode && e.value.kind == listNode:
			earlier.items = append(earlier.items, e.value.items...)
		default:
			f.add(from.file, e.line, name, "is also given at %s", location(earlier.file, earlier.line))
		}
	}
}

// shallow copies a node so that a merge does not change the file it came from.
func shallow(n *node) *node {
	c := *n
	c.fields = append([]entry(nil), n.fields...)
	c.items = append([]*node(nil), n.items...)
	return &c
}

// canonical returns the document with sections in fixed order and names and exceptions
// sorted, so that the same configuration gives the same bytes however it is spread over
// files. Exceptions never overlap, so their order means nothing; that of routes does.
func canonical(root *node) yaml.MapSlice {
	var out yaml.MapSlice
	for _, name := range sections {
		if n := root.get(name); n != nil {
			if name == "exceptions" && n.kind == listNode {
				n = shallow(n)
				sort.SliceStable(n.items, func(i, j int) bool { return text(n.items[i]) < text(n.items[j]) })
			}
			out = append(out, yaml.MapItem{Key: name, Value: plain(n)})
		}
	}
	return out
}

func plain(n *node) any {
	switch n.kind {
	case mapNode:
		entries := append([]entry(nil), n.fields...)
		sort.Slice(entries, func(i, j int) bool { return entries[i].name < entries[j].name })
		out := yaml.MapSlice{}
		for _, e := range entries {
			out = append(out, yaml.MapItem{Key: e.name, Value: plain(e.value)})
		}
		return out
	case listNode:
		out := []any{}
		for _, i := range n.items {
			out = append(out, plain(i))
		}
		return out
	default:
		if v, ok := n.scalar.(float64); ok && v == math.Trunc(v) && math.Abs(v) < maxExact {
			return int64(v)
		}
		return n.scalar
	}
}

// maxExact is the largest whole number that a float64 holds exactly.
const maxExact = 1 << 53
