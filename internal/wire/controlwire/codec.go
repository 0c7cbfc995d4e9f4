package controlwire

import (
	"briaryard/internal/decide/state"
	"briaryard/internal/fault"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/wire/controlpb"
)

// MaxMessage bounds the encoded size of a message between an instance and a voter.
const MaxMessage = MaxCommand + 1<<20

// Codec implements port.Codec for the messages between instances and voters: CommandRequest,
// Heartbeat, CommandReply and HeartbeatReply, each passed by value.
type Codec struct{}

var _ port.Codec = Codec{}

// Encode implements port.Codec. It rejects what Decode would reject.
func (Codec) Encode(body any) ([]byte, error) {
	m, err := messageToPB(body)
	if err != nil {
		return nil, err
	}
	check := checker{message: "control message"}
	check.body(m)
	if check.err != nil {
		return nil, &EncodeError{Value: body, Reason: check.err.Reason}
	}
	return marshal(m, MaxMessage)
}

func messageToPB(body any) (*controlpb.Message, error) {
	switch b := body.(type) {
	case port.CommandRequest:
		command, err := commandToPB(b.Command)
		if err != nil {
			return nil, err
		}
		return &controlpb.Message{Message: &controlpb.Message_CommandRequest{
			CommandRequest: &controlpb.CommandRequest{Id: b.ID, Command: command}}}, nil
	case port.Heartbeat:
		return &controlpb.Message{Message: &controlpb.Message_Heartbeat{Heartbeat: &controlpb.Heartbeat{
			Seq: b.Seq, Instance: string(b.Instance), Incarnation: uint64(b.Incarnation),
			Revision: uint64(b.Revision), Holds: leasesToPB(b.Holds), Stopping: b.Stopping,
			Rollouts: b.Rollouts}}}, nil
	case port.CommandReply:
		result, err := resultToPB(b.Result)
		if err != nil {
			return nil, err
		}
		return &controlpb.Message{Message: &controlpb.Message_CommandReply{CommandReply: &controlpb.CommandReply{
			Id: b.ID, Result: result, NotLeader: b.NotLeader, Leader: string(b.Leader)}}}, nil
	case port.HeartbeatReply:
		return &controlpb.Message{Message: &controlpb.Message_HeartbeatReply{HeartbeatReply: heartbeatReplyToPB(b)}}, nil
	}
	return nil, &EncodeError{Value: body, Reason: "unknown message"}
}

func heartbeatReplyToPB(b port.HeartbeatReply) *controlpb.HeartbeatReply {
	m := &controlpb.HeartbeatReply{Seq: b.Seq, NotLeader: b.NotLeader, Leader: string(b.Leader),
		Revision: uint64(b.Revision), Leases: leasesToPB(b.Leases),
		Rollouts: rolloutsToPB(b.Rollouts), RolloutsGeneration: b.RolloutsGeneration, RolloutsConfirmed: b.RolloutsConfirmed}
	if b.Config != nil {
		m.Config = configToPB(*b.Config)
	}
	for _, v := range b.Voters {
		m.Voters = append(m.Voters, string(v))
	}
	for _, l := range b.Learners {
		m.Learners = append(m.Learners, string(l))
	}
	for _, c := range b.Confirmed {
		m.Confirmed = append(m.Confirmed, &controlpb.Confirmation{
			Instance: string(c.Instance), Revision: uint64(c.Revision), Stopping: c.Stopping})
	}
	return m
}

// Decode implements port.Codec.
func (Codec) Decode(data []byte) (any, error) {
	m := new(controlpb.Message)
	if err := unmarshal("control message", data, MaxMessage, m); err != nil {
		return nil, err
	}
	c := checker{message: "control message"}
	body := c.body(m)
	if err := c.error(); err != nil {
		return nil, err
	}
	return body, nil
}

// body converts a message and checks its fields.
func (c *checker) body(m *controlpb.Message) any {
	switch m := m.GetMessage().(type) {
	case *controlpb.Message_CommandRequest:
		v := m.CommandRequest
		return port.CommandRequest{ID: v.GetId(), Command: c.command(v.GetCommand())}
	case *controlpb.Message_Heartbeat:
		v := m.Heartbeat
		return port.Heartbeat{Seq: v.GetSeq(), Instance: c.instance(v.GetInstance()), Incarnation: model.Incarnation(v.GetIncarnation()),
			Revision: model.Revision(v.GetRevision()), Holds: c.leases(v.GetHolds()), Stopping: v.GetStopping(),
			Rollouts: v.GetRollouts()}
	case *controlpb.Message_CommandReply:
		v := m.CommandReply
		return port.CommandReply{ID: v.GetId(), Result: c.result(v.GetResult()), NotLeader: v.GetNotLeader(), Leader: c.instance(v.GetLeader())}
	case *controlpb.Message_HeartbeatReply:
		return c.heartbeatReply(m.HeartbeatReply)
	}
	c.fail("unknown message")
	return nil
}

func (c *checker) heartbeatReply(v *controlpb.HeartbeatReply) port.HeartbeatReply {
	r := port.HeartbeatReply{Seq: v.GetSeq(), NotLeader: v.GetNotLeader(), Leader: c.instance(v.GetLeader()),
		Revision: model.Revision(v.GetRevision()), Leases: c.leases(v.GetLeases()),
		Rollouts: c.rollouts(v.GetRollouts()), RolloutsGeneration: v.GetRolloutsGeneration(), RolloutsConfirmed: v.GetRolloutsConfirmed()}
	if v.GetConfig() != nil {
		config := c.config(v.GetConfig())
		r.Config = &config
	}
	if len(v.GetVoters()) > maxInstances || len(v.GetLearners()) > maxInstances || len(v.GetConfirmed()) > maxInstances {
		c.fail("too many instances")
		return r
	}
	for _, id := range v.GetVoters() {
		r.Voters = append(r.Voters, c.instance(id))
	}
	for _, id := range v.GetLearners() {
		r.Learners = append(r.Learners, c.instance(id))
	}
	for _, f := range v.GetConfirmed() {
		r.Confirmed = append(r.Confirmed, port.Confirmation{
			Instance: c.instance(f.GetInstance()), Revision: model.Revision(f.GetRevision()), Stopping: f.GetStopping()})
	}
	return r
}

func resultToPB(r state.Result) (*controlpb.Result, error) {
	m := &controlpb.Result{Index: r.Index, Claim: uint32(r.Claim), Answer: answerToPB(r.Answer),
		Revision: uint64(r.Revision), Older: r.HasOlder, Rollout: rolloutToPB(r.Rollout)}
	for _, change := range r.Changes {
		m.Changes = append(m.Changes, configToPB(change))
	}
	if r.Lease != (state.Lease{}) {
		m.Lease = leaseToPB(r.Lease)
	}
	var err error
	m.Fault, err = faultToPB(r.Err)
	return m, err
}

func faultToPB(f fault.Fault) (*controlpb.Fault, error) {
	switch f := f.(type) {
	case nil:
		return nil, nil
	case *fault.ClaimsFull:
		return &controlpb.Fault{Fault: &controlpb.Fault_ClaimsFull{ClaimsFull: &controlpb.ClaimsFull{
			Team: string(f.Team), Held: int64(f.Held), Bound: int64(f.Bound), Limit: int64(f.Limit)}}}, nil
	case *fault.ConfigConflict:
		return &controlpb.Fault{Fault: &controlpb.Fault_ConfigConflict{ConfigConflict: conflictToPB(f)}}, nil
	case *fault.ChangeReused:
		return &controlpb.Fault{Fault: &controlpb.Fault_ChangeReused{ChangeReused: &controlpb.ChangeReused{ChangeId: f.ChangeID}}}, nil
	case *fault.ControlUnavailable:
		return &controlpb.Fault{Fault: &controlpb.Fault_ControlUnavailable{ControlUnavailable: &controlpb.ControlUnavailable{Operation: f.Operation}}}, nil
	}
	return voterFaultToPB(f)
}

// voterFaultToPB encodes the faults of changes of the voters.
func voterFaultToPB(f fault.Fault) (*controlpb.Fault, error) {
	switch f := f.(type) {
	case *fault.LastVoter:
		return &controlpb.Fault{Fault: &controlpb.Fault_LastVoter{LastVoter: &controlpb.Voter{Instance: string(f.Instance)}}}, nil
	case *fault.VoterChangeInProgress:
		return &controlpb.Fault{Fault: &controlpb.Fault_VoterChangeInProgress{VoterChangeInProgress: &controlpb.Voter{Instance: string(f.Instance)}}}, nil
	case *fault.UnknownVoter:
		return &controlpb.Fault{Fault: &controlpb.Fault_UnknownVoter{UnknownVoter: &controlpb.Voter{Instance: string(f.Instance)}}}, nil
	case *fault.QuorumLost:
		m := &controlpb.QuorumLost{Instance: string(f.Instance), Needed: int64(f.Needed), Reachable: int64(f.Reachable)}
		for _, id := range f.Silent {
			m.Silent = append(m.Silent, string(id))
		}
		return &controlpb.Fault{Fault: &controlpb.Fault_QuorumLost{QuorumLost: m}}, nil
	}
	return rolloutFaultToPB(f)
}

func (c *checker) result(m *controlpb.Result) state.Result {
	r := state.Result{Index: m.GetIndex(), Claim: c.claimStatus(m.GetClaim()), Answer: c.answer(m.GetAnswer()),
		Lease: c.lease(m.GetLease()), Revision: model.Revision(m.GetRevision()), HasOlder: m.GetOlder(), Err: c.fault(m.GetFault()),
		Rollout: c.rollout(m.GetRollout())}
	if len(m.GetChanges()) > state.ChangesPerPage {
		c.fail("too many changes")
		return r
	}
	for _, change := range m.GetChanges() {
		r.Changes = append(r.Changes, c.config(change))
	}
	return r
}

func (c *checker) fault(m *controlpb.Fault) fault.Fault {
	if m == nil {
		return nil
	}
	switch f := m.GetFault().(type) {
	case *controlpb.Fault_ClaimsFull:
		v := f.ClaimsFull
		return &fault.ClaimsFull{Team: c.team(v.GetTeam()), Held: c.number(v.GetHeld()), Bound: c.number(v.GetBound()), Limit: c.number(v.GetLimit())}
	case *controlpb.Fault_ConfigConflict:
		conflict := c.conflict(f.ConfigConflict)
		return &conflict
	case *controlpb.Fault_ChangeReused:
		return &fault.ChangeReused{ChangeID: c.text(f.ChangeReused.GetChangeId())}
	case *controlpb.Fault_ControlUnavailable:
		return &fault.ControlUnavailable{Operation: c.text(f.ControlUnavailable.GetOperation())}
	}
	switch f := m.GetFault().(type) {
	case *controlpb.Fault_LastVoter:
		return &fault.LastVoter{Instance: c.instance(f.LastVoter.GetInstance())}
	case *controlpb.Fault_VoterChangeInProgress:
		return &fault.VoterChangeInProgress{Instance: c.instance(f.VoterChangeInProgress.GetInstance())}
	case *controlpb.Fault_UnknownVoter:
		return &fault.UnknownVoter{Instance: c.instance(f.UnknownVoter.GetInstance())}
	case *controlpb.Fault_QuorumLost:
		return c.quorumLost(f.QuorumLost)
	}
	return c.rolloutFault(m)
}

func (c *checker) quorumLost(m *controlpb.QuorumLost) fault.Fault {
	f := &fault.QuorumLost{Instance: c.instance(m.GetInstance()), Needed: c.number(m.GetNeeded()), Reachable: c.number(m.GetReachable())}
	if len(m.GetSilent()) > maxInstances {
		c.fail("too many instances")
		return f
	}
	for _, id := range m.GetSilent() {
		f.Silent = append(f.Silent, c.instance(id))
	}
	return f
}

func (c *checker) conflict(m *controlpb.ConfigConflict) fault.ConfigConflict {
	return fault.ConfigConflict{Number: model.Revision(m.GetNumber()), Current: model.Revision(m.GetCurrent()),
		WinnerChange: c.text(m.GetWinnerChange()), WinnerOperator: c.text(m.GetWinnerOperator())}
}

func conflictToPB(f *fault.ConfigConflict) *controlpb.ConfigConflict {
	return &controlpb.ConfigConflict{Number: uint64(f.Number), Current: uint64(f.Current),
		WinnerChange: f.WinnerChange, WinnerOperator: f.WinnerOperator}
}
