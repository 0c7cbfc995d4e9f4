// Package relay is a TCP relay for tests that can stop forwarding without closing anything.
//
// It owns its listener and connections, forwards bytes unchanged and in order, and never
// drops data: what is held back is forwarded after Resume. Close ends everything.
package relay
