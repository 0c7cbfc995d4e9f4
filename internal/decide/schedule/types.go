package schedule

import (
	"time"

	"briaryard/internal/model"
)

// Want is a request that waits for a backend server.
type Want struct {
	ID      model.RequestID
	Service model.PoolID
	Team    model.TeamID
	// Rank is the urgency of the route; 0 is the most urgent.
	Rank int
	// Prompt is the number of prompt tokens, Output the most output tokens, and Expected the
	// output tokens that the caller expects, or zero.
	Prompt, Output, Expected int
	Model                    string
	Domain                   model.FailureDomain
	Arrived                  time.Time
	// OnTime is when the answer, or its first event, should begin at the latest, and Until when it
	// no longer helps.
	OnTime, Until time.Time
	// End is when the whole answer must have come.
	End time.Time
	// Tried lists the servers that the request must not go to.
	Tried []model.BackendServerID
	// Admitted is set if the team's allotment has been charged, as for a second try.
	Admitted bool
}

// tokens is what the request counts as in the team's allotment.
func (w *Want) tokens() int { return w.Prompt + w.Output }

// Reason states why a request was denied.
type Reason uint8

// Reasons for a denial.
const (
	// DeniedAllotment means that the team has used its allotment.
	DeniedAllotment Reason = iota
	// DeniedQueue means that too much waits before the request.
	DeniedQueue
	// DeniedTime means that the time of the request ran out while it waited.
	DeniedTime
	// DeniedServer means that no backend server can take the request.
	DeniedServer
)

// String returns the reason's name.
func (r Reason) String() string {
	return [...]string{"allotment", "queue", "time", "no server"}[min(r, DeniedServer)]
}

// Decision grants a request to a backend server or denies it.
type Decision struct {
	ID     model.RequestID
	Denied bool
	// Server is granted.
	Server model.BackendServer
	// Reason and RetryAfter belong to a denial.
	Reason     Reason
	RetryAfter time.Duration
	// Inputs are what the decision was made by.
	Inputs Inputs
}

// Inputs are what a decision was made by.
type Inputs struct {
	Waited time.Duration
	// Waiting is the number of requests that wait for the service, Running of those granted on the
	// server, and Pending of the prompt tokens there that have no first token yet.
	Waiting, Running, Pending int
	// Estimate is the expected time to the first event.
	Estimate time.Duration
	// Age is the time since the server's last progress, or zero if there was none.
	Age time.Duration
	// Level and Rate are those of the team's allotment, in its units and units a second, when it
	// decided.
	Level, Rate float64
}

// Work is a request that was granted to a backend server.
type Work struct {
	ID       model.RequestID
	Service  model.PoolID
	Server   model.BackendServerID
	Team     model.TeamID
	Rank     int
	Prompt   int
	Output   int
	Expected int
	// Started is set once the server has begun to answer.
	Started bool
}

// Outcome states what became of granted work.
type Outcome uint8

// Outcomes.
const (
	// Began means that the first event has arrived; the work goes on.
	Began Outcome = iota
	// Finished means that the whole answer has arrived.
	Finished
	// Failed means that the server or the path to it failed.
	Failed
	// Full means that the server refused the work and did not run it.
	Full
	// Absent means that another server has the address, or none.
	Absent
	// Cancelled means that the instance ended the call for a reason of its own.
	Cancelled
	// Unused means that the grant was not used.
	Unused
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"began", "finished", "failed", "full", "absent", "cancelled", "unused"}[min(o, Unused)]
}

// Report tells what became of granted work.
type Report struct {
	ID      model.RequestID
	Server  model.BackendServerID
	Outcome Outcome
	// First is the time from sending to the first event, Rest that from the first event to the end,
	// and Events the number of events.
	First, Rest time.Duration
	Events      int
	// Refund is set if the request has not run and will not.
	Refund bool
}
