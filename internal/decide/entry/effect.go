package entry

import (
	"time"

	"briaryard/internal/decide/state"
	"briaryard/internal/fault"
	"briaryard/internal/model"
)

// Effect is something that the entry service does for the machine.
type Effect interface{ effect() }

// Register adds the request to its pool's order.
type Register struct{ Descriptor model.Descriptor }

// Withdraw removes the request from its pool's order.
type Withdraw struct {
	Request model.RequestID
	Pool    model.PoolID
}

// Report tells the dispatcher about a granted request.
type Report struct {
	Progress model.Progress
	// Reason says why a grant was returned.
	Reason string
}

// Control sends a command to the control group; the answer comes back through Controlled.
type Control struct {
	Request model.RequestID
	// Team comes back with the answer, which may arrive after the request has ended.
	Team    model.TeamID
	Command state.Command
}

// Begin hands the request to a transfer.
type Begin struct {
	Request model.RequestID
	Server  model.BackendServer
	Epoch   model.Epoch
	Call    model.Call
	// Keep is set for requests with a key.
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

// Conclude releases the last event of a kept answer.
type Conclude struct{ Request model.RequestID }

// Replay answers a submission with a kept answer.
type Replay struct {
	Caller model.RequestID
	Answer *model.Answer
}

// Refuse ends a submission with a failure.
type Refuse struct {
	Caller model.RequestID
	Fault  fault.Fault
	// Tier is that of the request, for the metrics.
	Tier model.Tier
}

// Finished reports the end of a request whose answer arrived whole.
type Finished struct {
	Request    model.RequestID
	Server     model.BackendServerID
	Tier       model.Tier
	Tokens     int
	FirstToken time.Duration
	Took       time.Duration
	InTime     bool
	// Callers is the number of submissions that the answer serves.
	Callers int
}

// Cancelled reports that a request ended because its callers had gone.
type Cancelled struct {
	Request model.RequestID
	Phase   string
	// Prefill is the number of prompt tokens computed in vain.
	Prefill int
}

// NotAdmitted reports that a backend server provably did not run the request.
type NotAdmitted struct {
	Request model.RequestID
	Server  model.BackendServerID
	Err     error
}

// Released reports that a submission is no longer attached to a request.
type Released struct{ Caller model.RequestID }

// Drained reports that no request is left after Drain.
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
