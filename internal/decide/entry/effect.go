package entry

import (
	"time"

	"briaryard/internal/decide/state"
	"briaryard/internal/fault"
	"briaryard/internal/model"
)

// Effect is an action that the machine requests and the entry service executes.
type Effect interface{ effect() }

// Register adds a request to the queue of its pool's dispatcher.
type Register struct{ Descriptor model.Descriptor }

// Withdraw removes a request from the queue of its pool's dispatcher.
type Withdraw struct {
	Request model.RequestID
	Pool    model.PoolID
}

// Report sends the progress of a granted request to the dispatcher.
type Report struct {
	Progress model.Progress
	// Reason states why a grant was returned.
	Reason string
}

// Control sends a command to the control group; the result is passed to Controlled.
type Control struct {
	Request model.RequestID
	// Team is passed back with the result, which may arrive after the request has ended.
	Team    model.TeamID
	Command state.Command
}

// Begin starts the transfer of a request to a backend server.
type Begin struct {
	Request model.RequestID
	Server  model.BackendServer
	Epoch   model.Epoch
	Call    model.Call
	// Keep is set for requests with an idempotency key, whose outcome is stored before the
	// callers get the last event.
	Keep bool
	// Callers lists the attached submissions.
	Callers []model.RequestID
	Pool    model.PoolID
	Waited  time.Duration
}

// Join attaches a submission to a running transfer.
type Join struct{ Request, Caller model.RequestID }

// Joined reports that a submission joined an earlier attempt at this instance.
type Joined struct{ Request, Caller model.RequestID }

// Leave detaches a submission from a running transfer.
type Leave struct{ Request, Caller model.RequestID }

// Conclude releases the last event of an answer, which is held back until the outcome is
// stored.
type Conclude struct{ Request model.RequestID }

// Replay answers a submission with the stored answer of an earlier attempt.
type Replay struct {
	Caller model.RequestID
	Answer *model.Answer
}

// Refuse ends a submission with a fault.
type Refuse struct {
	Caller model.RequestID
	Fault  fault.Fault
	// Tier is that of the request, for the metrics.
	Tier model.Tier
}

// Finished reports a request whose answer arrived completely.
type Finished struct {
	Request    model.RequestID
	Server     model.BackendServerID
	Tier       model.Tier
	Tokens     int
	FirstToken time.Duration
	Took       time.Duration
	InTime     bool
	// Callers is the number of submissions attached to the request.
	Callers int
}

// Cancelled reports that a request ended because all its callers had disconnected.
type Cancelled struct {
	Request model.RequestID
	Phase   string
	// Prefill is the number of prompt tokens whose computation was wasted.
	Prefill int
}

// NotAdmitted reports proof that a backend server did not run the request.
type NotAdmitted struct {
	Request model.RequestID
	Server  model.BackendServerID
	Err     error
}

// Released reports that a submission is no longer attached to a request.
type Released struct{ Caller model.RequestID }

// Drained reports that the last request has ended after Drain.
type Drained struct{}

func (Register) effect()    {}
func (Withdraw) effect()    {}
func (Report) effect()      {}
func (Control) effect()     {}
func (Begin) effect()       {}
func (Join) effect()        {}
func (Joined) effect()      {}
func (Leave) effect()       {}
func (Conclude) effect()    {}
func (Replay) effect()      {}
func (Refuse) effect()      {}
func (Finished) effect()    {}
func (Cancelled) effect()   {}
func (NotAdmitted) effect() {}
func (Released) effect()    {}
func (Drained) effect()     {}
