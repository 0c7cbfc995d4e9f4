package fault

import (
	"fmt"
	"net/http"
	"time"

	"briaryard/internal/model"
)

// Codes of failures of roll-outs.
var (
	CodeRolloutConflict = register("rollout-conflict", "Another roll-out of the service is in progress", http.StatusConflict, model.NotRun, ExitConflict)
	CodeUnknownRollout  = register("rollout-unknown", "Service has had no roll-out", http.StatusNotFound, model.NotRun, ExitInvalid)
	CodeUnknownService  = register("service-unknown", "Service is not declared", http.StatusNotFound, model.NotRun, ExitInvalid)
	CodeRolloutsFull    = register("rollouts-full", "Too many roll-outs are in progress", http.StatusServiceUnavailable, model.NotRun, ExitUnavailable)
	CodeInvalidRollout  = register("rollout-invalid", "Order of a roll-out is invalid", http.StatusBadRequest, model.NotRun, ExitInvalid)
)

// RolloutConflict reports an order that was refused because a different order is in progress.
type RolloutConflict struct {
	Service model.PoolID
	// Target is the target of the roll-out in progress.
	Target string
}

// Code implements Fault.
func (e *RolloutConflict) Code() Code { return CodeRolloutConflict }
func (e *RolloutConflict) Error() string {
	return fmt.Sprintf("a different roll-out of service %q, to version %q, is in progress", e.Service, e.Target)
}

// UnknownRollout reports that a service has had no roll-out.
type UnknownRollout struct{ Service model.PoolID }

// Code implements Fault.
func (e *UnknownRollout) Code() Code { return CodeUnknownRollout }
func (e *UnknownRollout) Error() string {
	return fmt.Sprintf("service %q has had no roll-out", e.Service)
}

// UnknownService reports a service that the configuration does not declare.
type UnknownService struct{ Service model.PoolID }

// Code implements Fault.
func (e *UnknownService) Code() Code { return CodeUnknownService }
func (e *UnknownService) Error() string {
	return fmt.Sprintf("the configuration declares no service %q", e.Service)
}

// RolloutsFull reports that the control group remembers no further roll-out.
type RolloutsFull struct{ Service model.PoolID }

// Code implements Fault.
func (e *RolloutsFull) Code() Code { return CodeRolloutsFull }
func (e *RolloutsFull) Error() string {
	return fmt.Sprintf("too many roll-outs are in progress to start one of service %q", e.Service)
}

// RetryAfter implements Retryable.
func (e *RolloutsFull) RetryAfter() time.Duration { return time.Minute }

// InvalidRollout reports an order that cannot be accepted.
type InvalidRollout struct{ Field, Reason string }

// Code implements Fault.
func (e *InvalidRollout) Code() Code    { return CodeInvalidRollout }
func (e *InvalidRollout) Error() string { return "field " + e.Field + ": " + e.Reason }
