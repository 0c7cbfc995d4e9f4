package referral

import (
	"context"
	"time"

	"briaryard/internal/decide/referral"
	"briaryard/internal/kernel"
	"briaryard/internal/port"
	"briaryard/internal/ring"
)

const ringCapacity = 1024

// message is an entry of the referral ring: port.PeerMessage, port.ControlMembers or port.PeerStatus.
type message any

// Service answers heartbeats and commands that were meant for a member of the control group.
type Service struct {
	codec port.Codec
	peers port.Peers
	ring  *ring.Ring[message]

	// directory belongs to the referral duty.
	directory *referral.Directory
}

// New returns the service. The codec is that of the control service.
func New(codec port.Codec) *Service {
	return &Service{codec: codec, ring: ring.New[message]("referral", ringCapacity, ring.Refuse), directory: referral.NewDirectory()}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return port.ControlName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return []string{port.PeersName, port.ControlClientName} }

// Provision implements kernel.Service.
func (s *Service) Provision(r kernel.Resolver) error {
	var links port.PeerLinks
	var members port.MembersObserver
	err := r.Bind(kernel.Into(port.PeersName, &s.peers), kernel.Into(port.PeersName, &links), kernel.Into(port.ControlClientName, &members))
	if err != nil {
		return err
	}
	s.peers.Handle(port.ControlName, s.codec, func(m port.PeerMessage) error { return s.ring.Offer(m) })
	links.SubscribeStatus(func(st port.PeerStatus) error { return s.ring.Offer(st) })
	// The members come again with each heartbeat.
	members.SubscribeMembers(func(m port.ControlMembers) { _ = s.ring.Offer(m) })
	return nil
}

// Start implements kernel.Service.
func (s *Service) Start(h *kernel.Host) error {
	h.Go("referral", func(ctx context.Context, d *kernel.Duty) {
		kernel.Loop[message]{Ring: s.ring, Handle: func(_ time.Time, m message) { s.handle(m) }}.Run(ctx, d)
	}, s.ring)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.ring.Close()
	return nil
}

func (s *Service) handle(m message) {
	switch m := m.(type) {
	case port.PeerMessage:
		s.answer(m)
	case port.ControlMembers:
		if m.FromLeader {
			s.directory.SetList(m.Instances)
		} else {
			s.directory.AddList(m.Instances)
		}
	case port.PeerStatus:
		s.directory.SetConnected(&m.Instance, m.State != port.PeerDown)
	}
}

// answer refers the sender to the members. An answer that cannot be sent is lost; the sender asks again.
func (s *Service) answer(m port.PeerMessage) {
	switch b := m.Body.(type) {
	case port.Heartbeat:
		_ = s.peers.Send(m.From, port.ControlClientName, port.HeartbeatReply{Seq: b.Seq, NotLeader: true, Voters: s.directory.Members()})
	case port.CommandRequest:
		_ = s.peers.Send(m.From, port.ControlClientName, port.CommandReply{ID: b.ID, NotLeader: true})
	}
}
