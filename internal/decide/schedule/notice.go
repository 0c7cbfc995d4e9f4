package schedule

import (
	"slices"
	"time"

	"briaryard/internal/model"
)

// HandleNotice takes what a backend server has said about itself in an answer to an instance. A server
// that leaves is granted to nobody any more. A server that wants no request for a while is not granted to
// that instance until then; the other instances may still use it, since the server speaks of that instance
// alone. A named limit holds for all instances together; HandleNotice
// reports whether one has changed.
func (s *Scheduler) HandleNotice(now time.Time, instance model.InstanceID, n model.ServerNotice) (limitChanged bool) {
	for _, v := range s.services {
		b := v.byID[n.Server]
		if b == nil || n.Incarnation < b.record.Incarnation {
			continue
		}
		if n.Leaving {
			b.leaving = n.Incarnation
			v.statsTime = time.Time{}
		}
		if n.Limit > 0 && b.limit.name(now, n.Incarnation, n.Limit) || n.LimitEnded && b.limit.end(now, n.Incarnation) {
			limitChanged = true
			v.statsTime = time.Time{}
			s.updateLimitShares(v)
		}
		if n.HoldFor > 0 {
			b.hold(now, instance, n.Incarnation, now.Add(n.HoldFor))
			s.denyHeld(now, v, instance)
		}
	}
	return limitChanged
}

// hold records that an incarnation of the server wants no request of an instance until a time.
func (s *server) hold(now time.Time, instance model.InstanceID, incarnation model.Incarnation, until time.Time) {
	if s.heldBy != incarnation {
		s.held, s.heldBy = make(map[model.InstanceID]time.Time), incarnation
	}
	for id, end := range s.held {
		if !now.Before(end) {
			delete(s.held, id)
		}
	}
	if until.After(s.held[instance]) {
		s.held[instance] = until
	}
}

// isHeldFor reports whether the server wants no request of an instance now.
func (s *server) isHeldFor(now time.Time, instance model.InstanceID) bool {
	return len(s.held) > 0 && s.heldBy == s.record.Incarnation && now.Before(s.held[instance])
}

// heldUntil returns the time at which the first usable server takes a request of the instance again. It
// is zero if one takes it now, or if there is none.
func (v *service) heldUntil(now time.Time, q *queuedRequest) time.Time {
	var first time.Time
	for _, b := range v.servers {
		switch {
		case !b.usable(now) || slices.Contains(q.Tried, b.record.ID) || !serves(&b.record, q.Model):
			continue
		case !b.isHeldFor(now, q.ID.Instance):
			return time.Time{}
		}
		if end := b.held[q.ID.Instance]; first.IsZero() || end.Before(first) {
			first = end
		}
	}
	return first
}

// denyHeld denies the waiting requests of an instance for which all servers are held for longer than the
// requests can wait.
func (s *Scheduler) denyHeld(now time.Time, v *service, instance model.InstanceID) {
	for id, q := range s.waiting {
		if id.Instance != instance || q.Service != v.id {
			continue
		}
		if until := v.heldUntil(now, q); until.After(q.StartDeadline) {
			s.dequeue(q)
			s.refund(now, &q.Request)
			s.deny(now, v, &q.Request, DeniedHeld, until.Sub(now))
		}
	}
}
