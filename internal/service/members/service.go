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
	tickInterval = 100 * time.Millisecond
	// idleTickInterval is the tick interval while nothing is silent. It is well below the gap
	// between ticks that counts as a pause of this instance.
	idleTickInterval = 250 * time.Millisecond
	// listTicks is the number of ticks after which the list of instances is sent to the peers
	// service again, whose ring may have been full.
	listTicks = 10
)

type message interface{ message() }

// serverAnnounced is an announcement of a backend server to this instance.
type serverAnnounced struct{ announcement port.Announcement }

// selfChanged is a new state of this instance.
type selfChanged struct {
	state     model.MemberState
	withdrawn bool
}

// peerMessageReceived is a message of another instance's members service.
type peerMessageReceived struct{ peerMessage port.PeerMessage }

// peerStatusChanged is a change of the connection to another instance.
type peerStatusChanged struct{ status port.PeerStatus }

func (serverAnnounced) message()     {}
func (selfChanged) message()         {}
func (peerMessageReceived) message() {}
func (peerStatusChanged) message()   {}

// Service keeps the membership of instances and backend servers.
type Service struct {
	log         *event.Log
	ring        *ring.Ring[message]
	links       port.PeerLinks
	peers       port.Peers
	self        model.Instance
	viewSinks   []func(*model.View)
	reportSinks []func(port.ServerReport)

	// The fields below belong to the members duty.
	machine *member.Machine
	ticks   int
	// laterIncarnation is the last reported incarnation of a later run of this instance.
	laterIncarnation model.Incarnation
}

// New returns the service. The incarnation in self is replaced by that of the peers service.
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
	s.peers.Handle(port.MembersName, memberwire.Codec{}, func(m port.PeerMessage) error { return s.ring.Offer(peerMessageReceived{m}) })
	s.links.SubscribeStatus(func(st port.PeerStatus) error { return s.ring.Offer(peerStatusChanged{st}) })
	return nil
}

// Start implements kernel.Service.
func (s *Service) Start(h *kernel.Host) error {
	h.Go("members", func(ctx context.Context, d *kernel.Duty) {
		s.machine = member.New(time.Now(), s.self, s.links.Alone())
		s.processOutput()
		kernel.Loop[message]{Ring: s.ring, Tick: tickInterval, Handle: s.handle, OnTick: s.onTick,
			Quiet: func() bool { return s.machine.Quiet(time.Now()) }, QuietTick: idleTickInterval}.Run(ctx, d)
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
	return s.ring.Put(context.Background(), serverAnnounced{a})
}

// Subscribe implements port.Members.
func (s *Service) Subscribe(sink func(*model.View)) { s.viewSinks = append(s.viewSinks, sink) }

// SubscribeReports implements port.Members.
func (s *Service) SubscribeReports(sink func(port.ServerReport)) {
	s.reportSinks = append(s.reportSinks, sink)
}

// SetSelf implements port.Members.
func (s *Service) SetSelf(state model.MemberState, withdrawn bool) {
	_ = s.ring.Put(context.Background(), selfChanged{state, withdrawn})
}

func (s *Service) handle(now time.Time, m message) {
	switch m := m.(type) {
	case serverAnnounced:
		s.handleAnnouncement(now, m.announcement)
	case selfChanged:
		s.machine.SetSelf(m.state, m.withdrawn)
	case peerMessageReceived:
		s.handlePeerMessage(now, m.peerMessage)
	case peerStatusChanged:
		s.handleStatus(now, m.status)
	}
	s.processOutput()
}

func (s *Service) onTick(time.Time) {
	// The argument is the time at which the tick was due, which hides a pause of this process.
	s.machine.Tick(time.Now())
	s.processOutput()
	if s.ticks++; s.ticks%listTicks == 0 {
		s.links.SetInstances(s.machine.Known())
	}
}

// handleAnnouncement applies an announcement, answers it, and forwards its load and cache events
// unless the announcement was refused.
func (s *Service) handleAnnouncement(now time.Time, a port.Announcement) {
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
	for _, sink := range s.reportSinks {
		sink(port.ServerReport{Pools: a.Server.Pools, Load: a.Load, Cache: a.Cache})
	}
}

func (s *Service) handlePeerMessage(now time.Time, m port.PeerMessage) {
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

func (s *Service) handleStatus(now time.Time, st port.PeerStatus) {
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

// processOutput sends the machine's messages, logs its state changes and publishes its view.
func (s *Service) processOutput() {
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
	if incarnation := s.machine.Superseded(); incarnation != s.laterIncarnation {
		s.laterIncarnation = incarnation
		s.log.Emit(event.IncarnationUsed, s.self.ID, incarnation)
	}
	if v, ok := s.machine.View(); ok {
		s.links.SetInstances(s.machine.Known())
		for _, sink := range s.viewSinks {
			sink(v)
		}
	}
}

// send queues a message. One that cannot be queued is dropped; the next digest repairs the loss.
func (s *Service) send(to model.InstanceID, body any) {
	_ = s.peers.Send(to, port.MembersName, body)
}
