package schedule

import (
	"slices"
	"time"

	"briaryard/internal/model"
)

// decide grants and denies as far as the state of a service allows.
func (s *Scheduler) decide(now time.Time, v *service) {
	s.age(now, v)
	v.suspects(now)
	s.denyWithoutServer(now, v)
	o := v.open(now)
	for s.grantNext(now, v, o) {
	}
}

// age brings the order up to date. It denies the requests whose time has run out, and those which have
// become late and are not expected to get a server in what is left of it: their callers may come back
// while there is time.
func (s *Scheduler) age(now time.Time, v *service) {
	for _, r := range v.ranks {
		late, ended := r.age(now)
		for _, q := range ended {
			s.giveUp(now, v, q, DeniedTime)
		}
		for _, q := range late {
			if !s.mayBegin(now, v, q) {
				r.remove(q)
				s.giveUp(now, v, q, DeniedQueue)
			}
		}
	}
}

func (s *Scheduler) giveUp(now time.Time, v *service, q *waiting, reason Reason) {
	delete(s.wants, q.ID)
	s.refund(now, &q.Want)
	s.deny(now, v, &q.Want, reason, spread(q.ID, s.drained(now, v)))
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
func (s *Scheduler) grantNext(now time.Time, v *service, o *open) bool {
	if len(o.list) == 0 || s.options.Share < 1 && !v.divided && v.running >= int(s.slots(now, v))+1 {
		return false
	}
	kept, most := 0.0, reserveShare*float64(o.total)
	for at, r := range v.ranks {
		if r.len() > 0 && o.slots <= int(kept) {
			return false
		}
		granted := r.find(
			func(q *waiting) bool { return v.mayEnd(now, q, o) },
			func(q *waiting) bool {
				b := v.choose(now, q, o)
				if b != nil {
					s.grant(now, v, q, b)
					o.granted(b)
				}
				return b != nil
			})
		if granted {
			return true
		}
		kept = min(kept+v.reserve(now, at), most)
	}
	return false
}

// suspects looks for servers that have not answered for too long.
func (v *service) suspects(now time.Time) {
	if now.Sub(v.looked) < suspectInterval {
		return
	}
	v.looked = now
	for _, b := range v.list {
		b.suspect = b.overdue(now)
	}
}

// open are the servers that can take a request now.
type open struct {
	list []*server
	// slots are free, of the total of all usable servers.
	slots, total int
	// fastest is the least time for an event among them.
	fastest time.Duration
}

func (v *service) open(now time.Time) *open {
	o := &open{}
	for i := range v.list {
		// Equal servers take turns.
		b := v.list[(v.next+i)%len(v.list)]
		if !b.usable(now) {
			continue
		}
		o.total += b.slots()
		if free := b.slots() - len(b.works); free > 0 && !b.suspect {
			o.list = append(o.list, b)
			o.slots += free
		}
	}
	o.measure()
	return o
}

func (o *open) measure() {
	o.fastest = 0
	for i, b := range o.list {
		if i == 0 || b.decode < o.fastest {
			o.fastest = b.decode
		}
	}
}

// granted takes a slot of a server.
func (o *open) granted(b *server) {
	o.slots--
	at := slices.Index(o.list, b)
	o.list = slices.Delete(o.list, at, at+1)
	if len(b.works) < b.slots() {
		o.list = append(o.list, b)
		return
	}
	o.measure()
}

const (
	// reserveFactor is how much of the slots that a rank's arrivals need is kept free for them. It is
	// above 1 because arrivals come in clumps.
	reserveFactor = 1.2
	// reserveShare bounds the slots that are kept free of a service.
	reserveShare = 0.3
	// reserveWait is the time that an urgent request may wait for a slot that a less urgent one
	// leaves: a quarter of the shortest objective of a stream.
	reserveWait = 100 * time.Millisecond
)

// reserve returns the number of free slots that less urgent requests leave for the rank at a place in
// the order: what its arrivals need on average, without what they have. Less urgent answers may take a
// hundred times as long, so that a more urgent request would otherwise wait for one of them to end.
// Nothing is kept where less urgent answers end often enough: free slots serve nobody.
func (v *service) reserve(now time.Time, at int) float64 {
	r := v.ranks[at]
	soon := 0.0
	for _, o := range v.ranks[at+1:] {
		soon += o.ends.at(now) * reserveWait.Seconds()
	}
	need := (r.arrivals.at(now)*reserveFactor - float64(r.running)) * (1 - soon)
	return max(need, 0)
}

const (
	// endMargin is how far the length of an answer may exceed the expected one: callers' estimates
	// are right at the median and off by a factor of two for one in ten.
	endMargin = 2.0
	// endWeight is what an expected overrun of the request's end costs in the choice, in parts of
	// the overrun.
	endWeight = 0.5
	// likelyMargin is the part of the expected length that an answer must have time for. Four in five
	// answers are shorter; what is cut at its end has used a slot for nothing.
	likelyMargin = 1.5
	// keptSlots of each fast server are kept for the requests that no other server can end in time,
	// unless the others are worse by keptCost.
	keptSlots = 2
	keptCost  = 150 * time.Millisecond
	// fastShare of the mean time for an event makes a server a fast one.
	fastShare = 0.7
)

// idle reports whether at least half of the slots are free. Then a request gets a place even if no
// server is expected to end it in time.
func (o *open) idle() bool { return 2*o.slots >= o.total }

// mayEnd reports whether one of the open servers may be right for a request.
func (v *service) mayEnd(now time.Time, q *waiting, o *open) bool {
	if v.engine == nil || o.idle() {
		return true
	}
	return time.Duration(q.likely*float64(o.fastest)) <= q.End.Sub(now)
}

// choose returns the server with the least cost that has room and is expected to answer in time, or
// nil.
func (v *service) choose(now time.Time, q *waiting, o *open) *server {
	var best *server
	var least time.Duration
	mean := v.sum(now).decode
	left := q.End.Sub(now)
	// A request is long if an average server may not end it in time.
	long := v.engine != nil && time.Duration(endMargin*q.events*float64(mean)) > left
	// A prompt that only a fast server reads on time waits for one of them.
	onTimeOnly := v.engine != nil && !q.late && !now.Add(firstBase+time.Duration(q.Prompt)*v.sum(now).leastPrefill).After(q.OnTime)
	for _, b := range o.list {
		if !b.room(&q.Want) || slices.Contains(q.Tried, b.record.ID) || !serves(&b.record, q.Model) {
			continue
		}
		first := b.first(&q.Want)
		if onTimeOnly && now.Add(first).After(q.OnTime) {
			continue
		}
		if v.engine != nil && first+b.rest(q.likely) > left && !o.idle() {
			continue
		}
		c := b.cost(&q.Want, q.events)
		if long {
			c += time.Duration(endWeight * float64(max(first+b.rest(endMargin*q.events)-left, 0)))
		} else if v.engine != nil && b.slots()-len(b.works) <= keptSlots && float64(b.decode) < fastShare*float64(mean) {
			c += keptCost
		}
		if best == nil || c < least {
			best, least = b, c
		}
	}
	return best
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
