package consensus

import (
	"slices"
	"time"
)

// renewLease updates the send time of the newest heartbeat that a quorum has acknowledged. The
// lease starts from it.
func (n *Node) renewLease(now time.Time) {
	var acked []time.Time
	for _, r := range n.log.members().Members {
		switch p := n.lead.progress[r.Member]; {
		case r.Learner:
		case r.Member == n.settings.Self:
			acked = append(acked, now)
		case p != nil:
			acked = append(acked, p.heartbeatAcked)
		default:
			acked = append(acked, time.Time{})
		}
	}
	if len(acked) == 0 {
		return
	}
	slices.SortFunc(acked, time.Time.Compare)
	if q := acked[(len(acked)-1)/2]; q.After(n.lead.quorumAcked) {
		n.lead.quorumAcked = q
	}
}

// LeaseUntil returns when the leader's lease ends unless it is renewed.
func (n *Node) LeaseUntil() time.Time {
	if n.role != Leader || n.lead.quorumAcked.IsZero() {
		return time.Time{}
	}
	return n.lead.quorumAcked.Add(LeaseDuration)
}

// Leads reports whether the node leads and its lease holds at now.
func (n *Node) Leads(now time.Time) bool {
	return n.role == Leader && now.Before(n.LeaseUntil())
}

// Read requests a linearizable read. The result is returned by Output; false means that the node
// does not lead.
func (n *Node) Read(now time.Time, tag uint64) bool {
	if n.role != Leader {
		return false
	}
	n.lead.reads = append(n.lead.reads, pendingRead{tag: tag, at: now})
	n.serveReads(now)
	return true
}

// serveReads answers reads that the lease, or a heartbeat round sent after them, confirms.
func (n *Node) serveReads(now time.Time) {
	if n.log.commit < n.lead.firstIndex {
		return
	}
	leads := n.Leads(now)
	n.lead.reads = slices.DeleteFunc(n.lead.reads, func(r pendingRead) bool {
		if !leads && !n.lead.quorumAcked.After(r.at) {
			return false
		}
		n.out.Reads = append(n.out.Reads, Read{Tag: r.tag, Index: n.log.commit})
		return true
	})
}

// refuseReads refuses all pending reads when leadership ends.
func (n *Node) refuseReads() {
	for _, r := range n.lead.reads {
		n.out.Reads = append(n.out.Reads, Read{Tag: r.tag, Refused: true})
	}
	n.lead.reads = nil
}

// Propose appends a command to the log. It reports false unless the node leads and transfers
// leadership to nobody. The command is committed when Output returns an entry with this index and
// term as committed.
func (n *Node) Propose(now time.Time, data []byte) (index, term uint64, ok bool) {
	if n.role != Leader || !n.lead.transferee.IsZero() {
		return 0, 0, false
	}
	return n.appendEntry(now, Entry{Kind: EntryCommand, Data: data}), n.hard.Term, true
}

// Transfer starts a transfer of leadership to the responsive voter with the longest matching log,
// for a graceful stop. The node accepts no proposals meanwhile. It reports whether there is such
// a voter.
func (n *Node) Transfer(now time.Time) bool {
	if n.role != Leader {
		return false
	}
	var best Member
	for _, v := range n.log.members().Voters() {
		p := n.lead.progress[v]
		if p != nil && now.Sub(p.heartbeatAcked) < MinElection && (best.IsZero() || p.match > n.lead.progress[best].match) {
			best = v
		}
	}
	if best.IsZero() {
		return false
	}
	n.lead.transferee, n.lead.transferStarted = best, now
	n.finishTransfer(now)
	return true
}

// finishTransfer asks the transferee to campaign once it holds the whole log. The node stops
// leading first, because the campaign ignores its lease.
func (n *Node) finishTransfer(now time.Time) {
	to := n.lead.transferee
	p := n.lead.progress[to]
	if n.role != Leader || p == nil || p.match < n.log.last() {
		return
	}
	n.becomeFollower(now, n.hard.Term, Member{})
	n.electionReset = now
	n.send(Message{Type: MsgTimeoutNow, To: to})
}
