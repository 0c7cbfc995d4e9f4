package harness

import (
	"container/heap"
	"time"
)

// clock runs events in the order of virtual time. Events at the same time run in the order in
// which they were scheduled.
type clock struct {
	now    time.Time
	events eventHeap
	seq    int
}

// event is a function to run at a time. seq orders events at the same time.
type event struct {
	at  time.Time
	seq int
	run func()
}

// eventHeap is a min-heap of events by time and sequence number.
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

// schedule adds an event that runs a function at the given time.
func (c *clock) schedule(t time.Time, run func()) {
	c.seq++
	heap.Push(&c.events, event{at: t, seq: c.seq, run: run})
}

// after adds an event that runs a function once a duration has passed.
func (c *clock) after(d time.Duration, run func()) { c.schedule(c.now.Add(d), run) }

// runUntil runs all events up to and including the end.
func (c *clock) runUntil(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
}
