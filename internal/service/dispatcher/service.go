package dispatcher

import (
	"context"
	"slices"
	"time"

	decide "briaryard/internal/decide/dispatch"
	"briaryard/internal/event"
	"briaryard/internal/kernel"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
	"briaryard/internal/wire/dispatchwire"
)

const (
	ringCapacity = 8192
	// tickInterval is the resolution of deadlines and of adaptive windows.
	tickInterval = 20 * time.Millisecond
	// idleTickInterval is the tick interval while no pool has a request. Ticks continue because
	// they send the comparisons.
	idleTickInterval = 500 * time.Millisecond
)

type message interface{ message() }

type leasesChanged struct{ leases []port.Lease }

type viewChanged struct{ view *model.View }

type configChanged struct{ config *model.Config }

type peerMessage struct{ msg port.PeerMessage }

// peerReset reports that messages from or to an instance may have been lost.
type peerReset struct{ instance model.InstanceID }

func (leasesChanged) message() {}
func (viewChanged) message()   {}
func (configChanged) message() {}
func (peerMessage) message()   {}
func (peerReset) message()     {}

// pool is a pool whose dispatcher lease is held by this instance.
type pool struct {
	machine   *decide.Pool
	epoch     model.Epoch
	startedAt time.Time
	ready     bool
	// stateRequestedAt is when all instances were last asked for their requests.
	stateRequestedAt time.Time
	// demandReportedAt is when the demand was last sent to the holder of the placement lease.
	demandReportedAt time.Time
	// comparedAt is when instances were last asked to compare their requests; compareIndex is the
	// index in the view of the last of them.
	comparedAt   time.Time
	compareIndex int
}

// Service runs the dispatchers of the pools whose leases this instance holds.
type Service struct {
	log   *event.Log
	ring  *ring.Ring[message]
	peers port.Peers
	self  model.InstanceID

	// The fields below belong to the dispatcher duty.
	pools  map[model.PoolID]*pool
	view   *model.View
	config *model.Config
	// leases is the latest lease table.
	leases []port.Lease
	outbox *outbox
	// stateRequests are sent after the decisions of the current message or tick.
	stateRequests []stateRequest
}

// New returns the service.
func New(log *event.Log) *Service {
	s := &Service{
		log:    log,
		ring:   ring.New[message]("dispatcher", ringCapacity, ring.Refuse),
		pools:  make(map[model.PoolID]*pool),
		view:   &model.View{},
		config: &model.Config{},
	}
	s.outbox = newOutbox(func(to model.InstanceID, body any) error { return s.peers.Send(to, port.DispatchName, body) })
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return port.DispatcherName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string {
	return []string{port.PeersName, port.MembersName, port.ControlClientName, port.ConfigName}
}

// Provision implements kernel.Service.
func (s *Service) Provision(r kernel.Resolver) error {
	var (
		members port.Members
		control port.ControlClient
		config  port.Config
		links   port.PeerLinks
	)
	err := r.Bind(
		kernel.Into(port.PeersName, &s.peers),
		kernel.Into(port.PeersName, &links),
		kernel.Into(port.MembersName, &members),
		kernel.Into(port.ControlClientName, &control),
		kernel.Into(port.ConfigName, &config),
	)
	if err != nil {
		return err
	}
	s.self, _ = s.peers.Self()
	control.SubscribeLeases(func(l []port.Lease) { s.offer(leasesChanged{l}) })
	members.Subscribe(func(v *model.View) { s.offer(viewChanged{v}) })
	config.Subscribe(func(c *model.Config) { s.offer(configChanged{c}) })
	links.SubscribeStatus(func(st port.PeerStatus) error {
		if st.State != port.PeerReset {
			return nil
		}
		return s.ring.Offer(peerReset{st.Instance.ID})
	})
	s.peers.Handle(port.DispatcherName, dispatchwire.New(), func(m port.PeerMessage) error { return s.ring.Offer(peerMessage{m}) })
	return nil
}

// Start implements kernel.Service.
func (s *Service) Start(h *kernel.Host) error {
	h.Go("dispatcher", kernel.Loop[message]{
		Ring: s.ring, Tick: tickInterval, Handle: s.handle, OnTick: s.onTick, Quiet: s.idle, QuietTick: idleTickInterval,
	}.Run, s.ring)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.ring.Close()
	return nil
}

func (s *Service) offer(m message) {
	if err := s.ring.Offer(m); err != nil {
		s.log.Emit(event.RingRefused, "dispatcher", err.Error())
	}
}

func (s *Service) handle(now time.Time, m message) {
	switch m := m.(type) {
	case leasesChanged:
		s.leases = m.leases
		s.setLeases(now, m.leases)
	case viewChanged:
		s.setView(now, m.view)
	case configChanged:
		s.config = m.config
		for _, p := range s.pools {
			p.machine.SetConfig(now, m.config)
		}
	case peerMessage:
		s.handlePeerMessage(now, m.msg)
	case peerReset:
		for id := range s.pools {
			s.stateRequests = append(s.stateRequests, stateRequest{to: m.instance, pool: id})
		}
	}
	s.sendDecisions(now)
}

func (s *Service) onTick(now time.Time) {
	s.outbox.flush()
	for id, p := range s.pools {
		p.machine.Tick(now)
		if !p.ready && now.Sub(p.stateRequestedAt) >= stateRequestTimeout {
			s.requestStates(now, id, p)
		}
		if p.ready && now.Sub(p.demandReportedAt) >= port.DemandInterval {
			s.reportDemand(now, id, p)
		}
		s.requestComparisons(now, id, p)
	}
	s.sendDecisions(now)
}

// reportDemand sends the demand of a pool to the holder of the placement lease. A report that
// cannot be sent is dropped, because the next one replaces it.
func (s *Service) reportDemand(now time.Time, id model.PoolID, p *pool) {
	p.demandReportedAt = now
	for _, l := range s.leases {
		if l.Name == port.PlacementLease && l.Holder != "" {
			_ = s.peers.Send(l.Holder, port.PlacementName, port.DemandMessage{Pool: id, Requests: p.machine.Demand()})
		}
	}
}

// idle reports whether nothing waits for the next tick: all pools are ready and empty, and the
// outbox is empty.
func (s *Service) idle() bool {
	for _, p := range s.pools {
		if !p.ready || !p.machine.Empty() {
			return false
		}
	}
	return len(s.outbox.pending) == 0
}

// setLeases starts and stops pools to match the leases held by this instance.
func (s *Service) setLeases(now time.Time, all []port.Lease) {
	held := make(map[model.PoolID]port.Lease)
	for _, l := range all {
		if id, ok := port.LeasePool(l.Name); ok && l.Holder == s.self {
			held[id] = l
		}
	}
	for id, p := range s.pools {
		l, ok := held[id]
		if !ok || l.Epoch != p.epoch {
			delete(s.pools, id)
			s.log.Emit(event.DispatcherStopped, id, p.epoch)
			continue
		}
		p.machine.SetLapsed(now, l.Lapsed)
	}
	for id, l := range held {
		// Until the view is settled, an instance with waiting requests may be missing from it.
		if s.pools[id] == nil && s.view.Settled && !l.Lapsed {
			s.startPool(now, id, l.Epoch)
		}
	}
}

func (s *Service) startPool(now time.Time, id model.PoolID, epoch model.Epoch) {
	var expected []model.InstanceID
	for _, i := range s.view.Instances {
		if i.State != model.Gone {
			expected = append(expected, i.ID)
		}
	}
	p := &pool{machine: decide.NewPool(id, epoch, expected), epoch: epoch, startedAt: now, comparedAt: now}
	s.pools[id] = p
	s.log.Emit(event.DispatcherStarted, id, epoch)
	p.machine.SetConfig(now, s.config)
	p.machine.SetInstances(s.view.Instances)
	p.machine.SetServers(now, serversOf(s.view, id))
	s.requestStates(now, id, p)
}

func serversOf(v *model.View, id model.PoolID) []model.BackendServer {
	var out []model.BackendServer
	for _, srv := range v.Servers {
		if srv.State != model.Gone && srv.Serves(id) {
			out = append(out, srv)
		}
	}
	return out
}

// setView applies a new membership view to all pools: it updates their instances and servers
// and frees the grants of instances that have been removed or restarted.
func (s *Service) setView(now time.Time, v *model.View) {
	old := s.view
	s.view = v
	defer s.setLeases(now, s.leases)
	for _, previous := range old.Instances {
		if current, ok := v.Instance(previous.ID); !ok || current.State == model.Gone || current.Incarnation > previous.Incarnation {
			s.outbox.drop(previous.ID)
		}
	}
	for id, p := range s.pools {
		s.requestNewStates(old, id)
		p.machine.SetInstances(v.Instances)
		p.machine.SetServers(now, serversOf(v, id))
		for _, previous := range old.Instances {
			current, ok := v.Instance(previous.ID)
			switch {
			case !ok || current.State == model.Gone:
				p.machine.InstanceGone(now, previous.ID, previous.Incarnation)
			case current.Incarnation > previous.Incarnation:
				p.machine.InstanceGone(now, previous.ID, previous.Incarnation)
			}
		}
	}
}

func (s *Service) handlePeerMessage(now time.Time, m port.PeerMessage) {
	if s.isOutdated(m) {
		return
	}
	switch b := m.Body.(type) {
	case port.RegisterMessage:
		if p := s.pools[b.Descriptor.Pool]; p != nil {
			p.machine.Register(now, b.Descriptor)
		}
	case port.WithdrawMessage:
		if p := s.pools[b.Pool]; p != nil {
			p.machine.Withdraw(now, b.Request)
		}
	case port.ReportMessage:
		if p := s.pools[b.Progress.Pool]; p != nil {
			p.machine.Report(now, b.Progress)
		}
	case port.StateMessage:
		if p := s.pools[b.State.Pool]; p != nil {
			s.reconcile(now, p, m.From, b.State)
		}
	case port.ServerReportMessage:
		s.handleServerReport(now, b.Report)
	}
}

func (s *Service) handleServerReport(now time.Time, r port.ServerReport) {
	for id, p := range s.pools {
		if !slices.Contains(r.Pools, id) {
			continue
		}
		if r.Load != nil {
			p.machine.Load(now, *r.Load)
		}
		if len(r.Cache) > 0 {
			p.machine.Cache(now, r.Cache)
		}
	}
}

// sendDecisions logs the decisions of all pools and sends them to the instances that own the
// requests, followed by the pending requests for state.
func (s *Service) sendDecisions(now time.Time) {
	for id, p := range s.pools {
		if !p.ready && p.machine.Ready() {
			p.ready = true
			waiting, outstanding := p.machine.Counts()
			s.log.Emit(event.DispatcherReady, id, p.epoch, waiting, outstanding, now.Sub(p.startedAt).String())
		}
		for _, d := range p.machine.Take() {
			s.sendDecision(id, p.epoch, d)
		}
	}
	s.sendStateRequests()
}

func (s *Service) sendDecision(id model.PoolID, epoch model.Epoch, d decide.Decision) {
	e := port.DispatchEvent{
		ID: d.Descriptor.ID, Pool: id, Epoch: epoch, Grant: d.Grant, Sequence: d.Sequence,
		Tier: d.Descriptor.Tier, Deadline: d.Descriptor.Deadline,
	}
	request := d.Descriptor.ID.String()
	switch d.Kind {
	case decide.Granted:
		e.Kind = port.DispatchGranted
		s.log.Emit(event.DispatchGranted, request, id, d.Descriptor.Tier.String(), d.Descriptor.Team,
			d.Grant.Server, epoch, d.Reason, d.Waiting, d.Outstanding)
	case decide.Duplicate:
		e.Kind = port.DispatchDuplicate
		s.log.Emit(event.DispatchDuplicate, request, id)
	case decide.Shed, decide.DeadlineUnreachable, decide.NoServer:
		e.Kind = port.DispatchEvicted
		e.Reason = evictReasons[d.Kind]
		s.log.Emit(event.DispatchEvicted, request, id, d.Descriptor.Tier.String(), d.Descriptor.Team, d.Reason, d.Waiting)
	}
	if !s.outbox.put(d.Descriptor.ID.Instance, port.EventMessage{Event: e}) {
		// The pool keeps the request until the membership removes the instance.
		s.log.Emit(event.RingRefused, "dispatcher outbox", request)
	}
}

var evictReasons = map[decide.Kind]port.EvictReason{
	decide.Shed:                port.EvictShed,
	decide.DeadlineUnreachable: port.EvictDeadline,
	decide.NoServer:            port.EvictNoServer,
}
