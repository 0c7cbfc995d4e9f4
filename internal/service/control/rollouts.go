package control

import "briaryard/internal/model"

// SubscribeRollouts implements port.RolloutsObserver. The leader's own dispatcher must know of an order before
// it is acknowledged, and heartbeats would take longer.
func (s *Service) SubscribeRollouts(sink func([]model.Rollout)) {
	s.rolloutSinks = append(s.rolloutSinks, sink)
}

// publishRollouts publishes the roll-outs after a change.
func (s *Service) publishRollouts() {
	if s.installing != nil || len(s.rolloutSinks) == 0 {
		return
	}
	generation := s.machine.RolloutsGeneration()
	if generation == s.publishedRollouts {
		return
	}
	s.publishedRollouts = generation
	list := s.machine.Rollouts()
	for _, sink := range s.rolloutSinks {
		sink(list)
	}
}
