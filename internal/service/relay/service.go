package relay

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"briaryard/internal/clock"
	"briaryard/internal/decide/quarantine"
	"briaryard/internal/decide/relay"
	"briaryard/internal/decide/retry"
	"briaryard/internal/decide/roster"
	"briaryard/internal/event"
	"briaryard/internal/fault"
	"briaryard/internal/kernel"
	"briaryard/internal/metric"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
)

const (
	ringCapacity = 8192
	// MaxOpenRequests bounds the open requests of this instance. Each has at most four messages in
	// a ring at a time, and three more if it is hedged, which is one in five at most. So the rings between the
	// duties never fill up.
	MaxOpenRequests = 1500
	// tickInterval bounds how late a request gets its final answer after its time has run out.
	tickInterval = 20 * time.Millisecond
	// idleTickInterval is the tick interval while no request is open or held.
	idleTickInterval = 500 * time.Millisecond
)

// Options are the settings of the service.
type Options struct {
	Domain model.FailureDomain
	// ConfigLease is how long a configuration stays usable after it was last known to be the accepted
	// one.
	ConfigLease time.Duration
	// Retries limits retries, and hedged requests if its HedgeRatio is above zero.
	Retries retry.Limit
	// HedgeFreeSlots is the share of a service's slots that must stay free after the second call of a request.
	HedgeFreeSlots float64
}

type message any

// callKey identifies a call: the request and the number of the call.
type callKey struct {
	id   model.RequestID
	send int
}

type callerLeft struct{ id model.RequestID }

type drainRequest struct{ done func() }

type closingChanged struct{ on bool }

type stopScheduled struct{ at time.Time }

// Service owns the routed requests of this instance.
type Service struct {
	log      *event.Log
	metrics  *metric.Set
	options  Options
	ring     *ring.Ring[message]
	peers    port.Peers
	allocate port.Allocator
	backend  port.HTTPBackend
	registry port.Registry
	bodies   port.Bodies
	// invalidHold logs the times of servers that cannot be read.
	invalidHold *event.RateLimited
	// invalidLimit logs the limits of servers that cannot be read.
	invalidLimit *event.RateLimited
	lastSeq      atomic.Uint64

	// The fields below belong to the relay duty.
	machine   *relay.Machine
	admission relay.Admission
	// submissions holds the submissions of held and open requests, requests the open ones.
	submissions map[model.RequestID]*port.RoutedSubmission
	requests    map[model.RequestID]*relay.Request
	// accepted holds the rings of the calls of each open request; see port.HTTPOutbound.
	accepted  map[callKey]*ring.Ring[struct{}]
	held      relay.HoldQueue
	closing   bool
	onDrained []func()
}

// New returns the service.
func New(log *event.Log, m *metric.Set, o Options) *Service {
	s := &Service{
		log: log, metrics: m, options: o, invalidHold: log.RateLimit(event.ServerHoldInvalid),
		invalidLimit: log.RateLimit(event.ServerLimitInvalid), ring: ring.New[message]("relay", ringCapacity, ring.Block),
		machine: relay.New(retry.New(o.Retries)), admission: relay.Admission{Lease: o.ConfigLease},
		submissions: make(map[model.RequestID]*port.RoutedSubmission), requests: make(map[model.RequestID]*relay.Request),
		accepted: make(map[callKey]*ring.Ring[struct{}]),
	}
	if o.Retries.HedgeRatio > 0 {
		s.machine.EnableHedging(o.HedgeFreeSlots)
	}
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return port.RelayName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string {
	return []string{port.PeersName, port.RoutesName, port.RosterName, port.AllocateName, port.HTTPBackendName, port.RegistryName, port.QuarantineName, port.BodiesName}
}

// Provision implements kernel.Service.
func (s *Service) Provision(r kernel.Resolver) error {
	var routes port.Routes
	var instances port.Roster
	var evidence port.Quarantine
	err := r.Bind(kernel.Into(port.PeersName, &s.peers), kernel.Into(port.RoutesName, &routes),
		kernel.Into(port.RosterName, &instances), kernel.Into(port.AllocateName, &s.allocate),
		kernel.Into(port.HTTPBackendName, &s.backend), kernel.Into(port.RegistryName, &s.registry),
		kernel.Into(port.QuarantineName, &evidence), kernel.Into(port.BodiesName, &s.bodies))
	if err != nil {
		return err
	}
	routes.SubscribeViews(func(v port.RouteView) { s.put(v) })
	instances.SubscribeInstances(func(l *roster.Lists) { s.put(l) })
	evidence.SubscribeViews(func(v *quarantine.View) { s.put(v) })
	s.allocate.AttachDecisions(func(a port.Allocation) { s.put(a) })
	s.backend.AttachCalls(func(e relay.CallEvent) { s.put(e) }, func(n model.ServerNotice) { s.put(n) })
	return nil
}

func (s *Service) put(m message) { _ = s.ring.Put(context.Background(), m) }

// Start implements kernel.Service.
func (s *Service) Start(h *kernel.Host) error {
	h.Go("relay", kernel.Loop[message]{
		Ring: s.ring, TickInterval: tickInterval, Handle: s.handle, OnTick: s.onTick, IdleTickInterval: idleTickInterval, Now: clock.Boot,
		Idle: func() bool { return s.machine.OpenRequests() == 0 && s.held.Len() == 0 },
	}.Run, s.ring)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.ring.Close()
	return nil
}

// NewRoutedID implements port.Relay.
func (s *Service) NewRoutedID() model.RequestID {
	id, incarnation := s.peers.Self()
	return model.RequestID{Instance: id, Incarnation: incarnation, Seq: s.lastSeq.Add(1)}
}

// SubmitRouted implements port.Relay.
func (s *Service) SubmitRouted(sub port.RoutedSubmission) error { return s.ring.Offer(&sub) }

// CallerLeft implements port.Relay.
func (s *Service) CallerLeft(id model.RequestID) { s.put(callerLeft{id}) }

// SetClosing implements port.Relay.
func (s *Service) SetClosing(on bool) { s.put(closingChanged{on}) }

// SetStopTime implements port.Relay.
func (s *Service) SetStopTime(at time.Time) { s.put(stopScheduled{at}) }

// DrainRouted implements port.Relay.
func (s *Service) DrainRouted(done func()) { s.put(drainRequest{done}) }

func (s *Service) handle(now time.Time, m message) {
	switch m := m.(type) {
	case *port.RoutedSubmission:
		s.submit(now, m)
	case callerLeft:
		if sub := s.submissions[m.id]; sub != nil {
			// A call that goes on drops the rest of its answer.
			sub.Events.Close()
		}
		if s.held.Remove(m.id) {
			s.remove(m.id)
		}
		s.machine.CallerDisconnected(now, m.id)
	case port.Allocation:
		s.machine.HandleDecision(now, m.Decision, m.LocalDecision)
	case relay.CallEvent:
		s.machine.HandleCallEvent(now, m)
	case model.ServerNotice:
		s.machine.HandleNotice(now, m)
	case port.RouteView:
		s.setTable(now, m)
		s.releaseHeld(now)
	case *quarantine.View:
		s.machine.SetQuarantine(now, m)
	case *roster.Lists:
		s.setInstances(m.All())
	case closingChanged:
		s.closing = m.on
	case stopScheduled:
		s.admission.StopAt = m.at
	case drainRequest:
		s.onDrained = append(s.onDrained, m.done)
	}
	s.perform(now)
}

// setTable applies a configuration. Requests whose admission no longer holds get no second call.
func (s *Service) setTable(now time.Time, v port.RouteView) {
	changed := v.Table.Revision() != s.revision()
	s.admission.Table, s.admission.ConfirmedAt = v.Table, v.AsOf
	s.machine.SetConfirmed(s.admission.Current(now))
	if changed {
		s.machine.Revoke(func(r *relay.Request) bool {
			sub := s.submissions[r.ID]
			return s.admission.Holds(r, sub.Call.Host, sub.Path, sub.Key)
		})
	}
}

// setInstances applies the list of the instances that take requests.
func (s *Service) setInstances(list []roster.Entry) {
	s.machine.SetInstances(len(list))
	self, _ := s.peers.Self()
	position := 0
	for i := range list {
		if list[i].Instance < self {
			position++
		}
	}
	s.machine.SetProbePosition(position)
}

// releaseHeld admits or refuses the held requests whose hold time is over, and all of them once a
// configuration has been confirmed. A configuration is published before its confirmation is, and until then
// admission would refuse them.
func (s *Service) releaseHeld(now time.Time) {
	s.held.Release(now, s.confirmed(), func(id model.RequestID, arrived time.Time) { s.admitHeld(now, id, arrived) })
}

// confirmed reports whether a configuration has ever been confirmed since the start.
func (s *Service) confirmed() bool { return !s.admission.ConfirmedAt.IsZero() }

func (s *Service) onTick(now time.Time) {
	s.releaseHeld(now)
	s.machine.SetConfirmed(s.admission.Current(now))
	s.machine.Tick(now)
	s.perform(now)
	s.metrics.Gauge(metric.RoutedOpen, "").Update(int64(s.machine.OpenRequests()))
}

func (s *Service) submit(now time.Time, sub *port.RoutedSubmission) {
	if !s.confirmed() && !s.closing && s.held.Add(now, sub.ID, sub.Timeout) {
		s.submissions[sub.ID] = sub
		return
	}
	s.admitOrRefuse(now, now, sub)
}

// admitHeld admits or refuses a request that was held because there was no configuration yet.
func (s *Service) admitHeld(now time.Time, id model.RequestID, arrived time.Time) {
	if sub := s.submissions[id]; sub != nil {
		delete(s.submissions, id)
		s.admitOrRefuse(now, arrived, sub)
	}
}

// admitOrRefuse starts a request that arrived at the given time, or refuses it.
func (s *Service) admitOrRefuse(now, arrived time.Time, sub *port.RoutedSubmission) {
	r, f := s.admit(now, arrived, sub)
	if f != nil {
		s.refuse(now, sub, f)
		s.bodies.Release(sub.BodyBytes)
		return
	}
	s.submissions[sub.ID], s.requests[sub.ID] = sub, &r
	s.machine.Arrive(now, r)
}

func (s *Service) admit(now, arrived time.Time, sub *port.RoutedSubmission) (relay.Request, fault.Fault) {
	switch {
	case s.closing:
		return relay.Request{}, &fault.InstanceClosing{}
	case s.machine.OpenRequests() >= MaxOpenRequests:
		return relay.Request{}, &fault.NotServed{Reason: "too many requests are open at this instance", Wait: time.Second}
	}
	return s.admission.Admit(now, &relay.Arrival{
		ID: sub.ID, At: arrived, Attempt: sub.Attempt, Host: sub.Call.Host, Path: sub.Path, Key: sub.Key, Timeout: sub.Timeout,
		PromptTokens: sub.Prompt, OutputTokens: sub.Output, ExpectedTokens: sub.Expected, Model: sub.Model, Parts: sub.Parts,
		Fingerprint: sub.Fingerprint, Domain: s.options.Domain, SplitPoint: rand.Float64(), Keyed: isKeyed(&sub.Call),
	})
}

// refuse answers a submission with a fault.
func (s *Service) refuse(now time.Time, sub *port.RoutedSubmission, f fault.Fault) {
	m := fault.MappingOf(f)
	s.log.Emit(event.RoutedRefused, sub.ID.String(), sub.Attempt, string(m.Code), m.RunState.String(), f.Error(), s.revision(), now.Sub(s.admission.ConfirmedAt))
	s.metrics.Counter(metric.RoutedRequests, string(m.Code)).Inc(1)
	s.deliver(sub, port.RoutedEvent{Kind: port.RoutedRefused, Err: f})
}

func (s *Service) revision() model.Revision {
	if s.admission.Table == nil {
		return 0
	}
	return s.admission.Table.Revision()
}

// deliver puts a whole answer or the head of one in the caller's ring. The ring is empty because nothing
// was delivered before: the relay duty alone begins an answer.
func (s *Service) deliver(sub *port.RoutedSubmission, e port.RoutedEvent) { _ = sub.Events.Offer(e) }

// perform executes the machine's effects and reports the drain as done when no request is left.
func (s *Service) perform(now time.Time) {
	for _, e := range s.machine.TakeEffects() {
		s.performOne(now, e)
	}
	if s.machine.OpenRequests() == 0 && s.held.Len() == 0 {
		for _, done := range s.onDrained {
			done()
		}
		s.onDrained = nil
	}
}

func (s *Service) performOne(now time.Time, e relay.Effect) {
	switch e := e.(type) {
	case relay.RequestServer:
		s.allocate.Submit(e.Request)
	case relay.Withdraw:
		s.allocate.Withdraw(e.ID)
	case relay.Report:
		s.allocate.Report(e.Report)
	case relay.StartCall:
		s.openCall(now, e)
	case relay.Cancel:
		s.backend.CancelCall(e.ID, e.Send)
	case relay.Deliver:
		if sub := s.submissions[e.ID]; sub != nil {
			s.deliver(sub, port.RoutedEvent{Kind: port.RoutedWhole, Answer: e.Answer})
		}
	case relay.Refuse:
		if sub := s.submissions[e.ID]; sub != nil {
			s.refuse(now, sub, e.Fault)
		}
	case relay.Begin:
		s.begin(e)
	case relay.Abort:
		s.abort(e)
	case relay.PassOn:
		s.passOn(now, e.ServerNotice)
	case relay.Returned:
		s.log.Emit(event.RoutedReturned, e.ID.String(), s.requests[e.ID].Attempt, e.Server, e.Leaving, e.For)
	case relay.Retried:
		s.logRetry(e)
	case relay.HedgeEnded:
		s.logHedgeEnd(e)
	case relay.HedgeDenied:
		s.logHedgeDenial(e)
	case relay.Ended:
		s.finish(e)
	}
}

func (s *Service) openCall(now time.Time, e relay.StartCall) {
	sub, r := s.submissions[e.ID], s.requests[e.ID]
	accepted := ring.New[struct{}]("answer-accepted", 1, ring.Refuse)
	s.accepted[callKey{e.ID, e.Send}] = accepted
	s.log.Emit(event.RoutedSent, e.ID.String(), sub.Attempt, e.Send, e.Server.ID, e.Server.Address, e.Server.Sequence,
		e.Waited, e.Until.Sub(now), e.WithoutDispatcher, r.Revision, sub.Parts)
	if e.Hedge {
		s.logHedge(e, sub.Attempt)
	}
	s.backend.OpenCall(port.HTTPOutbound{
		ID: e.ID, Send: e.Send, Attempt: sub.Attempt, Server: e.Server, Team: r.Team, Call: &sub.Call, Parts: sub.Parts, Probe: e.Probe, Until: e.Until,
		Stream: r.Route.Kind == model.KindStream, Resume: e.Resume, LastEvent: e.LastEvent, Events: sub.Events,
		Accepted: accepted,
	})
}

// passOn passes on what a backend server has said about itself: to the allocator before any further
// request for a server, and to the other instances if the server leaves.
func (s *Service) passOn(now time.Time, n model.ServerNotice) {
	s.log.Emit(event.ServerSaid, n.Server, n.Incarnation, n.Leaving, n.HoldFor, n.Limit, n.LimitEnded)
	if n.Invalid != "" {
		s.invalidHold.Emit(now, n.Server, n.Invalid, n.HoldFor)
	}
	if n.InvalidLimit != "" {
		s.invalidLimit.Emit(now, n.Server, n.InvalidLimit)
	}
	s.allocate.Notify(n)
	if n.Leaving {
		s.registry.MarkLeaving(n.Server, n.Incarnation)
	}
}

// begin gives the caller the head of an answer, and lets the call send the rest.
func (s *Service) begin(e relay.Begin) {
	if e.Answer != nil {
		s.deliver(s.submissions[e.ID], port.RoutedEvent{Kind: port.RoutedHead, Answer: e.Answer})
	}
	// The ring of a call takes one item, and each call begins one answer.
	_ = s.accepted[callKey{e.ID, e.Send}].Offer(struct{}{})
}

func (s *Service) abort(e relay.Abort) {
	sub := s.submissions[e.ID]
	if sub == nil {
		return
	}
	m := fault.MappingOf(e.Fault)
	s.log.Emit(event.RoutedCut, e.ID.String(), sub.Attempt, string(m.Code), e.Fault.Error())
	// A ring closed without a final event tells the front end that the answer was cut.
	sub.Events.Close()
}

// logRetry logs the outcome of a send after which the request is tried again.
func (s *Service) logRetry(e relay.Retried) {
	cause := ""
	if e.Cause != nil {
		cause = e.Cause.Error()
	}
	s.log.Emit(event.RoutedAgain, e.ID.String(), s.requests[e.ID].Attempt, e.Server, e.Kind.String(), cause)
}
