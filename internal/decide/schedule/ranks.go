package schedule

import "time"

// A rank whose work is small is refused altogether for as long as more urgent work fills the servers. Its
// served share is therefore compared with that of all requests of the service. A rank that falls behind
// gets a few slots ahead of the others until it has caught up.

const (
	// minRankRatio is the ratio of the served share of a rank to that of all requests below which the rank
	// is underserved. Callers are promised a quarter; a grant may still fail, and denials that instances
	// repeat are not counted here.
	minRankRatio = 0.35
	// guardShare is the share of the slots of a service that an underserved rank may use ahead of more
	// urgent ones. It bounds what those lose to a rank of long answers.
	guardShare = 0.06
	// minRankArrivals is the number of arrivals of a rank below which its share is not known.
	minRankArrivals = 20
)

// recordArrival counts an arrival of a rank.
func (v *service) recordArrival(r *rank) {
	for _, t := range []*tally{&v.tally, &r.tally} {
		t.decay()
		t.arrived++
	}
}

// recordGrant counts a grant of a rank.
func (v *service) recordGrant(r *rank) {
	v.tally.served++
	r.tally.served++
}

// underserved reports whether a rank is served too seldom in comparison to all requests.
func (v *service) underserved(r *rank) bool {
	return r != v.ranks[0] && r.tally.arrived >= minRankArrivals && r.tally.share() < minRankRatio*v.tally.share()
}

// guardSlots returns the number of slots that an underserved rank may use ahead of more urgent ones.
func guardSlots(total int) int { return max(int(guardShare*float64(total)), 1) }

// canStartGuarded reports whether a request of an underserved rank is expected to get one of the guarded
// slots before it expires.
func (s *Scheduler) canStartGuarded(now time.Time, v *service, q *queuedRequest) bool {
	r := v.rank(q.Rank)
	if !v.underserved(r) {
		return false
	}
	slots := time.Duration(guardSlots(v.currentStats(now).slots))
	return r.ahead(q)/slots <= time.Duration(queueMargin*float64(q.StartDeadline.Sub(now)))
}

// grantUnderserved grants a request of an underserved rank, the most urgent one first, and reports whether
// there was one.
func (s *Scheduler) grantUnderserved(now time.Time, v *service, c *candidates) bool {
	for _, r := range v.ranks {
		if r.len() > 0 && r.running < guardSlots(c.totalSlots) && v.underserved(r) && s.grantFrom(now, v, c, r, func(*queuedRequest) bool { return true }) {
			return true
		}
	}
	return false
}
