// Package relay decides the course of each routed request at the instance that took it from its
// caller.
//
// A Machine owns the request from its arrival to its final answer; no other instance ever sends it
// to a backend server. It does no input or output and reads no clock. Invariants: a request that
// may not be repeated is handed to a second server only after the first one, or the connection to
// it, has shown that it did not run; a refusal that promises that a request has not run is only
// made while that is certain; every request gets exactly one final answer, at the latest when its
// time is over.
package relay
