package consensus

import (
	"math/rand/v2"
	"slices"
	"time"

	"briaryard/internal/model"
)

// Settings describe a node at its start.
type Settings struct {
	Self Member
	Boot Boot
	// Seed drives the election timeouts.
	Seed uint64
	// Group is the identity of the group in case this node founds it.
	Group uint64
	// Trailing is the number of entries that stay in memory after a compaction.
	Trailing uint64
	// Initial lists the voters of a group that is yet to be founded, and the instances to ask
	// when the membership is unknown or does not list Self.
	Initial []model.InstanceID
	// JoinOnly keeps the node from founding a group: its folder is empty because the disk was
	// lost or is new, and the group exists.
	JoinOnly bool
	// Voters is the number of voters that the leader keeps by itself: any folder may join as a
	// learner, and a caught-up learner takes the place of a voter that is silent. Zero leaves
	// both to operators.
	Voters int
}

// Node is one member's part of the group.
type Node struct {
	set     Settings
	rng     *rand.Rand
	started time.Time

	role   Role
	hard   HardState
	log    raftLog
	leader Member
	// heard restarts the election timeout.
	heard   time.Time
	timeout time.Duration
	// promised is when the node last acknowledged a leader, of whatever term. That leader may
	// count on MinElection without a vote by this node.
	promised time.Time
	votes    map[Member]bool
	// asked is when pre-votes were last asked for.
	asked    time.Time
	incoming Snapshot

	joinedAt  time.Time
	joins     map[model.InstanceID]join
	permitted map[model.InstanceID]bool

	lead leadership

	// seq numbers issued batches, synced is the last durable one, hardSeq the last one that
	// changed the hard state, and appended maps a stable log end to its batch.
	seq, synced, hardSeq uint64
	stable               uint64
	appended             []stableMark
	held                 []heldMessage
	batch                *Batch
	out                  Output
	stale                bool
}

type stableMark struct{ seq, index uint64 }

type heldMessage struct {
	seq     uint64
	message Message
}

// New returns a node that starts at now.
func New(set Settings, stored Stored, now time.Time) *Node {
	n := &Node{
		set: set, started: now, hard: stored.Hard, log: newLog(stored.Snapshot, stored.Entries),
		rng:   rand.New(rand.NewPCG(set.Seed, set.Boot.Counter)),
		joins: make(map[model.InstanceID]join), permitted: make(map[model.InstanceID]bool),
	}
	n.stable = n.log.last()
	n.resetTimeout()
	return n
}

// Status is a node's view of its group.
type Status struct {
	Self    Member
	Role    Role
	Term    uint64
	Leader  Member
	Commit  uint64
	Last    uint64
	Members Membership
	// Settled is set at a leader that has committed an entry of its term. Only then is all
	// that earlier leaders committed known to it.
	Settled bool
	// Stale is set once the node was told that its folder was restored from an older copy.
	Stale bool
}

// Status returns the current view.
func (n *Node) Status() Status {
	return Status{
		Self: n.set.Self, Role: n.role, Term: n.hard.Term, Leader: n.leader, Commit: n.log.commit,
		Last: n.log.last(), Members: n.log.members(), Stale: n.stale,
		Settled: n.role == Leader && n.log.commit >= n.lead.first,
	}
}

// Output returns what is to be done and forgets it.
func (n *Node) Output() Output {
	if n.role == Leader {
		n.sendAppends()
	}
	out := n.out
	n.out = Output{}
	out.Batch, n.batch = n.batch, nil
	out.Committed = n.log.takeCommitted()
	return out
}

// Tick acts on the passage of time.
func (n *Node) Tick(now time.Time) {
	switch n.role {
	case Halted:
		return
	case Leader:
		n.tickLeader(now)
		return
	default:
	}
	if !n.log.members().IsVoter(n.set.Self) {
		if !n.found(now) {
			n.askToJoin(now)
		}
		return
	}
	switch {
	case now.Sub(n.heard) >= n.timeout && now.Sub(n.started) >= n.timeout:
		n.preCampaign(now)
	case n.role == PreCandidate && now.Sub(n.asked) >= preVoteAgain:
		n.askPreVotes(now)
	}
}

// Fail halts the node after a failed sync. What was not synced is never acknowledged.
func (n *Node) Fail() {
	n.refuseReads()
	n.role = Halted
	n.leader = Member{}
	n.held, n.batch = nil, nil
	n.out.Messages = nil
}

// Synced reports that all batches up to seq are durable.
func (n *Node) Synced(now time.Time, seq uint64) {
	if n.role == Halted || seq <= n.synced {
		return
	}
	n.synced = seq
	for len(n.appended) > 0 && n.appended[0].seq <= seq {
		n.stable = n.appended[0].index
		n.appended = n.appended[1:]
	}
	released := 0
	for released < len(n.held) && n.held[released].seq <= seq {
		n.out.Messages = append(n.out.Messages, n.held[released].message)
		released++
	}
	n.held = n.held[released:]
	if n.role == Leader {
		n.advanceCommit()
		n.serveReads(now)
	}
}

// Step handles a message from another member.
func (n *Node) Step(now time.Time, m Message) {
	if n.role == Halted || m.To.Instance != n.set.Self.Instance || m.From.Instance == n.set.Self.Instance {
		return
	}
	if m.Type == MsgJoin {
		n.handleJoin(now, m)
		return
	}
	if m.To != n.set.Self || m.Group == 0 {
		return
	}
	if n.hard.Group == 0 {
		// A member of a new group belongs to it from its first message on.
		n.setHard(HardState{Group: m.Group, Term: n.hard.Term, Vote: n.hard.Vote})
	}
	if m.Group != n.hard.Group {
		return
	}
	if m.Type == MsgStale {
		n.handleStale(m)
		return
	}
	if n.isStale(now, m) {
		n.send(Message{Type: MsgStale, To: m.From, Subject: m.Boot})
		return
	}
	if m.Type == MsgPreVote || m.Type == MsgVote {
		n.handleVoteRequest(now, m)
		return
	}
	if !n.followTerm(now, m) {
		return
	}
	n.dispatch(now, m)
}

// isStale reports whether the sender's folder can no longer be the one in the voter set: its
// boot is outdated, or a leader that holds a lease knows it as removed.
func (n *Node) isStale(now time.Time, m Message) bool {
	r, ok := n.log.members().Find(m.From)
	if ok {
		return m.Boot.outdated(r.Boot)
	}
	return n.Leads(now) && (m.Type == MsgPreVote || m.Type == MsgVote)
}

// followTerm adopts a newer term and reports whether the message belongs to the current one.
func (n *Node) followTerm(now time.Time, m Message) bool {
	switch {
	case m.Type == MsgPreVoteReply:
		// A granted pre-vote carries the term that the candidate would have.
		if m.Reject && m.Term > n.hard.Term {
			n.becomeFollower(now, m.Term, Member{})
			return false
		}
		return true
	case m.Term > n.hard.Term:
		n.becomeFollower(now, m.Term, Member{})
	case m.Term < n.hard.Term:
		if m.Type == MsgHeartbeat || m.Type == MsgAppend || m.Type == MsgSnapshot {
			// The reply tells a leader of an older term about the newer one.
			n.hold(n.hardSeq, Message{Type: MsgHeartbeatReply, To: m.From, Term: n.hard.Term, Reject: true})
		}
		return false
	}
	return true
}

func (n *Node) dispatch(now time.Time, m Message) {
	switch m.Type {
	case MsgPreVoteReply, MsgVoteReply:
		n.handleVoteReply(now, m)
	case MsgHeartbeat:
		n.handleHeartbeat(now, m)
	case MsgAppend:
		n.handleAppend(now, m)
	case MsgSnapshot:
		n.handleSnapshot(now, m)
	case MsgTimeoutNow:
		if n.log.members().IsVoter(n.set.Self) && n.role != Leader {
			n.campaign(now, true)
		}
	case MsgHeartbeatReply, MsgAppendReply, MsgSnapshotReply:
		if n.role == Leader {
			n.handleReply(now, m)
		}
	default:
	}
}

func (n *Node) handleStale(m Message) {
	if m.Subject == n.set.Boot {
		n.Fail()
		n.stale = true
	}
}

// becomeFollower enters a term, or leaves leadership within it.
func (n *Node) becomeFollower(now time.Time, term uint64, leader Member) {
	n.refuseReads()
	if term > n.hard.Term {
		n.setHard(HardState{Group: n.hard.Group, Term: term})
	}
	n.role = Follower
	n.leader = leader
	n.votes = nil
	n.lead = leadership{}
	if !leader.IsZero() {
		n.heard = now
	}
	n.resetTimeout()
}

func (n *Node) resetTimeout() {
	n.timeout = MinElection + time.Duration(n.rng.Int64N(int64(MaxElection-MinElection)))
}

// setHard changes term and vote. Replies that depend on it wait for its sync.
func (n *Node) setHard(h HardState) {
	n.hard = h
	b := n.nextBatch()
	b.Hard = &h
	n.hardSeq = b.Seq
}

// nextBatch opens the batch that collects records until the next Output.
func (n *Node) nextBatch() *Batch {
	if n.batch == nil {
		n.seq++
		n.batch = &Batch{Seq: n.seq}
	}
	return n.batch
}

// persist adds entries that are already in the log to the batch.
func (n *Node) persist(entries ...Entry) {
	b := n.nextBatch()
	first := entries[0].Index
	b.Entries = overwrite(b.Entries, entries)
	n.stable = min(n.stable, first-1)
	for i := range n.appended {
		n.appended[i].index = min(n.appended[i].index, first-1)
	}
	n.appended = append(n.appended, stableMark{seq: b.Seq, index: n.log.last()})
}

// send queues a message that depends on no sync.
func (n *Node) send(m Message) { n.hold(0, m) }

// hold queues a message until the batch with the given number is durable.
func (n *Node) hold(seq uint64, m Message) {
	m.Group, m.From, m.Boot = n.hard.Group, n.set.Self, n.set.Boot
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	if seq <= n.synced {
		n.out.Messages = append(n.out.Messages, m)
		return
	}
	// Held messages stay ordered by batch, so that Synced releases a prefix.
	at := len(n.held)
	for at > 0 && n.held[at-1].seq > seq {
		at--
	}
	n.held = slices.Insert(n.held, at, heldMessage{seq: seq, message: m})
}
