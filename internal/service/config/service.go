package config

import (
	"context"
	"time"

	"briaryard/internal/decide/state"
	"briaryard/internal/declare"
	"briaryard/internal/event"
	"briaryard/internal/kernel"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
)

// Service parses accepted configurations and publishes the one in force.
type Service struct {
	log *event.Log
	// place selects the exceptions for this instance and its failure domain.
	place   declare.Place
	control port.ControlClient
	// ring holds one item because only the newest configuration matters.
	ring  *ring.Ring[state.AcceptedConfig]
	sinks []func(*model.Config)
	// revision is the last published one; it belongs to the config duty.
	revision model.Revision
}

// New returns the service of the instance at a place.
func New(log *event.Log, place declare.Place) *Service {
	return &Service{log: log, place: place, ring: ring.New[state.AcceptedConfig]("config", 1, ring.ReplaceOldest)}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return port.ConfigName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return []string{port.ControlClientName} }

// Provision implements kernel.Service.
func (s *Service) Provision(r kernel.Resolver) error {
	var err error
	if s.control, err = kernel.Resolve[port.ControlClient](r, port.ControlClientName); err != nil {
		return err
	}
	s.control.SubscribeConfig(func(c state.AcceptedConfig) { _ = s.ring.Offer(c) })
	return nil
}

// Start implements kernel.Service.
func (s *Service) Start(h *kernel.Host) error {
	h.Go("config", kernel.Loop[state.AcceptedConfig]{Ring: s.ring, Handle: s.handle}.Run, s.ring)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.ring.Close()
	return nil
}

// Subscribe implements port.Config.
func (s *Service) Subscribe(sink func(*model.Config)) { s.sinks = append(s.sinks, sink) }

// handle parses an accepted configuration, publishes it and confirms its revision. It ignores a
// revision that is not newer than the published one.
func (s *Service) handle(_ time.Time, accepted state.AcceptedConfig) {
	if accepted.Revision <= s.revision {
		return
	}
	c, err := declare.ParseAt(accepted.Content, s.place)
	if err != nil {
		// The operator endpoint checks a change before it is proposed, so this happens
		// only when instances run different versions of the program.
		s.log.Emit(event.ConfigUnreadable, accepted.Revision, err.Error())
		return
	}
	c.Revision = accepted.Revision
	s.revision = accepted.Revision
	for _, sink := range s.sinks {
		sink(c)
	}
	s.control.ConfirmConfig(accepted.Revision)
	s.log.Emit(event.ConfigInForce, accepted.Revision, accepted.ChangeID, accepted.Operator)
}
