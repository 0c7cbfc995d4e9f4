// Package dispatcher is the service that runs the pools whose dispatcher lease this instance holds.
//
// One duty runs a decide/dispatch.Pool for each lease. When this instance acquires a lease, the
// duty asks every live instance for its requests and makes no decision until all have answered
// or have been removed from the membership. When the lease ends, or can no longer be confirmed,
// the pool and its soft state are dropped.
package dispatcher
