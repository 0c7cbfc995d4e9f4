// Package load is an open-loop load generator for a fleet that also checks the answers.
//
// Arrivals follow a seeded schedule and do not wait for answers. Callers request the list of
// addresses from the fleet, cache it for its time to live, and retry as the mix says. The
// checker compares the answers with what the stand-in backend servers executed: an answer
// must be complete, belong to its request and arrive in time, a request must run at most once,
// and a refusal must report the run state correctly. The package expects the answers of the
// stand-in engine and the stand-in booking service, and accepts loopback addresses only.
package load
