package consensus

import (
	"fmt"
	"time"
)

// whole reports whether every machine runs a folder that counts in the voter set of the leader
// and in its own.
func (s *sim) whole() bool {
	l := s.leader()
	if l == nil || l.node.log.commit < l.node.lead.change {
		return false
	}
	for _, m := range s.machines {
		if m.node == nil || m.failed || !l.node.log.members().IsVoter(m.node.set.Self) {
			return false
		}
		if r, _ := l.node.log.members().Find(m.node.set.Self); r.Boot != m.node.set.Boot || r.BootIndex > l.node.log.commit {
			return false
		}
	}
	return len(l.node.log.members().Voters()) == len(s.machines)
}

// accept proposes until an entry is committed. A leadership transfer may delay it.
func (s *sim) accept() bool {
	before := s.highest
	for range 100 {
		s.propose(s.leader())
		s.run(100 * time.Millisecond)
		if s.highest > before {
			return true
		}
	}
	return false
}

// settle heals the network, starts every machine and waits for a whole group.
func (s *sim) settle() {
	s.t.Helper()
	s.loss = 0
	s.heal()
	for range 600 {
		for _, m := range s.machines {
			if m.failed {
				s.crash(m)
			}
			s.start(m)
		}
		s.run(100 * time.Millisecond)
		if s.whole() {
			return
		}
	}
	for _, m := range s.machines {
		fmt.Printf("%s %+v\n", m.id, m.node.Status())
	}
	s.t.Fatalf("the group was not whole again after 60 s")
}

// wipe replaces a machine's folder by an empty one once the group is whole.
func (s *sim) wipe(m *machine) {
	if s.whole() {
		s.crash(m)
		s.newFolder(m)
		s.start(m)
		s.untilWhole()
	}
}

// restore puts back an older copy of the folder, taken in an earlier boot.
func (s *sim) restore(m *machine) {
	if !s.whole() || len(m.copies) == 0 || m.copies[0].boots >= m.boots || m.copies[0].folder != m.folder {
		return
	}
	c := m.copies[0]
	m.copies = nil
	s.crash(m)
	s.run(MaxElection)
	m.disk, m.boots = c.disk, c.boots
	s.start(m)
	s.untilWhole()
}

// untilWhole waits for the replacement to count. No other fault happens meanwhile, because two
// folders lost at once may lose entries in a group of three.
func (s *sim) untilWhole() {
	for range 600 {
		s.run(100 * time.Millisecond)
		if s.whole() {
			return
		}
		s.heal()
		for _, m := range s.machines {
			if m.failed {
				s.crash(m)
			}
			s.start(m)
		}
	}
	s.t.Fatalf("a replaced folder did not count again after 60 s")
}
