package fault

import (
	"fmt"
	"net/http"
	"time"

	"briaryard/internal/model"
)

// Codes of failures of calls to backend servers.
var (
	CodeNotAdmitted     = register("not-admitted", "Backend server did not admit the call", http.StatusBadGateway, model.NotRun, ExitUnavailable)
	CodeAnswerTooLarge  = register("answer-too-large", "Answer too large", http.StatusBadGateway, model.Ran, ExitUnavailable)
	CodeServerStatus    = register("backend-server-status", "Backend server answered with a failure", http.StatusBadGateway, model.MayHaveRun, ExitUnavailable)
	CodeStreamSilent    = register("stream-silent", "Stream went silent", http.StatusBadGateway, model.MayHaveRun, ExitUnavailable)
	CodeOrderLate       = register("order-late", "Order not sent in time", http.StatusServiceUnavailable, model.NotRun, ExitUnavailable)
	CodeStreamMalformed = register("stream-malformed", "Stream cannot be read", http.StatusBadGateway, model.MayHaveRun, ExitUnavailable)
)

// NotAdmitted reports a backend server whose answer states that it did not run the call.
type NotAdmitted struct{ Status int }

// Code implements Fault.
func (e *NotAdmitted) Code() Code { return CodeNotAdmitted }
func (e *NotAdmitted) Error() string {
	return fmt.Sprintf("the backend server did not admit the call (status %d)", e.Status)
}

// AnswerTooLarge reports an answer of a backend server that exceeds the limit in bytes.
type AnswerTooLarge struct{ Limit int }

// Code implements Fault.
func (e *AnswerTooLarge) Code() Code    { return CodeAnswerTooLarge }
func (e *AnswerTooLarge) Error() string { return fmt.Sprintf("the answer exceeds %d bytes", e.Limit) }

// ServerStatus reports an unexpected HTTP status of a backend server.
type ServerStatus struct{ Status int }

// Code implements Fault.
func (e *ServerStatus) Code() Code { return CodeServerStatus }
func (e *ServerStatus) Error() string {
	return fmt.Sprintf("the backend server answered with status %d", e.Status)
}

// OrderLate reports a placement order that was not sent because the sender's lease or the time limit
// for the write had expired.
type OrderLate struct{ After time.Duration }

// Code implements Fault.
func (e *OrderLate) Code() Code { return CodeOrderLate }
func (e *OrderLate) Error() string {
	return fmt.Sprintf("the order was not sent: the lease or the time to write it ran out after %s", e.After)
}

// StreamSilent reports a stream that was idle for too long: neither data nor a keep-alive arrived.
type StreamSilent struct{ FromToken int }

// Code implements Fault.
func (e *StreamSilent) Code() Code { return CodeStreamSilent }
func (e *StreamSilent) Error() string {
	return fmt.Sprintf("the stream went silent before token %d", e.FromToken)
}

// StreamMalformed reports a stream that violates its protocol.
type StreamMalformed struct{ Reason string }

// Code implements Fault.
func (e *StreamMalformed) Code() Code    { return CodeStreamMalformed }
func (e *StreamMalformed) Error() string { return "the stream cannot be read: " + e.Reason }
