package dispatcher

import (
	"errors"
	"slices"

	"briaryard/internal/fault"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
)

// outboxCapacity bounds the decisions that wait for one instance. It exceeds the waiting
// and outstanding requests that an instance has in a pool at the design size.
const outboxCapacity = 8192

// outbox keeps the decisions and requests for state that could not be queued for an instance,
// in order. A lost grant would count as outstanding, and a lost eviction would leave its
// request waiting. A request for state names the last grant before it.
type outbox struct {
	send    func(to model.InstanceID, body any) error
	pending map[model.InstanceID][]any
}

func newOutbox(send func(to model.InstanceID, body any) error) *outbox {
	return &outbox{send: send, pending: make(map[model.InstanceID][]any)}
}

// put sends a message after everything that waits for the instance. It reports false when
// the message is lost: there is no room, or it can never be sent. Of the requests for the
// state of a pool only the last one waits.
func (o *outbox) put(to model.InstanceID, m any) bool {
	waiting := o.pending[to]
	if r, ok := m.(port.StateRequest); ok {
		waiting = slices.DeleteFunc(waiting, func(w any) bool {
			earlier, same := w.(port.StateRequest)
			return same && earlier.Pool == r.Pool
		})
	}
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
