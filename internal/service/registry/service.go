package registry

import (
	"context"
	"maps"
	"slices"
	"time"

	"briaryard/internal/decide/registry"
	"briaryard/internal/event"
	"briaryard/internal/fault"
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

// handleAnnounce applies a valid announcement. A changed record is published before the server is
// answered.
func (s *Service) handleAnnounce(now time.Time, m announceRequest) {
	if err := s.records.Check(now, &m.server); err != nil {
		m.reply(err)
		return
	}
	record, changed := s.records.Announce(now, m.server)
	s.heardServers[m.server.ID] = port.AnnouncementRef{ID: m.server.ID, Incarnation: m.server.Incarnation, Sequence: m.server.Sequence}
	if changed {
		s.recordChanged(record, "", "announced")
		s.unanswered = append(s.unanswered, m.reply)
		return
	}
	if record.State == model.Suspect {
		s.recordHeard(now, m.server.ID, m.server.Incarnation, m.server.Sequence)
	}
	m.reply(nil)
}

// recordHeard records that a server has announced itself, here or at another core instance. A
// suspect server becomes alive again, which is published.
func (s *Service) recordHeard(now time.Time, id model.BackendServerID, incarnation model.Incarnation, sequence uint64) {
	if record, revived := s.records.Heard(now, id, incarnation, sequence); revived {
		s.recordChanged(record, "", "heard again")
	}
}

// handleDepart removes a server; the record is published before the server is answered. The removal of an unknown server without an
// incarnation is refused during warmUpDuration.
func (s *Service) handleDepart(now time.Time, m departRequest) {
	if err := s.records.Check(now, &model.BackendServer{ID: m.id, Incarnation: m.incarnation, State: model.Gone}); err != nil {
		m.reply(err)
		return
	}
	record, found := s.records.MarkGone(now, m.id, m.incarnation)
	switch {
	case found:
		s.recordChanged(record, "", "left")
		s.unanswered = append(s.unanswered, m.reply)
		return
	case time.Since(s.startedAt) < warmUpDuration:
		m.reply(&fault.NotServed{Reason: "this instance does not know all backend servers yet"})
		return
	}
	m.reply(nil)
}

// handleLeaving records that a server leaves and tells the core instances, which pass it on.
func (s *Service) handleLeaving(now time.Time, m leavingSaid) {
	record, changed := s.records.MarkLeaving(now, m.id, m.incarnation)
	if !changed {
		return
	}
	s.recordChanged(record, "", "said that it leaves")
	for id := range s.connected {
		s.sendRecords(id, []model.BackendServer{record})
	}
}

// handleRecords merges valid records from another instance and publishes those that have changed.
func (s *Service) handleRecords(now time.Time, from model.InstanceID, records []model.BackendServer) {
	changed := 0
	for _, b := range records {
		if err := s.records.Check(now, &b); err != nil {
			s.metrics.Counter(metric.RecordsRefused, "instance").Inc(1)
			s.refused.Emit(now, from, b.ID, err.Error())
			continue
		}
		if record, ok := s.records.Receive(now, b); ok {
			s.recordChanged(record, from, "received from "+string(from))
			changed++
		}
	}
	s.records.Forget(now)
	if changed > 0 && !s.core {
		s.log.Emit(event.RecordsReceived, from, len(records), changed)
	}
}

// handleAnnouncements handles a list of servers that have announced themselves to another core
// instance.
func (s *Service) handleAnnouncements(now time.Time, servers []port.AnnouncementRef) {
	for _, h := range servers {
		s.recordHeard(now, h.ID, h.Incarnation, h.Sequence)
	}
}

// recordChanged marks a record for the next publication. A core instance logs it; the other instances
// log the number of records that they receive.
func (s *Service) recordChanged(b model.BackendServer, from model.InstanceID, reason string) {
	s.unpublished[b.ID] = from
	if s.core {
		s.log.Emit(event.RoutedServer, b.ID, b.Incarnation, b.Sequence, b.State.String(), b.Address, b.Pools, reason)
	}
}

// publishEvery returns the shortest time between two publications.
func (s *Service) publishEvery() time.Duration {
	if s.core {
		return publishInterval
	}
	return entryPublishInterval
}

// publish passes all records to the subscribers if some have changed, and answers the servers that wait
// for it. A core instance first sends the changed ones to the connected instances, but not back to the
// instance that they came from.
func (s *Service) publish(now time.Time) {
	if len(s.unpublished) == 0 {
		return
	}
	s.lastPublish = now
	if s.core {
		s.sendChanged()
	}
	clear(s.unpublished)
	all := s.records.All()
	for _, sink := range s.sinks {
		sink(all)
	}
	for _, reply := range s.unanswered {
		reply(nil)
	}
	s.unanswered = nil
}

// sendChanged sends the changed records to the connected instances.
func (s *Service) sendChanged() {
	ids := slices.Sorted(maps.Keys(s.unpublished))
	records := make([]model.BackendServer, 0, len(ids))
	sources := make(map[model.InstanceID]bool)
	for _, id := range ids {
		if record, ok := s.records.Get(id); ok {
			records = append(records, record)
			sources[s.unpublished[id]] = true
		}
	}
	for to := range s.connected {
		if !s.corePeers[to] && !s.subscribers[to] {
			continue
		}
		list := records
		if sources[to] {
			list = slices.DeleteFunc(slices.Clone(records), func(b model.BackendServer) bool { return s.unpublished[b.ID] == to })
		}
		if len(list) > 0 {
			s.send(to, port.ServersMessage{Servers: list})
		}
	}
}

// send queues a message and reports whether it was queued. One that cannot be queued is lost; the receiver
// gets all records when the connection is reset, and servers repeat their announcements.
func (s *Service) send(to model.InstanceID, body any) bool {
	err := s.peers.Send(to, port.RegistryName, body)
	if err != nil {
		s.log.Emit(event.PeerMessageLost, to, port.RegistryName, err.Error())
	}
	return err == nil
}

// handleSubscription begins or ends the sending of records to an instance.
func (s *Service) handleSubscription(from model.InstanceID, on bool) {
	if !s.core || !on {
		delete(s.subscribers, from)
		return
	}
	s.subscribers[from] = true
	s.sendRecords(from, s.records.All())
}

// handleStatus applies a connection change. After a reset a core instance sends all records to another
// one and to a subscriber. The other instances send those of the servers that have left: a core instance
// that has started since would take a late announcement of one for a new server.
func (s *Service) handleStatus(now time.Time, st port.PeerStatus) {
	id := st.Instance.ID
	switch st.State {
	case port.PeerDown:
		delete(s.connected, id)
	case port.PeerUp, port.PeerReset:
		s.connected[id] = true
		s.corePeers[id] = st.Instance.PeerAddress != "" || slices.Contains(s.coreInstances, id)
	case port.PeerSilent, port.PeerRecovered:
	}
	s.silent[id] = st.State == port.PeerSilent
	if st.State == port.PeerReset {
		s.handleReset(now, id)
	}
	s.updateSources()
}

// handleReset sends what another instance may lack after a loss of messages.
func (s *Service) handleReset(now time.Time, id model.InstanceID) {
	switch {
	case !s.core:
		s.sendRecords(id, s.records.Departed(now))
		// The core instance may have lost the subscription.
		if at := slices.Index(s.sources, id); at >= 0 && !s.send(id, port.RecordsSubscriptionMessage{On: true}) {
			s.sources = slices.Delete(s.sources, at, at+1)
		}
	case s.corePeers[id], s.subscribers[id]:
		s.sendRecords(id, s.records.All())
	}
}

// sendRecords sends records to an instance, if there are any.
func (s *Service) sendRecords(to model.InstanceID, records []model.BackendServer) {
	if len(records) > 0 {
		s.send(to, port.ServersMessage{Servers: records})
	}
}

// updateSources chooses the core instances that send this instance the records and tells those for which
// that changes.
func (s *Service) updateSources() {
	if s.core {
		return
	}
	var reachable []model.InstanceID
	for id := range s.connected {
		if !s.silent[id] && (s.corePeers[id] || slices.Contains(s.coreInstances, id)) {
			reachable = append(reachable, id)
		}
	}
	slices.Sort(reachable)
	self, _ := s.peers.Self()
	chosen := registry.ChooseSources(self, s.sources, reachable)
	if slices.Equal(chosen, s.sources) {
		return
	}
	// A source that cannot be told is tried again with the next tick.
	chosen = slices.DeleteFunc(chosen, func(id model.InstanceID) bool {
		return !slices.Contains(s.sources, id) && !s.send(id, port.RecordsSubscriptionMessage{On: true})
	})
	for _, id := range s.sources {
		if s.connected[id] && !slices.Contains(chosen, id) {
			s.send(id, port.RecordsSubscriptionMessage{On: false})
		}
	}
	s.log.Emit(event.RecordSources, chosen)
	s.sources = chosen
}

// corePeersConnected reports whether all other core instances are connected.
func (s *Service) corePeersConnected() bool {
	self, _ := s.peers.Self()
	return !slices.ContainsFunc(s.coreInstances, func(id model.InstanceID) bool { return id != self && !s.connected[id] })
}

// onEntryTick publishes changed records to the subscribers within this instance, and chooses sources again
// if some could not be told.
func (s *Service) onEntryTick(now time.Time) {
	s.publish(now)
	s.updateSources()
}

// onTick publishes servers whose state has changed by silence, and sends the other core instances
// the servers that have announced themselves since the last tick.
func (s *Service) onTick(now time.Time) {
	s.records.SetPeersReachable(now, s.corePeersConnected())
	for _, record := range s.records.Tick(now) {
		s.recordChanged(record, "", "silent")
	}
	s.publish(now)
	if len(s.heardServers) == 0 || now.Sub(s.lastHeardSent) < tickInterval {
		return
	}
	s.lastHeardSent = now
	var m port.AnnouncementsMessage
	for _, h := range s.heardServers {
		m.Servers = append(m.Servers, h)
	}
	clear(s.heardServers)
	self, _ := s.peers.Self()
	for id := range s.connected {
		if id != self && slices.Contains(s.coreInstances, id) {
			s.send(id, m)
		}
	}
}
