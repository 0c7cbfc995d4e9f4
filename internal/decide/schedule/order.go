package schedule

import (
	"container/heap"
	"time"
)

// waiting is a request in the order of a service.
type waiting struct {
	Want
	// at is when the request leaves its heap: when it becomes late, or when its time has run out.
	at    time.Time
	late  bool
	index int
	// work is the expected time that the request takes on a server.
	work time.Duration
}

// timeHeap holds requests by the time at which they leave it.
type timeHeap []*waiting

func (h timeHeap) Len() int { return len(h) }
func (h timeHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].Arrived.Before(h[j].Arrived)
}
func (h timeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *timeHeap) Push(x any) {
	w := x.(*waiting)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *timeHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return w
}

// rank holds the waiting requests of one rank.
type rank struct {
	number int
	timely timeHeap
	late   timeHeap
	// work is the expected time of all of them together.
	work time.Duration
}

func (r *rank) len() int { return len(r.timely) + len(r.late) }

func (r *rank) add(w *waiting) {
	r.work += w.work
	if w.late {
		w.at = w.Until
		heap.Push(&r.late, w)
		return
	}
	w.at = w.OnTime
	heap.Push(&r.timely, w)
}

func (r *rank) remove(w *waiting) {
	r.work -= w.work
	if w.late {
		heap.Remove(&r.late, w.index)
	} else {
		heap.Remove(&r.timely, w.index)
	}
}

// age moves requests that can no longer be on time behind the others, and returns those whose time
// has run out.
func (r *rank) age(now time.Time) (ended []*waiting) {
	for len(r.timely) > 0 && !now.Before(r.timely[0].at) {
		w := r.timely[0]
		r.remove(w)
		w.late = true
		r.add(w)
	}
	for len(r.late) > 0 && !now.Before(r.late[0].at) {
		w := r.late[0]
		r.remove(w)
		ended = append(ended, w)
	}
	return ended
}

// inOrder visits the requests that come first in the order, at most limit of each group.
func (r *rank) inOrder(limit int, visit func(*waiting) bool) bool {
	for _, h := range []timeHeap{r.timely, r.late} {
		// The heap's array is ordered well enough for the few requests behind the first.
		for _, w := range h[:min(len(h), limit)] {
			if !visit(w) {
				return false
			}
		}
	}
	return true
}
