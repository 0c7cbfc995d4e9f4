package controlcall

import (
	"time"

	"briaryard/internal/decide/session"
	"briaryard/internal/decide/state"
	"briaryard/internal/model"
)

// Effect is something that the control-client service does for the machine.
type Effect interface{ effect() }

// SendCommand sends a command to a voter. A resent command has the same id.
type SendCommand struct {
	To      model.InstanceID
	ID      uint64
	Command state.Command
}

// SendHeartbeat sends a heartbeat to a voter.
type SendHeartbeat struct {
	To        model.InstanceID
	Seq       uint64
	Heartbeat session.Heartbeat
}

// Answer ends a command. Err is set if no answer came in time.
type Answer struct {
	ID     uint64
	Result state.Result
	Err    error
}

// PublishLeases publishes the lease table. A lease that this instance holds no longer, by
// its own clock, has no holder.
type PublishLeases struct{ Leases []Lease }

// Lease is a lease as this instance may act on it.
type Lease struct {
	state.Lease
	// Lapsed is set on a lease that is held here and whose time has run out without news of
	// another holder.
	Lapsed bool
	// Until is when the lease runs out, set on a lease that is held here and has not lapsed.
	Until time.Time
}

// sameHolder reports whether two leases differ at most in their time.
func (l Lease) sameHolder(o Lease) bool { return l.Lease == o.Lease && l.Lapsed == o.Lapsed }

// PublishConfig publishes an accepted configuration. Its revision is above every earlier one.
type PublishConfig struct{ Config state.AcceptedConfig }

// PublishConfirmed states whether the control group has confirmed this instance's
// configuration recently enough.
type PublishConfirmed struct{ OK bool }

// PublishAsOf states that a configuration was the accepted one at a time: that at which the answered
// heartbeat was sent.
type PublishAsOf struct {
	Revision model.Revision
	At       time.Time
}

// LeasesReleased ends a Release. Err is set if leases could not be released in time.
type LeasesReleased struct{ Err error }

// LeaderChanged reports whom the instance takes for the leader; empty if unknown.
type LeaderChanged struct{ Leader model.InstanceID }

func (SendCommand) effect()      {}
func (SendHeartbeat) effect()    {}
func (Answer) effect()           {}
func (PublishLeases) effect()    {}
func (PublishConfig) effect()    {}
func (PublishConfirmed) effect() {}
func (PublishAsOf) effect()      {}
func (LeasesReleased) effect()   {}
func (LeaderChanged) effect()    {}
