// Package proving holds the tests that run a whole fleet as processes on loopback, break
// parts of it while it is under load, and judge what callers were told.
//
// It contains tests only. Each process listens on loopback addresses of its own; relays
// between the processes can stop forwarding without closing a connection.
package proving
