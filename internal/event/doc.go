// Package event defines the numbered log events and writes them through log/slog.
//
// Every log line of briaryard is one of the events in this package. The numbers are fixed:
// an event that is no longer written leaves its number unused. docs/events.md lists them.
package event
