package ring

// Outbox sends to another duty's ring without blocking the sender. Two duties that send to
// each other would deadlock if both directions blocked, so answers go through an outbox: items
// that find the ring full are queued here, in order, until Flush.
//
// An outbox belongs to one duty and is not safe for concurrent use. Its length is bounded by
// the work that the duty has in progress.
type Outbox[T any] struct {
	send    func(T) error
	pending []T
}

// NewOutbox returns an outbox in front of a non-blocking send function.
func NewOutbox[T any](send func(T) error) *Outbox[T] { return &Outbox[T]{send: send} }

// Send sends v, or queues it if earlier items are pending or the ring is full.
func (o *Outbox[T]) Send(v T) {
	if len(o.pending) > 0 || o.sendWouldBlock(v) {
		o.pending = append(o.pending, v)
	}
}

// Flush sends pending items until none is left or the ring is full. The owner calls it when it
// handles a message and on each tick.
func (o *Outbox[T]) Flush() {
	for len(o.pending) > 0 && !o.sendWouldBlock(o.pending[0]) {
		o.pending = o.pending[1:]
	}
}

// Pending returns the number of queued items.
func (o *Outbox[T]) Pending() int { return len(o.pending) }

// sendWouldBlock tries to send. Items for a closed ring are dropped.
func (o *Outbox[T]) sendWouldBlock(v T) bool {
	_, full := o.send(v).(*FullError)
	return full
}
