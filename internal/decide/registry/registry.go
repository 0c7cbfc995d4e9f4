package registry

import (
	"slices"
	"time"

	"briaryard/internal/model"
)

const (
	// suspectAfter is the time after its last announcement at which a server becomes suspect. Servers
	// announce themselves about every 1.2 s, and an announcement may be seconds late.
	suspectAfter = 4500 * time.Millisecond
	// removeSilentAfter is how long a silent server stays listed, and goneRetention how long a server
	// that is gone is remembered, so that its late announcements are recognised.
	removeSilentAfter = 20 * time.Second
	goneRetention     = time.Minute
	// staleRetention is how long an instance that cannot tell whether a server is silent keeps the record
	// of one that is suspect, leaving or gone. The instances that can tell drop it without a message.
	staleRetention = 10 * time.Minute
	// maxTickGap is the time between two ticks above which this instance counts as having been paused:
	// it has then missed announcements.
	maxTickGap = time.Second
	// maxUnreachableGrace is how long silence is ignored while another instance that receives
	// announcements is unreachable. Network partitions between instances last some seconds; the sum with
	// suspectAfter is below removeSilentAfter, so that dead servers still become suspect when an instance
	// is lost for good.
	maxUnreachableGrace = 10 * time.Second
)

// entry is a record with the time of the server's last announcement.
type entry struct {
	record    model.BackendServer
	lastHeard time.Time
	// stateSince is when the record took its state.
	stateSince time.Time
}

// Registry holds the records of the backend servers as known to one instance.
type Registry struct {
	entries map[model.BackendServerID]*entry
	// order holds the ids of entries, sorted.
	order []model.BackendServerID
	// addressOwners maps an address to the server that uses it.
	addressOwners map[string]model.BackendServerID
	// detectsSilence is set on instances that receive announcements and can tell that one is missing.
	detectsSilence bool
	lastTick       time.Time
	// graceUntil is when silence counts again after a pause of this instance, or after another one was
	// unreachable.
	graceUntil time.Time
	// unreachableSince is when another instance that receives announcements became unreachable, or zero.
	unreachableSince time.Time
}

// New returns an empty registry. With detectsSilence, it marks silent servers as suspect and removes them
// later.
func New(detectsSilence bool) *Registry {
	return &Registry{
		entries: make(map[model.BackendServerID]*entry), addressOwners: make(map[string]model.BackendServerID), detectsSilence: detectsSilence,
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

// All returns all records sorted by id, including those of servers that are gone.
func (r *Registry) All() []model.BackendServer {
	out := make([]model.BackendServer, 0, len(r.order))
	for _, id := range r.order {
		out = append(out, r.entries[id].record)
	}
	return out
}

// add adds an empty entry for a new server.
func (r *Registry) add(now time.Time, id model.BackendServerID) *entry {
	e := &entry{lastHeard: now}
	r.entries[id] = e
	at, _ := slices.BinarySearch(r.order, id)
	r.order = slices.Insert(r.order, at, id)
	return e
}

// remove removes the entry of a server.
func (r *Registry) remove(id model.BackendServerID, e *entry) {
	if r.addressOwners[e.record.Address] == id {
		delete(r.addressOwners, e.record.Address)
	}
	delete(r.entries, id)
	if at, found := slices.BinarySearch(r.order, id); found {
		r.order = slices.Delete(r.order, at, at+1)
	}
}

// Announce applies a server's own announcement. If changed is set, the caller must pass the returned
// record on to the other instances.
func (r *Registry) Announce(now time.Time, s model.BackendServer) (record model.BackendServer, changed bool) {
	record, changed = r.Receive(now, s)
	if e := r.entries[s.ID]; e != nil && s.Incarnation == e.record.Incarnation {
		e.lastHeard = now
	}
	return record, changed
}

// Receive applies a record of another instance. changed is set if more than the sequence has changed.
func (r *Registry) Receive(now time.Time, s model.BackendServer) (record model.BackendServer, changed bool) {
	before, known := r.Get(s.ID)
	changed = r.Merge(now, s)
	record, _ = r.Get(s.ID)
	return record, changed && (!known || !equalIgnoringSequence(before, record))
}

// equalIgnoringSequence reports whether two records differ at most in their sequence.
func equalIgnoringSequence(a, b model.BackendServer) bool {
	return a.Incarnation == b.Incarnation && a.State == b.State && a.Address == b.Address && a.Domain == b.Domain &&
		a.Slots == b.Slots && a.Version == b.Version && slices.Equal(a.Pools, b.Pools) && slices.Equal(a.Models, b.Models)
}

// Merge applies a record from the server or from another instance. It reports whether the record was
// new or replaced an older one.
func (r *Registry) Merge(now time.Time, s model.BackendServer) bool {
	e := r.entries[s.ID]
	if e != nil && !newer(&s, &e.record) {
		if s.State != model.Leaving || e.record.State >= model.Leaving || e.record.Incarnation != s.Incarnation {
			return false
		}
		// Leaving is final, so it counts even if it arrives late.
		e.record.State, e.stateSince = model.Leaving, now
		return true
	}
	if s.State != model.Gone && !r.claimAddress(now, &s) {
		return false
	}
	known := e != nil
	if !known {
		e = r.add(now, s.ID)
	}
	if !known || e.record.State != s.State || e.record.Incarnation != s.Incarnation {
		e.stateSince = now
	}
	if known && e.record.Incarnation == s.Incarnation {
		if e.record.State == model.Leaving || e.record.State == model.Gone {
			s.State = max(s.State, e.record.State)
		}
		if s.State == model.Gone {
			// A record of a server that is gone carries no other fields: they are kept from the known one.
			s = withState(e.record, model.Gone, s.Sequence)
		}
	} else {
		e.lastHeard = now
	}
	if old := e.record.Address; old != s.Address && r.addressOwners[old] == s.ID {
		delete(r.addressOwners, old)
	}
	e.record = s
	if s.State == model.Gone {
		if r.addressOwners[s.Address] == s.ID {
			delete(r.addressOwners, s.Address)
		}
		e.lastHeard = now
	}
	return true
}

// withState returns the record with a state and with the higher of the two sequences.
func withState(s model.BackendServer, state model.MemberState, sequence uint64) model.BackendServer {
	s.State, s.Sequence = state, max(s.Sequence, sequence)
	return s
}

// newer reports whether record a replaces record b.
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

// claimAddress makes the server the owner of its address and marks an earlier owner as gone. It reports
// false for a delayed announcement of an earlier owner that arrives after the next one has registered.
func (r *Registry) claimAddress(now time.Time, s *model.BackendServer) bool {
	other := r.entries[r.addressOwners[s.Address]]
	if other != nil && other.record.ID != s.ID {
		if other.record.Incarnation > s.Incarnation {
			return false
		}
		other.record.State, other.stateSince = model.Gone, now
	}
	r.addressOwners[s.Address] = s.ID
	return true
}

// MarkGone records that a server is gone. Incarnation 0 stands for the known one. It reports false
// for an unknown server without an incarnation.
func (r *Registry) MarkGone(now time.Time, id model.BackendServerID, incarnation model.Incarnation) (model.BackendServer, bool) {
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

// MarkLeaving records that an incarnation of a server has said in an answer that it leaves. It returns the
// record and reports whether it has changed.
func (r *Registry) MarkLeaving(now time.Time, id model.BackendServerID, incarnation model.Incarnation) (model.BackendServer, bool) {
	e := r.entries[id]
	if e == nil || e.record.Incarnation != incarnation || e.record.State >= model.Leaving {
		return model.BackendServer{}, false
	}
	e.record.State, e.stateSince = model.Leaving, now
	return e.record, true
}

// Departed returns the records of servers that leave or have gone not long ago.
func (r *Registry) Departed(now time.Time) []model.BackendServer {
	return slices.DeleteFunc(r.All(), func(s model.BackendServer) bool {
		age := now.Sub(r.entries[s.ID].stateSince)
		return s.State != model.Leaving && (s.State != model.Gone || age >= goneRetention)
	})
}

// Heard records that another instance has received an announcement of a server. It ignores a sequence that
// is old or not plausible. It returns the record and sets revived if the server was suspect and is alive
// again.
func (r *Registry) Heard(now time.Time, id model.BackendServerID, incarnation model.Incarnation, sequence uint64) (record model.BackendServer, revived bool) {
	e := r.entries[id]
	if e == nil || e.record.Incarnation != incarnation || e.record.State == model.Gone || sequence < e.record.Sequence ||
		sequence > min(e.record.Sequence+maxSequenceStep, maxSequence) {
		return model.BackendServer{}, false
	}
	e.lastHeard, e.record.Sequence = now, sequence
	if e.record.State == model.Suspect {
		e.record.State = model.Alive
		return e.record, true
	}
	return model.BackendServer{}, false
}

// Forget drops the records of servers that have not been alive for staleRetention. Instances that detect
// silence drop theirs in Tick.
func (r *Registry) Forget(now time.Time) {
	for id, e := range r.entries {
		if r.detectsSilence || e.record.State == model.Alive || now.Sub(e.stateSince) < staleRetention {
			continue
		}
		r.remove(id, e)
	}
}

// SetPeersReachable sets whether all instances that receive announcements are reachable. A server
// that is silent here may announce itself to an unreachable one.
func (r *Registry) SetPeersReachable(now time.Time, complete bool) {
	switch {
	case complete:
		r.unreachableSince = time.Time{}
	case r.unreachableSince.IsZero():
		r.unreachableSince = now
	}
}

// Tick marks silent servers as suspect and removes old records. It returns the records whose state
// changed.
func (r *Registry) Tick(now time.Time) []model.BackendServer {
	if r.lastTick.IsZero() || now.Sub(r.lastTick) > maxTickGap || !r.unreachableSince.IsZero() && now.Sub(r.unreachableSince) < maxUnreachableGrace {
		r.graceUntil = now.Add(suspectAfter)
	}
	r.lastTick = now
	var changed []model.BackendServer
	silent, alive := 0, 0
	for id, e := range r.entries {
		age := now.Sub(e.lastHeard)
		switch {
		case e.record.State == model.Gone && age >= goneRetention, r.detectsSilence && e.record.State != model.Gone && age >= removeSilentAfter:
			r.remove(id, e)
		case e.record.State == model.Alive && age >= suspectAfter:
			silent++
		case e.record.State == model.Alive:
			alive++
		}
	}
	// If most servers are silent together, the network of this instance is the likelier cause.
	if !r.detectsSilence || silent == 0 || silent > alive || now.Before(r.graceUntil) {
		return nil
	}
	for _, e := range r.entries {
		if e.record.State == model.Alive && now.Sub(e.lastHeard) >= suspectAfter {
			e.record.State = model.Suspect
			changed = append(changed, e.record)
		}
	}
	return changed
}
