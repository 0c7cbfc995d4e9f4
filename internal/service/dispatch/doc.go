// Package dispatch is the router between the entry service and the dispatchers of the pools.
//
// One duty tracks which instance holds the lease of each pool. It drops messages while no
// dispatcher is known, because a new dispatcher asks the entry service for its state before it
// makes any decision. It accepts decisions only with the highest epoch that it has seen, so an
// old dispatcher that still considers its lease valid is ignored.
package dispatch
