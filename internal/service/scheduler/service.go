package scheduler

import (
	"context"
	"time"

	"briaryard/internal/decide/allocate"
	"briaryard/internal/decide/allotment"
	"briaryard/internal/decide/schedule"
	"briaryard/internal/event"
	"briaryard/internal/kernel"
	"briaryard/internal/metric"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
	"briaryard/internal/wire/routedwire"
)

const (
	ringCapacity = 8192
	// tick bounds how late a request is denied whose time has run out.
	tick = 25 * time.Millisecond
	// quietTick is the interval while nothing waits.
	quietTick = 500 * time.Millisecond
	// goneAfter is how long the connection to an instance may be down before its requests are
	// forgotten: its process has ended, or it decides alone and gives a new account later.
	goneAfter = 300 * time.Millisecond
	// standbyAfter is the silence of all sessions after which another dispatcher may have handed out
	// the allotments. It is below the 500 ms that an election takes at least.
	standbyAfter = 300 * time.Millisecond
)

type message any

type servers struct{ records []model.BackendServer }

// Options are the settings of the service.
type Options struct {
	Tolerance allotment.Tolerance
	// AloneFor is how long an instance that is lost may go on alone: as long as its configuration
	// counts.
	AloneFor time.Duration
}

// member is an instance that takes requests.
type member struct {
	session uint64
	// waiting counts its requests without a decision.
	waiting map[model.RequestID]struct{}
	sent    time.Time
	down    time.Time
}

// Service decides for the fleet.
type Service struct {
	log     *event.Log
	metrics *metric.Set
	options Options
	ring    *ring.Ring[message]
	peers   port.Peers

	// The fields below belong to the scheduler duty.
	scheduler *schedule.Scheduler
	revision  model.Revision
	members   map[model.InstanceID]*member
	// active is when an instance last used its session.
	active time.Time
	// lost holds the instances that may decide alone, and since when.
	lost map[model.InstanceID]time.Time
}

// New returns the service.
func New(log *event.Log, m *metric.Set, o Options) *Service {
	return &Service{
		log: log, metrics: m, ring: ring.New[message]("scheduler", ringCapacity, ring.Refuse),
		options: o, scheduler: schedule.New(schedule.Options{Tolerance: o.Tolerance, Share: 1}),
		members: make(map[model.InstanceID]*member), lost: make(map[model.InstanceID]time.Time),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return port.SchedulerName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string {
	return []string{port.PeersName, port.RoutesName, port.RegistryName}
}

// Provision implements kernel.Service.
func (s *Service) Provision(r kernel.Resolver) error {
	var links port.PeerLinks
	var routes port.Routes
	var registry port.Registry
	err := r.Bind(kernel.Into(port.PeersName, &s.peers), kernel.Into(port.PeersName, &links),
		kernel.Into(port.RoutesName, &routes), kernel.Into(port.RegistryName, &registry))
	if err != nil {
		return err
	}
	s.peers.Handle(port.SchedulerName, routedwire.Codec{}, func(m port.PeerMessage) error { return s.ring.Offer(m) })
	links.SubscribeStatus(func(st port.PeerStatus) error { return s.ring.Offer(st) })
	routes.SubscribeViews(func(v port.View) { _ = s.ring.Offer(v) })
	registry.SubscribeServers(func(list []model.BackendServer) { _ = s.ring.Offer(servers{list}) })
	return nil
}

// Start implements kernel.Service.
func (s *Service) Start(h *kernel.Host) error {
	h.Go("scheduler", kernel.Loop[message]{
		Ring: s.ring, Tick: tick, Handle: s.handle, OnTick: s.onTick, QuietTick: quietTick,
		Quiet: func() bool { return s.scheduler.Waiting() == 0 && len(s.lost) == 0 },
	}.Run, s.ring)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.ring.Close()
	return nil
}

func (s *Service) handle(now time.Time, m message) {
	switch m := m.(type) {
	case port.View:
		if m.Table.Revision() > s.revision {
			s.revision = m.Table.Revision()
			s.scheduler.SetDocument(now, m.Table.Document)
		}
	case servers:
		s.scheduler.SetServers(now, m.records)
	case port.PeerStatus:
		s.status(now, m)
	case port.PeerMessage:
		s.receive(now, m)
	}
	s.tell(now)
}

func (s *Service) onTick(now time.Time) {
	for id, m := range s.members {
		if !m.down.IsZero() && now.Sub(m.down) >= goneAfter {
			delete(s.members, id)
			s.scheduler.Forget(now, id)
		}
	}
	s.shareAllotments(now)
	s.scheduler.Tick(now)
	s.tell(now)
	for id, m := range s.members {
		if len(m.waiting) > 0 && now.Sub(m.sent) >= allocate.BeatInterval {
			s.send(now, id, m, port.BeatMessage{Session: m.session})
		}
	}
}

// shareAllotments leaves to the instances that may decide alone what they may hand out: an equal
// share for each, as long as their configuration counts.
func (s *Service) shareAllotments(now time.Time) {
	for id, since := range s.lost {
		if now.Sub(since) >= s.options.AloneFor {
			delete(s.lost, id)
		}
	}
	joined := 0
	for id, m := range s.members {
		if m.down.IsZero() {
			delete(s.lost, id)
			joined++
		}
	}
	s.scheduler.SetAllotmentShare(now, float64(max(joined, 1))/float64(max(joined+len(s.lost), 1)))
}

func (s *Service) status(now time.Time, st port.PeerStatus) {
	m := s.members[st.Instance.ID]
	switch {
	case m == nil:
	case st.State == port.PeerDown, st.State == port.PeerSilent:
		s.lost[st.Instance.ID] = now
		if st.State == port.PeerDown {
			m.down = now
		}
	case st.State == port.PeerUp:
		m.down = time.Time{}
	case st.State == port.PeerReset:
		// The instance joins again.
		delete(s.members, st.Instance.ID)
		s.scheduler.Forget(now, st.Instance.ID)
	}
}

func (s *Service) receive(now time.Time, m port.PeerMessage) {
	if join, ok := m.Body.(port.JoinMessage); ok {
		if now.Sub(s.active) >= standbyAfter {
			s.scheduler.RestartAllotments(now)
		}
		s.active = now
		s.scheduler.Forget(now, m.From)
		member := &member{session: join.Session, waiting: make(map[model.RequestID]struct{})}
		s.members[m.From] = member
		s.log.Emit(event.ScheduleJoined, m.From, join.Session)
		s.send(now, m.From, member, port.JoinedMessage(join))
		return
	}
	from := s.members[m.From]
	if from == nil {
		return
	}
	switch b := m.Body.(type) {
	case port.AccountMessage:
		if b.Session == from.session {
			s.account(now, m.From, b.Works)
		}
	case port.AskMessage:
		if b.Session == from.session {
			s.active = now
			s.ask(now, m.From, from, b)
		}
	case port.WithdrawAskMessage:
		if b.Session == from.session {
			b.ID.Instance = m.From
			delete(from.waiting, b.ID)
			s.scheduler.Withdraw(now, b.ID)
		}
	case port.OutcomeMessage:
		if b.Session == from.session {
			s.active = now
			b.Report.ID.Instance = m.From
			s.scheduler.Report(now, b.Report)
		}
	}
}

func (s *Service) account(now time.Time, from model.InstanceID, works []schedule.Work) {
	s.scheduler.Forget(now, from)
	for _, w := range works {
		w.ID.Instance = from
		s.scheduler.Adopt(now, w, false)
	}
}

func (s *Service) ask(now time.Time, id model.InstanceID, from *member, m port.AskMessage) {
	w := m.Want
	w.ID.Instance = id
	w.Arrived, w.OnTime, w.Until, w.End = now.Add(-m.Waited), now.Add(m.OnTimeIn), now.Add(m.UntilIn), now.Add(m.EndIn)
	from.waiting[w.ID] = struct{}{}
	s.scheduler.Ask(now, w)
}

// tell sends the decisions to the instances that wait for them.
func (s *Service) tell(now time.Time) {
	for _, d := range s.scheduler.Take() {
		in := &d.Inputs
		if d.Denied {
			s.log.Emit(event.ScheduleDenied, d.ID.String(), d.Reason.String(), d.RetryAfter, in.Waited, in.Waiting, in.Running, in.Level, in.Rate)
			s.metrics.Counter(metric.ScheduleDecisions, d.Reason.String()).Inc(1)
		} else {
			s.log.Emit(event.ScheduleGranted, d.ID.String(), d.Server.ID, d.Server.Sequence, in.Waited, in.Waiting, in.Running, in.Pending, in.Estimate, in.Age)
			s.metrics.Counter(metric.ScheduleDecisions, "granted").Inc(1)
		}
		m := s.members[d.ID.Instance]
		if m == nil {
			continue
		}
		delete(m.waiting, d.ID)
		s.send(now, d.ID.Instance, m, port.VerdictMessage{Session: m.session, Decision: d})
	}
}

// send gives up the session of an instance that cannot be told; it joins again.
func (s *Service) send(now time.Time, to model.InstanceID, m *member, body any) {
	m.sent = now
	if err := s.peers.Send(to, port.AllocateName, body); err != nil {
		s.log.Emit(event.PeerMessageLost, to, port.AllocateName, err.Error())
		if m.down.IsZero() {
			m.down = now
		}
	}
}
