package relay

import (
	"slices"
	"time"

	"briaryard/internal/decide/schedule"
	"briaryard/internal/model"
)

// call is a call to a backend server without a final event.
type call struct {
	// send numbers the calls of a request from 1.
	send int
	// grant is the id under which the scheduler granted the server.
	grant  model.RequestID
	server model.BackendServerID
	sentAt time.Time
}

// startCall starts a call to a granted server.
func (m *Machine) startCall(now time.Time, s *requestState, d *schedule.Decision, alone bool) {
	s.sends++
	s.possibleRuns++
	s.lastServer = d.Server.ID
	s.triedServers = append(slices.Clone(s.triedServers), d.Server.ID)
	started := StartCall{
		ID: s.ID, Send: s.sends, Server: d.Server, Until: s.Deadline, Resume: s.answerBegan, LastEvent: s.lastEvent, Probe: m.gate.Sent(now, s.Parts),
		Waited: now.Sub(s.Arrived), WithoutDispatcher: alone, Hedge: d.ID.IsHedge(),
	}
	if started.Hedge {
		started.After = now.Sub(s.running[0].sentAt)
	}
	s.running = append(s.running, call{send: s.sends, grant: d.ID, server: d.Server.ID, sentAt: now})
	m.emit(started)
}

// findCall returns the running call with a number, or nil.
func (s *requestState) findCall(send int) *call {
	for i := range s.running {
		if s.running[i].send == send {
			return &s.running[i]
		}
	}
	return nil
}

// endCall removes a running call.
func (m *Machine) endCall(now time.Time, s *requestState, c call) {
	s.running = slices.DeleteFunc(s.running, func(o call) bool { return o.send == c.send })
	s.lastServer = c.server
	if c.grant.IsHedge() && !s.hedge.won {
		m.emit(HedgeEnded{ID: s.ID, Server: c.server, Ran: now.Sub(c.sentAt)})
	}
}

// cancelCall cancels a running call.
func (m *Machine) cancelCall(now time.Time, s *requestState, c call) {
	m.emit(Cancel{ID: s.ID, Send: c.send})
	m.emit(Report{schedule.Report{ID: c.grant, Server: c.server, Outcome: schedule.Cancelled, First: m.ranWithoutAnswer(now, s, c)}})
	m.endCall(now, s, c)
}

// cancelCalls cancels all running calls of a request, and the wait for a second one.
func (m *Machine) cancelCalls(now time.Time, s *requestState) {
	m.withdrawHedge(s)
	for _, c := range slices.Clone(s.running) {
		m.cancelCall(now, s, c)
	}
}

// accept chooses the call whose answer the caller gets, and cancels the other one.
func (m *Machine) accept(now time.Time, s *requestState, c call) {
	m.withdrawHedge(s)
	for _, o := range slices.Clone(s.running) {
		if o.send != c.send {
			m.cancelCall(now, s, o)
		}
	}
	s.lastServer = c.server
	if c.grant.IsHedge() {
		s.hedge.won = true
		m.emit(HedgeEnded{ID: s.ID, Server: c.server, Won: true, Ran: now.Sub(c.sentAt)})
	}
}

// report reports the outcome of a call event to the scheduler that chose the server.
func (m *Machine) report(c call, e CallEvent, o schedule.Outcome, refund bool) {
	m.emit(Report{schedule.Report{
		ID: c.grant, Server: c.server, Outcome: o, First: e.First, Rest: e.Rest, Events: e.Events, Refund: refund,
	}})
}

// outcomeOf returns the outcome to report for a call event.
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
	case CallReturned:
		return schedule.Unused
	case CallUnsent, CallBroken:
	}
	return schedule.Failed
}
