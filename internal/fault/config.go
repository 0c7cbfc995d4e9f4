package fault

import (
	"fmt"
	"net/http"
	"strings"

	"briaryard/internal/model"
)

// Codes of failures of the configuration and of process settings.
var (
	CodeInvalidConfig  = register("invalid-config", "Invalid configuration", http.StatusUnprocessableEntity, model.NotRun, ExitInvalid)
	CodeInvalidSetting = register("invalid-setting", "Invalid process setting", http.StatusInternalServerError, model.NotRun, ExitUsage)
	CodeUnsupported    = register("unsupported", "Operation not available", http.StatusNotImplemented, model.NotRun, ExitUnavailable)

	CodeNotConfirmed        = register("not-confirmed", "Change accepted but not yet in force everywhere", http.StatusServiceUnavailable, model.Ran, ExitUnavailable)
	CodeOperatorUnreachable = register("operator-unreachable", "Operator endpoint cannot be reached", http.StatusBadGateway, model.MayHaveRun, ExitUnavailable)
)

// InvalidConfig reports an error in a configuration.
type InvalidConfig struct {
	File   string
	Line   int
	Field  string
	Reason string
}

// Code implements Fault.
func (e *InvalidConfig) Code() Code { return CodeInvalidConfig }
func (e *InvalidConfig) Error() string {
	if e.File == "" && e.Line > 0 {
		return fmt.Sprintf("line %d: field %s: %s", e.Line, e.Field, e.Reason)
	}
	if e.File == "" {
		return fmt.Sprintf("field %s: %s", e.Field, e.Reason)
	}
	return fmt.Sprintf("%s:%d: field %s: %s", e.File, e.Line, e.Field, e.Reason)
}

// InvalidConfigs reports all errors of a configuration at once.
type InvalidConfigs struct{ Faults []*InvalidConfig }

// Code implements Fault.
func (e *InvalidConfigs) Code() Code { return CodeInvalidConfig }
func (e *InvalidConfigs) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// FileUnreadable reports a configuration file that cannot be read.
type FileUnreadable struct {
	Path string
	Err  error
}

// Code implements Fault.
func (e *FileUnreadable) Code() Code { return CodeInvalidConfig }
func (e *FileUnreadable) Error() string {
	return fmt.Sprintf("cannot read %s: %v", e.Path, e.Err)
}

// Unwrap returns the cause.
func (e *FileUnreadable) Unwrap() error { return e.Err }

// Unsupported reports an operation that the running instance does not offer.
type Unsupported struct{ Operation string }

// Code implements Fault.
func (e *Unsupported) Code() Code { return CodeUnsupported }
func (e *Unsupported) Error() string {
	return e.Operation + " is not available at this instance"
}

// OperatorUnreachable reports a failed call to an operator endpoint.
type OperatorUnreachable struct {
	Address string
	Err     error
}

// Code implements Fault.
func (e *OperatorUnreachable) Code() Code { return CodeOperatorUnreachable }
func (e *OperatorUnreachable) Error() string {
	return fmt.Sprintf("operator endpoint %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *OperatorUnreachable) Unwrap() error { return e.Err }

// Remote is a failure that an instance returned as a problem document. It keeps the code of the
// document, so that the exit code is the same as if the failure had occurred in this process.
type Remote struct {
	Name   Code
	Detail string
}

// Code implements Fault.
func (e *Remote) Code() Code    { return e.Name }
func (e *Remote) Error() string { return e.Detail }

// InvalidSetting reports a flag or environment variable that cannot be used.
type InvalidSetting struct{ Setting, Reason string }

// Code implements Fault.
func (e *InvalidSetting) Code() Code    { return CodeInvalidSetting }
func (e *InvalidSetting) Error() string { return fmt.Sprintf("setting %s: %s", e.Setting, e.Reason) }

// ListenFailed reports an address on which the process cannot listen.
type ListenFailed struct {
	Address string
	Err     error
}

// Code implements Fault.
func (e *ListenFailed) Code() Code { return CodeInvalidSetting }
func (e *ListenFailed) Error() string {
	return fmt.Sprintf("cannot listen on %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *ListenFailed) Unwrap() error { return e.Err }

// NotConfirmed reports a configuration change that was accepted but that some instances did not
// confirm in time.
type NotConfirmed struct {
	Revision  model.Revision
	Instances []string
}

// Code implements Fault.
func (e *NotConfirmed) Code() Code { return CodeNotConfirmed }
func (e *NotConfirmed) Error() string {
	return fmt.Sprintf("revision %d is accepted but not yet confirmed by %s", e.Revision, strings.Join(e.Instances, ", "))
}
