package fault

import (
	"time"

	"github.com/go-faster/errors"

	"briaryard/internal/model"
)

// Code names a kind of failure. It is the last part of the problem type.
type Code string

// Fault is a typed failure.
type Fault interface {
	error
	// Code names the kind of failure.
	Code() Code
}

// Stated is implemented by failures whose run state depends on the request.
type Stated interface {
	RunState() model.RunState
}

// Retryable is implemented by failures that know when a retry can help.
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

// Mapping is the outward meaning of a kind of failure.
type Mapping struct {
	Code     Code
	Title    string
	Status   int
	RunState model.RunState
	Exit     int
}

// Of returns the fault in an error's chain; an error without one is Internal.
func Of(err error) Fault {
	var f Fault
	if errors.As(err, &f) {
		return f
	}
	return &Internal{Err: err}
}

// MappingOf returns the outward meaning of a failure, with the run state of the request.
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

// RetryAfterOf returns when a retry can help, or zero.
func RetryAfterOf(f Fault) time.Duration {
	if r, ok := f.(Retryable); ok {
		return r.RetryAfter()
	}
	return 0
}

// Table returns all mappings, for the documentation and its tests.
func Table() map[Code]Mapping { return table }

var table = make(map[Code]Mapping)

// register adds a row to the table. Each file registers the kinds that it defines.
func register(code Code, title string, status int, state model.RunState, exit int) Code {
	table[code] = Mapping{Code: code, Title: title, Status: status, RunState: state, Exit: exit}
	return code
}
