package fault

import (
	"fmt"
	"net/http"
	"time"

	"briaryard/internal/model"
)

// Codes of failures of the control group and of configuration changes.
var (
	CodeControlUnavailable = register("control-unavailable", "Control group cannot be reached", http.StatusServiceUnavailable, model.MayHaveRun, ExitUnavailable)
	CodeClaimsFull         = register("claims-full", "No room for another idempotency key", http.StatusServiceUnavailable, model.NotRun, ExitUnavailable)
	CodeConfigConflict     = register("config-conflict", "Another change was accepted first", http.StatusConflict, model.NotRun, ExitConflict)
	CodeChangeReused       = register("change-id-reused", "Change id was used for another content", http.StatusConflict, model.NotRun, ExitConflict)
)

// ControlUnavailable reports that no quorum of the control group answered in time.
type ControlUnavailable struct{ Operation string }

// Code implements Fault.
func (e *ControlUnavailable) Code() Code { return CodeControlUnavailable }
func (e *ControlUnavailable) Error() string {
	return "the control group did not answer " + e.Operation + " in time"
}

// RetryAfter implements Retryable.
func (e *ControlUnavailable) RetryAfter() time.Duration { return time.Second }

// ClaimsFull reports that the table of claims is full.
type ClaimsFull struct{ Limit int }

// Code implements Fault.
func (e *ClaimsFull) Code() Code    { return CodeClaimsFull }
func (e *ClaimsFull) Error() string { return fmt.Sprintf("the table of %d claims is full", e.Limit) }

// RetryAfter implements Retryable.
func (e *ClaimsFull) RetryAfter() time.Duration { return time.Minute }

// ConfigConflict reports a change that lost against another, which it names.
type ConfigConflict struct {
	Number         model.Revision
	Current        model.Revision
	WinnerChange   string
	WinnerOperator string
}

// Code implements Fault.
func (e *ConfigConflict) Code() Code { return CodeConfigConflict }
func (e *ConfigConflict) Error() string {
	return fmt.Sprintf("change number %d conflicts: revision %d by change %q of operator %q is in force",
		e.Number, e.Current, e.WinnerChange, e.WinnerOperator)
}

// ChangeReused reports a change id that was used with another content.
type ChangeReused struct{ ChangeID string }

// Code implements Fault.
func (e *ChangeReused) Code() Code { return CodeChangeReused }
func (e *ChangeReused) Error() string {
	return fmt.Sprintf("change id %q was used for another content", e.ChangeID)
}
