package schedule

import (
	"slices"
	"time"

	"briaryard/internal/model"
)

// decide grants and denies as far as the state of a service allows.
func (s *Scheduler) decide(now time.Time, v *service) {
	s.age(now, v)
	s.denyWithoutServer(now, v)
	for s.grantNext(now, v) {
	}
}

// age brings the order up to date and denies the requests whose time has run out.
func (s *Scheduler) age(now time.Time, v *service) {
	for _, r := range v.ranks {
		for _, q := range r.age(now) {
			delete(s.wants, q.ID)
			s.refund(now, &q.Want)
			s.deny(now, v, &q.Want, DeniedTime, q.work)
		}
	}
}

// denyWithoutServer refuses the requests of a service that has had no usable server for a while.
func (s *Scheduler) denyWithoutServer(now time.Time, v *service) {
	if slices.ContainsFunc(v.list, func(b *server) bool { return b.usable(now) }) {
		v.lacking = time.Time{}
		return
	}
	if v.lacking.IsZero() {
		v.lacking = now
	}
	if now.Sub(v.lacking) < noServerWait {
		return
	}
	for _, r := range v.ranks {
		for r.len() > 0 {
			q := r.first()
			s.forget(q)
			s.refund(now, &q.Want)
			s.deny(now, v, &q.Want, DeniedServer, noServerWait)
		}
	}
}

// grantNext grants the first request in the order that a server has room for. It reports whether
// there was one.
func (s *Scheduler) grantNext(now time.Time, v *service) bool {
	if s.options.Share < 1 && v.running >= int(s.slots(now, v))+1 {
		return false
	}
	granted := false
	kept := 0.0
	for _, r := range v.ranks {
		if r.len() > 0 && v.free(now) <= int(kept) {
			break
		}
		r.inOrder(lookAhead, func(q *waiting) bool {
			if b := v.choose(now, &q.Want); b != nil {
				s.grant(now, v, q, b)
				granted = true
			}
			return !granted
		})
		if granted {
			break
		}
		kept += v.reserve(now, r)
	}
	return granted
}

const (
	// reserveFactor is how much of the slots that a rank's arrivals need is kept free for them. It is
	// above 1 because arrivals come in clumps.
	reserveFactor = 1.2
	// reserveShare bounds the slots that are kept free of a service.
	reserveShare = 0.3
)

// reserve returns the number of free slots that less urgent requests leave for a rank: what its
// arrivals need on average, without what they have. Less urgent answers may take a hundred times as
// long, so that a more urgent request would otherwise wait for one of them to end.
func (v *service) reserve(now time.Time, r *rank) float64 {
	r.arrivals.decay(now)
	return min(max(r.arrivals.rate*reserveFactor-float64(r.running), 0), reserveShare*float64(v.total(now)))
}

// total returns the slots of the usable servers, and free those without work.
func (v *service) total(now time.Time) int {
	n := 0
	for _, b := range v.list {
		if b.usable(now) {
			n += b.slots()
		}
	}
	return n
}

func (v *service) free(now time.Time) int {
	n := 0
	for _, b := range v.list {
		if b.usable(now) {
			n += max(b.slots()-len(b.works), 0)
		}
	}
	return n
}

const (
	// endMargin is how far the length of an answer may exceed the expected one: callers' estimates
	// are right at the median and off by a factor of two for one in ten.
	endMargin = 2.0
	// endWeight is what an expected overrun of the request's end costs in the choice, in parts of
	// the overrun.
	endWeight = 0.5
	// lateChoice is the time before a request must begin in which it takes a server that is
	// expected to overrun without any margin, rather than none.
	lateChoice = 400 * time.Millisecond
	// keptSlots of each fast server are kept for the requests that no other server can end in time,
	// unless the others are worse by keptCost.
	keptSlots = 2
	keptCost  = 150 * time.Millisecond
	// fastShare of the mean time for an event makes a server a fast one.
	fastShare = 0.7
)

// choose returns the server with the least cost that has room, or nil.
func (v *service) choose(now time.Time, w *Want) *server {
	var best *server
	var least time.Duration
	events := w.events()
	mean := v.decode()
	left := w.End.Sub(now)
	// A request is long if an average server may not end it in time.
	long := v.engine != nil && time.Duration(endMargin*events*float64(mean)) > left
	for i := range v.list {
		b := v.list[(v.next+i)%len(v.list)]
		if !b.usable(now) || !b.room(w) || slices.Contains(w.Tried, b.record.ID) || !serves(&b.record, w.Model) || b.overdue(now) {
			continue
		}
		c := b.cost(w, events)
		if long {
			end := b.first(w) + b.rest(events)
			if end > left && w.Until.Sub(now) > lateChoice {
				continue
			}
			c += time.Duration(endWeight * float64(max(b.first(w)+b.rest(endMargin*events)-left, 0)))
		} else if v.engine != nil && b.slots()-len(b.works) <= keptSlots && float64(b.decode) < fastShare*float64(mean) {
			c += keptCost
		}
		if best == nil || c < least {
			best, least = b, c
		}
	}
	return best
}

// decode returns the mean time for an event.
func (v *service) decode() time.Duration {
	return v.mean(func(b *server) time.Duration { return b.decode }, defaultDecode)
}

// serves reports whether a server has a model. Requests without one fit every server.
func serves(r *model.BackendServer, name string) bool {
	return name == "" || len(r.Models) == 0 || slices.Contains(r.Models, name)
}

func (s *Scheduler) grant(now time.Time, v *service, q *waiting, b *server) {
	s.forget(q)
	v.next++
	estimate := b.first(&q.Want)
	in := Inputs{
		Waited: now.Sub(q.Arrived), Waiting: len(s.wants), Running: len(b.works), Pending: b.pending, Estimate: estimate,
	}
	if !b.progress.IsZero() {
		in.Age = now.Sub(b.progress)
	}
	b.begin(now, Work{
		ID: q.ID, Service: v.id, Server: b.record.ID, Team: q.Team, Rank: q.Rank, Prompt: q.Prompt, Output: q.Output, Expected: q.Expected,
	}, estimate)
	s.works[q.ID] = b
	v.running++
	r := v.rank(q.Rank)
	r.running++
	r.sizes.served(q.work)
	s.out = append(s.out, Decision{ID: q.ID, Server: b.record, Inputs: in})
}
