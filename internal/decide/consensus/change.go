package consensus

import (
	"time"

	"briaryard/internal/model"
)

const (
	// voterSilence is how long a voter is silent before a learner takes its place. It is above
	// what a restarted process needs, so that a restart changes no voter.
	voterSilence = 2500 * time.Millisecond
	// learnerSilence is how long a learner is silent before it is forgotten. It only bounds the
	// list.
	learnerSilence = 20 * time.Second
	// maxSpare bounds the learners beside the voters.
	maxSpare = 8
)

// canChange reports whether a voter change may begin: the leader has committed in its term and
// no earlier change is uncommitted.
func (n *Node) canChange() bool {
	return n.role == Leader && n.log.commit >= n.lead.first && n.log.commit >= n.lead.change &&
		n.lead.transferee.IsZero()
}

func (n *Node) propose(now time.Time, members Membership) {
	n.lead.change = n.appendEntry(now, Entry{Kind: EntryMembers, Members: members})
}

// handleJoin adds an unknown folder as a learner. Followers pass the message on to the leader.
func (n *Node) handleJoin(now time.Time, m Message) {
	if n.hard.Group == 0 {
		if m.Group == 0 {
			n.joins[m.From.Instance] = join{member: m.From, at: now}
		}
		return
	}
	if m.Group != 0 && m.Group != n.hard.Group {
		return
	}
	if n.role != Leader {
		if !n.leader.IsZero() && m.To.Folder == 0 {
			m.To = n.leader
			n.out.Messages = append(n.out.Messages, m)
		}
		return
	}
	if members := n.log.members(); n.canChange() && n.mayJoin(members, m.From) {
		members = members.clone()
		for _, r := range members.Members {
			// An earlier learner of the same instance can no longer catch up.
			if r.Learner && r.Instance == m.From.Instance {
				members.remove(r.Member)
				break
			}
		}
		members.set(MemberRecord{Member: m.From, Learner: true, Boot: m.Boot, BootIndex: n.log.last() + 1})
		n.propose(now, members)
	}
}

// mayJoin reports whether a folder may become a learner: it is new, and its instance already
// takes part or was permitted by an operator.
func (n *Node) mayJoin(s Membership, m Member) bool {
	known := n.permitted[m.Instance] || n.set.Voters > 0 && len(s.Members) < n.set.Voters+maxSpare
	for _, r := range s.Members {
		if r.Member == m {
			return false
		}
		known = known || r.Instance == m.Instance
	}
	return known
}

// Permit lets another instance join while this node leads.
func (n *Node) Permit(id model.InstanceID) bool {
	if n.role == Leader {
		n.permitted[id] = true
	}
	return n.role == Leader
}

// Revoke takes back a permission to join.
func (n *Node) Revoke(id model.InstanceID) { delete(n.permitted, id) }

// CanChange reports whether a voter change may begin.
func (n *Node) CanChange() bool { return n.canChange() }

// promote gives a caught-up learner its vote. The folder that it replaces loses its vote in an
// earlier change, so that each change adds or removes one voter.
func (n *Node) promote(now time.Time) {
	if !n.canChange() {
		return
	}
	members := n.log.members()
	for _, r := range members.Members {
		p := n.lead.progress[r.Member]
		if !r.Learner || p == nil || p.match < n.log.commit || now.Sub(p.beat) >= MinElection {
			continue
		}
		old, replaces := replaced(members, r.Member)
		if !replaces && n.set.Voters > 0 && len(members.Voters()) >= n.set.Voters {
			if old, replaces = n.silentVoter(now, members); !replaces {
				continue
			}
		}
		members = members.clone()
		if replaces {
			members.remove(old)
		} else {
			r.Learner = false
			members.set(r)
		}
		n.propose(now, members)
		return
	}
	n.forgetLearner(now, members)
}

// silentVoter returns a voter that has acknowledged no heartbeat for voterSilence, if those that
// remain have a quorum of reachable ones. Removing it takes away no acknowledgement that a commit
// needs: the change commits by a quorum of the members that are left.
func (n *Node) silentVoter(now time.Time, s Membership) (Member, bool) {
	for _, v := range s.Voters() {
		if v != n.set.Self && n.silent(now, v, voterSilence) && n.QuorumWithout(v, now.Add(-MinElection)).Works() {
			return v, true
		}
	}
	return Member{}, false
}

// forgetLearner removes one learner that is gone, so that it does not keep a place of the spares.
func (n *Node) forgetLearner(now time.Time, s Membership) {
	if n.set.Voters == 0 {
		return
	}
	for _, r := range s.Members {
		if r.Learner && n.silent(now, r.Member, learnerSilence) {
			members := s.clone()
			members.remove(r.Member)
			n.propose(now, members)
			return
		}
	}
}

// silent reports whether a member has acknowledged no heartbeat for a time while this node led.
func (n *Node) silent(now time.Time, m Member, limit time.Duration) bool {
	p := n.lead.progress[m]
	return p != nil && now.Sub(p.beat) >= limit && now.Sub(p.since) >= limit
}

// replaced returns the voter with another folder of the learner's instance.
func replaced(s Membership, learner Member) (Member, bool) {
	for _, r := range s.Members {
		if !r.Learner && r.Instance == learner.Instance && r.Folder != learner.Folder {
			return r.Member, true
		}
	}
	return Member{}, false
}

// Quorum is what is left of the voters without one of them.
type Quorum struct {
	// Needed is the number of voters that must answer, Reachable the number that do.
	Needed, Reachable int
	// Silent lists the voters that do not answer.
	Silent []Member
}

// Works reports whether the voters that are left can commit.
func (q Quorum) Works() bool { return q.Reachable >= q.Needed }

// QuorumWithout returns what is left of the voters without a member. A voter counts as reachable
// if it has acknowledged a heartbeat that was sent at since or later. The result has a meaning at
// a leader only.
func (n *Node) QuorumWithout(m Member, since time.Time) Quorum {
	var q Quorum
	voters := 0
	for _, v := range n.log.members().Voters() {
		if v == m {
			continue
		}
		voters++
		if p := n.lead.progress[v]; v == n.set.Self || p != nil && !p.beat.Before(since) {
			q.Reachable++
		} else {
			q.Silent = append(q.Silent, v)
		}
	}
	q.Needed = voters/2 + 1
	return q
}

// RemoveVoter removes a member from the group. It reports false unless the node leads, the
// member is known and not the last voter, no other change is in progress, and the voters that
// are left have a quorum of those that answered within the shortest election timeout. A learner
// has no part in a quorum.
func (n *Node) RemoveVoter(now time.Time, m Member) bool {
	members := n.log.members()
	if _, ok := members.Find(m); !ok || !n.canChange() {
		return false
	}
	if members.IsVoter(m) && (len(members.Voters()) == 1 || !n.QuorumWithout(m, now.Add(-MinElection)).Works()) {
		return false
	}
	members = members.clone()
	members.remove(m)
	n.propose(now, members)
	return true
}

// checkRemoved ends leadership once the leader's own removal is committed.
func (n *Node) checkRemoved() {
	if n.log.commit >= n.lead.change && !n.log.members().IsVoter(n.set.Self) {
		n.becomeFollower(n.lead.sent, n.hard.Term, Member{})
	}
}
