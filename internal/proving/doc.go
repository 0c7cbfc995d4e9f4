// Package proving holds end-to-end tests: they run a whole fleet as processes on loopback, inject
// failures while it is under load, and check the answers to callers.
//
// It contains tests only. Each process listens on loopback addresses of its own. Relays between the
// processes can stop forwarding without closing a connection.
package proving
