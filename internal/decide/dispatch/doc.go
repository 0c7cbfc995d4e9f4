// Package dispatch decides, for one pool, which waiting request runs next, on which backend
// server, and which request is shed.
//
// A Pool owns the order of every waiting request of the pool in the fleet and the count of
// what is outstanding. Order: strict tiers; within a tier, fair shares between teams by
// estimated tokens; within a team, the earliest useful deadline. What is known of the
// backend servers belongs to package fleet.
//
// Its state is soft: a new dispatcher rebuilds it from the entry instances and decides
// nothing before it has heard from all of them. Messages may be repeated or late; a request
// that has ended is remembered for a while so that it is not taken up again. When a message
// is lost, the instance's next resync repairs the state. It does no input or output, reads
// no clock and uses no shared random source.
package dispatch
