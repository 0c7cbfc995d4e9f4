package control

import (
	"time"

	"briaryard/internal/decide/consensus"
	"briaryard/internal/decide/state"
	"briaryard/internal/fault"
	"briaryard/internal/model"
)

const (
	// joinWithin covers the interval in which instances ask to join (1 s) and stays below the
	// client's time limit for a command (2 s).
	joinWithin = 1500 * time.Millisecond
	// quorumWithin is how long a removal waits for the voters that would be left to acknowledge a
	// heartbeat sent after the request, so that a voter which has just died does not count and one
	// lost message refuses nothing. It covers several heartbeats (100 ms) and stays below the
	// client's time limit.
	quorumWithin = 1500 * time.Millisecond
	// keptChanges is the number of answers kept for requests that are sent again.
	keptChanges = 64
)

// voterChange is the change of voters that this leader carries out for a requester.
type voterChange struct {
	request
	state.ChangeVoters
	term uint64
	// index is the membership entry to commit, zero until there is one.
	index uint64
}

// changeAnswer is kept because a repeated removal would otherwise be answered as unknown.
type changeAnswer struct {
	from   model.InstanceID
	id     uint64
	result state.Result
}

// changeVoters begins a change. Adding ends when the instance is a learner, which is promoted
// once it has caught up.
func (s *Service) changeVoters(now time.Time, r request, c state.ChangeVoters) {
	for _, a := range s.changed {
		if a.from == r.from && a.id == r.id {
			s.reply(r, a.result)
			return
		}
	}
	st := s.node.Status()
	switch records := recordsOf(st.Members, c.Instance); {
	case !s.settled():
		s.notLeader(r)
	case s.changing != nil && s.changing.from == r.from && s.changing.id == r.id:
		// It was sent again; the change in progress answers it.
	case s.changing != nil || !s.node.CanChange():
		s.reply(r, state.Result{Err: &fault.VoterChangeInProgress{Instance: c.Instance}})
	case c.Remove && len(records) == 0:
		s.reply(r, state.Result{Err: &fault.UnknownVoter{Instance: c.Instance}})
	case c.Remove && isLastVoter(st.Members, c.Instance):
		s.reply(r, state.Result{Err: &fault.LastVoter{Instance: c.Instance}})
	default:
		s.changing = &voterChange{request: r, ChangeVoters: c, term: st.Term}
		if c.Remove {
			// Otherwise the removed instance could join again.
			s.node.Revoke(c.Instance)
		} else {
			s.node.Permit(c.Instance)
		}
		s.continueVoterChange(now)
	}
}

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

// continueVoterChange takes the next step of the change in progress. A leader that removes
// itself has left its role when the removal is committed, but not its term.
func (s *Service) continueVoterChange(now time.Time) {
	c := s.changing
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
			s.endVoterChange(state.Result{Index: c.index})
		}
	case c.Remove:
		s.removeRecord(now, c, records[0])
	case now.Sub(c.at) >= joinWithin:
		s.node.Revoke(c.Instance)
		s.endVoterChange(state.Result{Err: &fault.UnknownVoter{Instance: c.Instance}})
	}
}

// removeRecord proposes the removal of one record of the instance; one whose folder was replaced
// has a voter and a learner, which go one by one. It refuses a removal after which the voters that
// answer could commit nothing.
func (s *Service) removeRecord(now time.Time, c *voterChange, r consensus.MemberRecord) {
	q := s.node.QuorumWithout(r.Member, c.at)
	if r.Learner || q.Works() {
		s.node.RemoveVoter(now, r.Member)
		return
	}
	if now.Sub(c.at) < quorumWithin {
		return
	}
	f := &fault.QuorumLost{Instance: c.Instance, Needed: q.Needed, Reachable: q.Reachable}
	for _, m := range q.Silent {
		f.Silent = append(f.Silent, m.Instance)
	}
	s.endVoterChange(state.Result{Err: f})
}

func (s *Service) endVoterChange(result state.Result) {
	c := s.changing
	s.changing = nil
	s.changed = append(s.changed, changeAnswer{from: c.from, id: c.id, result: result})
	if len(s.changed) > keptChanges {
		s.changed = s.changed[1:]
	}
	s.reply(c.request, result)
}

// refuseVoterChange answers the change in progress when this voter stops leading.
func (s *Service) refuseVoterChange() {
	if c := s.changing; c != nil {
		s.changing = nil
		s.notLeader(c.request)
	}
}
