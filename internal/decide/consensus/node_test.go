package consensus

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against violations of the safety properties under message loss, duplication, reordering,
// crashes at any sync point, wiped and restored folders, failed syncs and clock drift in any order.
func TestGroupKeepsItsPromisesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 5}).Draw(t, "size")
		s := newSim(t, rapid.Uint64().Draw(t, "seed"), size)
		s.settle()
		any := func(t *rapid.T) *machine { return s.machines[rapid.IntRange(0, size-1).Draw(t, "machine")] }
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				s.run(time.Duration(rapid.IntRange(0, 80).Draw(t, "x10ms")) * 10 * time.Millisecond)
			},
			"propose": func(t *rapid.T) { s.propose(any(t)) },
			"read":    func(t *rapid.T) { s.read(any(t)) },
			"burst": func(*rapid.T) {
				for range 20 {
					s.propose(s.leader())
				}
			},
			"lossy":    func(t *rapid.T) { s.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss") },
			"crash":    func(t *rapid.T) { s.crash(any(t)) },
			"start":    func(t *rapid.T) { s.start(any(t)) },
			"isolate":  func(t *rapid.T) { s.isolated[any(t).id] = true },
			"cut link": func(t *rapid.T) { s.brokenLinks[link(any(t).id, any(t).id)] = true },
			"heal":     func(*rapid.T) { s.heal() },
			"freeze": func(t *rapid.T) {
				any(t).frozenUntil = s.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "x100ms")) * 100 * time.Millisecond)
			},
			"slow disk": func(t *rapid.T) {
				any(t).slowUntil = s.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "x100ms")) * 100 * time.Millisecond)
			},
			"failsync": func(t *rapid.T) {
				if m := any(t); m.node != nil {
					m.syncFailed = true
					m.node.Fail()
					s.processOutput(m)
				}
			},
			"compact": func(t *rapid.T) {
				if m := any(t); m.node != nil {
					m.node.Compact(m.applied, []byte("state"))
					s.processOutput(m)
				}
			},
			"transfer": func(*rapid.T) {
				if m := s.leader(); m != nil {
					m.node.Transfer(s.clock(m))
					s.processOutput(m)
				}
			},
			"copy": func(t *rapid.T) {
				m := any(t)
				m.copies = append(m.copies, folderCopy{m.folder, m.boots, Stored{m.disk.Hard, m.disk.Snapshot, slices.Clone(m.disk.Entries)}})
			},
			// One folder is lost at a time: the group tolerates the next loss only after the
			// first folder's replacement counts towards the quorum.
			"wipe":    func(t *rapid.T) { s.wipe(any(t)) },
			"restore": func(t *rapid.T) { s.restore(any(t)) },
			"settle":  func(*rapid.T) { s.settle() },
		})
		s.settle()
		if !s.commitEntry() {
			t.Fatalf("a healthy group commits nothing within 10 s")
		}
	})
}

// Guards against a leader that trusts its lease while it is cut off.
func TestIsolatedLeaderStopsWithinItsLease(t *testing.T) {
	s := newSim(t, 7, 3)
	s.settle()
	old := s.leader()
	s.isolated[old.id] = true
	s.run(LeaseDuration + 10*time.Millisecond)
	if old.node.Leads(s.clock(old)) {
		t.Fatalf("the isolated leader still leads after the end of its lease")
	}
	for range 600 {
		s.run(100 * time.Millisecond)
		if old.node.Leads(s.clock(old)) {
			t.Fatalf("the isolated leader leads again")
		}
	}
	if l := s.leader(); l == nil || l == old {
		t.Fatalf("the others elected no leader")
	}
	s.settle()
}

// Guards against the loss of committed entries when a second machine is lost right after a first
// one was repaired with an empty disk.
func TestSecondLossAfterRepairLosesNothing(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(t, seed, 3)
		s.settle()
		for range 50 {
			s.propose(s.leader())
			s.run(20 * time.Millisecond)
		}
		s.wipe(s.machines[seed%3])
		committed := s.highestCommitted
		lost := s.machines[(seed+1)%3]
		s.crash(lost)
		s.newFolder(lost)
		for range 100 {
			s.run(100 * time.Millisecond)
			if s.leader() != nil {
				break
			}
		}
		l := s.leader()
		if l == nil || l.node.Status().Last < committed {
			t.Fatalf("seed %d: entries up to %d are lost", seed, committed)
		}
		s.settle()
	}
}

// Guards against a folder that was restored from an older copy and votes under the identity of the
// former one.
func TestRestoredFolderRejoinsAsAnother(t *testing.T) {
	s := newSim(t, 3, 3)
	s.settle()
	m := s.machines[1]
	oldFolder := m.folder
	m.copies = append(m.copies, folderCopy{m.folder, m.boots, Stored{m.disk.Hard, m.disk.Snapshot, slices.Clone(m.disk.Entries)}})
	s.crash(m)
	s.settle()
	s.restore(m)
	if m.folder == oldFolder {
		t.Fatalf("the restored folder counts under its former identity")
	}
}

// Guards against lost progress and lost entries when a minority is killed at every sync point.
func TestMinorityKilledAtEverySyncPoint(t *testing.T) {
	for _, size := range []int{3, 5} {
		s := newSim(t, uint64(size), size)
		s.settle()
		for round := range 60 {
			for k := range size / 2 {
				victim := s.machines[(round+k)%size]
				for range 50 {
					s.propose(s.leader())
					s.run(10 * time.Millisecond)
					if len(victim.inflight) > 0 {
						break
					}
				}
				s.crash(victim)
			}
			if !s.commitEntry() {
				t.Fatalf("round %d: the majority commits nothing", round)
			}
			s.settle()
		}
	}
}
