package ring

import (
	"context"
	"sync"
)

// Policy defines what Put does when the ring is full.
type Policy int

const (
	// Block waits until there is room.
	Block Policy = iota
	// Refuse returns a FullError at once.
	Refuse
	// ReplaceOldest drops the oldest item, for rings where only the newest items matter.
	ReplaceOldest
)

// FullError reports that a ring was full and did not take an item.
type FullError struct {
	Ring     string
	Capacity int
}

func (e *FullError) Error() string { return "ring " + e.Ring + " is full" }

// ClosedError reports a Put or Offer on a closed ring, or a Get on a closed and empty one.
type ClosedError struct{ Ring string }

func (e *ClosedError) Error() string { return "ring " + e.Ring + " is closed" }

// Stats is a snapshot of a ring's name, capacity and counters.
type Stats struct {
	Name      string `json:"name"`
	Capacity  int    `json:"capacity"`
	Depth     int    `json:"depth"`
	HighWater int    `json:"high_water"`
	Puts      uint64 `json:"puts"`
	Refused   uint64 `json:"refused"`
	Replaced  uint64 `json:"replaced"`
}

// Ring is a bounded FIFO queue for any number of producers and consumers.
// The channels notEmpty and notFull hold at most one token each. A goroutine that takes a token
// and leaves the ring non-empty (or non-full) puts the token back, so no wakeup is lost.
type Ring[T any] struct {
	name   string
	policy Policy

	mu        sync.Mutex
	buf       []T
	head      int
	depth     int
	highWater int
	puts      uint64
	refused   uint64
	replaced  uint64
	closed    bool

	notEmpty chan struct{}
	notFull  chan struct{}
	done     chan struct{}
}

// New returns an empty ring. A capacity below one is raised to one.
func New[T any](name string, capacity int, policy Policy) *Ring[T] {
	capacity = max(capacity, 1)
	return &Ring[T]{
		name:     name,
		policy:   policy,
		buf:      make([]T, capacity),
		notEmpty: make(chan struct{}, 1),
		notFull:  make(chan struct{}, 1),
		done:     make(chan struct{}),
	}
}

// Put adds v according to the ring's policy. With Block it waits until there is room,
// the context is done, or the ring is closed.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	for {
		err := r.put(v)
		if _, full := err.(*FullError); !full || r.policy != Block {
			return err
		}
		select {
		case <-r.notFull:
		case <-r.done:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Offer adds v without waiting. If the ring is full, Block acts like Refuse and returns a FullError.
func (r *Ring[T]) Offer(v T) error {
	err := r.put(v)
	if _, full := err.(*FullError); full && r.policy == Block {
		r.mu.Lock()
		r.refused++
		r.mu.Unlock()
	}
	return err
}

func (r *Ring[T]) put(v T) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return &ClosedError{Ring: r.name}
	}
	if r.depth == len(r.buf) {
		switch r.policy {
		case ReplaceOldest:
			r.pop()
			r.replaced++
		case Refuse:
			r.refused++
			return &FullError{Ring: r.name, Capacity: len(r.buf)}
		case Block:
			return &FullError{Ring: r.name, Capacity: len(r.buf)}
		}
	}
	r.buf[(r.head+r.depth)%len(r.buf)] = v
	r.depth++
	r.puts++
	r.highWater = max(r.highWater, r.depth)
	notify(r.notEmpty)
	if r.depth < len(r.buf) {
		notify(r.notFull)
	}
	return nil
}

// Get removes and returns the oldest item, and waits for one if the ring is empty. Items that were
// added before Close are still returned; after the last one Get returns a ClosedError.
func (r *Ring[T]) Get(ctx context.Context) (T, error) {
	for {
		v, ok := r.TryGet()
		if ok {
			return v, nil
		}
		select {
		case <-r.notEmpty:
		case <-r.done:
			if v, ok := r.TryGet(); ok {
				return v, nil
			}
			return v, &ClosedError{Ring: r.name}
		case <-ctx.Done():
			return v, ctx.Err()
		}
	}
}

// TryGet removes and returns the oldest item without waiting. It returns false if the ring is empty.
func (r *Ring[T]) TryGet() (T, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.depth == 0 {
		var zero T
		return zero, false
	}
	v := r.pop()
	if r.depth > 0 {
		notify(r.notEmpty)
	}
	notify(r.notFull)
	return v, true
}

// Ready returns a channel that holds a token when the ring may hold an item. A consumer that
// receives the token must call TryGet; the ring can be empty nevertheless.
func (r *Ring[T]) Ready() <-chan struct{} { return r.notEmpty }

// Done returns a channel that is closed by Close.
func (r *Ring[T]) Done() <-chan struct{} { return r.done }

// Close makes Put and Offer fail and wakes every waiting goroutine. Items in the ring stay.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.closed = true
		close(r.done)
	}
}

// Stats returns the current counters.
func (r *Ring[T]) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Stats{
		Name: r.name, Capacity: len(r.buf), Depth: r.depth, HighWater: r.highWater,
		Puts: r.puts, Refused: r.refused, Replaced: r.replaced,
	}
}

// pop removes the oldest item; the caller holds mu and has checked that depth > 0.
func (r *Ring[T]) pop() T {
	var zero T
	v := r.buf[r.head]
	r.buf[r.head] = zero
	r.head = (r.head + 1) % len(r.buf)
	r.depth--
	return v
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
