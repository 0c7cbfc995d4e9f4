package control

import (
	"time"

	"briaryard/internal/decide/consensus"
	"briaryard/internal/event"
	"briaryard/internal/model"
	"briaryard/internal/port"
)

// handle handles a message and those queued behind it, then processes the node's output. The clock
// is read after each message has arrived: with an earlier time, a leader that was suspended in
// between would answer requests that arrived after its lease had expired.
func (s *Service) handle(now time.Time, m message) {
	s.handleMessage(now, m)
	for range maxMessagesPerTurn - 1 {
		next, ok := s.ring.TryGet()
		if !ok {
			break
		}
		s.handleMessage(s.settings.Now(), next)
	}
	s.processOutput(s.settings.Now())
}

func (s *Service) onTick(now time.Time) {
	s.node.Tick(now)
	if s.settled() {
		for _, c := range s.sessions.Tick(now, s.machine) {
			s.propose(now, c, nil)
		}
	}
	s.expireAwaits(now)
	s.requestReopen(now)
	s.reportShortage(now)
	s.processOutput(now)
}

// reportShortage reports, at the leader of an unattended group, that there are too few voters.
func (s *Service) reportShortage(now time.Time) {
	if s.settings.Unattended == nil || !s.settled() {
		s.shortage = consensus.Shortage{}
		return
	}
	members := s.node.Status().Members
	voters, needed := len(members.Voters()), s.settings.Unattended.Voters
	if s.shortage.Observe(now, voters, needed) {
		s.log.Emit(event.ControlTooFewVoters, voters, needed, len(members.Members)-voters)
	}
}

func (s *Service) handleMessage(now time.Time, m message) {
	switch m := m.(type) {
	case stopLeading:
		s.stopRequests = append(s.stopRequests, m)
		s.node.Transfer(now)
	case membersKnown:
		s.node.SetContacts(m.instances)
	case port.PeerMessage:
		switch body := m.Body.(type) {
		case consensus.Message:
			s.node.Step(now, body)
		case port.CommandRequest:
			s.handleCommand(now, m.From, body)
		case port.Heartbeat:
			s.handleHeartbeat(now, m.From, body)
		}
	}
}

// settled reports whether this voter is a leader that has committed an entry of its term and is not
// installing a snapshot, so that its state follows the log.
func (s *Service) settled() bool {
	st := s.node.Status()
	return st.Role == consensus.Leader && st.CommittedInTerm && s.installing == nil
}

// processOutput acts on the reports of the other duties and then processes the node's output: it
// submits records, sends messages, installs a snapshot, applies entries and answers reads.
func (s *Service) processOutput(now time.Time) {
	s.takeSyncReport(now)
	s.scheduleSnapshotJob(now)
	s.advanceVoterChange(now)
	out := s.node.Output()
	s.submitBatch(out.Batch)
	for _, m := range out.Messages {
		// A message that cannot be sent counts as lost; the node resends those that are needed.
		_ = s.peers.Send(m.To.Instance, port.ControlName, m)
	}
	if out.Install != nil {
		s.beginInstall(out.Install)
	}
	s.applyAll(out.Committed)
	s.answerReads(now, out.Reads)
	s.updateRole(now)
	s.publishStatus()
	s.publishRollouts()
	if s.node.Status().Stale && !s.wiping {
		s.wiping = true
		s.log.Emit(event.ControlStale, s.node.Status().Self.Folder)
		_ = s.syncJobs.Offer(syncJob{wipe: true})
	}
}

// takeSyncReport acts on the latest report of the sync duty, if there is a new one.
func (s *Service) takeSyncReport(now time.Time) {
	r, ok := s.syncReports.TryGet()
	switch {
	case !ok:
	case r.err != nil:
		s.fail(r.err)
	case r.wiped != nil:
		s.rejoin(now, r)
	case r.reopened != nil:
		s.resume(now, r)
	default:
		s.node.Synced(now, r.seq)
		for len(s.inFlight) > 0 && s.inFlight[0] <= r.seq {
			s.inFlight = s.inFlight[1:]
		}
	}
}

// rejoin restarts the node with the wiped folder.
func (s *Service) rejoin(now time.Time, r syncReport) {
	s.requests.refuseAll(s)
	s.machine, _ = s.decodeSnapshot(consensus.Snapshot{})
	s.startNode(now, *r.wiped, consensus.PersistentState{})
}

// submitBatch passes records to the sync duty. While that is busy they collect in pendingBatch, so
// that many entries share one sync. A received snapshot and the records after it also wait there
// until the snapshot file is durable.
func (s *Service) submitBatch(b *consensus.Batch) {
	switch {
	case s.failure.Load() != nil:
		// Records from before a failure must not be appended to the log of the reopened folder.
		return
	case b == nil:
	case s.pendingBatch == nil:
		s.pendingBatch = b
	default:
		s.pendingBatch.Merge(b)
	}
	if s.pendingBatch != nil && s.isStored(s.pendingBatch.Snapshot) && len(s.inFlight) < maxBatchesInFlight && s.syncJobs.Offer(syncJob{batch: s.pendingBatch}) == nil {
		s.inFlight = append(s.inFlight, s.pendingBatch.Seq)
		s.pendingBatch = nil
	}
}

// isStored reports whether a batch may refer to a snapshot, because its file is durable or it needs
// none. Snapshot files are written in index order, and a received snapshot is newer than every
// snapshot that this voter has made itself.
func (s *Service) isStored(snapshot *consensus.Snapshot) bool {
	return snapshot == nil || len(snapshot.Data) == 0 || snapshot.Index <= s.storedSnapshot
}

// applyAll applies committed entries, or adds them to the backlog while a snapshot is being
// installed.
func (s *Service) applyAll(entries []consensus.Entry) {
	if s.installing != nil {
		s.backlog = append(s.backlog, entries...)
		return
	}
	for _, e := range entries {
		s.apply(e)
	}
}

// answerReads answers reads, or queues them while a snapshot is being installed.
func (s *Service) answerReads(now time.Time, reads []consensus.Read) {
	s.waitingReads = append(s.waitingReads, reads...)
	if s.installing != nil {
		return
	}
	for _, r := range s.waitingReads {
		s.answerRead(now, r)
	}
	s.waitingReads = nil
}

// apply applies a committed entry and answers its requester. An entry that cannot be decoded is
// skipped.
func (s *Service) apply(e consensus.Entry) {
	s.loggedEntries++
	s.loggedBytes += len(e.Data)
	if e.Kind == consensus.EntryMembers {
		s.machine.Skip(e.Index)
		s.logMembers(e)
		return
	}
	c, err := s.codecs.DecodeCommand(e.Data)
	if err != nil {
		s.log.Emit(event.ControlEntryUnreadable, e.Index, err)
		s.machine.Skip(e.Index)
		s.requests.answerUnreadable(s, e)
		return
	}
	result := s.machine.Apply(e.Index, time.Unix(0, e.At), c)
	s.requests.answerCommitted(s, e, result)
	s.wakeAwaits(c)
}

// updateRole acts on the beginning and the end of this voter's leadership and logs changes of the
// leader.
func (s *Service) updateRole(now time.Time) {
	st := s.node.Status()
	if st.Role == consensus.Leader {
		if s.ledTerm != st.Term {
			s.requests.refuseAll(s)
			s.ledTerm, s.knownLeader = st.Term, consensus.Member{}
			s.sessions.Begin(now)
			s.log.Emit(event.ControlLeads, st.Term, st.Last)
		}
		return
	}
	for _, r := range s.stopRequests {
		close(r.done)
	}
	s.stopRequests = nil
	if s.ledTerm != 0 {
		s.ledTerm = 0
		s.requests.refuseAll(s)
	}
	if st.Leader != s.knownLeader {
		s.knownLeader = st.Leader
		s.log.Emit(event.ControlFollows, st.Term, st.Leader.Instance)
	}
}

func (s *Service) logMembers(e consensus.Entry) {
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
