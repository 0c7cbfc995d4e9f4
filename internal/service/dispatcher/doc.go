// Package dispatcher is the service that runs the pools whose dispatcher lease this instance holds.
//
// One duty runs a decide/dispatch pool for each lease. When a lease arrives it asks every
// live instance for its requests and decides nothing before all have answered or have been
// removed from the membership. When the lease ends, or can no longer be confirmed, the pool
// and its soft state are dropped.
package dispatcher
