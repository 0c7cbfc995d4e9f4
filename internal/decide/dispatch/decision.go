package dispatch

import (
	"briaryard/internal/model"
)

// Kind is the outcome of a decision.
type Kind uint8

// Decision kinds.
const (
	// Granted dispatches the request to a backend server.
	Granted Kind = iota
	// Shed evicts the request in favor of others.
	Shed
	// DeadlineUnreachable evicts a request that can no longer be answered in time.
	DeadlineUnreachable
	// NoServer evicts a request because no backend server serves the pool.
	NoServer
	// Duplicate tells a waiting request that another attempt with its idempotency key has ended.
	Duplicate
)

// Decision is one scheduling decision and the reason for it.
type Decision struct {
	Kind       Kind
	Descriptor model.Descriptor
	// Sequence and Grant are set for Granted decisions. Sequence numbers the grants to one
	// instance, from 1.
	Sequence uint64
	Grant    model.Grant
	// Reason names the rule and the figures behind the decision, for the log.
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
