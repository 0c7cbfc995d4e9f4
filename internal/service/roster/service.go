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

const (
	ringCapacity = 1024
	// publishInterval is the shortest time between two messages with changes of the list to the same
	// instance. When a whole fleet starts, each instance changes the list of all others: the interval
	// bounds the messages to a few per second and instance.
	publishInterval = 200 * time.Millisecond
	// maxSentVersions is the number of known versions above which those of instances without a
	// connection are dropped.
	maxSentVersions = 2048
	// idleTickInterval is the tick interval while no change waits to be sent.
	idleTickInterval = 10 * time.Second
)

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
	// sentVersions holds the version of the list that each instance was last sent; 0 if it needs the
	// whole list. An instance is added by the reset that follows its first connection.
	sentVersions map[model.InstanceID]uint64
	lastPublish  time.Time
	// changesPending is set while an instance may lack changes.
	changesPending bool
}

// New returns the service. core states whether this is a core instance.
func New(log *event.Log, core bool) *Service {
	return &Service{
		log: log, core: core, ring: ring.New[message]("roster", ringCapacity, ring.Refuse),
		instances: roster.NewInstances(), lists: roster.NewLists(), connected: make(map[model.InstanceID]bool),
		sentVersions: make(map[model.InstanceID]uint64),
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
	h.Go("roster", kernel.Loop[message]{
		Ring: s.ring, Handle: s.handle, TickInterval: publishInterval, OnTick: s.publishChanges,
		Idle: func() bool { return !s.changesPending }, IdleTickInterval: idleTickInterval,
	}.Run, s.ring)
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

func (s *Service) handle(now time.Time, m message) {
	switch m := m.(type) {
	case presence:
		s.publishSelf(m.entry)
	case port.PeerStatus:
		s.handleStatus(m)
	case port.PeerMessage:
		s.handlePeerMessage(m)
	}
	if s.changesPending && (s.lastPublish.IsZero() || now.Sub(s.lastPublish) >= publishInterval) {
		s.publishChanges(now)
	}
}

func (s *Service) handlePeerMessage(m port.PeerMessage) {
	switch b := m.Body.(type) {
	case port.PresenceMessage:
		b.Entry.Instance, b.Entry.Incarnation = m.From, m.Incarnation
		if s.core && s.instances.Set(b.Entry) {
			s.changesPending = true
		}
	case port.InstancesMessage:
		if !s.lists.Apply(m.From, b.Changes) {
			s.send(m.From, port.InstancesRequestMessage{})
			return
		}
		s.publishLists()
	case port.InstancesRequestMessage:
		if s.core {
			s.sentVersions[m.From] = 0
			s.changesPending = true
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
		if st.State == port.PeerReset {
			s.forgetDisconnected()
			s.sentVersions[id] = 0
		}
		s.instances.SetConnected(id, alive)
		s.changesPending = true
		return
	}
	if st.State == port.PeerReset && s.self.Sequence > 0 {
		s.send(id, port.PresenceMessage{Entry: s.self})
	}
	s.lists.SetConnected(id, alive)
	s.publishLists()
}

// forgetDisconnected bounds sentVersions, which keeps an instance across a connection that is resumed.
func (s *Service) forgetDisconnected() {
	if len(s.sentVersions) < maxSentVersions {
		return
	}
	for id := range s.sentVersions {
		if !s.connected[id] {
			delete(s.sentVersions, id)
		}
	}
}

// publishChanges sends each instance whose connection is up and not silent the changes of the list since
// the version that it was last sent. The whole list goes only to an instance without a version.
func (s *Service) publishChanges(now time.Time) {
	if !s.changesPending {
		return
	}
	s.changesPending, s.lastPublish = false, now
	version := s.instances.Version()
	// Most instances were last sent the same version.
	byBase := make(map[uint64]roster.Changes)
	var longest roster.Changes
	receivers := 0
	for id := range s.connected {
		base, known := s.sentVersions[id]
		if !known || base == version {
			continue
		}
		changes, ok := byBase[base]
		if !ok {
			changes = s.instances.ChangesSince(base)
			byBase[base] = changes
		}
		if base > 0 && len(changes.Entries)+len(changes.Removed) > len(longest.Entries)+len(longest.Removed) {
			longest = changes
		}
		receivers++
		s.sentVersions[id] = version
		if !s.send(id, port.InstancesMessage{Changes: changes}) {
			s.sentVersions[id] = 0
			s.changesPending = true
		}
	}
	if receivers > 0 {
		s.log.Emit(event.RosterChanged, version, len(s.instances.List()), instanceIDs(longest.Entries), longest.Removed, receivers)
	}
}

func instanceIDs(entries []roster.Entry) []model.InstanceID {
	ids := make([]model.InstanceID, 0, len(entries))
	for _, e := range entries {
		ids = append(ids, e.Instance)
	}
	return ids
}

// send queues a message and reports whether it was queued. One that was not is lost: the list is sent
// whole with the next changes, the presence when the connection is reset.
func (s *Service) send(to model.InstanceID, body any) bool {
	err := s.peers.Send(to, port.RosterName, body)
	if err != nil {
		s.log.Emit(event.PeerMessageLost, to, port.RosterName, err.Error())
	}
	return err == nil
}

// publishLists passes an immutable copy of the lists to the subscribers.
func (s *Service) publishLists() {
	view := s.lists.Clone()
	for _, sink := range s.sinks {
		sink(view)
	}
}
