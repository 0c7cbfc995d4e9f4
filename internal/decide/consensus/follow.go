package consensus

import (
	"slices"
	"time"
)

// followLeader records the sender as the leader of the current term and restarts the election
// timeout.
func (n *Node) followLeader(now time.Time, leader Member) {
	if n.role != Follower || n.leader != leader {
		n.becomeFollower(now, n.hard.Term, leader)
	}
	n.electionReset, n.leaderAcked = now, now
}

func (n *Node) handleHeartbeat(now time.Time, m Message) {
	n.followLeader(now, m.From)
	n.sendAfterSync(n.hardSeq, Message{
		Type: MsgHeartbeatReply, To: m.From, Round: m.Round, Index: n.log.last(), Commit: n.log.commit,
	})
}

// handleAppend appends the leader's entries if the log holds the entry before them. The
// acknowledgement waits for the sync and covers only what is known to match the leader's log.
func (n *Node) handleAppend(now time.Time, m Message) {
	n.followLeader(now, m.From)
	prev, entries := m.Index, m.Entries
	if prev < n.log.base {
		// Entries up to the base are committed and therefore match.
		skip := min(n.log.base-prev, uint64(len(entries)))
		prev, entries = prev+skip, entries[skip:]
		if prev < n.log.base {
			n.acknowledge(m.From, prev)
			return
		}
	} else if t, ok := n.log.term(prev); !ok || t != m.LogTerm {
		hint := min(n.log.last(), prev-1)
		n.sendAfterSync(n.hardSeq, Message{Type: MsgAppendReply, To: m.From, Reject: true, Index: max(hint, n.log.commit), LogTerm: n.log.last()})
		return
	}
	match := prev + uint64(len(entries))
	n.addEntries(entries)
	if c := min(m.Commit, match); c > n.log.commit {
		n.log.commit = c
	}
	n.acknowledge(m.From, match)
}

// addEntries appends the entries that the log does not hold and removes conflicting ones.
func (n *Node) addEntries(entries []Entry) {
	for i, e := range entries {
		t, ok := n.log.term(e.Index)
		if ok && t == e.Term {
			continue
		}
		if ok {
			n.log.truncate(e.Index - 1)
		}
		for _, e := range entries[i:] {
			n.log.append(e)
		}
		n.persist(entries[i:]...)
		return
	}
}

// acknowledge confirms the log up to match once it is durable.
func (n *Node) acknowledge(to Member, match uint64) {
	seq := n.hardSeq
	if match > n.stable {
		seq = n.seq
	}
	n.sendAfterSync(seq, Message{Type: MsgAppendReply, To: to, Index: match})
}

// handleSnapshot collects the parts of a snapshot and installs it when it is complete.
func (n *Node) handleSnapshot(now time.Time, m Message) {
	n.followLeader(now, m.From)
	c := m.Chunk
	if c == nil || c.Index <= n.log.commit {
		n.acknowledge(m.From, min(m.Index, n.log.commit))
		return
	}
	if c.Offset == 0 {
		n.incomingSnapshot = Snapshot{Index: c.Index, Term: c.Term, Members: c.Members}
	}
	if n.incomingSnapshot.Index == c.Index && n.incomingSnapshot.Term == c.Term && uint64(len(n.incomingSnapshot.Data)) == c.Offset {
		n.incomingSnapshot.Data = append(n.incomingSnapshot.Data, c.Data...)
		if c.Last {
			n.install(m.From)
			return
		}
	}
	next := uint64(0)
	if n.incomingSnapshot.Index == c.Index {
		next = uint64(len(n.incomingSnapshot.Data))
	}
	n.sendAfterSync(n.hardSeq, Message{Type: MsgSnapshotReply, To: m.From, Index: c.Index, Commit: next})
}

// install replaces the log with the received snapshot. Later entries are kept if the log holds
// the snapshot's last entry.
func (n *Node) install(from Member) {
	s := n.incomingSnapshot
	n.incomingSnapshot = Snapshot{}
	var rest []Entry
	if t, ok := n.log.term(s.Index); ok && t == s.Term {
		rest = slices.Clone(n.log.entries[s.Index-n.log.base:])
	}
	n.log = newLog(s, rest)
	n.out.Install, n.out.Committed = &s, nil
	b := n.nextBatch()
	b.Snapshot, b.Reset, b.Entries = &s, true, rest
	n.batchEnds = []batchEnd{{seq: b.Seq, index: n.log.last()}}
	n.stable = min(n.stable, s.Index-1)
	n.acknowledge(from, s.Index)
}

// Compact replaces the log up to an index that Output has delivered with the state machine's
// snapshot.
func (n *Node) Compact(index uint64, data []byte) {
	term, ok := n.log.term(index)
	if n.role == Halted || !ok || index > n.log.delivered || index <= n.log.snapshot.Index {
		return
	}
	s := Snapshot{Index: index, Term: term, Members: n.log.membersAt(index), Data: data}
	n.log.compact(s, n.settings.Trailing)
	b := n.nextBatch()
	b.Snapshot = &s
	b.Entries = dropUpTo(b.Entries, index)
}
