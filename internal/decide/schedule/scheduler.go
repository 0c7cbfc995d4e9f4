package schedule

import (
	"cmp"
	"slices"
	"time"

	"briaryard/internal/decide/allotment"
	"briaryard/internal/model"
)

const (
	// tokensPerEvent is the number of output tokens in one event where the configuration names none.
	tokensPerEvent = 4
	// lookAhead is the number of waiting requests of a group that one decision tries: a request may
	// not fit the one server that is free.
	lookAhead = 8
	// queueMargin is how far the expected wait must exceed a request's time before it is refused on
	// arrival, or when it has become late. Estimates of lengths are off by a factor of two.
	queueMargin = 1.2
	// holdShare is the part of its whole time for which a request waits at most. Callers honour a
	// Retry-After of up to a third of the time that they have left, and then have four ninths of it for
	// the second try.
	holdShare = 1.0 / 3
	// minRetryAfter keeps callers that are refused from coming back at once.
	minRetryAfter = 200 * time.Millisecond
	// noServerWait is how long a request waits for a backend server when there is none.
	noServerWait = 700 * time.Millisecond
	// maxWaiting bounds the requests that wait for one service.
	maxWaiting = 20_000
)

// Options are fixed for the life of a Scheduler.
type Options struct {
	Tolerance allotment.Tolerance
	// Share is the part of the servers' slots and of the allotments that this scheduler uses: 1 for
	// the dispatcher of the fleet.
	Share float64
}

// Scheduler holds the order of all services.
type Scheduler struct {
	options  Options
	limits   *allotment.Limits
	document *model.Document
	services map[model.PoolID]*service
	wants    map[model.RequestID]*waiting
	// works maps granted requests to their servers.
	works map[model.RequestID]*server
	out   []Decision
	part  part
}

// service is the order and the servers of one service.
type service struct {
	id      model.PoolID
	engine  *model.EngineLimits
	servers map[model.BackendServerID]*server
	// list holds the servers by id, and next is where the search for one begins, so that equal
	// servers take turns.
	list  []*server
	next  int
	ranks []*rank
	// running counts the granted requests.
	running int
	// lacking is when the service was first seen without a usable server, or zero.
	lacking time.Time
	// divided is set if this scheduler uses only the slots of its part.
	divided bool
	// figures sum up the servers, as of a time.
	figures figures
	asOf    time.Time
	// looked is when suspect servers were last looked for.
	looked time.Time
}

// New returns an empty scheduler.
func New(o Options) *Scheduler {
	return &Scheduler{
		options: o, limits: allotment.New(o.Tolerance, o.Share),
		services: make(map[model.PoolID]*service), wants: make(map[model.RequestID]*waiting),
		works: make(map[model.RequestID]*server),
	}
}

// Take returns the decisions since the last call.
func (s *Scheduler) Take() []Decision {
	out := s.out
	s.out = nil
	return out
}

// Waiting returns the number of requests that wait.
func (s *Scheduler) Waiting() int { return len(s.wants) }

// SetShare changes the part of the fleet that this scheduler uses.
func (s *Scheduler) SetShare(now time.Time, share float64) {
	s.options.Share = share
	s.part = part{}
	s.limits.SetShare(now, share)
	s.divide()
}

// SetPart makes this scheduler use one of equal parts of the fleet. Schedulers that decide alone and
// have the same records then never choose the same slot.
func (s *Scheduler) SetPart(now time.Time, index, of int) {
	s.options.Share = 1 / float64(max(of, 1))
	s.part = part{index, of}
	s.limits.SetShare(now, s.options.Share)
	s.divide()
}

// SetDocument takes a configuration.
func (s *Scheduler) SetDocument(now time.Time, d *model.Document) {
	s.document = d
	s.limits.SetTeams(now, d.Teams)
	for id := range d.Services {
		v := s.service(id)
		v.engine = d.Services[id].Engine
		for _, b := range v.list {
			b.engine = v.engine
		}
	}
	s.divide()
	s.decideAll(now)
}

func (s *Scheduler) service(id model.PoolID) *service {
	v := s.services[id]
	if v == nil {
		v = &service{id: id, servers: make(map[model.BackendServerID]*server)}
		if s.document != nil {
			v.engine = s.document.Services[id].Engine
		}
		s.services[id] = v
	}
	return v
}

// SetServers takes the records of the backend servers.
func (s *Scheduler) SetServers(now time.Time, records []model.BackendServer) {
	for i := range records {
		s.setServer(&records[i])
	}
	s.divide()
	s.decideAll(now)
}

// SetServer takes one record.
func (s *Scheduler) SetServer(now time.Time, record model.BackendServer) {
	s.setServer(&record)
	s.divide()
	for _, id := range record.Pools {
		s.decide(now, s.service(id))
	}
}

func (s *Scheduler) setServer(record *model.BackendServer) {
	for _, id := range record.Pools {
		v := s.service(id)
		b := v.servers[record.ID]
		switch {
		case b == nil && record.State == model.Gone:
			continue
		case b == nil:
			b = v.add(record.ID)
		case record.Incarnation > b.record.Incarnation:
			// Another run of the server: what was learned about its path and failures is void.
			b.missing, b.failures, b.pause, b.paused = false, 0, 0, time.Time{}
		case record.Sequence > b.absent:
			b.missing = false
		}
		b.record = *record
		v.asOf = time.Time{}
		if record.State == model.Gone && len(b.works) == 0 {
			v.drop(b)
		}
	}
}

func (v *service) add(id model.BackendServerID) *server {
	b := &server{
		record: model.BackendServer{ID: id, State: model.Gone}, engine: v.engine, works: make(map[model.RequestID]*work),
		prefill: v.mean(func(b *server) time.Duration { return b.prefill }, defaultPrefill),
		decode:  v.mean(func(b *server) time.Duration { return b.decode }, defaultDecode),
		plain:   v.mean(func(b *server) time.Duration { return b.plain }, defaultPlain),
	}
	v.servers[id] = b
	at, _ := slices.BinarySearchFunc(v.list, id, func(b *server, id model.BackendServerID) int { return cmp.Compare(b.record.ID, id) })
	v.list = slices.Insert(v.list, at, b)
	return b
}

func (v *service) drop(b *server) {
	delete(v.servers, b.record.ID)
	v.list = slices.DeleteFunc(v.list, func(o *server) bool { return o == b })
}

// Ask adds a request.
func (s *Scheduler) Ask(now time.Time, w Want) {
	if s.wants[w.ID] != nil || s.works[w.ID] != nil {
		return
	}
	if w.OnTime.After(w.Until) {
		w.OnTime = w.Until
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
	q := &waiting{Want: w, work: v.expect(now, &w), begin: v.begin(now, &w)}
	q.Until = holdUntil(&w)
	// A caller without a first event leaves at the end of its patience, also after a grant.
	q.Until = q.Until.Add(-min(q.begin, q.Until.Sub(now)/2))
	q.late = !now.Add(q.begin).Before(q.OnTime)
	q.events, q.likely = v.events(&w)
	r.sizes.arrived(q.work)
	q.behind = r.behind(q.work)
	q.place()
	s.age(now, v)
	if len(s.wants) >= maxWaiting || !s.mayBegin(now, v, q) {
		s.refund(now, &w)
		s.deny(now, v, &w, DeniedQueue, spread(w.ID, s.drained(now, v)))
		return
	}
	s.wants[w.ID] = q
	r.add(q)
	r.arrivals.add(now, q.work.Seconds())
	s.decide(now, v)
}

// spread varies a time by a quarter in both directions, so that callers who are refused together do
// not come back together.
func spread(id model.RequestID, d time.Duration) time.Duration {
	const steps = 64
	return d * time.Duration(3*steps/4+id.Seq*29%steps/2) / steps
}

func (v *service) rank(number int) *rank {
	at, found := slices.BinarySearchFunc(v.ranks, number, func(r *rank, n int) int { return cmp.Compare(r.number, n) })
	if !found {
		v.ranks = slices.Insert(v.ranks, at, newRank(number))
	}
	return v.ranks[at]
}

// Withdraw removes a waiting request.
func (s *Scheduler) Withdraw(now time.Time, id model.RequestID) {
	q := s.wants[id]
	if q == nil {
		return
	}
	s.forget(q)
	s.refund(now, &q.Want)
}

func (s *Scheduler) forget(q *waiting) {
	delete(s.wants, q.ID)
	s.service(q.Service).rank(q.Rank).remove(q)
}

func (s *Scheduler) refund(now time.Time, w *Want) { s.limits.Refund(now, w.Team, w.tokens()) }

func (s *Scheduler) deny(now time.Time, v *service, w *Want, reason Reason, wait time.Duration) {
	waiting := 0
	for _, r := range v.ranks {
		waiting += r.len()
	}
	in := Inputs{Waited: now.Sub(w.Arrived), Waiting: waiting, Running: v.running}
	if reason == DeniedAllotment {
		in.Level, in.Rate = s.limits.Level(w.Team)
	}
	s.out = append(s.out, Decision{ID: w.ID, Denied: true, Reason: reason, RetryAfter: max(wait, minRetryAfter), Inputs: in})
}

// Report takes the course of granted work.
func (s *Scheduler) Report(now time.Time, r Report) {
	b := s.works[r.ID]
	if b == nil || b.record.ID != r.Server {
		return
	}
	w := b.works[r.ID]
	if r.Outcome == Began {
		b.began(now, w, r.First)
		s.service(w.Service).guessDecode(b)
		s.decide(now, s.service(w.Service))
		return
	}
	started := w.Started
	switch r.Outcome {
	case Finished:
		b.began(now, w, r.First)
		b.finished(now, r)
	case Failed:
		b.failed(now, started)
	case Full:
		b.paused = now.Add(fullPause)
	case Absent:
		b.missing, b.absent = true, b.record.Sequence
	case Began, Cancelled, Unused:
	}
	if r.Refund {
		s.limits.Refund(now, w.Team, w.Prompt+w.Output)
	}
	s.ended(b, w)
	s.service(w.Service).rank(w.Rank).ends.add(now, 1)
	s.decide(now, s.service(w.Service))
}

func (s *Scheduler) ended(b *server, w *work) {
	b.end(w.ID)
	delete(s.works, w.ID)
	v := s.service(w.Service)
	v.running--
	v.rank(w.Rank).running--
	if b.record.State == model.Gone && len(b.works) == 0 {
		v.drop(b)
	}
}

// SetAllotmentShare changes the part of the allotments that this scheduler hands out.
func (s *Scheduler) SetAllotmentShare(now time.Time, share float64) { s.limits.SetShare(now, share) }

// RestartAllotments is called when this scheduler takes over from another one.
func (s *Scheduler) RestartAllotments(now time.Time) { s.limits.Restart(now) }

// Adopt counts work that was granted elsewhere. If it is charged, it also counts in the allotment of
// its team.
func (s *Scheduler) Adopt(now time.Time, w Work, charge bool) {
	if s.works[w.ID] != nil {
		return
	}
	if charge {
		s.limits.Charge(now, w.Team, w.Prompt+w.Output)
	}
	if q := s.wants[w.ID]; q != nil {
		s.forget(q)
	}
	v := s.service(w.Service)
	b := v.servers[w.Server]
	if b == nil {
		b = v.add(w.Server)
	}
	b.begin(now, w, v.plainOr(now, &w))
	s.works[w.ID] = b
	v.running++
	v.rank(w.Rank).running++
}

func (v *service) plainOr(now time.Time, w *Work) time.Duration {
	return v.expect(now, &Want{Prompt: w.Prompt, Output: w.Output, Expected: w.Expected})
}

// Forget removes everything of an instance, whose connections to the servers have ended or whose
// state follows.
func (s *Scheduler) Forget(now time.Time, instance model.InstanceID) {
	for id, q := range s.wants {
		if id.Instance == instance {
			s.forget(q)
		}
	}
	for id, b := range s.works {
		if id.Instance == instance {
			s.ended(b, b.works[id])
		}
	}
	s.decideAll(now)
}

// Tick acts on the passage of time.
func (s *Scheduler) Tick(now time.Time) { s.decideAll(now) }

func (s *Scheduler) decideAll(now time.Time) {
	for _, v := range s.services {
		s.decide(now, v)
	}
}
