package controlclient

import (
	"slices"

	"briaryard/internal/decide/state"
	"briaryard/internal/model"
	"briaryard/internal/port"
)

// SubscribeStatus implements port.ControlObserver.
func (r *Remote) SubscribeStatus(sink func(port.ControlStatus)) {
	r.statuses = append(r.statuses, sink)
}

// ChangeVoters implements port.VoterChanger.
func (r *Remote) ChangeVoters(c port.VoterChange, reply func(port.ControlReply)) error {
	return r.Do(state.ChangeVoters{Instance: c.Instance, Remove: c.Remove}, reply)
}

// publishStatus publishes the status of the control group that a heartbeat reply contains. Its
// sender is the leader, because any other voter sets NotLeader.
func (r *Remote) publishStatus(leader model.InstanceID, b port.HeartbeatReply) {
	if b.NotLeader {
		return
	}
	if leader != r.statusLeader {
		// A new leader may not know all instances yet.
		r.statusLeader, r.confirmations = leader, nil
	}
	if b.Confirmed != nil {
		r.confirmations = b.Confirmed
	}
	status := port.ControlStatus{Leader: leader, Leases: b.Leases, Voters: b.Voters, Learners: b.Learners, Confirmed: r.confirmations,
		RolloutsConfirmed: b.RolloutsConfirmed}
	for _, sink := range r.statuses {
		sink(status)
	}
}

// SubscribeRollouts implements port.RolloutsObserver.
func (r *Remote) SubscribeRollouts(sink func([]model.Rollout)) {
	r.rollouts = append(r.rollouts, sink)
}

// SubscribeMembers implements port.MembersObserver.
func (r *Remote) SubscribeMembers(sink func(port.ControlMembers)) {
	r.members = append(r.members, sink)
}

// publishMembers publishes the members of the control group that the sender of a heartbeat reply
// knows.
func (r *Remote) publishMembers(b port.HeartbeatReply) {
	if len(b.Voters) == 0 {
		return
	}
	m := port.ControlMembers{FromLeader: !b.NotLeader, Instances: slices.Concat(b.Voters, b.Learners)}
	for _, sink := range r.members {
		sink(m)
	}
}
