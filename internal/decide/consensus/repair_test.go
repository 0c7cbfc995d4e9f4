package consensus

import (
	"fmt"
	"time"
)

// healthy reports whether every machine runs a folder that the leader records as a voter with its
// current boot, and no membership change is in progress.
func (s *sim) healthy() bool {
	l := s.leader()
	if l == nil || l.node.log.commit < l.node.lead.changeIndex {
		return false
	}
	for _, m := range s.machines {
		if m.node == nil || m.syncFailed || !l.node.log.members().IsVoter(m.node.settings.Self) {
			return false
		}
		if r, _ := l.node.log.members().Find(m.node.settings.Self); r.Boot != m.node.settings.Boot || r.BootIndex > l.node.log.commit {
			return false
		}
	}
	return len(l.node.log.members().Voters()) == len(s.machines)
}

// commitEntry proposes until an entry is committed. A leadership transfer may delay it.
func (s *sim) commitEntry() bool {
	before := s.highestCommitted
	for range 100 {
		s.propose(s.leader())
		s.run(100 * time.Millisecond)
		if s.highestCommitted > before {
			return true
		}
	}
	return false
}

// settle heals the network, starts every machine and waits for a healthy group.
func (s *sim) settle() {
	s.t.Helper()
	s.loss = 0
	s.heal()
	for range 600 {
		for _, m := range s.machines {
			if m.syncFailed {
				s.crash(m)
			}
			s.start(m)
		}
		s.run(100 * time.Millisecond)
		if s.healthy() {
			return
		}
	}
	for _, m := range s.machines {
		fmt.Printf("%s %+v\n", m.id, m.node.Status())
	}
	s.t.Fatalf("the group was not healthy again after 60 s")
}

// wipe replaces a machine's folder with an empty one if the group is healthy.
func (s *sim) wipe(m *machine) {
	if s.healthy() {
		s.crash(m)
		s.newFolder(m)
		s.start(m)
		s.waitHealthy()
	}
}

// restore replaces the folder with an older copy of it that was taken in an earlier boot.
func (s *sim) restore(m *machine) {
	if !s.healthy() || len(m.copies) == 0 || m.copies[0].boots >= m.boots || m.copies[0].folder != m.folder {
		return
	}
	c := m.copies[0]
	m.copies = nil
	s.crash(m)
	s.run(MaxElection)
	m.disk, m.boots = c.disk, c.boots
	s.start(m)
	s.waitHealthy()
}

// waitHealthy waits until the replacement counts towards the quorum. No other fault happens
// meanwhile, because two folders lost at once may lose entries in a group of three.
func (s *sim) waitHealthy() {
	for range 600 {
		s.run(100 * time.Millisecond)
		if s.healthy() {
			return
		}
		s.heal()
		for _, m := range s.machines {
			if m.syncFailed {
				s.crash(m)
			}
			s.start(m)
		}
	}
	s.t.Fatalf("the group was not healthy within 60 s after a folder was replaced")
}
