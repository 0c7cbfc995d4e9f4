package registry

import (
	"context"
	"slices"
	"time"

	"briaryard/internal/decide/registry"
	"briaryard/internal/event"
	"briaryard/internal/fault"
	"briaryard/internal/kernel"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
	"briaryard/internal/wire/routedwire"
)

const (
	ringCapacity = 4096
	// tick is the interval in which silence is looked for and core instances tell each other whom
	// they have heard. It is well below the time after which a server counts as silent.
	tick = 500 * time.Millisecond
	// youngFor is how long after its start an instance does not know all servers, so that it cannot
	// answer for the removal of one that it has not heard of.
	youngFor = 3 * time.Second
)

type message any

type announce struct {
	server model.BackendServer
	reply  func(error)
}

type depart struct {
	id          model.BackendServerID
	incarnation model.Incarnation
	reply       func(error)
}

type core struct{ instances []model.InstanceID }

// Service holds the records.
type Service struct {
	log   *event.Log
	core  bool
	ring  *ring.Ring[message]
	peers port.Peers
	sinks []func([]model.BackendServer)

	// The fields below belong to the registry duty.
	began     time.Time
	records   *registry.Registry
	connected map[model.InstanceID]bool
	others    []model.InstanceID
	heard     map[model.BackendServerID]port.HeardServer
}

// New returns the service. Core instances take announcements.
func New(log *event.Log, core bool) *Service {
	return &Service{
		log: log, core: core, ring: ring.New[message]("registry", ringCapacity, ring.Refuse),
		records: registry.New(core), connected: make(map[model.InstanceID]bool),
		heard: make(map[model.BackendServerID]port.HeardServer),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return port.RegistryName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return []string{port.PeersName, port.TopologyName} }

// Provision implements kernel.Service.
func (s *Service) Provision(r kernel.Resolver) error {
	var links port.PeerLinks
	var topology port.Topology
	err := r.Bind(kernel.Into(port.PeersName, &s.peers), kernel.Into(port.PeersName, &links), kernel.Into(port.TopologyName, &topology))
	if err != nil {
		return err
	}
	s.peers.Handle(port.RegistryName, routedwire.Codec{}, func(m port.PeerMessage) error { return s.ring.Offer(m) })
	links.SubscribeStatus(func(st port.PeerStatus) error { return s.ring.Offer(st) })
	topology.SubscribeCore(func(list []model.InstanceID) { _ = s.ring.Offer(core{list}) })
	return nil
}

// Start implements kernel.Service.
func (s *Service) Start(h *kernel.Host) error {
	s.began = time.Now()
	loop := kernel.Loop[message]{Ring: s.ring, Tick: tick, Handle: s.handle, OnTick: s.onTick}
	if !s.core {
		loop.Tick = 0
	}
	h.Go("registry", loop.Run, s.ring)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.ring.Close()
	return nil
}

// Announce implements port.Registry.
func (s *Service) Announce(b model.BackendServer, reply func(error)) error {
	return s.ring.Offer(announce{b, reply})
}

// Depart implements port.Registry.
func (s *Service) Depart(id model.BackendServerID, incarnation model.Incarnation, reply func(error)) error {
	return s.ring.Offer(depart{id, incarnation, reply})
}

// SubscribeServers implements port.Registry.
func (s *Service) SubscribeServers(sink func([]model.BackendServer)) { s.sinks = append(s.sinks, sink) }

func (s *Service) handle(now time.Time, m message) {
	switch m := m.(type) {
	case announce:
		s.announced(now, m)
	case depart:
		s.departed(now, m)
	case core:
		s.others = m.instances
	case port.PeerStatus:
		s.status(m)
	case port.PeerMessage:
		switch b := m.Body.(type) {
		case port.ServersMessage:
			s.merge(now, m.From, b.Servers)
		case port.HeardMessage:
			s.heardElsewhere(now, b.Servers)
		}
	}
}

func (s *Service) announced(now time.Time, m announce) {
	record, changed := s.records.Announce(now, m.server)
	s.heard[m.server.ID] = port.HeardServer{ID: m.server.ID, Incarnation: m.server.Incarnation, Sequence: m.server.Sequence}
	if changed {
		s.changed([]model.BackendServer{record}, "", "announced")
	} else if record.State == model.Suspect {
		s.revive(now, m.server.ID, m.server.Incarnation, m.server.Sequence)
	}
	m.reply(nil)
}

func (s *Service) revive(now time.Time, id model.BackendServerID, incarnation model.Incarnation, sequence uint64) {
	if record, revived := s.records.Heard(now, id, incarnation, sequence); revived {
		s.changed([]model.BackendServer{record}, "", "heard again")
	}
}

func (s *Service) departed(now time.Time, m depart) {
	record, known := s.records.Leave(now, m.id, m.incarnation)
	switch {
	case known:
		s.changed([]model.BackendServer{record}, "", "left")
	case time.Since(s.began) < youngFor:
		m.reply(&fault.NotServed{Reason: "this instance does not know all backend servers yet"})
		return
	}
	m.reply(nil)
}

// merge takes records from another instance and passes on what is new.
func (s *Service) merge(now time.Time, from model.InstanceID, records []model.BackendServer) {
	var changed []model.BackendServer
	for _, b := range records {
		if s.records.Merge(now, b) {
			record, _ := s.records.Get(b.ID)
			changed = append(changed, record)
		}
	}
	if len(changed) > 0 {
		s.changed(changed, from, "told by "+string(from))
	}
}

func (s *Service) heardElsewhere(now time.Time, servers []port.HeardServer) {
	for _, h := range servers {
		s.revive(now, h.ID, h.Incarnation, h.Sequence)
	}
}

// changed publishes records and, at core instances, passes them on.
func (s *Service) changed(records []model.BackendServer, from model.InstanceID, reason string) {
	for i := range records {
		b := &records[i]
		s.log.Emit(event.RoutedServer, b.ID, b.Incarnation, b.Sequence, b.State.String(), b.Address, b.Pools, reason)
	}
	if s.core {
		for id := range s.connected {
			if id != from {
				s.send(id, port.ServersMessage{Servers: records})
			}
		}
	}
	all := s.records.All()
	for _, sink := range s.sinks {
		sink(all)
	}
}

// send loses the message if there is no room; the receiver gets all records when the connection is
// renewed, and a server repeats itself.
func (s *Service) send(to model.InstanceID, body any) {
	if err := s.peers.Send(to, port.RegistryName, body); err != nil {
		s.log.Emit(event.PeerMessageLost, to, port.RegistryName, err.Error())
	}
}

func (s *Service) status(st port.PeerStatus) {
	id := st.Instance.ID
	switch st.State {
	case port.PeerDown:
		delete(s.connected, id)
	case port.PeerUp:
		s.connected[id] = true
	case port.PeerReset:
		s.connected[id] = true
		if all := s.records.All(); s.core && len(all) > 0 {
			s.send(id, port.ServersMessage{Servers: all})
		}
	case port.PeerSilent, port.PeerHeard:
	}
}

// complete reports whether all other core instances are connected.
func (s *Service) complete() bool {
	self, _ := s.peers.Self()
	return !slices.ContainsFunc(s.others, func(id model.InstanceID) bool { return id != self && !s.connected[id] })
}

func (s *Service) onTick(now time.Time) {
	s.records.SetComplete(now, s.complete())
	if changed := s.records.Tick(now); len(changed) > 0 {
		s.changed(changed, "", "silent")
	}
	if len(s.heard) == 0 {
		return
	}
	var m port.HeardMessage
	for _, h := range s.heard {
		m.Servers = append(m.Servers, h)
	}
	clear(s.heard)
	self, _ := s.peers.Self()
	for id := range s.connected {
		if id != self && slices.Contains(s.others, id) {
			s.send(id, m)
		}
	}
}
