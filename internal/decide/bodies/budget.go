package bodies

import (
	"time"
)

const (
	// smallBytes is the largest body that may use the whole budget. Large bodies leave a part of it free, so
	// that a few of them do not shut out the many small ones.
	smallBytes = 64 << 10
	// urgentShare and otherShare are the shares of the budget that large bodies may use, for requests of the
	// most urgent rank and for all others.
	urgentShare, otherShare = 0.9, 0.7
	// rateWindow is the time over which released bytes are counted.
	rateWindow = 2 * time.Second
	// minRetryAfter, maxRetryAfter and unknownRetryAfter bound the time after which a refused request
	// should come again; the last applies while nothing has been released.
	minRetryAfter, maxRetryAfter, unknownRetryAfter = 100 * time.Millisecond, 5 * time.Second, time.Second
)

// Request asks for more bytes for a body.
type Request struct {
	// Bytes are asked for now, Held are reserved for the body already.
	Bytes, Held int64
	// Urgent is set if the request has the most urgent rank of the configuration.
	Urgent bool
}

// Budget shares the memory for bodies.
type Budget struct {
	total, used int64
	// released counts the bytes that came free since windowStart, and before those of the window before.
	windowStart      time.Time
	released, before int64
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(total int64) *Budget { return &Budget{total: total} }

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 { return b.used }

// Total returns the size of the budget in bytes.
func (b *Budget) Total() int64 { return b.total }

// Reserve reserves bytes, or returns false and the time after which the caller should come again.
func (b *Budget) Reserve(now time.Time, r Request) (bool, time.Duration) {
	limit := b.limit(&r)
	if b.used+r.Bytes <= limit {
		b.used += r.Bytes
		return true, 0
	}
	return false, b.retryAfter(now, b.used+r.Bytes-limit)
}

// limit returns the number of bytes up to which a body may fill the budget.
func (b *Budget) limit(r *Request) int64 {
	switch {
	case r.Held+r.Bytes <= smallBytes:
		return b.total
	case r.Urgent:
		return int64(urgentShare * float64(b.total))
	}
	return int64(otherShare * float64(b.total))
}

// Release returns reserved bytes.
func (b *Budget) Release(now time.Time, bytes int64) {
	b.roll(now)
	b.used -= bytes
	b.released += bytes
}

// roll begins a new window if the current one is over.
func (b *Budget) roll(now time.Time) {
	switch age := now.Sub(b.windowStart); {
	case age < rateWindow:
		return
	case age < 2*rateWindow:
		b.before = b.released
	default:
		b.before = 0
	}
	b.windowStart, b.released = now, 0
}

// retryAfter returns the time in which a number of bytes will come free at the rate of the last windows.
func (b *Budget) retryAfter(now time.Time, missing int64) time.Duration {
	b.roll(now)
	elapsed, bytes := now.Sub(b.windowStart), b.released
	if b.before > 0 {
		elapsed, bytes = elapsed+rateWindow, bytes+b.before
	}
	if bytes == 0 {
		return unknownRetryAfter
	}
	wait := time.Duration(float64(missing) / float64(bytes) * float64(max(elapsed, minRetryAfter)))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
