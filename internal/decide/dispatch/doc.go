// Package dispatch decides, for one pool, which waiting request runs next, on which backend
// server, and which request is shed.
//
// A Pool knows every waiting request of the pool in the fleet and what is outstanding on
// each backend server. Its state is soft: a new dispatcher rebuilds it from the entry
// instances and decides nothing before it has heard from all of them. It does no input or
// output and reads no clock.
package dispatch
