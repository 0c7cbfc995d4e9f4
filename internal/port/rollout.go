package port

import (
	"briaryard/internal/decide/rollout"
	"briaryard/internal/decide/schedule"
	"briaryard/internal/model"
)

// RolloutName judges the roll-outs at the leader. It runs on members of the control group.
const RolloutName = "rollout"

// RolloutRules are the last roll-outs of all services and the splits of those in progress.
type RolloutRules struct {
	Rollouts []model.Rollout
	Splits   []schedule.Split
}

// RolloutEvidence is what the dispatcher has seen of the roll-outs in progress since the last one. It is
// immutable.
type RolloutEvidence struct {
	Samples []rollout.Sample
	Status  []rollout.Status
	// Lost counts the instances that may decide alone.
	Lost int
}

// RolloutDispatcher is implemented by the scheduler of the fleet.
type RolloutDispatcher interface {
	// SetRollouts replaces the rules. It returns an error if there is no room for them.
	SetRollouts(r RolloutRules) error
	// SubscribeEvidence registers a receiver of evidence. It is called during Provision.
	SubscribeEvidence(sink func(RolloutEvidence))
}
