package consensus

import "time"

const (
	// shortageDelay is how long a group may have too few voters before that is reported: a fleet that
	// starts, or a replaced member, needs some seconds.
	shortageDelay = 10 * time.Second
	// shortageRepeat is the time between two reports of the same shortage.
	shortageRepeat = time.Minute
)

// Shortage detects that a group has had fewer voters than its tolerance of failures needs.
type Shortage struct {
	since, reported time.Time
}

// Observe takes the number of voters and the number that the tolerance needs. It reports whether the
// shortage is to be reported now.
func (s *Shortage) Observe(now time.Time, voters, needed int) bool {
	if voters >= needed {
		*s = Shortage{}
		return false
	}
	if s.since.IsZero() {
		s.since = now
	}
	if now.Sub(s.since) < shortageDelay || !s.reported.IsZero() && now.Sub(s.reported) < shortageRepeat {
		return false
	}
	s.reported = now
	return true
}
