package topology

import (
	"context"
	"slices"
	"time"

	"briaryard/internal/event"
	"briaryard/internal/kernel"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
)

const (
	tickInterval = time.Second
	// leaderTimeout is the time without a list from the leader after which the contacts of the
	// settings are used again. An election takes up to 2 s.
	leaderTimeout = 3 * time.Second
	ringCapacity  = 64
)

// Contacts reads the core instances from the settings as they are now.
type Contacts func() ([]model.InstanceID, error)

// Service tells the peers service which instances to connect to.
type Service struct {
	log      *event.Log
	contacts Contacts
	ring     *ring.Ring[port.ControlMembers]
	links    port.PeerLinks
	sinks    []func([]model.InstanceID)

	// The fields below belong to the topology duty.
	coreInstances []model.InstanceID
	// lastRefresh is when the leader last listed the members or the contacts were last used.
	lastRefresh time.Time
}

// New returns the service.
func New(log *event.Log, contacts Contacts) *Service {
	return &Service{log: log, contacts: contacts, ring: ring.New[port.ControlMembers]("topology", ringCapacity, ring.ReplaceOldest)}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return port.TopologyName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return []string{port.PeersName, port.ControlClientName} }

// Provision implements kernel.Service.
func (s *Service) Provision(r kernel.Resolver) error {
	var members port.MembersObserver
	if err := r.Bind(kernel.Into(port.PeersName, &s.links), kernel.Into(port.ControlClientName, &members)); err != nil {
		return err
	}
	// The members are repeated with each heartbeat, so that a list which is replaced in the ring
	// does no harm.
	members.SubscribeMembers(func(m port.ControlMembers) { _ = s.ring.Offer(m) })
	return nil
}

// Start implements kernel.Service.
func (s *Service) Start(h *kernel.Host) error {
	h.Go("topology", func(ctx context.Context, d *kernel.Duty) {
		s.useContacts(time.Now())
		kernel.Loop[port.ControlMembers]{Ring: s.ring, Tick: tickInterval, Handle: s.handle, OnTick: s.onTick}.Run(ctx, d)
	}, s.ring)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.ring.Close()
	return nil
}

// SubscribeCore implements port.Topology.
func (s *Service) SubscribeCore(sink func([]model.InstanceID)) { s.sinks = append(s.sinks, sink) }

// handle applies a list of members of the control group. A list of the leader replaces the core
// instances. That of a follower is only added: it may contain a leader that the contacts lack, and
// the follower may not know that other members have left.
func (s *Service) handle(now time.Time, m port.ControlMembers) {
	if !m.Certain {
		s.addCore(m.Instances, "follower")
		return
	}
	s.lastRefresh = now
	core := slices.Clone(m.Instances)
	slices.Sort(core)
	s.setCore(slices.Compact(core), "leader")
}

func (s *Service) addCore(instances []model.InstanceID, source string) {
	core := slices.Concat(s.coreInstances, instances)
	slices.Sort(core)
	s.setCore(slices.Compact(core), source)
}

func (s *Service) onTick(now time.Time) {
	if now.Sub(s.lastRefresh) >= leaderTimeout {
		s.useContacts(now)
	}
}

// useContacts adds the contacts of the settings to the known core instances.
func (s *Service) useContacts(now time.Time) {
	s.lastRefresh = now
	contacts, err := s.contacts()
	if err != nil {
		s.log.Emit(event.ContactsUnreadable, err.Error())
		return
	}
	s.addCore(contacts, "settings")
}

// setCore publishes the core instances if they have changed: to the peers service as the instances
// to connect to, and to the subscribers.
func (s *Service) setCore(core []model.InstanceID, source string) {
	if slices.Equal(core, s.coreInstances) {
		return
	}
	s.coreInstances = core
	s.log.Emit(event.CoreChanged, core, source)
	list := make([]model.Instance, 0, len(core))
	for _, id := range core {
		// The id of a core instance is its peer address.
		list = append(list, model.Instance{ID: id, PeerAddress: string(id)})
	}
	s.links.SetInstances(list)
	for _, sink := range s.sinks {
		sink(core)
	}
}
