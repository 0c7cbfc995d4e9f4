package schedule

import (
	"time"

	"briaryard/internal/model"
)

const (
	// maxPendingPrompt is the number of prompt tokens that may wait for prefill on an engine: two
	// chunks of continuous batching. More would only move the queue into the engine.
	maxPendingPrompt = 4096
	// maxMemoryShare is the share of an engine's memory that granted requests may need at most, so that
	// none is preempted in the middle of its answer.
	maxMemoryShare = 0.9
	// defaultPrefill and defaultDecode are the times per prompt token and per event before any answer,
	// close to those of current engines.
	defaultPrefill = 40 * time.Microsecond
	defaultDecode  = 25 * time.Millisecond
	// defaultPlain is the time of a plain answer before the first one.
	defaultPlain = 30 * time.Millisecond
	// firstEventBase is the fixed part of the time to a first event.
	firstEventBase = 5 * time.Millisecond
	// sampleWeight is the weight of a new sample in a moving average: a change of speed shows within a
	// few answers.
	sampleWeight = 0.2
	// failurePause is how long a server is granted nothing after a failure before the first event. It
	// doubles with each further failure up to maxFailurePause, because a dead server otherwise looks
	// idle.
	failurePause    = 250 * time.Millisecond
	maxFailurePause = 2 * time.Second
	// fullPause is the pause after a server refused a request that its slots should have taken.
	fullPause = 150 * time.Millisecond
	// failureCost is the cost of a server that fails every call.
	failureCost = 3 * time.Second
	// failureSampleWeight is the weight of a new outcome in a server's share of failures.
	failureSampleWeight = 0.15
	// overdueFactor and overdueBase set when a call without a first event makes its server suspect:
	// after three times the expected time plus a fixed part for the network.
	overdueFactor = 3
	overdueBase   = 300 * time.Millisecond
	// suspectInterval is the time between two checks for overdue calls, a small part of overdueBase.
	suspectInterval = 20 * time.Millisecond
	// crossDomainCost is the cost of a server in another failure domain: the round trip, and the price
	// of the traffic.
	crossDomainCost = 6 * time.Millisecond
)

// server is a backend server of one service, with its granted requests and its learned speed.
type server struct {
	record  model.BackendServer
	engine  *model.EngineLimits
	granted map[model.RequestID]*grantedWork
	// pendingPrompt is the number of prompt tokens of requests without a first event, and memoryTokens
	// the number of tokens that all granted requests may hold in memory.
	pendingPrompt int
	memoryTokens  int
	// prefill is the time per prompt token, decode the time per event, and plain the time per plain
	// answer.
	prefill, decode, plain time.Duration
	// decodeSamples counts the answers that decode was learned from.
	decodeSamples int
	// prefillSamples and plainSamples count those of prefill and plain.
	prefillSamples, plainSamples int
	// failureShare is the moving average of failed calls, from 0 to 1.
	failureShare float64
	// pause is the length of the last failure pause, or zero after progress. The server is not used
	// before pausedUntil.
	pause       time.Duration
	pausedUntil time.Time
	// lastProgress is when an answer last started or finished.
	lastProgress time.Time
	// absent is set if the server was not found at its address, and absentSequence is the sequence of
	// its record at that time.
	absentSequence uint64
	absent         bool
	// leaving is the incarnation of the server that has said in an answer that it leaves, and held the
	// instances that it wants no request of, until a time, as said by the incarnation heldBy.
	leaving model.Incarnation
	held    map[model.InstanceID]time.Time
	heldBy  model.Incarnation
	// limit is the limit that the server has named.
	limit rateLimit
	// suspect is set while a call is overdue.
	suspect bool
	// target is set for the target of a roll-out in progress, limited while it gets only its share, and barred
	// for a server that gets no request because of its version.
	target, limited, barred bool
	// slotLimit is the number of slots that this scheduler may use, if slotLimited.
	slotLimited bool
	slotLimit   int
}

// grantedWork is a granted request of a server. expectedFirst is the expected time to the first event, or
// to the end of an adopted request, expectedRest that from then to the end, and promptAhead the number of prompt tokens that were pending before
// it.
type grantedWork struct {
	Work
	grantedAt     time.Time
	expectedFirst time.Duration
	expectedRest  time.Duration
	promptAhead   int
}

// slots returns the number of requests that may be granted to the server at once.
func (s *server) slots() int {
	if s.slotLimited {
		return s.slotLimit
	}
	return s.allSlots()
}

// allSlots returns the number of requests that the server runs at once, for all schedulers.
func (s *server) allSlots() int {
	if s.engine != nil && s.engine.Slots > 0 && (s.record.Slots <= 0 || s.engine.Slots < s.record.Slots) {
		return s.engine.Slots
	}
	return max(s.record.Slots, 1)
}

// knows reports whether a record says nothing new about a server that is not gone. A record with the same
// sequence may differ in its state, which other instances judge.
func (s *server) knows(r *model.BackendServer) bool {
	return r.State != model.Gone && s.record.State == r.State && s.record.Incarnation == r.Incarnation && s.record.Sequence == r.Sequence
}

// usable reports whether the server may be granted requests at all.
func (s *server) usable(now time.Time) bool {
	return s.record.State == model.Alive && !s.barred && !s.absent && !now.Before(s.pausedUntil) &&
		(s.leaving == 0 || s.leaving != s.record.Incarnation)
}

// hasOverdueCall reports whether a call has had no first event for far longer than expected while the
// server made no other progress.
func (s *server) hasOverdueCall(now time.Time) bool {
	for _, w := range s.granted {
		limit := overdueFactor*w.expectedFirst + overdueBase
		if !w.Started && now.Sub(w.grantedAt) > limit && now.Sub(s.lastProgress) > limit {
			return true
		}
	}
	return false
}

// hasRoom reports whether the server has the slot, the prefill capacity and the memory for a request.
func (s *server) hasRoom(w *Request) bool {
	if len(s.granted) >= s.slots() {
		return false
	}
	if s.engine == nil {
		return true
	}
	if s.pendingPrompt > 0 && s.pendingPrompt+w.Prompt > maxPendingPrompt {
		return false
	}
	return len(s.granted) == 0 || s.engine.MemoryTokens == 0 ||
		float64(s.memoryTokens+w.tokens()) <= maxMemoryShare*float64(s.engine.MemoryTokens)
}

// estimateFirstEvent estimates the time to the first event of a request, or that of a plain answer.
func (s *server) estimateFirstEvent(w *Request) time.Duration {
	if s.engine == nil {
		return s.plain
	}
	return firstEventBase + time.Duration(s.pendingPrompt+w.Prompt)*s.prefill
}

// estimateRest estimates the time from the first event to the end of an answer.
func (s *server) estimateRest(events float64) time.Duration {
	if s.engine == nil {
		return 0
	}
	return time.Duration(events * float64(s.decode))
}

// cost returns the cost of a server for a request: the time to the first event, part of the time of the
// answer, the distance to the server, and its failures.
func (s *server) cost(w *Request, events float64) time.Duration {
	c := s.estimateFirstEvent(w) + time.Duration(s.failureShare*float64(failureCost))
	if s.engine != nil {
		// The time of the answer counts for less than the time to its first event, for which callers wait.
		c += s.estimateRest(events) / 4
	} else {
		c += s.plain * time.Duration(len(s.granted)) / time.Duration(s.slots())
	}
	if s.record.Domain != w.Domain {
		c += crossDomainCost
	}
	return c
}

// addWork adds a granted request.
func (s *server) addWork(now time.Time, w Work, expectedFirst, expectedRest time.Duration) {
	s.granted[w.ID] = &grantedWork{Work: w, grantedAt: now, expectedFirst: expectedFirst, expectedRest: expectedRest, promptAhead: s.pendingPrompt}
	s.memoryTokens += w.Prompt + w.Output
	if !w.Started {
		s.pendingPrompt += w.Prompt
	}
}

// removeWork removes a granted request and returns it, or nil.
func (s *server) removeWork(id model.RequestID) *grantedWork {
	w := s.granted[id]
	if w == nil {
		return nil
	}
	delete(s.granted, id)
	s.memoryTokens -= w.Prompt + w.Output
	if !w.Started {
		s.pendingPrompt -= w.Prompt
	}
	return w
}

// recordFirstEvent records the first event of an answer and updates the time per prompt token.
func (s *server) recordFirstEvent(now time.Time, w *grantedWork, took time.Duration) {
	if w.Started {
		return
	}
	w.Started = true
	s.pendingPrompt -= w.Prompt
	s.lastProgress, s.pause, s.suspect = now, 0, false
	if s.engine != nil && took > firstEventBase && w.Prompt > 0 {
		s.prefill = s.average(s.prefill, (took-firstEventBase)/time.Duration(w.promptAhead+w.Prompt), s.prefillSamples)
		s.prefillSamples++
	}
}

// recordFinished records a complete answer and updates the time per event or per plain answer.
func (s *server) recordFinished(now time.Time, r Report) {
	s.lastProgress, s.pause, s.suspect = now, 0, false
	s.failureShare -= s.failureShare * failureSampleWeight
	if s.engine != nil && r.Events > 1 {
		s.decode = s.average(s.decode, r.Rest/time.Duration(r.Events-1), s.decodeSamples)
		s.decodeSamples++
	}
	if s.engine == nil {
		s.plain = s.average(s.plain, r.First+r.Rest, s.plainSamples)
		s.plainSamples++
	}
}

// recordFailure records a failure. A failure before the first event pauses the server.
func (s *server) recordFailure(now time.Time, started bool) {
	s.failureShare += (1 - s.failureShare) * failureSampleWeight
	if started || now.Before(s.pausedUntil) {
		return
	}
	s.pause = min(max(2*s.pause, failurePause), maxFailurePause)
	s.pausedUntil = now.Add(s.pause)
}

// movingAverage returns the exponential moving average after a sample.
func movingAverage(old, sample time.Duration) time.Duration {
	return old + time.Duration(float64(sample-old)*sampleWeight)
}
