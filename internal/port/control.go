package port

import (
	"time"

	"briaryard/internal/decide/state"
	"briaryard/internal/model"
)

// Names of the control services.
const (
	// ControlName is the service of a voter. It exists only on instances with a data folder.
	ControlName = "control"
	// ControlClientName is the service that reaches the control group from any instance.
	ControlClientName = "controlclient"
)

// ControlReply is the answer to a command.
type ControlReply struct {
	Result state.Result
	// Err is set when the control group could not be reached in time. The command may or
	// may not have been applied.
	Err error
}

// Lease is a lease as this instance knows it.
type Lease struct {
	Name   string
	Holder model.InstanceID
	Epoch  model.Epoch
	// Lapsed is set when this instance holds the lease and can no longer be sure that it
	// does. It may go on with what does no harm beside another holder.
	Lapsed bool
	// Until is when the lease runs out by this instance's clock. It is set if this instance
	// holds the lease and it has not lapsed, and is sent anew at least every HeartbeatInterval.
	Until time.Time
}

// ControlClient sends commands to the control group.
type ControlClient interface {
	// Do sends a command; it is resent until it is answered or a time limit passes.
	// Resending is harmless because each command is idempotent. The reply goes to the sink.
	// Do returns ring.FullError, and sends no reply, if there is no room for the command.
	Do(c state.Command, reply func(ControlReply)) error
	// SubscribeLeases registers a receiver of the lease table. It is called during Provision.
	SubscribeLeases(sink func([]Lease))
	// SubscribeConfig registers a receiver of accepted configurations. It is called during Provision.
	SubscribeConfig(sink func(state.AcceptedConfig))
	// SubscribeConfirmed registers a receiver of whether the control group has confirmed this
	// instance's configuration recently; while it has not, the instance takes no new work.
	// The first call says false unless there is no control group to ask. It is called during
	// Provision.
	SubscribeConfirmed(sink func(ok bool))
	// ReleaseLeases gives up the leases that this instance holds. It calls done when the
	// control group has confirmed or a time limit has passed.
	ReleaseLeases(done func())
	// ConfirmConfig reports the revision that this instance has in force.
	ConfirmConfig(r model.Revision)
}

// ConfigAsOf states that a revision was the accepted one at a time, by the clock of the control
// client.
type ConfigAsOf struct {
	Revision model.Revision
	At       time.Time
}

// ConfigFreshness is implemented by control clients that tell how old their knowledge of the
// configuration is.
type ConfigFreshness interface {
	// SubscribeAsOf registers a receiver. It is called during Provision.
	SubscribeAsOf(sink func(ConfigAsOf))
}
