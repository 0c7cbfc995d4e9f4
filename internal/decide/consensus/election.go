package consensus

import "time"

// leaseMayHold reports whether a vote must be refused because a leader may hold a lease that this
// node acknowledged.
func (n *Node) leaseMayHold(now time.Time) bool {
	if n.role == Leader {
		return n.Leads(now)
	}
	return now.Sub(n.leaderAcked) < MinElection
}

// preCampaign starts a pre-vote, which finds out whether an election could be won without
// increasing the term.
func (n *Node) preCampaign(now time.Time) {
	n.becomeFollower(now, n.hard.Term, Member{})
	n.role = PreCandidate
	n.electionReset = now
	n.requestPreVotes(now)
}

// requestPreVotes sends pre-vote requests, also repeatedly: members that started at the same time
// do not answer during their first MinElection, and waiting for the next election timeout would
// delay the election by that long.
func (n *Node) requestPreVotes(now time.Time) {
	n.preVotesSent = now
	n.requestVotes(now, MsgPreVote, n.hard.Term+1, false)
}

// campaign starts an election in a new term. The vote requests are sent once the term and the
// node's own vote are durable.
func (n *Node) campaign(now time.Time, transfer bool) {
	n.becomeFollower(now, n.hard.Term, Member{})
	n.role = Candidate
	n.electionReset = now
	n.setHard(HardState{Group: n.hard.Group, Term: n.hard.Term + 1, Vote: n.settings.Self})
	n.requestVotes(now, MsgVote, n.hard.Term, transfer)
}

// requestVotes sends a vote or pre-vote request to every other voter.
func (n *Node) requestVotes(now time.Time, kind MessageType, term uint64, transfer bool) {
	n.votes = map[Member]bool{n.settings.Self: true}
	for _, v := range n.log.members().Voters() {
		if v != n.settings.Self {
			n.sendAfterSync(n.hardSeq, Message{
				Type: kind, To: v, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm(), Transfer: transfer,
			})
		}
	}
	n.countVotes(now)
}

// handleVoteRequest answers a candidate. Within MinElection of its start a node ignores every
// vote request, because it no longer knows which leader it acknowledged.
func (n *Node) handleVoteRequest(now time.Time, m Message) {
	transfer := m.Type == MsgVote && m.Transfer
	if now.Sub(n.started) < MinElection || n.leaseMayHold(now) && !transfer {
		return
	}
	if m.Type == MsgPreVote {
		grant := m.Term > n.hard.Term && n.log.upToDate(m.Index, m.LogTerm)
		reply := Message{Type: MsgPreVoteReply, To: m.From, Term: m.Term, Reject: !grant}
		if !grant {
			reply.Term = n.hard.Term
		}
		n.sendAfterSync(n.hardSeq, reply)
		return
	}
	if m.Term > n.hard.Term {
		n.becomeFollower(now, m.Term, Member{})
	}
	mayVote := n.hard.Vote.IsZero() && n.leader.IsZero() || n.hard.Vote == m.From
	grant := m.Term == n.hard.Term && mayVote && n.log.upToDate(m.Index, m.LogTerm)
	if grant {
		if n.hard.Vote.IsZero() {
			n.setHard(HardState{Group: n.hard.Group, Term: m.Term, Vote: m.From})
		}
		n.electionReset = now
	}
	n.sendAfterSync(n.hardSeq, Message{Type: MsgVoteReply, To: m.From, Reject: !grant})
}

func (n *Node) handleVoteReply(now time.Time, m Message) {
	expected := m.Type == MsgPreVoteReply && n.role == PreCandidate && m.Term == n.hard.Term+1 ||
		m.Type == MsgVoteReply && n.role == Candidate
	if !expected || m.Reject {
		return
	}
	n.votes[m.From] = true
	n.countVotes(now)
}

// countVotes starts the campaign or the leadership once a quorum has granted its votes.
func (n *Node) countVotes(now time.Time) {
	voters := n.log.members().Voters()
	granted := 0
	for _, v := range voters {
		if n.votes[v] {
			granted++
		}
	}
	if granted <= len(voters)/2 {
		return
	}
	if n.role == PreCandidate {
		n.campaign(now, false)
		return
	}
	n.becomeLeader(now)
}
