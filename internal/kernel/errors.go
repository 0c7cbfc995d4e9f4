package kernel

import (
	"fmt"
	"strings"
)

// DuplicateNameError reports two services registered under the same name.
type DuplicateNameError struct{ Name string }

func (e *DuplicateNameError) Error() string {
	return fmt.Sprintf("service %q is registered twice", e.Name)
}

// MissingNameError reports a service that needs a name under which no service is registered.
type MissingNameError struct{ Service, Needs string }

func (e *MissingNameError) Error() string {
	return fmt.Sprintf("service %q needs %q, which is not registered", e.Service, e.Needs)
}

// CycleError reports services that depend on each other in a cycle.
type CycleError struct{ Names []string }

func (e *CycleError) Error() string {
	return "services depend on each other in a cycle: " + strings.Join(e.Names, " -> ")
}

// WrongTypeError reports a service that does not implement the interface expected under its name.
type WrongTypeError struct{ Name, Want string }

func (e *WrongTypeError) Error() string {
	return fmt.Sprintf("service %q does not implement %s", e.Name, e.Want)
}

// UndeclaredNeedError reports a service that resolves a name missing from its Needs list.
type UndeclaredNeedError struct{ Service, Name string }

func (e *UndeclaredNeedError) Error() string {
	return fmt.Sprintf("service %q resolves %q without declaring it", e.Service, e.Name)
}

// ServiceError wraps the error of a service's Provision, Start or Stop.
type ServiceError struct {
	Service, Step string
	Err           error
}

func (e *ServiceError) Error() string {
	return fmt.Sprintf("service %q failed to %s: %v", e.Service, e.Step, e.Err)
}

// Unwrap returns the error of the step.
func (e *ServiceError) Unwrap() error { return e.Err }

// DutyPanicError holds the value and the stack of a duty's panic.
type DutyPanicError struct {
	Duty  string
	Value any
	Stack string
}

func (e *DutyPanicError) Error() string {
	return fmt.Sprintf("duty %q panicked: %v", e.Duty, e.Value)
}
