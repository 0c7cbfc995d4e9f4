package roster

import (
	"cmp"
	"slices"

	"briaryard/internal/model"
)

// Entry is what an instance reports about itself.
type Entry struct {
	Instance model.InstanceID
	// Sequence orders the entries of one incarnation.
	Incarnation model.Incarnation
	Sequence    uint64
	Address     string
	Domain      model.FailureDomain
	// Ready is false while the instance starts or stops, or cannot confirm its configuration.
	Ready bool
}

// Instances holds the entries of all instances on a core instance.
type Instances struct {
	entries map[model.InstanceID]*member
}

// member is the latest entry of an instance and the state of its connection.
type member struct {
	Entry
	connected bool
}

// NewInstances returns an empty list.
func NewInstances() *Instances { return &Instances{entries: make(map[model.InstanceID]*member)} }

func (i *Instances) getOrCreate(id model.InstanceID) *member {
	m := i.entries[id]
	if m == nil {
		m = &member{}
		i.entries[id] = m
	}
	return m
}

// Set applies an entry unless a newer one is known. It reports whether the list changed.
func (i *Instances) Set(e Entry) bool {
	m := i.getOrCreate(e.Instance)
	if e.Incarnation < m.Incarnation || e.Incarnation == m.Incarnation && e.Sequence < m.Sequence {
		return false
	}
	before := m.listed()
	changed := m.Address != e.Address || m.Domain != e.Domain
	m.Entry = e
	return before != m.listed() || m.listed() && changed
}

// listed reports whether the instance can accept requests.
func (m *member) listed() bool { return m.connected && m.Ready && m.Address != "" }

// Connected sets whether an instance is connected. It reports whether the list changed.
func (i *Instances) Connected(id model.InstanceID, ok bool) bool {
	m := i.getOrCreate(id)
	before := m.listed()
	m.connected = ok
	after := m.listed()
	if !ok && !m.Ready {
		delete(i.entries, id)
	}
	return before != after
}

// List returns the instances that accept requests, sorted by id.
func (i *Instances) List() []Entry {
	var out []Entry
	for _, m := range i.entries {
		if m.listed() {
			out = append(out, m.Entry)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}

// Lists holds the lists received from the core instances and the list that is merged from them.
type Lists struct {
	lists  map[model.InstanceID]*coreList
	merged []Entry
}

// coreList is the list of one core instance and the state of the connection to it.
type coreList struct {
	entries   []Entry
	connected bool
}

// NewLists returns a value without lists.
func NewLists() *Lists { return &Lists{lists: make(map[model.InstanceID]*coreList)} }

// Set replaces the list of a core instance, which counts as connected.
func (l *Lists) Set(from model.InstanceID, entries []Entry) {
	l.lists[from] = &coreList{entries: entries, connected: true}
	l.merge()
}

// Connected sets whether a core instance is connected.
func (l *Lists) Connected(from model.InstanceID, ok bool) {
	if c := l.lists[from]; c != nil {
		c.connected = ok
		l.merge()
	}
}

// merge rebuilds the merged list from the lists of the connected core instances, with the newest entry of
// each instance. Without a connected core instance, it keeps the last list.
func (l *Lists) merge() {
	newest := make(map[model.InstanceID]Entry)
	heard := false
	for _, c := range l.lists {
		if !c.connected {
			continue
		}
		heard = true
		for _, e := range c.entries {
			if old, ok := newest[e.Instance]; !ok || e.Incarnation > old.Incarnation || e.Incarnation == old.Incarnation && e.Sequence > old.Sequence {
				newest[e.Instance] = e
			}
		}
	}
	if !heard {
		return
	}
	l.merged = l.merged[:0:0]
	for _, e := range newest {
		l.merged = append(l.merged, e)
	}
	slices.SortFunc(l.merged, func(a, b Entry) int { return cmp.Compare(a.Instance, b.Instance) })
}

// All returns the instances that accept requests, sorted by id.
func (l *Lists) All() []Entry { return l.merged }

// minLocalAddresses is the number of addresses in the caller's failure domain that suffice without
// others: if one fails, another is left.
const minLocalAddresses = 2

// For returns up to limit addresses for a caller in a failure domain: those in the domain, because
// traffic between domains costs more, or those of all domains if the domain has too few.
func (l *Lists) For(domain model.FailureDomain, limit int) []string {
	var local, all []string
	for _, e := range l.merged {
		all = append(all, e.Address)
		if e.Domain == domain {
			local = append(local, e.Address)
		}
	}
	if len(local) < minLocalAddresses {
		local = all
	}
	return local[:min(len(local), limit)]
}

// Clone returns a copy of the merged list for concurrent readers. It has no lists of core instances.
func (l *Lists) Clone() *Lists { return &Lists{merged: slices.Clone(l.merged)} }
