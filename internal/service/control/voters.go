package control

import (
	"time"

	"briaryard/internal/decide/consensus"
	"briaryard/internal/decide/state"
	"briaryard/internal/fault"
	"briaryard/internal/model"
)

const (
	// joinTimeout is how long the addition of an instance waits for it to join. It covers the
	// interval at which instances ask to join (1 s) and stays below the client's time limit for a
	// command (2 s).
	joinTimeout = 1500 * time.Millisecond
	// quorumTimeout is how long a removal waits until the remaining voters have acknowledged a
	// heartbeat sent after the request. A voter that has just died then does not count, and one lost
	// message does not cause a refusal. It covers several heartbeats (100 ms) and stays below the
	// client's time limit.
	quorumTimeout = 1500 * time.Millisecond
	// maxChangeAnswers is the number of answers kept for requests that are resent.
	maxChangeAnswers = 64
)

// voterChange is the addition or removal of a voter that this leader carries out for a requester.
type voterChange struct {
	request
	state.ChangeVoters
	term uint64
	// index is the log index that must be committed before the change is answered; zero until the
	// membership shows the change.
	index uint64
}

// changeAnswer is the answer to a finished change. It is kept because a resent removal would
// otherwise be answered with UnknownVoter.
type changeAnswer struct {
	from   model.InstanceID
	id     uint64
	result state.Result
}

// changeVoters begins a change. An addition is complete when the instance is a learner, which is
// promoted once it has caught up.
func (s *Service) changeVoters(now time.Time, r request, c state.ChangeVoters) {
	for _, a := range s.changeAnswers {
		if a.from == r.from && a.id == r.id {
			s.reply(r, a.result)
			return
		}
	}
	st := s.node.Status()
	switch records := recordsOf(st.Members, c.Instance); {
	case !s.settled():
		s.replyNotLeader(r)
	case s.voterChange != nil && s.voterChange.from == r.from && s.voterChange.id == r.id:
		// The request was resent; the change in progress answers it.
	case s.voterChange != nil || !s.node.CanChange():
		s.reply(r, state.Result{Err: &fault.VoterChangeInProgress{Instance: c.Instance}})
	case c.Remove && len(records) == 0:
		s.reply(r, state.Result{Err: &fault.UnknownVoter{Instance: c.Instance}})
	case c.Remove && isLastVoter(st.Members, c.Instance):
		s.reply(r, state.Result{Err: &fault.LastVoter{Instance: c.Instance}})
	default:
		s.voterChange = &voterChange{request: r, ChangeVoters: c, term: st.Term}
		if c.Remove {
			// Without this the removed instance could join again.
			s.node.Revoke(c.Instance)
		} else {
			s.node.Permit(c.Instance)
		}
		s.advanceVoterChange(now)
	}
}

// recordsOf returns the records of an instance, one for each of its folders.
func recordsOf(s consensus.Membership, id model.InstanceID) []consensus.MemberRecord {
	var out []consensus.MemberRecord
	for _, r := range s.Members {
		if r.Instance == id {
			out = append(out, r)
		}
	}
	return out
}

func isLastVoter(s consensus.Membership, id model.InstanceID) bool {
	voters := s.Voters()
	return len(voters) == 1 && voters[0].Instance == id
}

// advanceVoterChange takes the next step of the change in progress. It checks the term and not the
// role, because a leader that removes itself is no longer the leader when the removal is committed,
// but still in the same term.
func (s *Service) advanceVoterChange(now time.Time) {
	c := s.voterChange
	if c == nil {
		return
	}
	st := s.node.Status()
	records := recordsOf(st.Members, c.Instance)
	switch {
	case st.Term != c.term:
	case len(records) > 0 && !c.Remove || len(records) == 0 && c.Remove:
		if c.index == 0 {
			c.index = st.Last
		}
		if st.Commit >= c.index {
			s.finishVoterChange(state.Result{Index: c.index})
		}
	case c.Remove:
		s.removeRecord(now, c, records[0])
	case now.Sub(c.receivedAt) >= joinTimeout:
		s.node.Revoke(c.Instance)
		s.finishVoterChange(state.Result{Err: &fault.UnknownVoter{Instance: c.Instance}})
	}
}

// removeRecord proposes the removal of one record of the instance. An instance whose folder was
// replaced has a voter and a learner, which are removed one by one. A removal after which the
// reachable voters could not commit is refused.
func (s *Service) removeRecord(now time.Time, c *voterChange, r consensus.MemberRecord) {
	q := s.node.QuorumWithout(r.Member, c.receivedAt)
	if r.Learner || q.Works() {
		s.node.RemoveVoter(now, r.Member)
		return
	}
	if now.Sub(c.receivedAt) < quorumTimeout {
		return
	}
	f := &fault.QuorumLost{Instance: c.Instance, Needed: q.Needed, Reachable: q.Reachable}
	for _, m := range q.Silent {
		f.Silent = append(f.Silent, m.Instance)
	}
	s.finishVoterChange(state.Result{Err: f})
}

// finishVoterChange answers the change in progress and keeps the answer for resent requests.
func (s *Service) finishVoterChange(result state.Result) {
	c := s.voterChange
	s.voterChange = nil
	s.changeAnswers = append(s.changeAnswers, changeAnswer{from: c.from, id: c.id, result: result})
	if len(s.changeAnswers) > maxChangeAnswers {
		s.changeAnswers = s.changeAnswers[1:]
	}
	s.reply(c.request, result)
}

// refuseVoterChange answers the change in progress when this voter stops leading.
func (s *Service) refuseVoterChange() {
	if c := s.voterChange; c != nil {
		s.voterChange = nil
		s.replyNotLeader(c.request)
	}
}
