package relay

import (
	"time"

	"briaryard/internal/decide/hold"
	"briaryard/internal/decide/quarantine"
	"briaryard/internal/decide/retry"
	"briaryard/internal/decide/schedule"
	"briaryard/internal/fault"
	"briaryard/internal/model"
)

const (
	// maxCalls bounds the calls to backend servers for one request. Calls that a server refuses
	// without running the request do not count towards the route's MaxServers.
	maxCalls = 4
	// maxReturns bounds the grants of a request that are returned because their servers are barred. The
	// dispatcher knows of a bar before it decides again, so that more show that it does not.
	maxReturns = 4
	// minCallTime is the time before a request's deadline in which no call is started any more,
	// because the shortest answer takes this long.
	minCallTime = 15 * time.Millisecond
)

// phase is the state of a request in the machine.
type phase uint8

const (
	awaitingServer phase = iota
	calling
	streaming
	// callerGone is a call whose caller has disconnected. It continues until its end or its
	// deadline, because the request may run only once.
	callerGone
)

// requestState is a request and the progress of its calls.
type requestState struct {
	Request
	phase phase
	// running holds the calls without a final event: at most one, or two of a hedged request before its answer
	// has begun.
	running []call
	// sends counts the calls to backend servers, possibleRuns those that may have run.
	sends, possibleRuns int
	// admitted is set once the team's allotment was charged, returns counts the returned grants.
	admitted     bool
	returns      int
	triedServers []model.BackendServerID
	// lastServer is the server of the call that was started or has ended last.
	lastServer model.BackendServerID
	hedge      hedgeState
	// lastEvent is the id of the last event that was sent to the caller, after which a stream can
	// be resumed.
	lastEvent   string
	answerBegan bool
	// firstEventAfter is the time from the arrival to the first event, or to a complete answer.
	firstEventAfter time.Duration
	events          int
	// fallbackAnswer is the failure answer of an earlier call, which the caller gets if no later
	// call yields an answer.
	fallbackAnswer *model.HTTPAnswer
	// lastError is why the last call yielded no answer.
	lastError error
}

// Machine holds the state of the routed requests of one instance that have no final answer yet.
type Machine struct {
	requests map[model.RequestID]*requestState
	budget   *retry.Budget
	// bars holds what the backend servers have said about themselves to this instance.
	bars *hold.Table
	// gate holds back requests with parts of prompts that crash servers.
	gate    *quarantine.Gate
	effects []Effect
	// hedging is set if slow requests may have a second call; see EnableHedging.
	hedging        bool
	hedgeFreeSlots float64
	unconfirmed    bool
	// hedgeDenials holds the last denials that concern all requests of a service.
	hedgeDenials map[model.PoolID]hedgeDenial
}

// New returns a machine without requests. The budget limits retries.
func New(budget *retry.Budget) *Machine {
	return &Machine{requests: make(map[model.RequestID]*requestState), budget: budget, bars: hold.NewTable(), gate: quarantine.NewGate()}
}

// TakeEffects returns the effects since the last call.
func (m *Machine) TakeEffects() []Effect {
	out := m.effects
	m.effects = nil
	return out
}

// OpenRequests returns the number of requests without a final answer.
func (m *Machine) OpenRequests() int { return len(m.requests) }

// SetInstances sets the number of instances that share the fleet's retry limit.
func (m *Machine) SetInstances(n int) { m.budget.SetInstances(n) }

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

// Arrive accepts an admitted request and asks for a backend server.
func (m *Machine) Arrive(now time.Time, r Request) {
	s := &requestState{Request: r}
	m.requests[r.ID] = s
	m.budget.CountRequest(now, r.Service)
	m.requestServer(now, s)
}

// requestServer asks for a backend server, or ends the request if too little time is left for a
// call. Until the answer has begun, the wait is also bounded by the route's patience.
func (m *Machine) requestServer(now time.Time, s *requestState) {
	s.phase = awaitingServer
	if f := m.quarantined(now, s); f != nil {
		m.endWithoutRetry(now, s, f)
		return
	}
	w := s.schedulingRequest()
	if s.sends == 0 && m.mayHedge(s) {
		w.HedgeRoute = s.Route.Name
	}
	if !now.Before(w.StartDeadline) {
		m.endWithoutRetry(now, s, &fault.NotServed{Service: s.Service, Reason: "no time is left", Wait: minCallTime})
		return
	}
	m.emit(RequestServer{Request: w})
}

// schedulingRequest returns what the scheduler must know of a request.
func (s *requestState) schedulingRequest() schedule.Request {
	w := schedule.Request{
		ID: s.ID, Service: s.Service, Team: s.Team, Rank: s.Route.Rank, Route: model.RouteHash(s.Route.Name),
		Prompt: s.PromptTokens, Output: s.OutputTokens, Expected: s.ExpectedTokens, Model: s.Model, Domain: s.Domain,
		Arrived: s.Arrived, StartTarget: s.Arrived.Add(s.Route.Objective), StartDeadline: s.Deadline.Add(-minCallTime), Deadline: s.Deadline,
		Tried: s.triedServers, Admitted: s.admitted, Fingerprint: s.Fingerprint,
	}
	if p := s.Route.Patience; p > 0 && !s.answerBegan {
		if latest := s.Arrived.Add(p - minCallTime); latest.Before(w.StartDeadline) {
			w.StartDeadline = latest
		}
	}
	return w
}

// HandleDecision handles the decision about a RequestServer effect: it starts a call to the granted
// server, or ends a denied request. A grant that is no longer needed is reported as unused. The
// argument alone is set if the decision was made without the dispatcher.
func (m *Machine) HandleDecision(now time.Time, d schedule.Decision, alone bool) {
	if d.ID.IsHedge() {
		m.handleHedgeDecision(now, &d, alone)
		return
	}
	s := m.requests[d.ID]
	if s == nil || s.phase != awaitingServer {
		if !d.Denied {
			m.emit(Report{schedule.Report{ID: d.ID, Server: d.Server.ID, Outcome: schedule.Unused, Refund: s == nil}})
		}
		return
	}
	if d.Denied {
		m.endWithoutRetry(now, s, denialFault(s, d))
		return
	}
	if !now.Before(s.Deadline.Add(-minCallTime)) {
		m.emit(Report{schedule.Report{ID: d.ID, Server: d.Server.ID, Outcome: schedule.Unused, Refund: s.possibleRuns == 0}})
		m.endWithoutRetry(now, s, &fault.NotServed{Service: s.Service, Reason: "no time is left", Wait: minCallTime})
		return
	}
	if f := m.quarantined(now, s); f != nil {
		m.emit(Report{schedule.Report{ID: d.ID, Server: d.Server.ID, Outcome: schedule.Unused, Refund: s.possibleRuns == 0}})
		m.endWithoutRetry(now, s, f)
		return
	}
	s.admitted = true
	if bar, ok := m.bars.Lookup(now, d.Server.ID, d.Server.Incarnation); ok {
		m.returnGrant(now, s, &d.Server, bar)
		return
	}
	s.phase = calling
	m.startCall(now, s, &d, alone)
	m.planHedge(now, s, &d)
}

// HandleNotice takes what a server has said about itself in an answer to this instance.
func (m *Machine) HandleNotice(now time.Time, n model.ServerNotice) {
	if m.bars.Apply(now, n) || n.Invalid != "" || n.InvalidLimit != "" {
		m.emit(PassOn{n})
	}
}

// returnGrant returns a grant of a server that wants no request, and asks for another server.
func (m *Machine) returnGrant(now time.Time, s *requestState, server *model.BackendServer, bar hold.Bar) {
	wait := max(bar.Until.Sub(now), 0)
	m.emit(Returned{ID: s.ID, Server: server.ID, Leaving: bar.Leaving, For: wait})
	s.returns++
	again := s.returns < maxReturns
	m.emit(Report{schedule.Report{ID: s.ID, Server: server.ID, Outcome: schedule.Unused, Refund: !again && s.possibleRuns == 0}})
	if again {
		m.requestServer(now, s)
		return
	}
	m.endWithoutRetry(now, s, &fault.NotServed{Service: s.Service, Reason: "its servers want no request now", Wait: max(wait, minCallTime)})
}

// denialFault returns the fault for a denied request.
func denialFault(s *requestState, d schedule.Decision) fault.Fault {
	if d.Reason == schedule.DeniedAllotment {
		return &fault.OverAllotment{Team: s.Team, Wait: d.RetryAfter}
	}
	return &fault.NotServed{Service: s.Service, Reason: d.Reason.String(), Wait: d.RetryAfter}
}

// endWithoutRetry ends a request that gets no further call: with the answer of an earlier call, with
// an aborted stream, or with a refusal. The refusal states f only if no call may have run.
func (m *Machine) endWithoutRetry(now time.Time, s *requestState, f fault.Fault) {
	switch {
	case s.answerBegan:
		// An answer has begun, so an earlier one can no longer be delivered.
		m.emit(Abort{ID: s.ID, Fault: &fault.StreamCut{Server: s.lastServer, Err: s.lastError}})
		m.end(now, s, "stream cut")
	case s.fallbackAnswer != nil:
		m.emit(Deliver{ID: s.ID, Answer: s.fallbackAnswer})
		m.end(now, s, "answered by an earlier try")
	case s.possibleRuns > 0:
		m.emit(Refuse{ID: s.ID, Fault: &fault.AnswerLost{Server: s.lastServer, Err: s.lastError}})
		m.end(now, s, "answer lost")
	default:
		m.emit(Refuse{ID: s.ID, Fault: f})
		m.end(now, s, "refused")
	}
}

// end removes a request after its final answer and reports its result.
func (m *Machine) end(now time.Time, s *requestState, result string) {
	m.withdrawHedge(s)
	delete(m.requests, s.ID)
	m.emit(Ended{
		ID: s.ID, Request: &s.Request, Sends: s.sends, Server: s.lastServer, Result: result, Took: now.Sub(s.Arrived), First: s.firstEventAfter, Events: s.events,
	})
}

// CallerDisconnected handles the disconnection of the caller. Its calls are cancelled unless the
// request may run only once.
func (m *Machine) CallerDisconnected(now time.Time, id model.RequestID) {
	s := m.requests[id]
	if s == nil {
		return
	}
	switch {
	case s.phase == awaitingServer:
		m.emit(Withdraw{ID: id})
		m.end(now, s, "caller gone")
	case s.Route.Kind == model.KindOnce:
		// A request that may run only once is not cancelled halfway; its answer is dropped.
		s.phase = callerGone
	case s.phase != callerGone:
		m.cancelCalls(now, s)
		m.end(now, s, "caller gone")
	}
}

// Tick ends the requests whose deadline has passed, and asks for second calls that have become due.
func (m *Machine) Tick(now time.Time) {
	for _, s := range m.requests {
		if now.Before(s.Deadline) {
			m.considerHedge(now, s)
			continue
		}
		switch s.phase {
		case awaitingServer:
			m.emit(Withdraw{ID: s.ID})
			m.endWithoutRetry(now, s, &fault.NotServed{Service: s.Service, Reason: "its time is over", Wait: minCallTime})
			continue
		case callerGone:
			m.cancelCalls(now, s)
			m.end(now, s, "caller gone")
			continue
		case calling, streaming:
		}
		m.cancelCalls(now, s)
		f := &fault.TimedOut{Server: s.lastServer, After: now.Sub(s.Arrived)}
		switch {
		case s.answerBegan:
			m.emit(Abort{ID: s.ID, Fault: f})
		case s.fallbackAnswer != nil:
			m.emit(Deliver{ID: s.ID, Answer: s.fallbackAnswer})
		default:
			m.emit(Refuse{ID: s.ID, Fault: f})
		}
		m.end(now, s, "timed out")
	}
}
