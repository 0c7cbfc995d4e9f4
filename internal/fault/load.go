package fault

import (
	"fmt"
	"net/http"
	"strings"

	"briaryard/internal/model"
)

// Codes of failures of the load command.
var (
	CodeStandinUnreachable = register("standin-unreachable", "Stand-in cannot be reached", http.StatusServiceUnavailable, model.NotRun, ExitUnavailable)
	CodePromiseBroken      = register("promise-broken", "The run found a broken promise", http.StatusInternalServerError, model.MayHaveRun, ExitInvalid)
)

// StandinUnreachable reports a stand-in whose list of executed requests cannot be read.
type StandinUnreachable struct {
	Address string
	Err     error
}

// Code implements Fault.
func (e *StandinUnreachable) Code() Code { return CodeStandinUnreachable }
func (e *StandinUnreachable) Error() string {
	return fmt.Sprintf("stand-in %s cannot be reached: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *StandinUnreachable) Unwrap() error { return e.Err }

// PromiseBroken reports a load run that violated the guarantees for requests: some were executed
// more than once, lost, truncated, answered with the text of another request or wrongly reported as
// not_run.
type PromiseBroken struct{ Faults []string }

// Code implements Fault.
func (e *PromiseBroken) Code() Code    { return CodePromiseBroken }
func (e *PromiseBroken) Error() string { return strings.Join(e.Faults, ", ") }
