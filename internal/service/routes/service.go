package routes

import (
	"context"
	"time"

	"briaryard/internal/decide/routing"
	"briaryard/internal/decide/state"
	"briaryard/internal/event"
	"briaryard/internal/kernel"
	"briaryard/internal/metric"
	"briaryard/internal/port"
	"briaryard/internal/ring"
)

// ringCapacity bounds the queued configurations and confirmations. Senders block while the ring is
// full, because each configuration is sent only once.
const ringCapacity = 256

// message is state.AcceptedConfig or port.ConfigAsOf.
type message any

// Service publishes views of the configuration of routes in force.
type Service struct {
	log     *event.Log
	metrics *metric.Set
	ring    *ring.Ring[message]
	control port.ControlClient
	codec   port.RouteConfigCodec
	sinks   []func(port.RouteView)

	// The fields below belong to the routes duty.
	view port.RouteView
	asOf port.ConfigAsOf
}

// New returns the service.
func New(log *event.Log, m *metric.Set) *Service {
	return &Service{log: log, metrics: m, ring: ring.New[message]("routes", ringCapacity, ring.Block)}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return port.RoutesName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string {
	return []string{port.ControlClientName, port.RouteConfigCodecName}
}

// Provision implements kernel.Service.
func (s *Service) Provision(r kernel.Resolver) error {
	var fresh port.ConfigFreshness
	err := r.Bind(kernel.Into(port.ControlClientName, &s.control), kernel.Into(port.ControlClientName, &fresh),
		kernel.Into(port.RouteConfigCodecName, &s.codec))
	if err != nil {
		return err
	}
	s.control.SubscribeConfig(func(c state.AcceptedConfig) { s.put(c) })
	fresh.SubscribeAsOf(func(a port.ConfigAsOf) { s.put(a) })
	return nil
}

func (s *Service) put(m message) { _ = s.ring.Put(context.Background(), m) }

// Start implements kernel.Service.
func (s *Service) Start(h *kernel.Host) error {
	h.Go("routes", kernel.Loop[message]{Ring: s.ring, Handle: s.handle}.Run, s.ring)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.ring.Close()
	return nil
}

// SubscribeViews implements port.Routes.
func (s *Service) SubscribeViews(sink func(port.RouteView)) { s.sinks = append(s.sinks, sink) }

func (s *Service) handle(_ time.Time, m message) {
	switch m := m.(type) {
	case state.AcceptedConfig:
		s.apply(m)
	case port.ConfigAsOf:
		if m.Revision >= s.asOf.Revision && m.At.After(s.asOf.At) {
			s.asOf = m
		}
	}
	if s.view.Table != nil && s.asOf.Revision == s.view.Table.Revision() && s.asOf.At.After(s.view.AsOf) {
		s.view.AsOf = s.asOf.At
		s.publish()
	}
}

// apply puts a newer configuration in force and confirms it, if it can be decoded.
func (s *Service) apply(c state.AcceptedConfig) {
	if s.view.Table != nil && c.Revision <= s.view.Table.Revision() {
		return
	}
	d, err := s.codec.DecodeRouteConfig(c.Content)
	if err != nil {
		// The operator endpoint validates a configuration before it is proposed, so this happens
		// only when instances run different versions of the program.
		s.log.Emit(event.ConfigUnreadable, c.Revision, err.Error())
		return
	}
	d.Revision = c.Revision
	s.view.Table = routing.New(d)
	s.metrics.Gauge(metric.Revision, "").Update(int64(c.Revision))
	s.control.ConfirmConfig(c.Revision)
	s.log.Emit(event.RoutesInForce, c.Revision, len(d.Routes), len(d.Services), len(d.Teams))
	s.publish()
}

func (s *Service) publish() {
	for _, sink := range s.sinks {
		sink(s.view)
	}
}
