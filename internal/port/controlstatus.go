package port

import (
	"briaryard/internal/decide/state"
	"briaryard/internal/model"
)

// ControlStatus is an instance's view of the control group. It is immutable.
type ControlStatus struct {
	// Leader is empty while no leader is known.
	Leader model.InstanceID
	Leases []state.Lease
	Voters []model.InstanceID
	// Learners lists the non-voting members, which also hold the state.
	Learners []model.InstanceID
	// Confirmed lists the revision that each live instance has in force.
	Confirmed []Confirmation
	// RolloutsConfirmed is the generation of the roll-outs that all connected instances apply.
	RolloutsConfirmed uint64
}

// RolloutsObserver is implemented by control clients that publish the roll-outs, and by voters.
type RolloutsObserver interface {
	// SubscribeRollouts registers a receiver of the last roll-outs of all services. It is called during
	// Provision. The list is immutable.
	SubscribeRollouts(sink func([]model.Rollout))
}

// ControlObserver is implemented by control clients that publish their status. It is separate
// from ControlClient because only operators need it.
type ControlObserver interface {
	// SubscribeStatus registers a receiver of the status. It is called during Provision.
	SubscribeStatus(sink func(ControlStatus))
}

// ControlMembers lists the members of the control group as reported by one of them.
type ControlMembers struct {
	// FromLeader is set if the list comes from the leader.
	FromLeader bool
	Instances  []model.InstanceID
}

// MembersObserver is implemented by control clients that publish the members of the control group,
// also while no leader is known.
type MembersObserver interface {
	// SubscribeMembers registers a receiver of the members. It is called during Provision.
	SubscribeMembers(sink func(ControlMembers))
}

// VoterChange adds an instance to the control group or removes it.
type VoterChange struct {
	Instance model.InstanceID
	Remove   bool
}

// VoterChanger is implemented by control clients that can change the set of voters.
type VoterChanger interface {
	// ChangeVoters adds or removes one voter. The result is passed to reply, as in
	// ControlClient.Do.
	ChangeVoters(c VoterChange, reply func(ControlReply)) error
}
