// Package httpmsg has the rules of HTTP messages that front ends and clients share: which fields
// belong to one connection, and how a stream of events is divided.
//
// It owns no state and does no input or output.
package httpmsg
