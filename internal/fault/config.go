package fault

import (
	"fmt"
	"net/http"

	"briaryard/internal/model"
)

// Codes of failures of the configuration and of process settings.
var (
	CodeInvalidConfig  = register("invalid-config", "Invalid configuration", http.StatusUnprocessableEntity, model.NotRun, ExitInvalid)
	CodeInvalidSetting = register("invalid-setting", "Invalid process setting", http.StatusInternalServerError, model.NotRun, ExitUsage)
)

// InvalidConfig reports a fault in a configuration file.
type InvalidConfig struct {
	File   string
	Line   int
	Field  string
	Reason string
}

// Code implements Fault.
func (e *InvalidConfig) Code() Code { return CodeInvalidConfig }
func (e *InvalidConfig) Error() string {
	if e.File == "" {
		return fmt.Sprintf("field %s: %s", e.Field, e.Reason)
	}
	return fmt.Sprintf("%s:%d: field %s: %s", e.File, e.Line, e.Field, e.Reason)
}

// InvalidSetting reports a flag or environment variable that cannot be used.
type InvalidSetting struct{ Setting, Reason string }

// Code implements Fault.
func (e *InvalidSetting) Code() Code    { return CodeInvalidSetting }
func (e *InvalidSetting) Error() string { return fmt.Sprintf("setting %s: %s", e.Setting, e.Reason) }

// ListenFailed reports a port that cannot be opened.
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
