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

// Changes is the list of instances at Version: the whole list if Base is 0, else its difference to the
// version Base.
type Changes struct {
	Version, Base uint64
	// Entries are the listed entries that changed after Base, Removed the instances that left the list.
	Entries []Entry
	Removed []model.InstanceID
}

// maxRemovals bounds the removed instances that are remembered for differences.
const maxRemovals = 1024

// Instances holds the entries of all instances on a core instance, and the versions of the list.
type Instances struct {
	entries map[model.InstanceID]*member
	// version counts the changes of the list.
	version uint64
	// removals holds the version at which each removed instance left the list. Differences to versions
	// below oldestBase are not possible any more.
	removals   map[model.InstanceID]uint64
	oldestBase uint64
}

// member is the latest entry of an instance, the state of its connection, and the version at which its
// place in the list last changed.
type member struct {
	Entry
	connected bool
	changedAt uint64
}

// NewInstances returns an empty list.
func NewInstances() *Instances {
	return &Instances{entries: make(map[model.InstanceID]*member), removals: make(map[model.InstanceID]uint64)}
}

func (i *Instances) getOrCreate(id model.InstanceID) *member {
	m := i.entries[id]
	if m == nil {
		m = &member{}
		i.entries[id] = m
	}
	return m
}

// Version returns the version of the list; 0 is the empty list at the start.
func (i *Instances) Version() uint64 { return i.version }

// Set applies an entry unless a newer one is known. It reports whether the list changed.
func (i *Instances) Set(e Entry) bool {
	m := i.getOrCreate(e.Instance)
	if e.Incarnation < m.Incarnation || e.Incarnation == m.Incarnation && e.Sequence < m.Sequence {
		return false
	}
	before := m.listed()
	changed := m.Address != e.Address || m.Domain != e.Domain
	m.Entry = e
	if before == m.listed() && (!before || !changed) {
		return false
	}
	i.recordChange(e.Instance, m)
	return true
}

// listed reports whether the instance can accept requests.
func (m *member) listed() bool { return m.connected && m.Ready && m.Address != "" }

// SetConnected sets whether an instance is connected. It reports whether the list changed.
func (i *Instances) SetConnected(id model.InstanceID, ok bool) bool {
	m := i.getOrCreate(id)
	before := m.listed()
	m.connected = ok
	changed := before != m.listed()
	if changed {
		i.recordChange(id, m)
	}
	if !ok && !m.Ready {
		delete(i.entries, id)
	}
	return changed
}

// recordChange begins a new version after a change of an instance's place in the list.
func (i *Instances) recordChange(id model.InstanceID, m *member) {
	i.version++
	m.changedAt = i.version
	if m.listed() {
		delete(i.removals, id)
		return
	}
	i.removals[id] = i.version
	if len(i.removals) > maxRemovals {
		clear(i.removals)
		i.oldestBase = i.version
	}
}

// List returns the instances that accept requests, sorted by id.
func (i *Instances) List() []Entry { return i.ChangesSince(0).Entries }

// ChangesSince returns the difference between the list and its version base, or the whole list if base is
// 0 or too old.
func (i *Instances) ChangesSince(base uint64) Changes {
	if base < i.oldestBase {
		base = 0
	}
	c := Changes{Version: i.version, Base: base}
	for _, m := range i.entries {
		if m.listed() && m.changedAt > base {
			c.Entries = append(c.Entries, m.Entry)
		}
	}
	slices.SortFunc(c.Entries, func(a, b Entry) int { return cmp.Compare(a.Instance, b.Instance) })
	if base == 0 {
		return c
	}
	for id, at := range i.removals {
		if at > base {
			c.Removed = append(c.Removed, id)
		}
	}
	slices.Sort(c.Removed)
	return c
}

// Lists holds the lists received from the core instances and the list that is merged from them.
type Lists struct {
	lists  map[model.InstanceID]*coreList
	merged []Entry
}

// coreList is the list of one core instance at a version, and the state of the connection to it.
type coreList struct {
	entries   map[model.InstanceID]Entry
	version   uint64
	connected bool
}

// NewLists returns a value without lists.
func NewLists() *Lists { return &Lists{lists: make(map[model.InstanceID]*coreList)} }

// Apply applies the changes of a core instance's list, which then counts as connected. It reports false
// for a difference to a version that is not the known one; the whole list is then needed.
func (l *Lists) Apply(from model.InstanceID, c Changes) bool {
	known := l.lists[from]
	switch {
	case c.Base == 0:
		known = &coreList{entries: make(map[model.InstanceID]Entry, len(c.Entries))}
		l.lists[from] = known
	case known == nil || known.version != c.Base:
		return false
	}
	known.connected, known.version = true, c.Version
	for _, e := range c.Entries {
		known.entries[e.Instance] = e
	}
	for _, id := range c.Removed {
		delete(known.entries, id)
	}
	l.merge()
	return true
}

// SetConnected sets whether a core instance is connected.
func (l *Lists) SetConnected(from model.InstanceID, ok bool) {
	if c := l.lists[from]; c != nil && c.connected != ok {
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
	l.merged = make([]Entry, 0, len(newest))
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

// AddressesFor returns up to limit addresses for a caller in a failure domain: those in the domain,
// because traffic between domains costs more, or those of all domains if the domain has too few.
func (l *Lists) AddressesFor(domain model.FailureDomain, limit int) []string {
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

// Clone returns the merged list for concurrent readers; later changes do not modify it. It has no lists of
// core instances.
func (l *Lists) Clone() *Lists { return &Lists{merged: l.merged} }
