package relay

import (
	"time"

	"briaryard/internal/model"
)

const (
	// maxHoldTime is how long a request waits for the first configuration of an instance that has
	// just started. After a loss of the whole fleet the control group needs about this long; a
	// caller that is refused in that time has used up its attempt.
	maxHoldTime = 1200 * time.Millisecond
	// maxHoldShare is the largest share of its caller's timeout for which a request is held.
	maxHoldShare = 0.3
	// maxHeldRequests bounds the number of held requests.
	maxHeldRequests = 500
)

// Held holds the requests that arrived before the first configuration, in order of arrival.
type Held struct{ list []heldRequest }

// heldRequest is a request that waits for the first configuration until a time limit.
type heldRequest struct {
	id      model.RequestID
	arrived time.Time
	until   time.Time
}

// Add holds a request that arrived now. Its hold time is bounded by a share of its timeout; a zero
// timeout means that the caller states none. Add returns false if maxHeldRequests are held already.
func (h *Held) Add(now time.Time, id model.RequestID, timeout time.Duration) bool {
	if len(h.list) >= maxHeldRequests {
		return false
	}
	wait := maxHoldTime
	if timeout > 0 {
		wait = min(wait, time.Duration(maxHoldShare*float64(timeout)))
	}
	h.list = append(h.list, heldRequest{id: id, arrived: now, until: now.Add(wait)})
	return true
}

// Len returns the number of held requests.
func (h *Held) Len() int { return len(h.list) }

// Release removes the requests whose hold time is over, or all of them, and passes each with its
// time of arrival to take.
func (h *Held) Release(now time.Time, all bool, take func(id model.RequestID, arrived time.Time)) {
	kept := h.list[:0]
	for _, r := range h.list {
		if all || !now.Before(r.until) {
			take(r.id, r.arrived)
		} else {
			kept = append(kept, r)
		}
	}
	h.list = kept
}

// Remove removes a request whose caller has disconnected. It reports whether the request was held.
func (h *Held) Remove(id model.RequestID) bool {
	for i, r := range h.list {
		if r.id == id {
			h.list = append(h.list[:i], h.list[i+1:]...)
			return true
		}
	}
	return false
}
