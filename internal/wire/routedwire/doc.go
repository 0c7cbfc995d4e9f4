// Package routedwire converts the messages about routed requests, backend servers and instances
// between internal/port and their protobuf form.
//
// It holds no state. Decode returns a typed error for data that is malformed or out of range, so
// that such data reaches no service.
package routedwire
