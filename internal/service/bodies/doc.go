// Package bodies is the service that reserves memory for the bodies of callers' requests.
//
// It owns the budget of the process, which front ends ask before they read a body, and which they and the
// relay return bytes to once the last copy is gone. It never holds a body. A request that does not fit is
// refused at once, and so is one whose message does not fit into the ring; releases wait for room.
package bodies
