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
	// tick bounds how late it shows that a configuration is no longer confirmed.
	tick = 200 * time.Millisecond
)

// Options are the settings of the service.
type Options struct {
	// Address is where callers connect.
	Address string
	Domain  model.FailureDomain
	// Lease is how long a configuration counts that was known to be the accepted one.
	Lease time.Duration
	// TakeFor is how long a stopping instance takes new requests, StayFor how long it stays even
	// without any, and EndAfter when it ends whatever is open.
	TakeFor, StayFor, EndAfter time.Duration
}

type message any

type leave struct{ finished func() }

type step uint8

const (
	refuse step = iota
	stayed
	drained
	over
)

// Service states the presence.
type Service struct {
	log     *event.Log
	options Options
	ring    *ring.Ring[message]
	roster  port.Roster
	relay   port.Relay
	ready   atomic.Bool
	leaving atomic.Bool

	// The fields below belong to the presence duty.
	admission relay.Admission
	told      bool
	finished  func()
	waits     int
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
	routes.SubscribeViews(func(v port.View) { s.put(v) })
	return nil
}

func (s *Service) put(m message) { _ = s.ring.Put(context.Background(), m) }

// Start implements kernel.Service.
func (s *Service) Start(h *kernel.Host) error {
	h.Go("presence", kernel.Loop[message]{Ring: s.ring, Tick: tick, Handle: s.handle, OnTick: s.update, Now: clock.Boot}.Run, s.ring)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.ring.Close()
	return nil
}

// Ready implements port.Presence.
func (s *Service) Ready() bool { return s.ready.Load() }

// Leave implements port.Presence.
func (s *Service) Leave(finished func()) {
	s.leaving.Store(true)
	s.ready.Store(false)
	s.put(leave{finished})
}

func (s *Service) handle(now time.Time, m message) {
	switch m := m.(type) {
	case port.View:
		s.admission.Table, s.admission.AsOf = m.Table, m.AsOf
	case leave:
		s.leave(m)
	case step:
		s.step(m)
	}
	s.update(now)
}

// update tells the other instances when the state has changed.
func (s *Service) update(now time.Time) {
	ready, reason := s.admission.Current(now), "configuration"
	if s.leaving.Load() {
		ready, reason = false, "stopping"
	}
	s.ready.Store(ready)
	if ready == s.told {
		return
	}
	s.told = ready
	revision, age := model.Revision(0), time.Duration(0)
	if s.admission.Table != nil {
		revision, age = s.admission.Table.Revision(), now.Sub(s.admission.AsOf)
	}
	s.log.Emit(event.PresenceChanged, ready, reason, revision, age)
	s.roster.SetPresence(roster.Entry{Address: s.options.Address, Domain: s.options.Domain, Ready: ready})
}

func (s *Service) leave(m leave) {
	if s.finished != nil {
		return
	}
	s.finished = m.finished
	s.waits = 2
	time.AfterFunc(s.options.TakeFor, func() { s.put(refuse) })
	time.AfterFunc(s.options.StayFor, func() { s.put(stayed) })
	time.AfterFunc(s.options.EndAfter, func() { s.put(over) })
}

func (s *Service) step(st step) {
	switch st {
	case refuse:
		s.relay.SetClosing(true)
		s.relay.DrainRouted(func() { s.put(drained) })
	case stayed, drained:
		if s.waits--; s.waits == 0 {
			s.finished()
		}
	case over:
		if s.waits > 0 {
			s.waits = 0
			s.finished()
		}
	}
}
