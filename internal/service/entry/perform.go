package entry

import (
	"time"

	decide "briaryard/internal/decide/entry"
	"briaryard/internal/decide/state"
	"briaryard/internal/event"
	"briaryard/internal/fault"
	"briaryard/internal/metric"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
)

// perform executes the machine's effects in order.
func (s *Service) perform(effects []decide.Effect) {
	for _, e := range effects {
		s.performOne(e)
	}
}

func (s *Service) performOne(e decide.Effect) {
	switch e := e.(type) {
	case decide.Register:
		s.dispatch.Register(e.Descriptor)
	case decide.Withdraw:
		s.dispatch.Withdraw(e.Pool, e.Request)
	case decide.Report:
		s.reportProgress(e)
	case decide.Control:
		s.sendCommand(e)
	case decide.Begin:
		s.begin(e)
	case decide.Join:
		s.transfer.Join(e.Request, e.Caller, s.callers[e.Caller])
	case decide.Joined:
		s.log.Emit(event.RequestJoined, e.Caller.String(), e.Request.String())
	case decide.Leave:
		s.transfer.Leave(e.Request, e.Caller)
	case decide.Conclude:
		s.transfer.Conclude(e.Request)
	case decide.Replay:
		s.replay(e)
	case decide.Refuse:
		s.refuse(e)
	case decide.Finished:
		s.recordFinished(e)
	case decide.Cancelled:
		s.log.Emit(event.RequestCancelled, e.Request.String(), e.Phase)
		s.metrics.Counter(metric.WastedPrefill, "cancelled").Inc(int64(e.Prefill))
	case decide.NotAdmitted:
		s.log.Emit(event.RequestNotRun, e.Request.String(), e.Server, e.Err.Error())
	case decide.Released:
		delete(s.callers, e.Caller)
	case decide.Drained:
		s.onDrained()
	}
}

func (s *Service) reportProgress(e decide.Report) {
	p := e.Progress
	if p.Kind == model.ProgressReturned {
		s.log.Emit(event.RequestReturned, p.Request.String(), p.Server, e.Reason)
	}
	if p.Kind == model.ProgressFailed && p.PrefillTokens > 0 {
		s.metrics.Counter(metric.WastedPrefill, "failed").Inc(int64(p.PrefillTokens))
	}
	s.dispatch.Report(p)
}

// sendCommand sends a command to the control group. The reply arrives as a controlReply message.
func (s *Service) sendCommand(e decide.Control) {
	id, team := e.Request, e.Team
	_, isClaim := e.Command.(state.Claim)
	startedAt := time.Now()
	err := s.control.Do(e.Command, func(r port.ControlReply) {
		if isClaim {
			s.metrics.Histogram(metric.ClaimLatency, "").Update(time.Since(startedAt).Microseconds())
		}
		s.put(controlReply{id, team, r})
	})
	if err != nil {
		// The duty must not block on its own ring, so the failure is handled after this message.
		s.deferred = append(s.deferred, controlReply{id, team, port.ControlReply{Err: err}})
	}
}

func (s *Service) begin(e decide.Begin) {
	s.log.Emit(event.RequestDispatched, e.Request.String(), e.Pool, e.Server.ID, e.Epoch, e.Waited.String())
	callers := make(map[model.RequestID]*ring.Ring[model.AnswerEvent], len(e.Callers))
	for _, c := range e.Callers {
		callers[c] = s.callers[c]
	}
	s.transfer.Begin(port.Outbound{Request: e.Request, Server: e.Server, Epoch: e.Epoch, Call: e.Call}, e.Keep, callers)
}

// replay answers a submission with the stored answer of its idempotency key.
func (s *Service) replay(e decide.Replay) {
	s.log.Emit(event.RequestReplayed, e.Caller.String(), "finished")
	s.deliver(e.Caller,
		model.AnswerEvent{Kind: model.AnswerHead, Status: e.Answer.Status, ContentType: e.Answer.ContentType},
		model.AnswerEvent{Kind: model.AnswerData, Data: e.Answer.Body, Tokens: e.Answer.Tokens},
		model.AnswerEvent{Kind: model.AnswerEnd, Tokens: e.Answer.Tokens})
}

func (s *Service) refuse(e decide.Refuse) {
	m := fault.MappingOf(e.Fault)
	s.log.Emit(event.RequestRefused, e.Caller.String(), string(m.Code), m.RunState.String(), e.Fault.Error())
	s.metrics.Counter(metric.RequestsRefused, string(m.Code)).Inc(1)
	s.deliver(e.Caller, model.AnswerEvent{Kind: model.AnswerFailed, Err: e.Fault})
}

// deliver sends a submission its final events, closes its ring and removes it. The ring is empty
// at this point, so it has room.
func (s *Service) deliver(caller model.RequestID, events ...model.AnswerEvent) {
	out := s.callers[caller]
	delete(s.callers, caller)
	if out == nil {
		return
	}
	for _, e := range events {
		_ = out.Offer(e)
	}
	out.Close()
}

func (s *Service) recordFinished(e decide.Finished) {
	s.log.Emit(event.RequestFinished, e.Request.String(), e.Server, e.Tokens, e.FirstToken.String(), e.Took.String())
	tier := e.Tier.String()
	s.metrics.Counter(metric.RequestsAnswered, tier).Inc(1)
	if e.InTime && e.Callers > 0 {
		s.metrics.Counter(metric.RequestsGood, tier).Inc(1)
	}
	s.metrics.Histogram(metric.FirstToken, tier).Update(e.FirstToken.Microseconds())
}
