package allotment

import (
	"time"

	"briaryard/internal/model"
)

// Tolerance is how far the fleet may exceed a limit.
type Tolerance struct {
	// Overage is a fraction of the limit, and Slack a number of tokens. Both apply to any time span
	// of length Window.
	Overage, Slack float64
	Window         time.Duration
}

const (
	// usedShare is the fraction of the tolerated amount that the fleet admits. The rest covers a
	// change of the dispatcher and instances that decide without one.
	usedShare = 0.9
	// initialFill is the fraction of its capacity that a bucket of a new set starts with, because
	// what the set's predecessor admitted just before is not known.
	initialFill = 0.25
)

// Limits holds a token bucket for each team with a limit.
type Limits struct {
	tolerance Tolerance
	// share is the fraction of each limit that this set may admit.
	share   float64
	buckets map[model.TeamID]*bucket
}

// bucket is the token bucket of a team. One token is one unit of the allotment.
type bucket struct {
	allotment model.Allotment
	// rate is the refill in units per second.
	rate     float64
	capacity float64
	// level may be negative, after a request above the capacity or a charge.
	level    float64
	filledAt time.Time
}

// New returns limits that admit a share, from 0 to 1, of each team's allotment.
func New(t Tolerance, share float64) *Limits {
	return &Limits{tolerance: t, share: share, buckets: make(map[model.TeamID]*bucket)}
}

// Restart lowers every bucket to the level of a new set. It is for a set that takes over from another
// one, because its own buckets have filled up in the meantime.
func (l *Limits) Restart(now time.Time) {
	for _, b := range l.buckets {
		b.fill(now)
		b.level = min(b.level, b.capacity*initialFill)
	}
}

// SetShare changes the share and resizes the buckets to it.
func (l *Limits) SetShare(now time.Time, share float64) {
	if share == l.share {
		return
	}
	l.share = share
	for _, b := range l.buckets {
		l.resize(now, b, b.allotment)
	}
}

// SetTeams applies the teams of a configuration. A bucket keeps its level up to its new capacity, so
// that a lowered limit takes effect at once.
func (l *Limits) SetTeams(now time.Time, teams []model.RoutedTeam) {
	buckets := make(map[model.TeamID]*bucket, len(teams))
	for i := range teams {
		a := teams[i].Allotment
		if a == nil {
			continue
		}
		b := l.buckets[teams[i].ID]
		if b == nil {
			b = &bucket{filledAt: now}
			l.resize(now, b, *a)
			b.level = b.capacity * initialFill
		} else if b.allotment != *a {
			l.resize(now, b, *a)
		}
		buckets[teams[i].ID] = b
	}
	l.buckets = buckets
}

// resize sets the rate and the capacity. Within one window a bucket admits its capacity and its
// refill, which together stay within usedShare of the tolerated amount. The capacity is the burst of
// the allotment plus half the overage on it. The slack goes into the rate, so that a caller at its
// limit is served steadily and not in bursts.
func (l *Limits) resize(now time.Time, b *bucket, a model.Allotment) {
	b.fill(now)
	b.allotment = a
	t := &l.tolerance
	burst := a.Burst * (1 + t.Overage/2)
	rate := a.Rate
	if window := t.Window.Seconds(); window > 0 {
		tolerated := (a.Rate*window + a.Burst) * (1 + t.Overage)
		if a.CountTokens {
			tolerated += t.Slack
		}
		rate = max(rate, (usedShare*tolerated-burst)/window)
	}
	b.rate, b.capacity = rate*l.share, burst*l.share
	b.level = min(b.level, b.capacity)
}

// fill adds the refill since the last call.
func (b *bucket) fill(now time.Time) {
	if d := now.Sub(b.filledAt); d > 0 {
		b.level = min(b.level+b.rate*d.Seconds(), b.capacity)
		b.filledAt = now
	}
}

// Take charges a request with a number of tokens to its team. If the bucket is too low, it charges
// nothing and returns the time until the request can be admitted.
func (l *Limits) Take(now time.Time, team model.TeamID, tokens int) (wait time.Duration, ok bool) {
	b := l.buckets[team]
	if b == nil {
		return 0, true
	}
	b.fill(now)
	cost := b.allotment.Cost(tokens)
	// A request that costs more than the capacity is admitted at a full bucket. Otherwise it would
	// never be admitted.
	if b.level >= min(cost, b.capacity) {
		b.level -= cost
		return 0, true
	}
	if b.rate <= 0 {
		return time.Minute, false
	}
	return time.Duration((min(cost, b.capacity) - b.level) / b.rate * float64(time.Second)), false
}

// Refund returns the charge of a request that has not run.
func (l *Limits) Refund(now time.Time, team model.TeamID, tokens int) {
	if b := l.buckets[team]; b != nil {
		b.fill(now)
		b.level = min(b.level+b.allotment.Cost(tokens), b.capacity)
	}
}

// Charge subtracts what was admitted elsewhere out of this set's share. The level stays at or above
// the negative capacity: a larger debt would refuse callers for requests that left the window long
// ago.
func (l *Limits) Charge(now time.Time, team model.TeamID, tokens int) {
	if b := l.buckets[team]; b != nil {
		b.fill(now)
		b.level = max(b.level-b.allotment.Cost(tokens), -b.capacity)
	}
}

// Level returns the level of a team's bucket and its refill per second, or zeros if the team has no
// limit.
func (l *Limits) Level(team model.TeamID) (level, rate float64) {
	if b := l.buckets[team]; b != nil {
		return b.level, b.rate
	}
	return 0, 0
}
