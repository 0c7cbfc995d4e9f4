package roster

import (
	"cmp"
	"slices"

	"briaryard/internal/model"
)

// Entry is an instance that takes requests.
type Entry struct {
	Instance model.InstanceID
	// Sequence orders what one incarnation says.
	Incarnation model.Incarnation
	Sequence    uint64
	Address     string
	Domain      model.FailureDomain
	// Ready is false while the instance starts, stops or cannot confirm its configuration.
	Ready bool
}

// Instances is the list at a core instance.
type Instances struct {
	entries map[model.InstanceID]*member
}

type member struct {
	Entry
	connected bool
}

// NewInstances returns an empty list.
func NewInstances() *Instances { return &Instances{entries: make(map[model.InstanceID]*member)} }

func (i *Instances) get(id model.InstanceID) *member {
	m := i.entries[id]
	if m == nil {
		m = &member{}
		i.entries[id] = m
	}
	return m
}

// Set takes what an instance says of itself. It reports whether the list changed.
func (i *Instances) Set(e Entry) bool {
	m := i.get(e.Instance)
	if e.Incarnation < m.Incarnation || e.Incarnation == m.Incarnation && e.Sequence < m.Sequence {
		return false
	}
	before := m.listed()
	changed := m.Address != e.Address || m.Domain != e.Domain
	m.Entry = e
	return before != m.listed() || m.listed() && changed
}

func (m *member) listed() bool { return m.connected && m.Ready && m.Address != "" }

// Connected states whether an instance can be heard. It reports whether the list changed.
func (i *Instances) Connected(id model.InstanceID, ok bool) bool {
	m := i.get(id)
	before := m.listed()
	m.connected = ok
	after := m.listed()
	if !ok && !m.Ready {
		delete(i.entries, id)
	}
	return before != after
}

// List returns the instances that take requests, by id.
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

// Lists is what an instance knows from the core instances.
type Lists struct {
	lists map[model.InstanceID]*list
	last  []Entry
}

type list struct {
	entries   []Entry
	connected bool
}

// NewLists returns an empty value.
func NewLists() *Lists { return &Lists{lists: make(map[model.InstanceID]*list)} }

// Set takes the list of a core instance.
func (l *Lists) Set(from model.InstanceID, entries []Entry) {
	l.lists[from] = &list{entries: entries, connected: true}
	l.merge()
}

// Connected states whether a core instance can be heard.
func (l *Lists) Connected(from model.InstanceID, ok bool) {
	if c := l.lists[from]; c != nil {
		c.connected = ok
		l.merge()
	}
}

// merge lists an instance if a core instance that can be heard lists it and none knows better: the
// newest record of each instance decides.
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
	l.last = l.last[:0:0]
	for _, e := range newest {
		l.last = append(l.last, e)
	}
	slices.SortFunc(l.last, func(a, b Entry) int { return cmp.Compare(a.Instance, b.Instance) })
}

// All returns the instances that take requests.
func (l *Lists) All() []Entry { return l.last }

// minNear is the number of addresses in the caller's failure domain with which no others are
// named: one of them can fail and another is left.
const minNear = 2

// For returns the addresses for a caller in a failure domain: those in the domain, as bytes between
// domains cost more, or all where the domain has too few.
func (l *Lists) For(domain model.FailureDomain, most int) []string {
	var near, all []string
	for _, e := range l.last {
		all = append(all, e.Address)
		if e.Domain == domain {
			near = append(near, e.Address)
		}
	}
	if len(near) < minNear {
		near = all
	}
	return near[:min(len(near), most)]
}

// Clone returns a value with the same instances for another duty to read.
func (l *Lists) Clone() *Lists { return &Lists{last: slices.Clone(l.last)} }
