package control

import (
	"context"
	"time"

	"briaryard/internal/decide/consensus"
	"briaryard/internal/decide/state"
	"briaryard/internal/event"
	"briaryard/internal/fault"
	"briaryard/internal/kernel"
	"briaryard/internal/storage"
)

// snapshotJob is work of the snapshot duty: a view to encode and store, or a received snapshot to
// store and decode.
type snapshotJob struct {
	// machine is the state that the view is of. It tells whether it still is the voter's.
	machine  *state.Machine
	view     *state.View
	received *consensus.Snapshot
	began    time.Time
}

// snapshotReport is the progress of a job. The last report of a job has done set; an earlier one
// may be replaced by it.
type snapshotReport struct {
	snapshotJob
	done bool
	// data is the encoded view. Its file is durable.
	data []byte
	// decoded is the state of the received snapshot.
	decoded *state.Machine
	// storeErr is a failed write, codecErr a state that cannot be encoded or decoded.
	storeErr, codecErr error
}

// runSnapshot is the snapshot duty. Encoding, decoding and storing a state at its limits takes
// longer than a tick, so that neither the control duty nor the sync duty may wait for it. The
// files of snapshots are written here and read and removed by the sync duty, which learns of a
// file only after it is durable.
func (s *Service) runSnapshot(ctx context.Context, d *kernel.Duty) {
	loop := kernel.Loop[snapshotJob]{Ring: s.snapshots, Handle: func(_ time.Time, j snapshotJob) {
		if j.received != nil {
			s.storeReceived(j)
		} else {
			s.storeView(j)
		}
	}}
	loop.Run(ctx, d)
}

func (s *Service) reportSnapshot(r snapshotReport) {
	_ = s.snapshotReports.Offer(r)
	// When the control ring is full, the control duty finds the report after its next message.
	_ = s.ring.Offer(wake{})
}

func (s *Service) storeView(j snapshotJob) {
	r := snapshotReport{snapshotJob: j, done: true}
	if r.data, r.codecErr = s.codecs.EncodeSnapshot(j.view); r.codecErr == nil {
		r.storeErr = storage.WriteSnapshot(s.set.Files, s.set.Folder, j.view.Applied, r.data)
	}
	s.reportSnapshot(r)
}

// storeReceived reports the durable file before it decodes, since the voter can acknowledge the
// snapshot from then on.
func (s *Service) storeReceived(j snapshotJob) {
	r := snapshotReport{snapshotJob: j}
	r.storeErr = storage.WriteSnapshot(s.set.Files, s.set.Folder, j.received.Index, j.received.Data)
	if r.storeErr == nil {
		s.reportSnapshot(r)
		r.decoded, r.codecErr = s.decodeSnapshot(*j.received)
	}
	r.done = true
	s.reportSnapshot(r)
}

// compact has a snapshot made when the log has grown long. The snapshot duty has one job at a
// time, and a received snapshot goes before one of the own state, which it replaces.
func (s *Service) compact(now time.Time) {
	s.takeSnapshotReport(now)
	switch {
	case s.snapshotting:
	case s.installing != nil:
		s.snapshotting = s.snapshots.Offer(snapshotJob{received: s.installing, began: now}) == nil
	case s.logged >= compactEntries || s.logBytes >= s.set.compactBytes():
		s.snapshotting = s.snapshots.Offer(snapshotJob{machine: s.machine, view: s.machine.View(), began: now}) == nil
		if s.snapshotting {
			s.logged, s.logBytes = 0, 0
		}
	}
}

// takeSnapshotReport acts on the progress of the snapshot duty. A job whose state was replaced
// meanwhile, or whose folder is being emptied, no longer matters.
func (s *Service) takeSnapshotReport(now time.Time) {
	r, ok := s.snapshotReports.TryGet()
	if !ok {
		return
	}
	if r.done {
		s.snapshotting = false
	}
	received := r.received != nil && r.received == s.installing
	own := r.received == nil && r.machine == s.machine && s.installing == nil
	switch {
	case s.emptying || !received && !own:
	case r.storeErr != nil:
		s.fail(r.storeErr)
	case own && r.codecErr != nil:
		s.log.Emit(event.ControlEntryUnreadable, r.view.Applied, r.codecErr)
	case own:
		s.storedFile = r.view.Applied
		s.node.Compact(r.view.Applied, r.data)
		s.compacted = r.view.Applied
		s.log.Emit(event.ControlSnapshot, r.view.Applied, len(r.data), now.Sub(r.began))
	default:
		s.storedFile = r.received.Index
		if r.done {
			s.installed(r)
		}
	}
}

// install begins to replace the state by a received snapshot. Until the snapshot duty has decoded
// it, committed entries and reads wait in the order in which they came.
func (s *Service) install(snapshot *consensus.Snapshot) {
	s.compacted, s.logged, s.logBytes = snapshot.Index, 0, 0
	s.requests.skipTo(s, snapshot.Index)
	s.installing, s.backlog = snapshot, nil
	if len(snapshot.Data) == 0 {
		// It stands for an empty state, which needs neither a file nor time.
		m, err := s.decodeSnapshot(*snapshot)
		s.installed(snapshotReport{decoded: m, codecErr: err})
	}
}

// installed ends an installation and catches up.
func (s *Service) installed(r snapshotReport) {
	index, backlog := s.installing.Index, s.backlog
	s.installing, s.backlog = nil, nil
	if r.codecErr != nil {
		// The state is unknown from here on, so the voter must not go on.
		s.log.Emit(event.ControlEntryUnreadable, index, r.codecErr)
		s.fail(r.codecErr)
		return
	}
	s.machine = r.decoded
	for _, e := range backlog {
		s.apply(e)
	}
}

// fail ends the part that the voter takes in the group.
func (s *Service) fail(err error) {
	f := &fault.VoterFailed{Err: err}
	if s.failure.CompareAndSwap(nil, f) {
		s.log.Emit(event.ControlFailed, err)
	}
	s.node.Fail()
	s.unsent = nil
	if s.set.Unattended != nil && s.reopenAt.IsZero() {
		s.reopenAt = s.set.Now().Add(reopenAfter)
	}
}
