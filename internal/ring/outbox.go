package ring

// Outbox sends to another duty's ring without ever blocking the sender. Two duties that
// send to each other would deadlock if both directions blocked, so answers go through an
// outbox: what the receiver has no room for waits here, in order, until Flush.
//
// An outbox belongs to one duty. Its length is bounded by what the duty has in progress.
type Outbox[T any] struct {
	send    func(T) error
	pending []T
}

// NewOutbox returns an outbox in front of a non-blocking send function.
func NewOutbox[T any](send func(T) error) *Outbox[T] { return &Outbox[T]{send: send} }

// Send sends v after everything that is pending.
func (o *Outbox[T]) Send(v T) {
	if len(o.pending) > 0 || o.full(v) {
		o.pending = append(o.pending, v)
	}
}

// Flush sends what is pending as far as there is room. The owner calls it when it handles
// a message and on its tick.
func (o *Outbox[T]) Flush() {
	for len(o.pending) > 0 && !o.full(o.pending[0]) {
		o.pending = o.pending[1:]
	}
}

// Pending returns the number of items that wait.
func (o *Outbox[T]) Pending() int { return len(o.pending) }

// full tries to send. Items for a closed ring are dropped.
func (o *Outbox[T]) full(v T) bool {
	_, full := o.send(v).(*FullError)
	return full
}
