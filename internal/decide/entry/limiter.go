package entry

import (
	"time"

	"briaryard/internal/fault"
	"briaryard/internal/model"
)

// bucket is a token bucket in which each request costs one token.
type bucket struct {
	tokens float64
	at     time.Time
	// fullAt is when the bucket is full again.
	fullAt time.Time
}

// takeToken refills the bucket and takes one token. If none is left, it returns the time
// until the next one.
func (b *bucket) takeToken(now time.Time, rate float64, burst int) (time.Duration, bool) {
	size := float64(max(burst, 1))
	if b.at.IsZero() {
		b.tokens = size
	} else {
		b.tokens = min(size, b.tokens+now.Sub(b.at).Seconds()*rate)
	}
	b.at = now
	taken := b.tokens >= 1
	if taken {
		b.tokens--
	}
	b.fullAt = now.Add(time.Duration(min((size-b.tokens)/rate, maxRefill.Seconds()) * float64(time.Second)))
	if taken {
		return 0, true
	}
	return time.Duration((1 - b.tokens) / rate * float64(time.Second)), false
}

// callerKey identifies a caller within its team.
type callerKey struct {
	team   model.TeamID
	caller model.CallerID
}

// usage holds the token bucket and the requests in progress of one team or caller at this
// instance.
type usage struct {
	bucket     bucket
	inProgress int
}

// limiter enforces the declared rate and concurrency limits of teams and callers.
type limiter struct {
	teams   map[model.TeamID]*usage
	callers map[callerKey]*usage
}

const (
	// idleCallerAge is how long the bucket of an idle caller is kept at least.
	idleCallerAge = time.Minute
	// maxRefill bounds the time for which a bucket is kept until it is full again, and with it the
	// memory that callers with invented names take up.
	maxRefill = time.Hour
)

func newLimiter() limiter {
	return limiter{teams: make(map[model.TeamID]*usage), callers: make(map[callerKey]*usage)}
}

// usageOf returns the usage of the team and of the caller, creating either if it is missing.
func (l *limiter) usageOf(team model.TeamID, caller model.CallerID) (*usage, *usage) {
	t := l.teams[team]
	if t == nil {
		t = &usage{}
		l.teams[team] = t
	}
	key := callerKey{team, caller}
	c := l.callers[key]
	if c == nil {
		c = &usage{}
		l.callers[key] = c
	}
	return t, c
}

// begin counts a request as in progress; end reverses it.
func (l *limiter) begin(team model.TeamID, caller model.CallerID) {
	t, c := l.usageOf(team, caller)
	t.inProgress++
	c.inProgress++
}

func (l *limiter) end(team model.TeamID, caller model.CallerID) {
	t, c := l.usageOf(team, caller)
	t.inProgress--
	c.inProgress--
	if c.inProgress <= 0 && c.bucket.at.IsZero() {
		delete(l.callers, callerKey{team, caller})
	}
}

// check returns a fault if a request exceeds a limit of its team or caller. The request is
// already counted as in progress. The caller's limits are checked first, so that one caller's
// retries do not use up the team's rate.
func (l *limiter) check(now time.Time, team *model.Team, caller model.CallerID) fault.Fault {
	t, c := l.usageOf(team.ID, caller)
	if team.CallerConcurrency > 0 && c.inProgress > team.CallerConcurrency {
		return &fault.ConcurrencyLimited{Team: team.ID, Limit: team.CallerConcurrency}
	}
	if team.Concurrency > 0 && t.inProgress > team.Concurrency {
		return &fault.ConcurrencyLimited{Team: team.ID, Limit: team.Concurrency}
	}
	if team.CallerRatePerSecond > 0 {
		if after, ok := c.bucket.takeToken(now, team.CallerRatePerSecond, team.Burst); !ok {
			return &fault.RateLimited{Team: team.ID, After: after}
		}
	}
	if team.RatePerSecond > 0 {
		if after, ok := t.bucket.takeToken(now, team.RatePerSecond, team.Burst); !ok {
			return &fault.RateLimited{Team: team.ID, After: after}
		}
	}
	return nil
}

// expire drops idle callers whose buckets are full again, which bounds the memory use when callers
// invent new names. Dropped earlier, a bucket would be full at the caller's next request.
func (l *limiter) expire(now time.Time) {
	for key, c := range l.callers {
		if c.inProgress <= 0 && now.Sub(c.bucket.at) > idleCallerAge && !now.Before(c.bucket.fullAt) {
			delete(l.callers, key)
		}
	}
}
