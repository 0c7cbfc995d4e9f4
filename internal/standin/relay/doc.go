// Package relay is a TCP relay for tests that can stop forwarding without closing connections.
//
// It owns its listener and connections, forwards bytes unchanged and in order, and never
// drops data: paused data is forwarded after Resume. Close closes the listener and all
// connections.
package relay
