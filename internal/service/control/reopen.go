package control

import (
	"time"

	"github.com/go-faster/errors"

	"briaryard/internal/decide/consensus"
	"briaryard/internal/event"
	"briaryard/internal/storage"
	"briaryard/internal/wire/consensuswire"
)

// reopened holds the content of a folder that was opened again after a failure.
type reopened struct {
	identity consensuswire.Identity
	stored   consensus.Stored
}

// openFolder opens the data folder. For an unattended voter a corrupt folder counts as a lost disk:
// it is cleared, and the voter joins the group with a new identity.
func (s *Service) openFolder() (*folder, error) {
	f, err := openFolder(s.settings.Files, s.settings.Folder, s.settings.Self)
	var corrupt *storage.CorruptError
	if s.settings.Unattended == nil || !errors.As(err, &corrupt) {
		return f, err
	}
	s.log.Emit(event.ControlFailed, err)
	if err := clearFolder(s.settings.Files, s.settings.Folder); err != nil {
		return nil, err
	}
	return openFolder(s.settings.Files, s.settings.Folder, s.settings.Self)
}

// requestReopen asks the sync duty to open the folder of a failed voter again once reopenAt is
// reached and no snapshot job is running.
func (s *Service) requestReopen(now time.Time) {
	if s.reopenAt.IsZero() || now.Before(s.reopenAt) || s.snapshotting {
		return
	}
	if s.syncJobs.Offer(syncJob{reopen: true}) == nil {
		s.reopenAt = time.Time{}
	}
}

// reopenFolder reads the folder again and writes a checkpoint. A failed sync may have left records
// in memory only; the checkpoint makes everything durable that the voter continues with.
func (s *Service) reopenFolder() syncReport {
	// Closing a failed log may return an error; the checkpoint below replaces its file.
	_ = s.folder.log.Close()
	f, err := openFolder(s.settings.Files, s.settings.Folder, s.settings.Self)
	if err != nil {
		return syncReport{err: err}
	}
	if err := f.checkpoint(); err != nil {
		_ = f.log.Close()
		return syncReport{err: err}
	}
	s.folder = f
	return syncReport{reopened: &reopened{identity: f.identity, stored: f.stored}}
}

// resume restarts the node from the reopened folder, as after a restart of the process.
func (s *Service) resume(now time.Time, r syncReport) {
	s.requests.refuseAll(s)
	machine, err := s.decodeSnapshot(r.reopened.stored.Snapshot)
	if err != nil {
		s.fail(err)
		return
	}
	s.machine = machine
	s.failure.Store(nil)
	s.startNode(now, r.reopened.identity, r.reopened.stored)
	s.log.Emit(event.ControlReopened, s.settings.Folder, s.node.Status().Last)
}
