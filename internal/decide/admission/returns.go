package admission

import "time"

const (
	// maxReturns limits the refused requests that are remembered, at about 50 bytes each.
	maxReturns = 8192
	// returnWithin is how long a refused request is remembered. Callers return within a third of the time that
	// they have left, which is below 30 s.
	returnWithin = 10 * time.Second
)

// Returns remembers the latest refused requests by a fingerprint, so that a caller which returns is not counted as
// new demand. The zero value is ready for use.
type Returns struct {
	refused map[uint64]time.Time
	// order holds the fingerprints in the order of their refusal, as a ring of maxReturns once it is full.
	order []uint64
	next  int
}

// Refused remembers a refused request.
func (r *Returns) Refused(now time.Time, fingerprint uint64) {
	if r.refused == nil {
		r.refused = make(map[uint64]time.Time)
	}
	if len(r.order) < maxReturns {
		r.order = append(r.order, fingerprint)
	} else {
		delete(r.refused, r.order[r.next])
		r.order[r.next] = fingerprint
		r.next = (r.next + 1) % maxReturns
	}
	r.refused[fingerprint] = now
}

// Returned reports whether a request was refused a short time ago, and forgets it.
func (r *Returns) Returned(now time.Time, fingerprint uint64) bool {
	at, ok := r.refused[fingerprint]
	delete(r.refused, fingerprint)
	return ok && now.Sub(at) < returnWithin
}
