package rollout

import (
	"time"

	"briaryard/internal/decide/state"
	"briaryard/internal/model"
)

// Limits bounds what a version gets before it is trusted.
type Limits struct {
	// Share and Slack bound the requests that a bad version gets: a share of the requests of the service from
	// the order to the deadline, and a number.
	Share float64
	Slack int
	// RollbackWithin is the time after the fiftieth bad answer within which it gets no request any more.
	RollbackWithin time.Duration
}

// DefaultLimits returns the bounds that apply where the settings have none.
func DefaultLimits() Limits { return Limits{Share: 0.1, Slack: 50, RollbackWithin: 5 * time.Second} }

// Kind is what a Sample reports.
type Kind uint8

// Kinds of samples.
const (
	// Granted means that a request was granted to a server.
	Granted Kind = iota
	// Began means that the first event of an answer arrived after First.
	Began
	// Finished means that an answer ended whole. First is set for a plain answer, PerEvent for a stream.
	Finished
	// Failed means that the answer was a failure, was broken or did not arrive.
	Failed
	// Unanswered means that the call was ended after First without any answer.
	Unanswered
)

// Sample is one piece of evidence about a request that the dispatcher granted.
type Sample struct {
	Service model.PoolID
	Server  model.BackendServerID
	Route   uint16
	// Size is the order of magnitude of the prompt, to the base 2.
	Size uint8
	// Target is set if the server runs the target version of the roll-out.
	Target bool
	Kind   Kind
	// First and PerEvent are zero if they are unknown.
	First, PerEvent time.Duration
}

// Status is the state of the servers of a service.
type Status struct {
	Service model.PoolID
	// OldRunning counts the requests that run on servers of other versions than the target.
	OldRunning int
	// TargetServers counts the usable servers of the target; TargetSlots and OldSlots are slots of usable
	// servers.
	TargetServers, TargetSlots, OldSlots int
}

// Fleet is what the leader knows of the instances.
type Fleet struct {
	// Confirmed is the generation of the roll-outs that all connected instances apply.
	Confirmed uint64
	// Lost counts the instances that may decide alone.
	Lost int
}

// Change is a decision of the judge, for the log.
type Change struct {
	// Advance is set if the change is the trust in the target, the completion or the roll-back.
	Advance bool
	// Phase and Trusted are those after the change.
	Phase   model.RolloutPhase
	Trusted bool
	// Share is the share of the requests that go to the target.
	Share  float64
	Reason string
	Counts Counts
}

// Counts are the numbers on which a change is based.
type Counts struct {
	// Requests counts the granted requests since the order, Granted those to the target, at most, and Reserved
	// is their limit.
	Requests, Granted, Reserved int
	// Answers and Bad count the evidence about the target, OldAnswers and OldBad that about the old version.
	Answers, Bad, OldAnswers, OldBad int
}

// Proposal is a change to commit.
type Proposal = state.AdvanceRollout
