package consensus

import (
	"time"

	"briaryard/internal/model"
)

const (
	// voterTimeout is how long a voter may be unresponsive before a learner replaces it. It exceeds
	// the time that a process needs to restart, so that a restart changes no voter.
	voterTimeout = 2500 * time.Millisecond
	// learnerTimeout is how long a learner may be unresponsive before it is removed. It only bounds
	// the list of members.
	learnerTimeout = 20 * time.Second
	// maxExtraMembers bounds the members beyond the configured number of voters.
	maxExtraMembers = 8
)

// canChange reports whether a voter change may begin: the leader has committed in its term and
// no earlier change is uncommitted.
func (n *Node) canChange() bool {
	return n.role == Leader && n.log.commit >= n.lead.firstIndex && n.log.commit >= n.lead.changeIndex &&
		n.lead.transferee.IsZero()
}

// proposeMembers appends a membership change, which blocks the next one until it is committed.
func (n *Node) proposeMembers(now time.Time, members Membership) {
	n.lead.changeIndex = n.appendEntry(now, Entry{Kind: EntryMembers, Members: members})
}

// handleJoin adds an unknown folder as a learner. Followers forward the message to the leader. A
// node without a group keeps the request for bootstrap.
func (n *Node) handleJoin(now time.Time, m Message) {
	if n.hard.Group == 0 {
		if m.Group == 0 {
			n.joinRequests[m.From.Instance] = joinRequest{member: m.From, at: now}
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
			// A learner with an earlier folder of the same instance can no longer catch up.
			if r.Learner && r.Instance == m.From.Instance {
				members.remove(r.Member)
				break
			}
		}
		members.set(MemberRecord{Member: m.From, Learner: true, Boot: m.Boot, BootIndex: n.log.last() + 1})
		n.proposeMembers(now, members)
	}
}

// mayJoin reports whether a folder may become a learner: it is new, and its instance is already
// a member, was permitted by an operator, or fits into the automatically maintained membership.
func (n *Node) mayJoin(s Membership, m Member) bool {
	allowed := n.permitted[m.Instance] || n.settings.Voters > 0 && len(s.Members) < n.settings.Voters+maxExtraMembers
	for _, r := range s.Members {
		if r.Member == m {
			return false
		}
		allowed = allowed || r.Instance == m.Instance
	}
	return allowed
}

// Permit allows an instance to join while this node leads. It reports whether the node leads.
func (n *Node) Permit(id model.InstanceID) bool {
	if n.role == Leader {
		n.permitted[id] = true
	}
	return n.role == Leader
}

// Revoke withdraws a permission to join.
func (n *Node) Revoke(id model.InstanceID) { delete(n.permitted, id) }

// CanChange reports whether a voter change may begin.
func (n *Node) CanChange() bool { return n.canChange() }

// promote makes a caught-up learner a voter. A voter that it replaces is removed by an earlier
// change, so that each change adds or removes one voter. Without a learner to promote it removes
// an unresponsive one.
func (n *Node) promote(now time.Time) {
	if !n.canChange() {
		return
	}
	members := n.log.members()
	for _, r := range members.Members {
		p := n.lead.progress[r.Member]
		if !r.Learner || p == nil || p.match < n.log.commit || now.Sub(p.heartbeatAcked) >= MinElection {
			continue
		}
		old, replaces := replacedVoter(members, r.Member)
		if !replaces && n.settings.Voters > 0 && len(members.Voters()) >= n.settings.Voters {
			if old, replaces = n.unresponsiveVoter(now, members); !replaces {
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
		n.proposeMembers(now, members)
		return
	}
	n.removeUnresponsiveLearner(now, members)
}

// unresponsiveVoter returns a voter that has acknowledged no heartbeat for voterTimeout, if the
// remaining voters include a reachable quorum. Its removal takes away no acknowledgement that a
// commit needs: the change is committed by a quorum of the remaining voters.
func (n *Node) unresponsiveVoter(now time.Time, s Membership) (Member, bool) {
	for _, v := range s.Voters() {
		if v != n.settings.Self && n.unresponsive(now, v, voterTimeout) && n.QuorumWithout(v, now.Add(-MinElection)).Works() {
			return v, true
		}
	}
	return Member{}, false
}

// removeUnresponsiveLearner removes one unresponsive learner, so that it no longer counts against
// maxExtraMembers.
func (n *Node) removeUnresponsiveLearner(now time.Time, s Membership) {
	if n.settings.Voters == 0 {
		return
	}
	for _, r := range s.Members {
		if r.Learner && n.unresponsive(now, r.Member, learnerTimeout) {
			members := s.clone()
			members.remove(r.Member)
			n.proposeMembers(now, members)
			return
		}
	}
}

// unresponsive reports whether a member has acknowledged no heartbeat for at least limit while
// this node led.
func (n *Node) unresponsive(now time.Time, m Member, limit time.Duration) bool {
	p := n.lead.progress[m]
	return p != nil && now.Sub(p.heartbeatAcked) >= limit && now.Sub(p.trackedSince) >= limit
}

// replacedVoter returns the voter with another folder of the learner's instance.
func replacedVoter(s Membership, learner Member) (Member, bool) {
	for _, r := range s.Members {
		if !r.Learner && r.Instance == learner.Instance && r.Folder != learner.Folder {
			return r.Member, true
		}
	}
	return Member{}, false
}

// Quorum describes whether the voters can commit without one of them.
type Quorum struct {
	// Needed is the number of voters that must answer, Reachable the number of those that do.
	Needed, Reachable int
	// Silent lists the voters that do not answer.
	Silent []Member
}

// Works reports whether the remaining voters can commit.
func (q Quorum) Works() bool { return q.Reachable >= q.Needed }

// QuorumWithout returns the quorum of the voters other than m. A voter counts as reachable if it
// has acknowledged a heartbeat that was sent at since or later. The result is meaningful only at
// a leader.
func (n *Node) QuorumWithout(m Member, since time.Time) Quorum {
	var q Quorum
	voters := 0
	for _, v := range n.log.members().Voters() {
		if v == m {
			continue
		}
		voters++
		if p := n.lead.progress[v]; v == n.settings.Self || p != nil && !p.heartbeatAcked.Before(since) {
			q.Reachable++
		} else {
			q.Silent = append(q.Silent, v)
		}
	}
	q.Needed = voters/2 + 1
	return q
}

// RemoveVoter removes a member from the group. It reports false unless the node leads, the
// member is known and not the last voter, no other change is in progress, and the remaining
// voters include a quorum that answered within the shortest election timeout. Learners do not
// count towards a quorum, so their removal needs none of the voter checks.
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
	n.proposeMembers(now, members)
	return true
}

// stepDownIfRemoved ends leadership once the leader's own removal is committed.
func (n *Node) stepDownIfRemoved() {
	if n.log.commit >= n.lead.changeIndex && !n.log.members().IsVoter(n.settings.Self) {
		n.becomeFollower(n.lead.heartbeatSent, n.hard.Term, Member{})
	}
}
