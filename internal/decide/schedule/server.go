package schedule

import (
	"time"

	"briaryard/internal/model"
)

const (
	// prefillDepth is the number of prompt tokens that may wait for prefill on an engine: two
	// chunks of continuous batching. More would only move the queue into the engine.
	prefillDepth = 4096
	// memoryShare is the part of an engine's memory that granted requests may need at most, so that
	// none is preempted in the middle of its answer.
	memoryShare = 0.9
	// defaultPrefill and defaultDecode are the times for a prompt token and for an event before
	// any answer, near those of current engines.
	defaultPrefill = 40 * time.Microsecond
	defaultDecode  = 25 * time.Millisecond
	// defaultPlain is the time of a plain answer before any.
	defaultPlain = 30 * time.Millisecond
	// firstBase is the fixed part of the time to a first event.
	firstBase = 5 * time.Millisecond
	// learnRate is the weight of a new sample: a change of speed shows within a few answers.
	learnRate = 0.2
	// failurePause is how long a server gets nothing after a failure before the first event. It
	// doubles with each further one up to maxFailurePause, as a dead server otherwise looks idle.
	failurePause    = 250 * time.Millisecond
	maxFailurePause = 2 * time.Second
	// fullPause is the pause after a server refused a request that its slots should have taken.
	fullPause = 150 * time.Millisecond
	// failureWeight is what a server that fails every call costs in the choice.
	failureWeight = 3 * time.Second
	// failureRate is the weight of a new outcome in a server's share of failures.
	failureRate = 0.15
	// overdueFactor and overdueBase tell when a call without an answer makes its server suspect:
	// after three times the expected time and a fixed part for the network.
	overdueFactor = 3
	overdueBase   = 300 * time.Millisecond
	// suspectInterval is the time between two looks for overdue calls, a small part of overdueBase.
	suspectInterval = 20 * time.Millisecond
	// crossing is what a server in another failure domain costs in the choice: the round trip, and
	// the price of the bytes.
	crossing = 6 * time.Millisecond
)

// server is a backend server with what is granted to it.
type server struct {
	record model.BackendServer
	engine *model.EngineLimits
	works  map[model.RequestID]*work
	// pending are prompt tokens without a first event, memory is what all works may need.
	pending int
	memory  int
	// prefill is the time for a prompt token, decode that for an event, plain that for an answer.
	prefill, decode, plain time.Duration
	// decoded counts the answers that decode was learned from.
	decoded  int
	failures float64
	pause    time.Duration
	paused   time.Time
	progress time.Time
	// absent is the sequence of the record when the server was not found at its address.
	absent  uint64
	missing bool
	// suspect is set while a call is overdue.
	suspect bool
	// limit is the number of slots that this scheduler may use, if limited.
	limited bool
	limit   int
}

type work struct {
	Work
	begun    time.Time
	expected time.Duration
	ahead    int
}

func (s *server) slots() int {
	if s.limited {
		return s.limit
	}
	if s.engine != nil && s.engine.Slots > 0 && (s.record.Slots <= 0 || s.engine.Slots < s.record.Slots) {
		return s.engine.Slots
	}
	return max(s.record.Slots, 1)
}

// usable reports whether the server may get work at all.
func (s *server) usable(now time.Time) bool {
	return s.record.State == model.Alive && !s.missing && !now.Before(s.paused)
}

// overdue reports whether a call has had no answer for far longer than expected while the server
// made no other progress.
func (s *server) overdue(now time.Time) bool {
	for _, w := range s.works {
		limit := overdueFactor*w.expected + overdueBase
		if !w.Started && now.Sub(w.begun) > limit && now.Sub(s.progress) > limit {
			return true
		}
	}
	return false
}

// room reports whether the server can begin a request now.
func (s *server) room(w *Want) bool {
	if len(s.works) >= s.slots() {
		return false
	}
	if s.engine == nil {
		return true
	}
	if s.pending > 0 && s.pending+w.Prompt > prefillDepth {
		return false
	}
	return len(s.works) == 0 || s.engine.MemoryTokens == 0 ||
		float64(s.memory+w.tokens()) <= memoryShare*float64(s.engine.MemoryTokens)
}

// first estimates the time to the first event of a request.
func (s *server) first(w *Want) time.Duration {
	if s.engine == nil {
		return s.plain
	}
	return firstBase + time.Duration(s.pending+w.Prompt)*s.prefill
}

// rest estimates the time from the first event to the end.
func (s *server) rest(events float64) time.Duration {
	if s.engine == nil {
		return 0
	}
	return time.Duration(events * float64(s.decode))
}

// cost orders servers for a request: the time to the first event, what the answer takes then, the
// way to the server, and its failures.
func (s *server) cost(w *Want, events float64) time.Duration {
	c := s.first(w) + time.Duration(s.failures*float64(failureWeight))
	if s.engine != nil {
		// The time of the answer counts for less than that before it: callers wait for its begin.
		c += s.rest(events) / 4
	} else {
		c += s.plain * time.Duration(len(s.works)) / time.Duration(s.slots())
	}
	if s.record.Domain != w.Domain {
		c += crossing
	}
	return c
}

func (s *server) begin(now time.Time, w Work, expected time.Duration) {
	s.works[w.ID] = &work{Work: w, begun: now, expected: expected, ahead: s.pending}
	s.memory += w.Prompt + w.Output
	if !w.Started {
		s.pending += w.Prompt
	}
}

// end removes work and returns it, or nil.
func (s *server) end(id model.RequestID) *work {
	w := s.works[id]
	if w == nil {
		return nil
	}
	delete(s.works, id)
	s.memory -= w.Prompt + w.Output
	if !w.Started {
		s.pending -= w.Prompt
	}
	return w
}

// began takes the first event of an answer.
func (s *server) began(now time.Time, w *work, took time.Duration) {
	if w.Started {
		return
	}
	w.Started = true
	s.pending -= w.Prompt
	s.progress, s.pause, s.suspect = now, 0, false
	if s.engine != nil && took > firstBase && w.Prompt > 0 {
		s.prefill = blend(s.prefill, (took-firstBase)/time.Duration(w.ahead+w.Prompt))
	}
}

// finished takes a whole answer.
func (s *server) finished(now time.Time, r Report) {
	s.progress, s.pause, s.suspect = now, 0, false
	s.failures -= s.failures * failureRate
	if s.engine != nil && r.Events > 1 {
		s.decode = blend(s.decode, r.Rest/time.Duration(r.Events-1))
		s.decoded++
	}
	if s.engine == nil {
		s.plain = blend(s.plain, r.First+r.Rest)
	}
}

// failed takes a failure.
func (s *server) failed(now time.Time, started bool) {
	s.failures += (1 - s.failures) * failureRate
	if started || now.Before(s.paused) {
		return
	}
	s.pause = min(max(2*s.pause, failurePause), maxFailurePause)
	s.paused = now.Add(s.pause)
}

func blend(old, sample time.Duration) time.Duration {
	return old + time.Duration(float64(sample-old)*learnRate)
}
