package consensus

import (
	"slices"
	"time"
)

// leadership is what a leader keeps about its term.
type leadership struct {
	progress map[Member]*progress
	// round numbers the heartbeats; rounds holds the send time of the recent ones.
	round   uint64
	rounds  []roundTime
	sent    time.Time
	started time.Time
	// quorum is the send time of the newest heartbeat that a quorum has acknowledged.
	quorum time.Time
	// first is the index of the term's first entry. Until it is committed the leader may not
	// know what is committed.
	first  uint64
	change uint64
	reads  []pendingRead
	// transferee is the member that shall lead next.
	transferee Member
	transferAt time.Time
}

type roundTime struct {
	round uint64
	at    time.Time
}

type pendingRead struct {
	tag uint64
	at  time.Time
}

// progress is what a leader knows about another member.
type progress struct {
	match, next uint64
	boot        Boot
	// floor is what the member acknowledged in an earlier boot during this term.
	floor    uint64
	inflight int
	probing  bool
	acked    time.Time
	// beat is the send time of the newest heartbeat that the member acknowledged.
	beat time.Time
	// since is when this leader began to follow the member.
	since time.Time
	// told is the commit index that the member was last sent.
	told uint64
	// offset is the next part of the snapshot at snapshotIndex.
	snapshotIndex, offset uint64
}

func (n *Node) becomeLeader(now time.Time) {
	n.role = Leader
	n.leader = n.set.Self
	n.votes = nil
	n.lead = leadership{progress: make(map[Member]*progress), started: now, first: n.log.last() + 1}
	members := n.log.members().clone()
	r, _ := members.Find(n.set.Self)
	r.Boot, r.BootIndex = n.set.Boot, n.lead.first
	members.set(r)
	n.appendEntry(now, Entry{Kind: EntryMembers, Members: members})
	// A membership entry of an earlier term may still be uncommitted.
	n.lead.change = n.lead.first
	n.beat(now)
	n.advanceCommit()
}

// appendEntry adds an entry of this term to the log and to the batch to sync.
func (n *Node) appendEntry(now time.Time, e Entry) uint64 {
	e.Index, e.Term, e.At = n.log.last()+1, n.hard.Term, now.UnixNano()
	if last := n.log.last(); last > n.log.base {
		e.At = max(e.At, n.log.at(last).At)
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
		if r.Member != n.set.Self && n.lead.progress[r.Member] == nil {
			n.lead.progress[r.Member] = &progress{next: n.log.last(), probing: true, boot: r.Boot, acked: now, since: now}
		}
	}
}

func (n *Node) tickLeader(now time.Time) {
	if now.Sub(n.lead.sent) >= HeartbeatInterval {
		n.beat(now)
	}
	since := n.lead.quorum
	if since.IsZero() {
		since = n.lead.started
	}
	if now.Sub(since) >= MinElection {
		n.becomeFollower(now, n.hard.Term, Member{})
		n.heard = now
		return
	}
	if !n.lead.transferee.IsZero() && now.Sub(n.lead.transferAt) >= MaxElection {
		n.lead.transferee = Member{}
	}
	for _, p := range n.lead.progress {
		if (p.inflight > 0 || p.match < n.log.last()) && now.Sub(p.acked) >= resendAfter {
			p.inflight, p.probing, p.next, p.acked = 0, true, p.match+1, now
		}
	}
	n.promote(now)
}

// beat sends a heartbeat round.
func (n *Node) beat(now time.Time) {
	n.lead.round++
	n.lead.sent = now
	n.lead.rounds = append(n.lead.rounds, roundTime{n.lead.round, now})
	for len(n.lead.rounds) > 0 && now.Sub(n.lead.rounds[0].at) > MaxElection {
		n.lead.rounds = n.lead.rounds[1:]
	}
	for _, r := range n.log.members().Members {
		if r.Member != n.set.Self {
			n.send(Message{Type: MsgHeartbeat, To: r.Member, Round: n.lead.round})
		}
	}
	n.renewLease(now)
}

func (n *Node) sendAppends() {
	for _, r := range n.log.members().Members {
		p := n.lead.progress[r.Member]
		if p == nil {
			continue
		}
		n.tellCommit(r.Member, p)
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
			p.told = max(p.told, min(n.log.commit, prev+uint64(len(entries))))
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
		p.snapshotIndex, p.offset = s.Index, 0
	}
	p.probing = true
	from := min(p.offset, uint64(len(s.Data)))
	end := min(from+chunkBytes, uint64(len(s.Data)))
	c := &Chunk{Snapshot: s, Offset: from, Last: end == uint64(len(s.Data))}
	c.Data = s.Data[from:end]
	n.send(Message{Type: MsgSnapshot, To: to, Index: s.Index, Chunk: c})
}

// handleReply takes a member's answer in the current term.
func (n *Node) handleReply(now time.Time, m Message) {
	p := n.lead.progress[m.From]
	if p == nil || !n.noteBoot(now, m, p) {
		return
	}
	switch m.Type {
	case MsgHeartbeatReply:
		for _, r := range n.lead.rounds {
			if r.round == m.Round && r.at.After(p.beat) {
				p.beat = r.at
			}
		}
		p.told = min(p.told, m.Commit)
		n.renewLease(now)
		n.serveReads(now)
	case MsgSnapshotReply:
		p.inflight, p.acked = 0, now
		if m.Index == p.snapshotIndex {
			p.offset = m.Commit
		}
	default:
		n.handleAppendReply(now, m, p)
	}
}

// noteBoot records a member's new boot in the log and reports whether the reply is usable. A
// member that lost what it acknowledged was restored from an older copy.
func (n *Node) noteBoot(now time.Time, m Message, p *progress) bool {
	if m.Boot != p.boot {
		if m.Boot.outdated(p.boot) {
			return false
		}
		p.boot, p.floor = m.Boot, max(p.floor, p.match)
		p.match, p.probing, p.inflight = 0, true, 0
	}
	end := m.Index
	if m.Type == MsgAppendReply && m.Reject {
		end = m.LogTerm
	}
	if m.Type == MsgHeartbeatReply && p.floor > end || m.Type == MsgAppendReply && m.Reject && p.floor > end {
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

func (n *Node) handleAppendReply(now time.Time, m Message, p *progress) {
	p.acked = now
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

// advanceCommit commits what a quorum holds durably. Only entries of the own term are counted;
// earlier ones follow from them.
func (n *Node) advanceCommit() {
	voters := 0
	var acked []uint64
	for _, r := range n.log.members().Members {
		if r.Learner {
			continue
		}
		voters++
		acked = append(acked, n.durableAt(r))
	}
	slices.Sort(acked)
	if voters == 0 {
		return
	}
	index := acked[(voters-1)/2]
	if t, ok := n.log.term(index); ok && t == n.hard.Term && index > n.log.commit {
		n.log.commit = index
		n.checkRemoved()
	}
}

func (n *Node) durableAt(r MemberRecord) uint64 {
	if r.Member == n.set.Self {
		return n.stable
	}
	p := n.lead.progress[r.Member]
	if p == nil || p.boot != r.Boot || p.match < r.BootIndex {
		return 0
	}
	return p.match
}

// tellCommit lets a member that holds all entries apply them without waiting for more.
func (n *Node) tellCommit(to Member, p *progress) {
	commit := min(n.log.commit, p.match)
	if p.probing || p.next <= n.log.last() || p.told >= commit || p.inflight >= appendInflight {
		return
	}
	if term, ok := n.log.term(p.match); ok {
		p.told = commit
		p.inflight++
		n.send(Message{Type: MsgAppend, To: to, Index: p.match, LogTerm: term, Commit: n.log.commit})
	}
}
