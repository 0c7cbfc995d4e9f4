package relay

import (
	"strconv"

	"briaryard/internal/decide/relay"
	"briaryard/internal/event"
	"briaryard/internal/metric"
	"briaryard/internal/model"
)

// remove removes a submission and returns the memory of its body.
func (s *Service) remove(id model.RequestID) {
	s.bodies.Release(s.submissions[id].BodyBytes)
	delete(s.submissions, id)
}

// fingerprintText returns a fingerprint as it is logged: in hexadecimal, or empty if it is zero.
func fingerprintText(f uint64) string {
	if f == 0 {
		return ""
	}
	return strconv.FormatUint(f, 16)
}

// finish removes a request that has ended, logs it, and counts it if it was answered.
func (s *Service) finish(e relay.Ended) {
	s.remove(e.ID)
	delete(s.requests, e.ID)
	for send := 1; send <= e.Sends; send++ {
		delete(s.accepted, callKey{e.ID, send})
	}
	r := e.Request
	s.log.Emit(event.RoutedEnded, e.ID.String(), r.Attempt, r.Route.Name, r.Team, e.Server, e.Sends, e.Result, e.First, e.Took, r.PromptTokens, r.OutputTokens, r.ExpectedTokens, e.Events,
		r.Route.Objective, r.Domain, fingerprintText(r.Fingerprint))
	if e.Result == "answered" {
		s.metrics.Counter(metric.RoutedRequests, e.Result).Inc(1)
		s.metrics.Histogram(metric.RoutedFirst, r.Route.Kind.String()).Update(e.First.Microseconds())
	}
}
