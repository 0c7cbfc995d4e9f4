package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"briaryard/internal/decide/consensus"
	"briaryard/internal/decide/state"
	"briaryard/internal/event"
	"briaryard/internal/fault"
	"briaryard/internal/kernel"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
	"briaryard/internal/storage"
	"briaryard/internal/wire/consensuswire"
)

// message is an entry of the control ring: port.PeerMessage, wake, stopLeading, or membersKnown.
type message any

// wake makes the control duty check for reports of the sync and snapshot duties.
type wake struct{}

// stopLeading asks the voter to transfer leadership; done is closed once it is not the leader.
type stopLeading struct{ done chan struct{} }

// membersKnown lists instances that may be members of the group.
type membersKnown struct{ instances []model.InstanceID }

// Service runs one voter: its consensus node, its replicated state machine and its data folder.
type Service struct {
	settings    Settings
	codecs      Codecs
	sessions    Sessions
	log         *event.Log
	peers       port.Peers
	ring        *ring.Ring[message]
	syncJobs    *ring.Ring[syncJob]
	syncReports *ring.Ring[syncReport]
	// snapshotJobs carries work to the snapshot duty, and snapshotReports its results back.
	snapshotJobs    *ring.Ring[snapshotJob]
	snapshotReports *ring.Ring[snapshotReport]
	duties          []*kernel.Duty
	failure         atomic.Pointer[fault.VoterFailed]
	status          atomic.Pointer[consensus.Status]

	// folder belongs to the sync duty once that has started, except that the snapshot duty writes
	// the snapshot files.
	folder *folder

	// The fields below belong to the control duty.
	node     *consensus.Node
	machine  *state.Machine
	requests requests
	// pendingBatch collects records while maxBatchesInFlight batches are at the sync duty. inFlight
	// holds the sequence numbers of those batches.
	pendingBatch *consensus.Batch
	inFlight     []uint64
	stopRequests []stopLeading
	// ledTerm is the term in which the node was the leader when its output was last processed; zero
	// if it was not. knownLeader is the leader that it was following then.
	ledTerm     uint64
	knownLeader consensus.Member
	// wiping is set while the folder of a stale node is being wiped.
	wiping bool
	// loggedEntries and loggedBytes count what was applied since the last snapshot was started or
	// received. compactedIndex is the index of the last snapshot.
	loggedEntries  int
	loggedBytes    int
	compactedIndex uint64
	// voterChange is the change in progress, and changeAnswers holds the latest answers to changes.
	voterChange   *voterChange
	changeAnswers []changeAnswer
	// snapshotting is set while a job is at the snapshot duty, and storedSnapshot is the index of the
	// newest snapshot whose file is durable.
	snapshotting   bool
	storedSnapshot uint64
	// installing is the received snapshot whose state is about to replace the machine's. Until it
	// has, backlog holds the committed entries and waitingReads the reads.
	installing   *consensus.Snapshot
	backlog      []consensus.Entry
	waitingReads []consensus.Read
	// reopenAt is the time at which a failed voter opens its folder again; zero means never.
	reopenAt time.Time
	shortage consensus.Shortage
	// rolloutSinks receive the roll-outs; publishedRollouts is the generation that they received last.
	rolloutSinks      []func([]model.Rollout)
	publishedRollouts uint64
}

// New returns a voter that uses storage.OS and time.Now where settings leave Files or Now nil.
func New(settings Settings, codecs Codecs, sessions Sessions, log *event.Log) *Service {
	if settings.Files == nil {
		settings.Files = storage.OS{}
	}
	if settings.Now == nil {
		settings.Now = time.Now
	}
	return &Service{
		settings: settings, codecs: codecs, sessions: sessions, log: log,
		ring:        ring.New[message]("control", controlCapacity, ring.Refuse),
		syncJobs:    ring.New[syncJob]("sync", syncCapacity, ring.Block),
		syncReports: ring.New[syncReport]("sync-reports", 1, ring.ReplaceOldest),

		snapshotJobs:    ring.New[snapshotJob]("snapshot", 1, ring.Refuse),
		snapshotReports: ring.New[snapshotReport]("snapshot-reports", 1, ring.ReplaceOldest),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return port.ControlName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string {
	if u := s.settings.Unattended; u != nil && u.MembersFrom != "" {
		return []string{port.PeersName, u.MembersFrom}
	}
	return []string{port.PeersName}
}

// Provision implements kernel.Service.
func (s *Service) Provision(r kernel.Resolver) (err error) {
	if s.peers, err = kernel.Resolve[port.Peers](r, port.PeersName); err != nil {
		return err
	}
	s.peers.Handle(port.ControlName, codec{commands: s.codecs.Messages()}, func(m port.PeerMessage) error {
		return s.ring.Offer(m)
	})
	if u := s.settings.Unattended; u != nil && u.MembersFrom != "" {
		return s.subscribeMembers(r, u.MembersFrom)
	}
	return nil
}

// subscribeMembers passes each change of the members that another service knows to the control duty.
func (s *Service) subscribeMembers(r kernel.Resolver, name string) error {
	observer, err := kernel.Resolve[port.MembersObserver](r, name)
	if err != nil {
		return err
	}
	// last belongs to the duty that publishes the members.
	var last []model.InstanceID
	observer.SubscribeMembers(func(m port.ControlMembers) {
		if slices.Equal(m.Instances, last) {
			return
		}
		// A list that does not fit into the ring comes again with the next answer.
		if s.ring.Offer(membersKnown{m.Instances}) == nil {
			last = m.Instances
		}
	})
	return nil
}

// Start implements kernel.Service. It refuses a folder of another instance, and a corrupt folder
// unless the voter is unattended.
func (s *Service) Start(h *kernel.Host) (err error) {
	began := time.Now()
	if s.folder, err = s.openFolder(); err != nil {
		return err
	}
	stored := s.folder.stored
	if s.machine, err = s.decodeSnapshot(stored.Snapshot); err != nil {
		return &fault.UnusableFolder{Folder: s.settings.Folder, Err: err}
	}
	s.startNode(s.settings.Now(), s.folder.identity, stored)
	id := s.folder.identity
	s.log.Emit(event.ControlOpened, s.settings.Folder, id.Folder, id.Boots, stored.Hard.Term,
		s.node.Status().Last, stored.Snapshot.Index, time.Since(began))
	s.duties = append(s.duties,
		h.Go("sync", s.runSync, s.syncJobs),
		h.Go("snapshot", s.runSnapshot, s.snapshotJobs),
		h.Go("control", func(ctx context.Context, d *kernel.Duty) {
			kernel.Loop[message]{Ring: s.ring, TickInterval: tickInterval, Handle: s.handle, OnTick: s.onTick, Now: s.settings.Now}.Run(ctx, d)
		}, s.ring))
	return nil
}

// startNode creates the consensus node for the folder's identity and start counter, and resets the
// state that belongs to the previous node.
func (s *Service) startNode(now time.Time, id consensuswire.Identity, stored consensus.PersistentState) {
	nodeSettings := s.settings.consensus()
	nodeSettings.Self = consensus.Member{Instance: id.Instance, Folder: id.Folder}
	nodeSettings.Boot = consensus.Boot{Counter: id.Boots, Nonce: rand.Uint64()}
	nodeSettings.Seed, nodeSettings.Group = rand.Uint64(), rand.Uint64()|1
	s.node = consensus.New(nodeSettings, stored, now)
	s.requests = newRequests()
	s.pendingBatch, s.inFlight = nil, nil
	s.installing, s.backlog, s.waitingReads, s.storedSnapshot = nil, nil, nil, 0
	s.ledTerm, s.wiping = 0, false
	s.compactedIndex, s.loggedEntries, s.loggedBytes = stored.Snapshot.Index, 0, 0
	s.publishStatus()
}

// Stop implements kernel.Service. A leader transfers leadership first, so that the group does not
// have to wait for an election timeout.
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
		s.duties[i].Stop()
	}
	s.snapshotJobs.Close()
	s.syncJobs.Close()
	return s.folder.log.Close()
}

// Health implements kernel.HealthReporter.
func (s *Service) Health() error {
	if f := s.failure.Load(); f != nil {
		return f
	}
	return nil
}

// Status returns the voter's view of its group as of the last processed output.
func (s *Service) Status() consensus.Status { return *s.status.Load() }

func (s *Service) publishStatus() {
	status := s.node.Status()
	s.status.Store(&status)
}

func (s *Service) decodeSnapshot(snapshot consensus.Snapshot) (*state.Machine, error) {
	m := state.NewMachine(s.settings.Limits)
	if len(snapshot.Data) > 0 {
		var err error
		if m, err = s.codecs.DecodeSnapshot(snapshot.Data, s.settings.Limits); err != nil {
			return nil, err
		}
	}
	m.Skip(snapshot.Index)
	return m, nil
}
