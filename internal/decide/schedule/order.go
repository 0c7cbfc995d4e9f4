package schedule

import (
	"cmp"
	"slices"
	"time"

	"briaryard/internal/model"
)

const (
	// shortFirst is the part of its expected work by which a request goes behind others of its
	// rank, and maxBehind the most. Short requests first serve more callers under overload; the
	// bound keeps a long one from waiting until its time runs out.
	shortFirst = 1.0
	maxBehind  = 2200 * time.Millisecond
)

// waiting is a request in the order of a service.
type waiting struct {
	Want
	// key orders the requests of a group; leaves is when the request leaves the group: when it
	// becomes late, or when its time has run out.
	key, leaves time.Time
	late        bool
	// work is the expected time that the request takes on a server.
	work time.Duration
	// events is the expected number of events of the answer, and likely one that most answers do not
	// exceed.
	events, likely float64
	// begin is the expected time from the grant to the first event.
	begin time.Duration
	// behind is how far it goes behind others of its rank.
	behind time.Duration
}

// queue holds requests in the order of one of their times, those with equal times as they arrived.
type queue struct {
	list []*waiting
	time func(*waiting) time.Time
}

func (q *queue) compare(a, b *waiting) int {
	if c := q.time(a).Compare(q.time(b)); c != 0 {
		return c
	}
	if c := a.Arrived.Compare(b.Arrived); c != 0 {
		return c
	}
	return compareIDs(a.ID, b.ID)
}

func compareIDs(a, b model.RequestID) int {
	return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Seq, b.Seq))
}

func (q *queue) add(w *waiting) {
	at, _ := slices.BinarySearchFunc(q.list, w, q.compare)
	q.list = slices.Insert(q.list, at, w)
}

func (q *queue) remove(w *waiting) {
	if at, found := slices.BinarySearchFunc(q.list, w, q.compare); found {
		q.list = slices.Delete(q.list, at, at+1)
	}
}

// group holds the timely or the late requests of a rank.
type group struct {
	order, leaving queue
}

func newGroup() group {
	return group{
		order:   queue{time: func(w *waiting) time.Time { return w.key }},
		leaving: queue{time: func(w *waiting) time.Time { return w.leaves }},
	}
}

func (g *group) len() int { return len(g.order.list) }

func (g *group) add(w *waiting) {
	g.order.add(w)
	g.leaving.add(w)
}

func (g *group) remove(w *waiting) {
	g.order.remove(w)
	g.leaving.remove(w)
}

// left takes the next request whose time in the group is over, or nil.
func (g *group) left(now time.Time) *waiting {
	if len(g.leaving.list) == 0 || now.Before(g.leaving.list[0].leaves) {
		return nil
	}
	w := g.leaving.list[0]
	g.remove(w)
	return w
}

// rank holds the waiting requests of one rank.
type rank struct {
	number       int
	timely, late group
	// work is the expected time of all of them together.
	work time.Duration
	// arrivals measures how much work of the rank comes, ends how many answers of it end, and sizes
	// what becomes of large requests.
	arrivals, ends average
	sizes          sizes
	// running counts the granted requests.
	running int
}

func newRank(number int) *rank {
	return &rank{number: number, timely: newGroup(), late: newGroup(), sizes: newSizes()}
}

func (r *rank) len() int { return r.timely.len() + r.late.len() }

// place sets the times of a request in its group.
func (w *waiting) place() {
	w.leaves = w.OnTime.Add(-w.begin)
	if w.late {
		w.leaves = w.Until
	}
	w.key = w.leaves.Add(w.behind)
}

// behind returns how far a request goes behind others: short ones first, except for a class of large
// ones which is served too seldom.
func (r *rank) behind(work time.Duration) time.Duration {
	if r.sizes.starves(work) {
		return 0
	}
	return min(time.Duration(shortFirst*float64(work)), maxBehind)
}

func (r *rank) add(w *waiting) {
	r.work += w.work
	w.place()
	if w.late {
		r.late.add(w)
	} else {
		r.timely.add(w)
	}
}

func (r *rank) remove(w *waiting) {
	r.work -= w.work
	if w.late {
		r.late.remove(w)
	} else {
		r.timely.remove(w)
	}
}

// age moves requests that can no longer be on time behind the others. It returns them, and those whose
// time has run out.
func (r *rank) age(now time.Time) (late, ended []*waiting) {
	for w := r.timely.left(now); w != nil; w = r.timely.left(now) {
		r.work -= w.work
		w.late = true
		r.add(w)
		late = append(late, w)
	}
	for w := r.late.left(now); w != nil; w = r.late.left(now) {
		r.work -= w.work
		ended = append(ended, w)
		late = slices.DeleteFunc(late, func(o *waiting) bool { return o == w })
	}
	return late, ended
}

// first returns the request that goes first, or nil.
func (r *rank) first() *waiting {
	for _, g := range []*group{&r.timely, &r.late} {
		if list := g.order.list; len(list) > 0 {
			return list[0]
		}
	}
	return nil
}

// ahead returns the expected work of the requests of the rank that go before another one of it.
func (r *rank) ahead(w *waiting) time.Duration {
	var sum time.Duration
	for _, o := range r.timely.order.list {
		if w.late || o.key.Before(w.key) {
			sum += o.work
		}
	}
	if w.late {
		for _, o := range r.late.order.list {
			if o.key.Before(w.key) {
				sum += o.work
			}
		}
	}
	return sum
}

// find returns the first request in the order for which try succeeds. It looks at all that may fit,
// so that a request which must wait for a particular server does not hold up those behind it.
func (r *rank) find(may func(*waiting) bool, try func(*waiting) bool) bool {
	tries := lookAhead
	for _, g := range []*group{&r.timely, &r.late} {
		for _, w := range g.order.list {
			if !may(w) {
				continue
			}
			if try(w) {
				return true
			}
			if tries--; tries == 0 {
				return false
			}
		}
	}
	return false
}

// average is a rate that forgets what is long ago.
type average struct {
	rate float64
	set  time.Time
}

// averageMemory is the time in which an earlier event loses its weight: shorter than a burst of
// callers, longer than the gaps within one.
const averageMemory = 1500 * time.Millisecond

// at returns the rate in units a second.
func (d *average) at(now time.Time) float64 {
	if !d.set.IsZero() {
		if age := now.Sub(d.set); age > 0 {
			d.rate *= max(1-age.Seconds()/averageMemory.Seconds(), 0)
		}
	}
	d.set = now
	return d.rate
}

func (d *average) add(now time.Time, units float64) {
	d.rate = d.at(now) + units/averageMemory.Seconds()
}
