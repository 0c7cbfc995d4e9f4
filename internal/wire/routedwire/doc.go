// Package routedwire converts the messages about routed requests, backend servers and instances
// between internal/port and their protobuf form.
//
// It owns no state. Data that cannot be read, or that is out of range, is a typed error and reaches
// no service.
package routedwire
