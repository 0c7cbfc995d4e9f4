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

// Check merges the files, checks the result including the end dates as of now, and returns the
// configuration and the canonical document. Sections may be split over files; a name that two
// files declare is rejected with both locations.
func Check(files []File, now time.Time) (*model.Config, []byte, error) {
	f := &faults{}
	merged := &node{kind: mapNode, line: 1}
	for _, file := range files {
		root := parseYAML(file.Name, file.Content, f)
		if root == nil {
			continue
		}
		if root.kind != mapNode {
			f.addAt(root, "document", "want fields")
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
	// A canonical document that cannot be parsed again must not reach the fleet.
	if _, err := Parse(content); err != nil {
		return nil, nil, err
	}
	return c, content, nil
}

// mergedMaps lists the sections whose entries may come from several files.
var mergedMaps = map[string]bool{"teams": true, "pools": true, "tiers": true, "defaults": true}

// merge adds the fields of from to into and reports every name that both declare.
func merge(into, from *node, path string, f *faults) {
	for _, e := range from.fields {
		earlier := into.get(e.name)
		name := join(path, e.name)
		switch {
		case earlier == nil:
			value := e.value
			if path == "" {
				value = shallowCopy(value)
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

// shallowCopy copies a node so that changes to its lists do not affect the original.
func shallowCopy(n *node) *node {
	c := *n
	c.fields = append([]entry(nil), n.fields...)
	c.items = append([]*node(nil), n.items...)
	return &c
}

// canonical returns the document with its sections in a fixed order and its names and
// exceptions sorted, so that a configuration has the same bytes regardless of how it is split
// over files. Exceptions never overlap, so their order is irrelevant; routes keep their order.
func canonical(root *node) yaml.MapSlice {
	var out yaml.MapSlice
	for _, name := range sections {
		if n := root.get(name); n != nil {
			if name == "exceptions" && n.kind == listNode {
				n = shallowCopy(n)
				sort.SliceStable(n.items, func(i, j int) bool { return render(n.items[i]) < render(n.items[j]) })
			}
			out = append(out, yaml.MapItem{Key: name, Value: toYAML(n)})
		}
	}
	return out
}

// toYAML converts a node to a value for the YAML encoder, with the fields of maps sorted.
func toYAML(n *node) any {
	switch n.kind {
	case mapNode:
		entries := append([]entry(nil), n.fields...)
		sort.Slice(entries, func(i, j int) bool { return entries[i].name < entries[j].name })
		out := yaml.MapSlice{}
		for _, e := range entries {
			out = append(out, yaml.MapItem{Key: e.name, Value: toYAML(e.value)})
		}
		return out
	case listNode:
		out := []any{}
		for _, i := range n.items {
			out = append(out, toYAML(i))
		}
		return out
	default:
		if v, ok := n.scalar.(float64); ok && v == math.Trunc(v) && math.Abs(v) < maxExact {
			return int64(v)
		}
		return n.scalar
	}
}

// maxExact is the bound below which a float64 represents every whole number exactly.
const maxExact = 1 << 53
