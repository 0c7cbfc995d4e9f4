package consensus

import (
	"time"

	"briaryard/internal/model"
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
	known := n.permitted[m.Instance]
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
		members = members.clone()
		if old, ok := replaced(members, r.Member); ok {
			members.remove(old)
		} else {
			r.Learner = false
			members.set(r)
		}
		n.propose(now, members)
		return
	}
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
