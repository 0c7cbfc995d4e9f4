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
	// ringCapacity holds two seconds of chunks of one instance at the design size
	// (1.5 M tokens/s over 380 instances).
	ringCapacity = 8192
	// tick is how often callers with a full ring are tried again.
	tick = 50 * time.Millisecond
	// quietTick is the interval while there is nothing to try again.
	quietTick = time.Second
	// slowCaller is how long a caller's ring may stay full before the caller is detached.
	slowCaller = 10 * time.Second
	// maxKept bounds a kept answer in memory; a longer one is not kept for later attempts.
	maxKept = 8 << 20
)

type message interface{ message() }

type begin struct {
	out     port.Outbound
	keep    bool
	callers map[model.RequestID]*ring.Ring[model.AnswerEvent]
}

type join struct {
	request, caller model.RequestID
	events          *ring.Ring[model.AnswerEvent]
}

type leave struct{ request, caller model.RequestID }

type conclude struct{ request model.RequestID }

type streamed struct{ event port.StreamEvent }

func (begin) message()    {}
func (join) message()     {}
func (leave) message()    {}
func (conclude) message() {}
func (streamed) message() {}

// Service carries answers.
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
	sink := func(ctx context.Context, e port.StreamEvent) error { return s.ring.Put(ctx, streamed{e}) }
	s.engine.Attach(sink)
	s.plain.Attach(sink)
	return nil
}

// Start implements kernel.Service.
func (s *Service) Start(h *kernel.Host) error {
	h.Go("transfer", kernel.Loop[message]{
		Ring: s.ring, Tick: tick, Handle: s.handle, OnTick: s.onTick,
		Quiet: func() bool { return len(s.calls) == 0 && s.outbox.Pending() == 0 }, QuietTick: quietTick,
	}.Run, s.ring)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.ring.Close()
	return nil
}

// put waits while the ring is full: the entry duty slows down with the transfers. The
// transfer duty never waits for the entry duty, so the two cannot deadlock.
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

func (s *Service) client(a *call) port.BackendClient {
	if a.out.Server.Kind == model.PlainServer {
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
	case streamed:
		s.streamed(now, m.event)
	}
}

func (s *Service) begin(now time.Time, m begin) {
	a := &call{out: m.out, keep: m.keep, began: now, callers: make(map[model.RequestID]*caller)}
	for id, events := range m.callers {
		if events != nil {
			a.callers[id] = &caller{events: events}
		}
	}
	s.calls[m.out.Request] = a
	s.client(a).Open(m.out)
	s.cancelIfUnwanted(a)
}

// join attaches a caller. The entry service joins only while it holds the request, but
// the call may have failed by the time the message arrives; the entry service then decides.
func (s *Service) join(now time.Time, m join) {
	a := s.calls[m.request]
	if a == nil || a.base > 0 {
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
	s.forgetIfDone(a)
}

// cancelIfUnwanted cancels a call without callers, unless its answer is kept.
func (s *Service) cancelIfUnwanted(a *call) {
	if len(a.callers) == 0 && !a.keep && !a.ended && !a.cancelling {
		a.cancelling = true
		s.client(a).Cancel(a.out.Request)
	}
}

func (s *Service) streamed(now time.Time, e port.StreamEvent) {
	a := s.calls[e.Request]
	if a == nil || a.ended {
		return
	}
	switch e.Kind {
	case port.StreamHead:
		a.headed = true
		a.status = e.Status
		a.contentType = e.ContentType
	case port.StreamData:
		s.data(now, a, e)
	case port.StreamEnd:
		s.end(a, e)
	case port.StreamFailed:
		s.failed(a, e)
		return
	}
	s.advance(now, a)
}

func (s *Service) data(now time.Time, a *call, e port.StreamEvent) {
	a.body = append(a.body, e.Data...)
	a.tokens += e.Tokens
	a.prefill = max(a.prefill, e.PrefillTokens)
	a.lastAt = now
	if a.firstAt.IsZero() {
		a.firstAt = now
		s.outbox.Send(a.event(port.TransferFirstToken))
	}
}

// end records that the answer is whole. A kept answer waits for Conclude.
func (s *Service) end(a *call, e port.StreamEvent) {
	a.ended = true
	if !a.headed {
		// An answer without any token is still a whole answer.
		a.headed = true
		a.status = http.StatusOK
	}
	a.prefill = max(a.prefill, e.PrefillTokens)
	ended := a.event(port.TransferEnded)
	if a.keep && len(a.body) <= maxKept {
		ended.Answer = &model.Answer{Status: a.status, ContentType: a.contentType, Body: a.body, Tokens: a.tokens}
	}
	a.concluded = !a.keep
	s.outbox.Send(ended)
}

func (s *Service) failed(a *call, e port.StreamEvent) {
	delete(s.calls, a.out.Request)
	a.prefill = max(a.prefill, e.PrefillTokens)
	failure := a.event(port.TransferFailed)
	failure.Err = e.Err
	switch {
	case e.NotRun && !a.headed:
		failure.Kind = port.TransferNotRun
		s.outbox.Send(failure)
		return
	case a.cancelling:
		failure.Kind = port.TransferCancelled
	}
	for _, c := range a.callers {
		c.fail(&fault.Interrupted{Server: a.out.Server.ID, Err: e.Err})
	}
	s.outbox.Send(failure)
}

func (s *Service) advance(now time.Time, a *call) {
	a.advance(now)
	s.forgetIfDone(a)
}

func (s *Service) forgetIfDone(a *call) {
	if a.concluded && a.delivered() {
		delete(s.calls, a.out.Request)
	}
}

func (s *Service) onTick(now time.Time) {
	s.outbox.Flush()
	for _, a := range s.calls {
		s.detachSlow(now, a)
		s.advance(now, a)
	}
}

// detachSlow removes callers that have not read for too long, so that they hold neither
// memory nor a slot.
func (s *Service) detachSlow(now time.Time, a *call) {
	for id, c := range a.callers {
		if c.stuckSince.IsZero() || now.Sub(c.stuckSince) < slowCaller {
			continue
		}
		c.fail(&fault.CallerSlow{})
		delete(a.callers, id)
		s.outbox.Send(port.TransferEvent{Request: a.out.Request, Kind: port.TransferDetached, Caller: id})
		s.cancelIfUnwanted(a)
	}
}
