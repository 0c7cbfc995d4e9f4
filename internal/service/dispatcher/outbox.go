package dispatcher

import (
	"errors"

	"briaryard/internal/fault"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
)

// outboxCapacity bounds the decisions that wait for one instance. It exceeds the waiting
// and outstanding requests that an instance has in a pool at the design size.
const outboxCapacity = 8192

// outbox keeps the decisions that could not be queued for an instance, in order. A lost
// grant would count as outstanding, and a lost eviction would leave its request waiting.
type outbox struct {
	send    func(to model.InstanceID, body any) error
	pending map[model.InstanceID][]port.EventMessage
}

func newOutbox(send func(to model.InstanceID, body any) error) *outbox {
	return &outbox{send: send, pending: make(map[model.InstanceID][]port.EventMessage)}
}

// put sends a decision after everything that waits for the instance. It reports false when
// the decision is lost: there is no room, or it can never be sent.
func (o *outbox) put(to model.InstanceID, m port.EventMessage) bool {
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

// flush sends what waits as far as there is room.
func (o *outbox) flush() {
	for to, waiting := range o.pending {
		for len(waiting) > 0 && !retryable(o.send(to, waiting[0])) {
			waiting = waiting[1:]
		}
		if len(waiting) == 0 {
			delete(o.pending, to)
		} else {
			o.pending[to] = waiting
		}
	}
}

// drop forgets the decisions for an instance that is gone.
func (o *outbox) drop(to model.InstanceID) { delete(o.pending, to) }

// retryable reports whether a later attempt may succeed: a full ring or no connection yet.
func retryable(err error) bool {
	var full *ring.FullError
	var unreachable *fault.PeerUnreachable
	return errors.As(err, &full) || errors.As(err, &unreachable)
}
