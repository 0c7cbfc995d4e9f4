package hedge

import "time"

// Times are learned times from sending a call to its first answer.
type Times struct {
	// Slow is the time after which a call counts as slow, and Typical the median of the last minutes. Both are
	// zero if they are not known.
	Slow, Typical time.Duration
}

// DueAt returns when a call that is sent now counts as slow. It returns false if the times are not known, or
// if a second call could not be answered before the deadline any more.
func DueAt(sent time.Time, t Times, deadline time.Time) (time.Time, bool) {
	if t.Slow <= 0 {
		return time.Time{}, false
	}
	at := sent.Add(t.Slow)
	return at, Helps(at, t.Typical, deadline)
}

// Helps reports whether a second call that is sent now is expected to be answered before the deadline.
func Helps(now time.Time, typical time.Duration, deadline time.Time) bool {
	return !now.Add(typical).After(deadline)
}
