package dispatcher

import (
	"time"

	decide "briaryard/internal/decide/dispatch"
	"briaryard/internal/model"
	"briaryard/internal/port"
)

const (
	// stateRequestTimeout is how long a pool that is not ready waits for the states of the
	// instances before it requests them again.
	stateRequestTimeout = time.Second
	// compareInterval is how often each instance compares its requests with those known to the
	// dispatcher. It bounds how long an unreported message loss goes unnoticed. A comparison
	// takes about 40 bytes when there is no difference.
	compareInterval = 10 * time.Second
)

// stateRequest asks an instance for the state of its requests in a pool. It is sent after the
// decisions made before it.
type stateRequest struct {
	to      model.InstanceID
	pool    model.PoolID
	compare bool
}

// requestStates requests the state of every live instance.
func (s *Service) requestStates(now time.Time, id model.PoolID, p *pool) {
	p.stateRequestedAt = now
	for _, i := range s.view.Instances {
		if i.State != model.Gone {
			s.stateRequests = append(s.stateRequests, stateRequest{to: i.ID, pool: id})
		}
	}
}

// requestNewStates requests the state of instances that are new in the view, that had been
// removed or that have restarted: the dispatcher does not know their requests.
func (s *Service) requestNewStates(old *model.View, id model.PoolID) {
	for _, i := range s.view.Instances {
		previous, ok := old.Instance(i.ID)
		if i.State != model.Gone && (!ok || previous.State == model.Gone || previous.Incarnation != i.Incarnation) {
			s.stateRequests = append(s.stateRequests, stateRequest{to: i.ID, pool: id})
		}
	}
}

// requestComparisons asks the instances in turn to compare their requests with those known to
// the dispatcher. The number of instances asked is proportional to the time since the last call
// that asked any.
func (s *Service) requestComparisons(now time.Time, id model.PoolID, p *pool) {
	n := len(s.view.Instances)
	if !p.ready || n == 0 {
		return
	}
	due := min(int(now.Sub(p.comparedAt)*time.Duration(n)/compareInterval), n)
	if due == 0 {
		return
	}
	p.comparedAt = now
	for range due {
		p.compareIndex = (p.compareIndex + 1) % n
		if i := s.view.Instances[p.compareIndex]; i.State != model.Gone {
			s.stateRequests = append(s.stateRequests, stateRequest{to: i.ID, pool: id, compare: true})
		}
	}
}

// sendStateRequests sends the requests for state. Earlier decisions have been sent or are queued
// in the outbox, so the grants up to the one that a request names arrive first.
func (s *Service) sendStateRequests() {
	for _, w := range s.stateRequests {
		p := s.pools[w.pool]
		if p == nil {
			continue
		}
		r := port.StateRequest{Pool: w.pool, Epoch: p.epoch, Sequence: p.machine.Sequence(w.to), Compare: w.compare}
		if w.compare {
			r.Digest = p.machine.Digest(w.to)
		}
		s.outbox.put(w.to, r)
	}
	s.stateRequests = nil
}

// isOutdated reports whether a message comes from an instance that has been removed or replaced.
// An instance that returns is asked for its state when the view lists it again.
func (s *Service) isOutdated(m port.PeerMessage) bool {
	i, ok := s.view.Instance(m.From)
	return ok && (i.Incarnation > m.Incarnation || i.Incarnation == m.Incarnation && i.State == model.Gone)
}

// reconcile applies the state that an instance sent to a pool.
func (s *Service) reconcile(now time.Time, p *pool, from model.InstanceID, st port.EntryState) {
	outstanding := make([]decide.Outstanding, 0, len(st.Outstanding))
	for _, o := range st.Outstanding {
		outstanding = append(outstanding, decide.Outstanding{Grant: o.Grant, Descriptor: o.Descriptor})
	}
	seen := st.Sequence
	if st.Epoch != p.epoch {
		// The instance has received no grant from this dispatcher.
		seen = 0
	}
	p.machine.Reconcile(now, from, seen, st.Waiting, outstanding)
}
