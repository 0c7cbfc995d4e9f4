package quarantine

import (
	"context"
	"slices"
	"time"

	"briaryard/internal/clock"
	"briaryard/internal/decide/quarantine"
	"briaryard/internal/event"
	"briaryard/internal/kernel"
	"briaryard/internal/metric"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
	"briaryard/internal/wire/routedwire"
)

const (
	ringCapacity = 1024
	// publishInterval is the shortest time between two messages with changes to the same instance.
	publishInterval = 50 * time.Millisecond
	// idleTickInterval is the tick interval while no change waits to be sent.
	idleTickInterval = 5 * time.Second
	// maxFollowers is the number of followers above which those without a connection are dropped.
	maxFollowers = 2048
)

type message any

type sourcesChanged struct{ instances []model.InstanceID }

type coreChanged struct{ instances []model.InstanceID }

// Service holds the evidence of this instance and shares it with others.
type Service struct {
	log     *event.Log
	metrics *metric.Set
	core    bool
	ring    *ring.Ring[message]
	peers   port.Peers
	sinks   []func(*quarantine.View)

	// The fields below belong to the quarantine duty.
	ledger    *quarantine.Ledger
	connected map[model.InstanceID]bool
	// sources are the core instances that this instance follows, followers the instances that follow this
	// core instance, and coreInstances all known core instances.
	sources, coreInstances []model.InstanceID
	followers              map[model.InstanceID]bool
	// unsent holds the parts whose records have changed since lastPublish, with the instance that sent the
	// record, or "".
	unsent      map[model.PromptPart]model.InstanceID
	lastPublish time.Time
}

// New returns the service. core states whether this is a core instance.
func New(log *event.Log, m *metric.Set, core bool) *Service {
	return &Service{
		log: log, metrics: m, core: core, ring: ring.New[message]("quarantine", ringCapacity, ring.Refuse),
		ledger: quarantine.NewLedger(), connected: make(map[model.InstanceID]bool), followers: make(map[model.InstanceID]bool),
		unsent: make(map[model.PromptPart]model.InstanceID),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return port.QuarantineName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string {
	return []string{port.PeersName, port.TopologyName, port.RegistryName}
}

// Provision implements kernel.Service.
func (s *Service) Provision(r kernel.Resolver) error {
	var links port.PeerLinks
	var topology port.Topology
	var registry port.Registry
	err := r.Bind(kernel.Into(port.PeersName, &s.peers), kernel.Into(port.PeersName, &links),
		kernel.Into(port.TopologyName, &topology), kernel.Into(port.RegistryName, &registry))
	if err != nil {
		return err
	}
	s.peers.Handle(port.QuarantineName, routedwire.Codec{}, func(m port.PeerMessage) error { return s.ring.Offer(m) })
	links.SubscribeStatus(func(st port.PeerStatus) error { return s.ring.Offer(st) })
	topology.SubscribeCore(func(list []model.InstanceID) { s.put(coreChanged{list}) })
	registry.SubscribeSources(func(list []model.InstanceID) { s.put(sourcesChanged{list}) })
	return nil
}

func (s *Service) put(m message) { _ = s.ring.Put(context.Background(), m) }

// Start implements kernel.Service.
func (s *Service) Start(h *kernel.Host) error {
	h.Go("quarantine", kernel.Loop[message]{
		Ring: s.ring, Handle: s.handle, TickInterval: publishInterval, OnTick: s.onTick,
		Idle: func() bool { return len(s.unsent) == 0 }, IdleTickInterval: idleTickInterval, Now: clock.Boot,
	}.Run, s.ring)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.ring.Close()
	return nil
}

// Observe implements port.Quarantine.
func (s *Service) Observe(o quarantine.Sighting) { s.put(o) }

// SubscribeViews implements port.Quarantine.
func (s *Service) SubscribeViews(sink func(*quarantine.View)) { s.sinks = append(s.sinks, sink) }

func (s *Service) handle(now time.Time, m message) {
	switch m := m.(type) {
	case quarantine.Sighting:
		s.logSighting(m)
		s.recordsChanged(now, s.ledger.Observe(now, m), "")
	case coreChanged:
		s.coreInstances = m.instances
	case sourcesChanged:
		s.changeSources(now, m.instances)
	case port.PeerStatus:
		s.handleStatus(now, m)
	case port.PeerMessage:
		if b, ok := m.Body.(port.PartRecordsMessage); ok {
			s.handleRecords(now, m.From, b)
		}
	}
	if now.Sub(s.lastPublish) >= publishInterval {
		s.publish(now)
	}
}

func (s *Service) onTick(now time.Time) {
	if s.ledger.Tick(now) {
		s.publishView()
	}
	s.publish(now)
}

// logSighting logs the crash of a server that this instance has seen.
func (s *Service) logSighting(o quarantine.Sighting) {
	if !o.Began() {
		s.log.Emit(event.PartsCrashed, o.Crash.Server, o.Crash.Incarnation, o.Parts)
	}
}

// recordsChanged logs changed records, publishes them within this instance and marks them to be sent.
func (s *Service) recordsChanged(now time.Time, parts []model.PromptPart, from model.InstanceID) {
	if len(parts) == 0 {
		return
	}
	for _, p := range parts {
		s.unsent[p] = from
		if r, ok := s.ledger.Get(p); ok {
			s.log.Emit(event.PartEvidence, p, r.Generation, len(r.Crashes), r.Level, max(r.Until.Sub(now), 0), from)
		}
	}
	s.publishView()
}

// publishView passes the evidence to the subscribers within this instance.
func (s *Service) publishView() {
	view := s.ledger.View()
	s.metrics.Gauge(metric.PartsQuarantined, "").Update(int64(view.QuarantinedParts()))
	for _, sink := range s.sinks {
		sink(view)
	}
}

// publish sends the changed records to the other instances, but not back to the one that they came from.
func (s *Service) publish(now time.Time) {
	if len(s.unsent) == 0 {
		return
	}
	s.lastPublish = now
	for _, to := range s.receivers() {
		var list []quarantine.RelativeRecord
		for p, from := range s.unsent {
			if r, ok := s.ledger.Get(p); ok && from != to {
				list = append(list, r.Relative(now))
			}
		}
		if len(list) > 0 {
			s.send(to, port.PartRecordsMessage{Records: list})
		}
	}
	clear(s.unsent)
}

// receivers returns the connected instances that get the changes of this one.
func (s *Service) receivers() []model.InstanceID {
	if !s.core {
		return s.sources
	}
	var out []model.InstanceID
	for id := range s.connected {
		if s.followers[id] || slices.Contains(s.coreInstances, id) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// send queues a message. One that cannot be queued is lost; the receiver gets the whole ledger when the
// connection is reset.
func (s *Service) send(to model.InstanceID, m port.PartRecordsMessage) {
	if err := s.peers.Send(to, port.QuarantineName, m); err != nil {
		s.log.Emit(event.PeerMessageLost, to, port.QuarantineName, err.Error())
	}
}
