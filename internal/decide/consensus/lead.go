package consensus

import (
	"slices"
	"time"
)

// leaderState is the volatile state of a leader for its term.
type leaderState struct {
	progress map[Member]*progress
	// round is the number of the last heartbeat round; rounds holds the send times of the recent
	// ones.
	round         uint64
	rounds        []roundTime
	heartbeatSent time.Time
	started       time.Time
	// quorumAcked is the send time of the newest heartbeat that a quorum has acknowledged.
	quorumAcked time.Time
	// firstIndex is the index of the term's first entry. Until it is committed the leader may not
	// know what is committed. changeIndex is the index of the last voter change, initially
	// firstIndex; it must be committed before the next change begins.
	firstIndex  uint64
	changeIndex uint64
	reads       []pendingRead
	// transferee is the member to which leadership is being transferred.
	transferee      Member
	transferStarted time.Time
}

// roundTime is the send time of a heartbeat round.
type roundTime struct {
	round uint64
	at    time.Time
}

// pendingRead is a read that waits for the lease or for a later heartbeat round.
type pendingRead struct {
	tag uint64
	at  time.Time
}

// progress is what a leader knows about another member.
type progress struct {
	// match is the last index that the member acknowledged, next the first one to send. While
	// probing is set, only one message at a time is in flight.
	match, next uint64
	boot        Boot
	// earlierMatch is the last index that the member acknowledged in an earlier boot during this
	// term.
	earlierMatch uint64
	inflight     int
	probing      bool
	// lastAck is when the member last acknowledged a message or sending to it was restarted.
	lastAck time.Time
	// heartbeatAcked is the send time of the newest heartbeat that the member acknowledged.
	heartbeatAcked time.Time
	// trackedSince is when this leader began to track the member.
	trackedSince time.Time
	// sentCommit is the last commit index sent to the member, lowered if the member reports a
	// lower one.
	sentCommit uint64
	// snapshotOffset is the offset of the next part of the snapshot at snapshotIndex.
	snapshotIndex, snapshotOffset uint64
}

// becomeLeader starts the leadership of a term with a membership entry and a heartbeat round.
func (n *Node) becomeLeader(now time.Time) {
	n.role = Leader
	n.leader = n.settings.Self
	n.votes = nil
	n.lead = leaderState{progress: make(map[Member]*progress), started: now, firstIndex: n.log.last() + 1}
	members := n.log.members().clone()
	r, _ := members.Find(n.settings.Self)
	r.Boot, r.BootIndex = n.settings.Boot, n.lead.firstIndex
	members.set(r)
	n.appendEntry(now, Entry{Kind: EntryMembers, Members: members})
	// A membership entry of an earlier term may still be uncommitted.
	n.lead.changeIndex = n.lead.firstIndex
	n.sendHeartbeats(now)
	n.advanceCommit()
}

// appendEntry adds an entry of this term to the log and to the batch to sync.
func (n *Node) appendEntry(now time.Time, e Entry) uint64 {
	e.Index, e.Term, e.At = n.log.last()+1, n.hard.Term, now.UnixNano()
	if last := n.log.last(); last > n.log.base {
		e.At = max(e.At, n.log.entry(last).At)
	}
	n.log.append(e)
	n.persist(e)
	if e.Kind == EntryMembers {
		n.syncProgress(now)
	}
	return e.Index
}

// syncProgress keeps one progress for each other member.
func (n *Node) syncProgress(now time.Time) {
	members := n.log.members()
	for m := range n.lead.progress {
		if _, ok := members.Find(m); !ok {
			delete(n.lead.progress, m)
		}
	}
	for _, r := range members.Members {
		if r.Member != n.settings.Self && n.lead.progress[r.Member] == nil {
			n.lead.progress[r.Member] = &progress{next: n.log.last(), probing: true, boot: r.Boot, lastAck: now, trackedSince: now}
		}
	}
}

// tickLeader sends heartbeats and resends entries when due, and steps down if no quorum has
// acknowledged a heartbeat for MinElection.
func (n *Node) tickLeader(now time.Time) {
	if now.Sub(n.lead.heartbeatSent) >= HeartbeatInterval {
		n.sendHeartbeats(now)
	}
	lastQuorum := n.lead.quorumAcked
	if lastQuorum.IsZero() {
		lastQuorum = n.lead.started
	}
	if now.Sub(lastQuorum) >= MinElection {
		n.becomeFollower(now, n.hard.Term, Member{})
		n.electionReset = now
		return
	}
	if !n.lead.transferee.IsZero() && now.Sub(n.lead.transferStarted) >= MaxElection {
		n.lead.transferee = Member{}
	}
	for _, p := range n.lead.progress {
		if (p.inflight > 0 || p.match < n.log.last()) && now.Sub(p.lastAck) >= resendAfter {
			p.inflight, p.probing, p.next, p.lastAck = 0, true, p.match+1, now
		}
	}
	n.promote(now)
}

// sendHeartbeats sends a heartbeat round.
func (n *Node) sendHeartbeats(now time.Time) {
	n.lead.round++
	n.lead.heartbeatSent = now
	n.lead.rounds = append(n.lead.rounds, roundTime{n.lead.round, now})
	for len(n.lead.rounds) > 0 && now.Sub(n.lead.rounds[0].at) > MaxElection {
		n.lead.rounds = n.lead.rounds[1:]
	}
	for _, r := range n.log.members().Members {
		if r.Member != n.settings.Self {
			n.send(Message{Type: MsgHeartbeat, To: r.Member, Round: n.lead.round})
		}
	}
	n.renewLease(now)
}

// sendAppends sends each member the entries, snapshot parts and commit index that it lacks, within
// the limits on unacknowledged messages.
func (n *Node) sendAppends() {
	for _, r := range n.log.members().Members {
		p := n.lead.progress[r.Member]
		if p == nil {
			continue
		}
		n.sendCommit(r.Member, p)
		for p.next <= n.log.last() && p.inflight < appendInflight && (!p.probing || p.inflight == 0) {
			p.inflight++
			prev := p.next - 1
			term, ok := n.log.term(prev)
			if !ok || prev < n.log.base {
				n.sendChunk(r.Member, p)
				break
			}
			entries := n.log.slice(p.next, appendBytes)
			n.send(Message{Type: MsgAppend, To: r.Member, Index: prev, LogTerm: term, Commit: n.log.commit, Entries: entries})
			p.sentCommit = max(p.sentCommit, min(n.log.commit, prev+uint64(len(entries))))
			if !p.probing {
				p.next += uint64(len(entries))
			}
		}
	}
}

// sendChunk sends the next part of the newest snapshot; the member asks for one at a time.
func (n *Node) sendChunk(to Member, p *progress) {
	s := n.log.snapshot
	if p.snapshotIndex != s.Index {
		p.snapshotIndex, p.snapshotOffset = s.Index, 0
	}
	p.probing = true
	from := min(p.snapshotOffset, uint64(len(s.Data)))
	end := min(from+chunkBytes, uint64(len(s.Data)))
	c := &Chunk{Snapshot: s, Offset: from, Last: end == uint64(len(s.Data))}
	c.Data = s.Data[from:end]
	n.send(Message{Type: MsgSnapshot, To: to, Index: s.Index, Chunk: c})
}

// handleReply handles a member's reply in the current term.
func (n *Node) handleReply(now time.Time, m Message) {
	p := n.lead.progress[m.From]
	if p == nil || !n.recordBoot(now, m, p) {
		return
	}
	switch m.Type {
	case MsgHeartbeatReply:
		for _, r := range n.lead.rounds {
			if r.round == m.Round && r.at.After(p.heartbeatAcked) {
				p.heartbeatAcked = r.at
			}
		}
		p.sentCommit = min(p.sentCommit, m.Commit)
		n.renewLease(now)
		n.serveReads(now)
	case MsgSnapshotReply:
		p.inflight, p.lastAck = 0, now
		if m.Index == p.snapshotIndex {
			p.snapshotOffset = m.Commit
		}
	default:
		n.handleAppendReply(now, m, p)
	}
}

// recordBoot records a member's new boot in the log and reports whether the reply is usable. A
// member that lacks entries that it acknowledged was restored from an older copy.
func (n *Node) recordBoot(now time.Time, m Message, p *progress) bool {
	if m.Boot != p.boot {
		if m.Boot.outdated(p.boot) {
			return false
		}
		p.boot, p.earlierMatch = m.Boot, max(p.earlierMatch, p.match)
		p.match, p.probing, p.inflight = 0, true, 0
	}
	lastIndex := m.Index
	if m.Type == MsgAppendReply && m.Reject {
		lastIndex = m.LogTerm
	}
	if m.Type == MsgHeartbeatReply && p.earlierMatch > lastIndex || m.Type == MsgAppendReply && m.Reject && p.earlierMatch > lastIndex {
		n.send(Message{Type: MsgStale, To: m.From, Subject: m.Boot})
		return false
	}
	members := n.log.members()
	if r, ok := members.Find(m.From); ok && r.Boot != m.Boot {
		members = members.clone()
		r.Boot, r.BootIndex = m.Boot, n.log.last()+1
		members.set(r)
		n.appendEntry(now, Entry{Kind: EntryMembers, Members: members})
	}
	return true
}

// handleAppendReply updates the progress of a member and then what depends on it: the commit
// index, reads and a transfer.
func (n *Node) handleAppendReply(now time.Time, m Message, p *progress) {
	p.lastAck = now
	if m.Reject {
		if m.Index >= p.match {
			p.probing, p.inflight, p.next = true, 0, min(m.Index+1, n.log.last()+1)
		}
		return
	}
	p.inflight = max(p.inflight-1, 0)
	if m.Index > p.match {
		p.match = m.Index
	}
	if p.probing {
		p.probing, p.inflight = false, 0
		p.next = p.match + 1
	}
	p.next = max(p.next, p.match+1)
	n.advanceCommit()
	n.serveReads(now)
	n.finishTransfer(now)
}

// advanceCommit commits the entries that are durable at a quorum. Only entries of the current
// term are counted; earlier ones are committed with them.
func (n *Node) advanceCommit() {
	voters := 0
	var durable []uint64
	for _, r := range n.log.members().Members {
		if r.Learner {
			continue
		}
		voters++
		durable = append(durable, n.durableIndex(r))
	}
	slices.Sort(durable)
	if voters == 0 {
		return
	}
	index := durable[(voters-1)/2]
	if t, ok := n.log.term(index); ok && t == n.hard.Term && index > n.log.commit {
		n.log.commit = index
		n.stepDownIfRemoved()
	}
}

// durableIndex returns the last index that counts as durable at a member. Acknowledgements of a boot
// that is not recorded do not count.
func (n *Node) durableIndex(r MemberRecord) uint64 {
	if r.Member == n.settings.Self {
		return n.stable
	}
	p := n.lead.progress[r.Member]
	if p == nil || p.boot != r.Boot || p.match < r.BootIndex {
		return 0
	}
	return p.match
}

// sendCommit sends the commit index to a member that holds all entries, so that it can apply them
// without waiting for new ones.
func (n *Node) sendCommit(to Member, p *progress) {
	commit := min(n.log.commit, p.match)
	if p.probing || p.next <= n.log.last() || p.sentCommit >= commit || p.inflight >= appendInflight {
		return
	}
	if term, ok := n.log.term(p.match); ok {
		p.sentCommit = commit
		p.inflight++
		n.send(Message{Type: MsgAppend, To: to, Index: p.match, LogTerm: term, Commit: n.log.commit})
	}
}
