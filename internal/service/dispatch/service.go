package dispatch

import (
	"context"
	"time"

	"briaryard/internal/event"
	"briaryard/internal/kernel"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
	"briaryard/internal/wire/dispatchwire"
)

const (
	ringCapacity = 8192
	// tickInterval is how often undelivered events are retried and the state is sent again after
	// a lost message.
	tickInterval = 100 * time.Millisecond
	// idleTickInterval is the tick interval while there is nothing to retry.
	idleTickInterval = time.Second
)

type message interface{ message() }

type registerRequest struct{ descriptor model.Descriptor }

type withdrawRequest struct {
	pool model.PoolID
	id   model.RequestID
}

type progressReport struct{ progress model.Progress }

type entryState struct{ state port.EntryState }

type leasesChanged struct{ leases []port.Lease }

type serverReport struct{ report port.ServerReport }

type peerMessage struct{ msg port.PeerMessage }

func (registerRequest) message() {}
func (withdrawRequest) message() {}
func (progressReport) message()  {}
func (entryState) message()      {}
func (leasesChanged) message()   {}
func (peerMessage) message()     {}
func (serverReport) message()    {}

// route is the latest known dispatcher of a pool.
type route struct {
	holder model.InstanceID
	epoch  model.Epoch
	// stale is set when a message to the dispatcher was lost; the next tick has the entry service
	// send its state again.
	stale bool
}

// Service routes messages between the entry service and the dispatchers.
type Service struct {
	log   *event.Log
	ring  *ring.Ring[message]
	peers port.Peers
	// events and stateRequests deliver to the entry service. Both go through outbox in order,
	// because a request for state names the last grant before it.
	events        func(port.DispatchEvent) error
	stateRequests func(port.StateRequest) error
	outbox        *ring.Outbox[any]

	// routes belongs to the dispatch duty.
	routes map[model.PoolID]*route
}

// New returns the service.
func New(log *event.Log) *Service {
	s := &Service{
		log:    log,
		ring:   ring.New[message]("dispatch", ringCapacity, ring.Block),
		routes: make(map[model.PoolID]*route),
	}
	s.outbox = ring.NewOutbox(s.sendToEntry)
	return s
}

// sendToEntry delivers a decision or a request for state to the entry service.
func (s *Service) sendToEntry(m any) error {
	switch m := m.(type) {
	case port.DispatchEvent:
		return s.events(m)
	case port.StateRequest:
		return s.stateRequests(m)
	}
	return nil
}

// Name implements kernel.Service.
func (s *Service) Name() string { return port.DispatchName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string {
	return []string{port.PeersName, port.MembersName, port.ControlClientName}
}

// Provision implements kernel.Service.
func (s *Service) Provision(r kernel.Resolver) error {
	var (
		members port.Members
		control port.ControlClient
	)
	err := r.Bind(
		kernel.Into(port.PeersName, &s.peers),
		kernel.Into(port.MembersName, &members),
		kernel.Into(port.ControlClientName, &control),
	)
	if err != nil {
		return err
	}
	// A load report is dropped when the ring is full, because the next one replaces it.
	members.SubscribeReports(func(report port.ServerReport) { _ = s.ring.Offer(serverReport{report}) })
	control.SubscribeLeases(func(l []port.Lease) { s.put(leasesChanged{l}) })
	s.peers.Handle(port.DispatchName, dispatchwire.New(), func(m port.PeerMessage) error { return s.ring.Offer(peerMessage{m}) })
	return nil
}

// Start implements kernel.Service.
func (s *Service) Start(h *kernel.Host) error {
	h.Go("dispatch", kernel.Loop[message]{
		Ring: s.ring, Tick: tickInterval, Handle: s.handle, OnTick: s.onTick, Quiet: s.idle, QuietTick: idleTickInterval,
	}.Run, s.ring)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.ring.Close()
	return nil
}

func (s *Service) put(m message) { _ = s.ring.Put(context.Background(), m) }

// Attach implements port.Dispatch.
func (s *Service) Attach(sink func(port.DispatchEvent) error) { s.events = sink }

// AttachState implements port.Dispatch.
func (s *Service) AttachState(request func(port.StateRequest) error) { s.stateRequests = request }

// Register implements port.Dispatch.
func (s *Service) Register(d model.Descriptor) { s.put(registerRequest{d}) }

// Withdraw implements port.Dispatch.
func (s *Service) Withdraw(pool model.PoolID, id model.RequestID) { s.put(withdrawRequest{pool, id}) }

// Report implements port.Dispatch.
func (s *Service) Report(p model.Progress) { s.put(progressReport{p}) }

// Resync implements port.Dispatch.
func (s *Service) Resync(st port.EntryState) { s.put(entryState{st}) }

func (s *Service) handle(_ time.Time, m message) {
	s.outbox.Flush()
	switch m := m.(type) {
	case registerRequest:
		s.send(m.descriptor.Pool, port.RegisterMessage{Descriptor: m.descriptor})
	case withdrawRequest:
		s.send(m.pool, port.WithdrawMessage{Pool: m.pool, Request: m.id})
	case progressReport:
		s.send(m.progress.Pool, port.ReportMessage{Progress: m.progress})
	case entryState:
		s.send(m.state.Pool, port.StateMessage{State: m.state})
	case leasesChanged:
		s.setLeases(m.leases)
	case peerMessage:
		s.handlePeerMessage(m.msg)
	case serverReport:
		s.sendServerReport(m.report)
	}
}

func (s *Service) onTick(time.Time) {
	s.outbox.Flush()
	for pool, r := range s.routes {
		if r.stale && r.holder != "" {
			r.stale = false
			s.outbox.Send(port.StateRequest{Pool: pool})
		}
	}
}

// idle reports whether there is nothing to retry.
func (s *Service) idle() bool {
	for _, r := range s.routes {
		if r.stale {
			return false
		}
	}
	return s.outbox.Pending() == 0
}

// send sends a message to a pool's dispatcher. If it cannot be queued, the route is marked stale,
// so that the state is sent again later.
func (s *Service) send(pool model.PoolID, body any) {
	r := s.routes[pool]
	if r == nil || r.holder == "" {
		return
	}
	if err := s.peers.Send(r.holder, port.DispatcherName, body); err != nil {
		r.stale = true
	}
}

// sendServerReport sends a backend server's report to the dispatchers of its pools, once per
// instance.
func (s *Service) sendServerReport(r port.ServerReport) {
	sent := make(map[model.InstanceID]bool)
	for _, pool := range r.Pools {
		if to := s.routes[pool]; to != nil && to.holder != "" && !sent[to.holder] {
			sent[to.holder] = true
			_ = s.peers.Send(to.holder, port.DispatcherName, port.ServerReportMessage{Report: r})
		}
	}
}

func (s *Service) setLeases(all []port.Lease) {
	for _, l := range all {
		pool, ok := port.LeasePool(l.Name)
		if !ok {
			continue
		}
		s.setHolder(pool, l.Holder, l.Epoch)
	}
}

// setHolder records the holder of a pool's lease. It ignores an epoch lower than the recorded one.
func (s *Service) setHolder(pool model.PoolID, holder model.InstanceID, epoch model.Epoch) {
	r := s.routes[pool]
	if r == nil {
		r = &route{}
		s.routes[pool] = r
	}
	if epoch >= r.epoch {
		r.holder = holder
		r.epoch = epoch
	}
}

func (s *Service) handlePeerMessage(m port.PeerMessage) {
	switch b := m.Body.(type) {
	case port.EventMessage:
		if r := s.routes[b.Event.Pool]; r != nil && b.Event.Epoch < r.epoch {
			return
		}
		s.setHolder(b.Event.Pool, m.From, b.Event.Epoch)
		s.outbox.Send(b.Event)
	case port.StateRequest:
		if r := s.routes[b.Pool]; r != nil && b.Epoch < r.epoch {
			return
		}
		s.setHolder(b.Pool, m.From, b.Epoch)
		s.outbox.Send(b)
	}
}
