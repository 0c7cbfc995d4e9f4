package schedule

import (
	"container/heap"
	"time"
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
	// at holds the places in the two heaps of the group.
	at [2]int
	// work is the expected time that the request takes on a server.
	work time.Duration
	// behind is how far it goes behind others of its rank.
	behind time.Duration
}

// Heaps of a group.
const (
	byKey = iota
	byLeaving
)

// queue is a heap of requests by one of their times.
type queue struct {
	list []*waiting
	by   int
}

func (q *queue) time(w *waiting) time.Time {
	if q.by == byKey {
		return w.key
	}
	return w.leaves
}

// Len implements heap.Interface.
func (q *queue) Len() int { return len(q.list) }

// Less implements heap.Interface.
func (q *queue) Less(i, j int) bool {
	a, b := q.list[i], q.list[j]
	if x, y := q.time(a), q.time(b); !x.Equal(y) {
		return x.Before(y)
	}
	return a.Arrived.Before(b.Arrived)
}

// Swap implements heap.Interface.
func (q *queue) Swap(i, j int) {
	q.list[i], q.list[j] = q.list[j], q.list[i]
	q.list[i].at[q.by], q.list[j].at[q.by] = i, j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	w := x.(*waiting)
	w.at[q.by] = len(q.list)
	q.list = append(q.list, w)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(q.list) - 1
	w := q.list[last]
	q.list[last] = nil
	q.list = q.list[:last]
	return w
}

// group holds the timely or the late requests of a rank.
type group struct{ queues [2]queue }

func newGroup() group { return group{queues: [2]queue{{by: byKey}, {by: byLeaving}}} }

func (g *group) len() int { return len(g.queues[byKey].list) }

func (g *group) add(w *waiting) {
	for i := range g.queues {
		heap.Push(&g.queues[i], w)
	}
}

func (g *group) remove(w *waiting) {
	for i := range g.queues {
		heap.Remove(&g.queues[i], w.at[i])
	}
}

// left takes the next request whose time in the group is over, or nil.
func (g *group) left(now time.Time) *waiting {
	q := &g.queues[byLeaving]
	if len(q.list) == 0 || now.Before(q.list[0].leaves) {
		return nil
	}
	w := q.list[0]
	g.remove(w)
	return w
}

// rank holds the waiting requests of one rank.
type rank struct {
	number       int
	timely, late group
	// work is the expected time of all of them together.
	work time.Duration
	// arrivals measures how much work of the rank comes, and sizes what becomes of large requests.
	arrivals demand
	sizes    sizes
	// running counts the granted requests.
	running int
}

func newRank(number int) *rank {
	return &rank{number: number, timely: newGroup(), late: newGroup(), sizes: newSizes()}
}

func (r *rank) len() int { return r.timely.len() + r.late.len() }

// place sets the times of a request in its group.
func (w *waiting) place() {
	w.leaves = w.OnTime
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

// age moves requests that can no longer be on time behind the others, and returns those whose time
// has run out.
func (r *rank) age(now time.Time) (ended []*waiting) {
	for w := r.timely.left(now); w != nil; w = r.timely.left(now) {
		r.work -= w.work
		w.late = true
		r.add(w)
	}
	for w := r.late.left(now); w != nil; w = r.late.left(now) {
		r.work -= w.work
		ended = append(ended, w)
	}
	return ended
}

// first returns the request that goes first, or nil.
func (r *rank) first() *waiting {
	for _, g := range []*group{&r.timely, &r.late} {
		if list := g.queues[byKey].list; len(list) > 0 {
			return list[0]
		}
	}
	return nil
}

// ahead returns the expected work of the requests of the rank that go before another one of it.
func (r *rank) ahead(w *waiting) time.Duration {
	var sum time.Duration
	for _, o := range r.timely.queues[byKey].list {
		if w.late || o.key.Before(w.key) {
			sum += o.work
		}
	}
	if w.late {
		for _, o := range r.late.queues[byKey].list {
			if o.key.Before(w.key) {
				sum += o.work
			}
		}
	}
	return sum
}

// inOrder visits the requests that come first in the order, at most limit of each group.
func (r *rank) inOrder(limit int, visit func(*waiting) bool) bool {
	for _, g := range []*group{&r.timely, &r.late} {
		// The heap's array is ordered well enough for the few requests behind the first.
		list := g.queues[byKey].list
		for _, w := range list[:min(len(list), limit)] {
			if !visit(w) {
				return false
			}
		}
	}
	return true
}

// demand measures work that arrives, as an average that forgets.
type demand struct {
	// rate is work in seconds a second, which is the number of slots that it takes.
	rate float64
	at   time.Time
}

// demandMemory is the time in which an earlier arrival loses most of its weight: shorter than a
// burst of callers, longer than the gaps within one.
const demandMemory = 1500 * time.Millisecond

func (d *demand) decay(now time.Time) {
	if !d.at.IsZero() {
		if age := now.Sub(d.at); age > 0 {
			d.rate *= max(1-age.Seconds()/demandMemory.Seconds(), 0)
		}
	}
	d.at = now
}

func (d *demand) add(now time.Time, work time.Duration) {
	d.decay(now)
	d.rate += work.Seconds() / demandMemory.Seconds()
}
