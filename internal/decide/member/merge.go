package member

import (
	"slices"
	"time"

	"briaryard/internal/model"
)

// Merge merges records from another instance.
func (m *Machine) Merge(now time.Time, r Records) {
	for _, i := range r.Instances {
		m.mergeInstance(now, i)
	}
	for _, s := range r.Servers {
		m.mergeServer(now, s)
	}
	if r.Whole && !m.settled {
		m.settled = true
		m.changed = true
	}
}

// mergeInstance adds an unknown instance as suspect or replaces a record by one with a higher
// version.
func (m *Machine) mergeInstance(now time.Time, r model.Instance) {
	if r.ID == m.self.ID {
		m.mergeSelf(r)
		return
	}
	i := m.instances[r.ID]
	if i == nil {
		// An instance without a connection to this one is not confirmed, so it starts as suspect.
		i = &instance{record: r, lastReceived: now, observedState: model.Suspect}
		m.instances[r.ID] = i
		m.changed = true
		m.recordChange(i, "announced by another instance")
		return
	}
	if instanceVersion(r).compare(instanceVersion(i.record)) <= 0 {
		return
	}
	if r.Incarnation > i.record.Incarnation && i.observedState == model.Gone {
		i.observedState, i.lastReceived = model.Suspect, now
	}
	i.record = r
	m.changed = true
}

// mergeSelf handles a record of this instance from another one. It notes a later incarnation, and
// responds to a record with a higher version by broadcasting the own one with a higher sequence.
func (m *Machine) mergeSelf(r model.Instance) {
	switch {
	case r.Incarnation > m.self.Incarnation:
		m.superseded = max(m.superseded, r.Incarnation)
	case instanceVersion(r).compare(instanceVersion(m.self)) > 0:
		m.self.Sequence = max(m.self.Sequence, r.Sequence)
		m.publishSelf()
	}
}

// mergeServer adds a backend server or replaces its record by one with a higher version.
func (m *Machine) mergeServer(now time.Time, r model.BackendServer) {
	s := m.servers[r.ID]
	if s == nil {
		if r.State == model.Gone {
			return // adding a purged record again would retain it indefinitely
		}
		s = &server{}
		m.servers[r.ID] = s
	} else if serverVersion(r).compare(serverVersion(s.record)) <= 0 {
		return
	}
	m.setServer(now, s, r, "reported by its home")
}

// setServer replaces a record by a newer one and records a change of state or incarnation for the
// log.
func (m *Machine) setServer(now time.Time, s *server, r model.BackendServer, reason string) {
	if r.State != s.record.State || r.Incarnation != s.record.Incarnation {
		m.changes = append(m.changes, Change{Server: r.ID, Incarnation: r.Incarnation, State: r.State, Reason: reason})
	}
	if r.Home != s.record.Home || s.lastHeartbeat.IsZero() {
		s.lastHeartbeat = now
	}
	s.record = r
	s.orphanedAt, s.lost = time.Time{}, false
	if r.State == model.Gone {
		s.goneAt = now
	}
	m.changed = true
}

// AnnounceResult is the result of an announcement.
type AnnounceResult struct {
	// Refused means that the incarnation is gone or not the latest; Known is the latest.
	Refused bool
	Known   model.Incarnation
	// PreviousHome is set when this instance has become the server's home.
	PreviousHome model.InstanceID
	// Changed means that the record changed.
	Changed bool
}

// Announce handles an announcement or heartbeat that a backend server sent to this instance,
// which becomes its home. Changed records are broadcast.
func (m *Machine) Announce(now time.Time, a model.BackendServer) AnnounceResult {
	s := m.servers[a.ID]
	if s == nil {
		s = &server{}
		m.servers[a.ID] = s
	}
	old := s.record
	if a.Incarnation < old.Incarnation || a.Incarnation == old.Incarnation && old.State == model.Gone {
		return AnnounceResult{Refused: true, Known: old.Incarnation}
	}
	a.Home = m.self.ID
	a.Sequence = 1
	var result AnnounceResult
	if a.Incarnation == old.Incarnation {
		a.Sequence = old.Sequence + 1
		if finality(old.State) > finality(a.State) {
			a.State = old.State
		}
		if old.Home != a.Home {
			result.PreviousHome = old.Home
		}
	}
	s.lastHeartbeat = now
	if s.lost {
		s.orphanedAt, s.lost = time.Time{}, false
		m.changed = true
	}
	if sameContent(a, old) {
		return result
	}
	result.Changed = true
	m.setServer(now, s, a, "announced")
	m.broadcast.Servers = append(m.broadcast.Servers, a)
	return result
}

// sameContent reports whether two records differ at most in their sequence.
func sameContent(a, b model.BackendServer) bool {
	return a.Incarnation == b.Incarnation && a.State == b.State && a.Home == b.Home && a.Address == b.Address &&
		a.Domain == b.Domain && a.Kind == b.Kind && a.Slots == b.Slots && a.Generation == b.Generation &&
		a.ChecksFencing == b.ChecksFencing && a.Order == b.Order && slices.Equal(a.Pools, b.Pools) && slices.Equal(a.Adapters, b.Adapters)
}
