package members

import (
	"context"
	"time"

	"briaryard/internal/event"
	"briaryard/internal/kernel"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
)

const (
	ringCapacity = 4096
	tick         = 100 * time.Millisecond
	// suspectAfter and goneAfter bound the time without a heartbeat of a backend server.
	suspectAfter = 1500 * time.Millisecond
	goneAfter    = 3 * time.Second
)

type message interface{ message() }

type announced struct{ announcement port.Announcement }

type selfChanged struct {
	state     model.MemberState
	withdrawn bool
}

func (announced) message()   {}
func (selfChanged) message() {}

// Service keeps the membership.
type Service struct {
	log     *event.Log
	ring    *ring.Ring[message]
	views   []func(*model.View)
	reports []func(port.ServerReport)

	// The fields below belong to the members duty.
	self    model.Instance
	servers map[model.BackendServerID]model.BackendServer
	heard   map[model.BackendServerID]time.Time
	version uint64
}

// New returns the service.
func New(log *event.Log, self model.Instance) *Service {
	return &Service{
		log:     log,
		ring:    ring.New[message]("members", ringCapacity, ring.Block),
		self:    self,
		servers: make(map[model.BackendServerID]model.BackendServer),
		heard:   make(map[model.BackendServerID]time.Time),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return port.MembersName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return []string{port.PeersName} }

// Provision implements kernel.Service.
func (s *Service) Provision(kernel.Resolver) error { return nil }

// Start implements kernel.Service.
func (s *Service) Start(h *kernel.Host) error {
	h.Go("members", func(ctx context.Context, d *kernel.Duty) {
		s.publish()
		kernel.Loop[message]{Ring: s.ring, Tick: tick, Handle: s.handle, OnTick: s.onTick}.Run(ctx, d)
	}, s.ring)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.ring.Close()
	return nil
}

// Announce implements port.Members.
func (s *Service) Announce(a port.Announcement) error {
	return s.ring.Put(context.Background(), announced{a})
}

// Subscribe implements port.Members.
func (s *Service) Subscribe(sink func(*model.View)) { s.views = append(s.views, sink) }

// SubscribeReports implements port.Members.
func (s *Service) SubscribeReports(sink func(port.ServerReport)) {
	s.reports = append(s.reports, sink)
}

// SetSelf implements port.Members.
func (s *Service) SetSelf(state model.MemberState, withdrawn bool) {
	_ = s.ring.Put(context.Background(), selfChanged{state, withdrawn})
}

func (s *Service) handle(now time.Time, m message) {
	switch m := m.(type) {
	case announced:
		s.announced(now, m.announcement)
	case selfChanged:
		s.self.State = m.state
		s.self.Withdrawn = m.withdrawn
		s.self.Sequence++
		s.publish()
	}
}

func (s *Service) announced(now time.Time, a port.Announcement) {
	old, known := s.servers[a.Server.ID]
	if known && (a.Server.Incarnation < old.Incarnation ||
		a.Server.Incarnation == old.Incarnation && old.State >= model.Leaving) {
		return
	}
	s.heard[a.Server.ID] = now
	a.Server.Home = s.self.ID
	a.Server.Sequence = old.Sequence
	if !known || old.Incarnation != a.Server.Incarnation || old.State != a.Server.State {
		a.Server.Sequence++
		s.servers[a.Server.ID] = a.Server
		s.log.Emit(event.ServerAnnounced, a.Server.ID, a.Server.Incarnation, a.Server.Address, a.Server.Domain, a.Server.Pools)
		s.publish()
	}
	for _, sink := range s.reports {
		sink(port.ServerReport{Load: a.Load, Cache: a.Cache})
	}
}

func (s *Service) onTick(now time.Time) {
	changed := false
	for id, srv := range s.servers {
		silent := now.Sub(s.heard[id])
		state := srv.State
		switch {
		case silent > goneAfter:
			state = model.Gone
		case silent > suspectAfter && srv.State == model.Alive:
			state = model.Suspect
		}
		if state != srv.State {
			s.log.Emit(event.ServerState, id, srv.Incarnation, state.String(), "no heartbeat")
			srv.State = state
			srv.Sequence++
			s.servers[id] = srv
			changed = true
		}
	}
	if changed {
		s.publish()
	}
}

func (s *Service) publish() {
	s.version++
	v := &model.View{Version: s.version, Instances: []model.Instance{s.self}}
	for _, srv := range s.servers {
		v.Servers = append(v.Servers, srv)
	}
	for _, sink := range s.views {
		sink(v)
	}
}
