package schedule

import (
	"time"

	"briaryard/internal/decide/appointment"
	"briaryard/internal/model"
)

// Request is a request that waits for a backend server.
type Request struct {
	ID      model.RequestID
	Service model.PoolID
	Team    model.TeamID
	// Rank is the urgency of the route; 0 is the most urgent.
	Rank int
	// Route is the hash of the name of the route; see model.RouteHash.
	Route uint16
	// Prompt is the number of prompt tokens, Output the limit on output tokens, and Expected the
	// number of output tokens that the caller expects, or zero.
	Prompt, Output, Expected int
	Model                    string
	Domain                   model.FailureDomain
	Arrived                  time.Time
	// StartTarget is the latest time at which the answer, or its first event, starts on time.
	// StartDeadline is the time after which a start is of no use.
	StartTarget, StartDeadline time.Time
	// Deadline is when the whole answer is due.
	Deadline time.Time
	// Tried lists the servers that the request must not go to.
	Tried []model.BackendServerID
	// Fingerprint identifies the request over several attempts of its caller, or is zero.
	Fingerprint uint64
	// Admitted is set if the team's allotment has already been charged, as for a second try.
	Admitted bool
	// HedgeRoute is the route of a request that may be hedged; otherwise it is empty.
	HedgeRoute string
	// Hedge is set for the second call of a hedged request: it is granted or denied at once. FreeSlots is the
	// share of the service's slots that must stay free after its grant.
	Hedge     bool
	FreeSlots float64
}

// tokens returns the number of tokens charged to the team's allotment.
func (w *Request) tokens() int { return w.Prompt + w.Output }

// Reason states why a request was denied.
type Reason uint8

// Reasons for a denial.
const (
	// DeniedAllotment means that the team has used its allotment.
	DeniedAllotment Reason = iota
	// DeniedQueue means that the queue is full or that the work ahead of the request takes too long.
	DeniedQueue
	// DeniedTime means that the request expired while it waited.
	DeniedTime
	// DeniedNoServer means that the service has no usable backend server.
	DeniedNoServer
	// DeniedHeld means that all usable backend servers want no request of the instance for longer than
	// the request can wait.
	DeniedHeld
	// DeniedHedgeSlots means that the second call of a hedged request would take slots that must stay free.
	DeniedHedgeSlots
	// DeniedHedgeWaiting means that a request of the same or a more urgent rank waits for a slot.
	DeniedHedgeWaiting
	// DeniedHedgeSlow means that the calls to other servers are as slow as the first call.
	DeniedHedgeSlow
	// DeniedHedgeUnknown means that too little is known about the other servers since the first call was sent.
	DeniedHedgeUnknown
	// DeniedHedgeServer means that no other server can take the second call.
	DeniedHedgeServer
)

// String returns the reason's name.
func (r Reason) String() string {
	return [...]string{"allotment", "queue", "time", "no server", "servers hold",
		"hedge slots", "hedge waiting", "hedge slow", "hedge unknown", "hedge server"}[min(r, DeniedHedgeServer)]
}

// Decision grants a request to a backend server or denies it.
type Decision struct {
	ID     model.RequestID
	Denied bool
	// Server is the backend server of a grant.
	Server model.BackendServer
	// Reason and RetryAfter are set for a denial.
	Reason     Reason
	RetryAfter time.Duration
	// Appointment is set for a denial whose caller finds a place when it returns after RetryAfter.
	Appointment appointment.Appointment
	// Due holds, for a denial for a long queue, the lower halves of the fingerprints of the appointments of its
	// rank and service that are due soon. It is empty and DueOmitted is set if there are too many.
	Due        []uint32
	DueOmitted bool
	// HedgeAfter is the learned time from sending to the first answer after which the call of a grant counts
	// as slow, and HedgeTypical the median of that time. Both are zero if they are not known or not wanted.
	HedgeAfter, HedgeTypical time.Duration
	// Inputs are the values on which the decision is based.
	Inputs Inputs
}

// Inputs holds the state of the queue, the server and the allotment at the time of a decision.
type Inputs struct {
	Waited time.Duration
	// Waiting is the number of waiting requests: of all services for a grant, of the service for a
	// denial. Running is the number of granted requests: of the server for a grant, of the service
	// for a denial. Pending is the number of prompt tokens on the server without a first event.
	Waiting, Running, Pending int
	// Estimate is the expected time from the grant to the first event.
	Estimate time.Duration
	// Age is the time since an answer of the server last started or finished, or zero if none has.
	Age time.Duration
	// Limit is the limit that the server of a grant has named, or zero, and Limited the number of usable
	// servers of the service with one, for a denial.
	Limit   float64
	Limited int
	// Returned is set if the caller has kept an appointment.
	Returned bool
	// Reserved is the number of free slots that a grant left for more urgent ranks.
	Reserved float64
	// Level and Rate are those of the team's allotment, in its units and units per second, if the
	// allotment was the reason for a denial.
	Level, Rate float64
}

// RefusedDemand is the demand of requests of a rank that an instance refused because of an earlier denial, without
// asking the dispatcher.
type RefusedDemand struct {
	Service model.PoolID
	Rank    int
	// Requests is their number, and Hold the sum of the times for which they were expected to hold a slot.
	Requests int
	Hold     time.Duration
}

// Work is a request that has been granted to a backend server.
type Work struct {
	ID       model.RequestID
	Service  model.PoolID
	Server   model.BackendServerID
	Team     model.TeamID
	Rank     int
	Route    uint16
	Prompt   int
	Output   int
	Expected int
	// Started is set once the first event of the answer has arrived.
	Started bool
	// HedgeRoute is the route of a request that may be hedged; otherwise it is empty.
	HedgeRoute string
}

// Outcome is the progress or the result of a granted request.
type Outcome uint8

// Outcomes of a granted request.
const (
	// Began means that the first event has arrived; the request still runs.
	Began Outcome = iota
	// Finished means that the whole answer has arrived.
	Finished
	// Failed means that the server or the path to it failed.
	Failed
	// Full means that the server refused the request and did not run it.
	Full
	// Absent means that no server or a different one is at the server's address.
	Absent
	// Cancelled means that the instance ended the call itself.
	Cancelled
	// Unused means that the grant was not used.
	Unused
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"began", "finished", "failed", "full", "absent", "cancelled", "unused"}[min(o, Unused)]
}

// Report carries the progress or the result of a granted request.
type Report struct {
	ID      model.RequestID
	Server  model.BackendServerID
	Outcome Outcome
	// First is the time from sending to the first event, Rest the time from the first event to the
	// end, and Events the number of events. First of a cancelled call is the time for which it had run
	// without an answer, or zero.
	First, Rest time.Duration
	Events      int
	// Refund is set if the request has not run and will not, so that its team is not charged.
	Refund bool
}
