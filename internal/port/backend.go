package port

import (
	"context"

	"briaryard/internal/model"
)

// Names of the services that call backend servers.
const (
	EngineClientName = "backend.engine"
	PlainClientName  = "backend.plain"
)

// StreamKind states what a StreamEvent carries.
type StreamKind uint8

// Kinds of stream events. Every opened call ends with exactly one StreamEnd or StreamFailed.
const (
	StreamHead StreamKind = iota
	StreamData
	StreamEnd
	StreamFailed
)

// StreamEvent is one event of a call to a backend server.
type StreamEvent struct {
	Request     model.RequestID
	Kind        StreamKind
	Status      int
	ContentType string
	Data        []byte
	// Tokens is the number of generated tokens in Data.
	Tokens int
	// PrefillTokens is the number of prompt tokens that the engine computed; set with StreamEnd.
	PrefillTokens int
	// NotRun is set with StreamFailed when the call provably did not run.
	NotRun bool
	Err    error
}

// BackendClient calls backend servers of one kind.
type BackendClient interface {
	// Open starts a call. Its events are passed to the attached sink in order.
	Open(o Outbound)
	// Cancel asks the backend server to stop the work and ends the call with StreamFailed.
	Cancel(request model.RequestID)
	// Attach sets the receiver of stream events. It is called during Provision. The sink
	// blocks while the receiver's ring is full, which applies backpressure to the call, and
	// returns an error when the context ends or the receiver has stopped.
	Attach(sink func(context.Context, StreamEvent) error)
}
