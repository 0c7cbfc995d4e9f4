package dispatch

import (
	"briaryard/internal/model"
)

// Kind states what a decision does.
type Kind uint8

// Kinds of decisions.
const (
	// Granted sends the request to a backend server.
	Granted Kind = iota
	// Shed evicts the request for others.
	Shed
	// DeadlineUnreachable evicts a request that can no longer be answered in time.
	DeadlineUnreachable
	// NoServer evicts a request because no backend server serves the pool.
	NoServer
	// Duplicate tells a waiting request that another attempt with its key has ended.
	Duplicate
)

// Decision is one decision with the inputs that decided it.
type Decision struct {
	Kind       Kind
	Descriptor model.Descriptor
	// Grant is set with Granted.
	// Sequence numbers the grants to one instance, from 1.
	Sequence uint64
	Grant    model.Grant
	// Reason says which rule and which figures decided, for the log.
	Reason string
	// Waiting and Outstanding are the pool's counts after the decision.
	Waiting     int
	Outstanding int
}

// Outstanding is a granted request that has not ended.
type Outstanding struct {
	Grant      model.Grant
	Descriptor model.Descriptor
}
