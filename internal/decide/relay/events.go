package relay

import (
	"time"

	"briaryard/internal/decide/schedule"
	"briaryard/internal/fault"
)

// HandleCallEvent handles an event of a running call. Events of calls that have ended or were cancelled are
// ignored.
func (m *Machine) HandleCallEvent(now time.Time, e CallEvent) {
	s := m.requests[e.ID]
	if s == nil {
		return
	}
	running := s.findCall(e.Send)
	if running == nil {
		return
	}
	c := *running
	if e.LastEvent != "" {
		s.lastEvent = e.LastEvent
	}
	s.events = max(s.events, e.Events)
	if s.phase == callerGone {
		if e.Kind == CallBegan {
			m.emit(Begin{ID: s.ID, Send: c.send})
			return
		}
		m.report(c, e, outcomeOf(e.Kind), false)
		m.endCall(now, s, c)
		m.end(now, s, "caller gone")
		return
	}
	switch e.Kind {
	case CallBegan:
		m.handleCallBegan(now, s, c, e)
	case CallAnswered:
		m.handleAnswer(now, s, c, e)
	case CallEnded:
		m.report(c, e, schedule.Finished, false)
		m.endCall(now, s, c)
		m.end(now, s, "answered")
	case CallUnsent, CallFull, CallAbsent, CallReturned:
		m.handleNotRun(now, s, c, e)
	case CallBroken:
		m.handleInterrupted(now, s, c, e)
	}
}

// handleCallBegan accepts an answer that has begun, so that it is streamed to the caller. Another running call
// is cancelled.
func (m *Machine) handleCallBegan(now time.Time, s *requestState, c call, e CallEvent) {
	m.accept(now, s, c)
	s.phase = streaming
	begin := Begin{ID: s.ID, Send: c.send}
	if !s.answerBegan {
		s.answerBegan, s.firstEventAfter = true, now.Sub(s.Arrived)
		begin.Answer = e.Answer
	}
	m.emit(begin)
	m.report(c, e, schedule.Began, false)
}

// handleAnswer handles a complete answer. A server failure is retried if the request may be repeated and no
// other call of it runs.
func (m *Machine) handleAnswer(now time.Time, s *requestState, c call, e CallEvent) {
	outcome := schedule.Finished
	failed := e.Answer.Status >= firstServerFailure
	if failed {
		outcome = schedule.Failed
		// Report the start of the answer, so that a server that answers is not considered dead.
		m.report(c, e, schedule.Began, false)
	}
	m.report(c, e, outcome, false)
	if failed && len(s.running) > 1 {
		s.fallbackAnswer = e.Answer
		m.endCall(now, s, c)
		return
	}
	if failed && m.takeRetry(now, s) {
		s.fallbackAnswer = e.Answer
		m.endCall(now, s, c)
		m.retry(now, s, c, e)
		return
	}
	m.accept(now, s, c)
	m.endCall(now, s, c)
	s.firstEventAfter = now.Sub(s.Arrived)
	m.emit(Deliver{ID: s.ID, Answer: e.Answer})
	m.end(now, s, "answered")
}

// firstServerFailure is the lowest HTTP status that reports a server failure.
const firstServerFailure = 500

// handleNotRun handles a call that certainly did not run, and retries it if calls, time and the
// retry budget allow.
func (m *Machine) handleNotRun(now time.Time, s *requestState, c call, e CallEvent) {
	s.possibleRuns--
	s.lastError = e.Cause
	if len(s.running) > 1 {
		// The other call goes on, and the team stays charged for it.
		m.report(c, e, outcomeOf(e.Kind), false)
		m.endCall(now, s, c)
		return
	}
	// An unsent request has reached no server, so its retry is not charged to the budget.
	held := m.quarantined(now, s)
	mayRetry := held == nil && s.sends < maxCalls && now.Before(s.Deadline.Add(-minCallTime)) && (e.Kind == CallUnsent || e.Kind == CallReturned || m.budget.TakeRetry(now, s.Service))
	m.report(c, e, outcomeOf(e.Kind), !mayRetry && s.possibleRuns == 0)
	m.endCall(now, s, c)
	if mayRetry {
		m.retry(now, s, c, e)
		return
	}
	if held != nil {
		m.endWithoutRetry(now, s, held)
		return
	}
	m.endWithoutRetry(now, s, &fault.NoSecondTry{Server: c.server, Err: e.Cause})
}

// handleInterrupted handles a call without a complete answer, which may have run.
func (m *Machine) handleInterrupted(now time.Time, s *requestState, c call, e CallEvent) {
	s.lastError = e.Cause
	m.report(c, e, schedule.Failed, false)
	m.endCall(now, s, c)
	if len(s.running) > 0 {
		return
	}
	if m.takeRetry(now, s) {
		m.retry(now, s, c, e)
		return
	}
	m.endWithoutRetry(now, s, nil)
}

// takeRetry reports whether a request that may have run can be sent to another server. If so, the
// retry is charged to the budget.
func (m *Machine) takeRetry(now time.Time, s *requestState) bool {
	return m.quarantined(now, s) == nil && s.Route.MayRepeat() && s.possibleRuns < s.Route.MaxServers && s.sends < maxCalls &&
		(s.phase != streaming || s.Route.Resumable && s.lastEvent != "") &&
		now.Before(s.Deadline.Add(-minCallTime)) && m.budget.TakeRetry(now, s.Service)
}

// retry asks for another server and reports why.
func (m *Machine) retry(now time.Time, s *requestState, c call, e CallEvent) {
	m.withdrawHedge(s)
	m.emit(Retried{ID: s.ID, Server: c.server, Kind: e.Kind, Cause: e.Cause})
	m.requestServer(now, s)
}
