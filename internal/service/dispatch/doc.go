// Package dispatch is the router between the entry service and the dispatchers of the pools.
//
// One duty knows which instance holds the lease of each pool. It drops registrations while
// no dispatcher is known, because a new dispatcher asks the entry service for its state
// before it decides anything. It accepts decisions only from the holder with the highest
// epoch that it has seen, so an old dispatcher that still believes in its lease is ignored.
package dispatch
