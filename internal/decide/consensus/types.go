package consensus

import (
	"slices"
	"time"

	"briaryard/internal/model"
)

const (
	// HeartbeatInterval is how often a leader asks its members to confirm it.
	HeartbeatInterval = 100 * time.Millisecond
	// MinElection is the shortest election timeout. A member grants no vote within it of
	// hearing from a leader or of its own start.
	MinElection = 500 * time.Millisecond
	// MaxElection is the longest election timeout; each is drawn at random between the two, so
	// that members seldom campaign at once.
	MaxElection = 1000 * time.Millisecond
	// LeaseDuration counts from the send time of the last heartbeat that a quorum has
	// acknowledged. With clock rates that differ by at most 1% it ends before MinElection has
	// passed at any member, because 400 ms * 1.01 < 500 ms * 0.99.
	LeaseDuration = 400 * time.Millisecond

	// preVoteAgain is the interval in which pre-votes are asked for again. They change nothing at the
	// members that answer.
	preVoteAgain = 150 * time.Millisecond

	// appendBytes and appendInflight bound what a leader sends to one member ahead of its
	// acknowledgements to about 2 MiB, unless single entries are larger.
	appendBytes    = 256 << 10
	appendInflight = 8
	// chunkBytes is the size of one part of a snapshot.
	chunkBytes = 256 << 10
	// resendAfter is how long a leader waits for an acknowledgement before it sends again.
	resendAfter = 300 * time.Millisecond
	// TrailingEntries is the usual number of entries that stay in memory after a compaction, so
	// that a member that is a little behind needs no snapshot.
	TrailingEntries = 2000
)

// Member identifies a data folder of an instance. A wiped folder has another incarnation.
type Member struct {
	Instance model.InstanceID
	Folder   uint64
}

// IsZero reports whether no member is named.
func (m Member) IsZero() bool { return m == Member{} }

// Boot identifies one start of a folder. The counter is persisted and grows with each start;
// the nonce tells a start from one of a restored copy with the same counter.
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

// HardState is what a member must not forget before it answers.
type HardState struct {
	// Group is the group that the folder belongs to, zero as long as it belongs to none.
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

// MessageType says what a message asks or answers.
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

// Message passes between members.
type Message struct {
	Type     MessageType
	Group    uint64
	From, To Member
	// Boot is the sender's.
	Boot Boot
	Term uint64
	// Index and LogTerm are the entry before Entries, the candidate's last entry, the last
	// acknowledged entry, or the last entry of a member that rejects.
	Index   uint64
	LogTerm uint64
	Commit  uint64
	Entries []Entry
	// Round numbers the heartbeats of a term; a reply repeats it.
	Round  uint64
	Reject bool
	// Transfer marks a vote that the former leader asked for.
	Transfer bool
	Chunk    *Chunk
	// Subject is the boot that MsgStale speaks of.
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

// overwrite adds entries to a log that the caller alone holds; they replace those of the same
// and later indexes.
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

// Stored is what a member finds on its disk. A new folder has the zero value.
type Stored struct {
	Hard     HardState
	Snapshot Snapshot
	Entries  []Entry
}

// Apply replays a synced batch.
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
	// Refused is set when the node stopped leading first.
	Refused bool
}

// Output is what a node wants done. Messages may be sent at once: those that depend on a sync
// are held back inside the node.
type Output struct {
	Messages []Message
	Batch    *Batch
	// Install is a received snapshot to replace the state machine with, before Committed.
	Install   *Snapshot
	Committed []Entry
	Reads     []Read
}

// Role is the part that a node plays in its term.
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
