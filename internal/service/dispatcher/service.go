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
	// tick is the resolution of deadlines and of adaptive windows.
	tick = 20 * time.Millisecond
	// quietTick is the interval while no pool has a request; comparisons need it.
	quietTick = 500 * time.Millisecond
)

type message interface{ message() }

type leases struct{ leases []port.Lease }

type viewed struct{ view *model.View }

type configured struct{ config *model.Config }

type received struct{ from port.PeerMessage }

// reset reports that messages from or to an instance may be lost.
type reset struct{ instance model.InstanceID }

func (leases) message()     {}
func (viewed) message()     {}
func (configured) message() {}
func (received) message()   {}
func (reset) message()      {}

// pool is a pool whose lease is held here.
type pool struct {
	decide *decide.Pool
	epoch  model.Epoch
	began  time.Time
	ready  bool
	// asked is when the instances were last asked for their requests.
	asked time.Time
	// reported is when the holder of the placement lease was last told the demand.
	reported time.Time
	// compared is when an instance was last asked to compare; next is the one that follows.
	compared time.Time
	next     int
}

// Service runs dispatchers.
type Service struct {
	log   *event.Log
	ring  *ring.Ring[message]
	peers port.Peers
	self  model.InstanceID

	// The fields below belong to the dispatcher duty.
	pools  map[model.PoolID]*pool
	view   *model.View
	config *model.Config
	// table is the last lease table.
	table  []port.Lease
	outbox *outbox
	wants  []want
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
	control.SubscribeLeases(func(l []port.Lease) { s.offer(leases{l}) })
	members.Subscribe(func(v *model.View) { s.offer(viewed{v}) })
	config.Subscribe(func(c *model.Config) { s.offer(configured{c}) })
	links.SubscribeStatus(func(st port.PeerStatus) error {
		if st.State != port.PeerReset {
			return nil
		}
		return s.ring.Offer(reset{st.Instance.ID})
	})
	s.peers.Handle(port.DispatcherName, dispatchwire.New(), func(m port.PeerMessage) error { return s.ring.Offer(received{m}) })
	return nil
}

// Start implements kernel.Service.
func (s *Service) Start(h *kernel.Host) error {
	h.Go("dispatcher", kernel.Loop[message]{
		Ring: s.ring, Tick: tick, Handle: s.handle, OnTick: s.onTick, Quiet: s.quiet, QuietTick: quietTick,
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
	case leases:
		s.table = m.leases
		s.setLeases(now, m.leases)
	case viewed:
		s.setView(now, m.view)
	case configured:
		s.config = m.config
		for _, p := range s.pools {
			p.decide.SetConfig(now, m.config)
		}
	case received:
		s.received(now, m.from)
	case reset:
		for id := range s.pools {
			s.wants = append(s.wants, want{to: m.instance, pool: id})
		}
	}
	s.perform(now)
}

func (s *Service) onTick(now time.Time) {
	s.outbox.flush()
	for id, p := range s.pools {
		p.decide.Tick(now)
		if !p.ready && now.Sub(p.asked) >= askAgain {
			s.ask(now, id, p)
		}
		if p.ready && now.Sub(p.reported) >= port.DemandInterval {
			s.reportDemand(now, id, p)
		}
		s.compare(now, id, p)
	}
	s.perform(now)
}

// reportDemand tells the holder of the placement lease who uses a pool. A report that cannot
// be sent is made up for by the next one.
func (s *Service) reportDemand(now time.Time, id model.PoolID, p *pool) {
	p.reported = now
	for _, l := range s.table {
		if l.Name == port.PlacementLease && l.Holder != "" {
			_ = s.peers.Send(l.Holder, port.PlacementName, port.DemandMessage{Pool: id, Requests: p.decide.Demand()})
		}
	}
}

// quiet reports that no decision waits for the next tick.
func (s *Service) quiet() bool {
	for _, p := range s.pools {
		if !p.ready || !p.decide.Empty() {
			return false
		}
	}
	return len(s.outbox.pending) == 0
}

// setLeases starts and stops pools to match the leases held here.
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
		p.decide.SetLapsed(now, l.Lapsed)
	}
	for id, l := range held {
		// Before the view is settled an instance with waiting requests may be missing.
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
	p := &pool{decide: decide.NewPool(id, epoch, expected), epoch: epoch, began: now, compared: now}
	s.pools[id] = p
	s.log.Emit(event.DispatcherStarted, id, epoch)
	p.decide.SetConfig(now, s.config)
	p.decide.SetInstances(s.view.Instances)
	p.decide.SetServers(now, serversOf(s.view, id))
	s.ask(now, id, p)
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

// setView takes a new membership view: servers come and go, and instances that are gone
// free what was granted to them.
func (s *Service) setView(now time.Time, v *model.View) {
	old := s.view
	s.view = v
	defer s.setLeases(now, s.table)
	for _, was := range old.Instances {
		if is, ok := v.Instance(was.ID); !ok || is.State == model.Gone || is.Incarnation > was.Incarnation {
			s.outbox.drop(was.ID)
		}
	}
	for id, p := range s.pools {
		s.askNew(old, id)
		p.decide.SetInstances(v.Instances)
		p.decide.SetServers(now, serversOf(v, id))
		for _, was := range old.Instances {
			is, ok := v.Instance(was.ID)
			switch {
			case !ok || is.State == model.Gone:
				p.decide.InstanceGone(now, was.ID, was.Incarnation)
			case is.Incarnation > was.Incarnation:
				p.decide.InstanceGone(now, was.ID, was.Incarnation)
			}
		}
	}
}

func (s *Service) received(now time.Time, m port.PeerMessage) {
	if s.outdated(m) {
		return
	}
	switch b := m.Body.(type) {
	case port.RegisterMessage:
		if p := s.pools[b.Descriptor.Pool]; p != nil {
			p.decide.Register(now, b.Descriptor)
		}
	case port.WithdrawMessage:
		if p := s.pools[b.Pool]; p != nil {
			p.decide.Withdraw(now, b.Request)
		}
	case port.ReportMessage:
		if p := s.pools[b.Progress.Pool]; p != nil {
			p.decide.Report(now, b.Progress)
		}
	case port.StateMessage:
		if p := s.pools[b.State.Pool]; p != nil {
			s.resync(now, p, m.From, b.State)
		}
	case port.ServerReportMessage:
		s.serverReport(now, b.Report)
	}
}

func (s *Service) serverReport(now time.Time, r port.ServerReport) {
	for id, p := range s.pools {
		if !slices.Contains(r.Pools, id) {
			continue
		}
		if r.Load != nil {
			p.decide.Load(now, *r.Load)
		}
		if len(r.Cache) > 0 {
			p.decide.Cache(now, r.Cache)
		}
	}
}

// perform logs the decisions and sends them to the instances that own the requests.
func (s *Service) perform(now time.Time) {
	for id, p := range s.pools {
		if !p.ready && p.decide.Ready() {
			p.ready = true
			waiting, outstanding := p.decide.Counts()
			s.log.Emit(event.DispatcherReady, id, p.epoch, waiting, outstanding, now.Sub(p.began).String())
		}
		for _, d := range p.decide.Take() {
			s.performOne(id, p.epoch, d)
		}
	}
	s.sendWants()
}

func (s *Service) performOne(id model.PoolID, epoch model.Epoch, d decide.Decision) {
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
		// The request is freed when the membership removes the instance.
		s.log.Emit(event.RingRefused, "dispatcher outbox", request)
	}
}

var evictReasons = map[decide.Kind]port.EvictReason{
	decide.Shed:                port.EvictShed,
	decide.DeadlineUnreachable: port.EvictDeadline,
	decide.NoServer:            port.EvictNoServer,
}
