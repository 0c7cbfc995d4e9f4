package dispatcher

import (
	"time"

	decide "briaryard/internal/decide/dispatch"
	"briaryard/internal/model"
	"briaryard/internal/port"
)

const (
	// askAgain is how long an instance has to answer a request for its state.
	askAgain = time.Second
	// compareEvery is how often each instance compares its requests with those known here. It
	// bounds the time that a loss lasts which nothing reports. A comparison takes about 40
	// bytes when there is no difference.
	compareEvery = 10 * time.Second
)

// want is a request for state that is sent after the decisions made before it.
type want struct {
	to      model.InstanceID
	pool    model.PoolID
	compare bool
}

// ask requests the state of every instance.
func (s *Service) ask(now time.Time, id model.PoolID, p *pool) {
	p.asked = now
	for _, i := range s.view.Instances {
		if i.State != model.Gone {
			s.wants = append(s.wants, want{to: i.ID, pool: id})
		}
	}
}

// askNew requests the state of instances that were not in the old view, or that this one
// had removed: their requests were forgotten.
func (s *Service) askNew(old *model.View, id model.PoolID) {
	for _, i := range s.view.Instances {
		was, ok := old.Instance(i.ID)
		if i.State != model.Gone && (!ok || was.State == model.Gone || was.Incarnation != i.Incarnation) {
			s.wants = append(s.wants, want{to: i.ID, pool: id})
		}
	}
}

// compare asks the instances in turn whether their requests are those known here.
func (s *Service) compare(now time.Time, id model.PoolID, p *pool) {
	n := len(s.view.Instances)
	if !p.ready || n == 0 {
		return
	}
	due := min(int(now.Sub(p.compared)*time.Duration(n)/compareEvery), n)
	if due == 0 {
		return
	}
	p.compared = now
	for range due {
		p.next = (p.next + 1) % n
		if i := s.view.Instances[p.next]; i.State != model.Gone {
			s.wants = append(s.wants, want{to: i.ID, pool: id, compare: true})
		}
	}
}

// sendWants sends the requests for state. The decisions made before have been sent or wait in
// the outbox, so that the grants up to the named one arrive first.
func (s *Service) sendWants() {
	for _, w := range s.wants {
		p := s.pools[w.pool]
		if p == nil {
			continue
		}
		r := port.StateRequest{Pool: w.pool, Epoch: p.epoch, Sequence: p.decide.Sequence(w.to), Compare: w.compare}
		if w.compare {
			r.Digest = p.decide.Digest(w.to)
		}
		s.outbox.put(w.to, r)
	}
	s.wants = nil
}

// outdated reports whether a message comes from an instance that has been removed or replaced.
// An instance that comes back is asked for its state when the view lists it again.
func (s *Service) outdated(m port.PeerMessage) bool {
	i, ok := s.view.Instance(m.From)
	return ok && (i.Incarnation > m.Incarnation || i.Incarnation == m.Incarnation && i.State == model.Gone)
}

func (s *Service) resync(now time.Time, p *pool, from model.InstanceID, st port.EntryState) {
	outstanding := make([]decide.Outstanding, 0, len(st.Outstanding))
	for _, o := range st.Outstanding {
		outstanding = append(outstanding, decide.Outstanding{Grant: o.Grant, Descriptor: o.Descriptor})
	}
	seen := st.Sequence
	if st.Epoch != p.epoch {
		// The instance has received no grant of this dispatcher.
		seen = 0
	}
	p.decide.Reconcile(now, from, seen, st.Waiting, outstanding)
}
