package schedule

import (
	"cmp"
	"slices"
	"time"

	"briaryard/internal/decide/admission"
	"briaryard/internal/decide/allotment"
	"briaryard/internal/decide/appointment"
	"briaryard/internal/decide/hedge"
	"briaryard/internal/decide/rollout"
	"briaryard/internal/model"
)

const (
	// defaultTokensPerEvent is the number of output tokens in one event if the configuration does not
	// set it.
	defaultTokensPerEvent = 4
	// lookAhead is the number of waiting requests of a rank that are tried for one grant: the first
	// ones may not fit the only free server.
	lookAhead = 8
	// queueMargin is the ratio of the expected wait to a request's remaining time above which the
	// request is denied on arrival, or when it becomes late. Estimates of lengths are off by a factor
	// of two.
	queueMargin = 1.2
	// maxQueueShare is the share of its total time for which a request waits at most. Callers honour a
	// Retry-After of up to a third of the time that they have left, and then have four ninths of the
	// total for the second try.
	maxQueueShare = 1.0 / 3
	// MinRetryAfter keeps denied callers from retrying at once.
	MinRetryAfter = 200 * time.Millisecond
	// noServerWait is how long a service may be without a usable server before its requests are denied.
	noServerWait = 700 * time.Millisecond
	// maxWaiting limits the waiting requests of all services together.
	maxWaiting = 20_000
)

// Options are fixed for the life of a Scheduler.
type Options struct {
	Tolerance allotment.Tolerance
	// Share is the share of the servers' slots and of the allotments that this scheduler uses: 1 for
	// the dispatcher of the fleet.
	Share float64
}

// Scheduler holds the queues, the servers and the granted requests of all services.
type Scheduler struct {
	options  Options
	limits   *allotment.Limits
	document *model.RouteConfig
	services map[model.PoolID]*service
	// waiting holds the queued requests of all services.
	waiting map[model.RequestID]*queuedRequest
	// granted maps granted requests to their servers.
	granted   map[model.RequestID]*server
	decisions []Decision
	// waitingPrints counts the waiting requests by fingerprint.
	waitingPrints map[uint64]int
	// book holds the times at which refused callers have been told to return.
	book      *appointment.Book
	partition partition
	// returns holds the requests that were refused for lack of slots.
	returns admission.Returns
	// joinedShare is the share of the limits of the fleet that is not left to instances which may decide
	// alone.
	joinedShare float64
	// times holds the learned times of requests that may be hedged, or is nil before the first one.
	times *hedge.Learner
	// samples is the evidence about roll-outs that has not been taken.
	samples []rollout.Sample
}

// service holds the queue and the servers of one service.
type service struct {
	id     model.PoolID
	engine *model.EngineLimits
	byID   map[model.BackendServerID]*server
	// servers is sorted by id. The search for a server starts at nextServer, so that equal servers
	// take turns.
	servers    []*server
	nextServer int
	ranks      []*rank
	// tally counts the arrivals and grants of all ranks.
	tally tally
	// running counts the granted requests.
	running int
	// noServerSince is when the service was first seen without a usable server, or zero.
	noServerSince time.Time
	// rollout is the last roll-out of the service, or nil.
	rollout *serviceRollout
	// partitioned is set if this scheduler uses only the slots of its partition.
	partitioned bool
	// meanTime is the mean time of a granted request, or zero.
	meanTime time.Duration
	// answerTimes holds the times of plain answers, and firstEventRatios the ratios of the times to the first
	// event to the shortest expected ones, in which ratioUnit stands for 1.
	answerTimes, firstEventRatios distribution
	// stats caches the aggregate of the servers, computed at statsTime.
	stats     serviceStats
	statsTime time.Time
	// outlook holds what each rank leaves for more urgent ones, computed at outlookTime.
	outlook     admission.Outlook
	outlookTime time.Time
	// suspectsChecked is when the servers were last checked for overdue calls.
	suspectsChecked time.Time
	// peers holds the recent calls of requests that may be hedged, or is nil before the first one.
	peers *hedge.Peers
}

// New returns an empty scheduler.
func New(o Options) *Scheduler {
	return &Scheduler{
		options: o, limits: allotment.New(o.Tolerance, o.Share),
		services: make(map[model.PoolID]*service), waiting: make(map[model.RequestID]*queuedRequest),
		granted: make(map[model.RequestID]*server), joinedShare: 1, book: appointment.New(), waitingPrints: make(map[uint64]int),
	}
}

// Take returns the decisions since the last call.
func (s *Scheduler) Take() []Decision {
	out := s.decisions
	s.decisions = nil
	return out
}

// Waiting returns the number of waiting requests.
func (s *Scheduler) Waiting() int { return len(s.waiting) }

// SetShare sets the share of the fleet's slots and allotments that this scheduler uses, without a
// partition.
func (s *Scheduler) SetShare(now time.Time, share float64) {
	s.options.Share = share
	s.partition = partition{}
	s.limits.SetShare(now, share)
	s.assignSlots()
}

// SetPartition restricts this scheduler to one of several equal partitions of the fleet. Schedulers
// that decide alone with the same records then never choose the same slot.
func (s *Scheduler) SetPartition(now time.Time, index, of int) {
	s.options.Share = 1 / float64(max(of, 1))
	s.partition = partition{index, of}
	s.limits.SetShare(now, s.options.Share)
	s.assignSlots()
}

// SetDocument applies a configuration.
func (s *Scheduler) SetDocument(now time.Time, d *model.RouteConfig) {
	s.document = d
	s.limits.SetTeams(now, d.Teams)
	for id := range d.Services {
		v := s.service(id)
		v.engine = d.Services[id].Engine
		for _, b := range v.servers {
			b.engine = v.engine
		}
	}
	s.assignSlots()
	s.decideAll(now)
}

// service returns the state of a service, which it creates if needed.
func (s *Scheduler) service(id model.PoolID) *service {
	v := s.services[id]
	if v == nil {
		v = &service{id: id, byID: make(map[model.BackendServerID]*server)}
		if s.document != nil {
			v.engine = s.document.Services[id].Engine
		}
		s.services[id] = v
	}
	return v
}

// SetServers sets the records of all known backend servers. Those that are missing are gone.
func (s *Scheduler) SetServers(now time.Time, records []model.BackendServer) {
	known := make(map[model.BackendServerID]bool, len(records))
	for i := range records {
		known[records[i].ID] = true
		s.setServer(&records[i])
	}
	for _, v := range s.services {
		for _, b := range slices.Clone(v.servers) {
			if !known[b.record.ID] {
				b.record.State = model.Gone
				s.setServer(&b.record)
			}
		}
	}
	s.assignSlots()
	s.decideAll(now)
}

// SetServer updates the record of one backend server.
func (s *Scheduler) SetServer(now time.Time, record model.BackendServer) {
	s.setServer(&record)
	s.assignSlots()
	for _, id := range record.Pools {
		s.decide(now, s.service(id))
	}
}

// setServer updates a server in each of its services and removes it once it is gone and runs nothing.
func (s *Scheduler) setServer(record *model.BackendServer) {
	for _, id := range record.Pools {
		v := s.service(id)
		b := v.byID[record.ID]
		switch {
		case b == nil && record.State == model.Gone, b != nil && b.knows(record):
			continue
		case b == nil:
			b = v.addServer(record.ID)
		case record.Incarnation > b.record.Incarnation:
			// The server has restarted: the state of its path and its failures no longer apply.
			b.absent, b.failureShare, b.pause, b.pausedUntil = false, 0, 0, time.Time{}
		case record.Sequence > b.absentSequence:
			b.absent = false
		}
		b.record = *record
		v.statsTime = time.Time{}
		if record.State == model.Gone && len(b.granted) == 0 {
			v.removeServer(b)
		}
	}
}

// addServer adds a server with the mean speed of the others. It is not usable until it has a record.
func (v *service) addServer(id model.BackendServerID) *server {
	b := &server{
		record: model.BackendServer{ID: id, State: model.Gone}, engine: v.engine, granted: make(map[model.RequestID]*grantedWork),
		prefill: v.mean(func(b *server) time.Duration { return b.prefill }, defaultPrefill),
		decode:  v.mean(func(b *server) time.Duration { return b.decode }, defaultDecode),
		plain:   v.mean(func(b *server) time.Duration { return b.plain }, defaultPlain),
	}
	v.byID[id] = b
	at, _ := slices.BinarySearchFunc(v.servers, id, func(b *server, id model.BackendServerID) int { return cmp.Compare(b.record.ID, id) })
	v.servers = slices.Insert(v.servers, at, b)
	return b
}

// removeServer removes a server without granted requests.
func (v *service) removeServer(b *server) {
	delete(v.byID, b.record.ID)
	v.servers = slices.DeleteFunc(v.servers, func(o *server) bool { return o == b })
}

// Submit queues a request, or denies it at once. A request that already waits or is granted is
// ignored.
func (s *Scheduler) Submit(now time.Time, w Request) {
	if s.waiting[w.ID] != nil || s.granted[w.ID] != nil {
		return
	}
	if w.Hedge {
		s.decideHedge(now, &w)
		return
	}
	if w.StartTarget.After(w.StartDeadline) {
		w.StartTarget = w.StartDeadline
	}
	v := s.service(w.Service)
	if !w.Admitted {
		if wait, ok := s.limits.Take(now, w.Team, w.tokens()); !ok {
			s.deny(now, v, &w, DeniedAllotment, wait)
			return
		}
		w.Admitted = true
	}
	r := v.rank(w.Rank)
	q := &queuedRequest{Request: w, work: v.estimateWork(now, &w), firstEvent: v.estimateFirstEvent(now, &w), likelyFirst: v.likelyFirstEvent(now, &w)}
	q.StartDeadline = waitDeadline(&w)
	// A caller without a first event gives up at that time, even after a grant, so the time to the
	// first event is set aside.
	q.StartDeadline = q.StartDeadline.Add(-min(q.firstEvent, q.StartDeadline.Sub(now)/2))
	q.late = !now.Add(q.firstEvent).Before(q.StartTarget)
	q.events, q.likely = v.estimateEvents(&w)
	q.sizeClass, q.promptClass = r.sizeClasses.recordArrival(q.work), r.promptClasses.recordArrival(promptSize(&w))
	s.recordDemand(now, r, &w, q.work)
	v.recordArrival(r)
	r.meanWork += time.Duration(meanWorkWeight * float64(q.work-r.meanWork))
	if v.engine != nil {
		// The requests to plain services have no sizes that are known before.
		q.sizePenalty = r.sizePenalty(q)
	}
	status := s.keepAppointment(now, q)
	q.setTimes()
	s.expire(now, v)
	if until := v.heldUntil(now, q); until.After(q.StartDeadline) {
		s.refund(now, &w)
		s.deny(now, v, &w, DeniedHeld, until.Sub(now))
		return
	}
	if s.refusedAtArrival(now, v, q, status) {
		s.denyForTime(now, v, q, DeniedQueue)
		return
	}
	if s.startsLate(now, v, q) && s.refuseLate(now, v, q) {
		return
	}
	s.startWaiting(q)
	r.add(q)
	r.arrivals.add(now, q.work.Seconds())
	s.decide(now, v)
}

// Withdraw removes a waiting request and refunds its team.
func (s *Scheduler) Withdraw(now time.Time, id model.RequestID) {
	q := s.waiting[id]
	if q == nil {
		return
	}
	s.dequeue(q)
	s.refund(now, &q.Request)
}

// dequeue removes a waiting request without a decision.
func (s *Scheduler) dequeue(q *queuedRequest) {
	s.stopWaiting(q)
	s.service(q.Service).rank(q.Rank).remove(q)
}

// refund returns the tokens of a request to the allotment of its team.
func (s *Scheduler) refund(now time.Time, w *Request) { s.limits.Refund(now, w.Team, w.tokens()) }

// deny records the denial of a request that is not queued.
func (s *Scheduler) deny(now time.Time, v *service, w *Request, reason Reason, wait time.Duration) {
	waiting := 0
	for _, r := range v.ranks {
		waiting += r.len()
	}
	in := Inputs{Waited: now.Sub(w.Arrived), Waiting: waiting, Running: v.running, Limited: v.limitedServers(now)}
	if reason == DeniedAllotment {
		in.Level, in.Rate = s.limits.Level(w.Team)
	}
	s.decisions = append(s.decisions, Decision{ID: w.ID, Denied: true, Reason: reason, RetryAfter: max(wait, MinRetryAfter), Inputs: in})
}

// Report applies the progress or the result of a granted request. Any outcome but Began releases the
// slot.
func (s *Scheduler) Report(now time.Time, r Report) {
	b := s.granted[r.ID]
	if b == nil || b.record.ID != r.Server {
		return
	}
	w := b.granted[r.ID]
	s.learnHedgeTime(now, w, &r)
	s.sample(now, b, w, &r)
	if r.Outcome == Began {
		s.service(w.Service).recordFirstEventRatio(w, r.First)
		b.recordFirstEvent(now, w, r.First)
		s.service(w.Service).estimateDecode(b)
		s.decide(now, s.service(w.Service))
		return
	}
	started := w.Started
	switch r.Outcome {
	case Finished:
		s.service(w.Service).recordTime(now.Sub(w.grantedAt))
		s.service(w.Service).answerTimes.add(r.First + r.Rest)
		b.recordFirstEvent(now, w, r.First)
		b.recordFinished(now, r)
	case Failed:
		b.recordFailure(now, started)
	case Full:
		b.pausedUntil = now.Add(fullPause)
	case Absent:
		b.absent, b.absentSequence = true, b.record.Sequence
	case Unused:
		b.limit.giveBack()
	case Began, Cancelled:
	}
	if r.Refund {
		s.limits.Refund(now, w.Team, w.Prompt+w.Output)
	}
	s.service(w.Service).outlook.RemoveRunning(b.remaining(now, w))
	s.release(b, w)
	s.decide(now, s.service(w.Service))
}

// release removes a granted request and frees its slot.
func (s *Scheduler) release(b *server, w *grantedWork) {
	b.removeWork(w.ID)
	delete(s.granted, w.ID)
	v := s.service(w.Service)
	v.running--
	v.rank(w.Rank).running--
	if b.record.State == model.Gone && len(b.granted) == 0 {
		v.removeServer(b)
	}
}

// SetAllotmentShare sets the share of the allotments and of the limits of servers that this scheduler hands out.
func (s *Scheduler) SetAllotmentShare(now time.Time, share float64) {
	s.limits.SetShare(now, share)
	if share == s.joinedShare {
		return
	}
	s.joinedShare = share
	for _, v := range s.services {
		s.updateLimitShares(v)
	}
}

// ResetAllotments resets the levels of the allotments when this scheduler takes over from another
// one.
func (s *Scheduler) ResetAllotments(now time.Time) { s.limits.ResetLevels(now) }

// Tick expires requests and makes the decisions that have become due.
func (s *Scheduler) Tick(now time.Time) { s.decideAll(now) }

// decideAll makes the decisions of all services.
func (s *Scheduler) decideAll(now time.Time) {
	for _, v := range s.services {
		s.decide(now, v)
	}
}
