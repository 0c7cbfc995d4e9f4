package port

import (
	"time"

	"briaryard/internal/decide/placement"
	"briaryard/internal/model"
)

// PlacementName is the service that gives orders to engines.
const PlacementName = "placement"

// PlacementLease is the name of the lease whose holder gives the orders.
const PlacementLease = "placement"

// DemandMessage tells the holder of the placement lease how many requests of each tier wait
// for or use a pool. The pool's dispatcher sends it to PlacementName every DemandInterval.
type DemandMessage struct {
	Pool     model.PoolID
	Requests [model.TierCount]int
}

// DemandInterval is the time between two reports of the demand of a pool.
const DemandInterval = time.Second

const (
	// OrderWriteLimit bounds the time from the opened connection of an order to the end of its
	// write. It covers a handshake across regions and a busy scheduler.
	OrderWriteLimit = 200 * time.Millisecond
	// OrderArrivalLimit is the time, from the opening of its connection, within which an engine
	// that ignores fencing tokens must have got a whole order or drop the connection.
	OrderArrivalLimit = 500 * time.Millisecond
)

// OrderCall is an order on its way to an engine.
type OrderCall struct {
	Order   model.Order
	Address string
	// Until is when the sender's lease runs out. No byte is written at or after it.
	Until time.Time
}

// OrderClient sends orders to engines. The engine client implements it.
type OrderClient interface {
	// Order sends an order once. The outcome goes to the sink, which does not block.
	Order(c OrderCall, reply func(placement.Outcome, error))
}

// PlacementStatus is what this instance knows of the placement. It is immutable.
type PlacementStatus struct{ placement.State }

// Placement publishes the state of the placement.
type Placement interface {
	// SubscribePlacement registers a receiver of the state. It is called during Provision.
	SubscribePlacement(sink func(PlacementStatus))
}
