package bodies

import (
	"context"
	"time"

	"briaryard/internal/clock"
	"briaryard/internal/decide/bodies"
	"briaryard/internal/decide/routing"
	"briaryard/internal/event"
	"briaryard/internal/kernel"
	"briaryard/internal/metric"
	"briaryard/internal/port"
	"briaryard/internal/ring"
)

const ringCapacity = 4096

// message is an entry of the bodies ring: port.BodyReservation, release or port.RouteView.
type message any

type release struct{ bytes int64 }

// Service implements port.Bodies.
type Service struct {
	log     *event.Log
	metrics *metric.Set
	ring    *ring.Ring[message]

	// The fields below belong to the bodies duty. table is nil while no configuration is known.
	budget *bodies.Budget
	table  *routing.Table
}

// New returns the service with a budget of a number of bytes.
func New(log *event.Log, m *metric.Set, budget int64) *Service {
	return &Service{log: log, metrics: m, ring: ring.New[message]("bodies", ringCapacity, ring.Block), budget: bodies.NewBudget(budget)}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return port.BodiesName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return []string{port.RoutesName} }

// Provision implements kernel.Service.
func (s *Service) Provision(r kernel.Resolver) error {
	routes, err := kernel.Resolve[port.Routes](r, port.RoutesName)
	if err != nil {
		return err
	}
	routes.SubscribeViews(func(v port.RouteView) { s.put(v) })
	return nil
}

// Start implements kernel.Service.
func (s *Service) Start(h *kernel.Host) error {
	h.Go("bodies", kernel.Loop[message]{Ring: s.ring, Handle: s.handle, Now: clock.Boot}.Run, s.ring)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.ring.Close()
	return nil
}

func (s *Service) put(m message) { _ = s.ring.Put(context.Background(), m) }

// Reserve implements port.Bodies.
func (s *Service) Reserve(r port.BodyReservation) error { return s.ring.Offer(r) }

// Release implements port.Bodies.
func (s *Service) Release(bytes int64) {
	if bytes > 0 {
		s.put(release{bytes})
	}
}

func (s *Service) handle(now time.Time, m message) {
	switch m := m.(type) {
	case port.BodyReservation:
		s.reserve(now, &m)
	case release:
		s.budget.Release(now, m.bytes)
	case port.RouteView:
		s.table = m.Table
	}
	s.metrics.Gauge(metric.BodyBytes, "").Update(s.budget.Used())
}

func (s *Service) reserve(now time.Time, r *port.BodyReservation) {
	urgent := s.table != nil && s.table.MostUrgent(r.Host, r.Path)
	granted, retryAfter := s.budget.Reserve(now, bodies.Request{Bytes: r.Bytes, Held: r.Held, Urgent: urgent})
	if !granted {
		s.log.Emit(event.BodyRefused, r.Attempt, r.Bytes, r.Held, s.budget.Used(), s.budget.Total(), urgent, retryAfter)
		s.metrics.Counter(metric.BodiesRefused, "").Inc(1)
	}
	// The ring of a reservation has room for its answer.
	_ = r.Answer.Offer(port.BodyAnswer{Granted: granted, RetryAfter: retryAfter})
}
