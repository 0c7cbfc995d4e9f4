package consensus

import (
	"testing"
	"time"
)

// testMember is one member of a group of three, with a disk that the test syncs explicitly.
type testMember struct {
	disk Stored
	node *Node
	now  time.Time
	boot uint64
}

var (
	memberA = Member{"a", 1}
	memberB = Member{"b", 2}
	memberC = Member{"c", 3}
)

func newTestMember() *testMember {
	members := Membership{Members: []MemberRecord{{Member: memberA}, {Member: memberB}, {Member: memberC}}}
	l := &testMember{now: time.Unix(1000, 0), disk: Stored{Hard: HardState{Group: 9, Term: 1}, Snapshot: Snapshot{Index: 1, Term: 1, Members: members}}}
	l.start()
	return l
}

func (l *testMember) start() {
	l.boot++
	l.node = New(Settings{Self: memberA, Boot: Boot{l.boot, l.boot}}, l.disk, l.now)
}

// step delivers a message and returns what the node sends once its records are durable.
func (l *testMember) step(after time.Duration, m Message, sync bool) []Message {
	l.now = l.now.Add(after)
	m.Group, m.To, m.Boot = 9, memberA, Boot{1, 1}
	l.node.Step(l.now, m)
	out := l.node.Output()
	if out.Batch == nil || !sync {
		return out.Messages
	}
	l.disk.Apply(out.Batch)
	l.node.Synced(l.now, out.Batch.Seq)
	return append(out.Messages, l.node.Output().Messages...)
}

func granted(sent []Message) bool {
	for _, m := range sent {
		if m.Type == MsgVoteReply && !m.Reject {
			return true
		}
	}
	return false
}

func vote(from Member, term uint64) Message {
	return Message{Type: MsgVote, From: from, Term: term, Index: 1, LogTerm: 1}
}

// Guards against two leaders of one term because a voter forgets its vote when it restarts.
func TestVoteSurvivesARestart(t *testing.T) {
	l := newTestMember()
	if granted(l.step(MinElection, vote(memberB, 5), false)) {
		t.Fatal("the vote left before it was durable")
	}
	l = newTestMember()
	if !granted(l.step(MinElection, vote(memberB, 5), true)) {
		t.Fatal("no vote for the first candidate")
	}
	l.start()
	if granted(l.step(2*MinElection, vote(memberC, 5), true)) {
		t.Fatal("a second vote in the term after the restart")
	}
}

// Guards against a vote during a lease that the voter acknowledged before it restarted.
func TestNoVoteSoonAfterTheStart(t *testing.T) {
	l := newTestMember()
	if granted(l.step(LeaseDuration, vote(memberB, 5), true)) {
		t.Fatal("a vote within the longest lease after the start")
	}
}

// Guards against a vote during a lease that the voter acknowledged, also if a message of a newer
// term arrives meanwhile.
func TestNoVoteWhileALeaseMayHold(t *testing.T) {
	l := newTestMember()
	l.step(2*MinElection, Message{Type: MsgHeartbeat, From: memberB, Term: 2, Round: 1}, true)
	l.step(0, Message{Type: MsgHeartbeatReply, From: memberC, Term: 3}, true)
	if granted(l.step(LeaseDuration, vote(memberC, 4), true)) {
		t.Fatal("a vote against a lease that was acknowledged")
	}
	if !granted(l.step(MinElection-LeaseDuration, vote(memberC, 4), true)) {
		t.Fatal("no vote after the lease")
	}
}

// Guards against the election of a leader that lacks entries.
func TestNoVoteForAShorterLog(t *testing.T) {
	l := newTestMember()
	l.step(0, Message{Type: MsgAppend, From: memberB, Term: 2, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 2}}}, true)
	if granted(l.step(2*MinElection, vote(memberC, 5), true)) {
		t.Fatal("a vote for a candidate without entry 2")
	}
}

// Guards against a commit that counts the leader's own entry before it is durable.
func TestLeaderCountsOnlyItsDurableEntries(t *testing.T) {
	s := newSim(t, 11, 3)
	s.settle()
	l := s.leader()
	for _, m := range s.machines {
		if m != l {
			s.isolated[m.id] = true
			break
		}
	}
	l.slowUntil = s.now.Add(time.Minute)
	before := s.highestCommitted
	s.propose(l)
	s.run(300 * time.Millisecond)
	if s.highestCommitted != before {
		t.Fatal("an entry was committed that only one voter had synced")
	}
}

// Guards against a stale read by a leader that was paused past its lease.
func TestPausedLeaderServesNoRead(t *testing.T) {
	s := newSim(t, 12, 3)
	s.settle()
	old := s.leader()
	old.frozenUntil = s.now.Add(5 * time.Second)
	s.run(3 * time.Second)
	if !s.commitEntry() {
		t.Fatal("the other voters commit nothing")
	}
	s.run(old.frozenUntil.Sub(s.now) - 10*time.Millisecond)
	old.frozenUntil = time.Time{}
	s.isolated[old.id] = true
	s.read(old)
	served := s.readsServed
	s.run(time.Second)
	if s.readsServed != served {
		t.Fatal("a read was served past the lease")
	}
}

// Guards against an acknowledgement that counts before its boot is in the log, where later leaders
// find it.
func TestAcknowledgementCountsFromTheRecordedBoot(t *testing.T) {
	s := newSim(t, 13, 3)
	s.settle()
	l := s.leader()
	f := s.machines[0]
	if f == l {
		f = s.machines[1]
	}
	s.crash(f)
	s.settle()
	s.run(time.Second)
	l = s.leader()
	r, _ := l.node.log.members().Find(f.node.settings.Self)
	if r.Boot != f.node.settings.Boot || r.BootIndex == 0 {
		t.Fatalf("boot %v is recorded as %v", f.node.settings.Boot, r.Boot)
	}
	if n := l.node; n.lead.progress[r.Member].match == 0 ||
		n.durableIndex(MemberRecord{Member: r.Member, Boot: r.Boot, BootIndex: n.log.last() + 1}) != 0 ||
		n.durableIndex(MemberRecord{Member: r.Member, Boot: Boot{99, 99}}) != 0 {
		t.Fatal("an acknowledgement counts before its boot is recorded")
	}
}

// Guards against a leader that changes voters before it knows what is committed, and against a
// learner that votes before it has caught up.
func TestVoterChangesWait(t *testing.T) {
	s := newSim(t, 14, 3)
	s.settle()
	l := s.leader()
	n := l.node
	n.lead.firstIndex = n.log.commit + 1
	if n.RemoveVoter(s.clock(l), n.log.members().Voters()[0]) {
		t.Fatal("a change before the term's first commit")
	}
	n.lead.firstIndex = n.log.commit
	learner := Member{"v9", 99}
	n.Permit("v9")
	n.Step(s.clock(l), Message{Type: MsgJoin, From: learner, To: n.settings.Self, Boot: Boot{1, 1}})
	s.run(400 * time.Millisecond)
	if r, ok := n.log.members().Find(learner); !ok || !r.Learner {
		t.Fatalf("record of a learner that answers nothing: %v %v", r, ok)
	}
	if !n.RemoveVoter(s.clock(l), learner) || n.RemoveVoter(s.clock(l), n.log.members().Voters()[0]) {
		t.Fatal("a second change began before the first was committed")
	}
}

// Guards against a lease that is counted from the arrival of an acknowledgement instead of the
// send time of its heartbeat.
func TestLeaseCountsFromTheSendTime(t *testing.T) {
	s := newSim(t, 15, 3)
	s.settle()
	l := s.leader()
	n, now := l.node, s.clock(l)
	n.lead.heartbeatSent = time.Time{}
	n.Tick(now)
	for _, v := range n.log.members().Voters() {
		if p := n.lead.progress[v]; p != nil {
			n.Step(now.Add(300*time.Millisecond), Message{
				Type: MsgHeartbeatReply, Group: n.hard.Group, From: v, To: n.settings.Self, Boot: p.boot, Term: n.hard.Term,
				Round: n.lead.round, Index: n.log.last(), Commit: n.log.commit,
			})
		}
	}
	if got := n.LeaseUntil().Sub(now); got != LeaseDuration {
		t.Fatalf("the lease ends %v after the heartbeat was sent", got)
	}
}

// Guards against a folder that was restored during the boot that the leader still tracks, and
// therefore shows a plausible boot but a shorter log than it acknowledged.
func TestLostAcknowledgedEntriesAreNoticed(t *testing.T) {
	s := newSim(t, 16, 3)
	s.settle()
	f := s.machines[0]
	if f == s.leader() {
		f = s.machines[1]
	}
	oldFolder, kept := f.folder, len(f.disk.Entries)
	for range 5 {
		s.commitEntry()
	}
	s.run(time.Second)
	s.crash(f)
	f.disk.Entries = f.disk.Entries[:kept]
	s.start(f)
	s.waitHealthy()
	if f.folder == oldFolder {
		t.Fatal("a folder that lost acknowledged entries counts under its former identity")
	}
}

// Guards against a commit index that covers entries which were not checked against the leader.
func TestCommitCoversOnlyCheckedEntries(t *testing.T) {
	l := newTestMember()
	old := []Entry{{Index: 2, Term: 2}, {Index: 3, Term: 2}}
	l.step(0, Message{Type: MsgAppend, From: memberB, Term: 2, Index: 1, LogTerm: 1, Entries: old}, true)
	l.step(0, Message{Type: MsgAppend, From: memberC, Term: 3, Index: 1, LogTerm: 1, Commit: 3, Entries: old[:1]}, true)
	if c := l.node.Status().Commit; c != 2 {
		t.Fatalf("commit is %d, but only entry 2 is known to match", c)
	}
	sent := l.step(0, Message{Type: MsgAppend, From: memberC, Term: 3, Index: 3, LogTerm: 3, Commit: 3}, true)
	if len(sent) != 1 || !sent[0].Reject || l.node.Status().Commit != 2 {
		t.Fatalf("an append after an entry of another term was answered %+v", sent)
	}
}

// Guards against an entry of an earlier term that is committed by counting acknowledgements; a
// later leader could still replace it.
func TestEntriesOfEarlierTermsAreNotCounted(t *testing.T) {
	s := newSim(t, 17, 3)
	s.settle()
	n := s.leader().node
	n.log.commit--
	n.hard.Term++
	n.advanceCommit()
	if n.log.commit == n.log.last() {
		t.Fatal("an entry of an earlier term was committed by counting")
	}
}
