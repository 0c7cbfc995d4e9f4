package entry

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"sync/atomic"
	"time"

	decide "briaryard/internal/decide/entry"
	"briaryard/internal/event"
	"briaryard/internal/fault"
	"briaryard/internal/kernel"
	"briaryard/internal/metric"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
)

const (
	// ringCapacity holds a one-second burst at ten times the current rate of one instance.
	ringCapacity = 4096
	// reservedSlots is the number of ring slots reserved for internal messages, so that a burst
	// of submissions cannot delay grants and answers.
	reservedSlots = ringCapacity / 4
	// tickInterval is the resolution of deadlines while a request waits.
	tickInterval = 50 * time.Millisecond
	// idleTickInterval is the tick interval while the machine is idle; ticks then update the gauges.
	idleTickInterval = 500 * time.Millisecond
)

// grantPosition identifies a grant by its dispatcher's epoch and its sequence number.
type grantPosition struct {
	epoch    model.Epoch
	sequence uint64
}

// Service owns the requests of this instance.
type Service struct {
	log     *event.Log
	metrics *metric.Set
	ring    *ring.Ring[message]
	seq     atomic.Uint64

	self        model.InstanceID
	incarnation model.Incarnation
	dispatch    port.Dispatch
	transfer    port.Transfer
	control     port.ControlClient

	// The fields below belong to the entry duty.
	machine *decide.Machine
	callers map[model.RequestID]*ring.Ring[model.AnswerEvent]
	// lastGrants is the position of the last grant of each pool that has been received or is
	// known to be lost.
	lastGrants map[model.PoolID]grantPosition
	// onDrained is called when the last request has ended after Drain.
	onDrained func()
	// deferred holds messages of the duty to itself, handled after the current message or tick.
	deferred []message
}

// New returns the service.
func New(log *event.Log, metrics *metric.Set) *Service {
	return &Service{
		log:        log,
		metrics:    metrics,
		ring:       ring.New[message]("entry", ringCapacity, ring.Block),
		callers:    make(map[model.RequestID]*ring.Ring[model.AnswerEvent]),
		lastGrants: make(map[model.PoolID]grantPosition),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return port.EntryName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string {
	return []string{port.PeersName, port.MembersName, port.ConfigName, port.DispatchName, port.TransferName, port.ControlClientName}
}

// Provision implements kernel.Service.
func (s *Service) Provision(r kernel.Resolver) error {
	var (
		peers   port.Peers
		members port.Members
		config  port.Config
	)
	err := r.Bind(
		kernel.Into(port.PeersName, &peers),
		kernel.Into(port.MembersName, &members),
		kernel.Into(port.ControlClientName, &s.control),
		kernel.Into(port.ConfigName, &config),
		kernel.Into(port.DispatchName, &s.dispatch),
		kernel.Into(port.TransferName, &s.transfer),
	)
	if err != nil {
		return err
	}
	s.self, s.incarnation = peers.Self()
	s.machine = decide.New(s.self)
	members.Subscribe(func(v *model.View) { s.put(viewChanged{v}) })
	config.Subscribe(func(c *model.Config) { s.put(configChanged{c}) })
	s.control.SubscribeConfirmed(func(ok bool) {
		s.put(withdrawnChanged{!ok})
		members.SetSelf(model.Alive, !ok)
	})
	s.dispatch.Attach(func(e port.DispatchEvent) error { return s.ring.Offer(dispatchEvent{e}) })
	s.dispatch.AttachState(func(r port.StateRequest) error { return s.ring.Offer(stateRequest{r}) })
	s.transfer.Attach(func(e port.TransferEvent) error { return s.ring.Offer(transferEvent{e}) })
	return nil
}

// Start implements kernel.Service.
func (s *Service) Start(h *kernel.Host) error {
	h.Go("entry", kernel.Loop[message]{
		Ring: s.ring, Tick: tickInterval, Handle: s.handle, OnTick: s.onTick,
		Quiet: func() bool { return s.machine.Idle() }, QuietTick: idleTickInterval,
	}.Run, s.ring)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.ring.Close()
	return nil
}

// put adds an internal message to the ring and blocks while it is full.
func (s *Service) put(m message) {
	if err := s.ring.Put(context.Background(), m); err != nil {
		s.log.Emit(event.RingRefused, "entry", err.Error())
	}
}

// NewRequestID implements port.Entry.
func (s *Service) NewRequestID() model.RequestID {
	return model.RequestID{Instance: s.self, Incarnation: s.incarnation, Seq: s.seq.Add(1)}
}

// Submit implements port.Entry.
func (s *Service) Submit(sub port.Submission) error {
	if s.ring.Stats().Depth < ringCapacity-reservedSlots && s.ring.Offer(submitRequest{sub}) == nil {
		return nil
	}
	overloaded := &fault.Overloaded{Resource: "entry ring"}
	if sub.Key == "" {
		return overloaded
	}
	return &fault.KeyUnchecked{Cause: overloaded}
}

// CallerGone implements port.Entry.
func (s *Service) CallerGone(id model.RequestID) { s.put(callerGone{id}) }

// Drain implements port.Entry.
func (s *Service) Drain(done func()) { s.put(drainRequest{done}) }

func (s *Service) onTick(now time.Time) {
	s.perform(s.machine.Tick(now))
	s.handleDeferred(now)
	for tier, n := range s.machine.Waiting() {
		s.metrics.Gauge(metric.WaitingRequests, model.Tier(tier).String()).Update(int64(n))
	}
}

func (s *Service) handle(now time.Time, m message) {
	s.handleOne(now, m)
	s.handleDeferred(now)
}

func (s *Service) handleDeferred(now time.Time) {
	for len(s.deferred) > 0 {
		next := s.deferred[0]
		s.deferred = s.deferred[1:]
		s.handleOne(now, next)
	}
}

func (s *Service) handleOne(now time.Time, m message) {
	switch m := m.(type) {
	case submitRequest:
		s.handleSubmission(now, m.submission)
	case callerGone:
		s.perform(s.machine.CallerGone(now, m.id))
		delete(s.callers, m.id)
	case dispatchEvent:
		s.handleDispatchEvent(now, m.event)
	case transferEvent:
		s.handleTransferEvent(now, m.event)
	case controlReply:
		s.perform(s.machine.Controlled(now, m.id, m.team, m.result()))
	case stateRequest:
		s.sendState(m.request)
	case configChanged:
		s.machine.SetConfig(m.config)
	case viewChanged:
		s.machine.SetView(m.view)
	case withdrawnChanged:
		s.machine.SetWithdrawn(m.withdrawn)
	case drainRequest:
		s.onDrained = m.done
		s.perform(s.machine.Drain())
	}
}

func (s *Service) handleSubmission(now time.Time, sub port.Submission) {
	s.callers[sub.ID] = sub.Events
	a := decide.Arrival{
		ID: sub.ID, Team: sub.Team, Caller: sub.Caller, Pool: sub.Pool, Kind: sub.Kind,
		Tier: sub.Tier, Timeout: sub.Timeout, Call: sub.Call,
	}
	if sub.Key != "" {
		a.Key = sub.Key
		a.Fingerprint = fingerprint(sub)
	}
	s.log.Emit(event.RequestAccepted, sub.ID.String(), sub.Team, tierName(sub.Tier), sub.Pool, sub.Timeout, sub.Key != "")
	s.metrics.Counter(metric.RequestsAccepted, tierName(sub.Tier)).Inc(1)
	s.perform(s.machine.Arrive(now, a))
}

func tierName(t *model.Tier) string {
	if t == nil {
		return "default"
	}
	return t.String()
}

// fingerprint hashes the parts of a submission in which two attempts with one idempotency key
// must agree. Each part is preceded by its length, so that different requests never have the
// same encoding.
func fingerprint(sub port.Submission) model.Fingerprint {
	h := sha256.New()
	writePart := func(b []byte) {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(b)))
		_, _ = h.Write(n[:])
		_, _ = h.Write(b)
	}
	c := &sub.Call
	for _, text := range []string{string(sub.Pool), c.Adapter, c.Method, c.Path, c.Query, c.ContentType} {
		writePart([]byte(text))
	}
	writePart(c.Prompt)
	writePart(c.Body)
	writePart(binary.BigEndian.AppendUint64(nil, uint64(c.MaxTokens)))
	return model.Fingerprint(h.Sum(nil))
}

func (s *Service) handleDispatchEvent(now time.Time, e port.DispatchEvent) {
	switch e.Kind {
	case port.DispatchGranted:
		s.lastGrants[e.Pool] = grantPosition{e.Epoch, e.Sequence}
		s.perform(s.machine.Granted(now, e.Grant))
	case port.DispatchEvicted:
		s.perform(s.machine.Evicted(now, e.ID, evictionFault(e)))
	case port.DispatchDuplicate:
		s.perform(s.machine.Duplicate(now, e.ID))
	}
}

func evictionFault(e port.DispatchEvent) fault.Fault {
	switch e.Reason {
	case port.EvictDeadline:
		return &fault.DeadlineUnreachable{Deadline: e.Deadline}
	case port.EvictNoServer:
		return &fault.NoServer{Pool: e.Pool}
	case port.EvictShed:
	}
	return &fault.Shed{Tier: e.Tier}
}

func (s *Service) handleTransferEvent(now time.Time, e port.TransferEvent) {
	stats := decide.TransferStats{
		FirstToken: e.FirstToken, PerToken: e.PerToken, Tokens: e.Tokens, PrefillTokens: e.PrefillTokens,
	}
	switch e.Kind {
	case port.TransferFirstToken:
		s.perform(s.machine.FirstToken(e.Request, stats))
	case port.TransferEnded:
		s.perform(s.machine.Ended(now, e.Request, stats, e.Answer))
	case port.TransferNotRun:
		s.perform(s.machine.NotRun(now, e.Request, e.Err))
	case port.TransferFailed:
		s.perform(s.machine.Failed(e.Request, stats))
	case port.TransferCancelled:
		s.perform(s.machine.CancelledTransfer(e.Request, stats))
	case port.TransferMissed:
		s.callers[e.Caller] = e.Events
		s.perform(s.machine.Missed(e.Request, e.Caller))
	case port.TransferDetached:
		s.log.Emit(event.CallerDetached, e.Request.String(), e.Caller.String())
		s.perform(s.machine.Detached(e.Request, e.Caller))
	}
}

// sendState answers a request for state. Grants that were sent before the request and have not
// arrived are lost, so the state reports them as received.
func (s *Service) sendState(r port.StateRequest) {
	last := s.lastGrants[r.Pool]
	if sent := (grantPosition{r.Epoch, r.Sequence}); sent.epoch > last.epoch || sent.epoch == last.epoch && sent.sequence > last.sequence {
		last = sent
		s.lastGrants[r.Pool] = sent
	}
	waiting, outstanding := s.machine.PoolState(r.Pool)
	st := port.EntryState{Pool: r.Pool, Epoch: last.epoch, Sequence: last.sequence, Waiting: waiting}
	for _, o := range outstanding {
		st.Outstanding = append(st.Outstanding, port.Outstanding{Grant: o.Grant, Descriptor: o.Descriptor})
	}
	if r.Compare && r.Digest == st.Digest() {
		return
	}
	s.dispatch.Resync(st)
}
