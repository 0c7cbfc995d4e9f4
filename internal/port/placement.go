package port

import (
	"time"

	"briaryard/internal/decide/placement"
	"briaryard/internal/model"
)

// PlacementName is the service that sends orders to engines.
const PlacementName = "placement"

// PlacementLease is the name of the lease whose holder sends the orders.
const PlacementLease = "placement"

// DemandMessage reports to the holder of the placement lease how many requests of each tier
// wait for or use a pool. The pool's dispatcher sends it to PlacementName every DemandInterval.
type DemandMessage struct {
	Pool     model.PoolID
	Requests [model.TierCount]int
}

// DemandInterval is the interval between two reports of a pool's demand.
const DemandInterval = time.Second

const (
	// OrderWriteLimit bounds the time from the opened connection of an order to the end of its
	// write. It covers a handshake across regions and a busy scheduler.
	OrderWriteLimit = 200 * time.Millisecond
	// OrderArrivalLimit is the time within which an engine that does not check fencing tokens
	// must have received the whole order, measured from the opening of the connection.
	// Otherwise the engine must drop the connection.
	OrderArrivalLimit = 500 * time.Millisecond
)

// OrderCall is an order to be sent to an engine.
type OrderCall struct {
	Order   model.Order
	Address string
	// Until is when the sender's lease expires. No byte is written at or after it.
	Until time.Time
}

// OrderClient sends orders to engines. The engine client implements it.
type OrderClient interface {
	// Order sends an order once. The outcome is passed to reply, which does not block.
	Order(c OrderCall, reply func(placement.Outcome, error))
}

// PlacementStatus is this instance's view of the placement. It is immutable.
type PlacementStatus struct{ placement.State }

// Placement publishes the state of the placement.
type Placement interface {
	// SubscribePlacement registers a receiver of the state. It is called during Provision.
	SubscribePlacement(sink func(PlacementStatus))
}
