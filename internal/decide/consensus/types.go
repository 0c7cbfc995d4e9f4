package consensus

import (
	"slices"
	"time"

	"briaryard/internal/model"
)

const (
	// HeartbeatInterval is the interval at which a leader sends heartbeats to its members.
	HeartbeatInterval = 100 * time.Millisecond
	// MinElection is the shortest election timeout. A member grants no vote within this time of
	// a leader's last message or of its own start.
	MinElection = 500 * time.Millisecond
	// MaxElection is the longest election timeout. Each timeout is drawn at random between the
	// two limits, so that members rarely campaign at the same time.
	MaxElection = 1000 * time.Millisecond
	// LeaseDuration counts from the send time of the last heartbeat that a quorum has
	// acknowledged. With clock rates that differ by at most 1% it ends before MinElection has
	// passed at any member, because 400 ms * 1.01 < 500 ms * 0.99.
	LeaseDuration = 400 * time.Millisecond

	// preVoteRetry is the interval at which pre-vote requests are repeated. They change no state
	// at the members that answer.
	preVoteRetry = 150 * time.Millisecond

	// appendBytes and appendInflight bound what a leader sends to one member ahead of its
	// acknowledgements to about 2 MiB, unless single entries are larger.
	appendBytes    = 256 << 10
	appendInflight = 8
	// chunkBytes is the size of one part of a snapshot.
	chunkBytes = 256 << 10
	// resendAfter is how long a leader waits for an acknowledgement before it sends again.
	resendAfter = 300 * time.Millisecond
	// TrailingEntries is the usual number of entries that stay in memory after a compaction, so
	// that a member that is only slightly behind needs no snapshot.
	TrailingEntries = 2000
)

// Member identifies a data folder of an instance. Folder is the folder's incarnation; a wiped
// folder has a different one.
type Member struct {
	Instance model.InstanceID
	Folder   uint64
}

// IsZero reports whether m identifies no member.
func (m Member) IsZero() bool { return m == Member{} }

// Boot identifies one start of a folder. The counter is persisted and grows with each start;
// the nonce distinguishes a start from that of a restored copy with the same counter.
type Boot struct {
	Counter uint64
	Nonce   uint64
}

// outdated reports whether b cannot be the current start of a folder that has shown seen.
func (b Boot) outdated(seen Boot) bool {
	return b.Counter < seen.Counter || b.Counter == seen.Counter && b.Nonce != seen.Nonce
}

// MemberRecord is a member as recorded in the log.
type MemberRecord struct {
	Member
	Learner bool
	Boot    Boot
	// BootIndex is the log index that recorded Boot. Acknowledgements count only from there
	// on, so that every later leader knows the boot.
	BootIndex uint64
}

// Membership is the recorded voter set with its learners.
type Membership struct{ Members []MemberRecord }

// Find returns the record of a member.
func (s Membership) Find(m Member) (MemberRecord, bool) {
	for _, r := range s.Members {
		if r.Member == m {
			return r, true
		}
	}
	return MemberRecord{}, false
}

// IsVoter reports whether the member has a vote.
func (s Membership) IsVoter(m Member) bool {
	r, ok := s.Find(m)
	return ok && !r.Learner
}

// Voters returns the members with a vote.
func (s Membership) Voters() []Member {
	var out []Member
	for _, r := range s.Members {
		if !r.Learner {
			out = append(out, r.Member)
		}
	}
	return out
}

func (s Membership) clone() Membership { return Membership{Members: slices.Clone(s.Members)} }

func (s *Membership) set(r MemberRecord) {
	for i := range s.Members {
		if s.Members[i].Member == r.Member {
			s.Members[i] = r
			return
		}
	}
	s.Members = append(s.Members, r)
}

func (s *Membership) remove(m Member) {
	s.Members = slices.DeleteFunc(s.Members, func(r MemberRecord) bool { return r.Member == m })
}

// EntryKind says what an entry holds.
type EntryKind uint8

// Entry kinds.
const (
	// EntryCommand holds a command of the state machine.
	EntryCommand EntryKind = iota
	// EntryMembers holds the membership that is in force from this entry on. A new leader's
	// first entry is of this kind.
	EntryMembers
)

// Entry is a record of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	// At is the leader's wall clock in nanoseconds. It never decreases within a term.
	At      int64
	Kind    EntryKind
	Data    []byte
	Members Membership
}

// HardState is the state that must be durable before a member sends a message that depends on it.
type HardState struct {
	// Group is the group that the folder belongs to, or zero if it belongs to none yet.
	Group uint64
	Term  uint64
	Vote  Member
}

// Snapshot replaces the log up to its index. Without data it stands for an empty state.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members Membership
	Data    []byte
}

// Chunk is a part of a snapshot.
type Chunk struct {
	Snapshot // Data holds the part only.
	Offset   uint64
	Last     bool
}

// MessageType distinguishes the requests and replies of the protocol.
type MessageType uint8

// Message types.
const (
	MsgPreVote MessageType = iota + 1
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend
	MsgAppendReply
	MsgHeartbeat
	MsgHeartbeatReply
	MsgSnapshot
	MsgSnapshotReply
	// MsgTimeoutNow asks a member to campaign at once.
	MsgTimeoutNow
	// MsgStale tells a member that its folder was restored from an older copy.
	MsgStale
	// MsgJoin asks to be added as a learner.
	MsgJoin
)

// Message is a protocol message between two members. Its type determines which fields are set.
type Message struct {
	Type     MessageType
	Group    uint64
	From, To Member
	// Boot is the current boot of the sender.
	Boot Boot
	Term uint64
	// Index and LogTerm identify the entry before Entries or the candidate's last entry. In a
	// reply to an append Index is the last acknowledged entry or, if Reject is set, the entry to
	// retry after, with the index of the member's last entry in LogTerm. In a reply to a
	// heartbeat Index is the member's last entry.
	Index   uint64
	LogTerm uint64
	// Commit is the sender's commit index or, in MsgSnapshotReply, the next offset.
	Commit  uint64
	Entries []Entry
	// Round numbers the heartbeat rounds of a term; a reply carries the number of its heartbeat.
	Round  uint64
	Reject bool
	// Transfer marks a vote request of a leadership transfer, which the former leader started.
	Transfer bool
	Chunk    *Chunk
	// Subject is the boot that MsgStale reports as stale.
	Subject Boot
}

// Batch holds records to sync together. Entries replace those of the same and later indexes.
type Batch struct {
	// Seq numbers batches; Synced reports the last one that is durable.
	Seq  uint64
	Hard *HardState
	// Snapshot replaces the log up to its index, or with Reset the whole log.
	Snapshot *Snapshot
	Reset    bool
	Entries  []Entry
}

// Merge adds a later batch to b.
func (b *Batch) Merge(next *Batch) {
	b.Seq = next.Seq
	if next.Hard != nil {
		b.Hard = next.Hard
	}
	if next.Reset {
		b.Reset, b.Entries = true, nil
	}
	if next.Snapshot != nil {
		b.Snapshot = next.Snapshot
	}
	b.Entries = overwrite(b.Entries, next.Entries)
	if b.Snapshot != nil {
		b.Entries = dropUpTo(b.Entries, b.Snapshot.Index)
	}
}

// overwrite appends entries to a log that is not shared; they replace those of the same and later
// indexes.
func overwrite(log, entries []Entry) []Entry {
	if len(entries) == 0 {
		return log
	}
	keep := len(log)
	for keep > 0 && log[keep-1].Index >= entries[0].Index {
		keep--
	}
	return append(log[:keep], entries...)
}

func dropUpTo(log []Entry, index uint64) []Entry {
	drop := 0
	for drop < len(log) && log[drop].Index <= index {
		drop++
	}
	return log[drop:]
}

// Stored is the durable state that a member reads from its folder at its start. A new folder has
// the zero value.
type Stored struct {
	Hard     HardState
	Snapshot Snapshot
	Entries  []Entry
}

// Apply applies a synced batch to the durable state.
func (s *Stored) Apply(b *Batch) {
	if b.Hard != nil {
		s.Hard = *b.Hard
	}
	if b.Reset {
		s.Entries = nil
	}
	if b.Snapshot != nil {
		s.Snapshot = *b.Snapshot
	}
	s.Entries = dropUpTo(overwrite(s.Entries, b.Entries), s.Snapshot.Index)
}

// Read is a linearizable read that may be served once Index has been applied.
type Read struct {
	Tag   uint64
	Index uint64
	// Refused is set if the node stopped leading before the read could be served.
	Refused bool
}

// Output lists the actions that the caller must carry out for a node. Messages may be sent at
// once: the node defers those that depend on a sync.
type Output struct {
	Messages []Message
	Batch    *Batch
	// Install is a snapshot that replaces the state of the state machine before Committed is
	// applied.
	Install   *Snapshot
	Committed []Entry
	Reads     []Read
}

// Role is the role of a node in its term.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
	// Halted nodes take no further part until they are restarted.
	Halted
)

// String returns the role's name.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader", "halted"}[min(r, Halted)]
}
