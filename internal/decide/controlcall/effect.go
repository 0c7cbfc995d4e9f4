package controlcall

import (
	"time"

	"briaryard/internal/decide/session"
	"briaryard/internal/decide/state"
	"briaryard/internal/model"
)

// Effect is an action that the control-client service carries out for the machine.
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

// Answer is the result of a command and ends it. Err is set if no answer arrived in time.
type Answer struct {
	ID     uint64
	Result state.Result
	Err    error
}

// ForeignReply reports an answer to a command that this process has not sent, probably one of an earlier process
// of the instance.
type ForeignReply struct {
	From model.InstanceID
	ID   uint64
}

// PublishLeases publishes the lease table. A lease that this instance no longer holds by its own
// clock has no holder.
type PublishLeases struct{ Leases []Lease }

// Lease is a lease with the state that decides whether this instance may act on it.
type Lease struct {
	state.Lease
	// Lapsed is set on a lease that is held here and has expired without news of another
	// holder.
	Lapsed bool
	// Until is when the lease expires, set on a lease that is held here and has not lapsed.
	Until time.Time
}

// sameHolder reports whether two leases differ at most in Until.
func (l Lease) sameHolder(o Lease) bool { return l.Lease == o.Lease && l.Lapsed == o.Lapsed }

// PublishConfig publishes an accepted configuration. Its revision is above every earlier one.
type PublishConfig struct{ Config state.AcceptedConfig }

// PublishConfirmed publishes whether the control group has confirmed this instance's
// configuration within the confirmation limit.
type PublishConfirmed struct{ OK bool }

// PublishAcceptedAt publishes that a revision was the accepted one at a time, which is the send
// time of the answered heartbeat.
type PublishAcceptedAt struct {
	Revision model.Revision
	At       time.Time
}

// LeasesReleased reports the end of a Release. Err is set if leases could not be released in time.
type LeasesReleased struct{ Err error }

// LeaderChanged reports the known leader; it is empty if the leader is unknown.
type LeaderChanged struct{ Leader model.InstanceID }

// ReadContacts asks for the instances that the settings name now, which are passed to AddVoters. The leader
// has not answered for a while, so that none of the known voters may be left.
type ReadContacts struct{}

// PublishRollouts publishes the last roll-outs of all services.
type PublishRollouts struct{ Rollouts []model.Rollout }

func (PublishRollouts) effect()   {}
func (ReadContacts) effect()      {}
func (SendCommand) effect()       {}
func (SendHeartbeat) effect()     {}
func (Answer) effect()            {}
func (ForeignReply) effect()      {}
func (PublishLeases) effect()     {}
func (PublishConfig) effect()     {}
func (PublishConfirmed) effect()  {}
func (PublishAcceptedAt) effect() {}
func (LeasesReleased) effect()    {}
func (LeaderChanged) effect()     {}
