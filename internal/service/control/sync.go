package control

import (
	"context"
	"time"

	"briaryard/internal/decide/consensus"
	"briaryard/internal/kernel"
	"briaryard/internal/wire/consensuswire"
)

// job is work for the sync duty: a batch, or to empty the folder, or to open it again after a
// failure.
type job struct {
	batch  *consensus.Batch
	empty  bool
	reopen bool
}

// report tells the control duty how far the log is durable.
type report struct {
	seq uint64
	err error
	// fresh is set after the folder was emptied.
	fresh *consensuswire.Identity
	// reopened is what the folder holds after it was opened again.
	reopened *reopened
}

// runSync is the sync duty. It writes all batches that wait with one sync.
func (s *Service) runSync(ctx context.Context, d *kernel.Duty) {
	var last report
	loop := kernel.Loop[job]{Ring: s.syncs, Handle: func(_ time.Time, j job) {
		for j.batch != nil {
			next, ok := s.syncs.TryGet()
			if !ok {
				break
			}
			if next.empty || next.reopen {
				j = next
				break
			}
			j.batch.Merge(next.batch)
		}
		last = s.perform(j, last)
		_ = s.reports.Offer(last)
		// When the control ring is full, the control duty finds the report after its next
		// message.
		_ = s.ring.Offer(wake{})
	}}
	loop.Run(ctx, d)
}

// perform does one job. After a failure nothing more is written.
func (s *Service) perform(j job, last report) report {
	if j.empty {
		if err := s.folder.empty(); err != nil {
			return report{err: err}
		}
		id := s.folder.identity
		return report{fresh: &id}
	}
	if j.reopen {
		return s.openAgain()
	}
	if last.err != nil {
		return last
	}
	if err := s.folder.write(j.batch); err != nil {
		return report{seq: last.seq, err: err}
	}
	return report{seq: j.batch.Seq}
}
