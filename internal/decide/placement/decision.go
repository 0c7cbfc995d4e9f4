package placement

import (
	"time"

	"briaryard/internal/model"
)

// Kind is the kind of a decision.
type Kind uint8

// Kinds of decisions.
const (
	// Ordered means that an order was issued to an engine.
	Ordered Kind = iota
	// Withheld means that a pool with missing engines gets none for now. It is reported again
	// only when the reason changes.
	Withheld
	// Settled means that an outstanding order has ended; Reason says how.
	Settled
)

// Decision is a placement decision with its inputs.
type Decision struct {
	Kind  Kind
	Order model.Order
	// Server is the engine's record at the time of the decision.
	Server model.BackendServer
	// Until is when the lease expires, by the clock that is passed to the machine. The order
	// must not be sent at or after this time.
	Until  time.Time
	Reason string
	Inputs Inputs
}

// Inputs are the values on which a decision is based.
type Inputs struct {
	Pool   model.PoolID
	Domain model.FailureDomain
	// Want and Have are the declared and the current number of engines of the pool in the
	// failure domain; Have includes outstanding orders.
	Want int
	Have int
	// Loads is the number of running loads in the fleet, and Limit the declared maximum.
	Loads int
	Limit int
	// Gains is the most urgent tier that uses the pool that gains an engine, Loses that of the
	// pool that loses one.
	Gains string
	Loses string
}

// Reasons of decisions.
const (
	ReasonMissing    = "engines are missing"
	ReasonMakeRoom   = "capacity is needed for a pool with missing engines"
	ReasonAdapter    = "a declared adapter is missing"
	ReasonSettling   = "engines have been missing for too short a time"
	ReasonLoads      = "the declared number of loads is running"
	ReasonBytes      = "the declared bytes per second are used up"
	ReasonTakeover   = "the lease of the previous holder may not have expired"
	ReasonBusy       = "the engines with capacity have an order or are paused"
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
	ReasonEngineAway = "the engine has been absent too long"
)
