package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"briaryard/internal/model"
)

// testingT is the subset of testing.T and rapid.T that the simulation uses.
type testingT interface {
	Fatalf(format string, args ...any)
	Helper()
}

// machine is one instance: its disk, and its node while the process runs.
type machine struct {
	id        model.InstanceID
	clockRate float64
	folder    uint64
	boots     uint64
	disk      Stored
	inflight  []*Batch
	syncAt    time.Time
	node      *Node
	applied   uint64
	// copies are older copies of the folder with the boot counter at which they were taken.
	copies     []folderCopy
	syncFailed bool
	// frozenUntil is the end of a pause of the process.
	frozenUntil time.Time
	// slowUntil is the end of a time in which the disk completes no sync.
	slowUntil time.Time
}

type folderCopy struct {
	folder, boots uint64
	disk          Stored
}

type packet struct {
	at      time.Time
	message Message
}

// sim runs machines in virtual time over a lossy network and checks the safety properties after
// every step.
type sim struct {
	t        testingT
	rng      *rand.Rand
	now      time.Time
	epoch    time.Time
	machines []*machine
	packets  []packet
	isolated map[model.InstanceID]bool
	// brokenLinks are pairs that do not reach each other.
	brokenLinks map[[2]model.InstanceID]bool
	loss        float64

	leaders          map[uint64]Member
	committed        map[uint64]Entry
	highestCommitted uint64
	reads            map[uint64]uint64
	readsServed      int
	proposals        uint64
	folders          uint64
}

func newSim(t testingT, seed uint64, size int) *sim {
	s := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), epoch: time.Unix(1_000_000, 0), isolated: make(map[model.InstanceID]bool),
		brokenLinks: make(map[[2]model.InstanceID]bool),

		leaders: make(map[uint64]Member), committed: make(map[uint64]Entry), reads: make(map[uint64]uint64),
	}
	s.now = s.epoch
	for i := range size {
		m := &machine{id: model.InstanceID(fmt.Sprintf("v%d", i)), clockRate: 0.995 + 0.01*float64(i)/float64(max(size-1, 1))}
		s.machines = append(s.machines, m)
		s.newFolder(m)
	}
	for _, m := range s.machines {
		s.start(m)
	}
	return s
}

// clock returns the time of the machine's own monotonic clock; rates differ by up to 1%.
func (s *sim) clock(m *machine) time.Time {
	return s.epoch.Add(time.Duration(float64(s.now.Sub(s.epoch)) * m.clockRate))
}

func (s *sim) newFolder(m *machine) {
	s.folders++
	m.folder, m.boots, m.disk, m.copies = s.folders, 0, Stored{}, nil
}

func (s *sim) start(m *machine) {
	if m.node != nil {
		return
	}
	m.boots++
	var initial []model.InstanceID
	for _, o := range s.machines {
		initial = append(initial, o.id)
	}
	m.node = New(Settings{
		Self: Member{m.id, m.folder}, Boot: Boot{m.boots, s.rng.Uint64()}, Seed: s.rng.Uint64(),
		Group: s.rng.Uint64() | 1, Initial: initial, Trailing: 5,
	}, Stored{m.disk.Hard, m.disk.Snapshot, slices.Clone(m.disk.Entries)}, s.clock(m))
	m.applied, m.syncFailed = m.disk.Snapshot.Index, false
}

// crash ends the process. Batches in progress survive up to an arbitrary point.
func (s *sim) crash(m *machine) {
	if m.node == nil {
		return
	}
	for range s.rng.IntN(len(m.inflight) + 1) {
		m.disk.Apply(m.inflight[0])
		m.inflight = m.inflight[1:]
	}
	m.inflight, m.node = nil, nil
}

func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(10 * time.Millisecond)
		s.deliver()
		for _, m := range s.machines {
			if m.node == nil || s.now.Before(m.frozenUntil) {
				continue
			}
			if !m.syncFailed && len(m.inflight) > 0 && !s.now.Before(m.syncAt) && !s.now.Before(m.slowUntil) {
				// One sync covers one or more batches.
				b := *m.inflight[0]
				k := 1 + s.rng.IntN(len(m.inflight))
				for _, next := range m.inflight[1:k] {
					b.Merge(next)
				}
				m.inflight = m.inflight[k:]
				m.disk.Apply(&b)
				s.processOutput(m)
				m.node.Synced(s.clock(m), b.Seq)
				m.syncAt = s.now.Add(time.Duration(s.rng.IntN(30)) * time.Millisecond)
			}
			if s.now.Sub(s.epoch)%(50*time.Millisecond) == 0 {
				m.node.Tick(s.clock(m))
			}
			s.processOutput(m)
		}
		s.checkLeases()
	}
}

func (s *sim) deliver() {
	var due []Message
	s.packets = slices.DeleteFunc(s.packets, func(p packet) bool {
		if p.at.After(s.now) {
			return false
		}
		due = append(due, p.message)
		return true
	})
	s.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, msg := range due {
		for _, m := range s.machines {
			if m.id == msg.To.Instance && m.node != nil && !s.isolated[m.id] && !s.now.Before(m.frozenUntil) {
				m.node.Step(s.clock(m), msg)
				s.processOutput(m)
			}
		}
	}
}

// processOutput carries out the actions in a node's output.
func (s *sim) processOutput(m *machine) {
	s.checkLeader(m)
	out := m.node.Output()
	if out.Batch != nil {
		m.inflight = append(m.inflight, out.Batch)
	}
	for _, msg := range out.Messages {
		s.transmit(m, msg)
	}
	if out.Install != nil {
		m.applied = out.Install.Index
	}
	for _, e := range out.Committed {
		s.apply(m, e)
	}
	for _, r := range out.Reads {
		if r.Refused {
			continue
		}
		s.readsServed++
		if r.Index < s.reads[r.Tag] {
			s.t.Fatalf("read %d served at index %d, but %d was committed before it began", r.Tag, r.Index, s.reads[r.Tag])
		}
	}
	if m.node.Status().Stale {
		// Like the service, discard the folder and start with an empty one.
		s.crash(m)
		s.newFolder(m)
		s.start(m)
	}
}

func link(a, b model.InstanceID) [2]model.InstanceID {
	return [2]model.InstanceID{min(a, b), max(a, b)}
}

func (s *sim) heal() {
	clear(s.isolated)
	clear(s.brokenLinks)
	for _, m := range s.machines {
		m.frozenUntil, m.slowUntil = time.Time{}, time.Time{}
	}
}

func (s *sim) transmit(m *machine, msg Message) {
	if s.isolated[m.id] || s.brokenLinks[link(m.id, msg.To.Instance)] || s.rng.Float64() < s.loss {
		return
	}
	copies := 1
	if s.loss > 0 && s.rng.Float64() < 0.05 {
		copies = 2
	}
	for range copies {
		delay := time.Duration(s.rng.IntN(20)) * time.Millisecond
		if s.loss > 0 && s.rng.Float64() < 0.02 {
			delay = time.Duration(s.rng.IntN(3000)) * time.Millisecond
		}
		s.packets = append(s.packets, packet{s.now.Add(delay), msg})
	}
}

func (s *sim) apply(m *machine, e Entry) {
	if e.Index != m.applied+1 {
		s.t.Fatalf("%s applied entry %d after %d", m.id, e.Index, m.applied)
	}
	m.applied = e.Index
	if c, ok := s.committed[e.Index]; ok {
		if c.Term != e.Term || string(c.Data) != string(e.Data) {
			s.t.Fatalf("%s applied entry %d of term %d, but it was committed with term %d", m.id, e.Index, e.Term, c.Term)
		}
		return
	}
	s.committed[e.Index] = e
	s.highestCommitted = max(s.highestCommitted, e.Index)
}

func (s *sim) checkLeader(m *machine) {
	n := m.node
	if n.role != Leader {
		return
	}
	term := n.hard.Term
	if l, ok := s.leaders[term]; ok && l != n.settings.Self {
		s.t.Fatalf("term %d has leaders %v and %v", term, l, n.settings.Self)
	} else if !ok {
		s.leaders[term] = n.settings.Self
		for i := n.log.base + 1; i <= s.highestCommitted; i++ {
			if t, ok := n.log.term(i); !ok || t != s.committed[i].Term {
				s.t.Fatalf("leader %v of term %d lacks committed entry %d of term %d", n.settings.Self, term, i, s.committed[i].Term)
			}
		}
	}
}

func (s *sim) checkLeases() {
	var holder *machine
	for _, m := range s.machines {
		if m.node == nil || !m.node.Leads(s.clock(m)) {
			continue
		}
		if holder != nil {
			s.t.Fatalf("%s (term %d) and %s (term %d) hold leases at once", holder.id, holder.node.hard.Term, m.id, m.node.hard.Term)
		}
		holder = m
	}
}

func (s *sim) leader() *machine {
	for _, m := range s.machines {
		if m.node != nil && m.node.Leads(s.clock(m)) {
			return m
		}
	}
	return nil
}

func (s *sim) propose(m *machine) (uint64, bool) {
	if m == nil || m.node == nil || s.now.Before(m.frozenUntil) {
		return 0, false
	}
	s.proposals++
	index, _, ok := m.node.Propose(s.clock(m), fmt.Appendf(nil, "%d", s.proposals))
	s.processOutput(m)
	return index, ok
}

func (s *sim) read(m *machine) {
	if m.node != nil && !s.now.Before(m.frozenUntil) {
		tag := uint64(len(s.reads) + 1)
		s.reads[tag] = s.highestCommitted
		m.node.Read(s.clock(m), tag)
		s.processOutput(m)
	}
}
