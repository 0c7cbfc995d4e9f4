package schedule

import (
	"math"
	"time"

	"briaryard/internal/model"
)

// serviceStats aggregates the servers of a service.
type serviceStats struct {
	// slots is the number of slots of all usable servers that can be in use.
	slots int
	// unlimitedSlots is the number of slots of usable servers without a named limit.
	unlimitedSlots int
	// limited is the number of usable servers with a named limit.
	limited int
	// prefill, decode and plain are the mean times per prompt token, event and plain answer.
	prefill, decode, plain time.Duration
	// minPrefill and minDecode are the shortest times of any server.
	minPrefill, minDecode time.Duration
}

// maxStatsAge is the age up to which the statistics of a service are reused. They change with every
// answer and are read several times in every decision; a tenth of the shortest latency objective is
// recent enough.
const maxStatsAge = 10 * time.Millisecond

// currentStats returns the statistics of the service, at most maxStatsAge old.
func (v *service) currentStats(now time.Time) *serviceStats {
	if age := now.Sub(v.statsTime); age >= 0 && age < maxStatsAge {
		return &v.stats
	}
	v.statsTime = now
	stats := serviceStats{minPrefill: defaultPrefill, minDecode: defaultDecode}
	slots := 0.0
	for i, b := range v.servers {
		if b.usable(now) && !b.limited {
			slots += b.effectiveSlots(now, v.meanRequestTime())
			if b.isLimited(now) {
				stats.limited++
			} else {
				stats.unlimitedSlots += b.slots()
			}
		}
		if i == 0 || b.prefill < stats.minPrefill {
			stats.minPrefill = b.prefill
		}
		if i == 0 || b.decode < stats.minDecode {
			stats.minDecode = b.decode
		}
	}
	stats.slots = int(math.Ceil(slots))
	stats.prefill = v.mean(func(b *server) time.Duration { return b.prefill }, defaultPrefill)
	stats.decode = v.mean(func(b *server) time.Duration { return b.decode }, defaultDecode)
	stats.plain = v.mean(func(b *server) time.Duration { return b.plain }, defaultPlain)
	v.stats = stats
	return &v.stats
}

// mean returns the mean of a value over the servers of the service, or the fallback without servers.
func (v *service) mean(value func(*server) time.Duration, fallback time.Duration) time.Duration {
	if len(v.servers) == 0 {
		return fallback
	}
	var sum time.Duration
	for _, b := range v.servers {
		sum += value(b)
	}
	return sum / time.Duration(len(v.servers))
}

// maxDecodeRatio limits the ratio between an estimated time per event and the mean.
const maxDecodeRatio = 3

// estimateDecode sets the time per event of a server that has not finished an answer yet from its time
// per prompt token: an engine with slow prefill decodes as slowly, and the first answer to show it may
// take ten seconds.
func (v *service) estimateDecode(b *server) {
	if b.engine == nil || b.decodeSamples > 0 {
		return
	}
	var prefill, decode, sampled time.Duration
	for _, o := range v.servers {
		prefill += o.prefill
		if o.decodeSamples > 0 {
			decode += o.decode
			sampled++
		}
	}
	mean := defaultDecode
	if sampled > 0 {
		mean = decode / sampled
	}
	ratio := float64(b.prefill) * float64(len(v.servers)) / float64(max(prefill, 1))
	b.decode = time.Duration(float64(mean) * min(max(ratio, 1.0/maxDecodeRatio), maxDecodeRatio))
}

// waitDeadline returns the time at which a waiting request is denied. A caller that waits longer has
// no time left for a retry.
func waitDeadline(w *Request) time.Time {
	if len(w.Tried) > 0 {
		// The caller already has a response in progress and does not retry.
		return w.StartDeadline
	}
	deadline := w.Arrived.Add(time.Duration(maxQueueShare * float64(w.Deadline.Sub(w.Arrived))))
	if deadline.Before(w.StartTarget) {
		deadline = w.StartTarget
	}
	if w.StartDeadline.Before(deadline) {
		return w.StartDeadline
	}
	return deadline
}

// estimateFirstEvent estimates the shortest time from the grant of a request to its first event: that
// of the fastest server without other prompts.
func (v *service) estimateFirstEvent(now time.Time, w *Request) time.Duration {
	if v.engine == nil {
		return 0
	}
	return firstEventBase + time.Duration(w.Prompt)*v.currentStats(now).minPrefill
}

const (
	// likelyPlain is the share of plain answers that take no longer than a waiting request allows for. Their
	// slowest tenth takes several times as long, so that a share at its edge (0.9) follows either part by chance.
	likelyPlain = 0.95
	// likelyStream is the same share for the first events of streams, whose times vary less once their
	// prompts are known.
	likelyStream = 0.8
)

// ratioUnit stands for a ratio of 1 in the distribution of ratios.
const ratioUnit = 100 * time.Millisecond

// recordFirstEventRatio records how the time to a first event compares with the expected one.
func (v *service) recordFirstEventRatio(w *grantedWork, took time.Duration) {
	if v.engine != nil && !w.Started && w.expectedFirst > 0 {
		v.firstEventRatios.add(time.Duration(float64(ratioUnit) * float64(took) / float64(w.expectedFirst)))
	}
}

// likelyFirstEvent returns a time to the first event, or for plain services to the answer, that most requests
// do not exceed.
func (v *service) likelyFirstEvent(now time.Time, w *Request) time.Duration {
	if v.engine == nil {
		return v.answerTimes.quantile(likelyPlain, v.currentStats(now).plain)
	}
	ratio := v.firstEventRatios.quantile(likelyStream, ratioUnit)
	return time.Duration(float64(v.estimateFirstEvent(now, w)) * max(float64(ratio)/float64(ratioUnit), 1))
}

// estimateWork estimates the time that a request takes on an average server of the service.
func (v *service) estimateWork(now time.Time, w *Request) time.Duration {
	stats := v.currentStats(now)
	if v.engine == nil {
		return stats.plain
	}
	events, _ := v.estimateEvents(w)
	return firstEventBase + time.Duration(w.Prompt)*stats.prefill + time.Duration(events*float64(stats.decode))
}

// estimateEvents estimates the number of events of an answer: the expected one, and likely, which most
// answers do not exceed. Neither exceeds the limit on output tokens.
func (v *service) estimateEvents(w *Request) (events, likely float64) {
	perEvent := defaultTokensPerEvent
	if v.engine != nil && v.engine.EventTokens > 0 {
		perEvent = v.engine.EventTokens
	}
	maxEvents := float64(w.Output) / float64(perEvent)
	if w.Expected <= 0 {
		return maxEvents, maxEvents
	}
	events = float64(w.Expected) / float64(perEvent)
	if w.Output <= 0 {
		return events, likelyMargin * events
	}
	return min(events, maxEvents), min(likelyMargin*events, maxEvents)
}

// workAhead returns the expected work that goes before a request: that of the waiting requests and of the
// appointments that are due before these are done.
func (s *Scheduler) workAhead(now time.Time, v *service, q *queuedRequest) time.Duration {
	var ahead time.Duration
	for _, r := range v.ranks {
		switch {
		case r.number < q.Rank:
			ahead += r.work
		case r.number == q.Rank:
			ahead += r.ahead(q)
		}
	}
	if u, any := v.rank(q.Rank).underservedSizes(); any && u.has(q) {
		// Sizes that fall behind go before the others, and are not refused for the appointments of smaller ones.
		return ahead
	}
	return ahead + s.bookedAhead(now, v, q.Rank, now.Add(min(ahead/s.usableSlots(now, v), q.StartDeadline.Sub(now))))
}

// canStart reports whether the work ahead of a request is expected to be done before the request
// expires.
func (s *Scheduler) canStart(now time.Time, v *service, q *queuedRequest) bool {
	return s.workAhead(now, v, q)/s.usableSlots(now, v) <= time.Duration(queueMargin*float64(q.StartDeadline.Sub(now))) || s.canStartGuarded(now, v, q)
}

// startsLate reports whether a request is expected to start so late that its answer is not on time.
func (s *Scheduler) startsLate(now time.Time, v *service, q *queuedRequest) bool {
	return q.late || now.Add(s.workAhead(now, v, q)/s.usableSlots(now, v)+q.likelyFirst).After(q.StartTarget)
}

// drainTime estimates the time to work off the current queue, after which a denied caller finds room.
func (s *Scheduler) drainTime(now time.Time, v *service) time.Duration {
	var sum time.Duration
	for _, r := range v.ranks {
		sum += r.work
	}
	return sum / s.usableSlots(now, v)
}

// usableSlots returns the number of slots of the service that this scheduler may use, at least 1, as a
// divisor of durations.
func (s *Scheduler) usableSlots(now time.Time, v *service) time.Duration {
	if v.partitioned {
		return time.Duration(max(v.currentStats(now).slots, 1))
	}
	return time.Duration(max(int(float64(v.currentStats(now).slots)*s.options.Share), 1))
}

// jitter varies a delay by a quarter in both directions, so that callers who are denied together do
// not retry together.
func jitter(id model.RequestID, d time.Duration) time.Duration {
	const steps = 64
	return d * time.Duration(3*steps/4+id.Seq*29%steps/2) / steps
}
