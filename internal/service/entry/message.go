package entry

import (
	"briaryard/internal/decide/state"
	"briaryard/internal/model"
	"briaryard/internal/port"
)

// message is what the entry duty takes from its ring.
type message interface{ message() }

type submitted struct{ submission port.Submission }

type callerGone struct{ id model.RequestID }

type dispatched struct{ event port.DispatchEvent }

type transferred struct{ event port.TransferEvent }

type controlled struct {
	id    model.RequestID
	team  model.TeamID
	reply port.ControlReply
}

type stateWanted struct{ request port.StateRequest }

type configured struct{ config *model.Config }

type viewed struct{ view *model.View }

type drain struct{ done func() }

type withdrawn struct{ withdrawn bool }

func (submitted) message()   {}
func (callerGone) message()  {}
func (dispatched) message()  {}
func (transferred) message() {}
func (controlled) message()  {}
func (stateWanted) message() {}
func (configured) message()  {}
func (viewed) message()      {}
func (drain) message()       {}
func (withdrawn) message()   {}

// result returns the answer of the control group, or nil if there was none.
func (c controlled) result() *state.Result {
	if c.reply.Err != nil {
		return nil
	}
	return &c.reply.Result
}
