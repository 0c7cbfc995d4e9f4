package registry

import (
	"cmp"
	"slices"
	"time"

	"briaryard/internal/model"
)

const (
	// silentAfter is how long after its last announcement a server counts as suspect. Servers
	// announce themselves about every 1.2 s, and an announcement may be seconds late.
	silentAfter = 4500 * time.Millisecond
	// forgetAfter is how long a silent server is listed, and goneFor how long a server that is gone
	// is remembered, so that a late announcement of it is recognised.
	forgetAfter = 20 * time.Second
	goneFor     = time.Minute
	// pauseLimit is the time between two ticks after which this instance was itself stopped: it has
	// then missed announcements.
	pauseLimit = time.Second
	// partialLimit is how long silence does not count while another instance that hears servers cannot
	// be reached. Cuts between instances last some seconds; with silentAfter it stays below forgetAfter, so
	// that dead servers are still shown as suspect when an instance is lost for good.
	partialLimit = 10 * time.Second
)

type entry struct {
	record model.BackendServer
	heard  time.Time
}

// Registry holds the records of one instance.
type Registry struct {
	entries map[model.BackendServerID]*entry
	// holders maps an address to the server that has it.
	holders map[string]model.BackendServerID
	// watches is set where announcements arrive, so that silence means something.
	watches bool
	ticked  time.Time
	// spared is when silence begins to count again after a pause of this instance, or after another
	// one could not be reached.
	spared time.Time
	// partial is when another instance that hears servers was first not to be reached, or zero.
	partial time.Time
}

// New returns an empty registry. One that watches tells silent servers from others.
func New(watches bool) *Registry {
	return &Registry{
		entries: make(map[model.BackendServerID]*entry), holders: make(map[string]model.BackendServerID), watches: watches,
	}
}

// Get returns the record of a server.
func (r *Registry) Get(id model.BackendServerID) (model.BackendServer, bool) {
	e := r.entries[id]
	if e == nil {
		return model.BackendServer{}, false
	}
	return e.record, true
}

// All returns all records by id, with those of servers that are gone.
func (r *Registry) All() []model.BackendServer {
	out := make([]model.BackendServer, 0, len(r.entries))
	for _, e := range r.entries {
		out = append(out, e.record)
	}
	slices.SortFunc(out, func(a, b model.BackendServer) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Announce takes a server's own announcement. The record that it returns is to be passed on if
// changed is set.
func (r *Registry) Announce(now time.Time, s model.BackendServer) (record model.BackendServer, changed bool) {
	before, known := r.Get(s.ID)
	changed = r.Merge(now, s)
	record, _ = r.Get(s.ID)
	if e := r.entries[s.ID]; e != nil && s.Incarnation == e.record.Incarnation {
		e.heard = now
	}
	return record, changed && (!known || !same(before, record))
}

// same reports whether two records differ at most in their sequence.
func same(a, b model.BackendServer) bool {
	return a.Incarnation == b.Incarnation && a.State == b.State && a.Address == b.Address && a.Domain == b.Domain &&
		a.Slots == b.Slots && slices.Equal(a.Pools, b.Pools) && slices.Equal(a.Models, b.Models)
}

// Merge takes a record, from the server or from another instance. It reports whether the record
// replaced an older one.
func (r *Registry) Merge(now time.Time, s model.BackendServer) bool {
	e := r.entries[s.ID]
	if e != nil && !newer(&s, &e.record) {
		return false
	}
	if s.State != model.Gone && !r.takeAddress(&s) {
		return false
	}
	if e == nil {
		e = &entry{heard: now}
		r.entries[s.ID] = e
	}
	if e.record.Incarnation == s.Incarnation {
		if e.record.State == model.Leaving || e.record.State == model.Gone {
			s.State = max(s.State, e.record.State)
		}
		if s.State == model.Gone {
			// A server that leaves does not repeat what it is.
			s = withState(e.record, model.Gone, s.Sequence)
		}
	} else {
		e.heard = now
	}
	if old := e.record.Address; old != s.Address && r.holders[old] == s.ID {
		delete(r.holders, old)
	}
	e.record = s
	if s.State == model.Gone {
		if r.holders[s.Address] == s.ID {
			delete(r.holders, s.Address)
		}
		e.heard = now
	}
	return true
}

func withState(s model.BackendServer, state model.MemberState, sequence uint64) model.BackendServer {
	s.State, s.Sequence = state, max(s.Sequence, sequence)
	return s
}

// newer reports whether a replaces b.
func newer(a, b *model.BackendServer) bool {
	switch {
	case a.Incarnation != b.Incarnation:
		return a.Incarnation > b.Incarnation
	case b.State == model.Gone:
		return false
	case a.State == model.Gone:
		return true
	case a.Sequence != b.Sequence:
		return a.Sequence > b.Sequence
	}
	return a.State == model.Suspect && b.State == model.Alive
}

// takeAddress makes the server the holder of its address. An announcement of an earlier holder
// that was held up arrives after the next one has registered, and is refused.
func (r *Registry) takeAddress(s *model.BackendServer) bool {
	other := r.entries[r.holders[s.Address]]
	if other != nil && other.record.ID != s.ID {
		if other.record.Incarnation > s.Incarnation {
			return false
		}
		other.record.State = model.Gone
	}
	r.holders[s.Address] = s.ID
	return true
}

// Leave records that a server is gone. Without an incarnation it speaks of the one that is known.
// It reports false if nothing is known of the server.
func (r *Registry) Leave(now time.Time, id model.BackendServerID, incarnation model.Incarnation) (model.BackendServer, bool) {
	e := r.entries[id]
	if e == nil && incarnation == 0 {
		return model.BackendServer{}, false
	}
	if incarnation == 0 {
		incarnation = e.record.Incarnation
	}
	r.Merge(now, model.BackendServer{ID: id, Incarnation: incarnation, State: model.Gone})
	return r.entries[id].record, true
}

// Heard notes that another instance has had an announcement of a server.
func (r *Registry) Heard(now time.Time, id model.BackendServerID, incarnation model.Incarnation, sequence uint64) (record model.BackendServer, revived bool) {
	e := r.entries[id]
	if e == nil || e.record.Incarnation != incarnation || e.record.State == model.Gone || sequence < e.record.Sequence {
		return model.BackendServer{}, false
	}
	e.heard, e.record.Sequence = now, sequence
	if e.record.State == model.Suspect {
		e.record.State = model.Alive
		return e.record, true
	}
	return model.BackendServer{}, false
}

// SetComplete states whether all instances that hear servers can be reached. A server that is silent
// here may announce itself to one that cannot.
func (r *Registry) SetComplete(now time.Time, complete bool) {
	switch {
	case complete:
		r.partial = time.Time{}
	case r.partial.IsZero():
		r.partial = now
	}
}

// Tick finds silent servers. It returns the records whose state changed.
func (r *Registry) Tick(now time.Time) []model.BackendServer {
	if r.ticked.IsZero() || now.Sub(r.ticked) > pauseLimit || !r.partial.IsZero() && now.Sub(r.partial) < partialLimit {
		r.spared = now.Add(silentAfter)
	}
	r.ticked = now
	var changed []model.BackendServer
	silent, alive := 0, 0
	for id, e := range r.entries {
		age := now.Sub(e.heard)
		switch {
		case e.record.State == model.Gone && age >= goneFor, r.watches && e.record.State != model.Gone && age >= forgetAfter:
			if r.holders[e.record.Address] == id {
				delete(r.holders, e.record.Address)
			}
			delete(r.entries, id)
		case e.record.State == model.Alive && age >= silentAfter:
			silent++
		case e.record.State == model.Alive:
			alive++
		}
	}
	// When most servers fall silent together, the path to this instance is the likelier cause.
	if !r.watches || silent == 0 || silent > alive || now.Before(r.spared) {
		return nil
	}
	for _, e := range r.entries {
		if e.record.State == model.Alive && now.Sub(e.heard) >= silentAfter {
			e.record.State = model.Suspect
			changed = append(changed, e.record)
		}
	}
	return changed
}
