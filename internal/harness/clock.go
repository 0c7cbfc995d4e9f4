package harness

import (
	"container/heap"
	"time"
)

// clock runs events in the order of virtual time.
type clock struct {
	now    time.Time
	events eventHeap
	seq    int
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}

func (c *clock) at(t time.Time, run func()) {
	c.seq++
	heap.Push(&c.events, event{at: t, seq: c.seq, run: run})
}

func (c *clock) after(d time.Duration, run func()) { c.at(c.now.Add(d), run) }

func (c *clock) runUntil(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
}
