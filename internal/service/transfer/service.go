package transfer

import (
	"context"
	"net/http"
	"time"

	"briaryard/internal/fault"
	"briaryard/internal/kernel"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
)

const (
	// ringCapacity holds the chunks that one instance receives in two seconds at the design size
	// (1.5 M tokens/s over 380 instances).
	ringCapacity = 8192
	// tickInterval is how often delivery to callers with a full ring is retried.
	tickInterval = 50 * time.Millisecond
	// idleTickInterval is the tick interval while there is nothing to retry.
	idleTickInterval = time.Second
	// slowCallerTimeout is how long a caller's ring may stay full before the caller is detached.
	slowCallerTimeout = 10 * time.Second
	// maxKeptAnswerBytes bounds an answer that is kept for later attempts with its idempotency key;
	// a longer one is not kept.
	maxKeptAnswerBytes = 8 << 20
)

type message interface{ message() }

type begin struct {
	outbound   port.Outbound
	keepAnswer bool
	callers    map[model.RequestID]*ring.Ring[model.AnswerEvent]
}

type join struct {
	request, caller model.RequestID
	events          *ring.Ring[model.AnswerEvent]
}

type leave struct{ request, caller model.RequestID }

type conclude struct{ request model.RequestID }

type streamEvent struct{ event port.StreamEvent }

func (begin) message()       {}
func (join) message()        {}
func (leave) message()       {}
func (conclude) message()    {}
func (streamEvent) message() {}

// Service copies answers from backend servers to callers.
type Service struct {
	ring   *ring.Ring[message]
	engine port.BackendClient
	plain  port.BackendClient
	outbox *ring.Outbox[port.TransferEvent]

	// calls belongs to the transfer duty.
	calls map[model.RequestID]*call
}

// New returns the service.
func New() *Service {
	return &Service{
		ring:  ring.New[message]("transfer", ringCapacity, ring.Block),
		calls: make(map[model.RequestID]*call),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return port.TransferName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return []string{port.EngineClientName, port.PlainClientName} }

// Provision implements kernel.Service.
func (s *Service) Provision(r kernel.Resolver) error {
	err := r.Bind(
		kernel.Into(port.EngineClientName, &s.engine),
		kernel.Into(port.PlainClientName, &s.plain),
	)
	if err != nil {
		return err
	}
	sink := func(ctx context.Context, e port.StreamEvent) error { return s.ring.Put(ctx, streamEvent{e}) }
	s.engine.Attach(sink)
	s.plain.Attach(sink)
	return nil
}

// Start implements kernel.Service.
func (s *Service) Start(h *kernel.Host) error {
	h.Go("transfer", kernel.Loop[message]{
		Ring: s.ring, Tick: tickInterval, Handle: s.handle, OnTick: s.onTick,
		Quiet: func() bool { return len(s.calls) == 0 && s.outbox.Pending() == 0 }, QuietTick: idleTickInterval,
	}.Run, s.ring)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.ring.Close()
	return nil
}

// put blocks while the ring is full, which applies backpressure to the entry duty. The transfer
// duty never blocks on the entry duty, so the two cannot deadlock.
func (s *Service) put(m message) { _ = s.ring.Put(context.Background(), m) }

// Attach implements port.Transfer.
func (s *Service) Attach(sink func(port.TransferEvent) error) { s.outbox = ring.NewOutbox(sink) }

// Begin implements port.Transfer.
func (s *Service) Begin(o port.Outbound, keep bool, callers map[model.RequestID]*ring.Ring[model.AnswerEvent]) {
	s.put(begin{o, keep, callers})
}

// Join implements port.Transfer.
func (s *Service) Join(request, caller model.RequestID, events *ring.Ring[model.AnswerEvent]) {
	s.put(join{request, caller, events})
}

// Leave implements port.Transfer.
func (s *Service) Leave(request, caller model.RequestID) { s.put(leave{request, caller}) }

// Conclude implements port.Transfer.
func (s *Service) Conclude(request model.RequestID) { s.put(conclude{request}) }

func (s *Service) clientFor(a *call) port.BackendClient {
	if a.outbound.Server.Kind == model.PlainServer {
		return s.plain
	}
	return s.engine
}

func (s *Service) handle(now time.Time, m message) {
	s.outbox.Flush()
	switch m := m.(type) {
	case begin:
		s.begin(now, m)
	case join:
		s.join(now, m)
	case leave:
		s.leave(m)
	case conclude:
		if a := s.calls[m.request]; a != nil {
			a.concluded = true
			s.advance(now, a)
		}
	case streamEvent:
		s.handleStreamEvent(now, m.event)
	}
}

func (s *Service) begin(now time.Time, m begin) {
	a := &call{outbound: m.outbound, keepAnswer: m.keepAnswer, startedAt: now, callers: make(map[model.RequestID]*caller)}
	for id, events := range m.callers {
		if events != nil {
			a.callers[id] = &caller{events: events}
		}
	}
	s.calls[m.outbound.Request] = a
	s.clientFor(a).Open(m.outbound)
	s.cancelIfUnwanted(a)
}

// join attaches a caller to a call. The entry service joins only while it has the request, but the
// call may have failed, or the start of its answer may have been discarded, when the message
// arrives. The entry service then decides what the caller gets.
func (s *Service) join(now time.Time, m join) {
	a := s.calls[m.request]
	if a == nil || a.bodyOffset > 0 {
		s.outbox.Send(port.TransferEvent{Request: m.request, Kind: port.TransferMissed, Caller: m.caller, Events: m.events})
		return
	}
	a.callers[m.caller] = &caller{events: m.events}
	s.advance(now, a)
}

func (s *Service) leave(m leave) {
	a := s.calls[m.request]
	if a == nil {
		return
	}
	if c := a.callers[m.caller]; c != nil {
		c.finish()
		delete(a.callers, m.caller)
	}
	s.cancelIfUnwanted(a)
	s.removeIfDelivered(a)
}

// cancelIfUnwanted cancels a call in progress that has no callers, unless its answer is kept.
func (s *Service) cancelIfUnwanted(a *call) {
	if len(a.callers) == 0 && !a.keepAnswer && !a.ended && !a.cancelling {
		a.cancelling = true
		s.clientFor(a).Cancel(a.outbound.Request)
	}
}

func (s *Service) handleStreamEvent(now time.Time, e port.StreamEvent) {
	a := s.calls[e.Request]
	if a == nil || a.ended {
		return
	}
	switch e.Kind {
	case port.StreamHead:
		a.headReceived = true
		a.status = e.Status
		a.contentType = e.ContentType
	case port.StreamData:
		s.handleData(now, a, e)
	case port.StreamEnd:
		s.handleEnd(a, e)
	case port.StreamFailed:
		s.handleFailure(a, e)
		return
	}
	s.advance(now, a)
}

func (s *Service) handleData(now time.Time, a *call, e port.StreamEvent) {
	a.body = append(a.body, e.Data...)
	a.tokens += e.Tokens
	a.prefillTokens = max(a.prefillTokens, e.PrefillTokens)
	a.lastTokenAt = now
	if a.firstTokenAt.IsZero() {
		a.firstTokenAt = now
		s.outbox.Send(a.event(port.TransferFirstToken))
	}
}

// handleEnd records that the answer is complete. A kept answer waits for Conclude before callers
// get the end.
func (s *Service) handleEnd(a *call, e port.StreamEvent) {
	a.ended = true
	if !a.headReceived {
		// An answer without any token is still complete.
		a.headReceived = true
		a.status = http.StatusOK
	}
	a.prefillTokens = max(a.prefillTokens, e.PrefillTokens)
	ended := a.event(port.TransferEnded)
	if a.keepAnswer && len(a.body) <= maxKeptAnswerBytes {
		ended.Answer = &model.Answer{Status: a.status, ContentType: a.contentType, Body: a.body, Tokens: a.tokens}
	}
	a.concluded = !a.keepAnswer
	s.outbox.Send(ended)
}

// handleFailure removes a failed call. If the server did not run the request and no head has
// arrived, the callers stay open and the entry service decides; otherwise they get a failure.
func (s *Service) handleFailure(a *call, e port.StreamEvent) {
	delete(s.calls, a.outbound.Request)
	a.prefillTokens = max(a.prefillTokens, e.PrefillTokens)
	failure := a.event(port.TransferFailed)
	failure.Err = e.Err
	switch {
	case e.NotRun && !a.headReceived:
		failure.Kind = port.TransferNotRun
		s.outbox.Send(failure)
		return
	case a.cancelling:
		failure.Kind = port.TransferCancelled
	}
	for _, c := range a.callers {
		c.fail(&fault.Interrupted{Server: a.outbound.Server.ID, Err: e.Err})
	}
	s.outbox.Send(failure)
}

func (s *Service) advance(now time.Time, a *call) {
	a.advance(now)
	s.removeIfDelivered(a)
}

func (s *Service) removeIfDelivered(a *call) {
	if a.concluded && a.delivered() {
		delete(s.calls, a.outbound.Request)
	}
}

func (s *Service) onTick(now time.Time) {
	s.outbox.Flush()
	for _, a := range s.calls {
		s.detachSlowCallers(now, a)
		s.advance(now, a)
	}
}

// detachSlowCallers detaches callers whose ring has been full for slowCallerTimeout, so that they
// occupy neither memory nor a slot.
func (s *Service) detachSlowCallers(now time.Time, a *call) {
	for id, c := range a.callers {
		if c.blockedSince.IsZero() || now.Sub(c.blockedSince) < slowCallerTimeout {
			continue
		}
		c.fail(&fault.CallerSlow{})
		delete(a.callers, id)
		s.outbox.Send(port.TransferEvent{Request: a.outbound.Request, Kind: port.TransferDetached, Caller: id})
		s.cancelIfUnwanted(a)
	}
}
