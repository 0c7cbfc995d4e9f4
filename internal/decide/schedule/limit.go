package schedule

import (
	"math"
	"time"

	"briaryard/internal/decide/hold"
	"briaryard/internal/model"
)

const (
	// limitBurst is the time whose requests a server with a limit may get at once, in addition to one.
	limitBurst = 500 * time.Millisecond
	// meanTimeWeight is the weight of a new sample in the mean time of a granted request.
	meanTimeWeight = 0.05
	// limitPatience is how long before its latest start on time a short request stops waiting for a server
	// without a limit.
	limitPatience = 100 * time.Millisecond
	// maxLimitBonus bounds the preference of long requests for servers with a limit.
	maxLimitBonus = 500 * time.Millisecond
	// defaultMeanTime is the mean time before any request has finished.
	defaultMeanTime = 500 * time.Millisecond
)

// rateLimit is the number of requests a second that a server takes from all instances together. The server
// names it in its answers. A scheduler of the whole fleet fills a bucket; those that decide alone, each with a
// share of the limit, take turns, since they do not know of each other: unused turns do not add up.
type rateLimit struct {
	perSecond float64
	by        model.Incarnation
	namedAt   time.Time
	// tokens is the level of the bucket at filledAt.
	tokens   float64
	filledAt time.Time
	// share is the part of the limit that this scheduler may use, and turn its place among the schedulers
	// that share it.
	share float64
	turn  int
	// lastGrant is when a request was last granted.
	lastGrant time.Time
}

// name applies a limit that was named now, and reports whether it is another one than before. A new limit
// begins with an empty bucket, since its server has just got requests without one.
func (l *rateLimit) name(now time.Time, by model.Incarnation, perSecond float64) bool {
	if !l.holds(now, by) {
		*l = rateLimit{by: by, filledAt: now, share: l.share, turn: l.turn}
	}
	l.fill(now)
	changed := l.perSecond != perSecond
	l.perSecond, l.namedAt = perSecond, now
	return changed
}

// end ends the limit of an incarnation, and reports whether there was one.
func (l *rateLimit) end(now time.Time, by model.Incarnation) bool {
	held := l.holds(now, by)
	if held {
		l.perSecond = 0
	}
	return held
}

// holds reports whether the limit applies to an incarnation now.
func (l *rateLimit) holds(now time.Time, incarnation model.Incarnation) bool {
	return l.perSecond > 0 && l.by == incarnation && now.Sub(l.namedAt) < hold.LimitTTL(l.perSecond)
}

// fill adds the tokens of the time that has passed.
func (l *rateLimit) fill(now time.Time) {
	if passed := now.Sub(l.filledAt); passed > 0 {
		l.tokens = min(l.tokens+l.rate()*passed.Seconds(), l.capacity())
	}
	l.filledAt = now
}

func (l *rateLimit) capacity() float64 { return 1 + l.rate()*limitBurst.Seconds() }

// rate returns the requests a second that this scheduler may grant.
func (l *rateLimit) rate() float64 { return l.perSecond * l.share }

// available returns how many requests may be granted now.
func (l *rateLimit) available(now time.Time) int {
	if l.share <= 0 {
		return 0
	}
	if l.takesTurns() {
		if began, ok := l.currentTurn(now); !ok || !l.lastGrant.Before(began) {
			return 0
		}
		return 1
	}
	l.fill(now)
	return int(l.tokens)
}

// isFull reports whether the next token would be lost.
func (l *rateLimit) isFull(now time.Time) bool {
	if l.takesTurns() {
		return false
	}
	l.fill(now)
	return l.tokens >= l.capacity()
}

// minBucketShare is the share from which a scheduler uses a bucket: the dispatcher of the fleet, which may leave
// a part of the limit to lost instances, or an instance with most of a server's slots.
const minBucketShare = 0.5

func (l *rateLimit) takesTurns() bool { return l.share < minBucketShare }

// currentTurn returns when the present turn of this scheduler began, if it has one. Each turn lasts as long
// as the limit allows one request.
func (l *rateLimit) currentTurn(now time.Time) (began time.Time, ok bool) {
	length := time.Duration(float64(time.Second) / l.perSecond)
	schedulers := max(int64(math.Round(1/l.share)), 1)
	turn := now.UnixNano() / int64(length)
	return time.Unix(0, turn*int64(length)), turn%schedulers == int64(l.turn)%schedulers
}

// take records a grant.
func (l *rateLimit) take(now time.Time) {
	if l.perSecond > 0 {
		l.lastGrant = now
		l.tokens--
	}
}

// giveBack takes a grant back whose request was not sent.
func (l *rateLimit) giveBack() {
	if l.perSecond > 0 {
		l.tokens++
	}
}

// isLimited reports whether the server has named a limit that holds now.
func (s *server) isLimited(now time.Time) bool { return s.limit.holds(now, s.record.Incarnation) }

// freeSlots returns how many requests may be granted to the server now.
func (s *server) freeSlots(now time.Time) int {
	free := s.slots() - len(s.granted)
	if free > 0 && s.isLimited(now) {
		free = min(free, s.limit.available(now))
	}
	return free
}

// effectiveSlots returns how many of the server's slots can be in use on average if a request takes
// meanTime.
func (s *server) effectiveSlots(now time.Time, meanTime time.Duration) float64 {
	if !s.isLimited(now) {
		return float64(s.slots())
	}
	return min(float64(s.slots()), s.limit.rate()*meanTime.Seconds())
}

// updateLimitShares sets the share of each named limit that this scheduler may use: for engines whose slots
// are divided among the instances, the share of the slots.
func (s *Scheduler) updateLimitShares(v *service) {
	for _, b := range v.servers {
		switch {
		case b.slotLimited:
			b.limit.share = float64(b.slotLimit) / float64(b.allSlots())
		case s.options.Share < 1:
			b.limit.share = s.options.Share
		default:
			b.limit.share = s.joinedShare
		}
		b.limit.turn = s.partition.index
	}
}

// recordTime updates the mean time of a granted request.
func (v *service) recordTime(took time.Duration) {
	if v.meanTime == 0 {
		v.meanTime = defaultMeanTime
	}
	v.meanTime += time.Duration(float64(took-v.meanTime) * meanTimeWeight)
}

// meanRequestTime returns the mean time of a granted request.
func (v *service) meanRequestTime() time.Duration {
	if v.meanTime == 0 {
		return defaultMeanTime
	}
	return v.meanTime
}

// limitCost returns the cost of granting a request to a server with a limit. Each request uses up as much of
// the limit as any other, so that it is worth most for long ones, which occupy slots elsewhere.
func (v *service) limitCost(now time.Time, q *queuedRequest, b *server) time.Duration {
	if !b.isLimited(now) {
		return 0
	}
	return max(v.meanRequestTime()-q.work, -maxLimitBonus)
}

// leavesLimit reports whether a request leaves the limit of a server to longer ones: it is short, a slot of a
// server without a limit will do, it has time to wait for one, and the limit is not going to be wasted.
func (v *service) leavesLimit(now time.Time, q *queuedRequest, b *server) bool {
	return b.isLimited(now) && q.work < v.meanRequestTime() && v.currentStats(now).unlimitedSlots > 0 &&
		!q.late && now.Add(q.firstEvent+limitPatience).Before(q.StartTarget) && !b.limit.isFull(now)
}

// limitedServers returns the number of usable servers with a limit, as the statistics know it.
func (v *service) limitedServers(now time.Time) int { return v.currentStats(now).limited }
