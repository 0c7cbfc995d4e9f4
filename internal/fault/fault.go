package fault

import (
	"time"

	"github.com/go-faster/errors"

	"briaryard/internal/model"
)

// Code names a kind of failure. It is the last part of the problem type.
type Code string

// Fault is a failure with a code, which maps it to its HTTP status and exit code.
type Fault interface {
	error
	// Code names the kind of failure.
	Code() Code
}

// Stated is implemented by failures whose run state depends on the request.
type Stated interface {
	RunState() model.RunState
}

// Retryable is implemented by failures that suggest a delay before a retry.
type Retryable interface {
	RetryAfter() time.Duration
}

// Exit codes of the command line.
const (
	ExitOK          = 0
	ExitInternal    = 1
	ExitUsage       = 2
	ExitInvalid     = 3
	ExitConflict    = 4
	ExitUnavailable = 5
	ExitInterrupted = 6
)

// Mapping is the external representation of a kind of failure: problem type and title, HTTP status,
// run state and exit code of the command line.
type Mapping struct {
	Code     Code
	Title    string
	Status   int
	RunState model.RunState
	Exit     int
}

// Of returns the first Fault in the error chain of err, or Internal if there is none.
func Of(err error) Fault {
	var f Fault
	if errors.As(err, &f) {
		return f
	}
	return &Internal{Err: err}
}

// MappingOf returns the mapping of a failure. If the failure implements Stated, its own run state
// replaces that of the table. A code without a mapping is reported as internal.
func MappingOf(f Fault) Mapping {
	m, ok := table[f.Code()]
	if !ok {
		m = table[CodeInternal]
	}
	if s, ok := f.(Stated); ok {
		m.RunState = s.RunState()
	}
	return m
}

// RetryAfterOf returns the delay before a retry that the failure suggests, or zero.
func RetryAfterOf(f Fault) time.Duration {
	if r, ok := f.(Retryable); ok {
		return r.RetryAfter()
	}
	return 0
}

// Table returns all mappings. The documentation and its tests use it.
func Table() map[Code]Mapping { return table }

var table = make(map[Code]Mapping)

// register adds a mapping to the table. Each file registers the codes that it defines.
func register(code Code, title string, status int, state model.RunState, exit int) Code {
	table[code] = Mapping{Code: code, Title: title, Status: status, RunState: state, Exit: exit}
	return code
}
