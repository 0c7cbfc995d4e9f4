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
	// contactsInterval is the time between two reads of the kept contacts while there is a leader.
	contactsInterval = 3 * time.Second
	ringCapacity     = 64
)

// Contacts reads the core instances from the settings as they are now.
type Contacts func() ([]model.InstanceID, error)

// Options are the settings of the service.
type Options struct {
	Contacts Contacts
	// KeepContacts keeps the connections to the contacts while there is a leader. It is set at members of the
	// control group: a contact that is no member learns of them by these connections.
	KeepContacts bool
}

// Service tells the peers service which instances to connect to.
type Service struct {
	log     *event.Log
	options Options
	ring    *ring.Ring[port.ControlMembers]
	links   port.PeerLinks
	sinks   []func([]model.InstanceID)

	// The fields below belong to the topology duty.
	coreInstances []model.InstanceID
	// keptContacts are the contacts to stay connected to, linked the instances that the peers service was
	// last given.
	keptContacts, linked []model.InstanceID
	// lastRefresh is when the leader last listed the members or the contacts were last used, and lastRead
	// when the kept contacts were last read.
	lastRefresh, lastRead time.Time
}

// New returns the service.
func New(log *event.Log, o Options) *Service {
	return &Service{log: log, options: o, ring: ring.New[port.ControlMembers]("topology", ringCapacity, ring.ReplaceOldest)}
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
		kernel.Loop[port.ControlMembers]{Ring: s.ring, TickInterval: tickInterval, Handle: s.handle, OnTick: s.onTick}.Run(ctx, d)
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
	if !m.FromLeader {
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
	switch {
	case now.Sub(s.lastRefresh) >= leaderTimeout:
		s.useContacts(now)
	case s.options.KeepContacts && now.Sub(s.lastRead) >= contactsInterval:
		s.readContacts(now)
		s.link()
	}
}

// useContacts adds the contacts of the settings to the known core instances.
func (s *Service) useContacts(now time.Time) {
	s.lastRefresh = now
	if contacts, ok := s.readContacts(now); ok {
		s.addCore(contacts, "settings")
	}
}

// readContacts reads the contacts of the settings as they are now, and keeps them if that is set.
func (s *Service) readContacts(now time.Time) ([]model.InstanceID, bool) {
	s.lastRead = now
	contacts, err := s.options.Contacts()
	if err != nil {
		s.log.Emit(event.ContactsUnreadable, err.Error())
		return nil, false
	}
	if s.options.KeepContacts {
		s.keptContacts = contacts
	}
	return contacts, true
}

// setCore publishes the core instances to the subscribers if they have changed, and connects to them.
func (s *Service) setCore(core []model.InstanceID, source string) {
	if slices.Equal(core, s.coreInstances) {
		return
	}
	s.coreInstances = core
	s.log.Emit(event.CoreChanged, core, source)
	s.link()
	for _, sink := range s.sinks {
		sink(core)
	}
}

// link tells the peers service which instances to connect to, if these have changed: the core instances and
// the kept contacts.
func (s *Service) link() {
	ids := slices.Concat(s.coreInstances, s.keptContacts)
	slices.Sort(ids)
	if ids = slices.Compact(ids); slices.Equal(ids, s.linked) {
		return
	}
	s.linked = ids
	list := make([]model.Instance, 0, len(ids))
	for _, id := range ids {
		// The id of a core instance is its peer address.
		list = append(list, model.Instance{ID: id, PeerAddress: string(id)})
	}
	s.links.SetInstances(list)
}
