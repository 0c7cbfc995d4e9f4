package relay

import (
	"slices"
	"time"

	"briaryard/internal/decide/retry"
	"briaryard/internal/decide/schedule"
	"briaryard/internal/fault"
	"briaryard/internal/model"
)

const (
	// maxSends bounds the servers that one request is offered to. Servers that refuse without
	// running it do not count as tries of the route.
	maxSends = 4
	// reserve is the time before a request's end in which a call is no longer begun: the shortest
	// answer takes as long.
	reserve = 15 * time.Millisecond
)

type phase uint8

const (
	asking phase = iota
	calling
	streaming
	// leaving is a call whose caller has gone and which may not be cut off.
	leaving
)

type state struct {
	Request
	phase phase
	// sends counts the calls, runs those that may have run.
	sends, runs int
	tried       []model.BackendServerID
	server      model.BackendServerID
	lastEvent   string
	began       bool
	first       time.Duration
	events      int
	// kept is an answer of an earlier try that the caller gets if no better one comes.
	kept *model.HTTPAnswer
	// failure is why the last call did not give an answer.
	failure error
}

// Machine holds the requests of one instance.
type Machine struct {
	requests map[model.RequestID]*state
	budget   *retry.Budget
	effects  []Effect
}

// New returns a machine without requests.
func New(budget *retry.Budget) *Machine {
	return &Machine{requests: make(map[model.RequestID]*state), budget: budget}
}

// Take returns the effects since the last call.
func (m *Machine) Take() []Effect {
	out := m.effects
	m.effects = nil
	return out
}

// Open returns the number of requests without a final answer.
func (m *Machine) Open() int { return len(m.requests) }

// SetInstances sets the number of instances that share the limit of second tries.
func (m *Machine) SetInstances(n int) { m.budget.SetInstances(n) }

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

// Arrive takes a request.
func (m *Machine) Arrive(now time.Time, r Request) {
	s := &state{Request: r}
	m.requests[r.ID] = s
	m.budget.Request(now, r.Service)
	m.ask(now, s)
}

func (m *Machine) ask(now time.Time, s *state) {
	s.phase = asking
	w := schedule.Want{
		ID: s.ID, Service: s.Service, Team: s.Team, Rank: s.Route.Rank,
		Prompt: s.Prompt, Output: s.Output, Expected: s.Expected, Model: s.Model, Domain: s.Domain,
		Arrived: s.Arrived, OnTime: s.Arrived.Add(s.Route.Objective), Until: s.Deadline.Add(-reserve), End: s.Deadline,
		Tried: s.tried, Admitted: s.sends > 0,
	}
	if p := s.Route.Patience; p > 0 && !s.began {
		if left := s.Arrived.Add(p - reserve); left.Before(w.Until) {
			w.Until = left
		}
	}
	if !now.Before(w.Until) {
		m.give(now, s, &fault.NotServed{Service: s.Service, Reason: "no time is left", Wait: reserve})
		return
	}
	m.emit(Ask{Want: w})
}

// Decided takes the decision about an Ask.
func (m *Machine) Decided(now time.Time, d schedule.Decision, alone bool) {
	s := m.requests[d.ID]
	if s == nil || s.phase != asking {
		if !d.Denied {
			m.emit(Report{schedule.Report{ID: d.ID, Server: d.Server.ID, Outcome: schedule.Unused, Refund: s == nil}})
		}
		return
	}
	if d.Denied {
		m.give(now, s, denial(s, d))
		return
	}
	if !now.Before(s.Deadline.Add(-reserve)) {
		m.emit(Report{schedule.Report{ID: d.ID, Server: d.Server.ID, Outcome: schedule.Unused, Refund: s.runs == 0}})
		m.give(now, s, &fault.NotServed{Service: s.Service, Reason: "no time is left", Wait: reserve})
		return
	}
	s.phase, s.server = calling, d.Server.ID
	s.sends++
	s.runs++
	s.tried = append(slices.Clone(s.tried), d.Server.ID)
	m.emit(Open{
		ID: s.ID, Send: s.sends, Server: d.Server, Until: s.Deadline, Resume: s.began, LastEvent: s.lastEvent,
		Waited: now.Sub(s.Arrived), Alone: alone,
	})
}

func denial(s *state, d schedule.Decision) fault.Fault {
	if d.Reason == schedule.DeniedAllotment {
		return &fault.OverAllotment{Team: s.Team, Wait: d.RetryAfter}
	}
	return &fault.NotServed{Service: s.Service, Reason: d.Reason.String(), Wait: d.RetryAfter}
}

// give ends a request that gets no further call: with an earlier answer, with a cut stream, or with
// a refusal. The refusal is true only if no call may have run.
func (m *Machine) give(now time.Time, s *state, f fault.Fault) {
	switch {
	case s.began:
		// An answer has begun, so that an earlier one can no longer be delivered.
		m.emit(Abort{ID: s.ID, Fault: &fault.StreamCut{Server: s.server, Err: s.failure}})
		m.end(now, s, "stream cut")
	case s.kept != nil:
		m.emit(Deliver{ID: s.ID, Answer: s.kept})
		m.end(now, s, "answered by an earlier try")
	case s.runs > 0:
		m.emit(Refuse{ID: s.ID, Fault: &fault.AnswerLost{Server: s.server, Err: s.failure}})
		m.end(now, s, "answer lost")
	default:
		m.emit(Refuse{ID: s.ID, Fault: f})
		m.end(now, s, "refused")
	}
}

func (m *Machine) end(now time.Time, s *state, result string) {
	delete(m.requests, s.ID)
	m.emit(Ended{
		ID: s.ID, Request: &s.Request, Sends: s.sends, Server: s.server, Result: result, Took: now.Sub(s.Arrived), First: s.first, Events: s.events,
	})
}

// Called takes the course of a call.
func (m *Machine) Called(now time.Time, e CallEvent) {
	s := m.requests[e.ID]
	if s == nil || s.phase == asking || e.Send != s.sends {
		return
	}
	if e.LastEvent != "" {
		s.lastEvent = e.LastEvent
	}
	s.events = max(s.events, e.Events)
	if s.phase == leaving {
		if e.Kind != CallBegan {
			m.report(s, e, outcomeOf(e.Kind), false)
			m.end(now, s, "caller gone")
		}
		return
	}
	switch e.Kind {
	case CallBegan:
		m.callBegan(now, s, e)
	case CallAnswered:
		m.answered(now, s, e)
	case CallEnded:
		m.report(s, e, schedule.Finished, false)
		m.end(now, s, "answered")
	case CallUnsent, CallFull, CallAbsent:
		m.notRun(now, s, e)
	case CallBroken:
		m.broken(now, s, e)
	}
}

func (m *Machine) callBegan(now time.Time, s *state, e CallEvent) {
	s.phase = streaming
	if !s.began {
		s.began, s.first = true, now.Sub(s.Arrived)
	}
	m.report(s, e, schedule.Began, false)
}

// answered takes a whole answer. A failure of the server is worth another try if the request may be
// repeated.
func (m *Machine) answered(now time.Time, s *state, e CallEvent) {
	outcome := schedule.Finished
	failed := e.Answer.Status >= firstServerFailure
	if failed {
		outcome = schedule.Failed
		// The server has answered, so that it is not taken for a dead one.
		m.report(s, e, schedule.Began, false)
	}
	m.report(s, e, outcome, false)
	if failed && m.mayRepeat(now, s) {
		s.kept = e.Answer
		m.again(now, s, e)
		return
	}
	s.first = now.Sub(s.Arrived)
	m.emit(Deliver{ID: s.ID, Answer: e.Answer})
	m.end(now, s, "answered")
}

// firstServerFailure is the lowest status of a failure of the server.
const firstServerFailure = 500

func outcomeOf(k CallKind) schedule.Outcome {
	switch k {
	case CallBegan:
		return schedule.Began
	case CallAnswered, CallEnded:
		return schedule.Finished
	case CallFull:
		return schedule.Full
	case CallAbsent:
		return schedule.Absent
	case CallUnsent, CallBroken:
	}
	return schedule.Failed
}

func (m *Machine) report(s *state, e CallEvent, o schedule.Outcome, refund bool) {
	m.emit(Report{schedule.Report{
		ID: s.ID, Server: s.server, Outcome: o, First: e.First, Rest: e.Rest, Events: e.Events, Refund: refund,
	}})
}

// notRun takes a call that has certainly not run.
func (m *Machine) notRun(now time.Time, s *state, e CallEvent) {
	s.runs--
	s.failure = e.Cause
	// An unsent request has reached no server, so that it is no second arrival.
	again := s.sends < maxSends && now.Before(s.Deadline.Add(-reserve)) && (e.Kind == CallUnsent || m.budget.Take(now, s.Service))
	m.report(s, e, outcomeOf(e.Kind), !again && s.runs == 0)
	if again {
		m.again(now, s, e)
		return
	}
	m.give(now, s, &fault.NoSecondTry{Server: s.server, Err: e.Cause})
}

// broken takes a call that may have run.
func (m *Machine) broken(now time.Time, s *state, e CallEvent) {
	s.failure = e.Cause
	m.report(s, e, schedule.Failed, false)
	if m.mayRepeat(now, s) {
		m.again(now, s, e)
		return
	}
	m.give(now, s, nil)
}

// mayRepeat reports whether a request that may have run can go to another server.
func (m *Machine) mayRepeat(now time.Time, s *state) bool {
	return s.Route.MayRepeat() && s.runs < s.Route.MaxServers && s.sends < maxSends &&
		(s.phase != streaming || s.Route.Resumable && s.lastEvent != "") &&
		now.Before(s.Deadline.Add(-reserve)) && m.budget.Take(now, s.Service)
}

func (m *Machine) again(now time.Time, s *state, e CallEvent) {
	m.emit(Again{ID: s.ID, Server: s.server, Kind: e.Kind, Cause: e.Cause})
	m.ask(now, s)
}

// Gone takes the end of the caller's connection.
func (m *Machine) Gone(now time.Time, id model.RequestID) {
	s := m.requests[id]
	if s == nil {
		return
	}
	switch {
	case s.phase == asking:
		m.emit(Withdraw{ID: id})
		m.end(now, s, "caller gone")
	case s.Route.Kind == model.KindOnce:
		// What may run once is not cut off half done; its answer is dropped.
		s.phase = leaving
	case s.phase != leaving:
		m.cut(s)
		m.end(now, s, "caller gone")
	}
}

// cut ends the call of a request.
func (m *Machine) cut(s *state) {
	m.emit(Cancel{ID: s.ID, Send: s.sends})
	m.emit(Report{schedule.Report{ID: s.ID, Server: s.server, Outcome: schedule.Cancelled}})
}

// Tick ends the requests whose time is over.
func (m *Machine) Tick(now time.Time) {
	for _, s := range m.requests {
		if now.Before(s.Deadline) {
			continue
		}
		switch s.phase {
		case asking:
			m.emit(Withdraw{ID: s.ID})
			m.give(now, s, &fault.NotServed{Service: s.Service, Reason: "its time is over", Wait: reserve})
			continue
		case leaving:
			m.cut(s)
			m.end(now, s, "caller gone")
			continue
		case calling, streaming:
		}
		m.cut(s)
		f := &fault.TimedOut{Server: s.server, After: now.Sub(s.Arrived)}
		switch {
		case s.began:
			m.emit(Abort{ID: s.ID, Fault: f})
		case s.kept != nil:
			m.emit(Deliver{ID: s.ID, Answer: s.kept})
		default:
			m.emit(Refuse{ID: s.ID, Fault: f})
		}
		m.end(now, s, "timed out")
	}
}
