package roster

import (
	"context"
	"time"

	"briaryard/internal/decide/roster"
	"briaryard/internal/event"
	"briaryard/internal/kernel"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
	"briaryard/internal/wire/routedwire"
)

const ringCapacity = 1024

type message any

// presence is a new presence of this instance.
type presence struct{ entry roster.Entry }

// Service holds the lists of the instances that accept requests.
type Service struct {
	log   *event.Log
	core  bool
	ring  *ring.Ring[message]
	peers port.Peers
	sinks []func(*roster.Lists)

	// The fields below belong to the roster duty.
	instances *roster.Instances
	lists     *roster.Lists
	self      roster.Entry
	connected map[model.InstanceID]bool
}

// New returns the service. core states whether this is a core instance.
func New(log *event.Log, core bool) *Service {
	return &Service{
		log: log, core: core, ring: ring.New[message]("roster", ringCapacity, ring.Refuse),
		instances: roster.NewInstances(), lists: roster.NewLists(), connected: make(map[model.InstanceID]bool),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return port.RosterName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return []string{port.PeersName} }

// Provision implements kernel.Service.
func (s *Service) Provision(r kernel.Resolver) error {
	var links port.PeerLinks
	if err := r.Bind(kernel.Into(port.PeersName, &s.peers), kernel.Into(port.PeersName, &links)); err != nil {
		return err
	}
	s.peers.Handle(port.RosterName, routedwire.Codec{}, func(m port.PeerMessage) error { return s.ring.Offer(m) })
	links.SubscribeStatus(func(st port.PeerStatus) error { return s.ring.Offer(st) })
	return nil
}

// Start implements kernel.Service.
func (s *Service) Start(h *kernel.Host) error {
	h.Go("roster", kernel.Loop[message]{Ring: s.ring, Handle: s.handle}.Run, s.ring)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.ring.Close()
	return nil
}

// SetPresence implements port.Roster.
func (s *Service) SetPresence(e roster.Entry) { _ = s.ring.Put(context.Background(), presence{e}) }

// SubscribeInstances implements port.Roster.
func (s *Service) SubscribeInstances(sink func(*roster.Lists)) { s.sinks = append(s.sinks, sink) }

func (s *Service) handle(_ time.Time, m message) {
	switch m := m.(type) {
	case presence:
		s.publishSelf(m.entry)
	case port.PeerStatus:
		s.handleStatus(m)
	case port.PeerMessage:
		switch b := m.Body.(type) {
		case port.PresenceMessage:
			b.Entry.Instance, b.Entry.Incarnation = m.From, m.Incarnation
			if s.core && s.instances.Set(b.Entry) {
				s.broadcast()
			}
		case port.InstancesMessage:
			s.lists.Set(m.From, b.Entries)
			s.publish()
		}
	}
}

// publishSelf sends a new presence of this instance to the connected instances.
func (s *Service) publishSelf(e roster.Entry) {
	e.Sequence = s.self.Sequence + 1
	s.self = e
	for id := range s.connected {
		s.send(id, port.PresenceMessage{Entry: s.self})
	}
}

// handleStatus applies a connection change. After a reset of the connection the list or the presence
// is sent again, because it may have been lost.
func (s *Service) handleStatus(st port.PeerStatus) {
	id := st.Instance.ID
	alive := st.State != port.PeerDown && st.State != port.PeerSilent
	if alive {
		s.connected[id] = true
	} else {
		delete(s.connected, id)
	}
	if s.core {
		if s.instances.Connected(id, alive) {
			s.broadcast()
		} else if st.State == port.PeerReset {
			s.send(id, port.InstancesMessage{Entries: s.instances.List()})
		}
		return
	}
	if st.State == port.PeerReset && s.self.Sequence > 0 {
		s.send(id, port.PresenceMessage{Entry: s.self})
	}
	s.lists.Connected(id, alive)
	s.publish()
}

// broadcast sends the list to every instance whose connection is up and not silent.
func (s *Service) broadcast() {
	list := s.instances.List()
	ids := make([]model.InstanceID, 0, len(list))
	for _, e := range list {
		ids = append(ids, e.Instance)
	}
	s.log.Emit(event.RosterChanged, ids)
	for id := range s.connected {
		s.send(id, port.InstancesMessage{Entries: list})
	}
}

// send queues a message. One that cannot be queued is lost; the state is sent again when the
// connection is reset, or with the next change.
func (s *Service) send(to model.InstanceID, body any) {
	if err := s.peers.Send(to, port.RosterName, body); err != nil {
		s.log.Emit(event.PeerMessageLost, to, port.RosterName, err.Error())
	}
}

// publish passes an immutable copy of the lists to the subscribers.
func (s *Service) publish() {
	view := s.lists.Clone()
	for _, sink := range s.sinks {
		sink(view)
	}
}
