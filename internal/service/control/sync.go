package control

import (
	"context"
	"time"

	"briaryard/internal/decide/consensus"
	"briaryard/internal/kernel"
	"briaryard/internal/wire/consensuswire"
)

// syncJob is a job for the sync duty: to write a batch, to wipe the folder, or to open it again
// after a failure.
type syncJob struct {
	batch  *consensus.Batch
	wipe   bool
	reopen bool
}

// syncReport tells the control duty the result of a job. seq is the last batch that is durable.
type syncReport struct {
	seq uint64
	err error
	// wiped is the folder's new identity after it was wiped.
	wiped *consensuswire.Identity
	// reopened is the content of the folder after it was opened again.
	reopened *reopened
}

// runSync is the sync duty. It merges all queued batches and writes them with one sync.
func (s *Service) runSync(ctx context.Context, d *kernel.Duty) {
	var last syncReport
	loop := kernel.Loop[syncJob]{Ring: s.syncJobs, Handle: func(_ time.Time, j syncJob) {
		for j.batch != nil {
			next, ok := s.syncJobs.TryGet()
			if !ok {
				break
			}
			if next.wipe || next.reopen {
				j = next
				break
			}
			j.batch.Merge(next.batch)
		}
		last = s.perform(j, last)
		_ = s.syncReports.Offer(last)
		// When the control ring is full, the control duty finds the report after its next
		// message.
		_ = s.ring.Offer(wake{})
	}}
	loop.Run(ctx, d)
}

// perform runs one job. After a failure no batch is written until the folder is wiped or reopened.
func (s *Service) perform(j syncJob, last syncReport) syncReport {
	if j.wipe {
		if err := s.folder.wipe(); err != nil {
			return syncReport{err: err}
		}
		id := s.folder.identity
		return syncReport{wiped: &id}
	}
	if j.reopen {
		return s.reopenFolder()
	}
	if last.err != nil {
		return last
	}
	if err := s.folder.write(j.batch); err != nil {
		return syncReport{seq: last.seq, err: err}
	}
	return syncReport{seq: j.batch.Seq}
}
