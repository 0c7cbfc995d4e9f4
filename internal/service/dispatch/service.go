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
	// tick is how often undelivered events and lost registrations are tried again.
	tick = 100 * time.Millisecond
	// quietTick is the interval while there is nothing to try again.
	quietTick = time.Second
)

type message interface{ message() }

type register struct{ descriptor model.Descriptor }

type withdraw struct {
	pool model.PoolID
	id   model.RequestID
}

type report struct{ progress model.Progress }

type resync struct{ state port.EntryState }

type leases struct{ leases []port.Lease }

type serverReport struct{ report port.ServerReport }

type received struct{ from port.PeerMessage }

func (register) message()     {}
func (withdraw) message()     {}
func (report) message()       {}
func (resync) message()       {}
func (leases) message()       {}
func (received) message()     {}
func (serverReport) message() {}

// route is what the router knows of a pool's dispatcher.
type route struct {
	holder model.InstanceID
	epoch  model.Epoch
	// stale is set when a message to the dispatcher was lost; the state is sent again.
	stale bool
}

// Service routes between the entry service and dispatchers.
type Service struct {
	log   *event.Log
	ring  *ring.Ring[message]
	peers port.Peers
	// sinks take what the entry service receives; entry keeps their order, because a request
	// for state names the last grant before it.
	events func(port.DispatchEvent) error
	states func(port.StateRequest) error
	entry  *ring.Outbox[any]

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
	s.entry = ring.NewOutbox(s.toEntry)
	return s
}

// toEntry gives a decision or a request for state to the entry service.
func (s *Service) toEntry(m any) error {
	switch m := m.(type) {
	case port.DispatchEvent:
		return s.events(m)
	case port.StateRequest:
		return s.states(m)
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
	// A load report that finds no room is dropped: the next one replaces it.
	members.SubscribeReports(func(report port.ServerReport) { _ = s.ring.Offer(serverReport{report}) })
	control.SubscribeLeases(func(l []port.Lease) { s.put(leases{l}) })
	s.peers.Handle(port.DispatchName, dispatchwire.New(), func(m port.PeerMessage) error { return s.ring.Offer(received{m}) })
	return nil
}

// Start implements kernel.Service.
func (s *Service) Start(h *kernel.Host) error {
	h.Go("dispatch", kernel.Loop[message]{
		Ring: s.ring, Tick: tick, Handle: s.handle, OnTick: s.onTick, Quiet: s.quiet, QuietTick: quietTick,
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
func (s *Service) AttachState(request func(port.StateRequest) error) { s.states = request }

// Register implements port.Dispatch.
func (s *Service) Register(d model.Descriptor) { s.put(register{d}) }

// Withdraw implements port.Dispatch.
func (s *Service) Withdraw(pool model.PoolID, id model.RequestID) { s.put(withdraw{pool, id}) }

// Report implements port.Dispatch.
func (s *Service) Report(p model.Progress) { s.put(report{p}) }

// Resync implements port.Dispatch.
func (s *Service) Resync(st port.EntryState) { s.put(resync{st}) }

func (s *Service) handle(_ time.Time, m message) {
	s.entry.Flush()
	switch m := m.(type) {
	case register:
		s.send(m.descriptor.Pool, port.RegisterMessage{Descriptor: m.descriptor})
	case withdraw:
		s.send(m.pool, port.WithdrawMessage{Pool: m.pool, Request: m.id})
	case report:
		s.send(m.progress.Pool, port.ReportMessage{Progress: m.progress})
	case resync:
		s.send(m.state.Pool, port.StateMessage{State: m.state})
	case leases:
		s.setLeases(m.leases)
	case received:
		s.received(m.from)
	case serverReport:
		s.sendReport(m.report)
	}
}

func (s *Service) onTick(time.Time) {
	s.entry.Flush()
	for pool, r := range s.routes {
		if r.stale && r.holder != "" {
			r.stale = false
			s.entry.Send(port.StateRequest{Pool: pool})
		}
	}
}

// quiet reports that there is nothing to try again.
func (s *Service) quiet() bool {
	for _, r := range s.routes {
		if r.stale {
			return false
		}
	}
	return s.entry.Pending() == 0
}

// send passes a message to a pool's dispatcher. If it cannot be queued, the state is sent
// again later.
func (s *Service) send(pool model.PoolID, body any) {
	r := s.routes[pool]
	if r == nil || r.holder == "" {
		return
	}
	if err := s.peers.Send(r.holder, port.DispatcherName, body); err != nil {
		r.stale = true
	}
}

// sendReport passes a backend server's report to the dispatchers of its pools, once to
// each instance.
func (s *Service) sendReport(r port.ServerReport) {
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

// setHolder records the holder of a pool's lease. Epochs never go back.
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

func (s *Service) received(m port.PeerMessage) {
	switch b := m.Body.(type) {
	case port.EventMessage:
		if r := s.routes[b.Event.Pool]; r != nil && b.Event.Epoch < r.epoch {
			return
		}
		s.setHolder(b.Event.Pool, m.From, b.Event.Epoch)
		s.entry.Send(b.Event)
	case port.StateRequest:
		if r := s.routes[b.Pool]; r != nil && b.Epoch < r.epoch {
			return
		}
		s.setHolder(b.Pool, m.From, b.Epoch)
		s.entry.Send(b)
	}
}
