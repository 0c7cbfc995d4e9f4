// Package relay implements the state machine of routed requests at the instance that accepted
// them from their callers.
//
// A Machine owns a request from its arrival to its final answer; no other instance ever sends it
// to a backend server. It performs no I/O and reads no clock. Invariants: a request that may not be
// repeated is sent to a second server only after the first one, or the connection to it, has shown
// that it did not run; a refusal states not_run only while that is certain; every request gets
// exactly one final answer, at the latest at its deadline.
//
// A request has one call at a time, or two if it is hedged: a second call is sent because the first one is
// slow. The caller gets the first whole answer, or the stream whose first event is first; the other call is
// cancelled, and its later events are ignored. A failure of one of two calls does not end the other, and no
// third one is sent while one runs.
package relay
