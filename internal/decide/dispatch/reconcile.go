package dispatch

import (
	"slices"
	"time"

	"briaryard/internal/model"
)

// Reconcile takes an instance's requests as Resync does, and also removes those that the
// instance no longer has, because a message about their end was lost. Seen is the sequence
// of the last grant that the instance had received: later ones are still on their way.
// Messages of one instance arrive in order, so every registration before the state is in it.
func (p *Pool) Reconcile(now time.Time, from model.InstanceID, seen uint64, waits []model.Descriptor, outstanding []Outstanding) {
	listed := make(map[model.RequestID]phase, len(waits)+len(outstanding))
	for i := range waits {
		listed[waits[i].ID] = waiting
	}
	for i := range outstanding {
		listed[outstanding[i].Grant.Request] = granted
	}
	// Waiting ones go first: the end of an outstanding one concludes those with its key, of
	// which the instance would be told though it no longer has them.
	var missing, ended []*request
	for r := p.instances[from]; r != nil; r = r.next {
		is, ok := listed[r.desc.ID]
		switch {
		case r.phase != granted && !ok:
			missing = append(missing, r)
		case r.phase == granted && r.run.sequence <= seen && is != granted:
			ended = append(ended, r)
		}
	}
	followers := p.followersAmong(waits)
	for _, r := range append(missing, ended...) {
		// Concluding one request may have ended others with its key.
		if p.requests[r.desc.ID] == r {
			_, again := listed[r.desc.ID]
			p.retire(r, again)
		}
	}
	// A follower whose leader has ended was told so; it is not taken back from a state that was
	// sent before. The instance looks its key up and registers it again if it has to wait.
	waits = slices.DeleteFunc(slices.Clone(waits), func(d model.Descriptor) bool {
		return followers[d.ID] && p.requests[d.ID] == nil
	})
	p.Resync(now, from, waits, outstanding)
}

// followersAmong returns the requests that wait for the end of another one with their key.
func (p *Pool) followersAmong(waits []model.Descriptor) map[model.RequestID]bool {
	followers := make(map[model.RequestID]bool)
	for i := range waits {
		if r := p.requests[waits[i].ID]; r != nil && r.phase == following {
			followers[r.desc.ID] = true
		}
	}
	return followers
}

// retire removes a request whose end was not reported. A granted one that waits again did
// not run; of any other one it is not known, so its followers look the key up.
func (p *Pool) retire(r *request, again bool) {
	if r.phase != granted {
		p.memory.add(r.desc.ID, ending{final: !again})
	} else {
		p.memory.add(r.desc.ID, ending{final: !again, place: placeOf(&r.run.grant)})
		p.fleet.Progress(&r.run.work, model.Progress{Request: r.desc.ID, Kind: model.ProgressCancelled})
		if !again {
			p.conclude(r)
			p.forget(r)
			return
		}
	}
	p.drop(r)
}

// Empty reports that the pool knows no request.
func (p *Pool) Empty() bool { return len(p.requests) == 0 }

// Sequence returns the number of the last grant to an instance.
func (p *Pool) Sequence(id model.InstanceID) uint64 { return p.sequences[id] }

// Digest returns the digest of the requests of an instance, to compare with its own.
func (p *Pool) Digest(id model.InstanceID) model.RequestDigest {
	var d model.RequestDigest
	for r := p.instances[id]; r != nil; r = r.next {
		d.Add(r.desc.ID, r.phase == granted)
	}
	return d
}
