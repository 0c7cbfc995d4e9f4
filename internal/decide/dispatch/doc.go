// Package dispatch schedules the waiting requests of one pool: it decides which request runs
// next, on which backend server, and which request is shed.
//
// A Pool holds the queue of all waiting requests of the pool across the fleet, and the count
// of outstanding requests. Tiers have strict priority; within a tier, teams get weighted fair
// shares by estimated tokens; within a team, the earliest deadline that can still be met goes
// first. Package fleet holds the state of the backend servers.
//
// The state is soft: a new dispatcher rebuilds it from the entry instances and makes no
// decisions before it has heard from all of them. Messages may be duplicated or delayed; an
// ended request is remembered for a while so that it is not registered again. When a message
// is lost, the instance's next resync repairs the state. The package performs no I/O, reads
// no clock and uses no shared random source.
package dispatch
