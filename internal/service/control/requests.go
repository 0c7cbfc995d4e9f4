package control

import (
	"maps"
	"slices"
	"time"

	"briaryard/internal/decide/consensus"
	"briaryard/internal/decide/state"
	"briaryard/internal/fault"
	"briaryard/internal/model"
	"briaryard/internal/port"
)

// request is a command whose requester waits for an answer.
type request struct {
	from model.InstanceID
	id   uint64
	// read is a command that is answered from the state, without a log entry. lookup and await are
	// set for an Await only.
	read       state.Command
	lookup     state.Lookup
	await      bool
	receivedAt time.Time
}

// proposal is a request whose command was added to the log in a term.
type proposal struct {
	request
	term uint64
}

// requests holds the commands that this leader has accepted and not answered.
type requests struct {
	// proposed holds commands by log index, reads by the tag of the read, and awaits by key. parked
	// counts the requests in awaits.
	proposed    map[uint64]proposal
	reads       map[uint64]request
	lastReadTag uint64
	awaits      map[model.KeyHash][]request
	parked      int
}

func newRequests() requests {
	return requests{
		proposed: make(map[uint64]proposal), reads: make(map[uint64]request), awaits: make(map[model.KeyHash][]request),
	}
}

// handleCommand starts to carry out a command, or answers NotLeader if this voter does not lead.
func (s *Service) handleCommand(now time.Time, from model.InstanceID, m port.CommandRequest) {
	r := request{from: from, id: m.ID, receivedAt: now}
	switch c := m.Command.(type) {
	case state.Lookup, state.ListChanges, state.ReadConfig, state.ReadRollout:
		r.read = c
		s.startRead(now, r)
	case state.Await:
		r.read, r.lookup, r.await = c, c.Lookup, true
		s.startRead(now, r)
	case state.ChangeVoters:
		s.changeVoters(now, r, c)
	default:
		s.propose(now, m.Command, &r)
	}
}

// propose adds a command to the log. r is nil for a command of the leader itself, which nobody waits
// for.
func (s *Service) propose(now time.Time, c state.Command, r *request) {
	data, err := s.codecs.EncodeCommand(c)
	if err != nil {
		if r != nil {
			s.reply(*r, state.Result{Err: &fault.ControlUnavailable{Operation: "encode"}})
		}
		return
	}
	index, term, ok := s.node.Propose(now, data)
	switch {
	case r == nil:
	case !ok:
		s.replyNotLeader(*r)
	default:
		s.requests.proposed[index] = proposal{request: *r, term: term}
	}
}

// startRead asks the node for a linearizable read. The node's output says when it may be served.
func (s *Service) startRead(now time.Time, r request) {
	s.requests.lastReadTag++
	tag := s.requests.lastReadTag
	if !s.node.Read(now, tag) {
		s.replyNotLeader(r)
		return
	}
	s.requests.reads[tag] = r
}

// answerRead serves a read, or parks it if it is an Await whose claim is held. The committed entries
// up to its index have been applied before.
func (s *Service) answerRead(now time.Time, read consensus.Read) {
	r, ok := s.requests.reads[read.Tag]
	delete(s.requests.reads, read.Tag)
	if !ok {
		return
	}
	if read.Refused {
		s.replyNotLeader(r)
		return
	}
	result, _ := s.machine.Read(r.read)
	waiting := r.await && result.Claim == state.ClaimHeld && now.Sub(r.receivedAt) < awaitTimeout
	if !waiting || s.requests.parked >= maxParkedAwaits {
		s.reply(r, result)
		return
	}
	s.requests.awaits[r.lookup.Key] = append(s.requests.awaits[r.lookup.Key], r)
	s.requests.parked++
}

// wakeAwaits answers the Awaits whose claim was ended by the applied command c.
func (s *Service) wakeAwaits(c state.Command) {
	switch c := c.(type) {
	case state.Finish:
		s.answerAwaits(c.Key)
	case state.Abandon:
		s.answerAwaits(c.Key)
	case state.Release:
		s.answerAwaits(c.Key)
	case state.OwnerDead:
		for _, key := range slices.Collect(maps.Keys(s.requests.awaits)) {
			s.answerAwaits(key)
		}
	}
}

// answerAwaits answers the Awaits of a key unless its claim is still held.
func (s *Service) answerAwaits(key model.KeyHash) {
	waiting := s.requests.awaits[key]
	if len(waiting) == 0 || s.machine.Lookup(waiting[0].lookup).Claim == state.ClaimHeld {
		return
	}
	delete(s.requests.awaits, key)
	s.requests.parked -= len(waiting)
	for _, r := range waiting {
		s.reply(r, s.machine.Lookup(r.lookup))
	}
}

// expireAwaits starts another read for each Await that has reached awaitTimeout, because this voter
// may no longer lead.
func (s *Service) expireAwaits(now time.Time) {
	for key, waiting := range s.requests.awaits {
		s.requests.awaits[key] = slices.DeleteFunc(waiting, func(r request) bool {
			if now.Sub(r.receivedAt) < awaitTimeout {
				return false
			}
			s.requests.parked--
			s.startRead(now, r)
			return true
		})
		if len(s.requests.awaits[key]) == 0 {
			delete(s.requests.awaits, key)
		}
	}
}

// handleHeartbeat answers an instance's heartbeat, with NotLeader unless this voter is a leader with
// a valid lease.
func (s *Service) handleHeartbeat(now time.Time, from model.InstanceID, h port.Heartbeat) {
	var voters, learners []model.InstanceID
	for _, r := range s.node.Status().Members.Members {
		if r.Learner {
			learners = append(learners, r.Instance)
		} else {
			voters = append(voters, r.Instance)
		}
	}
	if !s.settled() || !s.node.HoldsLease(now) {
		// The members are named here too: the sender may have no connection to the leader.
		s.send(from, port.HeartbeatReply{Seq: h.Seq, NotLeader: true, Leader: s.leaderHint(), Voters: voters, Learners: learners})
		return
	}
	if reply, ok := s.sessions.Heartbeat(now, h, s.machine, voters); ok {
		reply.Learners = learners
		s.send(from, reply)
	}
}

// leaderHint returns the leader that clients should ask instead of this voter, or "" if none is
// known.
func (s *Service) leaderHint() model.InstanceID {
	if l := s.node.Status().Leader.Instance; l != s.settings.Self {
		return l
	}
	return ""
}

func (s *Service) reply(r request, result state.Result) {
	s.send(r.from, port.CommandReply{ID: r.id, Result: result})
}

func (s *Service) replyNotLeader(r request) {
	s.send(r.from, port.CommandReply{ID: r.id, NotLeader: true, Leader: s.leaderHint()})
}

func (s *Service) send(to model.InstanceID, body any) {
	// An answer that cannot be sent counts as lost; the client resends its command.
	_ = s.peers.Send(to, port.ControlClientName, body)
}

// answerCommitted answers the command that was proposed at the index of an applied entry. If the
// entry has another term, another entry has replaced the command.
func (q *requests) answerCommitted(s *Service, e consensus.Entry, result state.Result) {
	p, ok := q.proposed[e.Index]
	if !ok {
		return
	}
	delete(q.proposed, e.Index)
	if p.term != e.Term {
		s.replyNotLeader(p.request)
		return
	}
	s.reply(p.request, result)
}

// answerUnreadable answers the command at a committed entry that cannot be decoded.
func (q *requests) answerUnreadable(s *Service, e consensus.Entry) {
	q.answerCommitted(s, e, state.Result{Index: e.Index, Err: &fault.ControlUnavailable{Operation: "decode"}})
}

// refuseUpTo answers NotLeader to the commands up to index. A snapshot replaces their entries, so
// their results are unknown.
func (q *requests) refuseUpTo(s *Service, index uint64) {
	for i, p := range q.proposed {
		if i <= index {
			delete(q.proposed, i)
			s.replyNotLeader(p.request)
		}
	}
}

// refuseAll answers every waiting command with NotLeader. Such a command may still be committed;
// resending it is safe, because commands are idempotent.
func (q *requests) refuseAll(s *Service) {
	for _, p := range q.proposed {
		s.replyNotLeader(p.request)
	}
	for _, r := range q.reads {
		s.replyNotLeader(r)
	}
	for _, waiting := range q.awaits {
		for _, r := range waiting {
			s.replyNotLeader(r)
		}
	}
	s.refuseVoterChange()
	next := q.lastReadTag
	*q = newRequests()
	q.lastReadTag = next
}
