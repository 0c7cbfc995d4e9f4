package consensus

import (
	"math/rand/v2"
	"slices"
	"time"

	"briaryard/internal/model"
)

// Settings configure a node at its start.
type Settings struct {
	Self Member
	Boot Boot
	// Seed seeds the random election timeouts.
	Seed uint64
	// Group is the id that the group gets if this node bootstraps it.
	Group uint64
	// Trailing is the number of entries that stay in memory after a compaction.
	Trailing uint64
	// InitialVoters lists the voters of a group that is not bootstrapped yet. It also lists the
	// instances that are asked to add this node when the membership is unknown or does not
	// contain Self.
	InitialVoters []model.InstanceID
	// JoinOnly keeps the node from bootstrapping a group: the group exists already, and the
	// folder is empty because the disk was lost or is new.
	JoinOnly bool
	// Voters is the number of voters that the leader maintains automatically: any folder may
	// join as a learner, and a caught-up learner replaces an unresponsive voter. Zero leaves
	// both to operators.
	Voters int
}

// Node runs the protocol for one member of the group.
type Node struct {
	settings Settings
	// contacts may be members; see SetContacts.
	contacts []model.InstanceID
	rng      *rand.Rand
	started  time.Time

	role   Role
	hard   HardState
	log    raftLog
	leader Member
	// electionReset is when the election timeout was last restarted.
	electionReset   time.Time
	electionTimeout time.Duration
	// leaderAcked is when the node last acknowledged a leader of any term. That leader relies on
	// this node granting no vote for MinElectionTimeout from then on.
	leaderAcked time.Time
	votes       map[Member]bool
	// preVotesSent is when pre-votes were last requested.
	preVotesSent     time.Time
	incomingSnapshot Snapshot

	// joinSent is when join requests were last sent; joinRequests holds those received before the
	// group exists. permitted lists the instances that an operator permitted to join.
	joinSent     time.Time
	joinRequests map[model.InstanceID]joinRequest
	permitted    map[model.InstanceID]bool

	lead leaderState

	// seq is the number of the last issued batch, synced that of the last durable one, and
	// hardSeq that of the last one that changed the hard state. stable is the last durable log
	// index; batchEnds maps the batches that are not durable yet to the stable index after them.
	seq, synced, hardSeq uint64
	stable               uint64
	batchEnds            []batchEnd
	deferred             []deferredMessage
	batch                *Batch
	out                  Output
	stale                bool
}

// batchEnd is the stable log index once batch seq is durable.
type batchEnd struct{ seq, index uint64 }

// deferredMessage is sent once batch seq is durable.
type deferredMessage struct {
	seq     uint64
	message Message
}

// New returns a node that starts at now.
func New(settings Settings, stored PersistentState, now time.Time) *Node {
	n := &Node{
		settings: settings, started: now, hard: stored.Hard, log: newLog(stored.Snapshot, stored.Entries),
		rng:          rand.New(rand.NewPCG(settings.Seed, settings.Boot.Counter)),
		joinRequests: make(map[model.InstanceID]joinRequest), permitted: make(map[model.InstanceID]bool),
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
	// CommittedInTerm is set at a leader that has committed an entry of its term. Only then does it
	// know everything that earlier leaders committed.
	CommittedInTerm bool
	// Stale is set once another member has reported that this node's folder was restored from an
	// older copy.
	Stale bool
}

// Status returns the current view.
func (n *Node) Status() Status {
	return Status{
		Self: n.settings.Self, Role: n.role, Term: n.hard.Term, Leader: n.leader, Commit: n.log.commit,
		Last: n.log.last(), Members: n.log.members(), Stale: n.stale,
		CommittedInTerm: n.role == Leader && n.log.commit >= n.lead.firstIndex,
	}
}

// Output returns the pending actions and clears them.
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

// Tick handles the timeouts that have passed: of elections and join requests or, at a leader, of
// heartbeats, resends, transfers and unresponsive members.
func (n *Node) Tick(now time.Time) {
	switch n.role {
	case Halted:
		return
	case Leader:
		n.tickLeader(now)
		return
	default:
	}
	if !n.log.members().IsVoter(n.settings.Self) {
		if !n.bootstrap(now) {
			n.requestJoin(now)
		}
		return
	}
	switch {
	case now.Sub(n.electionReset) >= n.electionTimeout && now.Sub(n.started) >= n.electionTimeout:
		n.preCampaign(now)
	case n.role == PreCandidate && now.Sub(n.preVotesSent) >= preVoteRetry:
		n.requestPreVotes(now)
	}
}

// Halt halts the node after a failed sync. Records that were not synced are never acknowledged.
func (n *Node) Halt() {
	n.refuseReads()
	n.role = Halted
	n.leader = Member{}
	n.deferred, n.batch = nil, nil
	n.out.Messages = nil
}

// Synced reports that all batches up to seq are durable.
func (n *Node) Synced(now time.Time, seq uint64) {
	if n.role == Halted || seq <= n.synced {
		return
	}
	n.synced = seq
	for len(n.batchEnds) > 0 && n.batchEnds[0].seq <= seq {
		n.stable = n.batchEnds[0].index
		n.batchEnds = n.batchEnds[1:]
	}
	released := 0
	for released < len(n.deferred) && n.deferred[released].seq <= seq {
		n.out.Messages = append(n.out.Messages, n.deferred[released].message)
		released++
	}
	n.deferred = n.deferred[released:]
	if n.role == Leader {
		n.advanceCommit()
		n.serveReads(now)
	}
}

// Step handles a message from another member.
func (n *Node) Step(now time.Time, m Message) {
	if n.role == Halted || m.To.Instance != n.settings.Self.Instance || m.From.Instance == n.settings.Self.Instance {
		return
	}
	if m.Type == MsgJoin {
		n.handleJoin(now, m)
		return
	}
	if m.To != n.settings.Self || m.Group == 0 {
		return
	}
	if n.hard.Group == 0 {
		// A folder without a group adopts the group of the first message that it receives.
		n.setHard(HardState{Group: m.Group, Term: n.hard.Term, Vote: n.hard.Vote})
	}
	if m.Group != n.hard.Group {
		return
	}
	if m.Type == MsgStale {
		n.handleStale(m)
		return
	}
	if n.senderIsStale(now, m) {
		n.send(Message{Type: MsgStale, To: m.From, Subject: m.Boot})
		return
	}
	if m.Type == MsgPreVote || m.Type == MsgVote {
		n.handleVoteRequest(now, m)
		return
	}
	if !n.adoptTerm(now, m) {
		return
	}
	n.dispatch(now, m)
}

// senderIsStale reports whether the sender's folder is no longer the recorded member: its boot is
// outdated, or it requests a vote from a leader that holds a lease and has it removed.
func (n *Node) senderIsStale(now time.Time, m Message) bool {
	r, ok := n.log.members().Find(m.From)
	if ok {
		return m.Boot.outdated(r.Boot)
	}
	return n.HoldsLease(now) && (m.Type == MsgPreVote || m.Type == MsgVote)
}

// adoptTerm adopts a newer term and reports whether the message belongs to the current one.
func (n *Node) adoptTerm(now time.Time, m Message) bool {
	switch {
	case m.Type == MsgPreVoteReply:
		// A granted pre-vote carries the term in which the candidate would campaign.
		if m.Reject && m.Term > n.hard.Term {
			n.becomeFollower(now, m.Term, Member{})
			return false
		}
		return true
	case m.Term > n.hard.Term:
		n.becomeFollower(now, m.Term, Member{})
	case m.Term < n.hard.Term:
		if m.Type == MsgHeartbeat || m.Type == MsgAppend || m.Type == MsgSnapshot {
			// The reply informs a leader of an older term about the newer one.
			n.sendAfterSync(n.hardSeq, Message{Type: MsgHeartbeatReply, To: m.From, Term: n.hard.Term, Reject: true})
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
		if n.log.members().IsVoter(n.settings.Self) && n.role != Leader {
			n.campaign(now, true)
		}
	case MsgHeartbeatReply, MsgAppendReply, MsgSnapshotReply:
		if n.role == Leader {
			n.handleReply(now, m)
		}
	default:
	}
}

// handleStale halts the node if its current boot is reported as stale.
func (n *Node) handleStale(m Message) {
	if m.Subject == n.settings.Boot {
		n.Halt()
		n.stale = true
	}
}

// becomeFollower makes the node a follower, in a newer term or the current one, and clears the
// state of its previous role.
func (n *Node) becomeFollower(now time.Time, term uint64, leader Member) {
	n.refuseReads()
	if term > n.hard.Term {
		n.setHard(HardState{Group: n.hard.Group, Term: term})
	}
	n.role = Follower
	n.leader = leader
	n.votes = nil
	n.lead = leaderState{}
	if !leader.IsZero() {
		n.electionReset = now
	}
	n.resetTimeout()
}

// resetTimeout draws a new random election timeout.
func (n *Node) resetTimeout() {
	n.electionTimeout = MinElectionTimeout + time.Duration(n.rng.Int64N(int64(MaxElectionTimeout-MinElectionTimeout)))
}

// setHard replaces the hard state. Messages that depend on it wait for its sync.
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
	for i := range n.batchEnds {
		n.batchEnds[i].index = min(n.batchEnds[i].index, first-1)
	}
	n.batchEnds = append(n.batchEnds, batchEnd{seq: b.Seq, index: n.log.last()})
}

// send queues a message that depends on no sync.
func (n *Node) send(m Message) { n.sendAfterSync(0, m) }

// sendAfterSync queues a message until the batch with the given number is durable.
func (n *Node) sendAfterSync(seq uint64, m Message) {
	m.Group, m.From, m.Boot = n.hard.Group, n.settings.Self, n.settings.Boot
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	if seq <= n.synced {
		n.out.Messages = append(n.out.Messages, m)
		return
	}
	// Deferred messages stay ordered by batch, so that Synced releases a prefix.
	at := len(n.deferred)
	for at > 0 && n.deferred[at-1].seq > seq {
		at--
	}
	n.deferred = slices.Insert(n.deferred, at, deferredMessage{seq: seq, message: m})
}
