// Package allocate obtains a backend server for each request of one instance: from the dispatcher of
// the fleet, or from a local scheduler while no dispatcher responds.
//
// A Machine owns the instance's requests that wait for a server and those that have been granted one.
// It performs no I/O and reads no clock. While the dispatcher responds, it schedules the requests of
// the whole fleet. When it is silent, restarted or unknown, the requests go to the local scheduler,
// which uses an equal share of each service, so that no request waits for an election. The instance
// rejoins a dispatcher with a full list of its granted requests; a new session number invalidates all
// messages of earlier sessions.
package allocate
