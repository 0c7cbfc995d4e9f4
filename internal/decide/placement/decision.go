package placement

import (
	"time"

	"briaryard/internal/model"
)

// Kind states what a decision is about.
type Kind uint8

// Kinds of decisions.
const (
	// Ordered gives an order to an engine.
	Ordered Kind = iota
	// Withheld states why engines that are missing are not provided yet. It is repeated only
	// when the reason changes.
	Withheld
	// Settled ends an outstanding order; Reason says how.
	Settled
)

// Decision is a decision with the inputs that decided it.
type Decision struct {
	Kind  Kind
	Order model.Order
	// Server is the engine's record when the order was given.
	Server model.BackendServer
	// Until is when the lease runs out, by the clock that is passed to the machine. The order
	// must not be sent at or after this time.
	Until  time.Time
	Reason string
	Inputs Inputs
}

// Inputs are what decided.
type Inputs struct {
	Pool   model.PoolID
	Domain model.FailureDomain
	// Want and Have are the declared number of engines of the pool in the failure domain and
	// the present one, outstanding orders included.
	Want int
	Have int
	// Loads is the number of loads that run in the fleet, and Limit the declared bound.
	Loads int
	Limit int
	// Gains and Loses are the most urgent tiers that use the pool that gains an engine and the
	// one that loses it.
	Gains string
	Loses string
}

// Reasons of decisions.
const (
	ReasonMissing    = "engines are missing"
	ReasonMakeRoom   = "room for a pool with missing engines"
	ReasonAdapter    = "a declared adapter is missing"
	ReasonSettling   = "engines are missing for too short a time"
	ReasonLoads      = "the declared number of loads is running"
	ReasonBytes      = "the declared bytes per second are used"
	ReasonTakeover   = "the lease of the previous holder may not have run out"
	ReasonBusy       = "the engines with room have an order or a pause"
	ReasonTier       = "a more urgent tier uses the pool that would lose an engine"
	ReasonHold       = "the models of the engines were loaded too recently"
	ReasonNoEngine   = "no engine in the failure domain can be used"
	ReasonDone       = "the announced state shows the change"
	ReasonReported   = "the engine reports the order as done"
	ReasonFailed     = "the engine reports the order as failed"
	ReasonNotCarried = "the engine's announcements do not show the order"
	ReasonNotSent    = "the order was not sent"
	ReasonRefused    = "the engine refused the order"
	ReasonOldFence   = "the engine refused an old fencing token"
	ReasonEngineAway = "the engine has been away too long"
)
