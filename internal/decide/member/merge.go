package member

import (
	"slices"
	"time"

	"briaryard/internal/model"
)

// Merge takes records from another instance.
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

func (m *Machine) mergeInstance(now time.Time, r model.Instance) {
	if r.ID == m.self.ID {
		m.mergeSelf(r)
		return
	}
	i := m.instances[r.ID]
	if i == nil {
		// Until there is a connection of its own, a record is only hearsay.
		i = &instance{record: r, heard: now, judged: model.Suspect}
		m.instances[r.ID] = i
		m.changed = true
		m.log(i, "announced by another instance")
		return
	}
	if instanceVersion(r).compare(instanceVersion(i.record)) <= 0 {
		return
	}
	if r.Incarnation > i.record.Incarnation && i.judged == model.Gone {
		i.judged, i.heard = model.Suspect, now
	}
	i.record = r
	m.changed = true
}

// mergeSelf reacts to what others believe about this instance.
func (m *Machine) mergeSelf(r model.Instance) {
	switch {
	case r.Incarnation > m.self.Incarnation:
		m.superseded = max(m.superseded, r.Incarnation)
	case instanceVersion(r).compare(instanceVersion(m.self)) > 0:
		m.self.Sequence = max(m.self.Sequence, r.Sequence)
		m.touchSelf()
	}
}

func (m *Machine) mergeServer(now time.Time, r model.BackendServer) {
	s := m.servers[r.ID]
	if s == nil {
		if r.State == model.Gone {
			return // nothing to remove, and remembering it again would never end
		}
		s = &server{}
		m.servers[r.ID] = s
	} else if serverVersion(r).compare(serverVersion(s.record)) <= 0 {
		return
	}
	m.setServer(now, s, r, "reported by its home")
}

// setServer replaces a record by a newer one.
func (m *Machine) setServer(now time.Time, s *server, r model.BackendServer, reason string) {
	if r.State != s.record.State || r.Incarnation != s.record.Incarnation {
		m.changes = append(m.changes, Change{Server: r.ID, Incarnation: r.Incarnation, State: r.State, Reason: reason})
	}
	if r.Home != s.record.Home || s.heard.IsZero() {
		s.heard = now
	}
	s.record = r
	s.orphaned, s.lost = time.Time{}, false
	if r.State == model.Gone {
		s.goneAt = now
	}
	m.changed = true
}

// AnnounceResult is the outcome of an announcement.
type AnnounceResult struct {
	// Refused means that the incarnation is gone or not the latest; Known is the latest.
	Refused bool
	Known   model.Incarnation
	// PreviousHome is set when this instance has become the server's home.
	PreviousHome model.InstanceID
	// Changed means that the record changed.
	Changed bool
}

// Announce takes an announcement or heartbeat that a backend server sent to this instance.
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
	s.heard = now
	if s.lost {
		s.orphaned, s.lost = time.Time{}, false
		m.changed = true
	}
	if sameContent(a, old) {
		return result
	}
	result.Changed = true
	m.setServer(now, s, a, "announced")
	m.flood.Servers = append(m.flood.Servers, a)
	return result
}

// sameContent reports whether two records differ at most in their sequence.
func sameContent(a, b model.BackendServer) bool {
	return a.Incarnation == b.Incarnation && a.State == b.State && a.Home == b.Home && a.Address == b.Address &&
		a.Domain == b.Domain && a.Kind == b.Kind && a.Slots == b.Slots && a.Generation == b.Generation &&
		a.ChecksFencing == b.ChecksFencing && a.Order == b.Order && slices.Equal(a.Pools, b.Pools) && slices.Equal(a.Adapters, b.Adapters)
}
