package schedule

import "time"

// outlookInterval is the age up to which the outlook of a service is reused: half of the time that an urgent
// request may wait for a running one to end. Grants and ends in between are added to it.
const outlookInterval = 50 * time.Millisecond

// fingerprintOf returns the fingerprint by which a caller that returns after a refusal is recognised, or zero if the
// request has no token counts and therefore looks like many others.
func fingerprintOf(w *Request) uint64 {
	if w.Prompt == 0 {
		return 0
	}
	return w.Fingerprint
}

// recordDemand counts a request in the demand of its rank, unless it is the return of a refused one, which is the
// same demand.
func (s *Scheduler) recordDemand(now time.Time, r *rank, w *Request, work time.Duration) {
	if f := fingerprintOf(w); f != 0 && s.returns.Returned(now, f) {
		return
	}
	r.load.Offer(now, w.Arrived, work)
}

// rememberRefused remembers a request that was refused for lack of slots.
func (s *Scheduler) rememberRefused(now time.Time, w *Request) {
	if f := fingerprintOf(w); f != 0 {
		s.returns.Refused(now, f)
	}
}

// RefusedHold returns the time for which a request that is refused here without a decision of this scheduler was
// expected to hold its slot, or zero if it is the return of a refused one.
func (s *Scheduler) RefusedHold(now time.Time, w *Request) time.Duration {
	if f := fingerprintOf(w); f != 0 {
		returned := s.returns.Returned(now, f)
		s.returns.Refused(now, f)
		if returned {
			return 0
		}
	}
	return s.service(w.Service).estimateWork(now, w)
}

// RememberRefused remembers a request that another scheduler has refused, so that its return is recognised.
func (s *Scheduler) RememberRefused(now time.Time, w *Request) { s.rememberRefused(now, w) }

// CountRefused counts the demand that an instance has refused without asking.
func (s *Scheduler) CountRefused(now time.Time, d RefusedDemand) {
	if v := s.services[d.Service]; v != nil {
		v.rank(d.Rank).load.OfferMany(now, now, d.Hold, d.Requests)
	}
}

// updateOutlook computes what each rank of the service leaves for more urgent ones, at most outlookInterval old.
func (v *service) updateOutlook(now time.Time) {
	if age := now.Sub(v.outlookTime); len(v.ranks) < 2 || age >= 0 && age < outlookInterval {
		return
	}
	v.outlookTime = now
	v.outlook.Reset()
	for _, b := range v.servers {
		for _, w := range b.granted {
			v.outlook.AddRunning(b.remaining(now, w))
		}
	}
	for _, r := range v.ranks {
		v.outlook.AddRank(now, &r.load)
	}
}

// grantAdmitted grants the first request of a rank that holds its slot no longer than more urgent ranks can spare it, and
// reports whether there was one. A size of requests to an engine that is underserved in its rank counts as the small ones
// that are granted, and goes first: its requests fit few servers at a time. A caller that keeps its appointment is granted
// any free slot, because its time was chosen by what more urgent ranks leave.
func (s *Scheduler) grantAdmitted(now time.Time, v *service, c *candidates, r *rank, longest time.Duration) bool {
	if sizes, any := r.underservedSizes(); any && v.engine != nil {
		all := r.sizeClasses.smallWork < longest
		first := func(q *queuedRequest) bool { return q.returned || sizes.has(q) && (all || q.work < longest) }
		if s.grantFrom(now, v, c, r, first) {
			return true
		}
	}
	return s.grantFrom(now, v, c, r, func(q *queuedRequest) bool { return q.returned || q.work < longest })
}

// remaining returns the time after which a granted request is expected to end.
func (s *server) remaining(now time.Time, w *grantedWork) time.Duration {
	return w.grantedAt.Add(w.expectedFirst + w.expectedRest).Sub(now)
}
