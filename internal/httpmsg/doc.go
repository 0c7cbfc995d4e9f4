// Package httpmsg holds the rules of HTTP messages that front ends and clients share: which header
// fields are forwarded, and how a stream of server-sent events is split into events.
//
// It has no package state and performs no I/O.
package httpmsg
