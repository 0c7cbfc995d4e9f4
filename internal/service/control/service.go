package control

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"briaryard/internal/decide/consensus"
	"briaryard/internal/decide/state"
	"briaryard/internal/event"
	"briaryard/internal/fault"
	"briaryard/internal/kernel"
	"briaryard/internal/port"
	"briaryard/internal/ring"
	"briaryard/internal/storage"
	"briaryard/internal/wire/consensuswire"
)

// message is what the control ring carries: port.PeerMessage, wake, or stopLeading.
type message any

// wake asks the control duty to look at the reports of the sync duty.
type wake struct{}

// stopLeading asks the leader to hand over; done is closed when it leads no more.
type stopLeading struct{ done chan struct{} }

// Service is a voter.
type Service struct {
	set      Settings
	codecs   Codecs
	sessions Sessions
	log      *event.Log
	peers    port.Peers
	ring     *ring.Ring[message]
	syncs    *ring.Ring[job]
	reports  *ring.Ring[report]
	// snapshots and snapshotReports join the control duty and the snapshot duty.
	snapshots       *ring.Ring[snapshotJob]
	snapshotReports *ring.Ring[snapshotReport]
	duties          []*kernel.Duty
	failure         atomic.Pointer[fault.VoterFailed]
	status          atomic.Pointer[consensus.Status]

	// folder belongs to the sync duty once that has started, but for writing the files of
	// snapshots.
	folder *folder

	// The fields below belong to the control duty.
	node     *consensus.Node
	machine  *state.Machine
	requests requests
	// unsent collects records while batchesAhead batches are at the sync duty.
	unsent   *consensus.Batch
	ahead    []uint64
	stopping []stopLeading
	// led is the term in which the node led when its output was last carried out.
	led       uint64
	followed  consensus.Member
	emptying  bool
	logged    int
	logBytes  int
	compacted uint64
	changing  *voterChange
	changed   []changeAnswer
	// snapshotting is set while a job is at the snapshot duty, and storedFile is the index of the
	// newest snapshot whose file is durable.
	snapshotting bool
	storedFile   uint64
	// installing is the received snapshot whose state replaces the machine's. Until it does,
	// backlog and waiting keep the committed entries and the reads.
	installing *consensus.Snapshot
	backlog    []consensus.Entry
	waiting    []consensus.Read
	// reopenAt is when a failed voter opens its folder again; zero for never.
	reopenAt time.Time
}

// New returns the service.
func New(set Settings, codecs Codecs, sessions Sessions, log *event.Log) *Service {
	if set.Files == nil {
		set.Files = storage.OS{}
	}
	if set.Now == nil {
		set.Now = time.Now
	}
	return &Service{
		set: set, codecs: codecs, sessions: sessions, log: log,
		ring:    ring.New[message]("control", controlCapacity, ring.Refuse),
		syncs:   ring.New[job]("sync", syncCapacity, ring.Block),
		reports: ring.New[report]("sync-reports", 1, ring.ReplaceOldest),

		snapshots:       ring.New[snapshotJob]("snapshot", 1, ring.Refuse),
		snapshotReports: ring.New[snapshotReport]("snapshot-reports", 1, ring.ReplaceOldest),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return port.ControlName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return []string{port.PeersName} }

// Provision implements kernel.Service.
func (s *Service) Provision(r kernel.Resolver) (err error) {
	if s.peers, err = kernel.Resolve[port.Peers](r, port.PeersName); err != nil {
		return err
	}
	s.peers.Handle(port.ControlName, codec{commands: s.codecs.Messages()}, func(m port.PeerMessage) error {
		return s.ring.Offer(m)
	})
	return nil
}

// Start implements kernel.Service. It refuses a folder that is damaged or not this instance's.
func (s *Service) Start(h *kernel.Host) (err error) {
	began := time.Now()
	if s.folder, err = s.openFolder(); err != nil {
		return err
	}
	stored := s.folder.stored
	if s.machine, err = s.decodeSnapshot(stored.Snapshot); err != nil {
		return &fault.UnusableFolder{Folder: s.set.Folder, Err: err}
	}
	s.begin(s.set.Now(), s.folder.identity, stored)
	id := s.folder.identity
	s.log.Emit(event.ControlOpened, s.set.Folder, id.Folder, id.Boots, stored.Hard.Term,
		s.node.Status().Last, stored.Snapshot.Index, time.Since(began))
	s.duties = append(s.duties,
		h.Go("sync", s.runSync, s.syncs),
		h.Go("snapshot", s.runSnapshot, s.snapshots),
		h.Go("control", func(ctx context.Context, d *kernel.Duty) {
			kernel.Loop[message]{Ring: s.ring, Tick: tick, Handle: s.handle, OnTick: s.onTick, Now: s.set.Now}.Run(ctx, d)
		}, s.ring))
	return nil
}

// begin creates the node for the folder's current incarnation and start.
func (s *Service) begin(now time.Time, id consensuswire.Identity, stored consensus.Stored) {
	set := s.set.consensus()
	set.Self = consensus.Member{Instance: id.Instance, Folder: id.Folder}
	set.Boot = consensus.Boot{Counter: id.Boots, Nonce: rand.Uint64()}
	set.Seed, set.Group = rand.Uint64(), rand.Uint64()|1
	s.node = consensus.New(set, stored, now)
	s.requests = newRequests()
	s.unsent, s.ahead = nil, nil
	s.installing, s.backlog, s.waiting, s.storedFile = nil, nil, nil, 0
	s.led, s.emptying = 0, false
	s.compacted, s.logged, s.logBytes = stored.Snapshot.Index, 0, 0
	s.publish()
}

// Stop implements kernel.Service. A leader hands over first, so that the group does not wait
// for an election.
func (s *Service) Stop(ctx context.Context) error {
	request := stopLeading{done: make(chan struct{})}
	if s.ring.Offer(request) == nil {
		timer := time.NewTimer(transferTimeout)
		defer timer.Stop()
		select {
		case <-request.done:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	s.ring.Close()
	for i := len(s.duties) - 1; i >= 0; i-- {
		s.duties[i].End()
	}
	s.snapshots.Close()
	s.syncs.Close()
	return s.folder.log.Close()
}

// Health implements kernel.HealthReporter.
func (s *Service) Health() error {
	if f := s.failure.Load(); f != nil {
		return f
	}
	return nil
}

// Status returns the voter's view of its group, for operators.
func (s *Service) Status() consensus.Status { return *s.status.Load() }

func (s *Service) publish() {
	status := s.node.Status()
	s.status.Store(&status)
}

func (s *Service) decodeSnapshot(snapshot consensus.Snapshot) (*state.Machine, error) {
	m := state.NewMachine(s.set.Limits)
	if len(snapshot.Data) > 0 {
		var err error
		if m, err = s.codecs.DecodeSnapshot(snapshot.Data, s.set.Limits); err != nil {
			return nil, err
		}
	}
	m.Skip(snapshot.Index)
	return m, nil
}
