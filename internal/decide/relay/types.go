package relay

import (
	"time"

	"briaryard/internal/decide/schedule"
	"briaryard/internal/fault"
	"briaryard/internal/model"
)

// Request is an admitted request.
type Request struct {
	ID model.RequestID
	// Attempt is the caller's id of the attempt.
	Attempt string
	Route   *model.HTTPRoute
	Service model.PoolID
	Team    model.TeamID
	// Revision is the revision of the configuration that admitted the request.
	Revision model.Revision
	Arrived  time.Time
	// Deadline is when the final answer is due.
	Deadline time.Time
	// PromptTokens, OutputTokens and ExpectedTokens are numbers of tokens; see schedule.Request.
	PromptTokens, OutputTokens, ExpectedTokens int
	Model                                      string
	// Parts are the parts of the prompt that other requests may share.
	Parts  []model.PromptPart
	Domain model.FailureDomain
	// Fingerprint identifies the request over several attempts of its caller, or is zero.
	Fingerprint uint64
	// Keyed is set if the request has an idempotency key.
	Keyed bool
}

// CallKind is the kind of an event in a call to a backend server.
type CallKind uint8

// Kinds of call events.
const (
	// CallBegan means that the answer has begun. None of it is sent to the caller before Begin.
	CallBegan CallKind = iota
	// CallAnswered carries a complete answer, none of which has been sent to the caller.
	CallAnswered
	// CallEnded means that the rest of the answer has been sent to the caller.
	CallEnded
	// CallUnsent means that nothing of the request has left this instance.
	CallUnsent
	// CallFull and CallAbsent mean that the server reported that it did not run the request: it has
	// no capacity, or it is not the server that the call was meant for.
	CallFull
	CallAbsent
	// CallReturned means that the call was not sent because its server has meanwhile said that it wants
	// none.
	CallReturned
	// CallBroken means that the answer is missing or incomplete; the request may have run.
	CallBroken
)

// String returns the kind's name.
func (k CallKind) String() string {
	return [...]string{"began", "answered", "ended", "unsent", "full", "absent", "returned", "broken"}[min(k, CallBroken)]
}

// CallEvent reports the progress of a call.
type CallEvent struct {
	ID model.RequestID
	// Send is the number of the call, as given by its StartCall effect.
	Send int
	Kind CallKind
	// Answer is set with CallAnswered, and without its body with CallBegan.
	Answer *model.HTTPAnswer
	// First is the time from the start of the call to the first event, Rest the time from the first
	// event to the end.
	First, Rest time.Duration
	Events      int
	// LastEvent is the id of the last event that was sent to the caller.
	LastEvent string
	// Cause is set when the call failed.
	Cause error
}

// Effect is an action that the machine requests and the service executes.
type Effect interface{ effect() }

// RequestServer requests a backend server from the scheduler.
type RequestServer struct{ Request schedule.Request }

// Withdraw cancels a RequestServer effect.
type Withdraw struct{ ID model.RequestID }

// Report sends the outcome of a call to the scheduler that chose the server.
type Report struct{ schedule.Report }

// StartCall starts a call to a backend server.
type StartCall struct {
	ID model.RequestID
	// Send numbers the calls of a request from 1.
	Send   int
	Server model.BackendServer
	// Until is the deadline of the call.
	Until time.Time
	// Resume is set if the call continues a stream after LastEvent.
	Resume    bool
	LastEvent string
	// Probe is set if the request has parts of a prompt that are under quarantine.
	Probe bool
	// Waited is the time since the arrival. WithoutDispatcher is set if this instance chose the
	// server without the dispatcher.
	Waited            time.Duration
	WithoutDispatcher bool
	// Hedge is set for the second call of a hedged request, which was sent After the first one.
	Hedge bool
	After time.Duration
}

// Cancel cancels a call.
type Cancel struct {
	ID   model.RequestID
	Send int
}

// Deliver sends the complete answer of a server to the caller.
type Deliver struct {
	ID     model.RequestID
	Answer *model.HTTPAnswer
}

// Refuse answers the caller with a fault of this instance.
type Refuse struct {
	ID    model.RequestID
	Fault fault.Fault
}

// Begin accepts the answer that a call has begun: the caller gets no other one from now on.
type Begin struct {
	ID model.RequestID
	// Send is the number of the call.
	Send int
	// Answer holds the status and the header for the caller. It is nil if the call resumes a stream or the
	// caller has disconnected.
	Answer *model.HTTPAnswer
}

// Abort ends an answer that has begun and cannot be completed.
type Abort struct {
	ID    model.RequestID
	Fault fault.Fault
}

// Ended reports that a request has ended, with the result and the totals of its calls.
type Ended struct {
	ID      model.RequestID
	Request *Request
	Sends   int
	Server  model.BackendServerID
	// Result names the way the request ended.
	Result string
	Took   time.Duration
	First  time.Duration
	// Events is the number of events that were sent to the caller.
	Events int
}

// Retried reports that a request is retried, and why. Server is the one whose call failed.
type Retried struct {
	ID     model.RequestID
	Server model.BackendServerID
	Kind   CallKind
	Cause  error
}

// PassOn passes on what a backend server has said about itself.
type PassOn struct{ model.ServerNotice }

// Returned reports a grant that was returned because its server has said that it wants no request.
type Returned struct {
	ID      model.RequestID
	Server  model.BackendServerID
	Leaving bool
	// For is how long the server wants no request, if it is not leaving.
	For time.Duration
}

// HedgeEnded reports the end of the second call of a hedged request. Won is set if the caller gets its answer.
type HedgeEnded struct {
	ID     model.RequestID
	Server model.BackendServerID
	Won    bool
	// Ran is the time since the second call was sent.
	Ran time.Duration
}

// HedgeDenied reports that the second call of a slow request is not sent, and why.
type HedgeDenied struct {
	ID     model.RequestID
	Server model.BackendServerID
	Reason string
	// Ran is the time since the first call was sent.
	Ran time.Duration
}

func (HedgeEnded) effect()    {}
func (HedgeDenied) effect()   {}
func (Begin) effect()         {}
func (PassOn) effect()        {}
func (Returned) effect()      {}
func (RequestServer) effect() {}
func (Withdraw) effect()      {}
func (Report) effect()        {}
func (StartCall) effect()     {}
func (Cancel) effect()        {}
func (Deliver) effect()       {}
func (Refuse) effect()        {}
func (Abort) effect()         {}
func (Ended) effect()         {}
func (Retried) effect()       {}
