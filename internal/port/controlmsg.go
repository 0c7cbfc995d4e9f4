package port

import (
	"time"

	"briaryard/internal/decide/state"
	"briaryard/internal/model"
)

// Messages from an instance to a voter, sent to ControlName.
type (
	// CommandRequest asks the leader to commit a command. ID is unique for the sender's
	// incarnation; a resent request has the same ID.
	CommandRequest struct {
		ID      uint64
		Command state.Command
	}
	// Heartbeat tells the leader what an instance has in force. Its answer renews the
	// leases that it lists, counted by the holder from the time the heartbeat was sent.
	Heartbeat struct {
		// Seq numbers the heartbeats of an incarnation; the answer repeats it.
		Seq      uint64
		Instance model.InstanceID
		// Incarnation is the sender's.
		Incarnation model.Incarnation
		// Revision is the configuration in force at the sender.
		Revision model.Revision
		// Holds lists the leases that the sender still acts on.
		Holds []state.Lease
		// Stopping means that the sender must be given no lease.
		Stopping bool
	}
)

// Messages from a voter to an instance, sent to ControlClientName.
type (
	// CommandReply answers a CommandRequest.
	CommandReply struct {
		ID     uint64
		Result state.Result
		// NotLeader means that the command was not taken; Leader may name who to ask.
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
		// Learners lists the instances that hold the state and have no vote.
		Learners []model.InstanceID
		// Confirmed lists the revision that each live instance has in force. It is set in some
		// answers only.
		Confirmed []Confirmation
	}
	// Confirmation is the revision that an instance has in force.
	Confirmation struct {
		Instance model.InstanceID
		Revision model.Revision
		// Stopping means that the instance takes no new work.
		Stopping bool
	}
)

const (
	// LeaseDuration is how long a lease lasts without renewal. A dead dispatcher holds its
	// pool up for this long, a heartbeat of the next holder and the rebuild, which together
	// must stay below the second that urgent requests can spare.
	LeaseDuration = 500 * time.Millisecond
	// HolderInterval is the interval of heartbeats of an instance that holds a lease; three
	// can be lost before the lease runs out.
	HolderInterval = 125 * time.Millisecond
	// HeartbeatInterval is the interval of the other instances.
	HeartbeatInterval = 250 * time.Millisecond
	// ConfirmWithin is the time without a confirmed configuration after which an instance
	// withdraws. The promise allows 5 s from acceptance to everywhere.
	ConfirmWithin = 5 * time.Second
	// DeadAfter is the silence after which the leader counts an instance as dead. It exceeds
	// ConfirmWithin, so that an instance takes no new work once it counts as dead.
	DeadAfter = 10 * time.Second
	// MaxClockDrift is the largest assumed difference between the rates of two monotonic
	// clocks, in parts of a hundred.
	MaxClockDrift = 1
)
