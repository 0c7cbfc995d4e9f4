package control

import (
	"time"

	"github.com/go-faster/errors"

	"briaryard/internal/decide/consensus"
	"briaryard/internal/event"
	"briaryard/internal/storage"
	"briaryard/internal/wire/consensuswire"
)

// reopened is the content of a folder that was opened again after a failure.
type reopened struct {
	identity consensuswire.Identity
	stored   consensus.Stored
}

// openFolder opens the data folder. Without an operator, a damaged folder counts as a lost disk:
// it is emptied and joins the group as a new one.
func (s *Service) openFolder() (*folder, error) {
	f, err := openFolder(s.set.Files, s.set.Folder, s.set.Self)
	var corrupt *storage.CorruptError
	if s.set.Unattended == nil || !errors.As(err, &corrupt) {
		return f, err
	}
	s.log.Emit(event.ControlFailed, err)
	if err := clearFolder(s.set.Files, s.set.Folder); err != nil {
		return nil, err
	}
	return openFolder(s.set.Files, s.set.Folder, s.set.Self)
}

// reopen has the folder of a failed voter opened again when the pause has passed.
func (s *Service) reopen(now time.Time) {
	if s.reopenAt.IsZero() || now.Before(s.reopenAt) || s.snapshotting {
		return
	}
	if s.syncs.Offer(job{reopen: true}) == nil {
		s.reopenAt = time.Time{}
	}
}

// openAgain reads the folder anew. What a failed sync may have left in memory only is written
// once more, so that everything the voter goes on with is durable.
func (s *Service) openAgain() report {
	// A log that failed may refuse to be closed; its file is replaced below.
	_ = s.folder.log.Close()
	f, err := openFolder(s.set.Files, s.set.Folder, s.set.Self)
	if err != nil {
		return report{err: err}
	}
	if err := f.checkpoint(); err != nil {
		_ = f.log.Close()
		return report{err: err}
	}
	s.folder = f
	return report{reopened: &reopened{identity: f.identity, stored: f.stored}}
}

// resume goes on with the folder that was opened again, as after a restart.
func (s *Service) resume(now time.Time, r report) {
	s.requests.refuseAll(s)
	machine, err := s.decodeSnapshot(r.reopened.stored.Snapshot)
	if err != nil {
		s.fail(err)
		return
	}
	s.machine = machine
	s.failure.Store(nil)
	s.begin(now, r.reopened.identity, r.reopened.stored)
	s.log.Emit(event.ControlReopened, s.set.Folder, s.node.Status().Last)
}
