package registry

import (
	"context"
	"time"

	"briaryard/internal/decide/registry"
	"briaryard/internal/event"
	"briaryard/internal/kernel"
	"briaryard/internal/metric"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
	"briaryard/internal/wire/routedwire"
)

const (
	ringCapacity = 4096
	// tickInterval is the interval at which a core instance looks for silent servers and sends the
	// other core instances the servers that have announced themselves to it. It is well below the
	// time after which a server counts as silent.
	tickInterval = 500 * time.Millisecond
	// maxSubscribers is the number of subscribers above which those without a connection are dropped.
	maxSubscribers = 2048
	// idleTickInterval is the tick interval of the other instances while no change is to be published.
	idleTickInterval = 10 * time.Second
	// entryPublishInterval is the shortest time between two publications at an instance that takes requests.
	// It uses its own records only without a dispatcher, and each publication costs a pass over all of them.
	entryPublishInterval = 400 * time.Millisecond
	// publishInterval is the shortest time between two publications of changed records. It bounds the
	// messages of a core instance to ten per second and instance, however many servers change at once.
	publishInterval = 100 * time.Millisecond
	// warmUpDuration is the time after the start in which an instance may not know all servers yet,
	// so that it cannot acknowledge the removal of an unknown one.
	warmUpDuration = 3 * time.Second
)

type message any

// announceRequest is an announcement of a backend server to this instance.
type announceRequest struct {
	server model.BackendServer
	reply  func(error)
}

// departRequest is a request to remove a backend server.
type departRequest struct {
	id          model.BackendServerID
	incarnation model.Incarnation
	reply       func(error)
}

// leavingSaid is the word of a server that it leaves, in an answer to this instance.
type leavingSaid struct {
	id          model.BackendServerID
	incarnation model.Incarnation
}

// coreChanged is a new list of core instances.
type coreChanged struct{ instances []model.InstanceID }

// Service holds the records of the backend servers.
type Service struct {
	log     *event.Log
	refused *event.RateLimited
	metrics *metric.Set
	core    bool
	ring    *ring.Ring[message]
	peers   port.Peers
	sinks   []func([]model.BackendServer)
	// sourceSinks receive the sources.
	sourceSinks []func([]model.InstanceID)

	// The fields below belong to the registry duty.
	startedAt     time.Time
	records       *registry.Registry
	connected     map[model.InstanceID]bool
	coreInstances []model.InstanceID
	// corePeers are the connected core instances. sources are those that send this instance the records,
	// and subscribers the instances to which this core instance sends them; core instances send each other
	// all changes.
	corePeers   map[model.InstanceID]bool
	silent      map[model.InstanceID]bool
	sources     []model.InstanceID
	subscribers map[model.InstanceID]bool
	// heardServers are the servers that have announced themselves here since lastHeardSent.
	heardServers  map[model.BackendServerID]port.AnnouncementRef
	lastHeardSent time.Time
	// unpublished holds the servers whose records changed after lastPublish, with the instance that sent
	// the record, or "". unanswered holds the replies that wait for their publication.
	unpublished map[model.BackendServerID]model.InstanceID
	unanswered  []func(error)
	lastPublish time.Time
}

// Options are the settings of the service.
type Options struct {
	// Core is set at a core instance, which accepts announcements and passes changed records on.
	Core bool
	// DetectsSilence is set at members of the control group. Only they are sent the announcements that
	// other core instances receive, so only they can tell that a server is silent.
	DetectsSilence bool
}

// New returns the service.
func New(log *event.Log, m *metric.Set, o Options) *Service {
	return &Service{
		log: log, refused: log.RateLimit(event.RecordRefused), metrics: m, core: o.Core, ring: ring.New[message]("registry", ringCapacity, ring.Refuse),
		records: registry.New(o.DetectsSilence), connected: make(map[model.InstanceID]bool), corePeers: make(map[model.InstanceID]bool),
		silent: make(map[model.InstanceID]bool), subscribers: make(map[model.InstanceID]bool),
		heardServers: make(map[model.BackendServerID]port.AnnouncementRef), unpublished: make(map[model.BackendServerID]model.InstanceID),
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
	topology.SubscribeCore(func(list []model.InstanceID) { _ = s.ring.Offer(coreChanged{list}) })
	return nil
}

// Start implements kernel.Service.
func (s *Service) Start(h *kernel.Host) error {
	s.startedAt = time.Now()
	loop := kernel.Loop[message]{
		Ring: s.ring, Handle: s.handle, TickInterval: s.publishEvery(), OnTick: s.onTick,
		Idle: func() bool { return len(s.unpublished) == 0 }, IdleTickInterval: tickInterval,
	}
	if !s.core {
		loop.OnTick, loop.IdleTickInterval = s.onEntryTick, idleTickInterval
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
	return s.ring.Offer(announceRequest{b, reply})
}

// Deregister implements port.Registry.
func (s *Service) Deregister(id model.BackendServerID, incarnation model.Incarnation, reply func(error)) error {
	return s.ring.Offer(departRequest{id, incarnation, reply})
}

// MarkLeaving implements port.Registry.
func (s *Service) MarkLeaving(id model.BackendServerID, incarnation model.Incarnation) {
	_ = s.ring.Offer(leavingSaid{id, incarnation})
}

// SubscribeServers implements port.Registry.
func (s *Service) SubscribeServers(sink func([]model.BackendServer)) { s.sinks = append(s.sinks, sink) }

// SubscribeSources implements port.Registry.
func (s *Service) SubscribeSources(sink func([]model.InstanceID)) {
	s.sourceSinks = append(s.sourceSinks, sink)
}

func (s *Service) handle(now time.Time, m message) {
	switch m := m.(type) {
	case announceRequest:
		s.handleAnnounce(now, m)
	case departRequest:
		s.handleDepart(now, m)
	case leavingSaid:
		s.handleLeaving(now, m)
	case coreChanged:
		s.coreInstances = m.instances
		s.updateSources()
	case port.PeerStatus:
		s.handleStatus(now, m)
	case port.PeerMessage:
		switch b := m.Body.(type) {
		case port.ServersMessage:
			s.handleRecords(now, m.From, b.Servers)
		case port.RecordsSubscriptionMessage:
			s.handleSubscription(m.From, b.On)
		case port.AnnouncementsMessage:
			s.handleAnnouncements(now, b.Servers)
		}
	}
	if now.Sub(s.lastPublish) >= s.publishEvery() {
		s.publish(now)
	}
}
