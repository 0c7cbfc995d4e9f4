// Package allocate finds a backend server for each request of one instance: through the dispatcher
// of the fleet, or alone while there is none that answers.
//
// A Machine owns the instance's requests that wait for a server and those that have one. It does no
// input or output and reads no clock. While the dispatcher answers, it orders the requests of the
// whole fleet. When it is silent, restarted or not known, the requests go to a scheduler of this
// instance, which uses an equal share of each service, so that no request waits for an election.
// The dispatcher is joined again with a full account of what runs; a session number voids whatever
// was on its way before.
package allocate
