// Package relay implements the state machine of routed requests at the instance that accepted
// them from their callers.
//
// A Machine owns a request from its arrival to its final answer; no other instance ever sends it
// to a backend server. It performs no I/O and reads no clock. Invariants: a request that may not be
// repeated is sent to a second server only after the first one, or the connection to it, has shown
// that it did not run; a refusal states not_run only while that is certain; every request gets
// exactly one final answer, at the latest at its deadline.
package relay
