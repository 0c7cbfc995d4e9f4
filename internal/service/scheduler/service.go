package scheduler

import (
	"context"
	"strconv"
	"time"

	"briaryard/internal/decide/allocate"
	"briaryard/internal/decide/allotment"
	"briaryard/internal/decide/appointment"
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
	// tickInterval bounds how late a request is denied after its time has run out.
	tickInterval = 25 * time.Millisecond
	// idleTickInterval is the tick interval while no request waits and no instance is lost.
	idleTickInterval = 500 * time.Millisecond
	// disconnectTimeout is how long the connection to an instance may be down before its session
	// ends and its requests are removed. By then its process has ended, or it decides alone and
	// reports its requests when it joins again.
	disconnectTimeout = 300 * time.Millisecond
	// standbyThreshold is the time without activity in any session after which another scheduler
	// may have granted from the allotments. It is below 500 ms, the minimum duration of an election.
	standbyThreshold = 300 * time.Millisecond
)

type message any

type serversChanged struct{ records []model.BackendServer }

// Options are the settings of the service.
type Options struct {
	Tolerance allotment.Tolerance
	// LocalDecisionLimit is how long an instance may decide alone after its connection was lost: as
	// long as its configuration stays usable.
	LocalDecisionLimit time.Duration
}

// session holds the connection state and the undecided requests of an instance that has joined.
type session struct {
	id uint64
	// waiting holds the requests without a decision.
	waiting  map[model.RequestID]struct{}
	lastSent time.Time
	// downSince is when the connection failed, or zero.
	downSince time.Time
	// silent is set while no data arrives on the connection: the instance may decide alone.
	silent bool
}

// Service schedules the routed requests of the fleet.
type Service struct {
	log     *event.Log
	metrics *metric.Set
	options Options
	ring    *ring.Ring[message]
	peers   port.Peers

	// The fields below belong to the scheduler duty.
	scheduler *schedule.Scheduler
	revision  model.Revision
	sessions  map[model.InstanceID]*session
	// lastActivity is when an instance last used its session.
	lastActivity time.Time
	// lost maps each instance that may decide alone to the time since when.
	lost map[model.InstanceID]time.Time
	// evidenceAt is when evidence about roll-outs was last passed on to evidenceSinks.
	evidenceAt    time.Time
	evidenceSinks []func(port.RolloutEvidence)
}

// New returns the service.
func New(log *event.Log, m *metric.Set, o Options) *Service {
	return &Service{
		log: log, metrics: m, ring: ring.New[message]("scheduler", ringCapacity, ring.Refuse),
		options: o, scheduler: schedule.New(schedule.Options{Tolerance: o.Tolerance, Share: 1}),
		sessions: make(map[model.InstanceID]*session), lost: make(map[model.InstanceID]time.Time),
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
	routes.SubscribeViews(func(v port.RouteView) { _ = s.ring.Offer(v) })
	registry.SubscribeServers(func(list []model.BackendServer) { _ = s.ring.Offer(serversChanged{list}) })
	return nil
}

// Start implements kernel.Service.
func (s *Service) Start(h *kernel.Host) error {
	h.Go("scheduler", kernel.Loop[message]{
		Ring: s.ring, TickInterval: tickInterval, Handle: s.handle, OnTick: s.onTick, IdleTickInterval: idleTickInterval,
		Idle: func() bool { return s.scheduler.Waiting() == 0 && len(s.lost) == 0 && !s.scheduler.RollsOut() },
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
	case port.RouteView:
		if m.Table.Revision() > s.revision {
			s.revision = m.Table.Revision()
			s.scheduler.SetDocument(now, m.Table.Document)
		}
	case serversChanged:
		s.scheduler.SetServers(now, m.records)
	case port.RolloutRules:
		s.scheduler.SetRollouts(now, m.Rollouts, m.Splits)
	case port.PeerStatus:
		s.handlePeerStatus(now, m)
	case port.PeerMessage:
		s.handlePeerMessage(now, m)
	}
	s.sendDecisions(now)
	s.sendEvidence(now)
}

func (s *Service) onTick(now time.Time) {
	for id, sess := range s.sessions {
		if !sess.downSince.IsZero() && now.Sub(sess.downSince) >= disconnectTimeout {
			delete(s.sessions, id)
			s.scheduler.RemoveInstance(now, id)
		}
	}
	s.shareAllotments(now)
	s.scheduler.Tick(now)
	s.sendDecisions(now)
	s.sendEvidence(now)
	for id, sess := range s.sessions {
		if len(sess.waiting) > 0 && now.Sub(sess.lastSent) >= allocate.HeartbeatInterval {
			s.send(now, id, sess, port.DispatcherHeartbeatMessage{Session: sess.id})
		}
	}
}

// shareAllotments reserves an equal share of the allotments for each instance that may decide
// alone, for as long as its configuration stays usable.
func (s *Service) shareAllotments(now time.Time) {
	for id, since := range s.lost {
		if now.Sub(since) >= s.options.LocalDecisionLimit {
			delete(s.lost, id)
		}
	}
	joined := 0
	for id, sess := range s.sessions {
		if sess.downSince.IsZero() && !sess.silent {
			delete(s.lost, id)
			joined++
		}
	}
	s.scheduler.SetAllotmentShare(now, float64(max(joined, 1))/float64(max(joined+len(s.lost), 1)))
}

func (s *Service) handlePeerStatus(now time.Time, st port.PeerStatus) {
	sess := s.sessions[st.Instance.ID]
	switch {
	case sess == nil:
	case st.State == port.PeerDown, st.State == port.PeerSilent:
		s.lost[st.Instance.ID] = now
		if st.State == port.PeerDown {
			sess.downSince = now
		}
		sess.silent = st.State == port.PeerSilent
	case st.State == port.PeerUp:
		sess.downSince, sess.silent = time.Time{}, false
	case st.State == port.PeerRecovered:
		sess.silent = false
	case st.State == port.PeerReset:
		// The instance joins again.
		delete(s.sessions, st.Instance.ID)
		s.scheduler.RemoveInstance(now, st.Instance.ID)
	}
}

func (s *Service) handlePeerMessage(now time.Time, m port.PeerMessage) {
	if join, ok := m.Body.(port.JoinMessage); ok {
		if now.Sub(s.lastActivity) >= standbyThreshold {
			s.scheduler.ResetAllotments(now)
		}
		s.lastActivity = now
		s.scheduler.RemoveInstance(now, m.From)
		joined := &session{id: join.Session, waiting: make(map[model.RequestID]struct{})}
		s.sessions[m.From] = joined
		s.log.Emit(event.ScheduleJoined, m.From, join.Session)
		s.send(now, m.From, joined, port.JoinedMessage(join))
		return
	}
	sess := s.sessions[m.From]
	if sess == nil {
		return
	}
	switch b := m.Body.(type) {
	case port.GrantedWorkMessage:
		if b.Session == sess.id {
			s.handleGrantedWork(now, m.From, b)
		}
	case port.SubmitMessage:
		if b.Session == sess.id {
			s.lastActivity = now
			s.handleSubmit(now, m.From, sess, b)
		}
	case port.WithdrawSubmitMessage:
		if b.Session == sess.id {
			b.ID.Instance = m.From
			delete(sess.waiting, b.ID)
			s.scheduler.Withdraw(now, b.ID)
		}
	case port.ServerNoticeMessage:
		if b.Session == sess.id {
			s.handleNotice(now, m.From, b.Notice)
		}
	case port.OutcomeMessage:
		if b.Session == sess.id {
			s.lastActivity = now
			b.Report.ID.Instance = m.From
			s.scheduler.Report(now, b.Report)
		}
	}
}

func (s *Service) handleNotice(now time.Time, from model.InstanceID, n model.ServerNotice) {
	if s.scheduler.HandleNotice(now, from, n) {
		s.log.Emit(event.ScheduleLimit, n.Server, n.Incarnation, n.Limit, from)
	}
}

// handleGrantedWork replaces all that the scheduler holds of an instance by the granted requests that
// the instance reports, and takes in the appointments that the instance has handed out.
func (s *Service) handleGrantedWork(now time.Time, from model.InstanceID, m port.GrantedWorkMessage) {
	s.scheduler.RemoveInstance(now, from)
	for _, w := range m.Works {
		w.ID.Instance = from
		s.scheduler.Adopt(now, w, false)
	}
	list := make([]appointment.Appointment, 0, len(m.Appointments))
	for _, a := range m.Appointments {
		a.At = now.Add(a.In)
		list = append(list, a.Appointment)
	}
	s.scheduler.AdoptAppointments(now, list)
}

// handleSubmit queues a request. The message has durations, which become times of this clock.
func (s *Service) handleSubmit(now time.Time, from model.InstanceID, sess *session, m port.SubmitMessage) {
	w := m.Request
	w.ID.Instance = from
	w.Arrived, w.StartTarget, w.StartDeadline, w.Deadline = now.Add(-m.Waited), now.Add(m.StartTargetIn), now.Add(m.StartDeadlineIn), now.Add(m.DeadlineIn)
	sess.waiting[w.ID] = struct{}{}
	for _, d := range m.Refused {
		s.scheduler.CountRefused(now, d)
	}
	s.scheduler.Submit(now, w)
}

// sendDecisions logs and counts the decisions and sends them to the instances that wait for them.
func (s *Service) sendDecisions(now time.Time) {
	for _, d := range s.scheduler.Take() {
		in := &d.Inputs
		if d.Denied {
			s.log.Emit(event.ScheduleDenied, d.ID.String(), d.Reason.String(), d.RetryAfter, in.Waited, in.Waiting, in.Running, in.Level, in.Rate, in.Limited)
			s.metrics.Counter(metric.ScheduleDecisions, d.Reason.String()).Inc(1)
		} else {
			s.log.Emit(event.ScheduleGranted, d.ID.String(), d.Server.ID, d.Server.Sequence, in.Waited, in.Waiting, in.Running, in.Pending, in.Estimate, in.Age, in.Limit, in.Reserved)
			s.metrics.Counter(metric.ScheduleDecisions, "granted").Inc(1)
		}
		s.logAppointment(&d)
		sess := s.sessions[d.ID.Instance]
		if sess == nil {
			continue
		}
		delete(sess.waiting, d.ID)
		s.send(now, d.ID.Instance, sess, port.DecisionMessage{Session: sess.id, Decision: d})
	}
}

// logAppointment logs that the caller of a request was given an appointment, or has kept one.
func (s *Service) logAppointment(d *schedule.Decision) {
	if a := &d.Appointment; a.Fingerprint != 0 {
		s.log.Emit(event.ScheduleAppointment, d.ID.String(), strconv.FormatUint(a.Fingerprint, 16), d.RetryAfter, a.Work)
	}
	if d.Inputs.Returned {
		s.log.Emit(event.ScheduleReturned, d.ID.String(), d.Denied, d.Inputs.Waited)
	}
}

// send sends a message to an instance. If that fails, the connection counts as down, so that the
// session ends after disconnectTimeout; the instance then joins again.
func (s *Service) send(now time.Time, to model.InstanceID, sess *session, body any) {
	sess.lastSent = now
	if err := s.peers.Send(to, port.AllocateName, body); err != nil {
		s.log.Emit(event.PeerMessageLost, to, port.AllocateName, err.Error())
		if sess.downSince.IsZero() {
			sess.downSince = now
		}
	}
}
