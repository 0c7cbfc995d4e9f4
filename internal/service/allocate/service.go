package allocate

import (
	"context"
	"slices"
	"strconv"
	"time"

	"briaryard/internal/clock"
	"briaryard/internal/decide/allocate"
	"briaryard/internal/decide/allotment"
	"briaryard/internal/decide/appointment"
	"briaryard/internal/decide/roster"
	"briaryard/internal/decide/schedule"
	"briaryard/internal/event"
	"briaryard/internal/kernel"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
	"briaryard/internal/wire/routedwire"
)

const (
	// ringCapacity exceeds the number of messages of all requests that relay admits at a time. The
	// relay and allocate duties block when they send to each other, and this keeps either from
	// finding the other's ring full.
	ringCapacity = 8192
	// tickInterval bounds how late an unresponsive dispatcher is detected.
	tickInterval = 25 * time.Millisecond
	// idleTickInterval is the tick interval while no request waits for the dispatcher.
	idleTickInterval = 250 * time.Millisecond
)

type message any

type submitRequest struct{ request schedule.Request }

type withdrawRequest struct{ id model.RequestID }

type rolloutsChanged struct{ list []model.Rollout }

type serversChanged struct{ records []model.BackendServer }

// Service obtains backend servers for the requests of this instance.
type Service struct {
	log   *event.Log
	ring  *ring.Ring[message]
	peers port.Peers
	sink  func(port.Allocation)

	// The fields below belong to the allocate duty.
	machine  *allocate.Machine
	revision model.Revision
}

// New returns the service of the instance self.
func New(log *event.Log, self model.InstanceID, t allotment.Tolerance) *Service {
	return &Service{
		log: log, ring: ring.New[message]("allocate", ringCapacity, ring.Block), machine: allocate.New(self, t),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return port.AllocateName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string {
	return []string{port.PeersName, port.RoutesName, port.RegistryName, port.RosterName, port.ControlClientName}
}

// Provision implements kernel.Service.
func (s *Service) Provision(r kernel.Resolver) error {
	var links port.PeerLinks
	var routes port.Routes
	var registry port.Registry
	var instances port.Roster
	var status port.ControlObserver
	var rollouts port.RolloutsObserver
	err := r.Bind(kernel.Into(port.PeersName, &s.peers), kernel.Into(port.PeersName, &links),
		kernel.Into(port.RoutesName, &routes), kernel.Into(port.RegistryName, &registry),
		kernel.Into(port.RosterName, &instances), kernel.Into(port.ControlClientName, &status),
		kernel.Into(port.ControlClientName, &rollouts))
	if err != nil {
		return err
	}
	s.peers.Handle(port.AllocateName, routedwire.Codec{}, func(m port.PeerMessage) error { return s.ring.Offer(m) })
	links.SubscribeStatus(func(st port.PeerStatus) error { return s.ring.Offer(st) })
	routes.SubscribeViews(func(v port.RouteView) { s.put(v) })
	registry.SubscribeServers(func(list []model.BackendServer) { s.put(serversChanged{list}) })
	instances.SubscribeInstances(func(l *roster.Lists) { s.put(l) })
	rollouts.SubscribeRollouts(func(list []model.Rollout) { s.put(rolloutsChanged{list}) })
	// A status may be dropped, because each heartbeat sends it again.
	status.SubscribeStatus(func(st port.ControlStatus) { _ = s.ring.Offer(st) })
	return nil
}

func (s *Service) put(m message) { _ = s.ring.Put(context.Background(), m) }

// Start implements kernel.Service.
func (s *Service) Start(h *kernel.Host) error {
	h.Go("allocate", kernel.Loop[message]{
		Ring: s.ring, TickInterval: tickInterval, Handle: s.handle, OnTick: s.onTick, IdleTickInterval: idleTickInterval, Idle: s.machine.Idle, Now: clock.Boot,
	}.Run, s.ring)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.ring.Close()
	return nil
}

// AttachDecisions implements port.Allocator.
func (s *Service) AttachDecisions(sink func(port.Allocation)) { s.sink = sink }

// Submit implements port.Allocator.
func (s *Service) Submit(w schedule.Request) { s.put(submitRequest{w}) }

// Withdraw implements port.Allocator.
func (s *Service) Withdraw(id model.RequestID) { s.put(withdrawRequest{id}) }

// Notify implements port.Allocator.
func (s *Service) Notify(n model.ServerNotice) { s.put(n) }

// Report implements port.Allocator.
func (s *Service) Report(r schedule.Report) { s.put(r) }

func (s *Service) handle(now time.Time, m message) {
	switch m := m.(type) {
	case submitRequest:
		s.machine.Submit(now, m.request)
	case withdrawRequest:
		s.machine.Withdraw(now, m.id)
	case schedule.Report:
		s.machine.Report(now, m)
	case model.ServerNotice:
		s.machine.HandleNotice(now, m)
	case port.RouteView:
		if m.Table.Revision() > s.revision {
			s.revision = m.Table.Revision()
			s.machine.SetDocument(now, m.Table.Document)
		}
	case serversChanged:
		s.machine.SetServers(now, m.records)
	case rolloutsChanged:
		s.machine.SetRollouts(now, m.list)
	case *roster.Lists:
		self, _ := s.peers.Self()
		s.machine.SetInstances(now, self, instanceIDs(m.All()))
	case port.ControlStatus:
		s.machine.SetDispatcher(now, m.Leader)
	case port.PeerStatus:
		s.handlePeerStatus(now, m)
	case port.PeerMessage:
		s.handlePeerMessage(now, m)
	}
	s.perform(now)
}

func instanceIDs(entries []roster.Entry) []model.InstanceID {
	out := make([]model.InstanceID, 0, len(entries))
	for _, e := range entries {
		out = append(out, e.Instance)
	}
	slices.Sort(out)
	return out
}

func (s *Service) onTick(now time.Time) {
	s.machine.Tick(now)
	s.perform(now)
}

func (s *Service) handlePeerStatus(now time.Time, st port.PeerStatus) {
	switch st.State {
	case port.PeerDown, port.PeerSilent:
		s.machine.Unreachable(now, st.Instance.ID)
	case port.PeerReset:
		s.machine.Reset(now, st.Instance.ID)
	case port.PeerUp, port.PeerRecovered:
	}
}

func (s *Service) handlePeerMessage(now time.Time, m port.PeerMessage) {
	self, _ := s.peers.Self()
	switch b := m.Body.(type) {
	case port.JoinedMessage:
		s.machine.Joined(now, m.From, b.Session)
	case port.DecisionMessage:
		b.Decision.ID.Instance = self
		s.machine.HandleDecision(now, m.From, b.Session, b.Decision)
	case port.DispatcherHeartbeatMessage:
		s.machine.HandleHeartbeat(now, m.From, b.Session)
	}
}

// perform executes effects until there are none, because a failed send can produce more.
func (s *Service) perform(now time.Time) {
	for effects := s.machine.Take(); len(effects) > 0; effects = s.machine.Take() {
		for _, e := range effects {
			s.performOne(now, e)
		}
	}
}

func (s *Service) performOne(now time.Time, e allocate.Effect) {
	switch e := e.(type) {
	case allocate.Join:
		s.send(now, e.To, port.JoinMessage{Session: e.Session})
	case allocate.GrantedWork:
		s.send(now, e.To, port.GrantedWorkMessage{Session: e.Session, Works: e.Works, Appointments: returnAppointments(now, e.Appointments)})
	case allocate.Submit:
		w := &e.Request
		s.send(now, e.To, port.SubmitMessage{
			Session: e.Session, Request: *w, Waited: now.Sub(w.Arrived), StartTargetIn: w.StartTarget.Sub(now), StartDeadlineIn: w.StartDeadline.Sub(now),
			DeadlineIn: w.Deadline.Sub(now), Refused: e.Refused,
		})
	case allocate.Withdraw:
		s.send(now, e.To, port.WithdrawSubmitMessage{Session: e.Session, ID: e.ID})
	case allocate.SendReport:
		s.send(now, e.To, port.OutcomeMessage{Session: e.Session, Report: e.Report})
	case allocate.SendNotice:
		s.send(now, e.To, port.ServerNoticeMessage{Session: e.Session, Notice: e.Notice})
	case allocate.Decided:
		s.logDecision(e)
		if e.LocalDecision {
			s.logAppointment(&e.Decision)
		}
		s.sink(port.Allocation{Decision: e.Decision, LocalDecision: e.LocalDecision})
	case allocate.DispatcherChanged:
		s.log.Emit(event.AllocateFollows, e.Dispatcher, e.Reason)
	}
}

// returnAppointments converts the times of appointments to durations.
func returnAppointments(now time.Time, list []appointment.Appointment) []port.ReturnAppointment {
	out := make([]port.ReturnAppointment, 0, len(list))
	for _, a := range list {
		out = append(out, port.ReturnAppointment{Appointment: a, In: a.At.Sub(now)})
	}
	return out
}

func (s *Service) send(now time.Time, to model.InstanceID, body any) {
	if err := s.peers.Send(to, port.SchedulerName, body); err != nil {
		s.log.Emit(event.PeerMessageLost, to, port.SchedulerName, err.Error())
		s.machine.Unreachable(now, to)
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

// logDecision logs a decision that was made without the dispatcher, which logs its own.
func (s *Service) logDecision(d allocate.Decided) {
	in := &d.Inputs
	switch {
	case !d.LocalDecision:
	case d.Denied:
		s.log.Emit(event.ScheduleDenied, d.ID.String(), d.Reason.String(), d.RetryAfter, in.Waited, in.Waiting, in.Running, in.Level, in.Rate, in.Limited)
	default:
		s.log.Emit(event.ScheduleGranted, d.ID.String(), d.Server.ID, d.Server.Sequence, in.Waited, in.Waiting, in.Running, in.Pending, in.Estimate, in.Age, in.Limit, in.Reserved)
	}
}
