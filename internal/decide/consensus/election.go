package consensus

import "time"

// sticky reports whether a vote must be refused because a leader may hold a lease that this
// node acknowledged.
func (n *Node) sticky(now time.Time) bool {
	if n.role == Leader {
		return n.Leads(now)
	}
	return now.Sub(n.promised) < MinElection
}

// preCampaign asks whether an election could be won, without disturbing the term.
func (n *Node) preCampaign(now time.Time) {
	n.becomeFollower(now, n.hard.Term, Member{})
	n.role = PreCandidate
	n.heard = now
	n.askPreVotes(now)
}

// askPreVotes asks, or asks again: a member that started with the others refuses to answer for the
// first MinElection, and an election timeout more would be lost.
func (n *Node) askPreVotes(now time.Time) {
	n.asked = now
	n.askVotes(now, MsgPreVote, n.hard.Term+1, false)
}

// campaign starts an election in a new term. The requests leave once the term and the own vote
// are durable.
func (n *Node) campaign(now time.Time, transfer bool) {
	n.becomeFollower(now, n.hard.Term, Member{})
	n.role = Candidate
	n.heard = now
	n.setHard(HardState{Group: n.hard.Group, Term: n.hard.Term + 1, Vote: n.set.Self})
	n.askVotes(now, MsgVote, n.hard.Term, transfer)
}

func (n *Node) askVotes(now time.Time, kind MessageType, term uint64, transfer bool) {
	n.votes = map[Member]bool{n.set.Self: true}
	for _, v := range n.log.members().Voters() {
		if v != n.set.Self {
			n.hold(n.hardSeq, Message{
				Type: kind, To: v, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm(), Transfer: transfer,
			})
		}
	}
	n.countVotes(now)
}

// handleVoteRequest answers a candidate. Within MinElection of its start a node refuses every
// vote, because it no longer knows which leader it acknowledged.
func (n *Node) handleVoteRequest(now time.Time, m Message) {
	transfer := m.Type == MsgVote && m.Transfer
	if now.Sub(n.started) < MinElection || n.sticky(now) && !transfer {
		return
	}
	if m.Type == MsgPreVote {
		grant := m.Term > n.hard.Term && n.log.upToDate(m.Index, m.LogTerm)
		reply := Message{Type: MsgPreVoteReply, To: m.From, Term: m.Term, Reject: !grant}
		if !grant {
			reply.Term = n.hard.Term
		}
		n.hold(n.hardSeq, reply)
		return
	}
	if m.Term > n.hard.Term {
		n.becomeFollower(now, m.Term, Member{})
	}
	free := n.hard.Vote.IsZero() && n.leader.IsZero() || n.hard.Vote == m.From
	grant := m.Term == n.hard.Term && free && n.log.upToDate(m.Index, m.LogTerm)
	if grant {
		if n.hard.Vote.IsZero() {
			n.setHard(HardState{Group: n.hard.Group, Term: m.Term, Vote: m.From})
		}
		n.heard = now
	}
	n.hold(n.hardSeq, Message{Type: MsgVoteReply, To: m.From, Reject: !grant})
}

func (n *Node) handleVoteReply(now time.Time, m Message) {
	waiting := m.Type == MsgPreVoteReply && n.role == PreCandidate && m.Term == n.hard.Term+1 ||
		m.Type == MsgVoteReply && n.role == Candidate
	if !waiting || m.Reject {
		return
	}
	n.votes[m.From] = true
	n.countVotes(now)
}

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
