package schedule

import (
	"time"

	"briaryard/internal/model"
)

// Adopt records a request that was granted elsewhere. If charge is set, it is charged to the allotment
// of its team.
func (s *Scheduler) Adopt(now time.Time, w Work, charge bool) {
	if s.granted[w.ID] != nil {
		return
	}
	if charge {
		s.limits.Charge(now, w.Team, w.Prompt+w.Output)
	}
	if q := s.waiting[w.ID]; q != nil {
		s.dequeue(q)
	}
	v := s.service(w.Service)
	b := v.byID[w.Server]
	if b == nil {
		b = v.addServer(w.Server)
	}
	b.addWork(now, w, v.estimateGranted(now, &w), 0)
	s.granted[w.ID] = b
	v.running++
	v.rank(w.Rank).running++
	s.hedgeSent(now, v, &w)
}

// estimateGranted estimates the time that a granted request takes on an average server.
func (v *service) estimateGranted(now time.Time, w *Work) time.Duration {
	return v.estimateWork(now, &Request{Prompt: w.Prompt, Output: w.Output, Expected: w.Expected})
}

// RemoveInstance removes all requests of an instance, either because its connections to the servers
// have ended or because its full state follows.
func (s *Scheduler) RemoveInstance(now time.Time, instance model.InstanceID) {
	for id, q := range s.waiting {
		if id.Instance == instance {
			s.dequeue(q)
		}
	}
	for id, b := range s.granted {
		if id.Instance == instance {
			s.release(b, b.granted[id])
		}
	}
	s.decideAll(now)
}
