package placement

import (
	"context"
	"time"

	decide "briaryard/internal/decide/placement"
	"briaryard/internal/event"
	"briaryard/internal/kernel"
	"briaryard/internal/metric"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
	"briaryard/internal/wire/dispatchwire"
)

const (
	// ringCapacity holds the demand of all pools and the results of one order per engine at the
	// design size.
	ringCapacity = 1024
	// tickInterval is the resolution of decisions. It need not be finer, because loading a model
	// takes seconds or more.
	tickInterval = 100 * time.Millisecond
	// publishInterval is how often the state is published to operators while no decisions are made.
	publishInterval = time.Second
	// resultTimeout is how long the result of an order may take. It exceeds the dial and response
	// timeouts of the engine client.
	resultTimeout = 6 * time.Second
	// takeoverWait is the time after which the previous holder's lease has expired, whichever clock
	// runs faster within the maximum drift, and an order that it had begun to send has arrived or
	// was dropped by the engine.
	takeoverWait = (port.LeaseDuration + port.OrderArrivalLimit) * (100 + port.MaxClockDrift) / 100
)

type message interface{ message() }

type leasesChanged struct{ leases []port.Lease }

type viewChanged struct{ view *model.View }

type configChanged struct{ config *model.Config }

type peerMessage struct{ msg port.PeerMessage }

type orderResult struct {
	order   model.OrderID
	outcome decide.Outcome
	err     error
}

func (leasesChanged) message() {}
func (viewChanged) message()   {}
func (configChanged) message() {}
func (peerMessage) message()   {}
func (orderResult) message()   {}

// Service gives orders to engines.
type Service struct {
	log     *event.Log
	metrics *metric.Set
	ring    *ring.Ring[message]
	peers   port.Peers
	client  port.OrderClient
	self    model.InstanceID
	sinks   []func(port.PlacementStatus)

	// The fields below belong to the placement duty.
	machine     *decide.Machine
	lease       decide.Lease
	leases      []port.Lease
	viewSettled bool
	publishedAt time.Time
	// hasPlacement is set if the configuration has a placement section, publishedNonEmpty if the
	// last published state was not empty.
	hasPlacement      bool
	publishedNonEmpty bool
}

// New returns the service.
func New(log *event.Log, metrics *metric.Set) *Service {
	return &Service{
		log: log, metrics: metrics,
		ring:    ring.New[message](port.PlacementName, ringCapacity, ring.Refuse),
		machine: decide.New(decide.Options{TakeoverWait: takeoverWait, ResultWithin: resultTimeout}),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return port.PlacementName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string {
	return []string{port.PeersName, port.MembersName, port.ControlClientName, port.ConfigName, port.EngineClientName}
}

// Provision implements kernel.Service.
func (s *Service) Provision(r kernel.Resolver) error {
	var (
		members port.Members
		control port.ControlClient
		config  port.Config
	)
	err := r.Bind(
		kernel.Into(port.PeersName, &s.peers),
		kernel.Into(port.MembersName, &members),
		kernel.Into(port.ControlClientName, &control),
		kernel.Into(port.ConfigName, &config),
		kernel.Into(port.EngineClientName, &s.client),
	)
	if err != nil {
		return err
	}
	s.self, _ = s.peers.Self()
	control.SubscribeLeases(func(l []port.Lease) { s.offer(leasesChanged{l}) })
	members.Subscribe(func(v *model.View) { s.offer(viewChanged{v}) })
	config.Subscribe(func(c *model.Config) { s.offer(configChanged{c}) })
	s.peers.Handle(port.PlacementName, dispatchwire.New(), func(m port.PeerMessage) error { return s.ring.Offer(peerMessage{m}) })
	return nil
}

// Start implements kernel.Service.
func (s *Service) Start(h *kernel.Host) error {
	h.Go(port.PlacementName, kernel.Loop[message]{
		Ring: s.ring, Tick: tickInterval, Handle: s.handle, OnTick: s.onTick,
	}.Run, s.ring)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.ring.Close()
	return nil
}

// SubscribePlacement implements port.Placement.
func (s *Service) SubscribePlacement(sink func(port.PlacementStatus)) {
	s.sinks = append(s.sinks, sink)
}

func (s *Service) offer(m message) {
	if err := s.ring.Offer(m); err != nil {
		s.log.Emit(event.RingRefused, port.PlacementName, err.Error())
	}
}

func (s *Service) handle(now time.Time, m message) {
	switch m := m.(type) {
	case leasesChanged:
		s.leases = m.leases
		s.setLease(now)
	case viewChanged:
		changed := s.viewSettled != m.view.Settled
		s.viewSettled = m.view.Settled
		s.machine.SetServers(now, m.view.Servers)
		if changed {
			s.setLease(now)
		}
	case configChanged:
		s.hasPlacement = m.config.Placement != nil
		s.machine.SetConfig(m.config)
	case peerMessage:
		if d, ok := m.msg.Body.(port.DemandMessage); ok {
			s.machine.SetDemand(now, decide.Demand{Pool: d.Pool, Requests: d.Requests})
		}
	case orderResult:
		s.handleResult(now, m)
	}
}

// setLease applies the lease of the latest lease table. The lease counts only once the view is
// settled, because engines may be missing from it before. A fleet of one instance receives its
// table only once, so the table is kept until then.
func (s *Service) setLease(now time.Time) {
	var l decide.Lease
	for _, e := range s.leases {
		if e.Name == port.PlacementLease && e.Holder == s.self && !e.Lapsed && s.viewSettled {
			l = decide.Lease{Held: true, Epoch: e.Epoch, Until: e.Until}
		}
	}
	previous := s.lease
	s.lease = l
	s.machine.SetLease(now, l)
	if previous.Held && (!l.Held || l.Epoch != previous.Epoch) {
		s.log.Emit(event.PlacementStopped, previous.Epoch)
	}
	if l.Held && (!previous.Held || l.Epoch != previous.Epoch) {
		s.log.Emit(event.PlacementStarted, l.Epoch)
	}
}

// handleResult logs and counts the result of an order and passes it to the machine.
func (s *Service) handleResult(now time.Time, r orderResult) {
	failure := ""
	if r.err != nil {
		failure = r.err.Error()
	}
	s.log.Emit(event.PlacementAnswered, r.order.String(), r.outcome.String(), failure)
	s.metrics.Counter(metric.PlacementOrders, r.outcome.String()).Inc(1)
	s.machine.Result(now, r.order, r.outcome)
}

func (s *Service) onTick(now time.Time) {
	if !s.hasPlacement && !s.publishedNonEmpty {
		return
	}
	s.machine.Step(now)
	decisions := s.machine.Take()
	for i := range decisions {
		s.perform(&decisions[i])
	}
	if len(decisions) > 0 || now.Sub(s.publishedAt) >= publishInterval {
		s.publish(now)
	}
}

// perform logs a decision, and sends the order if it is one.
func (s *Service) perform(d *decide.Decision) {
	o, in := &d.Order, &d.Inputs
	switch d.Kind {
	case decide.Ordered:
		s.log.Emit(event.PlacementOrdered, o.ID.String(), o.Kind.String(), o.Server, o.Model, o.Adapter, d.Reason,
			in.Pool, in.Domain, in.Want, in.Have, in.Loads, in.Limit, in.Gains, in.Loses, d.Server.ChecksFencing)
		id := o.ID
		s.client.Order(port.OrderCall{Order: *o, Address: d.Server.Address, Until: d.Until}, func(outcome decide.Outcome, err error) {
			s.offer(orderResult{id, outcome, err})
		})
	case decide.Withheld:
		s.log.Emit(event.PlacementWithheld, d.Reason, in.Pool, in.Domain, in.Want, in.Have, in.Loads, in.Limit)
	case decide.Settled:
		s.log.Emit(event.PlacementSettled, o.ID.String(), o.Kind.String(), o.Server, o.Model, o.Adapter, d.Reason)
	}
}

// publish updates the metrics and sends the state to the subscribers.
func (s *Service) publish(now time.Time) {
	s.publishedAt = now
	state := s.machine.State()
	s.publishedNonEmpty = state.Held || len(state.Orders)+len(state.Shortages) > 0
	missing := 0
	for _, m := range state.Shortages {
		missing += m.Want - m.Have
	}
	s.metrics.Gauge(metric.PlacementMissing, "").Update(int64(missing))
	s.metrics.Gauge(metric.PlacementOutstanding, "").Update(int64(len(state.Orders)))
	for _, sink := range s.sinks {
		sink(port.PlacementStatus{State: state})
	}
}
