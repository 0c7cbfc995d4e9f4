package relay

import (
	"time"

	"briaryard/internal/model"
)

const (
	// holdFor is how long a request waits for the first configuration of an instance that has just
	// started. After a loss of the whole fleet the control group needs about as long; a caller that
	// is refused then has used up its try.
	holdFor = 1200 * time.Millisecond
	// holdShare is the most of its time that a request waits so.
	holdShare = 0.3
	// holdLimit bounds the requests that wait.
	holdLimit = 500
)

// Held are the requests that arrived before the first configuration, in the order of arrival.
type Held struct{ list []held }

type held struct {
	id      model.RequestID
	arrived time.Time
	until   time.Time
}

// Add holds a request that arrived now and waits for a time at most; zero means that it names none.
// It reports false if there is no room.
func (h *Held) Add(now time.Time, id model.RequestID, timeout time.Duration) bool {
	if len(h.list) >= holdLimit {
		return false
	}
	wait := holdFor
	if timeout > 0 {
		wait = min(wait, time.Duration(holdShare*float64(timeout)))
	}
	h.list = append(h.list, held{id: id, arrived: now, until: now.Add(wait)})
	return true
}

// Len returns the number of held requests.
func (h *Held) Len() int { return len(h.list) }

// Release takes the requests whose wait is over, or all of them, with their times of arrival.
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

// Remove takes out a request whose caller has left.
func (h *Held) Remove(id model.RequestID) bool {
	for i, r := range h.list {
		if r.id == id {
			h.list = append(h.list[:i], h.list[i+1:]...)
			return true
		}
	}
	return false
}
