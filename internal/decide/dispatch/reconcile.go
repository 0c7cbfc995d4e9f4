package dispatch

import (
	"slices"
	"time"

	"briaryard/internal/model"
)

// Reconcile applies an instance's requests as Resync does, and also removes those that the
// instance no longer has because the message about their end was lost. seen is the sequence
// of the last grant that the instance had received; later grants are still in transit.
// Messages of one instance arrive in order, so its state includes every earlier registration.
func (p *Pool) Reconcile(now time.Time, from model.InstanceID, seen uint64, waits []model.Descriptor, outstanding []Outstanding) {
	listed := make(map[model.RequestID]phase, len(waits)+len(outstanding))
	for i := range waits {
		listed[waits[i].ID] = waiting
	}
	for i := range outstanding {
		listed[outstanding[i].Grant.Request] = granted
	}
	// Waiting requests are removed first: the end of an outstanding one notifies its followers,
	// and the instance would be told of those that it no longer has.
	var missing, ended []*request
	for r := p.byInstance[from]; r != nil; r = r.next {
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
		// Removing one request may have ended others with its key.
		if p.requests[r.desc.ID] == r {
			_, relisted := listed[r.desc.ID]
			p.removeUnreported(r, relisted)
		}
	}
	// A follower whose leader has ended was notified; a state that was sent before does not add
	// it again. The instance looks its key up and registers it again if it has to wait.
	waits = slices.DeleteFunc(slices.Clone(waits), func(d model.Descriptor) bool {
		return followers[d.ID] && p.requests[d.ID] == nil
	})
	p.Resync(now, from, waits, outstanding)
}

// followersAmong returns those of the waiting requests that follow another one with their key.
func (p *Pool) followersAmong(waits []model.Descriptor) map[model.RequestID]bool {
	followers := make(map[model.RequestID]bool)
	for i := range waits {
		if r := p.requests[waits[i].ID]; r != nil && r.phase == following {
			followers[r.desc.ID] = true
		}
	}
	return followers
}

// removeUnreported removes a request whose end was not reported. A granted request that is
// listed as waiting did not run, so a follower takes its place. Whether any other granted
// request ran is unknown, so its followers are notified and look the key up.
func (p *Pool) removeUnreported(r *request, relisted bool) {
	if r.phase != granted {
		p.ended.add(r.desc.ID, endRecord{final: !relisted})
	} else {
		p.ended.add(r.desc.ID, endRecord{final: !relisted, grant: grantKeyOf(&r.run.grant)})
		p.fleet.Progress(&r.run.work, model.Progress{Request: r.desc.ID, Kind: model.ProgressCancelled})
		if !relisted {
			p.notifyFollowers(r)
			p.untrack(r)
			return
		}
	}
	p.removeAndPromote(r)
}

// Empty reports whether the pool has no requests.
func (p *Pool) Empty() bool { return len(p.requests) == 0 }

// Sequence returns the number of the last grant to an instance.
func (p *Pool) Sequence(id model.InstanceID) uint64 { return p.grantSequences[id] }

// Digest returns the digest of an instance's requests, for comparison with the instance's own.
func (p *Pool) Digest(id model.InstanceID) model.RequestDigest {
	var d model.RequestDigest
	for r := p.byInstance[id]; r != nil; r = r.next {
		d.Add(r.desc.ID, r.phase == granted)
	}
	return d
}
