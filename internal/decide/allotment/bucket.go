package allotment

import (
	"time"

	"briaryard/internal/model"
)

// Tolerance is how far the fleet may exceed a limit.
type Tolerance struct {
	// Overage is a part of the limit, Slack is in tokens. Both hold for any span of Window.
	Overage, Slack float64
	Window         time.Duration
}

const (
	// used is the part of the tolerated amount that the fleet lets through. The rest covers a change
	// of the dispatcher and instances that decide alone.
	used = 0.9
	// startLevel is the part of a bucket that a new set begins with: what its predecessor let
	// through just before is not known.
	startLevel = 0.25
)

// Limits holds a bucket for each team.
type Limits struct {
	tolerance Tolerance
	// share is the part of each limit that this set hands out.
	share   float64
	buckets map[model.TeamID]*bucket
}

type bucket struct {
	allotment model.Allotment
	rate      float64
	capacity  float64
	level     float64
	at        time.Time
}

// New returns limits that hand out a share, from 0 to 1, of each team's allotment.
func New(t Tolerance, share float64) *Limits {
	return &Limits{tolerance: t, share: share, buckets: make(map[model.TeamID]*bucket)}
}

// Restart brings every bucket down to the level of a new set. It is for a set that begins to hand out
// while another one did until now: its own buckets have filled meanwhile.
func (l *Limits) Restart(now time.Time) {
	for _, b := range l.buckets {
		b.fill(now)
		b.level = min(b.level, b.capacity*startLevel)
	}
}

// SetShare changes the share.
func (l *Limits) SetShare(now time.Time, share float64) {
	if share == l.share {
		return
	}
	l.share = share
	for _, b := range l.buckets {
		l.resize(now, b, b.allotment)
	}
}

// SetTeams takes the teams of a configuration. The level of a bucket is kept up to its new
// capacity, so that a lowered limit binds at once.
func (l *Limits) SetTeams(now time.Time, teams []model.RoutedTeam) {
	kept := make(map[model.TeamID]*bucket, len(teams))
	for i := range teams {
		a := teams[i].Allotment
		if a == nil {
			continue
		}
		b := l.buckets[teams[i].ID]
		if b == nil {
			b = &bucket{at: now}
			l.resize(now, b, *a)
			b.level = b.capacity * startLevel
		} else if b.allotment != *a {
			l.resize(now, b, *a)
		}
		kept[teams[i].ID] = b
	}
	l.buckets = kept
}

// resize sets the rate and the capacity. In a span of the window a bucket lets through its capacity
// and what flows in; together they stay within the used part of what is tolerated. The capacity is
// that of the allotment and its overage; the slack goes into the rate, because a caller at its
// limit is served steadily by it and not in bursts.
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
		rate = max(rate, (used*tolerated-burst)/window)
	}
	b.rate, b.capacity = rate*l.share, burst*l.share
	b.level = min(b.level, b.capacity)
}

func (b *bucket) fill(now time.Time) {
	if d := now.Sub(b.at); d > 0 {
		b.level = min(b.level+b.rate*d.Seconds(), b.capacity)
		b.at = now
	}
}

// Take charges a request with a number of tokens. If the limit is reached it charges nothing and
// returns the time until there is room.
func (l *Limits) Take(now time.Time, team model.TeamID, tokens int) (wait time.Duration, ok bool) {
	b := l.buckets[team]
	if b == nil {
		return 0, true
	}
	b.fill(now)
	cost := b.allotment.Cost(tokens)
	// A request above the whole capacity passes when the bucket is full: it would never otherwise.
	if b.level >= min(cost, b.capacity) {
		b.level -= cost
		return 0, true
	}
	if b.rate <= 0 {
		return time.Minute, false
	}
	return time.Duration((min(cost, b.capacity) - b.level) / b.rate * float64(time.Second)), false
}

// Refund gives back what a request was charged that has not run.
func (l *Limits) Refund(now time.Time, team model.TeamID, tokens int) {
	if b := l.buckets[team]; b != nil {
		b.fill(now)
		b.level = min(b.level+b.allotment.Cost(tokens), b.capacity)
	}
}

// Charge takes what was let through elsewhere for this set's share, down to an empty bucket's
// opposite: more would refuse callers for what the window has long left.
func (l *Limits) Charge(now time.Time, team model.TeamID, tokens int) {
	if b := l.buckets[team]; b != nil {
		b.fill(now)
		b.level = max(b.level-b.allotment.Cost(tokens), -b.capacity)
	}
}

// Level returns what is left of a team's bucket and what flows in each second.
func (l *Limits) Level(team model.TeamID) (level, rate float64) {
	if b := l.buckets[team]; b != nil {
		return b.level, b.rate
	}
	return 0, 0
}
