package entry

import (
	"briaryard/internal/decide/state"
	"briaryard/internal/model"
	"briaryard/internal/port"
)

// message is an item of the entry duty's ring.
type message interface{ message() }

type submitRequest struct{ submission port.Submission }

type callerGone struct{ id model.RequestID }

type dispatchEvent struct{ event port.DispatchEvent }

type transferEvent struct{ event port.TransferEvent }

type controlReply struct {
	id    model.RequestID
	team  model.TeamID
	reply port.ControlReply
}

type stateRequest struct{ request port.StateRequest }

type configChanged struct{ config *model.Config }

type viewChanged struct{ view *model.View }

type drainRequest struct{ done func() }

type withdrawnChanged struct{ withdrawn bool }

func (submitRequest) message()    {}
func (callerGone) message()       {}
func (dispatchEvent) message()    {}
func (transferEvent) message()    {}
func (controlReply) message()     {}
func (stateRequest) message()     {}
func (configChanged) message()    {}
func (viewChanged) message()      {}
func (drainRequest) message()     {}
func (withdrawnChanged) message() {}

// result returns the result of the control group, or nil if the command failed.
func (c controlReply) result() *state.Result {
	if c.reply.Err != nil {
		return nil
	}
	return &c.reply.Result
}
