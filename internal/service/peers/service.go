package peers

import (
	"context"

	"briaryard/internal/fault"
	"briaryard/internal/kernel"
	"briaryard/internal/model"
	"briaryard/internal/port"
)

// Service delivers messages between the services of this instance.
type Service struct {
	self        model.InstanceID
	incarnation model.Incarnation
	sinks       map[string]func(port.PeerMessage) error
}

// New returns the service.
func New(self model.InstanceID, incarnation model.Incarnation) *Service {
	return &Service{self: self, incarnation: incarnation, sinks: make(map[string]func(port.PeerMessage) error)}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return port.PeersName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return nil }

// Provision implements kernel.Service.
func (s *Service) Provision(kernel.Resolver) error { return nil }

// Start implements kernel.Service.
func (s *Service) Start(*kernel.Host) error { return nil }

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error { return nil }

// Self implements port.Peers.
func (s *Service) Self() (model.InstanceID, model.Incarnation) { return s.self, s.incarnation }

// Handle implements port.Peers.
func (s *Service) Handle(service string, _ port.Codec, sink func(port.PeerMessage) error) {
	s.sinks[service] = sink
}

// Send implements port.Peers.
func (s *Service) Send(to model.InstanceID, service string, body any) error {
	sink, ok := s.sinks[service]
	if to != s.self || !ok {
		return &fault.PeerUnreachable{Instance: to}
	}
	return sink(port.PeerMessage{From: s.self, Incarnation: s.incarnation, Body: body})
}
