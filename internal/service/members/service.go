package members

import (
	"context"
	"time"

	"briaryard/internal/decide/member"
	"briaryard/internal/event"
	"briaryard/internal/fault"
	"briaryard/internal/kernel"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
	"briaryard/internal/wire/memberwire"
)

const (
	ringCapacity = 4096
	tick         = 100 * time.Millisecond
	// quietTick is the interval while nothing is silent. It is well below the gap that counts
	// as a pause of this instance.
	quietTick = 250 * time.Millisecond
	// listEvery repeats the list of instances for the peers service, which may have had no
	// room for it.
	listEvery = 10
)

type message interface{ message() }

type announced struct{ announcement port.Announcement }

type selfChanged struct {
	state     model.MemberState
	withdrawn bool
}

type received struct{ from port.PeerMessage }

type connection struct{ status port.PeerStatus }

func (announced) message()   {}
func (selfChanged) message() {}
func (received) message()    {}
func (connection) message()  {}

// Service keeps the membership.
type Service struct {
	log     *event.Log
	ring    *ring.Ring[message]
	links   port.PeerLinks
	peers   port.Peers
	self    model.Instance
	views   []func(*model.View)
	reports []func(port.ServerReport)

	// The fields below belong to the members duty.
	machine *member.Machine
	ticks   int
	later   model.Incarnation
}

// New returns the service. The incarnation of the record comes from the peers service.
func New(log *event.Log, self model.Instance) *Service {
	return &Service{log: log, self: self, ring: ring.New[message]("members", ringCapacity, ring.Block)}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return port.MembersName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return []string{port.PeersName} }

// Provision implements kernel.Service.
func (s *Service) Provision(r kernel.Resolver) error {
	err := r.Bind(
		kernel.Into(port.PeersName, &s.peers),
		kernel.Into(port.PeersName, &s.links),
	)
	if err != nil {
		return err
	}
	_, s.self.Incarnation = s.peers.Self()
	s.peers.Handle(port.MembersName, memberwire.Codec{}, func(m port.PeerMessage) error { return s.ring.Offer(received{m}) })
	s.links.SubscribeStatus(func(st port.PeerStatus) error { return s.ring.Offer(connection{st}) })
	return nil
}

// Start implements kernel.Service.
func (s *Service) Start(h *kernel.Host) error {
	h.Go("members", func(ctx context.Context, d *kernel.Duty) {
		s.machine = member.New(time.Now(), s.self, s.links.Alone())
		s.perform()
		kernel.Loop[message]{Ring: s.ring, Tick: tick, Handle: s.handle, OnTick: s.onTick,
			Quiet: func() bool { return s.machine.Quiet(time.Now()) }, QuietTick: quietTick}.Run(ctx, d)
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
		s.machine.SetSelf(m.state, m.withdrawn)
	case received:
		s.received(now, m.from)
	case connection:
		s.connection(now, m.status)
	}
	s.perform()
}

func (s *Service) onTick(time.Time) {
	// The time of the tick is when it was due, which hides a pause of this process.
	s.machine.Tick(time.Now())
	s.perform()
	if s.ticks++; s.ticks%listEvery == 0 {
		s.links.SetInstances(s.machine.Known())
	}
}

func (s *Service) announced(now time.Time, a port.Announcement) {
	result := s.machine.Announce(now, a.Server)
	var err error
	if result.Refused {
		err = &fault.IncarnationGone{Server: a.Server.ID, Known: result.Known}
	}
	if a.Reply != nil {
		a.Reply(err)
	}
	if err != nil {
		return
	}
	if result.Changed {
		s.log.Emit(event.ServerAnnounced, a.Server.ID, a.Server.Incarnation, a.Server.Address, a.Server.Domain, a.Server.Pools)
	}
	if result.PreviousHome != "" {
		s.log.Emit(event.ServerAdopted, a.Server.ID, a.Server.Incarnation, result.PreviousHome)
	}
	if a.Load == nil && len(a.Cache) == 0 {
		return
	}
	for _, sink := range s.reports {
		sink(port.ServerReport{Pools: a.Server.Pools, Load: a.Load, Cache: a.Cache})
	}
}

func (s *Service) received(now time.Time, m port.PeerMessage) {
	switch b := m.Body.(type) {
	case member.Records:
		s.machine.Merge(now, b)
	case member.Digest:
		s.machine.TakeDigest(m.From, b)
	case member.Versions:
		s.machine.TakeVersions(m.From, b)
	case member.Want:
		s.machine.TakeWant(m.From, b)
	}
}

func (s *Service) connection(now time.Time, st port.PeerStatus) {
	switch st.State {
	case port.PeerUp:
		s.machine.PeerUp(now, st.Instance)
	case port.PeerHeard:
		s.machine.PeerHeard(now, st.Instance.ID)
	case port.PeerReset:
		// Every new connection begins with a digest.
	case port.PeerSilent, port.PeerDown:
		s.machine.PeerSilent(now, st.Instance.ID, st.LastHeard, st.State == port.PeerDown)
	}
}

// perform sends, logs and publishes what the machine decided.
func (s *Service) perform() {
	sends, changes, held := s.machine.Take()
	for _, m := range sends {
		if m.To != "" {
			s.send(m.To, m.Body)
			continue
		}
		for _, to := range s.machine.Connected() {
			s.send(to, m.Body)
		}
	}
	for _, c := range changes {
		if c.Server != "" {
			s.log.Emit(event.ServerState, c.Server, c.Incarnation, c.State.String(), c.Reason)
		} else {
			s.log.Emit(event.InstanceState, c.Instance, c.Incarnation, c.State.String(), c.Reason)
		}
	}
	for _, reason := range held {
		s.log.Emit(event.ExpiryHeld, reason)
	}
	if later := s.machine.Superseded(); later != s.later {
		s.later = later
		s.log.Emit(event.IncarnationUsed, s.self.ID, later)
	}
	if v, ok := s.machine.View(); ok {
		s.links.SetInstances(s.machine.Known())
		for _, sink := range s.views {
			sink(v)
		}
	}
}

// send drops a message that cannot be queued; the next digest repairs the loss.
func (s *Service) send(to model.InstanceID, body any) {
	_ = s.peers.Send(to, port.MembersName, body)
}
