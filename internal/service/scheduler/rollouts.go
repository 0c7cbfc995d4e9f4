package scheduler

import (
	"time"

	"briaryard/internal/port"
)

// evidenceInterval is the time between two batches of evidence about roll-outs.
const evidenceInterval = 25 * time.Millisecond

// SetRollouts implements port.RolloutDispatcher.
func (s *Service) SetRollouts(r port.RolloutRules) error { return s.ring.Offer(r) }

// SubscribeEvidence implements port.RolloutDispatcher.
func (s *Service) SubscribeEvidence(sink func(port.RolloutEvidence)) {
	s.evidenceSinks = append(s.evidenceSinks, sink)
}

// sendEvidence passes on the evidence about the roll-outs in progress.
func (s *Service) sendEvidence(now time.Time) {
	if now.Sub(s.evidenceAt) < evidenceInterval || !s.scheduler.RollsOut() {
		return
	}
	s.evidenceAt = now
	e := port.RolloutEvidence{Samples: s.scheduler.TakeSamples(), Status: s.scheduler.RolloutStatus(), Lost: len(s.lost)}
	for _, sink := range s.evidenceSinks {
		sink(e)
	}
}
