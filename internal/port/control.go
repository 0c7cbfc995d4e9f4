package port

import (
	"time"

	"briaryard/internal/decide/state"
	"briaryard/internal/model"
)

// Names of the control services.
const (
	// ControlName is the service of a voter of the control group. It runs only on instances
	// with a data folder.
	ControlName = "control"
	// ControlClientName is the client of the control group. It runs on every instance.
	ControlClientName = "controlclient"
)

// ControlReply is the answer to a command.
type ControlReply struct {
	Result state.Result
	// Err is set when the control group could not be reached in time. The command may or
	// may not have been applied.
	Err error
}

// Lease is this instance's view of a lease.
type Lease struct {
	Name   string
	Holder model.InstanceID
	Epoch  model.Epoch
	// Lapsed is set when this instance is the holder and the lease may have expired. The
	// instance may continue only with operations that are safe while another one holds it.
	Lapsed bool
	// Until is when the lease expires on this instance's clock. It is set if this instance
	// holds the lease and it has not lapsed. It is published at least every HeartbeatInterval.
	Until time.Time
}

// ControlClient sends commands to the control group.
type ControlClient interface {
	// Do sends a command and resends it until it is answered or a time limit passes.
	// Resending is safe because each command is idempotent. The result is passed to reply.
	// Do returns ring.FullError, and does not call reply, if there is no room for the command.
	Do(c state.Command, reply func(ControlReply)) error
	// SubscribeLeases registers a receiver of the lease table. It is called during Provision.
	SubscribeLeases(sink func([]Lease))
	// SubscribeConfig registers a receiver of accepted configurations. It is called during Provision.
	SubscribeConfig(sink func(state.AcceptedConfig))
	// SubscribeConfirmed registers a receiver that is told whether the control group has
	// recently confirmed this instance's configuration; while it has not, the instance accepts
	// no new work. The first call passes false unless there is no control group to ask. It is
	// called during Provision.
	SubscribeConfirmed(sink func(ok bool))
	// ReleaseLeases releases the leases that this instance holds. It calls done when the
	// control group has confirmed or a time limit has passed.
	ReleaseLeases(done func())
	// ConfirmConfig reports the revision that this instance has in force.
	ConfirmConfig(r model.Revision)
}

// ConfigAsOf states that Revision was the accepted revision at time At on the control client's
// clock.
type ConfigAsOf struct {
	Revision model.Revision
	At       time.Time
}

// ConfigFreshness is implemented by control clients that report when their configuration was last
// known to be the accepted one.
type ConfigFreshness interface {
	// SubscribeAsOf registers a receiver of these times. It is called during Provision.
	SubscribeAsOf(sink func(ConfigAsOf))
}
