package presence

import (
	"context"
	"sync/atomic"
	"time"

	"briaryard/internal/clock"
	"briaryard/internal/decide/relay"
	"briaryard/internal/decide/roster"
	"briaryard/internal/event"
	"briaryard/internal/kernel"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
)

const (
	ringCapacity = 256
	// tickInterval is the longest delay until a configuration that is no longer confirmed is
	// noticed.
	tickInterval = 200 * time.Millisecond
)

// Options are the settings of the service.
type Options struct {
	// Address is the address that callers connect to.
	Address string
	Domain  model.FailureDomain
	// Lease is how long a configuration counts as confirmed after the time at which it was last
	// known to be the accepted one.
	Lease time.Duration
	// AcceptDuration is how long a stopping instance accepts new requests. MinStopDuration is the
	// shortest duration of a stop, even without open requests. MaxStopDuration is the longest, even
	// with open requests.
	AcceptDuration, MinStopDuration, MaxStopDuration time.Duration
}

type message any

// leaveRequest starts the stop; finished is called at its end.
type leaveRequest struct{ finished func() }

// step is a step of the stop.
type step uint8

const (
	refuseRequests step = iota
	minStopElapsed
	requestsDrained
	maxStopElapsed
)

// Service publishes whether this instance accepts requests.
type Service struct {
	log     *event.Log
	options Options
	ring    *ring.Ring[message]
	roster  port.Roster
	relay   port.Relay
	ready   atomic.Bool
	leaving atomic.Bool
	// stopEnd is nil unless the instance is being stopped.
	stopEnd atomic.Pointer[time.Time]

	// The fields below belong to the presence duty.
	admission relay.Admission
	// publishedReady is the state that was last published to the other instances.
	publishedReady bool
	finished       func()
	// pendingSteps counts the steps that the end of the stop waits for.
	pendingSteps int
}

// New returns the service.
func New(log *event.Log, o Options) *Service {
	return &Service{
		log: log, options: o, ring: ring.New[message]("presence", ringCapacity, ring.Block),
		admission: relay.Admission{Lease: o.Lease},
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return port.PresenceName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string {
	return []string{port.RoutesName, port.RosterName, port.RelayName}
}

// Provision implements kernel.Service.
func (s *Service) Provision(r kernel.Resolver) error {
	var routes port.Routes
	err := r.Bind(kernel.Into(port.RoutesName, &routes), kernel.Into(port.RosterName, &s.roster), kernel.Into(port.RelayName, &s.relay))
	if err != nil {
		return err
	}
	routes.SubscribeViews(func(v port.RouteView) { s.post(v) })
	return nil
}

func (s *Service) post(m message) { _ = s.ring.Put(context.Background(), m) }

// Start implements kernel.Service.
func (s *Service) Start(h *kernel.Host) error {
	h.Go("presence", kernel.Loop[message]{Ring: s.ring, TickInterval: tickInterval, Handle: s.handle, OnTick: s.update, Now: clock.Boot}.Run, s.ring)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.ring.Close()
	return nil
}

// Ready implements port.Presence.
func (s *Service) Ready() bool { return s.ready.Load() }

// StopEnd implements port.Presence.
func (s *Service) StopEnd() (time.Time, bool) {
	if end := s.stopEnd.Load(); end != nil {
		return *end, true
	}
	return time.Time{}, false
}

// Leave implements port.Presence.
func (s *Service) Leave(finished func()) {
	s.leaving.Store(true)
	s.ready.Store(false)
	s.post(leaveRequest{finished})
}

func (s *Service) handle(now time.Time, m message) {
	switch m := m.(type) {
	case port.RouteView:
		s.admission.Table, s.admission.ConfirmedAt = m.Table, m.AsOf
	case leaveRequest:
		s.startStop(now, m)
	case step:
		s.handleStep(m)
	}
	s.update(now)
}

// update computes whether the instance is ready, and publishes a change.
func (s *Service) update(now time.Time) {
	ready, reason := s.admission.Current(now), "configuration"
	if s.leaving.Load() {
		ready, reason = false, "stopping"
	}
	s.ready.Store(ready)
	if ready == s.publishedReady {
		return
	}
	s.publishedReady = ready
	revision, age := model.Revision(0), time.Duration(0)
	if s.admission.Table != nil {
		revision, age = s.admission.Table.Revision(), now.Sub(s.admission.ConfirmedAt)
	}
	s.log.Emit(event.PresenceChanged, ready, reason, revision, age)
	s.roster.SetPresence(roster.Entry{Address: s.options.Address, Domain: s.options.Domain, Ready: ready})
}

// startStop schedules the steps of the stop. Only the first request has an effect.
func (s *Service) startStop(now time.Time, m leaveRequest) {
	if s.finished != nil {
		return
	}
	s.finished = m.finished
	s.pendingSteps = 2
	end := now.Add(s.options.MaxStopDuration)
	s.stopEnd.Store(&end)
	s.relay.SetStopTime(end)
	time.AfterFunc(s.options.AcceptDuration, func() { s.post(refuseRequests) })
	time.AfterFunc(s.options.MinStopDuration, func() { s.post(minStopElapsed) })
	time.AfterFunc(s.options.MaxStopDuration, func() { s.post(maxStopElapsed) })
}

func (s *Service) handleStep(st step) {
	switch st {
	case refuseRequests:
		s.relay.SetClosing(true)
		s.relay.DrainRouted(func() { s.post(requestsDrained) })
	case minStopElapsed, requestsDrained:
		if s.pendingSteps--; s.pendingSteps == 0 {
			s.finished()
		}
	case maxStopElapsed:
		if s.pendingSteps > 0 {
			s.pendingSteps = 0
			s.finished()
		}
	}
}
