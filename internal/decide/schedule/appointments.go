package schedule

import (
	"time"

	"briaryard/internal/decide/appointment"
)

const (
	// bookableShare is the share of the slots left by more urgent ranks that a rank promises to callers that
	// return. They have lost time already and go before new callers, most of whom can still be on time: with
	// a half instead of an eighth, fewer callers in all were on time and no more were served.
	bookableShare = 0.125
	// bookableSize is the ratio to the mean work of its rank up to which a request gets an appointment. Callers
	// that keep one go before shorter requests, so that appointments of long ones lower the number of callers
	// served.
	bookableSize = 0.5
	// honouredShare is the share of its remaining time for which a caller waits before it returns.
	honouredShare = 1.0 / 3
	// callerLatency is the time until a caller has read a refusal. Its remaining time is shorter by then.
	callerLatency = 15 * time.Millisecond
	// dueWindow is the time ahead for which a denial names the appointments that are due: that for which
	// instances repeat a denial, and as much again for its way. Appointments made later are due later.
	dueWindow = 300 * time.Millisecond
	// maxDue bounds the appointments that a denial names, at four bytes each.
	maxDue = 256
	// meanWorkWeight is the weight of an arrival in the mean work of its rank.
	meanWorkWeight = 0.02
)

// lane returns where appointments of a request are booked.
func (w *Request) lane() appointment.Lane { return appointment.Lane{Service: w.Service, Rank: w.Rank} }

// startWaiting adds a request to the waiting ones, and stopWaiting removes it.
func (s *Scheduler) startWaiting(q *queuedRequest) {
	s.waiting[q.ID] = q
	if q.Fingerprint != 0 {
		s.waitingPrints[q.Fingerprint]++
	}
}

func (s *Scheduler) stopWaiting(q *queuedRequest) {
	delete(s.waiting, q.ID)
	if s.waitingPrints[q.Fingerprint]--; s.waitingPrints[q.Fingerprint] <= 0 {
		delete(s.waitingPrints, q.Fingerprint)
	}
}

// shared reports whether a fingerprint is that of several callers, who send the same request: a caller that
// returns has no other request waiting. Such a request is treated like a new one, since the others would
// otherwise be refused until the appointment of the first one.
func (s *Scheduler) shared(fingerprint uint64) bool { return s.waitingPrints[fingerprint] > 0 }

// keepAppointment takes the appointment of a request at its arrival, if its caller has come at its time.
func (s *Scheduler) keepAppointment(now time.Time, q *queuedRequest) appointment.Status {
	if s.shared(q.Fingerprint) {
		s.book.Remove(q.Fingerprint)
	}
	_, status := s.book.Find(now, q.Fingerprint, q.lane())
	if status == appointment.Due {
		q.returned = true
		s.book.Remove(q.Fingerprint)
	}
	return status
}

// refusedAtArrival reports whether a request that has just arrived must be refused: there are too many
// waiting, its caller has come before the time of its appointment while others wait, or the work ahead of it
// takes too long. A caller that keeps its appointment is not refused for the work ahead.
func (s *Scheduler) refusedAtArrival(now time.Time, v *service, q *queuedRequest, status appointment.Status) bool {
	switch {
	case len(s.waiting) >= maxWaiting:
		return true
	case status == appointment.Due:
		return false
	}
	return status == appointment.Before && v.anyWaiting() || !s.canStart(now, v, q)
}

// AdoptAppointments takes in appointments that another scheduler has made.
func (s *Scheduler) AdoptAppointments(now time.Time, list []appointment.Appointment) {
	for _, a := range list {
		s.book.Adopt(now, a)
	}
}

// roomFor returns the slots that a rank can promise to callers that return: a share of those that the
// arrivals of more urgent ranks leave, once the waiting requests of these ranks are done. An underserved rank
// can promise a share of its guarded slots in any case.
func (s *Scheduler) roomFor(now time.Time, v *service, number int) appointment.Room {
	left := float64(s.usableSlots(now, v))
	var ahead time.Duration
	for _, r := range v.ranks {
		if r.number < number {
			left -= r.arrivals.at(now)
			ahead += r.work
		}
	}
	if v.underserved(v.rank(number)) {
		if guarded := float64(guardSlots(v.currentStats(now).slots)); left <= guarded {
			return appointment.Room{Slots: guarded * bookableShare}
		}
	}
	if left <= 0 {
		return appointment.Room{}
	}
	return appointment.Room{From: time.Duration(float64(ahead) / left), Slots: left * bookableShare}
}

// bookReturn books the time at which a refused caller finds room, within the time for which it waits. A caller
// that came too early keeps the appointment that it has.
func (s *Scheduler) bookReturn(now time.Time, v *service, q *queuedRequest) (appointment.Appointment, bool) {
	if a, status := s.book.Find(now, q.Fingerprint, q.lane()); status == appointment.Before {
		return a, true
	}
	s.book.Remove(q.Fingerprint)
	if s.shared(q.Fingerprint) {
		return appointment.Appointment{}, false
	}
	r := v.rank(q.Rank)
	if v.engine != nil && float64(q.work) > bookableSize*float64(r.meanWork) {
		if u, _ := r.underservedSizes(); !u.has(q) {
			return appointment.Appointment{}, false
		}
	}
	a := appointment.Appointment{Fingerprint: q.Fingerprint, Lane: q.lane(), Work: q.work}
	var ok bool
	a.At, ok = s.book.Make(now, a, s.roomFor(now, v, q.Rank), honoured(now, &q.Request))
	return a, ok
}

// LatestReturn returns the longest time for which the caller of a request waits after a refusal, as a
// Retry-After.
func LatestReturn(now time.Time, w *Request) time.Duration {
	return max(honoured(now, w), MinRetryAfter)
}

// honoured returns the longest time for which a refused caller waits before it returns.
func honoured(now time.Time, w *Request) time.Duration {
	return time.Duration(honouredShare * float64(w.Deadline.Sub(now)-callerLatency))
}

// denyForTime denies a request that is not queued, because of a long queue or because its time has run out,
// and tells its caller when to return.
func (s *Scheduler) denyForTime(now time.Time, v *service, q *queuedRequest, reason Reason) {
	s.refund(now, &q.Request)
	s.rememberRefused(now, &q.Request)
	if a, ok := s.bookReturn(now, v, q); ok {
		s.denyBooked(now, v, q, reason, a)
		return
	}
	s.deny(now, v, &q.Request, reason, s.waitWithoutAppointment(now, v, q))
	s.completeDenial(now, q, reason)
}

// completeDenial adds to the last decision whether the caller has kept an appointment and, for a long queue,
// the appointments that are due soon. An instance that repeats the denial lets the callers of these through.
func (s *Scheduler) completeDenial(now time.Time, q *queuedRequest, reason Reason) {
	d := &s.decisions[len(s.decisions)-1]
	d.Inputs.Returned = q.returned
	if reason != DeniedQueue || s.book.Len() == 0 {
		return
	}
	due := s.book.Due(now, q.lane(), dueWindow)
	if len(due) > maxDue {
		d.DueOmitted = true
		return
	}
	for _, f := range due {
		d.Due = append(d.Due, uint32(f))
	}
}

// waitWithoutAppointment returns the time after which a refused caller without an appointment should return:
// when the queue is worked off, given the work that still arrives. In an overload, that is as late as the
// caller waits: it retries once, and the overload is the more likely to be over the later it does.
func (s *Scheduler) waitWithoutAppointment(now time.Time, v *service, q *queuedRequest) time.Duration {
	drain := jitter(q.ID, s.drainTime(now, v))
	left := float64(s.usableSlots(now, v))
	total := left
	for _, r := range v.ranks {
		if r.number <= q.Rank {
			left -= r.load.Level(now)
		}
	}
	latest := max(honoured(now, &q.Request), drain)
	if left*float64(latest) <= total*float64(drain) {
		return latest
	}
	return time.Duration(float64(drain) * total / left)
}

// denyBooked denies a request that is not queued and tells its caller to return at its appointment.
func (s *Scheduler) denyBooked(now time.Time, v *service, q *queuedRequest, reason Reason, a appointment.Appointment) {
	s.deny(now, v, &q.Request, reason, a.At.Sub(now))
	s.decisions[len(s.decisions)-1].Appointment = a
	s.completeDenial(now, q, reason)
}

// refuseLate denies a plain request that is not queued and cannot be on time, if others could take its place
// and its caller finds a place later. It reports whether it has. A late stream stays in the queue: its
// answer counts as late as well when its caller returns.
func (s *Scheduler) refuseLate(now time.Time, v *service, q *queuedRequest) bool {
	if v.engine != nil || q.returned || len(q.Tried) > 0 || !v.hasOnTime(q.Rank) {
		return false
	}
	a, ok := s.bookReturn(now, v, q)
	if ok {
		s.refund(now, &q.Request)
		s.denyBooked(now, v, q, DeniedQueue, a)
	}
	return ok
}

// hasOnTime reports whether a request of a rank or a more urgent one waits that can still be on time.
func (v *service) hasOnTime(number int) bool {
	for _, r := range v.ranks {
		if r.number <= number && r.onTime.len() > 0 {
			return true
		}
	}
	return false
}

// bookedAhead returns the work of appointments of a rank and more urgent ones until a time.
func (s *Scheduler) bookedAhead(now time.Time, v *service, number int, until time.Time) time.Duration {
	if s.book.Len() == 0 {
		return 0
	}
	var sum time.Duration
	for _, r := range v.ranks {
		if r.number <= number {
			sum += s.book.Booked(now, appointment.Lane{Service: v.id, Rank: r.number}, until)
		}
	}
	return sum
}
