package consensus

import (
	"slices"
	"time"
)

// accept notes that the sender leads the current term.
func (n *Node) accept(now time.Time, leader Member) {
	if n.role != Follower || n.leader != leader {
		n.becomeFollower(now, n.hard.Term, leader)
	}
	n.heard, n.promised = now, now
}

func (n *Node) handleHeartbeat(now time.Time, m Message) {
	n.accept(now, m.From)
	n.hold(n.hardSeq, Message{
		Type: MsgHeartbeatReply, To: m.From, Round: m.Round, Index: n.log.last(), Commit: n.log.commit,
	})
}

// handleAppend adds the leader's entries after the one they follow. The acknowledgement waits
// for the sync and covers only what is known to match the leader's log.
func (n *Node) handleAppend(now time.Time, m Message) {
	n.accept(now, m.From)
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
		n.hold(n.hardSeq, Message{Type: MsgAppendReply, To: m.From, Reject: true, Index: max(hint, n.log.commit), LogTerm: n.log.last()})
		return
	}
	match := prev + uint64(len(entries))
	n.addEntries(entries)
	if c := min(m.Commit, match); c > n.log.commit {
		n.log.commit = c
	}
	n.acknowledge(m.From, match)
}

// addEntries appends the entries that the log does not hold and removes those in conflict.
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
	n.hold(seq, Message{Type: MsgAppendReply, To: to, Index: match})
}

// handleSnapshot collects the parts of a snapshot and installs it when it is whole.
func (n *Node) handleSnapshot(now time.Time, m Message) {
	n.accept(now, m.From)
	c := m.Chunk
	if c == nil || c.Index <= n.log.commit {
		n.acknowledge(m.From, min(m.Index, n.log.commit))
		return
	}
	if c.Offset == 0 {
		n.incoming = Snapshot{Index: c.Index, Term: c.Term, Members: c.Members}
	}
	if n.incoming.Index == c.Index && n.incoming.Term == c.Term && uint64(len(n.incoming.Data)) == c.Offset {
		n.incoming.Data = append(n.incoming.Data, c.Data...)
		if c.Last {
			n.install(m.From)
			return
		}
	}
	next := uint64(0)
	if n.incoming.Index == c.Index {
		next = uint64(len(n.incoming.Data))
	}
	n.hold(n.hardSeq, Message{Type: MsgSnapshotReply, To: m.From, Index: c.Index, Commit: next})
}

// install replaces the log by the received snapshot. Entries behind it are kept if they follow
// from it.
func (n *Node) install(from Member) {
	s := n.incoming
	n.incoming = Snapshot{}
	var rest []Entry
	if t, ok := n.log.term(s.Index); ok && t == s.Term {
		rest = slices.Clone(n.log.entries[s.Index-n.log.base:])
	}
	n.log = newLog(s, rest)
	n.out.Install, n.out.Committed = &s, nil
	b := n.nextBatch()
	b.Snapshot, b.Reset, b.Entries = &s, true, rest
	n.appended = []stableMark{{seq: b.Seq, index: n.log.last()}}
	n.stable = min(n.stable, s.Index-1)
	n.acknowledge(from, s.Index)
}

// Compact replaces the log up to a handed-out index by the state machine's snapshot.
func (n *Node) Compact(index uint64, data []byte) {
	term, ok := n.log.term(index)
	if n.role == Halted || !ok || index > n.log.handed || index <= n.log.snapshot.Index {
		return
	}
	s := Snapshot{Index: index, Term: term, Members: n.log.membersAt(index), Data: data}
	n.log.compact(s, n.set.Trailing)
	b := n.nextBatch()
	b.Snapshot = &s
	b.Entries = dropUpTo(b.Entries, index)
}
