package dispatcher

import (
	"errors"
	"slices"

	"briaryard/internal/fault"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
)

// outboxCapacity bounds the messages queued for one instance. It exceeds the number of waiting
// and outstanding requests that an instance has in a pool at the design size.
const outboxCapacity = 8192

// outbox queues, in order, the decisions and requests for state that could not be sent to an
// instance. If a grant were lost, it would count as outstanding; if an eviction were lost, its
// request would keep waiting. The order matters because a request for state names the last
// grant before it.
type outbox struct {
	send    func(to model.InstanceID, body any) error
	pending map[model.InstanceID][]any
}

func newOutbox(send func(to model.InstanceID, body any) error) *outbox {
	return &outbox{send: send, pending: make(map[model.InstanceID][]any)}
}

// put sends a message, or queues it behind those already queued for the instance. It returns
// false when the message is lost: the queue is full, or sending failed permanently. A request
// for the state of a pool replaces an earlier queued one for the same pool.
func (o *outbox) put(to model.InstanceID, m any) bool {
	if r, ok := m.(port.StateRequest); ok {
		o.setPending(to, slices.DeleteFunc(o.pending[to], func(w any) bool {
			earlier, same := w.(port.StateRequest)
			return same && earlier.Pool == r.Pool
		}))
	}
	waiting := o.pending[to]
	if len(waiting) == 0 {
		err := o.send(to, m)
		if !retryable(err) {
			return err == nil
		}
	}
	if len(waiting) >= outboxCapacity {
		return false
	}
	o.pending[to] = append(waiting, m)
	return true
}

// flush sends queued messages until a send fails with a retryable error.
func (o *outbox) flush() {
	for to, waiting := range o.pending {
		for len(waiting) > 0 && !retryable(o.send(to, waiting[0])) {
			waiting = waiting[1:]
		}
		o.setPending(to, waiting)
	}
}

// setPending replaces the messages queued for an instance.
func (o *outbox) setPending(to model.InstanceID, waiting []any) {
	if len(waiting) == 0 {
		delete(o.pending, to)
		return
	}
	o.pending[to] = waiting
}

// drop discards the messages queued for an instance that has been removed or replaced.
func (o *outbox) drop(to model.InstanceID) { delete(o.pending, to) }

// retryable reports whether a later attempt may succeed: the ring is full, or there is no
// connection yet.
func retryable(err error) bool {
	var full *ring.FullError
	var unreachable *fault.PeerUnreachable
	return errors.As(err, &full) || errors.As(err, &unreachable)
}
