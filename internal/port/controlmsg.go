package port

import (
	"time"

	"briaryard/internal/decide/state"
	"briaryard/internal/model"
)

// Messages from an instance to a voter, sent to ControlName.
type (
	// CommandRequest asks the leader to commit a command. ID is unique among the processes of the
	// sender; a resent request has the same ID.
	CommandRequest struct {
		ID      uint64
		Command state.Command
	}
	// Heartbeat reports the configuration and leases of an instance to the leader. The reply
	// renews the listed leases; the holder measures their duration from the time at which it
	// sent the heartbeat.
	Heartbeat struct {
		// Seq numbers the heartbeats and is unique among the processes of the sender; the reply repeats it.
		Seq      uint64
		Instance model.InstanceID
		// Incarnation is the incarnation of the sender.
		Incarnation model.Incarnation
		// Revision is the configuration in force at the sender.
		Revision model.Revision
		// Holds lists the leases that the sender still uses.
		Holds []state.Lease
		// Stopping means that no lease may be granted to the sender.
		Stopping bool
		// Rollouts is the generation of the roll-outs that the sender applies.
		Rollouts uint64
	}
)

// Messages from a voter to an instance, sent to ControlClientName.
type (
	// CommandReply answers a CommandRequest.
	CommandReply struct {
		ID     uint64
		Result state.Result
		// NotLeader means that the sender is not the leader, or no longer, and has no result. The
		// command may still be committed. Leader is the known leader, or empty.
		NotLeader bool
		Leader    model.InstanceID
	}
	// HeartbeatReply answers a Heartbeat.
	HeartbeatReply struct {
		Seq       uint64
		NotLeader bool
		Leader    model.InstanceID
		// Config is set when the sender's revision is older than the one in force.
		Config *state.AcceptedConfig
		// Revision is the revision in force.
		Revision model.Revision
		// Leases is the whole lease table.
		Leases []state.Lease
		// Voters lists the instances that take part in the control group.
		Voters []model.InstanceID
		// Learners lists the non-voting members, which also hold the state.
		Learners []model.InstanceID
		// Confirmed lists the revision that each live instance has in force. It is set in some
		// replies only.
		Confirmed []Confirmation
		// Rollouts lists all roll-outs if the sender of the heartbeat does not apply RolloutsGeneration.
		// RolloutsConfirmed is the generation that all connected instances apply.
		Rollouts                              []model.Rollout
		RolloutsGeneration, RolloutsConfirmed uint64
	}
	// Confirmation is the revision that an instance has in force.
	Confirmation struct {
		Instance model.InstanceID
		Revision model.Revision
		// Stopping means that the instance accepts no new work.
		Stopping bool
	}
)

const (
	// LeaseDuration is how long a lease lasts without renewal. After a dispatcher has failed,
	// its pool waits for this duration, a heartbeat of the next holder and the rebuild of the
	// state. The sum must stay below 1 s, the delay that urgent requests tolerate.
	LeaseDuration = 500 * time.Millisecond
	// HolderInterval is the heartbeat interval of an instance that holds a lease; three
	// heartbeats can be lost before the lease expires.
	HolderInterval = 125 * time.Millisecond
	// HeartbeatInterval is the heartbeat interval of the other instances.
	HeartbeatInterval = 250 * time.Millisecond
	// ConfirmWithin is the time without a confirmed configuration after which an instance
	// withdraws. An accepted change must be in force on all instances within 5 s.
	ConfirmWithin = 5 * time.Second
	// DeadAfter is the time without a heartbeat after which the leader declares an instance
	// dead. It exceeds ConfirmWithin, so that a dead instance accepts no new work.
	DeadAfter = 10 * time.Second
	// MaxClockDrift is the largest assumed difference between the rates of two monotonic
	// clocks, in percent.
	MaxClockDrift = 1
)
