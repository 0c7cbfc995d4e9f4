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

// snapshotJob is a job for the snapshot duty: a view to encode and store, or a received snapshot to
// store and decode.
type snapshotJob struct {
	// machine is the state machine of the view. It shows whether the voter's machine was replaced
	// meanwhile.
	machine  *state.Machine
	view     *state.View
	received *consensus.Snapshot
	began    time.Time
}

// snapshotReport is the progress of a job. The last report of a job has done set; it may replace an
// earlier one that has not been read.
type snapshotReport struct {
	snapshotJob
	done bool
	// data is the encoded view, whose file is durable.
	data []byte
	// decoded is the state of the received snapshot.
	decoded *state.Machine
	// storeErr is the error of writing the file, codecErr that of encoding or decoding the state.
	storeErr, codecErr error
}

// runSnapshot is the snapshot duty. Encoding, decoding and storing a state at its limits takes
// longer than a tick, so neither the control duty nor the sync duty may wait for it. Snapshot files
// are written here, and read and removed by the sync duty, which learns of a file only after it is
// durable.
func (s *Service) runSnapshot(ctx context.Context, d *kernel.Duty) {
	loop := kernel.Loop[snapshotJob]{Ring: s.snapshotJobs, Handle: func(_ time.Time, j snapshotJob) {
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
		r.storeErr = storage.WriteSnapshot(s.settings.Files, s.settings.Folder, j.view.Applied, r.data)
	}
	s.reportSnapshot(r)
}

// storeReceived stores a received snapshot and then decodes it. It reports the durable file before
// decoding, because the voter can acknowledge the snapshot from then on.
func (s *Service) storeReceived(j snapshotJob) {
	r := snapshotReport{snapshotJob: j}
	r.storeErr = storage.WriteSnapshot(s.settings.Files, s.settings.Folder, j.received.Index, j.received.Data)
	if r.storeErr == nil {
		s.reportSnapshot(r)
		r.decoded, r.codecErr = s.decodeSnapshot(*j.received)
	}
	r.done = true
	s.reportSnapshot(r)
}

// scheduleSnapshotJob acts on a report of the snapshot duty and gives it the next job: a received
// snapshot, or a view of the state once the log has grown to its limits. The snapshot duty has one
// job at a time; a received snapshot comes first, because it replaces the state.
func (s *Service) scheduleSnapshotJob(now time.Time) {
	s.takeSnapshotReport(now)
	switch {
	case s.snapshotting:
	case s.installing != nil:
		s.snapshotting = s.snapshotJobs.Offer(snapshotJob{received: s.installing, began: now}) == nil
	case s.loggedEntries >= compactEntries || s.loggedBytes >= s.settings.compactBytes():
		s.snapshotting = s.snapshotJobs.Offer(snapshotJob{machine: s.machine, view: s.machine.View(), began: now}) == nil
		if s.snapshotting {
			s.loggedEntries, s.loggedBytes = 0, 0
		}
	}
}

// takeSnapshotReport acts on a report of the snapshot duty. It ignores a job whose state was
// replaced meanwhile, or whose folder is being wiped.
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
	case s.wiping || !received && !own:
	case r.storeErr != nil:
		s.fail(r.storeErr)
	case own && r.codecErr != nil:
		s.log.Emit(event.ControlEntryUnreadable, r.view.Applied, r.codecErr)
	case own:
		s.storedSnapshot = r.view.Applied
		s.node.Compact(r.view.Applied, r.data)
		s.compactedIndex = r.view.Applied
		s.log.Emit(event.ControlSnapshot, r.view.Applied, len(r.data), now.Sub(r.began))
	default:
		s.storedSnapshot = r.received.Index
		if r.done {
			s.finishInstall(r)
		}
	}
}

// beginInstall begins to replace the state by a received snapshot. Until the snapshot duty has
// decoded it, committed entries and reads are queued in order of arrival.
func (s *Service) beginInstall(snapshot *consensus.Snapshot) {
	s.compactedIndex, s.loggedEntries, s.loggedBytes = snapshot.Index, 0, 0
	s.requests.refuseUpTo(s, snapshot.Index)
	s.installing, s.backlog = snapshot, nil
	if len(snapshot.Data) == 0 {
		// An empty state needs no file and no time to decode.
		m, err := s.decodeSnapshot(*snapshot)
		s.finishInstall(snapshotReport{decoded: m, codecErr: err})
	}
}

// finishInstall replaces the state machine by the decoded one and applies the backlog.
func (s *Service) finishInstall(r snapshotReport) {
	index, backlog := s.installing.Index, s.backlog
	s.installing, s.backlog = nil, nil
	if r.codecErr != nil {
		// The state is unknown from here on, so the voter must not continue.
		s.log.Emit(event.ControlEntryUnreadable, index, r.codecErr)
		s.fail(r.codecErr)
		return
	}
	s.machine = r.decoded
	for _, e := range backlog {
		s.apply(e)
	}
}

// fail halts the node and makes Health report the error. An unattended voter opens its folder again
// after reopenDelay.
func (s *Service) fail(err error) {
	f := &fault.VoterFailed{Err: err}
	if s.failure.CompareAndSwap(nil, f) {
		s.log.Emit(event.ControlFailed, err)
	}
	s.node.Fail()
	s.pendingBatch = nil
	if s.settings.Unattended != nil && s.reopenAt.IsZero() {
		s.reopenAt = s.settings.Now().Add(reopenDelay)
	}
}
