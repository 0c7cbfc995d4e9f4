package fault

import (
	"fmt"
	"net/http"

	"briaryard/internal/model"
)

// CodeNotInLogs is the code of NotInLogs.
var CodeNotInLogs = register("not-in-logs", "No log line about the request", http.StatusNotFound, model.NotRun, ExitInvalid)

// NotInLogs reports an id about which the logs that were read have no line.
type NotInLogs struct{ ID string }

// Code implements Fault.
func (e *NotInLogs) Code() Code { return CodeNotInLogs }
func (e *NotInLogs) Error() string {
	return fmt.Sprintf("the logs have no line about %q", e.ID)
}
