// Package event defines the numbered log events and writes them through log/slog.
//
// Every log line of briaryard is one of the events in this package. The numbers are fixed: the
// number of a removed event is not reused. docs/events.md lists the events.
package event
