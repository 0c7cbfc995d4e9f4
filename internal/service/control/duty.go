package control

import (
	"time"

	"briaryard/internal/decide/consensus"
	"briaryard/internal/event"
	"briaryard/internal/model"
	"briaryard/internal/port"
)

// handle takes a message and those that already wait behind it, then carries out the output.
// The time is read after each message has arrived: by an older time, a leader that was stopped in
// between would answer requests that arrived after the end of its lease.
func (s *Service) handle(now time.Time, m message) {
	s.take(now, m)
	for range turn - 1 {
		next, ok := s.ring.TryGet()
		if !ok {
			break
		}
		s.take(s.set.Now(), next)
	}
	s.pump(s.set.Now())
}

func (s *Service) onTick(now time.Time) {
	s.node.Tick(now)
	if s.settled() {
		for _, c := range s.sessions.Tick(now, s.machine) {
			s.propose(now, c, nil)
		}
	}
	s.expireAwaits(now)
	s.reopen(now)
	s.pump(now)
}

func (s *Service) take(now time.Time, m message) {
	switch m := m.(type) {
	case stopLeading:
		s.stopping = append(s.stopping, m)
		s.node.Transfer(now)
	case port.PeerMessage:
		switch body := m.Body.(type) {
		case consensus.Message:
			s.node.Step(now, body)
		case port.CommandRequest:
			s.command(now, m.From, body)
		case port.Heartbeat:
			s.heartbeat(now, m.From, body)
		}
	}
}

// settled reports whether this voter leads and its state is that of the log.
func (s *Service) settled() bool {
	st := s.node.Status()
	return st.Role == consensus.Leader && st.Settled && s.installing == nil
}

// pump carries out the node's output.
func (s *Service) pump(now time.Time) {
	s.takeReport(now)
	s.compact(now)
	s.continueVoterChange(now)
	out := s.node.Output()
	s.toSync(out.Batch)
	for _, m := range out.Messages {
		// A message that cannot be sent counts as lost; the node repeats what matters.
		_ = s.peers.Send(m.To.Instance, port.ControlName, m)
	}
	if out.Install != nil {
		s.install(out.Install)
	}
	s.applyAll(out.Committed)
	s.answerReads(now, out.Reads)
	s.noteRole(now)
	s.publish()
	if s.node.Status().Stale && !s.emptying {
		s.emptying = true
		s.log.Emit(event.ControlStale, s.node.Status().Self.Folder)
		_ = s.syncs.Offer(job{empty: true})
	}
}

func (s *Service) takeReport(now time.Time) {
	r, ok := s.reports.TryGet()
	switch {
	case !ok:
	case r.err != nil:
		s.fail(r.err)
	case r.fresh != nil:
		s.rejoin(now, r)
	case r.reopened != nil:
		s.resume(now, r)
	default:
		s.node.Synced(now, r.seq)
		for len(s.ahead) > 0 && s.ahead[0] <= r.seq {
			s.ahead = s.ahead[1:]
		}
	}
}

// rejoin starts again with the emptied folder.
func (s *Service) rejoin(now time.Time, r report) {
	s.requests.refuseAll(s)
	s.machine, _ = s.decodeSnapshot(consensus.Snapshot{})
	s.begin(now, *r.fresh, consensus.Stored{})
}

// toSync gives records to the sync duty. While that is busy they collect here, so that many
// entries share one sync. A received snapshot, and what follows from it, also waits here until its
// file is durable.
func (s *Service) toSync(b *consensus.Batch) {
	switch {
	case s.failure.Load() != nil:
		// Records of a failed log must not follow those of the folder that is opened again.
		return
	case b == nil:
	case s.unsent == nil:
		s.unsent = b
	default:
		s.unsent.Merge(b)
	}
	if s.unsent != nil && s.isStored(s.unsent.Snapshot) && len(s.ahead) < batchesAhead && s.syncs.Offer(job{batch: s.unsent}) == nil {
		s.ahead = append(s.ahead, s.unsent.Seq)
		s.unsent = nil
	}
}

// isStored reports whether a batch may refer to a snapshot. Files are written in the order of their
// indexes, and a received snapshot is newer than every own one.
func (s *Service) isStored(snapshot *consensus.Snapshot) bool {
	return snapshot == nil || len(snapshot.Data) == 0 || snapshot.Index <= s.storedFile
}

// applyAll applies committed entries, or keeps them until a snapshot is installed.
func (s *Service) applyAll(entries []consensus.Entry) {
	if s.installing != nil {
		s.backlog = append(s.backlog, entries...)
		return
	}
	for _, e := range entries {
		s.apply(e)
	}
}

// answerReads answers reads, or keeps them until a snapshot is installed.
func (s *Service) answerReads(now time.Time, reads []consensus.Read) {
	s.waiting = append(s.waiting, reads...)
	if s.installing != nil {
		return
	}
	for _, r := range s.waiting {
		s.answerRead(now, r)
	}
	s.waiting = nil
}

// apply applies a committed entry and answers who asked for it.
func (s *Service) apply(e consensus.Entry) {
	s.logged++
	s.logBytes += len(e.Data)
	if e.Kind == consensus.EntryMembers {
		s.machine.Skip(e.Index)
		s.noteMembers(e)
		return
	}
	c, err := s.codecs.DecodeCommand(e.Data)
	if err != nil {
		s.log.Emit(event.ControlEntryUnreadable, e.Index, err)
		s.machine.Skip(e.Index)
		s.requests.unreadable(s, e)
		return
	}
	result := s.machine.Apply(e.Index, time.Unix(0, e.At), c)
	s.requests.committed(s, e, result)
	s.wakeAwaits(c)
}

// noteRole acts on the beginning and the end of leadership.
func (s *Service) noteRole(now time.Time) {
	st := s.node.Status()
	if st.Role == consensus.Leader {
		if s.led != st.Term {
			s.requests.refuseAll(s)
			s.led, s.followed = st.Term, consensus.Member{}
			s.sessions.Begin(now)
			s.log.Emit(event.ControlLeads, st.Term, st.Last)
		}
		return
	}
	for _, r := range s.stopping {
		close(r.done)
	}
	s.stopping = nil
	if s.led != 0 {
		s.led = 0
		s.requests.refuseAll(s)
	}
	if st.Leader != s.followed {
		s.followed = st.Leader
		s.log.Emit(event.ControlFollows, st.Term, st.Leader.Instance)
	}
}

func (s *Service) noteMembers(e consensus.Entry) {
	var voters, learners []model.InstanceID
	for _, r := range e.Members.Members {
		if r.Learner {
			learners = append(learners, r.Instance)
		} else {
			voters = append(voters, r.Instance)
		}
	}
	s.log.Emit(event.ControlMembers, e.Index, voters, learners)
}
