package relay

import (
	"strings"

	"briaryard/internal/decide/relay"
	"briaryard/internal/event"
	"briaryard/internal/metric"
	"briaryard/internal/model"
)

// idempotencyKey is the header field with the idempotency key of a request.
const idempotencyKey = "Idempotency-Key"

// isKeyed reports whether a call has an idempotency key.
func isKeyed(c *model.HTTPCall) bool {
	for _, f := range c.Header {
		if strings.EqualFold(f.Name, idempotencyKey) {
			return true
		}
	}
	return false
}

// logHedge logs the second call of a slow request.
func (s *Service) logHedge(e relay.StartCall, attempt string) {
	s.log.Emit(event.HedgeSent, e.ID.String(), attempt, e.Send, e.Server.ID, e.Server.Domain, e.After, e.WithoutDispatcher)
	s.metrics.Counter(metric.RoutedHedges, "sent").Inc(1)
}

// logHedgeEnd logs whether the caller gets the answer of a second call.
func (s *Service) logHedgeEnd(e relay.HedgeEnded) {
	result := "lost"
	if e.Won {
		result = "won"
	}
	s.log.Emit(event.HedgeEnded, e.ID.String(), s.requests[e.ID].Attempt, e.Server, result, e.Ran)
	s.metrics.Counter(metric.RoutedHedges, result).Inc(1)
}

// logHedgeDenial logs why a slow request has no second call.
func (s *Service) logHedgeDenial(e relay.HedgeDenied) {
	s.log.Emit(event.HedgeDenied, e.ID.String(), s.requests[e.ID].Attempt, e.Server, e.Reason, e.Ran)
	s.metrics.Counter(metric.RoutedHedges, e.Reason).Inc(1)
}
